"""A monitor suspects a member after the heartbeat timeout and repeats its report until the suspicion ends."""

from __future__ import annotations

from itertools import pairwise

from hollowusher.coordination.membership.failure_detector import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    SUSPICION_REPEAT_S,
    FailureDetector,
)
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Heartbeat, MemberSuspected
from tests.support.members import edge_member, store_member


def detector_of_one_store(now: float = 0.0) -> FailureDetector:
    """Return the failure detector of a monitor that starts to monitor one store at `now`."""
    detector = FailureDetector("e0")
    detector.update_members([edge_member("e0"), store_member("s")], now)
    assert detector.monitored == ["s"]
    return detector


def ticks(
    detector: FailureDetector, start: float, end: float, step: float = 0.1
) -> list[tuple[float, MemberSuspected]]:
    """Tick the detector every `step` seconds; return the reported suspicions with their times."""
    reported = []
    now = start
    while now <= end:
        reported += [(now, suspicion) for suspicion in detector.tick(now)]
        now = round(now + step, 6)
    return reported


def test_a_member_without_heartbeats_is_suspected_after_the_timeout_and_again() -> None:
    reported = ticks(detector_of_one_store(), 0.0, 2.4, 0.15)
    times = [now for now, _ in reported]
    assert HEARTBEAT_TIMEOUT_S <= times[0] <= HEARTBEAT_TIMEOUT_S + 0.15
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert len(gaps) >= 2
    assert all(SUSPICION_REPEAT_S <= gap < SUSPICION_REPEAT_S + 0.15 for gap in gaps)
    assert all(suspicion == MemberSuspected("s", 1, "e0") for _, suspicion in reported)


def test_a_heartbeat_ends_the_suspicion() -> None:
    detector = detector_of_one_store()
    assert ticks(detector, 0.0, 1.2)
    detector.record_heartbeat(Heartbeat("s", 1), 1.2)
    assert ticks(detector, 1.3, 1.2 + HEARTBEAT_TIMEOUT_S - 0.01) == []
    assert ticks(detector, 1.2 + HEARTBEAT_TIMEOUT_S, 1.2 + HEARTBEAT_TIMEOUT_S + 0.1)


def test_heartbeats_of_a_former_incarnation_do_not_count() -> None:
    detector = detector_of_one_store()
    detector.update_members([edge_member("e0"), store_member("s", 2)], 0.5)
    detector.record_heartbeat(Heartbeat("s", 1), 1.1)
    reported = ticks(detector, 0.5 + HEARTBEAT_TIMEOUT_S, 1.4)
    assert reported
    assert reported[0][1].incarnation == 2


def test_a_monitor_does_not_suspect_members_for_heartbeats_missed_in_a_pause() -> None:
    detector = detector_of_one_store()
    assert ticks(detector, 0.0, HEARTBEAT_TIMEOUT_S - 0.1) == []
    assert detector.tick(5.0) == []  # the first tick after a pause
    assert ticks(detector, 5.1, 5.0 + HEARTBEAT_TIMEOUT_S - 0.01) == []
    assert ticks(detector, 5.0 + HEARTBEAT_TIMEOUT_S, 6.5)


def test_suspicion_ends_with_the_death_of_the_member() -> None:
    detector = detector_of_one_store()
    assert ticks(detector, 0.0, 1.2)
    detector.update_members([edge_member("e0"), evolve(store_member("s"), status=1)], 1.3)
    assert detector.monitored == []
    assert ticks(detector, 1.35, 3.0) == []


def test_a_newly_monitored_member_has_the_full_timeout() -> None:
    detector = detector_of_one_store()
    ticks(detector, 0.0, 0.9)
    detector.update_members([edge_member("e0"), store_member("s"), store_member("late")], 0.9)
    reported = ticks(detector, 1.0, 0.9 + HEARTBEAT_TIMEOUT_S + 0.1)
    assert {suspicion.name for now, suspicion in reported if now < 0.9 + HEARTBEAT_TIMEOUT_S} == {"s"}
    assert {suspicion.name for now, suspicion in reported} == {"s", "late"}


def test_heartbeats_are_due_at_their_interval() -> None:
    detector = detector_of_one_store()
    sent = [now / 100 for now in range(0, 110, 10) if detector.start_due_heartbeat(now / 100)]
    assert sent == [0.0, 0.2, 0.4, 0.6, 0.8, 1.0]
    assert HEARTBEAT_INTERVAL_S == 0.2
