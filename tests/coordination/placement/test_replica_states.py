"""Replica states follow from the condition of the store: gone implies missing, which implies down."""

from __future__ import annotations

import pytest

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.initial_placement import plan_initial_placement
from hollowusher.coordination.placement.replica_states import (
    GONE_AFTER_S,
    MISSING_AFTER_LEAVING_S,
    MISSING_AFTER_S,
    STABLE_AFTER_S,
    UNKNOWN_DOWN_AFTER_S,
    UNKNOWN_GONE_AFTER_S,
    ReplicaStates,
)
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Member
from tests.support.placement import Conditions, all_live, dead_store, store, stores, with_store

PLACEMENT = plan_initial_placement(stores(3), 1)
REPLICA = "s0/d"


def states_of(conditions: Conditions, retiring: tuple[str, ...] = ()) -> ReplicaStates:
    return ReplicaStates(conditions, retiring, PLACEMENT)


def state_flags(states: ReplicaStates) -> tuple[bool, bool, bool]:
    return states.is_down(REPLICA), states.is_missing(REPLICA), states.is_gone(REPLICA)


def leaving_store() -> Member:
    return evolve(dead_store(0), leaving=True)


@pytest.mark.parametrize(
    ("member", "state_age_s", "expected"),
    [
        (store(0), 0.0, (False, False, False)),
        (dead_store(0), MISSING_AFTER_S - 0.1, (True, False, False)),
        (dead_store(0), MISSING_AFTER_S, (True, True, False)),
        (dead_store(0), GONE_AFTER_S, (True, True, True)),
        (leaving_store(), MISSING_AFTER_LEAVING_S - 0.1, (True, False, False)),
        (leaving_store(), MISSING_AFTER_LEAVING_S, (True, True, True)),
        (store(0, incarnation=2, disk_id="new"), 0.0, (True, True, True)),
        (None, UNKNOWN_DOWN_AFTER_S - 0.1, (False, False, False)),
        (None, UNKNOWN_DOWN_AFTER_S, (True, False, False)),
        (None, UNKNOWN_GONE_AFTER_S, (True, True, True)),
    ],
)
def test_states_by_the_condition_of_the_machine(
    member: Member | None, state_age_s: float, expected: tuple[bool, bool, bool]
) -> None:
    conditions = {**all_live(3), "s0": StoreCondition(member, state_age_s)}
    assert state_flags(states_of(conditions)) == expected


def test_a_store_with_few_replicas_counts_as_the_replacement_of_one_that_is_down() -> None:
    conditions = with_store(with_store(all_live(3), dead_store(0)), store(3))
    states = states_of(conditions)
    assert states.underloaded == {"s3/d"}
    assert state_flags(states) == (True, True, False)


def test_a_replica_is_replaceable_once_it_is_gone_has_left_or_is_retiring() -> None:
    assert not states_of(all_live(3)).is_replaceable(REPLICA)
    assert states_of(all_live(3), retiring=("s0",)).is_replaceable(REPLICA)
    assert not states_of(with_store(all_live(3), dead_store(0))).is_replaceable(REPLICA)
    assert states_of(with_store(all_live(3), dead_store(0), GONE_AFTER_S)).is_replaceable(REPLICA)
    assert states_of(with_store(all_live(3), leaving_store())).is_replaceable(REPLICA)


def test_a_live_replica_is_stable_after_a_while() -> None:
    assert not states_of(with_store(all_live(3), store(0), STABLE_AFTER_S - 0.1)).is_stable(REPLICA)
    assert states_of(with_store(all_live(3), store(0), STABLE_AFTER_S)).is_stable(REPLICA)
    assert not states_of(with_store(all_live(3), dead_store(0), STABLE_AFTER_S)).is_stable(REPLICA)
