"""The decision on view 1 of a new cluster: one ballot as a state machine.  No I/O, no clock.

No earlier view defines the voters of view 1, and seeds may have discovered different controllers.  Therefore
view 1 is decided only when *all* voters that it names have accepted it under one ballot, and the proposer
first collects promises from all of them.  Two views that share a voter are never both decided:

- Once view V is decided under ballot b, each of its voters has accepted V under b.  A later ballot whose view
  names one of these voters needs that voter's promise.  The promise contains V, so the proposer proposes V.
- A proposer that receives an accepted view in a promise may discard it only if the view cannot have been
  decided: one of its voters has promised the later ballot without having accepted the view.

This rule does not cover views that share no voter: seeds that have discovered disjoint sets of controllers
start two clusters.

Sources: Lamport, "Paxos made simple" (2001); Howard, Malkhi and Spiegelman, "Flexible Paxos: quorum
intersection revisited" (2016), for phase 2 quorums that intersect the phase 1 quorums.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hollowusher.coordination.consensus.paxos import FIRST_EPOCH, Ballot, decode_ballot, voter_id
from hollowusher.protocol.consensus import Accept, Accepted, Prepare, Promise
from hollowusher.protocol.view import View, Voter

PlanFirstView = Callable[[list[Voter]], View | None]  # takes the controllers that have promised


class FirstViewProposer:
    """One ballot for view 1 among the given candidates.

    Invariants: `value` is set once, after all its voters have promised.  `decided` is set only after all
    voters of `value` have accepted it, or from a response that contains a decided view.
    """

    def __init__(self, ballot: Ballot, candidates: Iterable[Voter], plan: PlanFirstView) -> None:
        self.ballot = ballot
        self.candidates = {voter_id(voter): voter for voter in candidates}
        self.value: View | None = None
        self.decided: View | None = None
        self.highest_round = ballot[0]
        self._plan = plan
        self._promises: dict[str, Promise] = {}
        self._acceptances: set[str] = set()

    def prepare(self, voter: Voter) -> Prepare:
        """Return the phase 1 request to a candidate."""
        return Prepare(FIRST_EPOCH, list(self.ballot), None, voter_id(voter))

    def accept(self, voter: Voter) -> Accept:
        """Return the phase 2 request to a voter of `value`."""
        assert self.value is not None
        return Accept(FIRST_EPOCH, list(self.ballot), self.value, voter_id(voter))

    def on_promise(self, voter: Voter, answer: Promise) -> None:
        """Count a phase 1 response."""
        self._observe(answer.ballot, answer.decided)
        if answer.granted and decode_ballot(answer.ballot) == self.ballot:
            self._promises[voter_id(voter)] = answer

    def choose_value(self) -> bool:
        """Set `value` to the view to propose, chosen from the promises; return whether there is one.

        Return False if a view is decided already or if a voter of the chosen view has not promised.
        """
        value = self._possibly_decided_view() or self._plan(
            [self.candidates[name] for name in sorted(self._promises)]
        )
        if self.decided is not None or value is None:
            return False
        if any(voter_id(voter) not in self._promises for voter in value.voters):
            return False
        self.value = value
        return True

    def on_accepted(self, voter: Voter, answer: Accepted) -> None:
        """Count a phase 2 response."""
        self._observe(answer.ballot, answer.decided)
        if not answer.granted or decode_ballot(answer.ballot) != self.ballot:
            return
        self._acceptances.add(voter_id(voter))
        assert self.value is not None
        if all(voter_id(each) in self._acceptances for each in self.value.voters):
            self.decided = self.value

    def accepted_voters(self) -> list[Voter]:
        """Return the voters of all accepted views in the promises.

        The next ballot adds them to its candidates.
        """
        views = [promise.accepted for promise in self._promises.values() if promise.accepted is not None]
        return [voter for view in views for voter in view.voters]

    def _possibly_decided_view(self) -> View | None:
        """Return the accepted view with the highest ballot among those that may be decided."""
        accepted = [
            (decode_ballot(promise.accepted_ballot or (0, "")), promise.accepted)
            for promise in self._promises.values()
            if promise.accepted is not None
        ]
        for ballot, view in sorted(accepted, key=lambda pair: pair[0], reverse=True):
            if self._may_be_decided(view, ballot):
                return view
        return None

    def _may_be_decided(self, view: View, ballot: Ballot) -> bool:
        """Return whether the view, accepted under `ballot`, may have been decided.

        It cannot be decided if one of its voters has promised the ballot of this proposer without having
        accepted the view under `ballot` or a higher one.
        """
        for voter in view.voters:
            promise = self._promises.get(voter_id(voter))
            if promise is None:
                continue
            has_accepted = promise.accepted == view
            if not has_accepted or decode_ballot(promise.accepted_ballot or (0, "")) < ballot:
                return False
        return True

    def _observe(self, ballot: Iterable[object], decided: View | None) -> None:
        self.highest_round = max(self.highest_round, decode_ballot(ballot)[0])
        if decided is not None:
            self.decided = decided
