"""How long ago a process heard from the controllers, and so how old the values known here may be.  No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable


class ContactLog:
    """The times of the last answers of the controllers.

    Times are seconds of the monotonic clock.  Each is the latest moment at which the answer is known to have
    been true, which lies before its receipt: see `UpdatePuller`.
    """

    def __init__(self) -> None:
        self._last_answer_at: dict[str, float] = {}  # by address
        self._last_majority_at = -math.inf  # of an answer of a controller that hears most of the others

    def record_answer(self, address: str, valid_at: float) -> None:
        """Record that a controller answered a pull."""
        self._last_answer_at[address] = max(valid_at, self._last_answer_at.get(address, -math.inf))

    def record_majority(self, valid_at: float) -> None:
        """Record that most of the controllers heard of each other at a moment."""
        self._last_majority_at = max(valid_at, self._last_majority_at)

    def seconds_since_answer(self, now: float) -> float:
        """Return how long ago any controller last answered; infinite before the first answer."""
        return now - max(self._last_answer_at.values(), default=-math.inf)

    def seconds_since_majority(self, now: float) -> float:
        """Return how long ago most controllers heard of each other and one of them then answered here."""
        return now - self._last_majority_at

    def seconds_since_majority_of(self, voters: Iterable[str], own_address: str, now: float) -> float:
        """Return how long ago most of the voters answered, this process counted as one that answers now."""
        answered_at = sorted(
            now if address == own_address else self._last_answer_at.get(address, -math.inf)
            for address in voters
        )
        if not answered_at:
            return math.inf
        return now - answered_at[-(len(answered_at) // 2 + 1)]
