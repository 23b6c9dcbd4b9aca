"""The reports of primaries about their learners.  No I/O, no clock.

All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

REPORT_VALIDITY_S = 2.5  # a primary repeats its report more often than this while it stands


class LearnerReport(NamedTuple):
    """What a report is about: one learner of a partition in one epoch.

    A report counts in that epoch alone, whenever it arrives.
    """

    partition: int
    epoch: int
    store_id: str


class LearnerReports:
    """The valid reports; the newest one about a learner replaces those before it.

    Invariant: a report is in one of the two groups at most.
    """

    def __init__(self) -> None:
        self._ready: dict[LearnerReport, float] = {}  # report -> when it was received last
        self._lost: dict[LearnerReport, float] = {}

    @property
    def ready(self) -> Collection[LearnerReport]:
        """The learners that hold every committed record of their partition."""
        return self._ready.keys()

    @property
    def lost(self) -> Collection[LearnerReport]:
        """The learners that do not answer their primary."""
        return self._lost.keys()

    def record_ready(self, report: LearnerReport, now: float) -> None:
        """Record that a learner has caught up."""
        self._lost.pop(report, None)
        self._ready[report] = now

    def record_lost(self, report: LearnerReport, now: float) -> None:
        """Record that a learner does not answer its primary."""
        self._ready.pop(report, None)
        self._lost[report] = now

    def remove_expired(self, now: float) -> None:
        """Drop the reports that are not repeated: their primary has lost the learner or the partition."""
        oldest = now - REPORT_VALIDITY_S
        self._ready = {report: received for report, received in self._ready.items() if received >= oldest}
        self._lost = {report: received for report, received in self._lost.items() if received >= oldest}

    def clear(self) -> None:
        """Drop all reports."""
        self._ready.clear()
        self._lost.clear()
