"""Virtual time: things to come, one after another."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Heap:
    """Things to come, in order of time; of two at one instant the one that was put in first."""

    def __init__(self) -> None:
        self.now = 0
        self._things: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0

    def at(self, when: int, thing: Callable[[], None]) -> None:
        """Have something done at a time."""
        self._count += 1
        heapq.heappush(self._things, (max(when, self.now), self._count, thing))

    def after(self, span: int, thing: Callable[[], None]) -> None:
        """Have something done after a span."""
        self.at(self.now + span, thing)

    def run(self, until: int) -> None:
        """Do all that is due up to a time."""
        while self._things and self._things[0][0] <= until:
            self.now, _, thing = heapq.heappop(self._things)
            thing()
        self.now = max(self.now, until)
