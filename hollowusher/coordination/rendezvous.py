"""Rendezvous (highest random weight) hashing: every process makes the same choice from the same names.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash


def weight(key: str, name: str) -> int:
    """Return the weight of `name` for `key`."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by decreasing weight for `key`; the first is the one that `choose` returns."""
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)


def choose(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the greatest weight for `key`, None if there are no names."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)


def rank_partitions(service: str, partitions: Iterable[int]) -> list[int]:
    """Return the partitions by decreasing preference for a service; the first is its home partition."""
    key = f"home/{service}"
    return sorted(partitions, key=lambda partition: (weight(key, str(partition)), partition), reverse=True)


def ordering_partition(route: str, partitions: Sequence[int]) -> int | None:
    """Return the partition of a route's messages with ordering keys, or None if there are no partitions.

    The number of partitions never changes, so a remainder serves in place of a ranking of all of them.
    """
    if not partitions:
        return None
    return partitions[xxhash.xxh64_intdigest(f"order/{route}".encode()) % len(partitions)]
