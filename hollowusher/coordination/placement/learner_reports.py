"""The reports of primaries about their learners.

The module performs no I/O and reads no clock: callers pass the time as `now`, in seconds of their monotonic
clock.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

REPORT_VALIDITY_S = 2.5  # a primary repeats its report at shorter intervals while the report holds


class LearnerReport(NamedTuple):
    """The subject of a report: one learner of a partition in one epoch.

    A report applies only to that epoch, even if it arrives in a later one.
    """

    partition: int
    epoch: int
    store_id: str


class LearnerReports:
    """The valid reports; a new report about a learner replaces the previous one.

    Invariant: a `LearnerReport` is never both in `ready` and in `lost`.
    """

    def __init__(self) -> None:
        self._ready: dict[LearnerReport, float] = {}  # report -> time of its last receipt
        self._lost: dict[LearnerReport, float] = {}

    @property
    def ready(self) -> Collection[LearnerReport]:
        """The learners that hold every committed record of their partition, as their primary reported."""
        return self._ready.keys()

    @property
    def lost(self) -> Collection[LearnerReport]:
        """The learners that do not answer their primary, as the primary reported."""
        return self._lost.keys()

    def record_ready(self, report: LearnerReport, now: float) -> None:
        """Record a primary's report that a learner has caught up."""
        self._lost.pop(report, None)
        self._ready[report] = now

    def record_lost(self, report: LearnerReport, now: float) -> None:
        """Record a primary's report that a learner does not answer it."""
        self._ready.pop(report, None)
        self._lost[report] = now

    def remove_expired(self, now: float) -> None:
        """Drop the reports that the primary did not repeat within `REPORT_VALIDITY_S`.

        A primary that stops repeating a report has lost the learner or the partition.
        """
        oldest = now - REPORT_VALIDITY_S
        self._ready = {report: received for report, received in self._ready.items() if received >= oldest}
        self._lost = {report: received for report, received in self._lost.items() if received >= oldest}

    def clear(self) -> None:
        """Drop all reports."""
        self._ready.clear()
        self._lost.clear()
