"""Every order of what may happen, to a stated depth: for protocols that are state machines."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class Violation(Generic[T]):
    """A state in which something does not hold, and the steps that led to it."""

    why: str
    path: tuple[str, ...]
    state: T


@dataclass(slots=True)
class Explored(Generic[T]):
    """What was seen: how many different states, how deep, the last ones, and what did not hold."""

    states: int = 0
    depth: int = 0
    leaves: list[T] = field(default_factory=list)
    findings: list[Violation[T]] = field(default_factory=list)


def explore(
    start: T,
    moves: Callable[[T], Iterable[tuple[str, Callable[[], T]]]],
    key: Callable[[T], Hashable],
    check: Callable[[T], str],
    depth: int,
    most: int = 10_000_000,
) -> Explored[T]:
    """Breadth first, each state once.  `moves` names what may happen and makes the state after it; `check`
    says what does not hold, or nothing."""
    seen, result = {key(start)}, Explored[T](states=1)
    edge: deque[tuple[T, tuple[str, ...]]] = deque([(start, ())])
    while edge:
        state, path = edge.popleft()
        result.depth = len(path)
        if len(path) >= depth or result.states >= most:
            result.leaves.append(state)
            continue
        for name, make in moves(state):
            after = make()
            mark = key(after)
            if mark in seen:
                continue
            seen.add(mark)
            result.states += 1
            why = check(after)
            if why:
                result.findings.append(Violation(why, (*path, name), after))
            else:
                edge.append((after, (*path, name)))
    return result
