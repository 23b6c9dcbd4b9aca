"""The wall clock of one process: read once, then advanced by the monotonic clock.

Records have ends, retentions and delays in wall time, because other machines continue with them.  A step of
the machine's clock must not end or forget messages, so it affects only processes started later.
"""

from __future__ import annotations

from collections.abc import Callable


class SteadyWallClock:
    """Milliseconds of the wall clock at the first call, plus the progress of the monotonic clock since."""

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
