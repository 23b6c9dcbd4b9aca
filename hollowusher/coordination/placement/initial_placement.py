"""The first placement of a new cluster.  No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from hollowusher.coordination.placement.primary_balance import balance_primaries
from hollowusher.coordination.rendezvous import rank
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement

PARTITION_COUNT = 16
FIRST_VERSION = 1
FIRST_EPOCH = 1


def plan_initial_placement(
    stores: Sequence[Member], tolerance: int, partitions: int = PARTITION_COUNT
) -> Placement:
    """Return the first placement on these stores, which does not depend on their order.

    `tolerance` is the number of losses that the deployment tolerates (f): a partition gets 2f+1 replicas, or
    as many as there are stores.
    """
    replica_count = min(len(stores), 2 * tolerance + 1)
    load: Counter[str] = Counter()
    replicas = {}
    for partition in range(partitions):
        chosen = _choose_replicas(partition, stores, replica_count, load)
        load.update(chosen)
        replicas[partition] = chosen
    limit = -(-partitions // len(stores))
    primaries = balance_primaries(replicas, limit)
    incarnations = {store.store_id: store.incarnation for store in stores}
    entries = [
        PartitionPlacement(
            partition=partition,
            epoch=FIRST_EPOCH,
            primary=primaries[partition],
            replicas=chosen,
            learners=[],
            primary_incarnation=incarnations[primaries[partition]],
        )
        for partition, chosen in replicas.items()
    ]
    return Placement(FIRST_VERSION, entries)


def _choose_replicas(
    partition: int, stores: Sequence[Member], replica_count: int, load: Mapping[str, int]
) -> list[str]:
    """Return the replicas of one partition.

    Stores of the zones that have the fewest of its replicas go first, then those with the least load, then
    the order of rendezvous hashing.
    """
    by_id = {store.store_id: store for store in stores}
    order = {store_id: position for position, store_id in enumerate(rank(f"partition/{partition}", by_id))}
    chosen: list[str] = []
    while len(chosen) < replica_count:
        zones = Counter(by_id[store_id].zone for store_id in chosen)
        best = min(
            (store_id for store_id in by_id if store_id not in chosen),
            key=lambda store_id: (zones[by_id[store_id].zone], load.get(store_id, 0), order[store_id]),
        )
        chosen.append(best)
    return chosen
