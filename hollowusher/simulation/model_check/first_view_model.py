"""The decision on the first view by seeds that have gathered different controllers, in every order of votes.

Real are `Acceptor` and `FirstViewProposer`.  A vote is one step: the request arrives, is saved and answered.
A request that is lost is one that comes never; with `lost_answers` an answer may be lost as well, so that the
vote counts for the acceptor alone.  A
restart of a proposer is its next ballot; acceptors keep what they have voted for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

import attrs

from hollowusher.coordination.consensus.first_view import FirstViewProposer
from hollowusher.coordination.consensus.paxos import Acceptor, first_view, voter_id
from hollowusher.protocol.view import View, Voter
from hollowusher.simulation.model_check.interning import Interner, clone, fingerprint

MakeProposer = Callable[..., FirstViewProposer]


@attrs.frozen
class FirstViewBounds:
    """Which controllers each seed has gathered, by name, and how many ballots it may begin."""

    gathered: tuple[str, ...] = ("abc", "bcd")
    ballots: int = 2
    wanted: int = 3  # voters
    lost_answers: bool = False


class FirstViewState(NamedTuple):
    """Numbers of the acceptors' and proposers' states, and the views decided so far."""

    acceptors: tuple[int, ...]
    proposers: tuple[int, ...]
    ballots: tuple[int, ...]
    decided: frozenset[str] = frozenset()


class FirstViewModel:
    """See `explorer.ExplorableModel`."""

    def __init__(self, bounds: FirstViewBounds, make_proposer: MakeProposer = FirstViewProposer) -> None:
        self._bounds = bounds
        self._make_proposer = make_proposer
        names = sorted(set("".join(bounds.gathered)))
        self._voters = [Voter(name, f"disk-{name}", f"{name}:1") for name in names]
        self._places = {voter_id(voter): place for place, voter in enumerate(self._voters)}
        self._acceptors: Interner[Acceptor] = Interner(fingerprint)
        self._proposers: Interner[FirstViewProposer] = Interner(_proposer_key)

    def initial(self) -> FirstViewState:
        """Return the state in which nobody has voted and each seed begins its first ballot."""
        acceptors = [Acceptor(voter.name, voter.disk_id) for voter in self._voters]
        proposers = [self._begin(seed, 1) for seed in range(len(self._bounds.gathered))]
        return FirstViewState(
            tuple(self._acceptors.number(each) for each in acceptors),
            tuple(self._proposers.number(each) for each in proposers),
            tuple(1 for _ in proposers),
        )

    def _begin(self, seed: int, round_number: int) -> FirstViewProposer:
        names = self._bounds.gathered[seed]
        candidates = [voter for voter in self._voters if voter.name in names]
        enough = min(self._bounds.wanted, len(candidates))

        def plan(promised: list[Voter]) -> View | None:
            return first_view(promised[: self._bounds.wanted]) if len(promised) >= enough else None

        return self._make_proposer((round_number, f"seed-{seed}"), candidates, plan)

    def steps(self, state: FirstViewState) -> Iterator[tuple[str, FirstViewState]]:
        """Yield each vote, choice and new ballot that can come next."""
        for seed, number in enumerate(state.proposers):
            proposer = self._proposers[number]
            if proposer.value is None:
                yield from self._promises(state, seed, proposer)
                yield from self._choice(state, seed, proposer)
            else:
                yield from self._acceptances(state, seed, proposer)
            if state.ballots[seed] < self._bounds.ballots:
                yield from self._next_ballot(state, seed, proposer)

    def _promises(
        self, state: FirstViewState, seed: int, proposer: FirstViewProposer
    ) -> Iterator[tuple[str, FirstViewState]]:
        for voter in proposer.candidates.values():
            place = self._places[voter_id(voter)]
            acceptor, changed = clone(self._acceptors[state.acceptors[place]]), _copy(proposer)
            changed.on_promise(voter, acceptor.prepare(proposer.prepare(voter)))
            yield f"{voter.name} promises to seed {seed}", self._after(state, seed, changed, place, acceptor)
            if self._bounds.lost_answers:
                yield f"{voter.name} promises, unheard", self._after(state, seed, proposer, place, acceptor)

    def _choice(
        self, state: FirstViewState, seed: int, proposer: FirstViewProposer
    ) -> Iterator[tuple[str, FirstViewState]]:
        changed = _copy(proposer)
        if changed.choose_value() and changed.value is not None:
            yield f"seed {seed} proposes {''.join(changed.value.chain)}", self._after(state, seed, changed)

    def _acceptances(
        self, state: FirstViewState, seed: int, proposer: FirstViewProposer
    ) -> Iterator[tuple[str, FirstViewState]]:
        assert proposer.value is not None
        for voter in proposer.value.voters:
            place = self._places[voter_id(voter)]
            acceptor, changed = clone(self._acceptors[state.acceptors[place]]), _copy(proposer)
            changed.on_accepted(voter, acceptor.accept(proposer.accept(voter)))
            yield f"{voter.name} accepts from seed {seed}", self._after(state, seed, changed, place, acceptor)
            if self._bounds.lost_answers:
                yield f"{voter.name} accepts, unheard", self._after(state, seed, proposer, place, acceptor)

    def _next_ballot(
        self, state: FirstViewState, seed: int, proposer: FirstViewProposer
    ) -> Iterator[tuple[str, FirstViewState]]:
        following = self._begin(seed, proposer.highest_round + 1)
        known = {voter_id(voter): voter for voter in proposer.accepted_voters()}
        following.candidates = {**known, **following.candidates}
        after = self._after(state, seed, following)
        counts = (*state.ballots[:seed], state.ballots[seed] + 1, *state.ballots[seed + 1 :])
        yield f"seed {seed} begins another ballot", after._replace(ballots=counts)

    def _after(
        self,
        state: FirstViewState,
        seed: int,
        proposer: FirstViewProposer,
        place: int = -1,
        acceptor: Acceptor | None = None,
    ) -> FirstViewState:
        acceptors = list(state.acceptors)
        if acceptor is not None:
            acceptors[place] = self._acceptors.number(acceptor)
        proposers = list(state.proposers)
        proposers[seed] = self._proposers.number(proposer)
        decided = state.decided
        if proposer.decided is not None:
            decided |= {"".join(proposer.decided.chain)}
        return state._replace(acceptors=tuple(acceptors), proposers=tuple(proposers), decided=decided)

    def violation(self, state: FirstViewState) -> str:
        """Return what is wrong: two views 1."""
        return f"two first views were decided: {sorted(state.decided)}" if len(state.decided) > 1 else ""

    def describe_step(self, label: str) -> str:
        """Return the line of a trace for a step."""
        return label


def _copy(proposer: FirstViewProposer) -> FirstViewProposer:
    """Return a proposer that may change without the original; its plan is shared."""
    copy = object.__new__(type(proposer))
    copy.__dict__.update(proposer.__dict__)
    copy._promises = dict(proposer._promises)
    copy._acceptances = set(proposer._acceptances)
    return copy


def _proposer_key(proposer: FirstViewProposer) -> object:
    attributes = {name: value for name, value in vars(proposer).items() if name != "_plan"}
    return fingerprint(attributes)
