"""Flow control for one pushed worker: how many jobs the dispatcher may send to it.

This module does no I/O and reads no clock; all times are seconds of a monotonic clock.

Normally the integral rule of `hollowusher.balancing.balancer.IntegralController` decides.  It resizes the
worker's bundle N by the worker's busy share C (one minus its free slots over the most free slots yet seen, as
known from this process's own deliveries).  In each control period t_d the worker's credit grows by one
bundle.

Further limits apply on top of this rule: the jobs in flight stay close to the worker's number of slots, a
worker that rejects a job is paused, a suspect worker gets one trial job at a time, and a worker in its
warm-up gets a share of its slots.
"""

from __future__ import annotations

import math
from typing import Final

from hollowusher.balancing.balancer import EWMA_WEIGHT, GOOD_TRIALS, MAX_BUNDLE_RATIO, IntegralController
from hollowusher.delivery.outcome import WorkerFeedback

NS_PER_S: Final = 1_000_000_000
CONTROL_PERIOD_S: Final = 0.04  # t_d
INITIAL_RUN_S: Final = 0.15  # assumed running time of a job until the first one has completed
INITIAL_SLOTS: Final = 8.0  # assumed slots of an endpoint whose capacity is unknown
MIN_SLOTS: Final = 1.0
SHRINK_ON_TIMEOUT: Final = 0.7  # factor for the estimated slots after a lost response
GROWTH_PAUSE_S: Final = 2.0  # the estimated slots do not grow for this long after a rejection
SLOW_RUN_FACTOR: Final = 3.0  # the slots do not grow if the mean exceeds the fastest mean by this factor
OVERLAP_S: Final = 0.06  # target wait of jobs in the worker's queue, so that a freed slot gets a job at once
MAX_OVERLAP_JOBS: Final = 2.0  # maximum number of jobs in the worker's queue: workers queue only a few
SLOW_START_SHARE: Final = 0.4  # share of its slots that a worker gets during its warm-up
REFUSAL_PAUSE_S: Final = 0.05  # doubles with each consecutive rejection
MAX_REFUSAL_PAUSE_S: Final = 0.8
UNREACHABLE_PAUSE_S: Final = 0.1  # doubles with each consecutive connection failure
MAX_UNREACHABLE_PAUSE_S: Final = 1.0
FIRST_TRIAL_DELAY_S: Final = 0.5  # delay of a suspect worker's first trial; doubles with each strike
MAX_TRIAL_DOUBLINGS: Final = 4
QUIET_PERIODS: Final = 4  # number of t_d without a reading after which the worker counts as idle
MIN_CHECK_DELAY_S: Final = 0.001
TIMEOUT_MEAN_RUNS: Final = 6.0  # response timeout in mean running times; after it the worker is suspect
MIN_RESPONSE_TIMEOUT_S: Final = 1.0
MAX_CONSECUTIVE_FAILURES: Final = 5  # a worker is suspect after this many failures without a success


class WorkerFlowControl:
    """The flow control state of one worker, kept by the process that owns the worker.

    `now` is the time of creation.  `capacity` is the worker's number of slots, if known.  `balancers` is the
    number of dispatchers that send jobs to the worker.  `phase`, from 0 to 1, is the delay of the first
    reading as a fraction of t_d."""

    def __init__(
        self, now: float, capacity: int | None = None, balancers: int = 1, phase: float = 0.0
    ) -> None:
        self._controller = IntegralController(round(CONTROL_PERIOD_S * NS_PER_S), balancers)
        self._balancers = balancers
        self.capacity = capacity or 0  # slots according to the platform's worker list; 0 if unknown
        self.slots = float(capacity or INITIAL_SLOTS)  # estimate, updated by the worker's responses
        self.max_slots = math.inf
        self.slow_start_until = 0.0
        self.is_suspect = False
        self.is_gone = False
        self.mean_run_s: float | None = None
        self._fastest_mean_run_s = math.inf
        self._next_period_at = now + phase * CONTROL_PERIOD_S
        self._last_reading_at = now
        self._paused_until = 0.0
        self._full_until = 0.0  # pause after a FULL rejection; a response ends it, since a slot is free then
        self._has_seen_limit = False  # whether a rejection or a lost response has ever limited `slots`
        self._growth_allowed_at = 0.0
        self._trial_at = 0.0
        self._strikes = 0
        self._good_trials = 0
        self._failures = 0
        self._connect_failures = 0
        self._refusals = 0  # consecutive rejections
        self._sent: dict[str, float] = {}  # jobs in flight, oldest first: lease id -> time of sending

    @property
    def in_flight(self) -> int:
        """The number of jobs that this process has sent to the worker and that have not ended."""
        return len(self._sent)

    @property
    def bundle(self) -> float:
        """N, the number of jobs added to the worker's credit in each t_d."""
        return self._controller.bundle

    def busy_share(self) -> float:
        """Return the busy share C: one minus the free slots over the most free slots yet seen."""
        return min(1.0, self.in_flight / self.slots)

    def update_listing(self, capacity: int, slow_start_until: float) -> None:
        """Apply the worker list's entry: the capacity (0 if unknown) and the end of the warm-up.

        `slow_start_until` is in the same clock as `now`."""
        if capacity > 0 and capacity != self.capacity:
            self.slots = float(capacity)
            self.capacity = capacity
        self.slow_start_until = slow_start_until

    def limit_slots(self, max_in_flight: float) -> None:
        """Limit the jobs in flight to `max_in_flight`, the number of connections that the worker accepts."""
        self.max_slots = max(MIN_SLOTS, max_in_flight)

    def set_dispatcher_count(self, balancers: int) -> None:
        """Set the number of dispatchers that send jobs to this worker: B in the controller's gain."""
        self._balancers = self._controller.balancers = max(1, balancers)

    def usable_slots(self, now: float) -> float:
        """Return the target number of jobs in flight: a share of the slots during the warm-up, and the slots
        plus the overlap after it."""
        slots = self.slots
        if now < self.slow_start_until:
            slots = max(MIN_SLOTS, slots * SLOW_START_SHARE)
        else:
            slots += self._overlap()
        return min(slots, self.max_slots)

    def _overlap(self) -> float:
        """Return the number of jobs that may wait in the worker's queue: 0 until a running time is known."""
        return (
            0.0
            if self.mean_run_s is None
            else min(MAX_OVERLAP_JOBS, self.slots, OVERLAP_S / self.time_per_job())
        )

    def time_per_job(self) -> float:
        """Return t_p, the mean running time divided by the number of slots, in seconds."""
        return max(1e-6, (self.mean_run_s or INITIAL_RUN_S) / self.slots)

    def free_slots(self, now: float, isolates_suspects: bool = True) -> int:
        """Return how many more jobs the worker can take now, regardless of its credit.

        If `isolates_suspects` is true, a suspect worker gets only trial jobs.  Otherwise it is treated like
        any other worker; the caller does this when most workers are suspect, because the cause is then
        probably not in the workers.
        """
        if self.is_gone or now < max(self._paused_until, self._full_until):
            return 0
        self._check_response_timeout(now)
        if self.is_suspect and isolates_suspects:
            return 1 if self._is_trial_due(now) else 0
        return max(0, math.floor(self.usable_slots(now) + 0.5) - self.in_flight)

    def jobs_allowed(self, now: float, isolates_suspects: bool = True) -> int:
        """Return how many jobs may be sent to the worker now.

        A call records demand in the controller if no credit is left: call it only while a job waits."""
        free_slots = self.free_slots(now, isolates_suspects)
        if free_slots == 0 or (self.is_suspect and isolates_suspects):
            return free_slots
        self._advance(now)
        whole = int(self._controller.credit)
        if whole == 0:
            self._controller.wanted = True
            if self._is_trial_due(now):
                return 1
        return min(free_slots, whole)

    def _is_trial_due(self, now: float) -> bool:
        """Whether a trial job is due for a suspect worker.

        The bundle of a suspect worker does not grow.  Without this rule, a worker that becomes suspect before
        it has any credit, while suspects are not isolated, would never get a job again."""
        return self.is_suspect and now >= self._trial_at and not self._sent

    def jobs_allowed_soon(self, now: float, isolates_suspects: bool = True) -> int:
        """Return how many jobs may be sent to the worker within about two t_d.

        The dispatcher leases jobs for the worker by this number."""
        free_slots = self.free_slots(now, isolates_suspects)
        if free_slots == 0:
            return 0
        self._advance(now)
        return min(free_slots, max(1, int(self._controller.credit + 2 * self._controller.bundle)))

    def next_check_at(self, now: float, isolates_suspects: bool = True) -> float:
        """Return the time at which `jobs_allowed` may grow without a response, or infinity if it cannot."""
        resumes = self.resumes_at(now, isolates_suspects)
        if resumes < math.inf or self.free_slots(now, isolates_suspects=False) == 0:
            return resumes
        return max(self._next_period_at, now + MIN_CHECK_DELAY_S)

    def resumes_at(self, now: float, isolates_suspects: bool = True) -> float:
        """Return the end of the current pause or trial delay, or infinity if there is none."""
        paused = max(self._paused_until, self._full_until)
        if now < paused:
            return paused
        if self.is_suspect and isolates_suspects and now < self._trial_at and not self._sent:
            return self._trial_at
        return math.inf

    def record_sent(self, now: float, lease: str) -> None:
        """Record that a job was sent to the worker."""
        self._sent[lease] = now
        self._controller.credit = max(0.0, self._controller.credit - 1.0)
        self._controller.wanted = True

    def record_feedback(self, now: float, lease: str, feedback: WorkerFeedback, jitter: float = 1.0) -> bool:
        """Record how a job ended; return True if the worker has just become suspect.

        `jitter` scales the delay until the next trial."""
        sent_at = self._sent.pop(lease, now)
        was_full = self.in_flight + 1 >= self.slots
        if feedback in (WorkerFeedback.DONE, WorkerFeedback.FAILED):
            self._record_answer(now, now - sent_at, was_full)
        if feedback is WorkerFeedback.DONE:
            self._record_success()
        elif feedback is WorkerFeedback.FAILED:
            self._failures += 1
            return self._failures >= MAX_CONSECUTIVE_FAILURES and self._mark_suspect(now, jitter)
        elif feedback is WorkerFeedback.FULL:
            self._record_refusal(now)
        elif feedback is WorkerFeedback.RATE:
            self._paused_until = now + REFUSAL_PAUSE_S
        elif feedback is WorkerFeedback.UNREACHABLE:
            return self._record_unreachable(now, jitter)
        elif feedback is WorkerFeedback.GONE:
            self.is_gone = True
        elif feedback is WorkerFeedback.LOST:
            self._has_seen_limit = True
            if not self.capacity:
                self.slots = max(MIN_SLOTS, self.slots * SHRINK_ON_TIMEOUT)
            return self._mark_suspect(now, jitter)
        return False

    def _advance(self, now: float) -> None:
        """Take a reading and add one bundle of credit for each control period since the last call."""
        if now < self._next_period_at:
            return
        times = int((now - self._next_period_at) / CONTROL_PERIOD_S) + 1
        self._next_period_at += times * CONTROL_PERIOD_S
        self._take_reading(now)
        self._controller.accrue_credit(times)

    def _take_reading(self, now: float) -> None:
        elapsed = round((now - self._last_reading_at) * NS_PER_S)
        self._last_reading_at = now
        if elapsed > QUIET_PERIODS * self._controller.t_d and not self._sent:
            self._controller.wanted = False  # the worker was idle: demand from before that must not grow N
        time_per_job = self.time_per_job() * NS_PER_S
        ceiling = max(1.0, MAX_BUNDLE_RATIO * self._controller.t_d / time_per_job)
        self._controller.resize(self.busy_share(), elapsed, time_per_job, ceiling, not self.is_suspect)

    def _record_answer(self, now: float, run_s: float, was_full: bool) -> None:
        self.mean_run_s = (
            run_s if self.mean_run_s is None else self.mean_run_s + EWMA_WEIGHT * (run_s - self.mean_run_s)
        )
        self._fastest_mean_run_s = min(self._fastest_mean_run_s * (1.0 + EWMA_WEIGHT / 10), self.mean_run_s)
        self._connect_failures = 0
        is_fast = self.mean_run_s <= SLOW_RUN_FACTOR * self._fastest_mean_run_s
        self._refusals = 0
        self._full_until = 0.0  # the job has freed a slot
        if was_full and is_fast and now >= self._growth_allowed_at:
            limit = min(self.max_slots, self.capacity or math.inf)
            # Until a first limit is seen, the slots double in each running time; then growth is linear.
            step = 1.0 / self.slots if self._has_seen_limit else 1.0
            self.slots = max(self.slots, min(limit, self.slots + step))

    def _record_success(self) -> None:
        self._failures = 0
        if not self.is_suspect:
            self._strikes = 0
            return
        self._good_trials += 1
        self._trial_at = 0.0
        if self._good_trials >= GOOD_TRIALS:
            self.is_suspect = False

    def _record_refusal(self, now: float) -> None:
        """Lower the estimated slots to the jobs in flight less the overlap, and pause the worker.

        The jobs in flight have filled the worker, whatever jobs it runs for other dispatchers."""
        self.slots = max(MIN_SLOTS, min(self.slots, self.in_flight - self._overlap()))
        self._growth_allowed_at = now + GROWTH_PAUSE_S
        self._has_seen_limit = True
        self._controller.credit = min(self._controller.credit, 1.0)
        self._full_until = now + min(MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S * 2 ** min(self._refusals, 8))
        self._refusals += 1

    def _record_unreachable(self, now: float, jitter: float) -> bool:
        pause = min(MAX_UNREACHABLE_PAUSE_S, UNREACHABLE_PAUSE_S * 2 ** min(self._connect_failures, 8))
        self._connect_failures += 1
        self._paused_until = now + pause
        return self._mark_suspect(now, jitter)

    def _mark_suspect(self, now: float, jitter: float) -> bool:
        is_new = not self.is_suspect
        if is_new or now >= self._trial_at:
            self._strikes += 1
        self.is_suspect = True
        self._good_trials = 0
        delay = FIRST_TRIAL_DELAY_S * 2 ** min(self._strikes - 1, MAX_TRIAL_DOUBLINGS)
        self._trial_at = now + delay * jitter
        return is_new

    def _check_response_timeout(self, now: float) -> None:
        if self.is_suspect or not self._sent:
            return
        oldest = next(iter(self._sent.values()))
        timeout_s = max(MIN_RESPONSE_TIMEOUT_S, TIMEOUT_MEAN_RUNS * (self.mean_run_s or INITIAL_RUN_S))
        if now - oldest > timeout_s and self.mean_run_s is not None:
            self._mark_suspect(now, 1.0)
