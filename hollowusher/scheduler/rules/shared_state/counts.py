"""Cluster-wide counts over a sliding window: the sum of the newest counts of every member.

The counts are a state-based CRDT.  A newer update of a member replaces its older one, so duplicate, late and
reordered messages have no effect.  The incarnation distinguishes a restarted member from its previous
process.  A member that has been silent for two windows no longer counts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

MAX_KEYS = 512  # keys per member
MAX_VALUE = 1e9  # an update with a larger count is invalid


class CountUpdate(Struct, frozen=True, array_like=True, tag="C"):
    """A member's own counts over its last window: all of them, or those that changed most.

    `seq` increases with each update of an incarnation.
    """

    member: str
    incarnation: int
    seq: int
    counts: dict[str, float]


@dataclass(slots=True)
class _MemberCounts:
    incarnation: int
    at: int
    counts: dict[str, tuple[int, float]] = field(default_factory=dict)  # by key: seq of the update, count


class SharedCounts:
    """This member's counts, and the last known counts of the other members."""

    def __init__(self, name: str, incarnation: int, window: int, now: int) -> None:
        self.name, self.incarnation, self.window = name, incarnation, window
        self._buckets: list[tuple[int, dict[str, float]]] = [(now, {})]  # own counts per eighth of the window
        self._members: dict[str, _MemberCounts] = {}
        self._sent: dict[str, float] = {}
        self._seq = 0
        self.refused = 0

    def add(self, now: int, key: str, amount: float = 1.0) -> None:
        """Add `amount` to this member's count of `key`; new keys beyond MAX_KEYS are ignored."""
        bucket = self._current_bucket(now)
        if key in bucket or len(bucket) < MAX_KEYS:
            bucket[key] = bucket.get(key, 0.0) + amount

    def _current_bucket(self, now: int) -> dict[str, float]:
        eighth = self.window // 8
        if now - self._buckets[-1][0] >= eighth:
            self._buckets.append((now - now % eighth, {}))
        while len(self._buckets) > 1 and self._buckets[0][0] <= now - self.window - eighth:
            self._buckets.pop(0)
        return self._buckets[-1][1]

    def own(self, now: int) -> dict[str, float]:
        """Return this member's counts over the last window.

        The oldest eighth lies partly outside the window and counts in proportion to the part inside.
        """
        self._current_bucket(now)
        total: dict[str, float] = {}
        for began, bucket in self._buckets:
            share = min(1.0, (began - (now - self.window)) * 8 / self.window + 1.0)
            for key, amount in bucket.items() if share > 0 else ():
                total[key] = total.get(key, 0.0) + amount * share
        return total

    def next_update(self, now: int, most: int) -> CountUpdate:
        """Return an update with at most `most` counts, those that differ most from the values last sent.

        Each difference is divided by the square root of the count, so that large counts do not displace small
        ones.
        """
        own = self.own(now)
        keys = own.keys() | {k for k, v in self._sent.items() if v}
        by_change = sorted(
            keys,
            key=lambda k: -abs(own.get(k, 0.0) - self._sent.get(k, 0.0)) / math.sqrt(1.0 + own.get(k, 0.0)),
        )
        chosen = {k: round(own.get(k, 0.0), 3) for k in by_change[:most]}
        self._sent.update(chosen)
        self._sent = {k: v for k, v in self._sent.items() if v or k in own}
        self._seq += 1
        return CountUpdate(self.name, self.incarnation, self._seq, chosen)

    def receive(self, now: int, incoming: CountUpdate) -> None:
        """Merge another member's update; invalid updates are counted and ignored."""
        if incoming.member == self.name:
            return
        values = incoming.counts.values()
        if len(incoming.counts) > MAX_KEYS or not all(0 <= v <= MAX_VALUE for v in values):
            self.refused += 1
            return
        known = self._members.get(incoming.member)
        if known is None or incoming.incarnation > known.incarnation:
            known = self._members[incoming.member] = _MemberCounts(incoming.incarnation, now)
        elif incoming.incarnation < known.incarnation:
            return
        known.at = max(known.at, now)
        for key, value in incoming.counts.items():
            seq, _ = known.counts.get(key, (0, 0.0))
            if incoming.seq > seq and (key in known.counts or len(known.counts) < MAX_KEYS):
                known.counts[key] = (incoming.seq, value)

    def total(self, now: int, key: str) -> float:
        """Return the sum of one count over this member and the members heard recently."""
        return self.own(now).get(key, 0.0) + sum(
            known.counts.get(key, (0, 0.0))[1] for known in self._fresh(now)
        )

    def totals(self, now: int) -> dict[str, float]:
        """Return the sums of all counts over this member and the members heard recently."""
        total = self.own(now)
        for known in self._fresh(now):
            for key, (_, value) in known.counts.items():
                total[key] = total.get(key, 0.0) + value
        return total

    def _fresh(self, now: int) -> Iterable[_MemberCounts]:
        return (known for known in self._members.values() if now - known.at < 2 * self.window)

    def forget(self, member: str) -> None:
        """Drop the counts of a member that has left."""
        self._members.pop(member, None)

    def counts_of(self, member: str) -> object:
        """Return a copy of one member's counts, to detect whether an update changed them."""
        known = self._members.get(member)
        return known and (known.incarnation, dict(known.counts))

    def remote_counts(self) -> object:
        """Return a copy of the other members' counts without arrival times.

        The result does not depend on the order in which the updates arrived.
        """
        return {m: (h.incarnation, dict(h.counts)) for m, h in self._members.items()}
