"""Estimate of how much longer than expected the jobs of a worker take."""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.balancing.attempt import Attempt

# Number of jobs with the expected running time that the estimate of a new worker starts with.
PRIOR_JOBS = 3.0
# Largest ratio that one job contributes, because a single heavy job does not make its worker slow.
MAX_JOB_RATIO = 4.0
EWMA_WEIGHT = 0.1  # weight of a new value in an exponentially weighted moving average


class SlowdownEstimate:
    """Decaying sum and count of the ratios of actual to expected running time of a worker's jobs."""

    def __init__(self) -> None:
        self.ratio_sum = self.jobs = 0.0

    def current(self, now: int, outstanding: Iterable[Attempt]) -> float:
        """Return the mean ratio of actual to expected running time.

        The sum includes the ratios of jobs that still run, while the divisor counts only finished jobs.
        """
        running_ratios = [(now - a.started) / a.expected for a in outstanding if a.started is not None]
        # The contribution of finished jobs decays. Without this weight, many running jobs would determine the
        # result alone.
        weight = min(1.0, (PRIOR_JOBS + self.jobs) / max(1, len(running_ratios)))
        ratio_sum = self.ratio_sum + weight * sum(min(MAX_JOB_RATIO, ratio) for ratio in running_ratios)
        return (PRIOR_JOBS + ratio_sum) / (PRIOR_JOBS + self.jobs)

    def add_finished_job(self, ratio: float, running: float) -> None:
        """Add a finished job.

        `ratio` is its actual divided by its expected running time, `running` the number of busy slots.
        """
        # Of many jobs that start together the short ones end first. The average must cover all of them, so
        # the values decay more slowly when more slots are busy.
        decay = 1.0 - min(EWMA_WEIGHT, 1.0 / (1.0 + running))
        self.ratio_sum = decay * self.ratio_sum + min(MAX_JOB_RATIO, ratio)
        self.jobs = decay * self.jobs + 1.0
