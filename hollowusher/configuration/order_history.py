"""Decides which accepted orders may be pruned from the order history.  No I/O, no clock.

The history exists to recognize retries of an accepted order.  A client that gets no definite response retries
its order.  It sent the order for the first time before the commit, so it stops retrying at the latest
`RETRY_WINDOW_S` after the commit; until then, the order must stay in the history.

The controllers share no clock that could give the time of the commit.  Each controller measures with its
monotonic clock from the moment at which it first saw the order as committed, which is never before the
commit.  The measurement starts again after a restart or with a new head, which only keeps orders longer.
"""

from __future__ import annotations

from collections import deque
from typing import Any

HISTORY_HARD_LIMIT = 16_384  # orders; an order that would exceed this limit is rejected
RETRY_WINDOW_S = 60.0  # clients retry an order for less than this time after its commit

Entry = list[Any]  # [generation, digest of the order]


class CommittedAges:
    """The times at which one controller first saw each generation as committed."""

    def __init__(self) -> None:
        self._marks: deque[tuple[int, float]] = deque()  # (generation, time first seen), both increasing
        self._settled = 0

    def note(self, generation: int, now: float) -> None:
        """Record at time `now` (in seconds) that a generation is committed."""
        if generation > (self._marks[-1][0] if self._marks else self._settled):
            self._marks.append((generation, now))

    def newest_expired(self, now: float) -> int:
        """Return the newest generation whose retry window has ended; `now` is in seconds."""
        while self._marks and now - self._marks[0][1] >= RETRY_WINDOW_S:
            self._settled = self._marks.popleft()[0]
        return self._settled


def pruned(history: list[Entry], soft_limit: int, expired_generation: int) -> list[Entry]:
    """Return the history without the oldest orders that exceed `soft_limit`.

    Only orders up to the generation `expired_generation` are removed, so the result may exceed the limit.
    """
    surplus = max(0, len(history) - soft_limit)
    dropped = 0
    while dropped < surplus and history[dropped][0] <= expired_generation:
        dropped += 1
    return history[dropped:]
