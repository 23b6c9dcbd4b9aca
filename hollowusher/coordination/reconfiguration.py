"""When and how the view is to change: which voters are there, and the chain that follows.  No I/O, no clock.

Times are seconds of the owner's steady clock, passed in.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import attrs

from hollowusher.coordination.view import find_voter, majority, shortest_chain
from hollowusher.protocol.control import Pong, View, Voter

SUSPECT_AFTER_S = 1.2
REFUSALS_OF_A_DEAD_PROCESS = 2
REPLACE_AFTER_S = 3.0
MOST_VOTERS = 5  # controllers added later; the first view holds all of them
PROPOSAL_STAGGER_S = 0.3


@attrs.define
class _Peer:
    """What is known of one other voter."""

    last_sign: float
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
                self._peers.setdefault(name, _Peer(now))
        for gone in self._peers.keys() - set(names):
            del self._peers[gone]

    def answered(self, pong: Pong, now: float) -> None:
        """A voter answered a ping."""
        peer = self._peers.get(pong.name)
        if peer is not None:
            peer.pong = pong
            peer.last_sign = now
            peer.refusals = 0

    def refused(self, name: str) -> None:
        """Nothing listens there, or another disk answers in the voter's name."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.refusals += 1

    def avoid(self, name: str, until: float) -> None:
        """Take a voter for dead for a while: its neighbour in the chain gets no answer from it."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.avoid_until = until

    def dead(self, name: str, now: float) -> bool:
        """Whether a voter is to be left out of the chain."""
        return self.silent_for(name, now) > 0

    def silent_for(self, name: str, now: float) -> float:
        """Seconds since the last sign of a voter that counts as dead, 0 for one that does not."""
        peer = self._peers.get(name)
        if peer is None:
            return 0.0
        silence = now - peer.last_sign
        refused = peer.refusals >= REFUSALS_OF_A_DEAD_PROCESS and now - self._started > SUSPECT_AFTER_S
        stalled = peer.pong is not None and peer.pong.stalled
        dead = silence > SUSPECT_AFTER_S or refused or stalled or now < peer.avoid_until
        return max(silence, 0.001) if dead else 0.0

    def hears(self, name: str, now: float) -> bool:
        """Whether a voter has answered lately."""
        if name == self.name:
            return True
        peer = self._peers.get(name)
        return peer is not None and peer.pong is not None and not self.dead(name, now)

    def heard(self, now: float) -> list[str]:
        """The other voters that have answered lately."""
        return [name for name in self._peers if self.hears(name, now)]

    def hears_majority(self, view: View, now: float) -> bool:
        """Whether the voters that are there, this one included, can decide."""
        present = [voter for voter in view.voters if self.hears(voter.name, now)]
        return len(present) >= majority(view)

    def pong(self, name: str) -> Pong | None:
        """The newest answer of a voter."""
        peer = self._peers.get(name)
        return peer.pong if peer is not None else None


@attrs.frozen
class Presence:
    """What the proposer of a view knows of the voters, itself included."""

    alive: frozenset[str]
    complete: frozenset[str]  # chain members that hold every committed state
    heard: Mapping[str, frozenset[str]]  # whom each of them hears

    def linked(self, one: str, other: str) -> bool:
        """Whether two of them hear each other."""
        return other in self.heard.get(one, ()) and one in self.heard.get(other, ())


def presence(health: VoterHealth, view: View, self_complete: bool, now: float) -> Presence:
    """The presence as one voter sees it."""
    alive = {health.name}
    complete = {health.name} if self_complete else set()
    heard = {health.name: frozenset(health.heard(now))}
    for voter in view.voters:
        pong = health.pong(voter.name)
        if pong is None or not health.hears(voter.name, now) or pong.leaving:
            continue
        alive.add(voter.name)
        if pong.complete and pong.epoch == view.epoch:
            complete.add(voter.name)
        heard[voter.name] = frozenset(pong.heard)
    return Presence(frozenset(alive), frozenset(complete), heard)


def plan_chain(view: View, present: Presence, leave: str = "") -> View | None:
    """The next view with the same voters whose chain is of those that are there: first the members that hold
    every committed state, in their order, last those that join.  None where that is the present chain, or
    where no chain would be safe."""
    kept = [name for name in view.chain if name in present.alive and name != leave]
    chain = [name for name in kept if name in present.complete]
    chain += [name for name in kept if name not in present.complete]
    joiners = []
    for voter in view.voters:
        may_join = voter.name in present.alive and voter.name not in view.chain and voter.name != leave
        if may_join and chain and present.linked(chain[-1], voter.name):
            joiners.append(voter.name)
            chain.append(voter.name)
    if not chain or chain[0] not in present.complete or chain == view.chain:
        return None
    if len(chain) < shortest_chain(view):
        return None
    return View(view.epoch + 1, view.voters, chain, _since(view, kept, joiners))


def plan_voters(view: View, add: Voter, remove: str | None) -> View | None:
    """The next view with one voter added at the chain's tail and at most one removed.  None where the head
    would be lost, or the chain too short."""
    voters = [voter for voter in view.voters if voter.name not in (remove, add.name)]
    voters = sorted([*voters, add], key=lambda voter: voter.name)
    kept = [name for name in view.chain if name not in (remove, add.name)]
    if view.head not in kept or find_voter(view, add.name) == add:
        return None
    chain = [*kept, add.name]
    planned = View(view.epoch + 1, voters, chain, _since(view, kept, [add.name]))
    return planned if len(chain) >= shortest_chain(planned) else None


def _since(view: View, kept: list[str], joiners: list[str]) -> dict[str, int]:
    since = {name: view.since.get(name, view.epoch) for name in kept}
    since.update(dict.fromkeys(joiners, view.epoch + 1))
    return since


def lost_member(view: View, health: VoterHealth, now: float) -> bool:
    """Whether a member of the chain is dead."""
    return any(health.dead(name, now) for name in view.chain if name != health.name)


def proposal_rank(view: View, present: Presence, name: str) -> int | None:
    """How many live chain members propose before this one; None for a voter outside the chain."""
    members = [member for member in view.chain if member in present.alive]
    return members.index(name) if name in members else None


def choose_candidate(
    view: View, candidates: Collection[Voter], health: VoterHealth, now: float
) -> tuple[Voter, str | None] | None:
    """The controller to be made a voter next, and the voter whose place it takes."""
    for candidate in candidates:
        held = find_voter(view, candidate.name)
        if held == candidate:
            continue
        if held is not None:
            return candidate, held.name
        dead = [voter.name for voter in view.voters if health.silent_for(voter.name, now) > REPLACE_AFTER_S]
        if dead:
            return candidate, dead[0]
        if len(view.voters) < MOST_VOTERS:
            return candidate, None
    return None
