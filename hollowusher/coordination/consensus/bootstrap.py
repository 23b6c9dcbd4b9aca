"""The first view of a new cluster: its name, and its proposal to the voters that it names.

Each controller accepts the first view 1 that it is offered; a view 1 is decided once a quorum of its own
voters has accepted it.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable

import attrs

from hollowusher.coordination.consensus.paxos import quorum_size, voter_id
from hollowusher.coordination.consensus.view_queries import QUERY_TIMEOUT_S, call_all
from hollowusher.protocol.consensus import FirstViewResponse, ProposeFirstView
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.interface import Transport

CLUSTER_NAME_BYTES = 8


@attrs.frozen
class FirstViewOutcome:
    """What the proposed voters answered."""

    decided: View | None
    most_accepted: View | None  # the undecided view that most of them have accepted


async def propose_first_view(transport: Transport, view: View) -> FirstViewOutcome:
    """Propose a first view to its voters."""
    addresses = [voter.address for voter in view.voters]
    answers = await call_all(transport, addresses, ProposeFirstView(view), QUERY_TIMEOUT_S)
    responses = [answer for answer in answers if isinstance(answer, FirstViewResponse)]
    decided = [response.decided for response in responses if response.decided is not None]
    if decided:
        return FirstViewOutcome(max(decided, key=lambda known: known.epoch), None)
    accepted = [response.taken for response in responses if response.taken is not None]
    if accepted.count(view) >= quorum_size(view):
        return FirstViewOutcome(view, None)
    return FirstViewOutcome(None, _most_accepted(accepted))


def _most_accepted(views: list[View]) -> View | None:
    """Return the view accepted most often; among equals the one whose voters' names come first."""
    counts = Counter(tuple(view.chain) for view in views)
    ordered = sorted(views, key=lambda view: (-counts[tuple(view.chain)], view.chain))
    return ordered[0] if ordered else None


def cluster_name(voters: Iterable[Voter]) -> str:
    """Return the name of the cluster that begins with these voters.

    The ids of their disks are random, so no other cluster has this name, and every seed that proposes the
    same voters proposes the same name.
    """
    disks = "\n".join(sorted(voter_id(voter) for voter in voters))
    return hashlib.blake2b(disks.encode(), digest_size=CLUSTER_NAME_BYTES).hexdigest()
