"""A commit quorum is in the primary's zone, unless zone losses must be tolerated and replicas are spread."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.initial_placement import plan_initial_placement
from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.planner import PlanningInput, plan_placement
from hollowusher.coordination.placement.zone_policy import ZonePolicy, zone_policy
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from tests.support.placement import LONG_S, primary_counts, stores

ZONES = 4


def zone_of(store_id: str) -> int:
    return int(store_name(store_id)[1:]) % ZONES


def home_replica_count(entry: PartitionPlacement) -> int:
    """Return how many replicas are in the zone of the primary."""
    return sum(zone_of(replica) == zone_of(entry.primary) for replica in entry.replicas)


def make_initial_placement(count: int, tolerance: int, policy: ZonePolicy) -> Placement:
    return plan_initial_placement(stores(count, ZONES), tolerance, policy=policy)


def test_policy_follows_the_tolerated_losses() -> None:
    assert zone_policy(0, 0) is ZonePolicy.QUORUM_AT_HOME
    assert zone_policy(1, 0) is ZonePolicy.SPREAD
    assert zone_policy(0, 1) is ZonePolicy.SPREAD


@pytest.mark.parametrize(("count", "tolerance"), [(8, 1), (8, 2), (12, 2), (19, 2), (40, 2)])
def test_the_home_zone_holds_a_quorum_if_it_has_enough_stores(count: int, tolerance: int) -> None:
    placement = make_initial_placement(count, tolerance, ZonePolicy.QUORUM_AT_HOME)
    in_zone = Counter(number % ZONES for number in range(count))
    for entry in placement.partitions:
        wanted = min(tolerance + 1, in_zone[zone_of(entry.primary)])
        assert home_replica_count(entry) >= wanted
        assert len(set(entry.replicas)) == 2 * tolerance + 1
        assert len({zone_of(replica) for replica in entry.replicas}) > 1
    homes = Counter(zone_of(entry.primary) for entry in placement.partitions)
    for zone, stores_there in in_zone.items():
        assert homes[zone] <= math.ceil(len(placement.partitions) * stores_there / count)
    assert max(primary_counts(placement).values()) <= -(-16 // count) + 1


@pytest.mark.parametrize("count", [1, 2, 3, 4])
def test_home_zones_change_nothing_with_one_store_per_zone(count: int) -> None:
    spread = make_initial_placement(count, 1, ZonePolicy.SPREAD)
    assert make_initial_placement(count, 1, ZonePolicy.QUORUM_AT_HOME) == spread


def test_lost_replicas_are_replaced_in_the_home_zone() -> None:
    members = {store.name: store for store in stores(12, ZONES)}
    placement = make_initial_placement(12, 1, ZonePolicy.QUORUM_AT_HOME)
    lost = store_name(placement.partitions[0].primary)
    stable_placement = placement_after_loss(placement, members, lost)
    for entry in stable_placement.partitions:
        assert lost not in map(store_name, entry.replicas)
        assert home_replica_count(entry) >= 2


def placement_after_loss(placement: Placement, members: dict[str, Member], lost: str) -> Placement:
    """Return the stable placement after the store `lost` is gone and all learners have caught up."""
    conditions = {name: StoreCondition(member, LONG_S) for name, member in members.items() if name != lost}
    conditions[lost] = StoreCondition(None, LONG_S)
    for _ in range(200):
        ready = {
            LearnerReport(entry.partition, entry.epoch, learner)
            for entry in placement.partitions
            for learner in entry.learners
        }
        planning_input = PlanningInput(
            conditions, 1, ready_learners=ready, allow_moves=True, policy=ZonePolicy.QUORUM_AT_HOME
        )
        planned = plan_placement(placement, planning_input)
        if planned is None:
            return placement
        placement = planned
    raise AssertionError("the placement is not stable after 200 plans")
