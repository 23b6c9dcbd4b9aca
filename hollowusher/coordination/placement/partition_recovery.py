"""Partitions that have lost too many replicas: how they are told, and how an operator brings one back.

No I/O, no clock.  A partition is lost while fewer of its replicas live than a takeover needs: no primary may
serve then, because a record may be known to the missing ones alone.  Where they return, it goes on by itself.
Where they never will, only an operator can say so: he names every replica that he gives up, and the others go
on in a new epoch.  What only the given up replicas held is lost with them.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import attrs

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.rendezvous import weight
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_status import PartitionStatus
from hollowusher.protocol.placement import PartitionPlacement, Placement


@attrs.frozen
class RecoveryRejected:
    """Why an order to go on without some replicas is not taken; `status` is that of the HTTP answer."""

    status: int
    reason: str


def commit_quorum(replicas: int, tolerance: int) -> int:
    """How many replicas must have a record before it counts as kept."""
    return min(tolerance + 1, max(1, replicas))


def takeover_quorum(replicas: int, tolerance: int) -> int:
    """How many replicas a new primary has to compare, itself among them."""
    quorum = commit_quorum(replicas, tolerance)
    return max(quorum, replicas - quorum + 1)


def live_store_ids(stores: Mapping[str, StoreCondition]) -> set[str]:
    """The store ids whose process and disk are there."""
    return {condition.store_id for condition in stores.values() if condition.is_alive}


def is_lost(entry: PartitionPlacement, living: Collection[str], tolerance: int) -> bool:
    """Whether no primary can serve the partition while no replica returns."""
    present = sum(replica in living for replica in entry.replicas)
    return present < takeover_quorum(len(entry.replicas), tolerance)


def partition_statuses(
    placement: Placement, stores: Mapping[str, StoreCondition], tolerance: int
) -> list[PartitionStatus]:
    """How each partition stands."""
    living = live_store_ids(stores)
    return [
        PartitionStatus(
            entry.partition,
            entry.epoch,
            entry.primary,
            sum(replica in living for replica in entry.replicas),
            len(entry.replicas),
            list(entry.learners),
            is_lost(entry, living, tolerance),
        )
        for entry in placement.partitions
    ]


def store_losses_borne(statuses: Iterable[PartitionStatus], tolerance: int) -> int:
    """How many further stores may be lost with every partition still served and every record kept; -1 where
    some partition cannot be served now."""
    margins = [
        status.living - takeover_quorum(status.replicas, tolerance) if status.replicas else -1
        for status in statuses
    ]
    return max(-1, min(margins, default=-1))


def plan_recovery(
    placement: Placement,
    stores: Mapping[str, StoreCondition],
    tolerance: int,
    partition: int,
    accept_loss_of: Collection[str],
) -> Placement | RecoveryRejected:
    """The placement in which what is left of a partition goes on, or why there is none."""
    entry = next((each for each in placement.partitions if each.partition == partition), None)
    if entry is None:
        return RecoveryRejected(404, "there is no such partition")
    living = live_store_ids(stores)
    if not is_lost(entry, living, tolerance):
        return RecoveryRejected(409, "enough replicas of this partition live")
    if unknown := sorted(set(accept_loss_of) - set(entry.replicas)):
        return RecoveryRejected(409, f"{unknown[0]} is no replica of this partition")
    if alive := sorted(set(accept_loss_of) & living):
        return RecoveryRejected(409, f"{alive[0]} lives")
    left = [replica for replica in entry.replicas if replica in living]
    if unnamed := sorted(set(entry.replicas) - set(left) - set(accept_loss_of)):
        return RecoveryRejected(409, f"{unnamed[0]} does not live and is not named")
    if not left:
        return RecoveryRejected(409, "no replica of this partition is left")
    recovered = _recovered_entry(entry, left, stores)
    entries = [recovered if each.partition == partition else each for each in placement.partitions]
    return Placement(placement.version + 1, entries)


def _recovered_entry(
    entry: PartitionPlacement, left: list[str], stores: Mapping[str, StoreCondition]
) -> PartitionPlacement:
    key = f"primary/{entry.partition}"
    primary = entry.primary if entry.primary in left else max(left, key=lambda each: weight(key, each))
    incarnations = {
        condition.store_id: condition.member.incarnation
        for condition in stores.values()
        if condition.member is not None
    }
    return evolve(
        entry,
        epoch=entry.epoch + 1,
        primary=primary,
        replicas=left,
        learners=[],
        primary_incarnation=incarnations[primary],
    )
