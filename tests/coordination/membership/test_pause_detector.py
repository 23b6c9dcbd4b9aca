"""The first tick after a pause reports the pause, and later ticks do not report it again."""

from __future__ import annotations

from hollowusher.coordination.membership.pause_detector import PauseDetector


def test_ticks_within_the_threshold_are_not_a_pause() -> None:
    pauses = PauseDetector(0.5)
    assert [pauses.tick(now) for now in (1.0, 1.5, 1.9)] == [0.0, 0.0, 0.0]
    assert not pauses.paused_since(0.0)


def test_only_the_first_tick_after_a_pause_reports_it() -> None:
    pauses = PauseDetector(0.5)
    pauses.tick(1.0)
    assert pauses.tick(4.0) == 3.0
    assert pauses.tick(4.0) == 0.0
    assert pauses.paused_since(2.0)
    assert pauses.paused_since(4.0)
    assert not pauses.paused_since(4.1)
