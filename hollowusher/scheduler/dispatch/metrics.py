"""The figures that operators fetch: each is counted in one place, where the thing happens."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hollowusher.scheduler.dispatch.model import Verdict


@dataclass(slots=True)
class JobClassMetrics:
    """Of one job class, since the start of this process."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0  # written whole to workers


class SchedulerMetrics:
    """All counts of one process."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.classes: dict[str, JobClassMetrics] = {}
        self.in_flight = 0  # jobs taken and not yet ended
        self.reloads_ok = self.reloads_failed = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Show these classes as well; those that are dropped keep their counts."""
        for name in classes:
            self.classes.setdefault(name, JobClassMetrics())

    def answered(self, job_class: str, verdict: Verdict) -> None:
        """A client has been given a job's final answer."""
        counts = self.classes.setdefault(job_class, JobClassMetrics())
        match verdict:
            case Verdict.SERVED:
                counts.served += 1
            case Verdict.REFUSED:
                counts.refused += 1
            case Verdict.FAILED:
                counts.failed += 1

    def written(self, job_class: str) -> None:
        """The last byte of an attempt has been written to a worker."""
        self.classes.setdefault(job_class, JobClassMetrics()).attempts += 1
