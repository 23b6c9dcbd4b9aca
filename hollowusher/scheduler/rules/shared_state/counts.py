"""Counts that all members add up: each tells its own, the newest of each member counts once.

State-based: what a member tells of itself takes the place of what it told before, so that doubled, late
and reordered messages change nothing.  A member that starts anew is told from its earlier life by its
incarnation; one that is silent for too long counts no more.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

MOST_KEYS = 512  # of one member
MOST_VALUE = 1e9  # a larger one is nonsense


class CountUpdate(Struct, frozen=True, array_like=True, tag="C"):
    """A member's own counts over its last window: all, or those that changed most.  `seq` grows."""

    member: str
    incarnation: int
    seq: int
    counts: dict[str, float]


@dataclass(slots=True)
class _Held:
    incarnation: int
    at: int
    counts: dict[str, tuple[int, float]] = field(default_factory=dict)  # with the seq that told it


class SharedCounts:
    """Own counts and the others'."""

    def __init__(self, name: str, incarnation: int, window: int, now: int) -> None:
        self.name, self.incarnation, self.window = name, incarnation, window
        self._parts: list[tuple[int, dict[str, float]]] = [(now, {})]  # own, by eighths of the window
        self._held: dict[str, _Held] = {}
        self._said: dict[str, float] = {}
        self._seq = 0
        self.refused = 0

    def add(self, now: int, key: str, amount: float = 1.0) -> None:
        """Count something here."""
        part = self._part(now)
        if key in part or len(part) < MOST_KEYS:
            part[key] = part.get(key, 0.0) + amount

    def _part(self, now: int) -> dict[str, float]:
        eighth = self.window // 8
        if now - self._parts[-1][0] >= eighth:
            self._parts.append((now - now % eighth, {}))
        while len(self._parts) > 1 and self._parts[0][0] <= now - self.window - eighth:
            self._parts.pop(0)
        return self._parts[-1][1]

    def own(self, now: int) -> dict[str, float]:
        """Own counts over the last window; of the part that it cuts, the share that lies within."""
        self._part(now)
        total: dict[str, float] = {}
        for began, part in self._parts:
            share = min(1.0, (began - (now - self.window)) * 8 / self.window + 1.0)
            for key, amount in part.items() if share > 0 else ():
                total[key] = total.get(key, 0.0) + amount * share
        return total

    def next_update(self, now: int, most: int) -> CountUpdate:
        """What to tell: the counts that have moved furthest from what was said, as shares of themselves."""
        own = self.own(now)
        keys = own.keys() | {k for k, v in self._said.items() if v}
        by_news = sorted(
            keys,
            key=lambda k: -abs(own.get(k, 0.0) - self._said.get(k, 0.0)) / math.sqrt(1.0 + own.get(k, 0.0)),
        )
        chosen = {k: round(own.get(k, 0.0), 3) for k in by_news[:most]}
        self._said.update(chosen)
        self._said = {k: v for k, v in self._said.items() if v or k in own}
        self._seq += 1
        return CountUpdate(self.name, self.incarnation, self._seq, chosen)

    def receive(self, now: int, reported: CountUpdate) -> None:
        """What another tells of itself; nonsense is counted and skipped."""
        if reported.member == self.name:
            return
        values = reported.counts.values()
        if len(reported.counts) > MOST_KEYS or not all(0 <= v <= MOST_VALUE for v in values):
            self.refused += 1
            return
        held = self._held.get(reported.member)
        if held is None or reported.incarnation > held.incarnation:
            held = self._held[reported.member] = _Held(reported.incarnation, now)
        elif reported.incarnation < held.incarnation:
            return
        held.at = max(held.at, now)
        for key, value in reported.counts.items():
            seq, _ = held.counts.get(key, (0, 0.0))
            if reported.seq > seq and (key in held.counts or len(held.counts) < MOST_KEYS):
                held.counts[key] = (reported.seq, value)

    def total(self, now: int, key: str) -> float:
        """Over all that are heard."""
        return self.own(now).get(key, 0.0) + sum(
            held.counts.get(key, (0, 0.0))[1] for held in self._fresh(now)
        )

    def totals(self, now: int) -> dict[str, float]:
        """All counts over all that are heard."""
        total = self.own(now)
        for held in self._fresh(now):
            for key, (_, value) in held.counts.items():
                total[key] = total.get(key, 0.0) + value
        return total

    def _fresh(self, now: int) -> Iterable[_Held]:
        return (held for held in self._held.values() if now - held.at < 2 * self.window)

    def forget(self, member: str) -> None:
        """It has left."""
        self._held.pop(member, None)

    def counts_of(self, member: str) -> object:
        """What is held of one, to see whether a message changed it."""
        held = self._held.get(member)
        return held and (held.incarnation, dict(held.counts))

    def remote_counts(self) -> object:
        """What is held of others, without when: the same whatever the order of messages was."""
        return {m: (h.incarnation, dict(h.counts)) for m, h in self._held.items()}
