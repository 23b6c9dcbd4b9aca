"""The planner changes primaries after deaths, restarts and returns of stores, and for balance."""

from __future__ import annotations

import pytest

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.initial_placement import PARTITION_COUNT, plan_initial_placement
from hollowusher.coordination.placement.replica_states import STABLE_AFTER_S, UNKNOWN_DOWN_AFTER_S
from tests.support.placement import (
    all_live,
    dead_store,
    epochs,
    plan,
    plan_change,
    primary_counts,
    store,
    stores,
    with_store,
)


@pytest.mark.parametrize("count", range(1, 14))
def test_the_placement_does_not_change_while_all_stores_are_live(count: int) -> None:
    placement = plan_initial_placement(stores(count), 1)
    assert plan(placement, all_live(count), allow_moves=True) is None


def test_a_dead_primary_is_replaced_at_once_by_live_replicas_evenly() -> None:
    placement = plan_initial_placement(stores(3), 1)
    after = plan_change(placement, with_store(all_live(3), dead_store(0)))
    for old, new in zip(placement.partitions, after.partitions, strict=True):
        if old.primary == "s0/d":
            assert new.primary != "s0/d"
            assert new.primary in old.replicas
            assert new.epoch == old.epoch + 1
            assert new.replicas == old.replicas
        else:
            assert new == old
    counts = primary_counts(after)
    assert abs(counts["s1"] - counts["s2"]) <= 1


def test_a_primary_without_a_live_replica_stays() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = {f"s{number}": StoreCondition(dead_store(number), 1.0) for number in range(3)}
    assert plan(placement, conditions) is None


def test_a_store_that_has_not_registered_counts_as_down_after_a_timeout() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = {**all_live(3), "s0": StoreCondition(None, UNKNOWN_DOWN_AFTER_S - 0.1)}
    assert plan(placement, conditions) is None
    conditions["s0"] = StoreCondition(None, UNKNOWN_DOWN_AFTER_S)
    assert primary_counts(plan_change(placement, conditions))["s0"] == 0


def test_a_restarted_primary_loses_its_partitions_to_stable_replicas() -> None:
    placement = plan_initial_placement(stores(3), 1)
    after = plan_change(placement, with_store(all_live(3), store(0, incarnation=2)))
    assert primary_counts(after)["s0"] == 0
    assert all(entry.primary_incarnation == 1 for entry in after.partitions)


def test_when_all_have_restarted_each_keeps_its_partitions_in_new_epochs() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = {f"s{number}": StoreCondition(store(number, incarnation=7), 0.1) for number in range(3)}
    after = plan_change(placement, conditions)
    assert [entry.primary for entry in after.partitions] == [entry.primary for entry in placement.partitions]
    assert set(epochs(after).values()) == {2}
    assert all(entry.primary_incarnation == 7 for entry in after.partitions)
    assert plan(after, conditions) is None


def test_primaries_move_back_one_by_one_once_the_store_is_stable() -> None:
    before = plan_change(plan_initial_placement(stores(3), 1), with_store(all_live(3), dead_store(0)))
    returned_store = store(0, incarnation=2)
    assert (
        plan(before, with_store(all_live(3), returned_store, STABLE_AFTER_S - 0.1), allow_moves=True) is None
    )
    assert plan(before, with_store(all_live(3), returned_store, STABLE_AFTER_S)) is None
    placement, conditions, moves = before, with_store(all_live(3), returned_store, STABLE_AFTER_S), 0
    while (planned := plan(placement, conditions, allow_moves=True)) is not None:
        changed_partitions = [
            number for number, epoch in epochs(planned).items() if epoch > epochs(placement)[number]
        ]
        assert len(changed_partitions) == 1
        placement, moves = planned, moves + 1
    assert moves == PARTITION_COUNT // 3
    assert max(primary_counts(placement).values()) <= -(-PARTITION_COUNT // 3)
    assert all(entry.primary_incarnation == 2 for entry in placement.partitions if entry.primary == "s0/d")


def test_no_primary_moves_for_balance_while_a_replica_is_down() -> None:
    before = plan_change(plan_initial_placement(stores(3), 1), with_store(all_live(3), dead_store(0)))
    not_stable = with_store(
        with_store(all_live(3), store(0, incarnation=2), STABLE_AFTER_S - 1), dead_store(1)
    )
    after = plan_change(before, not_stable, allow_moves=True)
    assert primary_counts(after)["s2"] == PARTITION_COUNT
    stable = with_store(with_store(all_live(3), store(0, incarnation=2), STABLE_AFTER_S), dead_store(1), 1.0)
    assert plan(after, stable, allow_moves=True) is None
    returned = with_store(stable, store(1, incarnation=2))
    assert primary_counts(plan_change(after, returned, allow_moves=True))["s0"] == 1
