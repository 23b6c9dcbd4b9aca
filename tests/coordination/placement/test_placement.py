"""Where partitions are kept: the first placement, and how it follows deaths, returns, lost disks, orders."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from itertools import product

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.initial_placement import (
    PARTITION_COUNT,
    balance_primaries,
    plan_initial_placement,
    rank_partitions,
)
from hollowusher.coordination.placement.planner import can_retire, is_store_placed, plan_placement
from hollowusher.coordination.placement.replica_states import (
    GONE_AFTER_S,
    MISSING_AFTER_S,
    STABLE_AFTER_S,
    UNKNOWN_DOWN_AFTER_S,
    store_name,
)
from hollowusher.protocol.codec import decode, encode
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement

LONG = 100.0
Conditions = dict[str, StoreCondition]


def store(number: int, zones: int = 3, incarnation: int = 1, disk_id: str = "d", status: int = 0) -> Member:
    return Member(
        f"s{number}", "store", f"s{number}:1", f"z{number % zones}", "r", incarnation, disk_id, status=status
    )


def stores(count: int, zones: int = 3) -> list[Member]:
    return [store(number, zones) for number in range(count)]


def calm(count: int, state_age_s: float = LONG) -> Conditions:
    return {member.name: StoreCondition(member, state_age_s) for member in stores(count)}


def with_store(conditions: Conditions, member: Member, state_age_s: float = 0.0) -> Conditions:
    return {**conditions, member.name: StoreCondition(member, state_age_s)}


def dead(number: int) -> Member:
    return store(number, status=1)


def changed(
    placement: Placement,
    conditions: Conditions,
    tolerance: int = 1,
    retiring: Collection[str] = (),
    ready_learners: Collection[tuple[int, int, str]] = (),
    allow_moves: bool = False,
) -> Placement:
    found = plan_placement(placement, conditions, tolerance, retiring, ready_learners, allow_moves)
    assert found is not None and found.version == placement.version + 1
    return found


def settled(
    placement: Placement,
    conditions: Conditions,
    tolerance: int = 1,
    retiring: Collection[str] = (),
    allow_moves: bool = False,
) -> Placement:
    """The placement after as many rounds as it takes, all learners catching up at once."""
    for _ in range(300):
        ready_learners = {
            (entry.partition, entry.epoch, learner)
            for entry in placement.partitions
            for learner in entry.learners
        }
        following = plan_placement(placement, conditions, tolerance, retiring, ready_learners, allow_moves)
        if following is None:
            return placement
        placement = following
    raise AssertionError("the placement never settles")


def primaries(placement: Placement) -> Counter[str]:
    return Counter(store_name(entry.primary) for entry in placement.partitions)


def epochs(placement: Placement) -> dict[int, int]:
    return {entry.partition: entry.epoch for entry in placement.partitions}


# ---- the first placement


@pytest.mark.parametrize("count", range(1, 12))
@pytest.mark.parametrize("tolerance", [0, 1, 2])
def test_first_placement(count: int, tolerance: int) -> None:
    placement = plan_initial_placement(stores(count), tolerance)
    size = min(count, 2 * tolerance + 1)
    assert [entry.partition for entry in placement.partitions] == list(range(PARTITION_COUNT))
    for entry in placement.partitions:
        assert len(set(entry.replicas)) == size and entry.primary in entry.replicas
        assert (entry.epoch, entry.learners, entry.primary_incarnation) == (1, [], 1)
        used = {int(store_name(replica)[1:]) % 3 for replica in entry.replicas}
        assert len(used) == min(size, 3, count)  # spread over the zones
    assert max(primaries(placement).values()) <= -(-PARTITION_COUNT // count)


def test_first_placement_does_not_depend_on_the_order_of_stores() -> None:
    assert plan_initial_placement(stores(7), 1) == plan_initial_placement(stores(7)[::-1], 1)


def test_replicas_are_bounded_where_zones_are_even() -> None:
    placement = plan_initial_placement(stores(6), 1)
    load = Counter(replica for entry in placement.partitions for replica in entry.replicas)
    assert max(load.values()) - min(load.values()) <= 1


def test_balanced_primaries_reassigns_earlier_choices() -> None:
    replicas = {0: ["a", "b"], 1: ["a", "c"], 2: ["a"], 3: ["b", "c"]}
    assigned = balance_primaries(replicas, 2)
    assert assigned[2] == "a" and max(Counter(assigned.values()).values()) <= 2
    assert all(assigned[number] in options for number, options in replicas.items())
    assert set(balance_primaries({0: ["a"], 1: ["a"], 2: ["a"]}, 1).values()) == {"a"}


@settings(max_examples=200, deadline=None)
@given(st.lists(st.sets(st.sampled_from("abcd"), min_size=1).map(sorted), max_size=6), st.integers(1, 4))
@example([["a"], ["a", "b"], ["b", "c"], ["a", "b"], ["a", "b"], ["b", "c"]], 2)
def test_balanced_primaries_equal_the_best_of_all_assignments(options: list[list[str]], most: int) -> None:
    """Compared with trying everything: a bound that can be kept is kept."""
    replicas = dict(enumerate(options))
    possible = any(max(Counter(choice).values(), default=0) <= most for choice in product(*options))
    assigned = balance_primaries(replicas, most)
    held = Counter(assigned.values())
    assert all(assigned[number] in replicas[number] for number in replicas)
    assert not possible or max(held.values(), default=0) <= most
    assert all(held[assigned[number]] - held[other] < 2 for number in replicas for other in replicas[number])


def test_homes_rank_all_partitions_and_spread_services() -> None:
    ranking = rank_partitions("huvo11a", range(PARTITION_COUNT))
    assert sorted(ranking) == list(range(PARTITION_COUNT)) and ranking == rank_partitions(
        "huvo11a", range(PARTITION_COUNT)[::-1]
    )
    first = Counter(rank_partitions(f"service{number}", range(PARTITION_COUNT))[0] for number in range(1600))
    assert len(first) == PARTITION_COUNT and max(first.values()) < 160


def test_a_placement_travels() -> None:
    placement = plan_initial_placement(stores(3), 1)
    assert decode(encode(placement)) == placement


# ---- primaries


@pytest.mark.parametrize("count", range(1, 14))
def test_nothing_changes_while_all_is_well(count: int) -> None:
    placement = plan_initial_placement(stores(count), 1)
    assert plan_placement(placement, calm(count), 1, (), (), True) is None


def test_a_dead_primary_is_replaced_at_once_by_living_replicas_evenly() -> None:
    placement = plan_initial_placement(stores(3), 1)
    after = changed(placement, with_store(calm(3), dead(0)))
    for old, new in zip(placement.partitions, after.partitions, strict=True):
        if old.primary == "s0/d":
            assert new.primary != "s0/d" and new.primary in old.replicas
            assert new.epoch == old.epoch + 1 and new.replicas == old.replicas
        else:
            assert new == old
    counts = primaries(after)
    assert abs(counts["s1"] - counts["s2"]) <= 1


def test_a_primary_without_living_replica_stays() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = {f"s{number}": StoreCondition(dead(number), 1.0) for number in range(3)}
    assert plan_placement(placement, conditions, 1) is None


def test_a_store_never_seen_by_this_head_is_awaited_a_while() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = {**calm(3), "s0": StoreCondition(None, UNKNOWN_DOWN_AFTER_S - 0.1)}
    assert plan_placement(placement, conditions, 1) is None
    conditions["s0"] = StoreCondition(None, UNKNOWN_DOWN_AFTER_S)
    assert primaries(changed(placement, conditions))["s0"] == 0


def test_a_restarted_primary_loses_its_partitions_to_steady_replicas() -> None:
    placement = plan_initial_placement(stores(3), 1)
    after = changed(placement, with_store(calm(3), store(0, incarnation=2)))
    assert primaries(after)["s0"] == 0
    assert all(entry.primary_incarnation == 1 for entry in after.partitions)


def test_when_all_have_restarted_each_keeps_its_partitions_in_new_epochs() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = {f"s{number}": StoreCondition(store(number, incarnation=7), 0.1) for number in range(3)}
    after = changed(placement, conditions)
    assert [entry.primary for entry in after.partitions] == [entry.primary for entry in placement.partitions]
    assert set(epochs(after).values()) == {2}
    assert all(entry.primary_incarnation == 7 for entry in after.partitions)
    assert plan_placement(after, conditions, 1) is None


def test_primaries_drift_back_one_by_one_once_the_store_is_steady() -> None:
    before = changed(plan_initial_placement(stores(3), 1), with_store(calm(3), dead(0)))
    back = store(0, incarnation=2)
    assert plan_placement(before, with_store(calm(3), back, STABLE_AFTER_S - 0.1), 1, (), (), True) is None
    assert plan_placement(before, with_store(calm(3), back, STABLE_AFTER_S), 1, (), (), False) is None
    placement, conditions, moves = before, with_store(calm(3), back, STABLE_AFTER_S), 0
    while (following := plan_placement(placement, conditions, 1, (), (), True)) is not None:
        grown = [number for number, epoch in epochs(following).items() if epoch > epochs(placement)[number]]
        assert len(grown) == 1
        placement, moves = following, moves + 1
    assert moves == PARTITION_COUNT // 3
    assert max(primaries(placement).values()) <= -(-PARTITION_COUNT // 3)
    assert all(entry.primary_incarnation == 2 for entry in placement.partitions if entry.primary == "s0/d")


def test_no_primary_moves_for_balance_while_a_replica_is_away() -> None:
    before = changed(plan_initial_placement(stores(3), 1), with_store(calm(3), dead(0)))
    not_steady = with_store(with_store(calm(3), store(0, incarnation=2), STABLE_AFTER_S - 1), dead(1))
    after = changed(before, not_steady, allow_moves=True)
    assert primaries(after)["s2"] == PARTITION_COUNT
    steady = with_store(with_store(calm(3), store(0, incarnation=2), STABLE_AFTER_S), dead(1), 1.0)
    assert plan_placement(after, steady, 1, (), (), True) is None
    returned = with_store(steady, store(1, incarnation=2))
    assert primaries(changed(after, returned, allow_moves=True))["s0"] == 1


# ---- lost disks, machines that are gone


def test_a_lost_disk_is_replaced_by_the_same_machine_after_it_has_caught_up() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = with_store(calm(3), store(0, incarnation=2, disk_id="new"))
    learning = changed(placement, conditions)
    for entry in learning.partitions:
        assert entry.primary != "s0/d" and entry.learners == ["s0/new"] and "s0/d" in entry.replicas
    assert plan_placement(learning, conditions, 1) is None
    entry = learning.partitions[0]
    after = changed(learning, conditions, ready_learners={(0, entry.epoch, "s0/new")})
    assert sorted(after.partitions[0].replicas) == ["s0/new", "s1/d", "s2/d"]
    assert after.partitions[0].learners == [] and after.partitions[0].epoch == entry.epoch + 1
    assert after.partitions[1:] == learning.partitions[1:]


def test_a_machine_with_a_lost_disk_is_preferred_to_other_free_stores() -> None:
    placement = Placement(1, [PartitionPlacement(0, 1, "s3/d", ["s0/d", "s1/d", "s3/d"], [], 1)])
    learning = changed(placement, with_store(calm(4), store(0, incarnation=2, disk_id="new")))
    assert learning.partitions[0].learners == ["s0/new"]  # though s2 would be in a zone of its own


def test_reports_of_an_older_epoch_or_of_strangers_promote_nobody() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = with_store(calm(3), store(0, incarnation=2, disk_id="new"))
    learning = changed(placement, conditions)
    epoch = learning.partitions[0].epoch
    wrong = {(0, epoch - 1, "s0/new"), (0, epoch, "s9/d")}
    assert plan_placement(learning, conditions, 1, (), wrong) is None


def test_no_replica_gives_way_while_more_than_f_would_be_missing() -> None:
    placement = plan_initial_placement(stores(3), 1)
    conditions = with_store(calm(3), store(0, incarnation=2, disk_id="new"))
    learning = changed(placement, conditions)
    entry = learning.partitions[0]
    worse = with_store(with_store(conditions, dead(1), 1.0), dead(2), 1.0)
    after = plan_placement(learning, worse, 1, (), {(0, entry.epoch, "s0/new")})
    assert after is None or after.partitions[0].replicas == entry.replicas


def test_a_store_that_is_gone_for_long_is_replaced_where_another_is_free() -> None:
    placement = plan_initial_placement(stores(4), 1)
    short = changed(placement, with_store(calm(4), dead(0), MISSING_AFTER_S - 0.1))
    assert all(entry.learners == [] for entry in short.partitions)
    missing = with_store(calm(4), dead(0), MISSING_AFTER_S)
    learning = changed(short, missing)
    for entry in learning.partitions:
        assert len(entry.learners) == ("s0/d" in entry.replicas)
        assert not set(entry.learners) & {"s0/d", *entry.replicas}
    still_awaited = with_store(calm(4), dead(0), GONE_AFTER_S - 0.1)
    assert settled(learning, still_awaited) == learning
    gone = with_store(calm(4), dead(0), GONE_AFTER_S)
    after = settled(learning, gone)
    assert not is_store_placed(after, "s0") and all(len(entry.replicas) == 3 for entry in after.partitions)


def test_without_a_free_store_a_gone_one_keeps_its_place() -> None:
    placement = plan_initial_placement(stores(3), 1)
    after = settled(placement, with_store(calm(3), dead(0), LONG))
    assert all("s0/d" in entry.replicas and entry.learners == [] for entry in after.partitions)


def test_a_learner_is_given_up_when_the_gone_store_returns() -> None:
    placement = plan_initial_placement(stores(4), 1)
    learning = changed(placement, with_store(calm(4), dead(0), GONE_AFTER_S))
    after = changed(learning, with_store(calm(4), store(0, incarnation=2), 0.5))
    assert all(entry.learners == [] for entry in after.partitions)
    assert all(
        new.replicas == old.replicas for new, old in zip(after.partitions, placement.partitions, strict=True)
    )


def test_a_system_that_began_with_too_few_stores_grows_to_its_replicas() -> None:
    placement = plan_initial_placement(stores(2), 1)
    after = settled(placement, calm(3), allow_moves=True)
    assert all(len(entry.replicas) == 3 for entry in after.partitions)
    assert max(primaries(after).values()) <= -(-PARTITION_COUNT // 3)


# ---- emptying machines


def test_an_emptied_machine_loses_primaries_one_by_one_and_then_its_replicas() -> None:
    placement = plan_initial_placement(stores(4), 1)
    learning = changed(placement, calm(4), retiring=["s0"])
    assert primaries(learning)["s0"] == primaries(placement)["s0"]
    assert all(len(entry.learners) == ("s0/d" in entry.replicas) for entry in learning.partitions)
    one_less = changed(learning, calm(4), retiring=["s0"], allow_moves=True)
    assert primaries(one_less)["s0"] == primaries(learning)["s0"] - 1
    after = settled(learning, calm(4), retiring=["s0"], allow_moves=True)
    assert not is_store_placed(after, "s0") and all(len(entry.replicas) == 3 for entry in after.partitions)


def test_an_emptied_primary_is_not_dropped_before_another_one_has_taken_over() -> None:
    placement = plan_initial_placement(stores(4), 1)
    learning = changed(placement, calm(4), retiring=["s0"])
    entry = next(entry for entry in learning.partitions if entry.primary == "s0/d")
    after = plan_placement(learning, calm(4), 1, ["s0"], {(entry.partition, entry.epoch, entry.learners[0])})
    assert after is None


def test_an_emptied_machine_is_no_learner_and_no_new_primary() -> None:
    placement = plan_initial_placement(stores(5), 1)
    conditions = with_store(calm(5), dead(1), LONG)
    after = settled(placement, conditions, retiring=["s0"], allow_moves=True)
    assert not is_store_placed(after, "s0") and not is_store_placed(after, "s1")


def test_retirement_needs_2f_plus_1_other_living_stores() -> None:
    assert not can_retire("s0", calm(3), [], 1)
    assert can_retire("s0", calm(4), [], 1)
    assert not can_retire("s0", calm(4), ["s1"], 1)
    assert not can_retire("s0", with_store(calm(4), dead(2)), [], 1)
    assert can_retire("s0", with_store(calm(4), dead(0)), [], 1)


# ---- any course of events


events = st.lists(
    st.tuples(st.integers(0, 4), st.sampled_from(["die", "return", "lose", "retire"]), st.booleans()),
    max_size=25,
)


@settings(max_examples=120, deadline=None)
@given(events)
def test_invariants_over_any_course(course: list[tuple[int, str, bool]]) -> None:
    """Epochs only grow and change with the primary or the replicas, or when a learner is let go; a replica is
    only ever replaced by a learner of the placement before, and never while more than f of the new replicas
    are missing."""
    tolerance = 1
    members = {f"s{number}": store(number) for number in range(5)}
    since = dict.fromkeys(members, -LONG)
    retiring: set[str] = set()
    placement = plan_initial_placement(list(members.values()), tolerance)
    now = 0.0
    for number, event, reports in course:
        now += 3.0
        name = f"s{number}"
        member = members[name]
        if event == "retire":
            conditions = {name: StoreCondition(member, now) for name, member in members.items()}
            if can_retire(name, conditions, retiring, tolerance):
                retiring.add(name)
        else:
            alive = event != "die"
            disk = f"d{now}" if event == "lose" else member.disk_id
            members[name] = store(
                number, incarnation=member.incarnation + alive, disk_id=disk, status=0 if alive else 1
            )
            since[name] = now
        conditions = {name: StoreCondition(member, now - since[name]) for name, member in members.items()}
        ready_learners = (
            {
                (entry.partition, entry.epoch, learner)
                for entry in placement.partitions
                for learner in entry.learners
            }
            if reports
            else set()
        )
        following = plan_placement(placement, conditions, tolerance, retiring, ready_learners, True)
        if following is not None:
            for old, new in zip(placement.partitions, following.partitions, strict=True):
                check_step(old, new, conditions, tolerance)
            placement = following


def check_step(
    old: PartitionPlacement, new: PartitionPlacement, conditions: Conditions, tolerance: int
) -> None:
    same = (old.primary, old.primary_incarnation, sorted(old.replicas)) == (
        new.primary,
        new.primary_incarnation,
        sorted(new.replicas),
    )
    learners_let_go = set(old.learners) - set(new.learners)
    assert new.epoch == old.epoch if same and not learners_let_go else new.epoch > old.epoch
    assert new.primary in new.replicas and len(set(new.replicas)) == len(new.replicas) == 3
    assert not set(new.learners) & set(new.replicas)
    came, left = set(new.replicas) - set(old.replicas), set(old.replicas) - set(new.replicas)
    assert came <= set(old.learners) and len(came) == len(left) <= 1
    if came:
        missing = [
            replica
            for replica in new.replicas
            if not conditions[store_name(replica)].is_alive
            or conditions[store_name(replica)].store_id != replica
        ]
        assert len(missing) <= tolerance
    if new.primary != old.primary or new.primary_incarnation != old.primary_incarnation:
        condition = conditions[store_name(new.primary)]
        assert condition.is_alive and condition.store_id == new.primary
        assert condition.member is not None and condition.member.incarnation == new.primary_incarnation
