"""Balanced choice of primaries among given replicas.  The module performs no I/O and reads no clock.

The algorithm is a bipartite matching of partitions to stores by augmenting paths, in which a store may take
several partitions.  If a store has reached its limit, one of its partitions is reassigned to another replica.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence


def balance_primaries(replicas: Mapping[int, Sequence[str]], limit: int) -> dict[int, str]:
    """Return a primary for each partition, chosen among the replicas of the partition.

    Each store becomes the primary of at most `limit` partitions if such an assignment exists.  The primary of
    a partition has at most one primary more than each other replica of that partition.
    """
    assignment = _PrimaryAssignment(replicas, limit)
    for partition in replicas:
        assignment.assign(partition)
    assignment.rebalance()
    return assignment.primaries


class _PrimaryAssignment:
    """An assignment of primaries under construction.

    Invariant: `_partitions_of` is the inverse of `primaries` until `rebalance` is called.
    """

    def __init__(self, replicas: Mapping[int, Sequence[str]], limit: int) -> None:
        self.primaries: dict[int, str] = {}
        self._replicas = replicas
        self._limit = limit
        self._partitions_of: defaultdict[str, set[int]] = defaultdict(set)

    def assign(self, partition: int) -> None:
        """Assign a primary to a partition; exceed the limit only if no assignment within it exists."""
        if not self._assign_within_limit(partition, set()):
            self._set_primary(partition, min(self._replicas[partition], key=self._load))

    def _assign_within_limit(self, partition: int, visited: set[str]) -> bool:
        """Search for an augmenting path from a partition through stores not in `visited`, and apply it."""
        candidates = [store for store in self._replicas[partition] if store not in visited]
        for store in sorted(candidates, key=self._load):
            if store in visited:
                continue
            visited.add(store)
            if self._load(store) < self._limit or self._reassign_one(store, visited):
                self._set_primary(partition, store)
                return True
        return False

    def _reassign_one(self, store: str, visited: set[str]) -> bool:
        partitions = sorted(self._partitions_of[store])
        return any(self._assign_within_limit(partition, visited) for partition in partitions)

    def _set_primary(self, partition: int, store: str) -> None:
        previous = self.primaries.get(partition)
        if previous is not None:
            self._partitions_of[previous].discard(partition)
        self.primaries[partition] = store
        self._partitions_of[store].add(partition)

    def _load(self, store: str) -> int:
        return len(self._partitions_of[store])

    def rebalance(self) -> None:
        """Move primaries to replicas with at least two fewer primaries until there are no such replicas."""
        load = Counter(self.primaries.values())
        has_moved = True
        while has_moved:
            has_moved = False
            for partition, replicas in self._replicas.items():
                primary = self.primaries[partition]
                least = min(replicas, key=lambda store: load[store])
                if load[primary] - load[least] >= 2:
                    load[primary] -= 1
                    load[least] += 1
                    self.primaries[partition] = least
                    has_moved = True
