"""Failure detection by heartbeats to a few monitors.  No I/O, no clock.

A member sends a heartbeat to each of its monitors, so that the cost for a process does not grow with the
cluster.  A monitor that has received none for `HEARTBEAT_TIMEOUT_S` suspects the member.  It reports that to
the controllers, and repeats the report until the member is dead, sends a heartbeat, or gets other monitors.
Controllers confirm deaths: see `member_directory`.

This is an unreliable failure detector in the sense of Chandra and Toueg ("Unreliable failure detectors for
reliable distributed systems", 1996): a suspicion may be wrong.  SWIM's probes in turn are not used, because
a death would then be known only after the period times the number of members.

All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hollowusher.coordination.member_role import MemberRole
from hollowusher.coordination.membership.monitor_assignment import MonitorAssignment
from hollowusher.protocol.membership import Heartbeat, Member, MemberSuspected

HEARTBEAT_INTERVAL_S = 0.2
HEARTBEAT_TIMEOUT_S = 0.7
SUSPICION_REPEAT_S = 0.4
MAX_TICK_INTERVAL_S = 0.4  # a monitor that did not run for longer may have missed heartbeats itself
TIMER_TOLERANCE_S = 0.001  # a timer may fire this much early


@attrs.define
class _MonitoredMember:
    """The last signs of one monitored member."""

    incarnation: int
    last_heartbeat_at: float  # or the time at which monitoring began
    last_report_at: float | None = None  # of a suspicion; None while there is none

    def record_heartbeat(self, incarnation: int, now: float) -> None:
        """Start the heartbeat timeout again and end the suspicion."""
        self.incarnation = incarnation
        self.last_heartbeat_at = now
        self.last_report_at = None

    def is_report_due(self, now: float) -> bool:
        """Return whether the member is to be reported as suspect now."""
        if now - self.last_heartbeat_at < HEARTBEAT_TIMEOUT_S:
            return False
        return self.last_report_at is None or now - self.last_report_at >= SUSPICION_REPEAT_S


class FailureDetector:
    """The failure detector of one process: whom it monitors, and who monitors it.

    Invariant: `monitored` holds exactly the live members that have this process among their monitors.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.own_monitors: list[Member] = []
        self._assignment = MonitorAssignment()
        self._monitored: dict[str, _MonitoredMember] = {}
        self._last_tick: float | None = None
        self._last_heartbeat_sent_at: float | None = None

    @property
    def monitored(self) -> list[str]:
        """The members that this process monitors."""
        return sorted(self._monitored)

    def update_members(self, members: Iterable[Member], now: float) -> None:
        """Adopt the present members, this process among them; dead ones are ignored."""
        live = {member.name: member for member in members if member.alive}
        edges = {name for name, member in live.items() if member.role == MemberRole.EDGE}
        self._assignment.update(edges, live.keys())
        self.own_monitors = [live[name] for name in self._assignment.monitors_of(self.name)]
        self._update_monitored(live, now)

    def _update_monitored(self, live: dict[str, Member], now: float) -> None:
        previous = self._monitored
        self._monitored = {}
        for name, member in live.items():
            if self.name not in self._assignment.monitors_of(name):
                continue
            monitored = previous.get(name)
            if monitored is None or monitored.incarnation < member.incarnation:
                monitored = _MonitoredMember(member.incarnation, now)
            self._monitored[name] = monitored

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat; one of a former incarnation does not count."""
        monitored = self._monitored.get(heartbeat.name)
        if monitored is not None and heartbeat.incarnation >= monitored.incarnation:
            monitored.record_heartbeat(heartbeat.incarnation, now)

    def start_due_heartbeat(self, now: float) -> bool:
        """Return whether the caller has to send heartbeats now; True counts as sent."""
        last = self._last_heartbeat_sent_at
        if last is not None and now - last < HEARTBEAT_INTERVAL_S - TIMER_TOLERANCE_S:
            return False
        self._last_heartbeat_sent_at = now
        return True

    def tick(self, now: float) -> list[MemberSuspected]:
        """Return the suspicions to report now.  To be called several times within `MAX_TICK_INTERVAL_S`."""
        was_paused = self._last_tick is not None and now - self._last_tick > MAX_TICK_INTERVAL_S
        self._last_tick = now
        if was_paused:
            for monitored in self._monitored.values():
                monitored.last_heartbeat_at = now
            return []
        return [
            self._report(name, monitored, now)
            for name, monitored in sorted(self._monitored.items())
            if monitored.is_report_due(now)
        ]

    def _report(self, name: str, monitored: _MonitoredMember, now: float) -> MemberSuspected:
        monitored.last_report_at = now
        return MemberSuspected(name, monitored.incarnation, self.name)
