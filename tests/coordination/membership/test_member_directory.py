"""The member directory orders incarnations and confirms deaths that a majority of the monitors reports."""

from __future__ import annotations

from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.coordination.membership.monitor_assignment import choose_monitors
from hollowusher.protocol.membership import Member, MemberDeparting, MemberSuspected
from tests.support.members import edge_member, store_member

EDGES = [edge_member(f"e{number}") for number in range(6)]
EDGE_NAMES = [member.name for member in EDGES]


def directory_of(*members: Member, now: float = 0.0) -> MemberDirectory:
    """Return a directory that received the given members at `now`."""
    directory = MemberDirectory(now)
    for member in members:
        assert directory.update(member, now)
    return directory


def test_a_new_incarnation_replaces_the_former_one_at_once() -> None:
    directory = directory_of(store_member("s", 1))
    assert directory.update(store_member("s", 2), 5.0)
    assert directory.members["s"].incarnation == 2
    assert directory.state_since("s") == 5.0
    assert not directory.update(store_member("s", 1, 1), 6.0)
    assert directory.members["s"].alive


def test_departure_sets_an_odd_status_once_and_only_for_the_current_incarnation() -> None:
    directory = directory_of(store_member("s", 2))
    assert directory.leaving_state(MemberDeparting("s", 1)) is None
    dead = directory.leaving_state(MemberDeparting("s", 2))
    assert dead is not None
    assert dead.status == 1
    assert not dead.alive
    directory.update(dead, 1.0)
    assert directory.leaving_state(MemberDeparting("s", 2)) is None
    assert directory.leaving_state(MemberDeparting("unknown", 1)) is None


def test_a_live_process_refutes_its_death_with_the_next_even_status() -> None:
    directory = directory_of(store_member("s", 1))
    directory.update(store_member("s", 1, 1), 1.0)
    assert not directory.update(store_member("s", 1, 0), 2.0)
    assert directory.update(store_member("s", 1, 2), 2.0)
    assert directory.members["s"].alive


def test_conditions_of_stores_that_are_known_or_only_placed() -> None:
    directory = directory_of(store_member("s1"), edge_member("e"), now=10.0)
    conditions = directory.store_conditions(["s1", "s2"], 13.0)
    assert sorted(conditions) == ["s1", "s2"]
    assert conditions["s1"].is_alive
    assert conditions["s1"].state_age_s == 3.0
    assert conditions["s2"].member is None
    assert conditions["s2"].state_age_s == 3.0
    assert conditions["s2"].store_id == ""


# ---- suspicions and confirmed deaths


def suspected_by(directory: MemberDirectory, name: str, reporters: list[str], now: float) -> list[str]:
    """Record a suspicion from each reporter; return the names of all members then confirmed dead."""
    for reporter in reporters:
        directory.record_suspicion(MemberSuspected(name, directory.members[name].incarnation, reporter), now)
    return [member.name for member in directory.confirmed_dead(now)]


def test_a_majority_of_the_monitors_confirms_a_death() -> None:
    directory = directory_of(*EDGES, store_member("s"))
    monitors = choose_monitors("s", EDGE_NAMES)
    others = [member.name for member in EDGES if member.name not in monitors]
    assert suspected_by(directory, "s", [monitors[0], *others], 1.0) == []
    assert suspected_by(directory, "s", [monitors[2]], 1.2) == ["s"]
    [dead] = directory.confirmed_dead(1.2)
    assert dead.status == 1
    directory.update(dead, 1.2)
    assert directory.confirmed_dead(1.3) == []


def test_expired_suspicions_and_those_of_earlier_incarnations_do_not_count() -> None:
    directory = directory_of(*EDGES, store_member("s"))
    monitors = choose_monitors("s", EDGE_NAMES)
    assert suspected_by(directory, "s", monitors[:1], 1.0) == []
    assert suspected_by(directory, "s", monitors[1:2], 3.0) == []
    directory.update(store_member("s", 2), 3.1)
    directory.record_suspicion(MemberSuspected("s", 1, monitors[2]), 3.2)
    assert directory.confirmed_dead(3.2) == []
    assert suspected_by(directory, "s", monitors[:1], 3.2) == []


def test_dead_monitors_are_replaced_and_do_not_count_for_the_majority() -> None:
    """When two monitors are dead, three live ones are assigned, and two of these form a majority."""
    directory = directory_of(*EDGES, store_member("s"))
    first = choose_monitors("s", EDGE_NAMES)
    for name in first[:2]:
        directory.update(edge_member(name, 1, 1), 0.5)
    remaining = [member.name for member in EDGES if member.name not in first[:2]]
    second = choose_monitors("s", remaining)
    assert second[0] == first[2]
    assert not set(second) & set(first[:2])
    assert suspected_by(directory, "s", second[:2], 1.0) == ["s"]


def test_a_single_monitor_is_a_majority_and_the_last_edge_process_has_no_monitor() -> None:
    directory = directory_of(edge_member("e0"), store_member("s"))
    assert suspected_by(directory, "s", ["e0"], 1.0) == ["s"]
    assert "e0" not in suspected_by(directory, "e0", ["e0"], 1.0)


def test_the_head_checks_a_suspect_without_a_majority_against_it() -> None:
    directory = directory_of(*EDGES, store_member("s"))
    monitors = choose_monitors("s", EDGE_NAMES)
    suspicion = MemberSuspected("s", 1, monitors[0])
    for now in (1.0, 1.5, 2.0):
        directory.record_suspicion(suspicion, now)
    assert directory.unconfirmed_suspects(1.9) == []
    [suspect] = directory.unconfirmed_suspects(2.1)
    dead = directory.unreachable_state(suspect, 2.1)
    assert dead is not None
    assert dead.status == 1
    directory.clear_suspicion(suspect)
    assert directory.unconfirmed_suspects(2.1) == []
    assert directory.unreachable_state(suspect, 2.1) is None


def test_a_failed_health_check_does_not_apply_to_a_later_incarnation() -> None:
    directory = directory_of(*EDGES, store_member("s"))
    for now in (1.0, 1.5, 2.0):
        directory.record_suspicion(MemberSuspected("s", 1, choose_monitors("s", EDGE_NAMES)[0]), now)
    [suspect] = directory.unconfirmed_suspects(2.1)
    directory.update(store_member("s", 2), 2.2)
    assert directory.unreachable_state(suspect, 2.3) is None


def test_a_leaving_member_is_distinguished_from_a_dead_one() -> None:
    directory = MemberDirectory(0.0)
    directory.update(edge_member("a"), 0.0)
    leaving = directory.leaving_state(MemberDeparting("a", 1))
    assert leaving is not None
    assert not leaving.alive
    assert leaving.leaving
    directory.update(edge_member("b"), 0.0)
    directory.update(edge_member("c"), 0.0)
    directory.update(edge_member("d"), 0.0)
    dead = suspected_by(directory, "b", ["c", "d"], 1.0)
    assert dead == ["b"]
    assert not directory.confirmed_dead(1.0)[0].leaving
