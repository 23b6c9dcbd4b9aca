"""The first placement of a new cluster.  No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from hollowusher.coordination.placement.primary_balance import balance_primaries
from hollowusher.coordination.placement.zone_policy import ZonePolicy
from hollowusher.coordination.rendezvous import rank
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement

PARTITION_COUNT = 16
FIRST_VERSION = 1
FIRST_EPOCH = 1
MIN_STORES_PER_HOME_ZONE = 2  # in some zone; with one store a zone the replicas cannot be nearer


def plan_initial_placement(
    stores: Sequence[Member],
    tolerance: int,
    partitions: int = PARTITION_COUNT,
    policy: ZonePolicy = ZonePolicy.SPREAD,
) -> Placement:
    """Return the first placement on these stores, which does not depend on their order.

    `tolerance` is the number of losses that the deployment tolerates (f): a partition gets 2f+1 replicas, or
    as many as there are stores.
    """
    replica_count = min(len(stores), 2 * tolerance + 1)
    load: Counter[str] = Counter()
    partitions_per_home_zone: Counter[str] = Counter()  # how many partitions have their home in each zone
    replicas = {}
    primary_candidates = {}  # for the primary
    for partition in range(partitions):
        home_replicas: list[str] = []
        if policy is ZonePolicy.QUORUM_AT_HOME:
            home_replicas = _choose_home_replicas(
                partition, stores, tolerance + 1, partitions_per_home_zone, load
            )
        chosen = _choose_replicas(partition, stores, replica_count, load, home_replicas)
        load.update(chosen)
        replicas[partition] = chosen
        primary_candidates[partition] = home_replicas or chosen
    limit = -(-partitions // len(stores))
    primaries = balance_primaries(primary_candidates, limit)
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


def _choose_home_replicas(
    partition: int,
    stores: Sequence[Member],
    quorum: int,
    partitions_per_home_zone: Counter[str],
    load: Mapping[str, int],
) -> list[str]:
    """Choose the home zone of one partition, count it in `homes`, and return the replicas there.

    That is the zone with the fewest partitions for its stores; nothing is returned where no zone has two
    stores, since there is no choice then.
    """
    by_zone: dict[str, list[str]] = {}
    for store in stores:
        by_zone.setdefault(store.zone, []).append(store.store_id)
    if max(map(len, by_zone.values())) < MIN_STORES_PER_HOME_ZONE:
        return []
    zone = min(sorted(by_zone), key=lambda name: (partitions_per_home_zone[name] + 1) / len(by_zone[name]))
    partitions_per_home_zone[zone] += 1
    order = rank(f"partition/{partition}", by_zone[zone])
    return sorted(order, key=lambda store_id: load.get(store_id, 0))[:quorum]


def _choose_replicas(
    partition: int,
    stores: Sequence[Member],
    replica_count: int,
    load: Mapping[str, int],
    home_replicas: Sequence[str],
) -> list[str]:
    """Return the replicas of one partition, those of its `home` zone first.

    Stores of the zones that have the fewest of its replicas go first, then those with the least load, then
    the order of rendezvous hashing.
    """
    by_id = {store.store_id: store for store in stores}
    order = {store_id: position for position, store_id in enumerate(rank(f"partition/{partition}", by_id))}
    chosen = list(home_replicas[:replica_count])
    while len(chosen) < replica_count:
        zones = Counter(by_id[store_id].zone for store_id in chosen)
        best = min(
            (store_id for store_id in by_id if store_id not in chosen),
            key=lambda store_id: (zones[by_id[store_id].zone], load.get(store_id, 0), order[store_id]),
        )
        chosen.append(best)
    return chosen
