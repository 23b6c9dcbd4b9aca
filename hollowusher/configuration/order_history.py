"""Which orders taken may be forgotten: none that a caller may still send again.  No I/O, no clock.

A caller that got no clear answer sends its order again.  It first sent it before it was committed, so it ends
by `RETRY_WINDOW_S` after the commit.  The commit has no clock of its own that all controllers share; each one
counts by its steady clock from the moment at which it first knew the order as committed, which is never
before the commit.  A restart or a new head starts to count anew, which only keeps orders for longer.
"""

from __future__ import annotations

from collections import deque
from typing import Any

HISTORY_HARD_LIMIT = 16_384  # no further order is taken beyond it
RETRY_WINDOW_S = 60.0  # an order is sent again for less than this after its commit

Entry = list[Any]  # [generation, digest of the order]


class CommittedAges:
    """Since when one controller has known each generation as committed."""

    def __init__(self) -> None:
        self._marks: deque[tuple[int, float]] = deque()  # generation, when it was first known; both grow
        self._settled = 0

    def note(self, generation: int, now: float) -> None:
        """Record that a generation is committed at `now`."""
        if generation > (self._marks[-1][0] if self._marks else self._settled):
            self._marks.append((generation, now))

    def newest_expired(self, now: float) -> int:
        """Return the newest generation whose order nobody sends again."""
        while self._marks and now - self._marks[0][1] >= RETRY_WINDOW_S:
            self._settled = self._marks.popleft()[0]
        return self._settled


def pruned(history: list[Entry], most: int, forgettable: int) -> list[Entry]:
    """Return the history without its oldest orders beyond the newest `most`.

    Only those up to the generation `forgettable` may be forgotten.
    """
    surplus = max(0, len(history) - most)
    dropped = 0
    while dropped < surplus and history[dropped][0] <= forgettable:
        dropped += 1
    return history[dropped:]
