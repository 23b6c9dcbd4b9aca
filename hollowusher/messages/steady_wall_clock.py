"""The time of day of one process: taken once, then carried on by the steady clock.

Ends, retentions and delays are kept in records by the time of day, since other machines go on with them.  A
step of the machine's clock must not end or forget messages, so it counts only for processes started later.
"""

from __future__ import annotations

from collections.abc import Callable


class SteadyWallClock:
    """Milliseconds of the day's clock when first asked for, plus what the steady clock has moved since."""

    def __init__(self, wall_ms: Callable[[], int], steady_s: Callable[[], float]) -> None:
        self._wall_ms = wall_ms
        self._steady_s = steady_s
        self._first: tuple[int, float] | None = None

    def __call__(self) -> int:
        """Now."""
        steady_s = self._steady_s()
        if self._first is None:
            self._first = (self._wall_ms(), steady_s)
        wall_ms, since_s = self._first
        return wall_ms + round((steady_s - since_s) * 1000)
