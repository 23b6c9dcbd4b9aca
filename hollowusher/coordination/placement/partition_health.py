"""Which partitions can be served, and how many further losses of stores are tolerated.  No I/O, no clock.

A partition is lost while fewer of its replicas are live than a takeover needs: no primary may serve it then,
because a record may be known to the missing replicas alone.  If they return, it is restored by itself.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.quorum import takeover_quorum
from hollowusher.protocol.control_status import PartitionStatus
from hollowusher.protocol.placement import PartitionPlacement, Placement

NOT_SERVED = -1  # the margin of a partition that cannot be served now


def live_store_ids(stores: Mapping[str, StoreCondition]) -> set[str]:
    """Return the ids of the stores whose process is alive, with the disk that it has."""
    return {condition.store_id for condition in stores.values() if condition.is_alive}


def is_lost(entry: PartitionPlacement, live: Collection[str], tolerance: int) -> bool:
    """Return whether no primary can serve a partition as long as no replica returns."""
    present = sum(replica in live for replica in entry.replicas)
    return present < takeover_quorum(len(entry.replicas), tolerance)


def lost_partitions(
    placement: Placement, live: Collection[str], tolerance: int
) -> dict[int, PartitionPlacement]:
    """Return the lost partitions by number."""
    return {entry.partition: entry for entry in placement.partitions if is_lost(entry, live, tolerance)}


def partition_statuses(
    placement: Placement, stores: Mapping[str, StoreCondition], tolerance: int
) -> list[PartitionStatus]:
    """Return the status of each partition."""
    live = live_store_ids(stores)
    return [
        PartitionStatus(
            partition=entry.partition,
            epoch=entry.epoch,
            primary=entry.primary,
            living=sum(replica in live for replica in entry.replicas),
            replicas=len(entry.replicas),
            learners=list(entry.learners),
            lost=is_lost(entry, live, tolerance),
        )
        for entry in placement.partitions
    ]


def store_losses_borne(statuses: Iterable[PartitionStatus], tolerance: int) -> int:
    """Return how many further stores may be lost with every partition served and every record kept.

    That is -1 where some partition cannot be served now.
    """
    margins = [
        status.living - takeover_quorum(status.replicas, tolerance) if status.replicas else NOT_SERVED
        for status in statuses
    ]
    return max(NOT_SERVED, min(margins, default=NOT_SERVED))
