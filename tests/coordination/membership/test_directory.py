"""Members: incarnations, deaths by the monitors' agreement, and who monitors whom."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.coordination.controller_selector import (
    FAILURE_BACKOFF_S,
    MAX_FAILURE_BACKOFF_S,
    ControllerSelector,
)
from hollowusher.coordination.membership.failure_detector import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    SUSPICION_REPEAT_S,
    FailureDetector,
    choose_monitors,
)
from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Heartbeat, Leaving, Member, Suspicion
from hollowusher.protocol.view import Voter


def edge(name: str, incarnation: int = 1, status: int = 0) -> Member:
    return Member(name, "edge", f"{name}:1", "z", "r", incarnation, status=status)


def store(name: str, incarnation: int = 1, status: int = 0, disk_id: str = "d") -> Member:
    return Member(name, "store", f"{name}:1", "z", "r", incarnation, disk_id, status=status)


def directory_of(*members: Member, now: float = 0.0) -> MemberDirectory:
    directory = MemberDirectory(now)
    for member in members:
        assert directory.update(member, now)
    return directory


EDGES = [edge(f"e{number}") for number in range(6)]


# ---- members


def test_a_new_incarnation_replaces_the_old_life_at_once() -> None:
    directory = directory_of(store("s", 1))
    assert directory.update(store("s", 2), 5.0)
    assert directory.members["s"].incarnation == 2
    assert directory.state_since("s") == 5.0
    assert not directory.update(store("s", 1, 1), 6.0)
    assert directory.members["s"].alive


def test_leaving_gives_an_odd_status_once_and_only_to_that_life() -> None:
    directory = directory_of(store("s", 2))
    assert directory.leaving_state(Leaving("s", 1)) is None
    dead = directory.leaving_state(Leaving("s", 2))
    assert dead is not None and dead.status == 1 and not dead.alive
    directory.update(dead, 1.0)
    assert directory.leaving_state(Leaving("s", 2)) is None
    assert directory.leaving_state(Leaving("unknown", 1)) is None


def test_a_living_process_refutes_its_death_with_the_next_even_status() -> None:
    directory = directory_of(store("s", 1))
    directory.update(store("s", 1, 1), 1.0)
    assert not directory.update(store("s", 1, 0), 2.0)
    assert directory.update(store("s", 1, 2), 2.0)
    assert directory.members["s"].alive


def test_conditions_of_stores_known_and_only_named() -> None:
    directory = directory_of(store("s1"), edge("e"), now=10.0)
    conditions = directory.store_conditions(["s1", "s2"], 13.0)
    assert sorted(conditions) == ["s1", "s2"]
    assert conditions["s1"].is_alive and conditions["s1"].state_age_s == 3.0
    assert conditions["s2"].member is None and conditions["s2"].state_age_s == 3.0
    assert conditions["s2"].store_id == ""


# ---- judgement


def suspected_by(directory: MemberDirectory, name: str, reporters: list[str], now: float) -> list[str]:
    for reporter in reporters:
        directory.record_suspicion(Suspicion(name, directory.members[name].incarnation, reporter), now)
    return [member.name for member in directory.confirmed_dead(now)]


def test_most_of_the_monitors_have_to_agree() -> None:
    directory = directory_of(*EDGES, store("s"))
    monitors = choose_monitors("s", [member.name for member in EDGES])
    others = [member.name for member in EDGES if member.name not in monitors]
    assert suspected_by(directory, "s", [monitors[0], *others], 1.0) == []
    assert suspected_by(directory, "s", [monitors[2]], 1.2) == ["s"]
    [dead] = directory.confirmed_dead(1.2)
    assert dead.status == 1
    directory.update(dead, 1.2)
    assert directory.confirmed_dead(1.3) == []


def test_suspicions_do_not_add_up_over_long_times_or_lives() -> None:
    directory = directory_of(*EDGES, store("s"))
    monitors = choose_monitors("s", [member.name for member in EDGES])
    assert suspected_by(directory, "s", monitors[:1], 1.0) == []
    assert suspected_by(directory, "s", monitors[1:2], 3.0) == []
    directory.update(store("s", 2), 3.1)
    directory.record_suspicion(Suspicion("s", 1, monitors[2]), 3.2)
    assert directory.confirmed_dead(3.2) == []
    assert suspected_by(directory, "s", monitors[:1], 3.2) == []


def test_dead_monitors_have_no_vote() -> None:
    """With two monitors dead, three others are the monitors, and two of them decide."""
    directory = directory_of(*EDGES, store("s"))
    first = choose_monitors("s", [member.name for member in EDGES])
    for name in first[:2]:
        directory.update(edge(name, 1, 1), 0.5)
    remaining = [member.name for member in EDGES if member.name not in first[:2]]
    second = choose_monitors("s", remaining)
    assert second[0] == first[2] and not set(second) & set(first[:2])
    assert suspected_by(directory, "s", second[:2], 1.0) == ["s"]


def test_a_lone_monitor_decides_alone_and_nobody_judges_the_last_edge_process() -> None:
    directory = directory_of(edge("e0"), store("s"))
    assert suspected_by(directory, "s", ["e0"], 1.0) == ["s"]
    assert "e0" not in suspected_by(directory, "e0", ["e0"], 1.0)


def test_where_monitors_disagree_the_head_tries_the_member_itself() -> None:
    directory = directory_of(*EDGES, store("s"))
    monitors = choose_monitors("s", [member.name for member in EDGES])
    suspicion = Suspicion("s", 1, monitors[0])
    for now in (1.0, 1.5, 2.0):
        directory.record_suspicion(suspicion, now)
    assert directory.unconfirmed_suspects(1.9) == []
    [doubtful] = directory.unconfirmed_suspects(2.1)
    dead = directory.unreachable_state(doubtful, 2.1)
    assert dead is not None and dead.status == 1
    directory.clear_suspicion(doubtful)
    assert directory.unconfirmed_suspects(2.1) == [] and directory.unreachable_state(doubtful, 2.1) is None


def test_a_verdict_on_an_earlier_life_does_not_hit_the_next() -> None:
    directory = directory_of(*EDGES, store("s"))
    for now in (1.0, 1.5, 2.0):
        directory.record_suspicion(
            Suspicion("s", 1, choose_monitors("s", [member.name for member in EDGES])[0]), now
        )
    [doubtful] = directory.unconfirmed_suspects(2.1)
    directory.update(store("s", 2), 2.2)
    assert directory.unreachable_state(doubtful, 2.3) is None


# ---- monitors


def test_monitors_are_at_most_three_living_edge_processes_and_never_oneself() -> None:
    names = [member.name for member in EDGES]
    for name in names:
        monitors = choose_monitors(name, names)
        assert len(set(monitors)) == 3 and name not in monitors
    assert choose_monitors("e0", ["e0", "e1"]) == ["e1"]
    assert choose_monitors("e0", ["e0"]) == []


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.booleans(), st.booleans()), max_size=40))
def test_incremental_assignment_equals_the_plain_one(changes: list[tuple[int, bool, bool]]) -> None:
    monitor = FailureDetector("n0")
    present: dict[str, Member] = {"n0": edge("n0")}
    for number, there, is_edge in changes:
        name = f"n{number}"
        if name == "n0":
            continue
        if there:
            present[name] = edge(name) if is_edge else store(name)
        else:
            present.pop(name, None)
        monitor.update_members(present.values(), 0.0)
        edges = [member.name for member in present.values() if member.role == "edge"]
        assert [member.name for member in monitor.own_monitors] == choose_monitors("n0", edges)
        assert monitor.monitored == sorted(
            member for member in present if "n0" in choose_monitors(member, edges)
        )


def watching(now: float = 0.0) -> FailureDetector:
    """A monitor of one store, just assigned."""
    monitor = FailureDetector("e0")
    monitor.update_members([edge("e0"), store("s")], now)
    assert monitor.monitored == ["s"]
    return monitor


def ticks(
    monitor: FailureDetector, start: float, end: float, step: float = 0.1
) -> list[tuple[float, Suspicion]]:
    found = []
    now = start
    while now <= end:
        found += [(now, suspicion) for suspicion in monitor.tick(now)]
        now = round(now + step, 6)
    return found


def test_silence_is_suspected_after_its_time_and_repeated() -> None:
    found = ticks(watching(), 0.0, 2.4, 0.15)
    times = [now for now, _ in found]
    assert HEARTBEAT_TIMEOUT_S <= times[0] <= HEARTBEAT_TIMEOUT_S + 0.15
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert len(gaps) >= 2 and all(SUSPICION_REPEAT_S <= gap < SUSPICION_REPEAT_S + 0.15 for gap in gaps)
    assert all(suspicion == Suspicion("s", 1, "e0") for _, suspicion in found)


def test_heartbeats_end_suspicion() -> None:
    monitor = watching()
    assert ticks(monitor, 0.0, 1.2)
    monitor.record_heartbeat(Heartbeat("s", 1), 1.2)
    assert ticks(monitor, 1.3, 1.2 + HEARTBEAT_TIMEOUT_S - 0.01) == []
    assert ticks(monitor, 1.2 + HEARTBEAT_TIMEOUT_S, 1.2 + HEARTBEAT_TIMEOUT_S + 0.1)


def test_heartbeats_of_an_earlier_life_do_not_count() -> None:
    monitor = watching()
    monitor.update_members([edge("e0"), store("s", 2)], 0.5)
    monitor.record_heartbeat(Heartbeat("s", 1), 1.1)
    found = ticks(monitor, 0.5 + HEARTBEAT_TIMEOUT_S, 1.4)
    assert found and found[0][1].incarnation == 2


def test_a_monitor_that_was_paused_judges_nobody_by_what_it_missed() -> None:
    monitor = watching()
    assert ticks(monitor, 0.0, HEARTBEAT_TIMEOUT_S - 0.1) == []
    assert monitor.tick(5.0) == []  # after a freeze
    assert ticks(monitor, 5.1, 5.0 + HEARTBEAT_TIMEOUT_S - 0.01) == []
    assert ticks(monitor, 5.0 + HEARTBEAT_TIMEOUT_S, 6.5)


def test_suspicion_ends_with_death_or_another_monitor() -> None:
    monitor = watching()
    assert ticks(monitor, 0.0, 1.2)
    monitor.update_members([edge("e0"), evolve(store("s"), status=1)], 1.3)
    assert monitor.monitored == [] and ticks(monitor, 1.35, 3.0) == []


def test_a_newly_watched_member_has_its_full_time() -> None:
    monitor = watching()
    ticks(monitor, 0.0, 0.9)
    monitor.update_members([edge("e0"), store("s"), store("late")], 0.9)
    found = ticks(monitor, 1.0, 0.9 + HEARTBEAT_TIMEOUT_S + 0.1)
    assert {suspicion.name for now, suspicion in found if now < 0.9 + HEARTBEAT_TIMEOUT_S} == {"s"}
    assert {suspicion.name for now, suspicion in found} == {"s", "late"}


def test_heartbeats_are_due_at_their_interval() -> None:
    monitor = watching()
    sent = [now / 100 for now in range(0, 110, 10) if monitor.start_due_heartbeat(now / 100)]
    assert sent == [0.0, 0.2, 0.4, 0.6, 0.8, 1.0]
    assert HEARTBEAT_INTERVAL_S == 0.2


# ---- choosing a controller

VOTERS = [Voter(f"c{number}", "d", f"c{number}:1") for number in range(3)]
MEMBERS = {
    voter.name: Member(voter.name, "edge", voter.address, f"z{number}", "r", 1)
    for number, voter in enumerate(VOTERS)
}


def first(choice: ControllerSelector, now: float = 0.0, members: dict[str, Member] = MEMBERS) -> str:
    return choice.rank_controllers(VOTERS, members, now)[0].name


def test_the_own_zone_goes_first_among_controllers_without_trouble() -> None:
    assert [first(ControllerSelector("x", f"z{number}")) for number in range(3)] == ["c0", "c1", "c2"]
    spread = {first(ControllerSelector(f"x{number}", "far")) for number in range(30)}
    assert spread == {"c0", "c1", "c2"}
    assert first(ControllerSelector("x", "z1"), members={}) == first(ControllerSelector("x", "far"))


def test_a_dead_controller_goes_last_and_one_that_lags_after_those_that_do_not() -> None:
    dead = {**MEMBERS, "c0": evolve(MEMBERS["c0"], status=1)}
    assert first(ControllerSelector("x", "z0"), members=dead) != "c0"
    choice = ControllerSelector("x", "z0")
    choice.health("c0:1").record_pull(1.0, connected=False)
    assert first(choice, 1.0) != "c0" and first(choice, 1.0 + FAILURE_BACKOFF_S) == "c0"


def test_a_failed_controller_is_avoided_for_growing_times_until_it_answers() -> None:
    choice, now, times = ControllerSelector("x", "z0"), 0.0, []
    health = choice.health("c0:1")
    for _ in range(5):
        health.record_failure(now)
        assert first(choice, now) != "c0"
        times.append(health.avoid_until - now)
        now = health.avoid_until
        assert first(choice, now) == "c0"
    assert times == [
        FAILURE_BACKOFF_S,
        2 * FAILURE_BACKOFF_S,
        4 * FAILURE_BACKOFF_S,
        MAX_FAILURE_BACKOFF_S,
        MAX_FAILURE_BACKOFF_S,
    ]
    health.record_failure(now)
    health.record_answer()
    assert first(choice, now) == "c0"


def test_where_all_have_failed_each_gets_its_turn() -> None:
    choice, tried = ControllerSelector("x", "z0"), []
    for step in range(6):
        name = first(choice, step * 0.5)
        choice.health(f"{name}:1").record_failure(step * 0.5)
        tried.append(name)
    assert sorted(tried[:3]) == sorted(tried[3:]) == ["c0", "c1", "c2"]


def test_who_leaves_is_told_from_who_was_judged_dead() -> None:
    directory = MemberDirectory(0.0)
    directory.update(edge("a"), 0.0)
    leaving = directory.leaving_state(Leaving("a", 1))
    assert leaving is not None and not leaving.alive and leaving.leaving
    directory.update(edge("b"), 0.0)
    directory.update(edge("c"), 0.0)
    directory.update(edge("d"), 0.0)
    dead = suspected_by(directory, "b", ["c", "d"], 1.0)
    assert dead == ["b"] and not directory.confirmed_dead(1.0)[0].leaving
