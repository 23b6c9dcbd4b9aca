"""Updates of a transport's `PeerDirectory` from the distributed view and member registrations.

The transport checks the identity of each peer against this directory.
"""

from __future__ import annotations

from hollowusher.coordination.cluster_state import MEMBER_PREFIX, VIEW, ClusterState
from hollowusher.protocol.identity import Identity
from hollowusher.protocol.membership import Member
from hollowusher.transport.peers import PeerDirectory


def track_peer_identities(directory: PeerDirectory, me: Member, state: ClusterState) -> None:
    """Set this process's identity in the directory and keep the identities of its peers up to date.

    The peers' identities come from the newest view and from the registrations of members in `state`.
    """
    directory.identify(Identity("", me.name, me.incarnation, me.disk_id))

    def on_state_changed(key: str) -> None:
        if key == VIEW and state.view is not None:
            directory.learn_view(state.view)
        elif key.startswith(MEMBER_PREFIX):
            directory.learn_member(state.members[key.removeprefix(MEMBER_PREFIX)])

    state.add_listener(on_state_changed)
