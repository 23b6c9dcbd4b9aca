"""Rate limit and backoff of the calls to the platform.  No I/O, no clock."""

from __future__ import annotations

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
RATE_SHARE = 0.5  # of the rate that all readers share: two of them may read while the head changes


class CallRateLimiter:
    """Spaces calls at half of the shared rate, and backs off exponentially after failures.

    Times are seconds of the caller's monotonic clock.
    """

    def __init__(self, rate_per_s: float) -> None:
        self._interval_s = 1.0 / (RATE_SHARE * rate_per_s) if rate_per_s > 0 else MAX_BACKOFF_S
        self._next_call_at = 0.0
        self._backoff_s = 0.0

    def seconds_until_next_call(self, now: float) -> float:
        """Return how long the next call has to wait."""
        return max(0.0, self._next_call_at - now)

    def record_call(self, now: float) -> None:
        """Record that a call is made."""
        self._next_call_at = now + self._interval_s

    def record_failure(self, now: float) -> None:
        """Record that a call was rejected or got no usable answer: the backoff doubles up to its limit."""
        self._backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * self._backoff_s))
        self._next_call_at = max(self._next_call_at, now + self._backoff_s)

    def record_success(self) -> None:
        """Record a usable answer: the backoff ends."""
        self._backoff_s = 0.0
