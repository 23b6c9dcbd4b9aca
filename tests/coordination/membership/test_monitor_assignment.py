"""Incremental updates and a computation from scratch assign the same monitors on every process."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.coordination.membership.failure_detector import FailureDetector
from hollowusher.coordination.membership.monitor_assignment import MONITOR_COUNT, choose_monitors
from hollowusher.protocol.membership import Member
from tests.support.members import edge_member, store_member


def test_monitors_are_at_most_three_live_edge_processes_and_never_the_member_itself() -> None:
    names = [f"e{number}" for number in range(6)]
    for name in names:
        monitors = choose_monitors(name, names)
        assert len(set(monitors)) == MONITOR_COUNT
        assert name not in monitors
    assert MONITOR_COUNT == 3
    assert choose_monitors("e0", ["e0", "e1"]) == ["e1"]
    assert choose_monitors("e0", ["e0"]) == []


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.booleans(), st.booleans()), max_size=40))
def test_incremental_assignment_equals_a_computation_from_scratch(
    changes: list[tuple[int, bool, bool]],
) -> None:
    detector = FailureDetector("n0")
    present: dict[str, Member] = {"n0": edge_member("n0")}
    for number, is_present, is_edge in changes:
        name = f"n{number}"
        if name == "n0":
            continue
        if is_present:
            present[name] = edge_member(name) if is_edge else store_member(name)
        else:
            present.pop(name, None)
        detector.update_members(present.values(), 0.0)
        edges = [member.name for member in present.values() if member.role == "edge"]
        assert [member.name for member in detector.own_monitors] == choose_monitors("n0", edges)
        assert detector.monitored == sorted(
            member for member in present if "n0" in choose_monitors(member, edges)
        )
