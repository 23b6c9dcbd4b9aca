"""Limits the send rate of a member.  Datagrams above it are dropped; the protocol tolerates such losses."""

from __future__ import annotations

MAX_BURST = 64.0  # datagrams that may be sent at once, in addition to the rate


class Budget:
    """A token bucket: `per_s` tokens per second, capacity `MAX_BURST`, times in nanoseconds."""

    def __init__(self, per_s: float, now: int) -> None:
        self.per_s, self.tokens, self._at = per_s, MAX_BURST, now

    def try_acquire(self, now: int) -> bool:
        """Takes one token if available; returns whether the datagram may be sent."""
        self.tokens = min(MAX_BURST, self.tokens + max(0, now - self._at) * self.per_s / 1e9)
        self._at = max(now, self._at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
