"""How fast a worker has shown itself to be: a measurement that the decisions read."""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.balancing.attempt import Attempt

PRIOR_JOBS = 3.0  # jobs of ordinary pace that a worker is taken to have done before it has shown any
MAX_JOB_RATIO = 4.0  # expected times that one job counts at most: a heavy job is no slow worker
EWMA_WEIGHT = 0.1  # weight of a new value in a mean


class SlowdownEstimate:
    """The times that a worker's latest jobs took, in expected times, and their count; both fade."""

    def __init__(self) -> None:
        self.time = self.jobs = 0.0

    def current(self, now: int, outstanding: Iterable[Attempt]) -> float:
        """How many times the expected time its jobs take: time run, also by those not finished, over jobs."""
        started = [(now - a.started) / a.expected for a in outstanding if a.started is not None]
        # Finished jobs are forgotten: without a like weight, the times of many that run would count alone.
        weight = min(1.0, (PRIOR_JOBS + self.jobs) / max(1, len(started)))
        time = self.time + weight * sum(min(MAX_JOB_RATIO, ratio) for ratio in started)
        return (PRIOR_JOBS + time) / (PRIOR_JOBS + self.jobs)

    def add_finished_job(self, ratio: float, running: float) -> None:
        """A job took so many expected times; so many slots were running as it ended."""
        # Of many that began together the short ones end first: what is kept must reach back over all of them.
        keep = 1.0 - min(EWMA_WEIGHT, 1.0 / (1.0 + running))
        self.time = keep * self.time + min(MAX_JOB_RATIO, ratio)
        self.jobs = keep * self.jobs + 1.0
