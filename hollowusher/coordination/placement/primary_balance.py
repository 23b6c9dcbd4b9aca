"""Balanced choice of primaries among given replicas.  No I/O, no clock.

This is a bipartite matching of partitions with stores that may each take several, by augmenting paths: a
store that is full passes one of its partitions on to another replica.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence


def balance_primaries(replicas: Mapping[int, Sequence[str]], limit: int) -> dict[int, str]:
    """Return a primary for each partition among its replicas.

    A store gets at most `limit` primaries where that is possible, and never two more than another replica of
    one of its partitions.
    """
    assignment = _PrimaryAssignment(replicas, limit)
    for partition in replicas:
        assignment.assign(partition)
    assignment.rebalance()
    return assignment.primaries


class _PrimaryAssignment:
    """An assignment of primaries under construction.

    Invariant: `_partitions_of` is the inverse of `primaries` until `even_out` is called.
    """

    def __init__(self, replicas: Mapping[int, Sequence[str]], limit: int) -> None:
        self.primaries: dict[int, str] = {}
        self._replicas = replicas
        self._limit = limit
        self._partitions_of: defaultdict[str, set[int]] = defaultdict(set)

    def assign(self, partition: int) -> None:
        """Give a partition its primary, above the limit only where every other assignment is, too."""
        if not self._assign_within_limit(partition, set()):
            self._set_primary(partition, min(self._replicas[partition], key=self._load))

    def _assign_within_limit(self, partition: int, visited: set[str]) -> bool:
        """Find an augmenting path from a partition over stores that were not `visited`; apply it if found."""
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
        """Move primaries to replicas that have at least two fewer, until there are none."""
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
