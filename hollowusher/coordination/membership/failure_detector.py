"""Failure detection by heartbeats to a few monitors.  No I/O, no clock.

Every member has up to three monitors, which rendezvous hashing picks among the other living edge processes;
each process computes them alike.  A member sends a heartbeat to each; so the cost of a process does not grow
with the system.  A monitor that hears nothing for `SILENCE_S` suspects the member and says so again until the
member is dead, heard of, or no longer watched here.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import attrs

from hollowusher.coordination.rendezvous import weight
from hollowusher.protocol.membership import Heartbeat, Member, Suspicion

MONITORS = 3
HEARTBEAT_S = 0.2
SILENCE_S = 0.7
REPEAT_S = 0.4
PAUSE_S = 0.4  # a monitor that did not run for this long judges nobody by what it missed
EDGE = "edge"


def _rank_key(name: str) -> str:
    return f"monitor/{name}"


def monitors_of(name: str, edges: Iterable[str]) -> list[str]:
    """The monitors of a member among the names of the living edge processes, best first."""
    key = _rank_key(name)
    others = (edge for edge in edges if edge != name)
    return heapq.nlargest(MONITORS, others, key=lambda edge: (weight(key, edge), edge))


@attrs.define
class _Watched:
    """A member that this process monitors."""

    incarnation: int
    heard: float
    reported: float | None = None


class Monitor:
    """The monitoring part of one process: whom it watches, and who watches it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.my_monitors: list[Member] = []
        self._edges: set[str] = set()
        self._monitors: dict[str, list[str]] = {}  # member -> its monitors
        self._watched: dict[str, _Watched] = {}
        self._last_tick: float | None = None
        self._last_heartbeat: float | None = None

    @property
    def watched(self) -> list[str]:
        """The members that this process monitors."""
        return sorted(self._watched)

    def update(self, members: Iterable[Member], now: float) -> None:
        """Take the living members, this process among them."""
        living = {member.name: member for member in members if member.alive}
        self._assign({name for name, member in living.items() if member.role == EDGE}, living.keys())
        mine = self._monitors.get(self.name, [])
        self.my_monitors = [living[name] for name in mine]
        for name in [name for name in self._watched if name not in living or not self._is_mine(name)]:
            del self._watched[name]
        for name, member in living.items():
            if self._is_mine(name):
                watched = self._watched.get(name)
                if watched is None or watched.incarnation < member.incarnation:
                    self._watched[name] = _Watched(member.incarnation, now)

    def heard(self, heartbeat: Heartbeat, now: float) -> None:
        """A sign of life has come; one of an earlier life does not count."""
        watched = self._watched.get(heartbeat.name)
        if watched is not None and heartbeat.incarnation >= watched.incarnation:
            watched.incarnation = heartbeat.incarnation
            watched.heard = now
            watched.reported = None

    def heartbeat_due(self, now: float) -> bool:
        """Whether this process has to send its heartbeat now; True counts as sent."""
        if self._last_heartbeat is not None and now - self._last_heartbeat < HEARTBEAT_S - 0.001:
            return False
        self._last_heartbeat = now
        return True

    def tick(self, now: float) -> list[Suspicion]:
        """The suspicions to report now.  To be called several times within `PAUSE_S`."""
        paused = self._last_tick is not None and now - self._last_tick > PAUSE_S
        self._last_tick = now
        if paused:
            for watched in self._watched.values():
                watched.heard = now
            return []
        return [
            Suspicion(name, watched.incarnation, self.name)
            for name, watched in sorted(self._watched.items())
            if self._report(watched, now)
        ]

    @staticmethod
    def _report(watched: _Watched, now: float) -> bool:
        if now - watched.heard < SILENCE_S:
            return False
        if watched.reported is not None and now - watched.reported < REPEAT_S:
            return False
        watched.reported = now
        return True

    def _is_mine(self, name: str) -> bool:
        return self.name in self._monitors.get(name, ())

    def _assign(self, edges: set[str], members: Iterable[str]) -> None:
        """Bring the members' monitors up to date, computing anew only those that may have changed."""
        came, gone = edges - self._edges, self._edges - edges
        self._edges = edges
        known = self._monitors
        self._monitors = {}
        for name in members:
            monitors = known.get(name)
            if monitors is None or not gone.isdisjoint(monitors):
                monitors = monitors_of(name, edges)
            elif came:
                monitors = monitors_of(name, {*monitors, *came})
            self._monitors[name] = monitors
