"""Agreement on views: single-decree Paxos for each epoch, among the voters of the view before.

Source: Lamport, "Paxos made simple" (2001).  The view of epoch e + 1 is decided once a majority of the voters
of view e have accepted it under one ballot.  Nothing here does I/O: the owner saves `Acceptor.dump()`
durably before an answer leaves.
"""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.protocol.codec import decode, encode
from hollowusher.protocol.control import Accept, Accepted, Prepare, Promise, View, Voter

Ballot = tuple[int, str]  # round, name of the proposer
NO_BALLOT: Ballot = (0, "")
FIRST_EPOCH = 1


def majority(view: View) -> int:
    """How many voters decide."""
    return len(view.voters) // 2 + 1


def shortest_chain(view: View) -> int:
    """The least chain length: any majority of the voters then holds a chain member."""
    return len(view.voters) - majority(view) + 1


def find_voter(view: View, name: str) -> Voter | None:
    """The voter of this name."""
    return next((voter for voter in view.voters if voter.name == name), None)


def is_voter(view: View, name: str, disk_id: str) -> bool:
    """Whether this name *with this disk* votes."""
    voter = find_voter(view, name)
    return voter is not None and voter.disk_id == disk_id


def first_view(voters: Iterable[Voter]) -> View:
    """View 1: all the given controllers vote and form the chain, in the order of their names."""
    ordered = sorted(voters, key=lambda voter: voter.name)
    names = [voter.name for voter in ordered]
    return View(FIRST_EPOCH, ordered, names, dict.fromkeys(names, FIRST_EPOCH))


class Acceptor:
    """One controller's vote and its memory of views; all of it is durable."""

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        self.name = name
        self.disk_id = disk_id
        self.decided: View | None = None
        self.promised = NO_BALLOT
        self.accepted_ballot = NO_BALLOT
        self.accepted: View | None = None  # of the epoch after `decided`
        if saved is not None:
            self._load(saved)

    def _load(self, saved: bytes) -> None:
        self.decided, promised, accepted_ballot, self.accepted = decode(saved)
        self.promised = as_ballot(promised)
        self.accepted_ballot = as_ballot(accepted_ballot)

    def dump(self) -> bytes:
        """What is to be saved."""
        return encode([self.decided, list(self.promised), list(self.accepted_ballot), self.accepted])

    @property
    def epoch(self) -> int:
        """The epoch of the newest decided view known, 0 for none."""
        return self.decided.epoch if self.decided is not None else 0

    def votes(self, epoch: int) -> bool:
        """Whether it may vote on the view of this epoch."""
        decided = self.decided
        return (
            decided is not None and epoch == decided.epoch + 1 and is_voter(decided, self.name, self.disk_id)
        )

    def confirms(self, epoch: int) -> bool:
        """Whether it votes in view `epoch` and has accepted no later one."""
        return self.epoch == epoch and self.accepted is None and self.votes(epoch + 1)

    def learn(self, view: View) -> bool:
        """Take a decided view; whether it is a newer one."""
        if view.epoch <= self.epoch:
            return False
        self.decided = view
        self.promised = NO_BALLOT
        self.accepted_ballot = NO_BALLOT
        self.accepted = None
        return True

    def take_first(self, view: View) -> View | None:
        """Hold the first proposed view 1 and return the one held; None where view 1 is long decided."""
        if self.decided is not None:
            return None
        if self.accepted is None and is_voter(view, self.name, self.disk_id):
            self.accepted = view
        return self.accepted

    def prepare(self, message: Prepare) -> Promise:
        """First phase; the base view that comes along has been learned before."""
        ballot = as_ballot(message.ballot)
        if not self.votes(message.epoch) or ballot < self.promised:
            return Promise(False, list(self.promised), decided=self._newer(message.epoch))
        self.promised = ballot
        accepted_ballot = list(self.accepted_ballot) if self.accepted is not None else None
        return Promise(True, list(ballot), accepted_ballot, self.accepted)

    def accept(self, message: Accept) -> Accepted:
        """Second phase."""
        ballot = as_ballot(message.ballot)
        if not self.votes(message.epoch) or ballot < self.promised:
            return Accepted(False, list(self.promised), self._newer(message.epoch))
        self.promised = ballot
        self.accepted_ballot = ballot
        self.accepted = message.view
        return Accepted(True, list(ballot))

    def _newer(self, epoch: int) -> View | None:
        return self.decided if self.epoch >= epoch else None


class Proposer:
    """One ballot for the view after `base`."""

    def __init__(self, base: View, wanted: View, ballot: Ballot) -> None:
        self.base = base
        self.ballot = ballot
        self.value = wanted
        self.decided: View | None = None
        self.highest_round = ballot[0]  # for the next attempt
        self._promises: dict[str, Promise] = {}
        self._acceptances: set[str] = set()

    def prepare(self) -> Prepare:
        """What every voter of the base view is asked first."""
        return Prepare(self.base.epoch + 1, list(self.ballot), self.base)

    def accept(self) -> Accept:
        """What every voter is asked once `on_promise` has returned True."""
        return Accept(self.base.epoch + 1, list(self.ballot), self.value)

    def on_promise(self, voter: str, answer: Promise) -> bool:
        """Take an answer; True once, when a majority has promised."""
        self._note(answer.ballot, answer.decided)
        if not answer.granted or as_ballot(answer.ballot) != self.ballot or voter in self._promises:
            return False
        self._promises[voter] = answer
        if len(self._promises) != majority(self.base):
            return False
        self._adopt_accepted()
        return True

    def on_accepted(self, voter: str, answer: Accepted) -> bool:
        """Take an answer; True once the value is decided."""
        self._note(answer.ballot, answer.decided)
        if not answer.granted or as_ballot(answer.ballot) != self.ballot:
            return False
        self._acceptances.add(voter)
        if len(self._acceptances) < majority(self.base):
            return False
        self.decided = self.value
        return True

    def _adopt_accepted(self) -> None:
        """A value that may have been decided already goes before the wanted one."""
        best = NO_BALLOT
        for promise in self._promises.values():
            ballot = as_ballot(promise.accepted_ballot or NO_BALLOT)
            if promise.accepted is not None and ballot > best:
                best = ballot
                self.value = promise.accepted

    def _note(self, ballot: Iterable[object], decided: View | None) -> None:
        self.highest_round = max(self.highest_round, as_ballot(ballot)[0])
        if decided is not None and decided.epoch > self.base.epoch:
            self.decided = decided


def as_ballot(value: Iterable[object]) -> Ballot:
    """A ballot from its form on the wire."""
    number, name = value
    return int(str(number)), str(name)
