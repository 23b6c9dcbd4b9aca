"""The planner replaces replicas on lost disks, on stores that are gone, and on stores that are retiring."""

from __future__ import annotations

from hollowusher.coordination.placement.initial_placement import PARTITION_COUNT, plan_initial_placement
from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.placed_stores import is_store_placed
from hollowusher.coordination.placement.replica_states import GONE_AFTER_S, MISSING_AFTER_S
from hollowusher.protocol.placement import PartitionPlacement, Placement
from tests.support.placement import (
    LONG_S,
    all_live,
    dead_store,
    plan,
    plan_change,
    plan_until_stable,
    primary_counts,
    store,
    stores,
    with_store,
)


def test_a_lost_disk_is_replaced_by_the_same_machine_after_it_has_caught_up() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = with_store(all_live(3), store(0, incarnation=2, disk_id="new"))
    learning = plan_change(placement, conditions)
    for entry in learning.partitions:
        assert entry.primary != "s0/d"
        assert entry.learners == ["s0/new"]
        assert "s0/d" in entry.replicas
    assert plan(learning, conditions) is None
    entry = learning.partitions[0]
    after = plan_change(learning, conditions, ready={LearnerReport(0, entry.epoch, "s0/new")})
    assert sorted(after.partitions[0].replicas) == ["s0/new", "s1/d", "s2/d"]
    assert after.partitions[0].learners == []
    assert after.partitions[0].epoch == entry.epoch + 1
    assert after.partitions[1:] == learning.partitions[1:]


def test_a_machine_with_a_lost_disk_is_preferred_to_other_free_stores() -> None:
    placement = Placement(1, [PartitionPlacement(0, 1, "s3/d", ["s0/d", "s1/d", "s3/d"], [], 1)])
    learning = plan_change(placement, with_store(all_live(4), store(0, incarnation=2, disk_id="new")))
    assert learning.partitions[0].learners == ["s0/new"]  # although s2 would be the only replica in its zone


def test_reports_of_an_older_epoch_or_about_other_stores_promote_no_learner() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = with_store(all_live(3), store(0, incarnation=2, disk_id="new"))
    learning = plan_change(placement, conditions)
    epoch = learning.partitions[0].epoch
    wrong = {LearnerReport(0, epoch - 1, "s0/new"), LearnerReport(0, epoch, "s9/d")}
    assert plan(learning, conditions, ready=wrong) is None


def test_no_replica_is_replaced_while_more_than_f_would_be_down() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = with_store(all_live(3), store(0, incarnation=2, disk_id="new"))
    learning = plan_change(placement, conditions)
    entry = learning.partitions[0]
    worse = with_store(with_store(conditions, dead_store(1), 1.0), dead_store(2), 1.0)
    after = plan(learning, worse, ready={LearnerReport(0, entry.epoch, "s0/new")})
    assert after is None or after.partitions[0].replicas == entry.replicas


def test_a_store_that_is_gone_is_replaced_where_another_is_free() -> None:
    placement = plan_initial_placement(stores(4), 1)
    short = plan_change(placement, with_store(all_live(4), dead_store(0), MISSING_AFTER_S - 0.1))
    assert all(entry.learners == [] for entry in short.partitions)
    missing = with_store(all_live(4), dead_store(0), MISSING_AFTER_S)
    learning = plan_change(short, missing)
    for entry in learning.partitions:
        assert len(entry.learners) == ("s0/d" in entry.replicas)
        assert not set(entry.learners) & {"s0/d", *entry.replicas}
    still_awaited = with_store(all_live(4), dead_store(0), GONE_AFTER_S - 0.1)
    assert plan_until_stable(learning, still_awaited) == learning
    gone = with_store(all_live(4), dead_store(0), GONE_AFTER_S)
    after = plan_until_stable(learning, gone)
    assert not is_store_placed(after, "s0")
    assert all(len(entry.replicas) == 3 for entry in after.partitions)


def test_a_gone_store_stays_a_replica_if_no_store_is_free() -> None:
    placement = plan_initial_placement(stores(3), 1)
    after = plan_until_stable(placement, with_store(all_live(3), dead_store(0), LONG_S))
    assert all("s0/d" in entry.replicas and entry.learners == [] for entry in after.partitions)


def test_a_learner_is_removed_when_the_store_that_was_gone_returns() -> None:
    placement = plan_initial_placement(stores(4), 1)
    learning = plan_change(placement, with_store(all_live(4), dead_store(0), GONE_AFTER_S))
    after = plan_change(learning, with_store(all_live(4), store(0, incarnation=2), 0.5))
    assert all(entry.learners == [] for entry in after.partitions)
    assert all(
        new.replicas == old.replicas for new, old in zip(after.partitions, placement.partitions, strict=True)
    )


def test_a_cluster_that_started_with_too_few_stores_gets_its_missing_replicas() -> None:
    placement = plan_initial_placement(stores(2), 1)
    after = plan_until_stable(placement, all_live(3), allow_moves=True)
    assert all(len(entry.replicas) == 3 for entry in after.partitions)
    assert max(primary_counts(after).values()) <= -(-PARTITION_COUNT // 3)


def test_a_retiring_store_loses_primaries_one_by_one_and_then_its_replicas() -> None:
    placement = plan_initial_placement(stores(4), 1)
    learning = plan_change(placement, all_live(4), retiring=["s0"])
    assert primary_counts(learning)["s0"] == primary_counts(placement)["s0"]
    assert all(len(entry.learners) == ("s0/d" in entry.replicas) for entry in learning.partitions)
    one_less = plan_change(learning, all_live(4), retiring=["s0"], allow_moves=True)
    assert primary_counts(one_less)["s0"] == primary_counts(learning)["s0"] - 1
    after = plan_until_stable(learning, all_live(4), retiring=["s0"], allow_moves=True)
    assert not is_store_placed(after, "s0")
    assert all(len(entry.replicas) == 3 for entry in after.partitions)


def test_a_retiring_primary_is_not_replaced_before_another_one_has_taken_over() -> None:
    placement = plan_initial_placement(stores(4), 1)
    learning = plan_change(placement, all_live(4), retiring=["s0"])
    entry = next(entry for entry in learning.partitions if entry.primary == "s0/d")
    after = plan(
        learning,
        all_live(4),
        retiring=["s0"],
        ready={LearnerReport(entry.partition, entry.epoch, entry.learners[0])},
    )
    assert after is None


def test_a_retiring_store_is_no_learner_and_no_new_primary() -> None:
    placement = plan_initial_placement(stores(5), 1)
    conditions = with_store(all_live(5), dead_store(1), LONG_S)
    after = plan_until_stable(placement, conditions, retiring=["s0"], allow_moves=True)
    assert not is_store_placed(after, "s0")
    assert not is_store_placed(after, "s1")
