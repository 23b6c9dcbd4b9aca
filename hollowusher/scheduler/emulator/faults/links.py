"""What links do to what passes: the one model under virtual time and under the switchboard.

A link is directed.  Datagrams are lost, doubled, delayed, spread (and so reordered), held, narrowed; streams
wait where datagrams would be lost, as a stream's own repeats would have it.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

NS = 1_000_000_000
MOST_HELD = 10_000  # datagrams of a held link; a real path holds no more
MOST_BEHIND_NS = 2 * NS  # of a narrow link: what would wait longer is lost

Pair = tuple[str, str]
Later = Callable[[int, Callable[[], None]], object]
KINDS = ("cut", "lose", "double", "delay", "hold", "narrow")


@dataclass(slots=True)
class Condition:
    """One trouble of some links.  `amount`: the share lost or doubled, the delay in ns, or bytes a second."""

    kind: str
    pairs: frozenset[Pair]
    amount: float = 0.0
    spread: float = 0.0  # ns, of a delay: evenly up to so much more
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class Links:
    """All links.  `later` does something after so many ns, by whichever clock there is."""

    def __init__(self, chance: random.Random, later: Later) -> None:
        self._chance, self._later = chance, later
        self._conditions: dict[int, Condition] = {}
        self._free_at: dict[Pair, int] = {}  # when a narrow link has sent what it has
        self.changed: Callable[[], None] = lambda: None  # a condition ended: streams may go on

    def begin(self, number: int, condition: Condition) -> None:
        """From now on, until `end` of that number."""
        self._conditions[number] = condition

    def end(self, number: int) -> None:
        """It is over: what was held goes on, in order."""
        condition = self._conditions.pop(number, None)
        for deliver in condition.waiting if condition is not None else ():
            self._later(0, deliver)
        self.changed()

    def _on(self, pair: Pair) -> Iterable[Condition]:
        return (c for c in self._conditions.values() if pair in c.pairs)

    def blocked(self, pair: Pair) -> bool:
        """Whether a stream's bytes stand still."""
        return any(c.kind in ("cut", "hold") for c in self._on(pair))

    def carry(self, pair: Pair, size: int, now: int, deliver: Callable[[], None]) -> None:
        """One datagram: `deliver` is called as often, and when, as the link's conditions have it."""
        copies, delay, held = 1, 0, None
        for c in self._on(pair):
            if c.kind == "cut" or (c.kind == "lose" and self._chance.random() < c.amount):
                return
            if c.kind == "double" and self._chance.random() < c.amount:
                copies += 1
            elif c.kind == "hold":
                held = c
            elif c.kind in ("delay", "narrow"):
                waits = self._wait(c, pair, size, now)
                if waits is None:
                    return
                delay += waits
        for _ in range(copies):
            if held is None:
                spread = sum(round(self._chance.random() * c.spread) for c in self._on(pair))
                self._later(delay + spread, deliver)
            elif len(held.waiting) < MOST_HELD:
                held.waiting.append(deliver)

    def stream_wait(self, pair: Pair, size: int, now: int) -> int:
        """How long (ns) so many bytes of a stream take; asked only while the link is not blocked."""
        return sum(
            self._wait(c, pair, size, now, lossy=False) or 0
            for c in self._on(pair)
            if c.kind in ("delay", "narrow")
        )

    def _wait(self, c: Condition, pair: Pair, size: int, now: int, lossy: bool = True) -> int | None:
        if c.kind == "delay":
            return round(c.amount)
        behind = max(0, self._free_at.get(pair, 0) - now)
        if lossy and behind > MOST_BEHIND_NS:
            return None
        takes = round(size * NS / c.amount)
        self._free_at[pair] = now + behind + takes
        return behind + takes
