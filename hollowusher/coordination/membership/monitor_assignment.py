"""Assignment of monitors to members.  The module performs no I/O and reads no clock.

Every member has up to `MONITOR_COUNT` monitors, which are other live edge processes.  Rendezvous hashing
selects them, so every process computes the same assignment and a membership change reassigns few monitors.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence

from hollowusher.coordination.rendezvous import weight

MONITOR_COUNT = 3


def choose_monitors(name: str, edges: Iterable[str]) -> list[str]:
    """Return the monitors of a member, chosen from the names of the live edge processes.

    The monitors are sorted by decreasing rendezvous weight.
    """
    key = f"monitor/{name}"
    others = (edge for edge in edges if edge != name)
    return heapq.nlargest(MONITOR_COUNT, others, key=lambda edge: (weight(key, edge), edge))


class MonitorAssignment:
    """The monitors of all live members, updated incrementally.

    Invariant: after `update`, each member has the monitors that `choose_monitors` returns for it.
    """

    def __init__(self) -> None:
        self._edges: set[str] = set()
        self._monitors: dict[str, list[str]] = {}  # member -> its monitors

    def monitors_of(self, name: str) -> Sequence[str]:
        """Return the monitors of a member by decreasing weight; empty if it is not a live member."""
        return self._monitors.get(name, ())

    def update(self, edges: set[str], members: Iterable[str]) -> None:
        """Assign monitors to the live `members`; recompute only assignments that may have changed.

        `edges` are the names of the live edge processes.
        """
        added, removed = edges - self._edges, self._edges - edges
        previous = self._monitors
        self._edges = edges
        self._monitors = {}
        for name in members:
            monitors = previous.get(name)
            if monitors is None or not removed.isdisjoint(monitors):
                monitors = choose_monitors(name, edges)
            elif added:
                monitors = choose_monitors(name, {*monitors, *added})
            self._monitors[name] = monitors
