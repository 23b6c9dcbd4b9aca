"""When and how the view is to change: which voters are there, and the chain that follows.  No I/O, no clock.

Times are seconds of the owner's steady clock, passed in.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import attrs

from hollowusher.coordination.consensus.paxos import find_voter, min_chain_length, quorum_size
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.consensus import Pong
from hollowusher.protocol.view import View, Voter

SUSPECT_AFTER_S = 1.2
DEAD_AFTER_REFUSALS = 2
PROPOSAL_STAGGER_S = 0.3


@attrs.define
class _Peer:
    """What is known of one other voter."""

    last_sign: float
    last_well: float  # as `last_sign`, its disk working
    disk_lost: bool = False
    pong: Pong | None = None
    refusals: int = 0
    avoid_until: float = 0.0


class VoterHealth:
    """Which of the other voters are there, judged by their answers to pings."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self._started = now
        self._peers: dict[str, _Peer] = {}

    def track(self, names: Collection[str], now: float) -> None:
        """The voters of a new view; a name that is new has just given a sign."""
        for name in names:
            if name != self.name:
                self._peers.setdefault(name, _Peer(now, now))
        for gone in self._peers.keys() - set(names):
            del self._peers[gone]

    def forget(self, name: str) -> None:
        """Another disk has this voter's name from now on: what was heard of the old one says nothing."""
        self._peers.pop(name, None)

    def answered(self, pong: Pong, now: float) -> None:
        """A voter answered a ping."""
        peer = self._peers.get(pong.name)
        if peer is not None:
            peer.pong = pong
            peer.last_sign = now
            peer.refusals = 0
            peer.disk_lost = False
            if not pong.stalled:
                peer.last_well = now

    def on_disk_replaced(self, name: str) -> None:
        """At the voter's address its name answers with another disk: the one that votes is lost."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.disk_lost = True
            peer.refusals += 1

    def disk_lost(self, name: str) -> bool:
        """Whether the disk that votes is known to be lost."""
        peer = self._peers.get(name)
        return peer is not None and peer.disk_lost

    def leaving(self, name: str) -> bool:
        """Whether a voter's last word was that it leaves."""
        pong = self.pong(name)
        return pong is not None and pong.leaving

    def seconds_since_healthy(self, name: str, now: float) -> float:
        """Seconds since a voter last answered with its disk working."""
        peer = self._peers.get(name)
        return now - peer.last_well if peer is not None else 0.0

    def refused(self, name: str) -> None:
        """Nothing listens there, or another disk answers in the voter's name."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.refusals += 1

    def avoid(self, name: str, until: float) -> None:
        """Leave a voter out of the chain for a while if the others can make one: its neighbour there gets no
        answer from it."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.avoid_until = until

    def is_dead(self, name: str, now: float) -> bool:
        """Whether a voter is not there: it can neither vote nor be in the chain."""
        peer = self._peers.get(name)
        if peer is None:
            return False
        silent = now - peer.last_sign > SUSPECT_AFTER_S
        refused = peer.refusals >= DEAD_AFTER_REFUSALS and now - self._started > SUSPECT_AFTER_S
        stalled = peer.pong is not None and peer.pong.stalled
        return silent or refused or stalled or peer.disk_lost

    def avoided(self, name: str, now: float) -> bool:
        """Whether its neighbour in the chain gets no answer from a voter, so that the chain is to do without
        it if it can.  It votes all the same."""
        peer = self._peers.get(name)
        return peer is not None and now < peer.avoid_until

    def is_reachable(self, name: str, now: float) -> bool:
        """Whether a voter has answered lately."""
        if name == self.name:
            return True
        peer = self._peers.get(name)
        return peer is not None and peer.pong is not None and not self.is_dead(name, now)

    def heard(self, now: float) -> list[str]:
        """The other voters that have answered lately."""
        return [name for name in self._peers if self.is_reachable(name, now)]

    def has_quorum(self, view: View, now: float) -> bool:
        """Whether the voters that are there, this one included, can decide."""
        present = [voter for voter in view.voters if self.is_reachable(voter.name, now)]
        return len(present) >= quorum_size(view)

    def pong(self, name: str) -> Pong | None:
        """The newest answer of a voter."""
        peer = self._peers.get(name)
        return peer.pong if peer is not None else None


@attrs.frozen
class LivenessSnapshot:
    """What the proposer of a view knows of the voters, itself included."""

    alive: frozenset[str]
    complete: frozenset[str]  # chain members that hold every committed state
    heard: Mapping[str, frozenset[str]]  # whom each of them hears
    avoided_members: frozenset[str] = frozenset()  # there too, but to be left out if the others are enough

    def are_connected(self, one: str, other: str) -> bool:
        """Whether two of them hear each other."""
        return other in self.heard.get(one, ()) and one in self.heard.get(other, ())


def take_liveness_snapshot(
    health: VoterHealth, view: View, self_complete: bool, now: float
) -> LivenessSnapshot:
    """The presence as one voter sees it."""
    alive = {health.name}
    complete = {health.name} if self_complete else set()
    heard = {health.name: frozenset(health.heard(now))}
    spared: set[str] = set()
    for voter in view.voters:
        pong = health.pong(voter.name)
        if pong is None or not health.is_reachable(voter.name, now):
            continue
        leave_out = pong.leaving or health.avoided(voter.name, now)
        (spared if leave_out else alive).add(voter.name)
        if pong.complete and pong.epoch == view.epoch:
            complete.add(voter.name)
        heard[voter.name] = frozenset(pong.heard)
    return LivenessSnapshot(frozenset(alive), frozenset(complete), heard, frozenset(spared))


def plan_chain(view: View, present: LivenessSnapshot, leave: str = "") -> View | None:
    """The next view with the same voters whose chain is of those that are there: first the members that hold
    every committed state, in their order, last those that join.  None where that is the present chain, or
    where no chain would be safe.

    A member that is there is left out, because it leaves or its neighbour does not reach it, only while
    enough of the others hold every committed state: else the next loss might take the last copy, though the
    member that was left out still has one."""
    planned = _arrange_chain(view, present, present.alive - {leave})
    if planned is not None and _count_complete_members(planned, present) >= min_chain_length(view):
        return planned
    if leave:
        return None
    spared = present.avoided_members & set(view.chain)
    return _arrange_chain(view, present, present.alive | spared) if spared else planned


def _count_complete_members(view: View, present: LivenessSnapshot) -> int:
    """How many members of a chain hold every committed state."""
    return sum(name in present.complete for name in view.chain)


def _arrange_chain(view: View, present: LivenessSnapshot, members: Collection[str]) -> View | None:
    """The next view with the chain of these voters."""
    kept = [name for name in view.chain if name in members]
    chain = [name for name in kept if name in present.complete]
    chain += [name for name in kept if name not in present.complete]
    joiners = []
    for voter in view.voters:
        may_join = voter.name in members and voter.name not in view.chain
        if may_join and chain and present.are_connected(chain[-1], voter.name):
            joiners.append(voter.name)
            chain.append(voter.name)
    if not chain or chain[0] not in present.complete or chain == view.chain:
        return None
    if len(chain) < min_chain_length(view):
        return None
    return evolve(view, epoch=view.epoch + 1, chain=chain, since=_membership_epochs(view, kept, joiners))


def plan_voters(view: View, add: Voter | None, remove: str | None) -> View | None:
    """The next view with at most one voter added, at the chain's tail, and at most one removed.  The kept
    members of the chain stay in their order.  None where the head would be lost, the chain too short, or
    nothing new."""
    if add is not None and find_voter(view, add.name) == add:
        return None
    changed = (remove, add.name if add is not None else None)
    voters = [voter for voter in view.voters if voter.name not in changed]
    kept = [name for name in view.chain if name not in changed]
    if view.head not in kept:
        return None
    joiners = [] if add is None else [add.name]
    voters = sorted(voters if add is None else [*voters, add], key=lambda voter: voter.name)
    if [voter.name for voter in voters] == [voter.name for voter in view.voters] and add is None:
        return None
    chain = [*kept, *joiners]
    planned = evolve(
        view, epoch=view.epoch + 1, voters=voters, chain=chain, since=_membership_epochs(view, kept, joiners)
    )
    return planned if len(chain) >= min_chain_length(planned) else None


def _membership_epochs(view: View, kept: list[str], joiners: list[str]) -> dict[str, int]:
    since = {name: view.since.get(name, view.epoch) for name in kept}
    since.update(dict.fromkeys(joiners, view.epoch + 1))
    return since


def has_lost_chain_member(view: View, health: VoterHealth, now: float) -> bool:
    """Whether a member of the chain is dead, or to be avoided."""
    others = [name for name in view.chain if name != health.name]
    return any(health.is_dead(name, now) or health.avoided(name, now) for name in others)


def proposal_rank(view: View, present: LivenessSnapshot, name: str) -> int | None:
    """How many live chain members propose before this one; None for a voter outside the chain."""
    members = [member for member in view.chain if member in present.alive]
    return members.index(name) if name in members else None
