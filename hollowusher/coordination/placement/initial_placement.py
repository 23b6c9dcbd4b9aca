"""The initial placement of a new cluster.  The module performs no I/O and reads no clock."""

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
# If every zone has only one store, no zone can hold two replicas of a partition and home zones are not used.
MIN_STORES_PER_HOME_ZONE = 2


def plan_initial_placement(
    stores: Sequence[Member],
    tolerance: int,
    partitions: int = PARTITION_COUNT,
    policy: ZonePolicy = ZonePolicy.SPREAD,
) -> Placement:
    """Return the initial placement on `stores`; it does not depend on their order.

    `tolerance` is the number of simultaneous machine losses that the deployment tolerates (f).  Each
    partition gets 2f+1 replicas, or one replica on each store if there are fewer stores.
    """
    replica_count = min(len(stores), 2 * tolerance + 1)
    load: Counter[str] = Counter()
    partitions_per_home_zone: Counter[str] = Counter()
    replicas = {}
    primary_candidates = {}  # replicas that may become the primary, by partition
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
    """Choose the home zone of one partition and return up to `quorum` replicas there.

    The home zone is the zone with the fewest home partitions per store; the function increments its count in
    `partitions_per_home_zone`.  The result is empty if no zone has at least two stores, because then no zone
    can hold more than one replica of the partition.
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
    """Return the replicas of one partition, starting with `home_replicas`, those in its home zone.

    Each further replica goes to a store in the zone that holds the fewest replicas of the partition.  Ties
    are broken by the lower load (replicas of all partitions on the store), then by rendezvous hashing.
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
