"""Record of a process's last contact with the controllers.  The module performs no I/O.

The time since the last contact bounds the age of the distributed values that the process holds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable


class ContactLog:
    """The times of the controllers' last responses.

    Times are seconds of the monotonic clock.  Each time is the latest moment at which the content of the
    response is known to have been valid.  It is not later than the receipt of the response, see
    `UpdatePuller`.
    """

    def __init__(self) -> None:
        self._last_answer_at: dict[str, float] = {}  # controller's address -> time
        self._last_majority_at = -math.inf  # time of the latest majority contact that a response reported

    def record_answer(self, address: str, valid_at: float) -> None:
        """Record a controller's response to a pull."""
        self._last_answer_at[address] = max(valid_at, self._last_answer_at.get(address, -math.inf))

    def record_majority(self, valid_at: float) -> None:
        """Record that a controller that answered was in contact with a majority of the controllers."""
        self._last_majority_at = max(valid_at, self._last_majority_at)

    def seconds_since_answer(self, now: float) -> float:
        """Return how many seconds ago any controller last answered; infinite before the first response."""
        return now - max(self._last_answer_at.values(), default=-math.inf)

    def seconds_since_majority(self, now: float) -> float:
        """Return the seconds since a controller that answered was last in contact with a majority."""
        return now - self._last_majority_at

    def seconds_since_majority_of(self, voters: Iterable[str], own_address: str, now: float) -> float:
        """Return the seconds within which a majority of the voters has answered.

        `voters` are addresses.  This process, at `own_address`, counts as a voter that answers now.
        """
        answered_at = sorted(
            now if address == own_address else self._last_answer_at.get(address, -math.inf)
            for address in voters
        )
        if not answered_at:
            return math.inf
        return now - answered_at[-(len(answered_at) // 2 + 1)]
