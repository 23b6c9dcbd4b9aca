"""Where partitions are kept at first, and which of them is a service's home.  No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from hollowusher.coordination.rendezvous import rank, weight
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement

PARTITION_COUNT = 16


def rank_partitions(service: str, partitions: Iterable[int]) -> list[int]:
    """The partitions in the order of preference for a service's messages; the first is its home."""
    key = f"home/{service}"
    return sorted(partitions, key=lambda number: (weight(key, str(number)), number), reverse=True)


def plan_initial_placement(
    stores: Sequence[Member], tolerance: int, partitions: int = PARTITION_COUNT
) -> Placement:
    """The placement of a new system on these stores."""
    size = min(len(stores), 2 * tolerance + 1)
    load: Counter[str] = Counter()
    replicas = {}
    for number in range(partitions):
        chosen = _choose_replicas(number, stores, size, load)
        load.update(chosen)
        replicas[number] = chosen
    primaries = balance_primaries(replicas, -(-partitions // len(stores)))
    incarnations = {store.store_id: store.incarnation for store in stores}
    entries = [
        PartitionPlacement(number, 1, primaries[number], chosen, [], incarnations[primaries[number]])
        for number, chosen in replicas.items()
    ]
    return Placement(1, entries)


def _choose_replicas(number: int, stores: Sequence[Member], size: int, load: Mapping[str, int]) -> list[str]:
    """Replicas of one partition: the zones used least go first, then the stores with the least load, then
    the rank."""
    by_id = {store.store_id: store for store in stores}
    order = {store_id: place for place, store_id in enumerate(rank(f"partition/{number}", by_id))}
    chosen: list[str] = []
    while len(chosen) < size:
        zones = Counter(by_id[store_id].zone for store_id in chosen)
        best = min(
            (store_id for store_id in by_id if store_id not in chosen),
            key=lambda store_id: (zones[by_id[store_id].zone], load.get(store_id, 0), order[store_id]),
        )
        chosen.append(best)
    return chosen


def balance_primaries(replicas: Mapping[int, Sequence[str]], most: int) -> dict[int, str]:
    """A primary for each partition among its replicas, at most `most` to a store where that can be done
    (augmenting paths in the graph of partitions and stores), and no store two ahead of another replica."""
    assigned: dict[int, str] = {}
    held: dict[str, set[int]] = {}

    def assign(number: int, seen: set[str]) -> bool:
        options = [store for store in replicas[number] if store not in seen]
        for store in sorted(options, key=lambda store: len(held.get(store, ()))):
            if store in seen:
                continue
            seen.add(store)
            taken = held.setdefault(store, set())
            if len(taken) < most or any(assign(other, seen) for other in sorted(taken)):
                previous = assigned.get(number)
                if previous is not None:
                    held[previous].discard(number)
                assigned[number] = store
                taken.add(number)
                return True
        return False

    for number in replicas:
        if not assign(number, set()):
            store = min(replicas[number], key=lambda store: len(held.get(store, ())))
            assigned[number] = store
            held.setdefault(store, set()).add(number)
    _even_out(assigned, replicas)
    return assigned


def _even_out(assigned: dict[int, str], replicas: Mapping[int, Sequence[str]]) -> None:
    """Move primaries to replicas that have at least two fewer, until there are none."""
    held = Counter(assigned.values())
    moved = True
    while moved:
        moved = False
        for number, options in replicas.items():
            least = min(options, key=lambda store: held[store])
            if held[assigned[number]] - held[least] >= 2:
                held[assigned[number]] -= 1
                held[least] += 1
                assigned[number] = least
                moved = True
