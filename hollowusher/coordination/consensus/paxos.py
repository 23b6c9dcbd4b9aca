"""Single-decree Paxos for each epoch, among the voters of the view before.  No I/O, no clock.

The view of epoch e + 1 is decided once a quorum of the voters of view e has accepted it under one ballot; for
the first view, which has none before it, see `first_view`.
`Acceptor` owns what one voter must remember; `Proposer` owns one ballot.  `VoterStateMachine` determines what
has to be on disk before which answer or request is sent.

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
    """Return how many voters a decision takes."""
    return len(view.voters) // 2 + 1


def min_chain_length(view: View) -> int:
    """Return the least length at which every quorum of the voters contains a chain member."""
    return len(view.voters) - quorum_size(view) + 1


def find_voter(view: View, name: str) -> Voter | None:
    """Return the voter of this name."""
    return next((voter for voter in view.voters if voter.name == name), None)


def is_voter(view: View, name: str, disk_id: str) -> bool:
    """Return whether this name *with this disk* is a voter of the view."""
    voter = find_voter(view, name)
    return voter is not None and voter.disk_id == disk_id


def first_view(voters: Iterable[Voter], cluster: str = "") -> View:
    """Return view 1: all given controllers vote and form the chain, in the order of their names."""
    ordered = sorted(voters, key=lambda voter: voter.name)
    names = [voter.name for voter in ordered]
    return View(FIRST_EPOCH, ordered, names, dict.fromkeys(names, FIRST_EPOCH), cluster)


def is_same_cluster(one: str, other: str) -> bool:
    """Return whether two cluster names may be those of one system; older processes send none."""
    return one == other or not one or not other


def voter_id(voter: Voter) -> str:
    """Return name and disk, by which a message names its addressee: an address may be reused."""
    return f"{voter.name}/{voter.disk_id}"


class Acceptor:
    """One voter's promises, its accepted view and the newest decided view.  All of it is durable.

    Invariant: `promised`, `accepted_ballot` and `accepted` refer to the epoch after `decided`.
    """

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        self.name = name
        self.disk_id = disk_id
        self.decided: View | None = None
        self.promised = NO_BALLOT
        self.accepted_ballot = NO_BALLOT
        self.accepted: View | None = None
        self.foreign_rejections = 0  # messages of another cluster or for another voter
        if saved is not None:
            self._load(saved)

    def _load(self, saved: bytes) -> None:
        self.decided, promised, accepted_ballot, self.accepted = decode(saved)
        self.promised = decode_ballot(promised)
        self.accepted_ballot = decode_ballot(accepted_ballot)

    def dump(self) -> bytes:
        """Encode the acceptor for its slot on disk."""
        return encode([self.decided, list(self.promised), list(self.accepted_ballot), self.accepted])

    @property
    def epoch(self) -> int:
        """The epoch of the newest decided view known, 0 for none."""
        return self.decided.epoch if self.decided is not None else 0

    @property
    def vote(self) -> tuple[Ballot, Ballot, View | None]:
        """What this voter has promised and accepted."""
        return self.promised, self.accepted_ballot, self.accepted

    def may_vote(self, epoch: int) -> bool:
        """Return whether this voter may vote on the view of this epoch.

        Before any view is decided every controller may promise for the first one, see `first_view`.
        """
        decided = self.decided
        if decided is None:
            return epoch == FIRST_EPOCH
        return epoch == decided.epoch + 1 and is_voter(decided, self.name, self.disk_id)

    def confirms(self, epoch: int) -> bool:
        """Return whether this voter votes in view `epoch` and has accepted no later view."""
        return self.epoch == epoch and self.accepted is None and self.may_vote(epoch + 1)

    def confirm(self, message: ConfirmEpoch) -> bool:
        """Return whether the view that another voter asks about is still the newest."""
        if not self._is_addressee(message.voter) or not self._is_of_own_cluster(message.cluster):
            return False
        return self.confirms(message.epoch)

    def learn(self, view: View) -> bool:
        """Learn a decided view; return whether it is newer than the known one."""
        if not self._is_compatible(view) or view.epoch <= self.epoch:
            return False
        self.decided = view
        self.promised = NO_BALLOT
        self.accepted_ballot = NO_BALLOT
        self.accepted = None
        return True

    def prepare(self, message: Prepare) -> Promise:
        """Vote in phase 1; the base view of the message has been learned before."""
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
        """Return whether a message was sent to this voter; older processes do not name the addressee."""
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
        """Return whether a view is of the own cluster, which never decides two views of one epoch."""
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
    """One ballot for the view after `base`.

    Invariant: once a quorum has promised, `value` never changes.
    """

    def __init__(self, base: View, wanted: View, ballot: Ballot) -> None:
        self.base = base
        self.ballot = ballot
        self.value = evolve(wanted, cluster=base.cluster)
        self.decided: View | None = None
        self.highest_round = ballot[0]  # for the next attempt
        self._promises: dict[str, Promise] = {}
        self._acceptances: set[str] = set()

    @property
    def has_promise_quorum(self) -> bool:
        """Whether a quorum has promised."""
        return len(self._promises) >= quorum_size(self.base)

    def prepare(self, voter: Voter | None = None) -> Prepare:
        """Return the request of phase 1 to a voter; without one, to the proposer's own acceptor."""
        addressee = voter_id(voter) if voter is not None else ""
        return Prepare(self.base.epoch + 1, list(self.ballot), self.base, addressee)

    def accept(self, voter: Voter | None = None) -> Accept:
        """Return the request of phase 2, valid once `on_promise` has returned True."""
        addressee = voter_id(voter) if voter is not None else ""
        return Accept(self.base.epoch + 1, list(self.ballot), self.value, addressee)

    def on_promise(self, voter: str, answer: Promise) -> bool:
        """Count an answer of phase 1; return True once, when a quorum has promised."""
        self._observe(answer.ballot, answer.decided)
        if not answer.granted or decode_ballot(answer.ballot) != self.ballot or self.has_promise_quorum:
            return False
        self._promises[voter] = answer
        if not self.has_promise_quorum:
            return False
        self._adopt_accepted()
        return True

    def on_accepted(self, voter: str, answer: Accepted) -> bool:
        """Count an answer of phase 2; return True once the value is decided."""
        self._observe(answer.ballot, answer.decided)
        if not answer.granted or decode_ballot(answer.ballot) != self.ballot:
            return False
        self._acceptances.add(voter)
        if len(self._acceptances) < quorum_size(self.base):
            return False
        self.decided = self.value
        return True

    def _adopt_accepted(self) -> None:
        """Adopt the accepted value of the highest ballot: it may have been decided already."""
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
    """Return a ballot from its form on the wire."""
    round_number, name = value
    return int(str(round_number)), str(name)
