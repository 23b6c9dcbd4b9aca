"""Noticing that this process did not run for a while.  No I/O, no clock.

A process that was frozen, or starved of the processor, goes on with what it had before: leases, lists,
answers that lay unread.  Nothing of that may be used before it has been asked about again.  Whoever acts on
such things calls `tick` with the steady clock, regularly and before each act; whichever comes first after
a pause notices it.
"""

from __future__ import annotations

import math


class PauseDetector:
    """Steps further apart than `threshold_s` are a pause."""

    def __init__(self, threshold_s: float) -> None:
        self.pause_count = 0  # pauses noticed so far
        self._threshold_s = threshold_s
        self._last_tick: float | None = None
        self._last_pause_end = -math.inf

    def tick(self, now: float) -> float:
        """Note that the process runs; the length of the pause that has just ended, 0 where there was none."""
        last, self._last_tick = self._last_tick, now
        if last is None or now - last <= self._threshold_s:
            return 0.0
        self._last_pause_end = now
        self.pause_count += 1
        return now - last

    def paused_since(self, moment: float) -> bool:
        """Whether a pause has been noticed at or after that moment."""
        return self._last_pause_end >= moment
