"""Every step of the planner keeps the invariants of a placement, for any sequence of events."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.initial_placement import plan_initial_placement
from hollowusher.coordination.placement.store_retirement import can_retire
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.placement import PartitionPlacement
from tests.support.placement import LONG_S, Conditions, plan, reports_of_all_learners, store

events = st.lists(
    st.tuples(st.integers(0, 4), st.sampled_from(["die", "return", "lose", "retire"]), st.booleans()),
    max_size=25,
)


@settings(max_examples=120, deadline=None)
@given(events)
def test_invariants_over_any_sequence_of_events(event_sequence: list[tuple[int, str, bool]]) -> None:
    """Check the changes of epochs and replicas at each step.

    An epoch grows exactly when the primary or the replicas change or a learner is removed.  Only a learner of
    the previous placement replaces a replica, and never while more than f of the new replicas are down.
    """
    tolerance = 1
    members = {f"s{number}": store(number) for number in range(5)}
    changed_at = dict.fromkeys(members, -LONG_S)
    retiring: set[str] = set()
    placement = plan_initial_placement(list(members.values()), tolerance)
    now = 0.0
    for number, event, reports in event_sequence:
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
            changed_at[name] = now
        conditions = {
            name: StoreCondition(member, now - changed_at[name]) for name, member in members.items()
        }
        ready = reports_of_all_learners(placement) if reports else set()
        planned = plan(placement, conditions, tolerance, retiring, ready, allow_moves=True)
        if planned is not None:
            for old, new in zip(placement.partitions, planned.partitions, strict=True):
                check_step(old, new, conditions, tolerance)
            placement = planned


def check_step(
    old: PartitionPlacement, new: PartitionPlacement, conditions: Conditions, tolerance: int
) -> None:
    same = (old.primary, old.primary_incarnation, sorted(old.replicas)) == (
        new.primary,
        new.primary_incarnation,
        sorted(new.replicas),
    )
    removed_learners = set(old.learners) - set(new.learners)
    assert new.epoch == old.epoch if same and not removed_learners else new.epoch > old.epoch
    assert new.primary in new.replicas
    assert len(set(new.replicas)) == len(new.replicas) == 3
    assert not set(new.learners) & set(new.replicas)
    added, removed = set(new.replicas) - set(old.replicas), set(old.replicas) - set(new.replicas)
    assert added <= set(old.learners)
    assert len(added) == len(removed) <= 1
    if added:
        missing = [
            replica
            for replica in new.replicas
            if not conditions[store_name(replica)].is_alive
            or conditions[store_name(replica)].store_id != replica
        ]
        assert len(missing) <= tolerance
    if new.primary != old.primary or new.primary_incarnation != old.primary_incarnation:
        condition = conditions[store_name(new.primary)]
        assert condition.is_alive
        assert condition.store_id == new.primary
        assert condition.member is not None
        assert condition.member.incarnation == new.primary_incarnation
