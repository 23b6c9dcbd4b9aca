"""Heartbeat failure detector in which a few monitors watch each member.

The module performs no I/O and reads no clock: callers pass the time as `now`, in seconds of their monotonic
clock.

A member sends heartbeats only to its monitors, so the number of heartbeats that a process sends does not grow
with the cluster.  A monitor that receives no heartbeat for `HEARTBEAT_TIMEOUT_S` suspects the member and
reports the suspicion to the controllers.  It repeats the report until the member is declared dead, sends a
heartbeat or is assigned to other monitors.  The controllers confirm deaths: see `member_directory`.

This is an unreliable failure detector in the sense of Chandra and Toueg ("Unreliable failure detectors for
reliable distributed systems", 1996): a suspicion may be wrong.  The round-robin probing of SWIM is not used,
because with it the detection of a death could take the probe period times the number of members.
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
MAX_TICK_INTERVAL_S = 0.4  # after a longer gap the monitor may have missed heartbeats
TIMER_TOLERANCE_S = 0.001  # timers may fire this early


@attrs.define
class _MonitoredMember:
    """The heartbeat and report times of one monitored member."""

    incarnation: int
    last_heartbeat_at: float  # or when the timeout was last restarted without a heartbeat
    last_report_at: float | None = None  # time of the last suspicion report; None if not suspected

    def record_heartbeat(self, incarnation: int, now: float) -> None:
        """Restart the heartbeat timeout and clear the suspicion."""
        self.incarnation = incarnation
        self.last_heartbeat_at = now
        self.last_report_at = None

    def is_report_due(self, now: float) -> bool:
        """Return whether the monitor has to report the member as suspect now."""
        if now - self.last_heartbeat_at < HEARTBEAT_TIMEOUT_S:
            return False
        return self.last_report_at is None or now - self.last_report_at >= SUSPICION_REPEAT_S


class FailureDetector:
    """The failure detector of one process.

    It tracks the members that this process monitors and the monitors of this process (`own_monitors`).

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
        """The names of the members that this process monitors, sorted."""
        return sorted(self._monitored)

    def update_members(self, members: Iterable[Member], now: float) -> None:
        """Replace the list of members, which includes this process; dead members are ignored."""
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
        """Record a heartbeat; ignore it if it comes from an earlier incarnation."""
        monitored = self._monitored.get(heartbeat.name)
        if monitored is not None and heartbeat.incarnation >= monitored.incarnation:
            monitored.record_heartbeat(heartbeat.incarnation, now)

    def start_due_heartbeat(self, now: float) -> bool:
        """Return whether the caller has to send heartbeats now.

        When the result is True the detector assumes that the caller sends them, and restarts the interval.
        """
        last = self._last_heartbeat_sent_at
        if last is not None and now - last < HEARTBEAT_INTERVAL_S - TIMER_TOLERANCE_S:
            return False
        self._last_heartbeat_sent_at = now
        return True

    def tick(self, now: float) -> list[MemberSuspected]:
        """Return the suspicions to report now.

        The caller must call this method several times within `MAX_TICK_INTERVAL_S`.  After a longer gap the
        process is assumed to have been paused: all heartbeat timeouts restart and nothing is reported.
        """
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
