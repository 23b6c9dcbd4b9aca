"""How many datagrams a member may send: what is beyond is dropped, which the protocol bears as a loss."""

from __future__ import annotations

MAX_BURST = 64.0  # that may go out at once, above the budget a second


class Budget:
    """A bucket that fills by `per_s` a second (times in nanoseconds) up to a burst."""

    def __init__(self, per_s: float, now: int) -> None:
        self.per_s, self.tokens, self._at = per_s, MAX_BURST, now

    def try_acquire(self, now: int) -> bool:
        """Whether one more may go out; it counts as sent."""
        self.tokens = min(MAX_BURST, self.tokens + max(0, now - self._at) * self.per_s / 1e9)
        self._at = max(now, self._at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
