"""Which partitions can be served, and how many further store losses are tolerated.

The module performs no I/O and reads no clock.

A partition is lost while the number of its live replicas is below the takeover quorum.  No primary may then
serve the partition, because a committed record may exist only on the missing replicas.  When enough of them
return, the partition is served again without an operator's order.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.quorum import takeover_quorum
from hollowusher.protocol.control_status import PartitionStatus
from hollowusher.protocol.placement import PartitionPlacement, Placement

NOT_SERVED = -1  # the margin of a partition that currently cannot be served


def live_store_ids(stores: Mapping[str, StoreCondition]) -> set[str]:
    """Return the store ids ("name/disk id") of the stores whose process is alive, with their current disk."""
    return {condition.store_id for condition in stores.values() if condition.is_alive}


def is_lost(entry: PartitionPlacement, live: Collection[str], tolerance: int) -> bool:
    """Return whether too few replicas are live for any primary to serve the partition."""
    live_count = sum(replica in live for replica in entry.replicas)
    return live_count < takeover_quorum(len(entry.replicas), tolerance)


def lost_partitions(
    placement: Placement, live: Collection[str], tolerance: int
) -> dict[int, PartitionPlacement]:
    """Return the entries of the lost partitions, by partition number."""
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
    """Return the number of further store losses that all partitions tolerate.

    After that many losses every partition is still served and no committed record is lost.  The result is -1
    if some partition currently cannot be served.
    """
    margins = [
        status.living - takeover_quorum(status.replicas, tolerance) if status.replicas else NOT_SERVED
        for status in statuses
    ]
    return max(NOT_SERVED, min(margins, default=NOT_SERVED))
