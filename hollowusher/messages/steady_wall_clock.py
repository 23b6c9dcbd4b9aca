"""A wall clock that is read once per process and then advanced by the monotonic clock.

Records contain end times, retentions and delays in wall time, because other machines take over the messages.
A step of the machine's clock must not end or drop messages, so it affects only processes that start later.
"""

from __future__ import annotations

from collections.abc import Callable


class SteadyWallClock:
    """Wall clock whose value is the wall time at the first call plus the monotonic time since that call."""

    def __init__(self, wall_ms: Callable[[], int], monotonic_s: Callable[[], float]) -> None:
        self._wall_ms = wall_ms
        self._monotonic_s = monotonic_s
        self._first_reading: tuple[int, float] | None = None

    def __call__(self) -> int:
        """Return the wall time in milliseconds."""
        monotonic_s = self._monotonic_s()
        if self._first_reading is None:
            self._first_reading = (self._wall_ms(), monotonic_s)
        wall_ms, since_s = self._first_reading
        return wall_ms + round((monotonic_s - since_s) * 1000)
