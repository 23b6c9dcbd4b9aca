"""Snapshot of the voters' liveness and reachability as one proposer sees them.  No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.protocol.view import View


@attrs.frozen
class LivenessSnapshot:
    """The live voters, including the proposer, and the voters that each of them reaches."""

    alive: frozenset[str]
    complete: frozenset[str]  # chain members that hold every committed state
    reachable: Mapping[str, frozenset[str]]  # voter -> the voters that it reaches
    avoided_members: frozenset[str] = frozenset()  # alive, but excluded if the chain is long enough

    def are_connected(self, one: str, other: str) -> bool:
        """Return whether the two voters reach each other."""
        return other in self.reachable.get(one, ()) and one in self.reachable.get(other, ())


def take_liveness_snapshot(
    health: VoterHealth, view: View, *, is_complete: bool, now_s: float
) -> LivenessSnapshot:
    """Return the snapshot of the voter that owns `health`.

    `is_complete` is whether this voter itself holds every committed state.
    """
    alive = {health.name}
    complete = {health.name} if is_complete else set()
    reachable = {health.name: frozenset(health.reachable_voters(now_s))}
    avoided: set[str] = set()
    for voter in view.voters:
        pong = health.pong(voter.name)
        if pong is None or not health.is_reachable(voter.name, now_s):
            continue
        if pong.leaving or health.is_avoided(voter.name, now_s):
            avoided.add(voter.name)
        else:
            alive.add(voter.name)
        if pong.complete and pong.epoch == view.epoch:
            complete.add(voter.name)
        reachable[voter.name] = frozenset(pong.heard)
    return LivenessSnapshot(frozenset(alive), frozenset(complete), reachable, frozenset(avoided))
