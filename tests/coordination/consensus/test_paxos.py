"""Single-decree Paxos on views: all interleavings of two proposers, and the right to vote."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import copy

import attrs

from hollowusher.coordination.consensus.paxos import (
    NO_BALLOT,
    Acceptor,
    Proposer,
    first_view,
    is_voter,
    min_chain_length,
    quorum_size,
)
from hollowusher.protocol.consensus import Accept, Prepare
from hollowusher.protocol.view import View, Voter

VOTERS = [Voter(name, f"disk-{name}", f"10.0.0.{number}:1") for number, name in enumerate("abc")]
BASE = first_view(VOTERS)


def next_view(chain: str) -> View:
    return View(2, VOTERS, list(chain), dict.fromkeys(chain, 1))


def acceptors() -> dict[str, Acceptor]:
    made = {}
    for voter in VOTERS:
        made[voter.name] = Acceptor(voter.name, voter.disk_id)
        made[voter.name].learn(BASE)
    return made


def test_quorum_size_and_min_chain_length() -> None:
    sizes = {}
    for count in range(1, 8):
        view = first_view([Voter(str(number), "d", "") for number in range(count)])
        sizes[count] = (quorum_size(view), min_chain_length(view))
        assert quorum_size(view) + min_chain_length(view) > count  # every majority intersects every chain
    assert sizes[3] == (2, 2)
    assert sizes[4] == (3, 2)
    assert sizes[5] == (3, 3)


def test_a_proposal_is_decided_by_a_majority() -> None:
    group = acceptors()
    proposer = Proposer(BASE, next_view("ab"), (1, "a"))
    assert not proposer.on_promise("a", group["a"].prepare(proposer.prepare()))
    assert proposer.on_promise("b", group["b"].prepare(proposer.prepare()))
    assert not proposer.on_accepted("a", group["a"].accept(proposer.accept()))
    assert proposer.decided is None
    assert proposer.on_accepted("b", group["b"].accept(proposer.accept()))
    assert proposer.decided == next_view("ab")


def test_a_repeated_response_counts_once() -> None:
    group = acceptors()
    proposer = Proposer(BASE, next_view("ab"), (1, "a"))
    promise_answer = group["a"].prepare(proposer.prepare())
    assert not proposer.on_promise("a", promise_answer)
    assert not proposer.on_promise("a", promise_answer)
    accepted = group["a"].accept(proposer.accept())
    assert not proposer.on_accepted("a", accepted)
    assert not proposer.on_accepted("a", accepted)


def test_a_later_proposer_adopts_the_accepted_value() -> None:
    group = acceptors()
    early = Proposer(BASE, next_view("ab"), (1, "a"))
    for name in "ab":
        early.on_promise(name, group[name].prepare(early.prepare()))
    group["b"].accept(early.accept())
    late = Proposer(BASE, next_view("bc"), (2, "c"))
    for name in "bc":
        late.on_promise(name, group[name].prepare(late.prepare()))
    assert late.value == next_view("ab")


def test_an_old_ballot_is_rejected_with_the_promised_round() -> None:
    group = acceptors()
    group["a"].prepare(Prepare(2, [7, "c"]))
    proposer = Proposer(BASE, next_view("ab"), (1, "a"))
    answer = group["a"].prepare(proposer.prepare())
    assert not answer.granted
    proposer.on_promise("a", answer)
    assert proposer.highest_round == 7
    assert not group["a"].accept(proposer.accept()).granted


def test_a_wiped_voter_does_not_vote() -> None:
    wiped = Acceptor("a", "another-disk")
    wiped.learn(BASE)
    proposer = Proposer(BASE, next_view("bc"), (1, "b"))
    assert not wiped.prepare(proposer.prepare()).granted
    assert not wiped.accept(proposer.accept()).granted
    assert not wiped.confirms(1)
    assert not is_voter(BASE, "a", "another-disk")
    assert not wiped.accept(Accept(1, [1, "b"], BASE)).granted


def test_a_controller_outside_the_voter_set_does_not_vote() -> None:
    stranger = Acceptor("z", "disk-z")
    stranger.learn(BASE)
    assert not stranger.prepare(Prepare(2, [1, "a"])).granted
    fresh = Acceptor("a", "disk-a")
    assert not fresh.prepare(Prepare(2, [1, "b"])).granted  # it does not know the previous view


def test_a_voter_that_accepted_a_later_view_does_not_confirm_the_epoch() -> None:
    acceptor = acceptors()["a"]
    assert acceptor.confirms(1)
    acceptor.prepare(Prepare(2, [1, "b"]))
    assert acceptor.confirms(1)
    acceptor.accept(Accept(2, [1, "b"], next_view("bc")))
    assert not acceptor.confirms(1)
    acceptor.learn(next_view("bc"))
    assert not acceptor.confirms(1)
    assert acceptor.confirms(2)


def test_a_late_proposer_receives_the_decided_view() -> None:
    acceptor = acceptors()["a"]
    acceptor.learn(next_view("ab"))
    answer = acceptor.prepare(Prepare(2, [5, "c"]))
    assert not answer.granted
    assert answer.decided == next_view("ab")
    proposer = Proposer(BASE, next_view("bc"), (5, "c"))
    proposer.on_promise("a", answer)
    assert proposer.decided == next_view("ab")


def test_the_acceptor_restores_its_state_after_a_crash() -> None:
    acceptor = acceptors()["a"]
    acceptor.prepare(Prepare(2, [3, "b"]))
    acceptor.accept(Accept(2, [3, "b"], next_view("bc")))
    again = Acceptor("a", "disk-a", acceptor.dump())
    assert (again.decided, again.promised, again.accepted_ballot, again.accepted) == (
        BASE,
        (3, "b"),
        (3, "b"),
        next_view("bc"),
    )
    assert Acceptor("a", "disk-a").promised == NO_BALLOT


def test_a_first_view_is_accepted_by_its_voters_under_a_ballot() -> None:
    acceptor = Acceptor("a", "disk-a")
    smaller = first_view(VOTERS[:2])
    assert acceptor.prepare(Prepare(1, [1, "p"])).granted
    assert acceptor.accept(Accept(1, [1, "p"], smaller)).granted
    again = Acceptor("a", "disk-a", acceptor.dump())
    promise = again.prepare(Prepare(1, [2, "q"]))
    assert (promise.granted, promise.accepted_ballot, promise.accepted) == (True, [1, "p"], smaller)
    assert not again.accept(Accept(1, [1, "p"], smaller)).granted
    assert not again.accept(Accept(1, [3, "q"], first_view(VOTERS[1:]))).granted  # does not name this voter
    again.learn(smaller)
    assert again.prepare(Prepare(1, [4, "q"])).decided == smaller
    assert not again.accept(Accept(1, [4, "q"], BASE)).granted


# -- model check: two proposers, three voters, any order of delivery, any message loss ------------------


@attrs.define
class BallotRun:
    """The ballot of one proposer, in progress."""

    proposer: Proposer
    phase: int = 0  # 0: collecting promises, 1: collecting acceptances
    reached: frozenset[tuple[int, str]] = frozenset()  # (phase, voter) pairs whose request was delivered

    def copy(self) -> BallotRun:
        proposer = copy(self.proposer)
        proposer._promises = dict(proposer._promises)
        proposer._acceptances = set(proposer._acceptances)
        return BallotRun(proposer, self.phase, self.reached)

    def key(self) -> tuple[object, ...]:
        promises = tuple(
            sorted(
                (name, tuple(promise_answer.accepted_ballot or ()))
                for name, promise_answer in self.proposer._promises.items()
            )
        )
        return (
            self.phase,
            self.reached,
            promises,
            frozenset(self.proposer._acceptances),
            self.proposer.value.chain[0],
        )


@attrs.define
class SearchState:
    acceptors: dict[str, Acceptor]
    runs: list[BallotRun]

    def copy(self, number: int, name: str) -> SearchState:
        """Return a copy in which the given run and voter may be modified."""
        acceptors = {**self.acceptors, name: copy(self.acceptors[name])}
        return SearchState(
            acceptors, [run.copy() if place == number else run for place, run in enumerate(self.runs)]
        )

    def key(self) -> tuple[object, ...]:
        votes = tuple((one.promised, one.accepted_ballot) for one in self.acceptors.values())
        return votes, tuple(run.key() for run in self.runs)


def deliveries(state: SearchState) -> Iterator[tuple[int, str, bool]]:
    """Yield the possible steps: a request reaches a voter, and the response reaches the proposer or is lost.

    A lost request needs no step of its own, because every state is checked with its undelivered requests.  A
    late response needs none either: the effects of its delivery may themselves be delivered later.  The loss
    of an acceptance is omitted, because it only keeps the proposer from learning the decision."""
    for number, run in enumerate(state.runs):
        for name in state.acceptors:
            if (run.phase, name) not in run.reached:
                yield number, name, True
                if run.phase == 0:
                    yield number, name, False


def deliver(state: SearchState, number: int, name: str, answered: bool) -> SearchState:
    after = state.copy(number, name)
    run = after.runs[number]
    run.reached |= {(run.phase, name)}
    acceptor, proposer = after.acceptors[name], run.proposer
    if run.phase == 0:
        promise_answer = acceptor.prepare(proposer.prepare())
        if answered and proposer.on_promise(name, promise_answer):
            run.phase = 1
    else:
        accepted = acceptor.accept(proposer.accept())
        if answered:
            proposer.on_accepted(name, accepted)
    return after


def explore(start: SearchState, check: Callable[[SearchState], None]) -> int:
    """Visit and check every reachable state; return their number."""
    visited = {start.key()}
    open_states = [start]
    while open_states:
        state = open_states.pop()
        check(state)
        for step in deliveries(state):
            after = deliver(state, *step)
            key = after.key()
            if key not in visited:
                visited.add(key)
                open_states.append(after)
    return len(visited)


def test_two_proposers_never_decide_two_views() -> None:
    outcomes: set[tuple[bool, bool]] = set()

    def check(state: SearchState) -> None:
        decided = [run.proposer.decided for run in state.runs]
        chosen = [view for view in decided if view is not None]
        assert all(view == chosen[0] for view in chosen), "two different views were decided"
        outcomes.add((decided[0] is not None, decided[1] is not None))

    start = SearchState(
        acceptors(),
        [
            BallotRun(Proposer(BASE, next_view("ab"), (1, "a"))),
            BallotRun(Proposer(BASE, next_view("bc"), (1, "b"))),
        ],
    )
    assert explore(start, check) > 1_000
    assert outcomes == {(False, False), (True, False), (False, True), (True, True)}
