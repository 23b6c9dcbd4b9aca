"""Detection of pauses of the calling process.  The module performs no I/O and reads no clock.

A process that was suspended, or was not scheduled on a CPU, resumes with stale state: leases, worker lists
and responses that it received but has not read.  The process must revalidate this state before it uses it.
Code that depends on such state calls `tick` with the monotonic time, both periodically and before each use of
the state.  The first call after a pause detects the pause.

Compare Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency" (1989): a lease is safe only as long as its owner can measure how much time has passed.
"""

from __future__ import annotations

import math


class PauseDetector:
    """Detects a pause when two consecutive ticks are more than `threshold_s` seconds apart."""

    def __init__(self, threshold_s: float) -> None:
        self.pause_count = 0
        self._threshold_s = threshold_s
        self._last_tick: float | None = None
        self._last_pause_end = -math.inf

    def tick(self, now: float) -> float:
        """Record that the process is running at `now`, in seconds of the monotonic clock.

        Return the length in seconds of the pause that this call detects, or 0 if there was none.
        """
        last, self._last_tick = self._last_tick, now
        if last is None or now - last <= self._threshold_s:
            return 0.0
        self._last_pause_end = now
        self.pause_count += 1
        return now - last

    def paused_since(self, moment: float) -> bool:
        """Return whether a pause was detected at or after `moment`, in seconds of the monotonic clock."""
        return self._last_pause_end >= moment
