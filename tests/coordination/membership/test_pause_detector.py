"""A pause is noticed by the first call after it, and only by that one."""

from __future__ import annotations

from hollowusher.coordination.membership.pause_detector import PauseDetector


def test_ticks_close_together_are_no_pause() -> None:
    pauses = PauseDetector(0.5)
    assert [pauses.tick(now) for now in (1.0, 1.5, 1.9)] == [0.0, 0.0, 0.0]
    assert not pauses.paused_since(0.0)


def test_the_first_tick_after_a_pause_notices_it_once() -> None:
    pauses = PauseDetector(0.5)
    pauses.tick(1.0)
    assert pauses.tick(4.0) == 3.0
    assert pauses.tick(4.0) == 0.0
    assert pauses.paused_since(2.0)
    assert pauses.paused_since(4.0)
    assert not pauses.paused_since(4.1)
