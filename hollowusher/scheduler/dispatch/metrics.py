"""Counters for operators; each event is counted in one place, where it happens."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hollowusher.scheduler.dispatch.model import Verdict


@dataclass(slots=True)
class JobClassMetrics:
    """Counters of one job class since the start of this process."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0  # requests that were sent to workers completely


class SchedulerMetrics:
    """All counters of one process."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.classes: dict[str, JobClassMetrics] = {}
        self.in_flight = 0  # jobs that were accepted and have not ended
        self.reloads_ok = self.reloads_failed = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add counters for these classes; classes that are no longer configured keep their counters."""
        for name in classes:
            self.classes.setdefault(name, JobClassMetrics())

    def answered(self, job_class: str, verdict: Verdict) -> None:
        """Count a final answer that was sent to a client."""
        counts = self.classes.setdefault(job_class, JobClassMetrics())
        match verdict:
            case Verdict.SERVED:
                counts.served += 1
            case Verdict.REFUSED:
                counts.refused += 1
            case Verdict.FAILED:
                counts.failed += 1

    def written(self, job_class: str) -> None:
        """Count an attempt whose last byte has been written to a worker."""
        self.classes.setdefault(job_class, JobClassMetrics()).attempts += 1
