"""Failure detection by heartbeats to a few monitors.  No I/O, no clock.

Every member has up to three monitors, which rendezvous hashing picks among the other living edge processes;
each process computes them alike.  A member sends a heartbeat to each; so the cost of a process does not grow
with the system.  A monitor that hears nothing for `HEARTBEAT_TIMEOUT_S` suspects the member, and repeats that
until the member is dead, heard of, or no longer monitored here.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import attrs

from hollowusher.coordination.rendezvous import weight
from hollowusher.protocol.membership import Heartbeat, Member, Suspicion

MONITOR_COUNT = 3
HEARTBEAT_INTERVAL_S = 0.2
HEARTBEAT_TIMEOUT_S = 0.7
SUSPICION_REPEAT_S = 0.4
MAX_TICK_INTERVAL_S = 0.4  # a monitor that did not run for this long judges nobody by what it missed
EDGE = "edge"


def _rendezvous_key(name: str) -> str:
    return f"monitor/{name}"


def choose_monitors(name: str, edges: Iterable[str]) -> list[str]:
    """The monitors of a member among the names of the living edge processes, best first."""
    key = _rendezvous_key(name)
    others = (edge for edge in edges if edge != name)
    return heapq.nlargest(MONITOR_COUNT, others, key=lambda edge: (weight(key, edge), edge))


@attrs.define
class _MonitoredMember:
    """A member that this process monitors."""

    incarnation: int
    last_heard: float
    last_report: float | None = None


class FailureDetector:
    """The monitoring part of one process: whom it watches, and who watches it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.own_monitors: list[Member] = []
        self._edges: set[str] = set()
        self._monitors_by_member: dict[str, list[str]] = {}  # member -> its monitors
        self._monitored: dict[str, _MonitoredMember] = {}
        self._last_tick: float | None = None
        self._last_heartbeat: float | None = None

    @property
    def monitored(self) -> list[str]:
        """The members that this process monitors."""
        return sorted(self._monitored)

    def update_members(self, members: Iterable[Member], now: float) -> None:
        """Take the living members, this process among them."""
        living = {member.name: member for member in members if member.alive}
        self._reassign_monitors(
            {name for name, member in living.items() if member.role == EDGE}, living.keys()
        )
        mine = self._monitors_by_member.get(self.name, [])
        self.own_monitors = [living[name] for name in mine]
        for name in [
            name for name in self._monitored if name not in living or not self._is_monitored_here(name)
        ]:
            del self._monitored[name]
        for name, member in living.items():
            if self._is_monitored_here(name):
                monitored = self._monitored.get(name)
                if monitored is None or monitored.incarnation < member.incarnation:
                    self._monitored[name] = _MonitoredMember(member.incarnation, now)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """A sign of life has come; one of an earlier life does not count."""
        monitored = self._monitored.get(heartbeat.name)
        if monitored is not None and heartbeat.incarnation >= monitored.incarnation:
            monitored.incarnation = heartbeat.incarnation
            monitored.last_heard = now
            monitored.last_report = None

    def start_due_heartbeat(self, now: float) -> bool:
        """Whether this process has to send its heartbeat now; True counts as sent."""
        if self._last_heartbeat is not None and now - self._last_heartbeat < HEARTBEAT_INTERVAL_S - 0.001:
            return False
        self._last_heartbeat = now
        return True

    def tick(self, now: float) -> list[Suspicion]:
        """The suspicions to report now.  To be called several times within `MAX_TICK_INTERVAL_S`."""
        paused = self._last_tick is not None and now - self._last_tick > MAX_TICK_INTERVAL_S
        self._last_tick = now
        if paused:
            for monitored in self._monitored.values():
                monitored.last_heard = now
            return []
        return [
            Suspicion(name, monitored.incarnation, self.name)
            for name, monitored in sorted(self._monitored.items())
            if self._report_if_due(monitored, now)
        ]

    @staticmethod
    def _report_if_due(monitored: _MonitoredMember, now: float) -> bool:
        if now - monitored.last_heard < HEARTBEAT_TIMEOUT_S:
            return False
        if monitored.last_report is not None and now - monitored.last_report < SUSPICION_REPEAT_S:
            return False
        monitored.last_report = now
        return True

    def _is_monitored_here(self, name: str) -> bool:
        return self.name in self._monitors_by_member.get(name, ())

    def _reassign_monitors(self, edges: set[str], members: Iterable[str]) -> None:
        """Bring the members' monitors up to date, computing anew only those that may have changed."""
        came, gone = edges - self._edges, self._edges - edges
        self._edges = edges
        known = self._monitors_by_member
        self._monitors_by_member = {}
        for name in members:
            monitors = known.get(name)
            if monitors is None or not gone.isdisjoint(monitors):
                monitors = choose_monitors(name, edges)
            elif came:
                monitors = choose_monitors(name, {*monitors, *came})
            self._monitors_by_member[name] = monitors
