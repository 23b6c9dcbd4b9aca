"""Recovery of a lost partition on an operator's order.  The module performs no I/O and reads no clock.

Only an operator can decide that the missing replicas of a lost partition will never return.  The order names
every replica to abandon, and the remaining replicas serve the partition in a new epoch.  Records that only
the abandoned replicas held are lost.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.errors import OrderConflictError, UnknownTargetError
from hollowusher.coordination.placement.partition_health import is_lost, live_store_ids
from hollowusher.coordination.rendezvous import weight
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.operator_orders import RecoverPartition
from hollowusher.protocol.placement import PartitionPlacement, Placement


def plan_recovery(
    placement: Placement,
    stores: Mapping[str, StoreCondition],
    tolerance: int,
    order: RecoverPartition,
) -> Placement:
    """Return the placement in which only the live replicas of a lost partition serve it.

    Raises
    ------
    UnknownTargetError
        If the placement has no partition with the number in the order.
    OrderConflictError
        If the partition is not lost, if none of its replicas is live, or if the replicas that the order names
        are not exactly those that are not live.
    """
    entry = next((each for each in placement.partitions if each.partition == order.partition), None)
    if entry is None:
        raise UnknownTargetError("there is no such partition")
    live = live_store_ids(stores)
    if not is_lost(entry, live, tolerance):
        raise OrderConflictError("enough replicas of this partition live")
    _check_abandoned(entry, live, set(order.accept_loss_of))
    recovered = _recovered_entry(entry, stores)
    entries = [recovered if each is entry else each for each in placement.partitions]
    return Placement(placement.version + 1, entries)


def _check_abandoned(entry: PartitionPlacement, live: Collection[str], abandoned: set[str]) -> None:
    """Raise an `OrderConflictError` unless `abandoned` holds exactly the replicas that are not live.

    Also raise it if no replica is live.
    """
    replicas = set(entry.replicas)
    remaining = replicas.intersection(live)
    if unknown := sorted(abandoned - replicas):
        raise OrderConflictError(f"{unknown[0]} is no replica of this partition")
    if alive := sorted(abandoned & remaining):
        raise OrderConflictError(f"{alive[0]} lives")
    if unnamed := sorted(replicas - remaining - abandoned):
        raise OrderConflictError(f"{unnamed[0]} does not live and is not named")
    if not remaining:
        raise OrderConflictError("no replica of this partition is left")


def _recovered_entry(entry: PartitionPlacement, stores: Mapping[str, StoreCondition]) -> PartitionPlacement:
    incarnations = {
        condition.store_id: condition.member.incarnation
        for condition in stores.values()
        if condition.member is not None and condition.member.alive
    }
    remaining = [replica for replica in entry.replicas if replica in incarnations]
    primary = _choose_primary(entry, remaining)
    return evolve(
        entry,
        epoch=entry.epoch + 1,
        primary=primary,
        replicas=remaining,
        learners=[],
        primary_incarnation=incarnations[primary],
    )


def _choose_primary(entry: PartitionPlacement, remaining: Collection[str]) -> str:
    if entry.primary in remaining:
        return entry.primary
    key = f"primary/{entry.partition}"
    return max(remaining, key=lambda store_id: weight(key, store_id))
