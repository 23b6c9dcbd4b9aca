"""`ControllerSelector` ranks controllers by health, membership and zone."""

from __future__ import annotations

from hollowusher.coordination.controller_selector import (
    FAILURE_BACKOFF_S,
    MAX_FAILURE_BACKOFF_S,
    ControllerSelector,
)
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import Voter

VOTERS = [Voter(f"c{number}", "d", f"c{number}:1") for number in range(3)]
MEMBERS = {
    voter.name: Member(voter.name, "edge", voter.address, f"z{number}", "r", 1)
    for number, voter in enumerate(VOTERS)
}


def first(selector: ControllerSelector, now: float = 0.0, members: dict[str, Member] = MEMBERS) -> str:
    return selector.rank_controllers(VOTERS, members, now)[0].name


def test_healthy_controllers_of_the_own_zone_rank_first() -> None:
    assert [first(ControllerSelector("x", f"z{number}")) for number in range(3)] == ["c0", "c1", "c2"]
    spread = {first(ControllerSelector(f"x{number}", "far")) for number in range(30)}
    assert spread == {"c0", "c1", "c2"}
    assert first(ControllerSelector("x", "z1"), members={}) == first(ControllerSelector("x", "far"))


def test_dead_controllers_and_those_without_a_majority_rank_last() -> None:
    dead = {**MEMBERS, "c0": evolve(MEMBERS["c0"], status=1)}
    assert first(ControllerSelector("x", "z0"), members=dead) != "c0"
    selector = ControllerSelector("x", "z0")
    selector.health("c0:1").record_pull(1.0, connected=False)
    assert first(selector, 1.0) != "c0"
    assert first(selector, 1.0 + FAILURE_BACKOFF_S) == "c0"


def test_the_backoff_of_a_failed_controller_grows_until_it_responds() -> None:
    selector, now, times = ControllerSelector("x", "z0"), 0.0, []
    health = selector.health("c0:1")
    for _ in range(5):
        health.record_failure(now)
        assert first(selector, now) != "c0"
        times.append(health.avoid_until - now)
        now = health.avoid_until
        assert first(selector, now) == "c0"
    assert times == [
        FAILURE_BACKOFF_S,
        2 * FAILURE_BACKOFF_S,
        4 * FAILURE_BACKOFF_S,
        MAX_FAILURE_BACKOFF_S,
        MAX_FAILURE_BACKOFF_S,
    ]
    health.record_failure(now)
    health.record_answer()
    assert first(selector, now) == "c0"


def test_after_failures_of_all_controllers_each_is_tried_in_turn() -> None:
    selector, tried = ControllerSelector("x", "z0"), []
    for step in range(6):
        name = first(selector, step * 0.5)
        selector.health(f"{name}:1").record_failure(step * 0.5)
        tried.append(name)
    assert sorted(tried[:3]) == sorted(tried[3:]) == ["c0", "c1", "c2"]
