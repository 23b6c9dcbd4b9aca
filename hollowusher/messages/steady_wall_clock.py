"""A wall clock that is read once per process and then advanced by the monotonic clock.

Records contain end times, retentions and delays in wall time, because other machines take over the messages.
A step of the machine's clock must not end or drop messages, so it affects only processes that start later.
"""

from __future__ import annotations

from collections.abc import Callable


class SteadyWallClock:
    """Wall clock whose value is the wall time at the first call plus the monotonic time since that call."""

    def __init__(self, wall_ms: Callable[[], int], steady_s: Callable[[], float]) -> None:
        self._wall_ms = wall_ms
        self._steady_s = steady_s
        self._first: tuple[int, float] | None = None

    def __call__(self) -> int:
        """Return the wall time in milliseconds."""
        steady_s = self._steady_s()
        if self._first is None:
            self._first = (self._wall_ms(), steady_s)
        wall_ms, since_s = self._first
        return wall_ms + round((steady_s - since_s) * 1000)
