"""Detection of pauses of this process.  No I/O, no clock.

A process that was frozen, or got no processor time, resumes with the state it had before: leases, worker
lists, answers that lie unread.  None of it may be used before it has been confirmed again.  A user of such
state calls `tick` with the monotonic clock, regularly and before each use; whichever call comes first after
a pause detects it.

Compare Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency" (1989): a lease is safe only as long as its owner knows how much time has passed.
"""

from __future__ import annotations

import math


class PauseDetector:
    """Detects a pause as two ticks that are further apart than a threshold."""

    def __init__(self, threshold_s: float) -> None:
        self.pause_count = 0
        self._threshold_s = threshold_s
        self._last_tick: float | None = None
        self._last_pause_end = -math.inf

    def tick(self, now: float) -> float:
        """Record that the process runs; return the length in seconds of the pause that has just ended.

        The length is 0 where there was no pause.
        """
        last, self._last_tick = self._last_tick, now
        if last is None or now - last <= self._threshold_s:
            return 0.0
        self._last_pause_end = now
        self.pause_count += 1
        return now - last

    def paused_since(self, moment: float) -> bool:
        """Return whether a pause was detected at or after that moment."""
        return self._last_pause_end >= moment
