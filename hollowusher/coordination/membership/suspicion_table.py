"""The suspicions that monitors have reported to a controller.

The module performs no I/O and reads no clock: callers pass the time as `now`, in seconds of their monotonic
clock.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

from hollowusher.protocol.membership import MemberSuspected

SUSPICION_VALIDITY_S = 1.5  # several times `SUSPICION_REPEAT_S`, to tolerate the loss of one report


@attrs.define
class _SuspicionRecord:
    """The suspicion reports about one incarnation of a member."""

    incarnation: int
    first_reported_at: float
    reported_at: dict[str, float] = attrs.Factory(dict)  # monitor name -> time of its newest report

    def current_reporters(self, now: float) -> set[str]:
        """Return the names of the monitors whose newest report is still valid."""
        return {
            monitor
            for monitor, reported_at in self.reported_at.items()
            if now - reported_at <= SUSPICION_VALIDITY_S
        }


class SuspicionTable:
    """The suspicion reports by member.

    Invariant: a member has at most one record, and all reports in a record are about the same incarnation.
    """

    def __init__(self) -> None:
        self._records: dict[str, _SuspicionRecord] = {}

    def record(self, suspicion: MemberSuspected, now: float) -> None:
        """Add a report.

        The report starts a new record if the existing record is about another incarnation or has expired.
        """
        record = self._records.get(suspicion.name)
        if record is None or record.incarnation != suspicion.incarnation or not record.current_reporters(now):
            record = self._records[suspicion.name] = _SuspicionRecord(suspicion.incarnation, now)
        record.reported_at[suspicion.reporter] = now

    def remove(self, name: str) -> None:
        """Drop all reports about a member."""
        self._records.pop(name, None)

    def clear(self) -> None:
        """Drop all reports about all members."""
        self._records.clear()

    def remove_expired(self, now: float) -> None:
        """Drop each record in which no report is valid any longer."""
        for name, record in list(self._records.items()):
            if not record.current_reporters(now):
                del self._records[name]

    def suspects(self) -> Collection[str]:
        """Return the names of the members that have a record."""
        return self._records.keys()

    def incarnation(self, name: str) -> int | None:
        """Return the suspected incarnation of a member; None if the member has no record."""
        record = self._records.get(name)
        return None if record is None else record.incarnation

    def reporters(self, name: str, now: float) -> set[str]:
        """Return the names of the monitors that currently suspect a member."""
        record = self._records.get(name)
        return set() if record is None else record.current_reporters(now)

    def is_suspected_for(self, name: str, duration_s: float, now: float) -> bool:
        """Return whether a member is suspected now and its first report is at least `duration_s` old."""
        record = self._records.get(name)
        if record is None or not record.current_reporters(now):
            return False
        return now - record.first_reported_at >= duration_s
