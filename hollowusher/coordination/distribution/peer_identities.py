"""The identities of the processes at all addresses, which a transport checks, from the distributed values."""

from __future__ import annotations

from hollowusher.coordination.cluster_state import MEMBER_PREFIX, VIEW, ClusterState
from hollowusher.protocol.identity import Identity
from hollowusher.protocol.membership import Member
from hollowusher.transport.peers import PeerDirectory


def track_peer_identities(directory: PeerDirectory, me: Member, state: ClusterState) -> None:
    """Tell the directory who this process is, and have it follow the view and the members' registrations."""
    directory.identify(Identity("", me.name, me.incarnation, me.disk_id))

    def on_state_changed(key: str) -> None:
        if key == VIEW and state.view is not None:
            directory.learn_view(state.view)
        elif key.startswith(MEMBER_PREFIX):
            directory.learn_member(state.members[key.removeprefix(MEMBER_PREFIX)])

    state.add_listener(on_state_changed)
