"""Single-decree Paxos for each epoch, among the voters of the previous view.  No I/O, no clock.

The view of epoch e + 1 is decided once a quorum of the voters of view e has accepted it under one ballot.
`first_view` decides the first view, which has no previous view.
`Acceptor` owns the durable state of one voter; `Proposer` owns one ballot.  `VoterStateMachine` determines
which state must be on disk before a response or request is sent.

Source: Lamport, "Paxos made simple" (2001).
"""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.protocol.codec import decode, encode, evolve
from hollowusher.protocol.consensus import Accept, Accepted, ConfirmEpoch, Prepare, Promise
from hollowusher.protocol.view import View, Voter

Ballot = tuple[int, str]  # round, name of the proposer
NO_BALLOT: Ballot = (0, "")
FIRST_EPOCH = 1


def quorum_size(view: View) -> int:
    """Return how many voters must accept a view before it is decided."""
    return len(view.voters) // 2 + 1


def min_chain_length(view: View) -> int:
    """Return the smallest chain length with which every quorum of the voters contains a chain member."""
    return len(view.voters) - quorum_size(view) + 1


def find_voter(view: View, name: str) -> Voter | None:
    """Return the voter with this name, None if the view has none."""
    return next((voter for voter in view.voters if voter.name == name), None)


def is_voter(view: View, name: str, disk_id: str) -> bool:
    """Return whether the controller is a voter of the view *with this disk*."""
    voter = find_voter(view, name)
    return voter is not None and voter.disk_id == disk_id


def first_view(voters: Iterable[Voter], cluster: str = "") -> View:
    """Return view 1, in which all given controllers vote and form the chain, sorted by name."""
    ordered = sorted(voters, key=lambda voter: voter.name)
    names = [voter.name for voter in ordered]
    return View(FIRST_EPOCH, ordered, names, dict.fromkeys(names, FIRST_EPOCH), cluster)


def is_same_cluster(one: str, other: str) -> bool:
    """Return whether two cluster names may belong to the same cluster.

    Processes with an older version of the software send an empty name, which matches every name.
    """
    return one == other or not one or not other


def voter_id(voter: Voter) -> str:
    """Return the id of a voter, "name/disk id".

    A message identifies its addressee by this id because an address may be reused by another process.
    """
    return f"{voter.name}/{voter.disk_id}"


class Acceptor:
    """One voter's promised ballot, its accepted view and the newest decided view, all of them durable.

    Invariant: `promised`, `accepted_ballot` and `accepted` refer to the epoch after `decided`.
    """

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        self.name = name
        self.disk_id = disk_id
        self.decided: View | None = None
        self.promised = NO_BALLOT
        self.accepted_ballot = NO_BALLOT
        self.accepted: View | None = None
        self.foreign_rejections = 0  # rejected messages of another cluster or for another voter
        if saved is not None:
            self._load(saved)

    def _load(self, saved: bytes) -> None:
        self.decided, promised, accepted_ballot, self.accepted = decode(saved)
        self.promised = decode_ballot(promised)
        self.accepted_ballot = decode_ballot(accepted_ballot)

    def dump(self) -> bytes:
        """Return the encoded state of the acceptor, as its slot on disk stores it."""
        return encode([self.decided, list(self.promised), list(self.accepted_ballot), self.accepted])

    @property
    def epoch(self) -> int:
        """The epoch of the newest known decided view, 0 if there is none."""
        return self.decided.epoch if self.decided is not None else 0

    @property
    def vote(self) -> tuple[Ballot, Ballot, View | None]:
        """The promised ballot, the ballot of the accepted view, and the accepted view."""
        return self.promised, self.accepted_ballot, self.accepted

    def may_vote(self, epoch: int) -> bool:
        """Return whether this voter may vote on the view of this epoch.

        Until this controller knows a decided view, it may vote on the first view (see `first_view`).
        """
        decided = self.decided
        if decided is None:
            return epoch == FIRST_EPOCH
        return epoch == decided.epoch + 1 and is_voter(decided, self.name, self.disk_id)

    def confirms(self, epoch: int) -> bool:
        """Return whether this voter has a vote in view `epoch` and knows or has accepted no later view."""
        return self.epoch == epoch and self.accepted is None and self.may_vote(epoch + 1)

    def confirm(self, message: ConfirmEpoch) -> bool:
        """Return whether a request is meant for this voter and this voter confirms its epoch."""
        if not self._is_addressee(message.voter) or not self._is_of_own_cluster(message.cluster):
            return False
        return self.confirms(message.epoch)

    def learn(self, view: View) -> bool:
        """Adopt a decided view if it is newer than the known one; return whether it is."""
        if not self._is_compatible(view) or view.epoch <= self.epoch:
            return False
        self.decided = view
        self.promised = NO_BALLOT
        self.accepted_ballot = NO_BALLOT
        self.accepted = None
        return True

    def prepare(self, message: Prepare) -> Promise:
        """Vote in phase 1; the caller has already passed the base view of the message to `learn`."""
        if not self._is_addressee(message.voter) or not self._is_compatible(message.base):
            return Promise(granted=False, ballot=list(self.promised))
        ballot = decode_ballot(message.ballot)
        if not self.may_vote(message.epoch) or ballot < self.promised:
            return Promise(
                granted=False, ballot=list(self.promised), decided=self._decided_since(message.epoch)
            )
        self.promised = ballot
        accepted_ballot = list(self.accepted_ballot) if self.accepted is not None else None
        return Promise(
            granted=True, ballot=list(ballot), accepted_ballot=accepted_ballot, accepted=self.accepted
        )

    def accept(self, message: Accept) -> Accepted:
        """Vote in phase 2."""
        if not self._is_addressee(message.voter) or not self._is_compatible(message.view):
            return Accepted(granted=False, ballot=list(self.promised))
        ballot = decode_ballot(message.ballot)
        is_of_epoch = message.view.epoch == message.epoch
        if self.decided is None:
            is_of_epoch = is_of_epoch and is_voter(message.view, self.name, self.disk_id)
        if not is_of_epoch or not self.may_vote(message.epoch) or ballot < self.promised:
            return Accepted(
                granted=False, ballot=list(self.promised), decided=self._decided_since(message.epoch)
            )
        self.promised = ballot
        self.accepted_ballot = ballot
        self.accepted = message.view
        return Accepted(granted=True, ballot=list(ballot))

    def _is_addressee(self, addressee: str) -> bool:
        """Return whether a message is meant for this voter.

        Processes with an older version of the software leave the addressee empty; every voter takes such a
        message.
        """
        if addressee in ("", f"{self.name}/{self.disk_id}"):
            return True
        self.foreign_rejections += 1
        return False

    def _is_of_own_cluster(self, cluster: str) -> bool:
        if self.decided is None or is_same_cluster(self.decided.cluster, cluster):
            return True
        self.foreign_rejections += 1
        return False

    def _is_compatible(self, view: View | None) -> bool:
        """Return whether a view may belong to this voter's cluster.

        A cluster never decides two views of one epoch, so a different view of the known epoch is foreign.
        """
        if view is None or self.decided is None:
            return True
        if not self._is_of_own_cluster(view.cluster):
            return False
        if view.epoch == self.epoch and view != self.decided:
            self.foreign_rejections += 1
            return False
        return True

    def _decided_since(self, epoch: int) -> View | None:
        return self.decided if self.epoch >= epoch else None


class Proposer:
    """One ballot for the view that follows `base`.

    Invariant: `value` never changes after a quorum has promised.
    """

    def __init__(self, base: View, planned: View, ballot: Ballot) -> None:
        self.base = base
        self.ballot = ballot
        self.value = evolve(planned, cluster=base.cluster)
        self.decided: View | None = None
        self.highest_round = ballot[0]  # highest round seen; the next ballot uses a higher one
        self._promises: dict[str, Promise] = {}
        self._acceptances: set[str] = set()

    @property
    def has_promise_quorum(self) -> bool:
        """Whether a quorum has promised."""
        return len(self._promises) >= quorum_size(self.base)

    def prepare(self, voter: Voter | None = None) -> Prepare:
        """Return the phase 1 request to a voter, or to the proposer's own acceptor if `voter` is None."""
        addressee = voter_id(voter) if voter is not None else ""
        return Prepare(self.base.epoch + 1, list(self.ballot), self.base, addressee)

    def accept(self, voter: Voter | None = None) -> Accept:
        """Return the phase 2 request; the caller sends it only after `on_promise` has returned True."""
        addressee = voter_id(voter) if voter is not None else ""
        return Accept(self.base.epoch + 1, list(self.ballot), self.value, addressee)

    def on_promise(self, voter: str, answer: Promise) -> bool:
        """Count a phase 1 response; return True exactly once, when it completes a quorum of promises."""
        self._observe(answer.ballot, answer.decided)
        if not answer.granted or decode_ballot(answer.ballot) != self.ballot or self.has_promise_quorum:
            return False
        self._promises[voter] = answer
        if not self.has_promise_quorum:
            return False
        self._adopt_accepted()
        return True

    def on_accepted(self, voter: str, answer: Accepted) -> bool:
        """Count a phase 2 response; return whether the value is decided."""
        self._observe(answer.ballot, answer.decided)
        if not answer.granted or decode_ballot(answer.ballot) != self.ballot:
            return False
        self._acceptances.add(voter)
        if len(self._acceptances) < quorum_size(self.base):
            return False
        self.decided = self.value
        return True

    def _adopt_accepted(self) -> None:
        """Adopt the accepted value with the highest ballot, because it may be decided already."""
        best = NO_BALLOT
        for promise in self._promises.values():
            ballot = decode_ballot(promise.accepted_ballot or NO_BALLOT)
            if promise.accepted is not None and ballot > best:
                best = ballot
                self.value = promise.accepted

    def _observe(self, ballot: Iterable[object], decided: View | None) -> None:
        self.highest_round = max(self.highest_round, decode_ballot(ballot)[0])
        if decided is not None and decided.epoch > self.base.epoch:
            self.decided = decided


def decode_ballot(value: Iterable[object]) -> Ballot:
    """Decode a ballot from its wire format, a list of round and proposer name."""
    round_number, name = value
    return int(str(round_number)), str(name)
