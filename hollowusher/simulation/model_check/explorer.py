"""Breadth-first search of all states that a model can reach, each visited once.

The first violation found has the shortest trace.  States are hashable values; equal states are folded.
"""

from __future__ import annotations

import time
from collections.abc import Hashable, Iterable
from typing import Any, Generic, Protocol, TypeVar

import attrs

StateT = TypeVar("StateT", bound=Hashable)
StepT = TypeVar("StepT")  # what the model needs to tell of a step


class ExplorableModel(Protocol[StateT, StepT]):
    """What is explored."""

    def initial(self) -> StateT:
        """The state in which everything begins."""

    def steps(self, state: StateT) -> Iterable[tuple[StepT, StateT]]:
        """All that can happen next; steps that change nothing may be left in."""

    def describe_step(self, label: StepT) -> str:
        """The line of a trace for a step."""

    def violation(self, state: StateT) -> str:
        """The property that does not hold in this state, empty where all hold."""


@attrs.frozen
class SearchBounds:
    """Where the search ends."""

    depth: int  # most steps from the initial state
    states: int = 300_000
    seconds: float = 3_600.0


@attrs.frozen
class SearchOutcome:
    """What a search has found."""

    states: int
    transitions: int
    depth: int  # the longest shortest path to a state that was visited
    complete: bool  # every state within the depth was visited
    exhausted: bool  # there are no further states at any depth
    seconds: float
    violation: str
    trace: list[str]

    def summary(self) -> str:
        """One line of figures."""
        if self.violation:
            extent = "stopped at a violation"
        elif self.exhausted:
            extent = "all states"
        else:
            extent = f"all states to depth {self.depth}" if self.complete else "stopped at a bound"
        return (
            f"{self.states} states, {self.transitions} transitions, depth {self.depth}, "
            f"{self.seconds:.1f} s ({extent})"
        )


class _Search(Generic[StateT, StepT]):
    """One search under way."""

    def __init__(self, model: ExplorableModel[StateT, StepT], bounds: SearchBounds) -> None:
        self._model = model
        self._bounds = bounds
        self._numbers: dict[StateT, int] = {}
        self._came_from: list[tuple[int, StepT | None]] = []
        self._transitions = 0
        self._started = time.monotonic()

    def run(self) -> SearchOutcome:
        initial = self._model.initial()
        self._visit(initial, -1, None)
        reason = self._model.violation(initial)
        if reason:
            return self._outcome(0, 0, reason)
        frontier = [initial]
        depth = 0
        while frontier and depth < self._bounds.depth:
            following: list[StateT] = []
            for state in frontier:
                broken = self._expand(state, following)
                if broken is not None:
                    return self._outcome(depth + 1, self._numbers[broken], self._model.violation(broken))
                if self._stopped():
                    return self._outcome(depth + 1, None, complete=False)
            frontier = following
            depth += bool(frontier)
        return self._outcome(depth, None, exhausted=not frontier)

    def _expand(self, state: StateT, following: list[StateT]) -> StateT | None:
        """Visit what can follow a state; the first one that breaks a property."""
        number = self._numbers[state]
        for label, after in self._model.steps(state):
            self._transitions += 1
            if after in self._numbers:
                continue
            self._visit(after, number, label)
            if self._model.violation(after):
                return after
            following.append(after)
        return None

    def _visit(self, state: StateT, origin: int, label: StepT | None) -> None:
        self._numbers[state] = len(self._came_from)
        self._came_from.append((origin, label))

    def _stopped(self) -> bool:
        spent = time.monotonic() - self._started
        return len(self._numbers) >= self._bounds.states or spent >= self._bounds.seconds

    def _outcome(
        self,
        depth: int,
        broken: int | None,
        violation: str = "",
        complete: bool = True,
        exhausted: bool = False,
    ) -> SearchOutcome:
        seconds = time.monotonic() - self._started
        trace = self._trace(broken) if broken is not None else []
        return SearchOutcome(
            len(self._numbers), self._transitions, depth, complete, exhausted, seconds, violation, trace
        )

    def _trace(self, number: int) -> list[str]:
        """The steps that led to a state."""
        lines = []
        while number > 0:
            number, label = self._came_from[number]
            if label is not None:
                lines.append(self._model.describe_step(label))
        return lines[::-1]


def explore(model: ExplorableModel[Any, Any], bounds: SearchBounds) -> SearchOutcome:
    """Visit all states within the bounds, until one breaks a property."""
    return _Search(model, bounds).run()
