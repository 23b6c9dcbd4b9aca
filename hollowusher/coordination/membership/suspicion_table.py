"""The suspicions that monitors have reported to a controller.  No I/O, no clock.

All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

from hollowusher.protocol.membership import MemberSuspected

SUSPICION_VALIDITY_S = 1.5  # a few times `SUSPICION_REPEAT_S`, so that one lost message changes nothing


@attrs.define
class _SuspicionRecord:
    """The reports about one incarnation of a member."""

    incarnation: int
    first_reported_at: float
    reported_at: dict[str, float] = attrs.Factory(dict)  # monitor -> time of its newest report

    def current_reporters(self, now: float) -> set[str]:
        """Return the monitors whose newest report is still valid."""
        return {
            monitor
            for monitor, reported_at in self.reported_at.items()
            if now - reported_at <= SUSPICION_VALIDITY_S
        }


class SuspicionTable:
    """The valid suspicions by member.

    Invariant: a member has one record at most, and all reports in it are about the same incarnation.
    """

    def __init__(self) -> None:
        self._records: dict[str, _SuspicionRecord] = {}

    def record(self, suspicion: MemberSuspected, now: float) -> None:
        """Add a report; one about another incarnation than before starts a new record."""
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
        """Drop the records of the members that no monitor suspects any longer."""
        for name, record in list(self._records.items()):
            if not record.current_reporters(now):
                del self._records[name]

    def suspects(self) -> Collection[str]:
        """Return the names of the members that have a record."""
        return self._records.keys()

    def incarnation(self, name: str) -> int | None:
        """Return the incarnation that is suspected, None where the member has no record."""
        record = self._records.get(name)
        return None if record is None else record.incarnation

    def reporters(self, name: str, now: float) -> set[str]:
        """Return the monitors that suspect a member now."""
        record = self._records.get(name)
        return set() if record is None else record.current_reporters(now)

    def is_suspected_for(self, name: str, duration_s: float, now: float) -> bool:
        """Return whether some monitor suspects a member now and the first report is at least that old."""
        record = self._records.get(name)
        if record is None or not record.current_reporters(now):
            return False
        return now - record.first_reported_at >= duration_s
