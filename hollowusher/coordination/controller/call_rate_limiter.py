"""Rate limit and backoff for calls to the platform.  The module performs no I/O and reads no clock."""

from __future__ import annotations

INITIAL_BACKOFF_S = 0.25
RATE_SHARE = 0.5  # share of the total rate; the old and the new head may both read during a head change


class CallRateLimiter:
    """Limits calls to half of the total rate and backs off exponentially after failures.

    `rate_per_s` is the total rate in calls per second, and `max_backoff_s` the longest pause after a failure.
    Times are seconds of the caller's monotonic clock.
    """

    def __init__(self, rate_per_s: float, max_backoff_s: float) -> None:
        self._max_backoff_s = max_backoff_s
        self._interval_s = 1.0 / (RATE_SHARE * rate_per_s) if rate_per_s > 0 else max_backoff_s
        self._next_call_at = 0.0
        self._backoff_s = 0.0

    def seconds_until_next_call(self, now: float) -> float:
        """Return how many seconds the caller has to wait before its next call."""
        return max(0.0, self._next_call_at - now)

    def record_call(self, now: float) -> None:
        """Record that the caller starts a call at `now`."""
        self._next_call_at = now + self._interval_s

    def record_failure(self, now: float) -> None:
        """Record a call that was rejected or got no valid response; double the backoff up to its limit."""
        self._backoff_s = min(self._max_backoff_s, max(INITIAL_BACKOFF_S, 2 * self._backoff_s))
        self._next_call_at = max(self._next_call_at, now + self._backoff_s)

    def record_success(self) -> None:
        """Record a valid response and reset the backoff."""
        self._backoff_s = 0.0
