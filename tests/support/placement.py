"""Helpers for placement tests: stores, their conditions, and runs of the planner."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.planner import PlanningInput, plan_placement
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import Placement

LONG_S = 100.0
Conditions = dict[str, StoreCondition]


def store(number: int, zones: int = 3, incarnation: int = 1, disk_id: str = "d", status: int = 0) -> Member:
    return Member(
        f"s{number}", "store", f"s{number}:1", f"z{number % zones}", "r", incarnation, disk_id, status=status
    )


def dead_store(number: int) -> Member:
    return store(number, status=1)


def stores(count: int, zones: int = 3) -> list[Member]:
    return [store(number, zones) for number in range(count)]


def all_live(count: int, state_age_s: float = LONG_S) -> Conditions:
    """Return the conditions of `count` live stores."""
    return {member.name: StoreCondition(member, state_age_s) for member in stores(count)}


def with_store(conditions: Conditions, member: Member, state_age_s: float = 0.0) -> Conditions:
    """Return the conditions with one store added or changed."""
    return {**conditions, member.name: StoreCondition(member, state_age_s)}


def plan(
    placement: Placement,
    conditions: Conditions,
    tolerance: int = 1,
    retiring: Collection[str] = (),
    ready: Collection[LearnerReport] = (),
    lost: Collection[LearnerReport] = (),
    allow_moves: bool = False,
) -> Placement | None:
    """Return the next placement; None if the current one needs no change."""
    return plan_placement(placement, PlanningInput(conditions, tolerance, retiring, ready, lost, allow_moves))


def plan_change(
    placement: Placement,
    conditions: Conditions,
    retiring: Collection[str] = (),
    ready: Collection[LearnerReport] = (),
    allow_moves: bool = False,
) -> Placement:
    """Return the next placement; fail if the current one needs no change."""
    planned = plan(placement, conditions, retiring=retiring, ready=ready, allow_moves=allow_moves)
    assert planned is not None
    assert planned.version == placement.version + 1
    return planned


def plan_until_stable(
    placement: Placement,
    conditions: Conditions,
    retiring: Collection[str] = (),
    allow_moves: bool = False,
) -> Placement:
    """Plan repeatedly until the placement is stable, and return it; all learners catch up immediately."""
    for _ in range(300):
        ready = reports_of_all_learners(placement)
        planned = plan(placement, conditions, retiring=retiring, ready=ready, allow_moves=allow_moves)
        if planned is None:
            return placement
        placement = planned
    raise AssertionError("the placement is not stable after 300 plans")


def reports_of_all_learners(placement: Placement) -> set[LearnerReport]:
    """Return the reports of the primaries after all learners have caught up."""
    return {
        LearnerReport(entry.partition, entry.epoch, learner)
        for entry in placement.partitions
        for learner in entry.learners
    }


def primary_counts(placement: Placement) -> Counter[str]:
    """Return the number of partitions of which each store is the primary, by store name."""
    return Counter(store_name(entry.primary) for entry in placement.partitions)


def epochs(placement: Placement) -> dict[int, int]:
    """Return the epochs by partition."""
    return {entry.partition: entry.epoch for entry in placement.partitions}
