"""A token bucket that limits the rate of one service at one primary.  Callers pass the time in."""

from __future__ import annotations

ROUNDING_TOLERANCE = 1e-9


class TokenBucket:
    """Rate limit for the leases of a service.

    The bucket fills slightly more slowly than the configured rate, holds a short burst, and starts empty.
    """

    RATE_FRACTION = 0.97  # fraction of the configured rate; allows for inexact clocks and for batches
    BURST_S = 0.15  # the bucket holds the tokens of this many seconds, but at least one token

    def __init__(self, rate_per_s: float, now: float) -> None:
        self.rate = rate_per_s * self.RATE_FRACTION
        self.burst = max(1.0, rate_per_s * self.BURST_S)
        self._tokens = 0.0
        self._filled_at = now

    def change_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate and the burst from `now` on."""
        self._fill(now)
        self.rate = rate_per_s * self.RATE_FRACTION
        self.burst = max(1.0, rate_per_s * self.BURST_S)

    def available(self, now: float) -> int:
        """Return the number of whole tokens in the bucket."""
        self._fill(now)
        return int(self._tokens + ROUNDING_TOLERANCE)

    def consume(self) -> None:
        """Remove one token."""
        self._tokens -= 1.0

    def next_token_at(self, now: float) -> float:
        """Return when the bucket contains a whole token."""
        self._fill(now)
        return now + max(0.0, 1.0 - self._tokens) / self.rate

    def _fill(self, now: float) -> None:
        self._tokens = min(self.burst, self._tokens + max(0.0, now - self._filled_at) * self.rate)
        self._filled_at = now
