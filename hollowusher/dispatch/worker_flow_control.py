"""How many jobs one pushed worker may be handed now.  No I/O, no clock: times are seconds that only grow.

The ordinary path is the integral rule of `hollowusher.balancing.balancer.Controller`: a reading of the
worker's busy share (one minus its free slots over the most free slots yet seen, known here from the process's
own exchanges) resizes its bundle N, and every t_d the worker earns a bundle.  Around it stand limits that a
rule or an unknown capacity asks for: jobs out stay near the worker's slots, a refusal pauses it, an unhealthy
worker gets single trial jobs, a cold one gets less.
"""

from __future__ import annotations

import math
from typing import Final

from hollowusher.balancing.balancer import EWMA_WEIGHT, GOOD_TRIALS, MAX_BUNDLE_RATIO, IntegralController
from hollowusher.delivery.outcome import WorkerFeedback

NS_PER_S: Final = 1_000_000_000
CONTROL_PERIOD_S: Final = 0.04  # t_d
INITIAL_RUN_S: Final = 0.15  # running time of a job before one has been seen
INITIAL_SLOTS: Final = 8.0  # slots of an endpoint whose capacity nobody tells
MIN_SLOTS: Final = 1.0
SHRINK_ON_TIMEOUT: Final = 0.7
GROWTH_PAUSE_S: Final = 2.0  # after a refusal an endpoint's guessed slots stay for so long
SLOW_RUN_FACTOR: Final = 3.0  # answers this many times slower than the quickest mean seen: no growth
OVERLAP_S: Final = 0.06  # a job may wait so long in its worker, so that a freed slot has work at once
MAX_OVERLAP_JOBS: Final = 2.0  # jobs that may wait there: workers queue only a few
SLOW_START_SHARE: Final = 0.4  # part of its slots that a cold worker gets
REFUSAL_PAUSE_S: Final = 0.05  # doubled by each further refusal in a row
MAX_REFUSAL_PAUSE_S: Final = 0.8
UNREACHABLE_PAUSE_S: Final = 0.1  # doubled by each further failure to connect
MAX_UNREACHABLE_PAUSE_S: Final = 1.0
FIRST_TRIAL_DELAY_S: Final = 0.5  # wait for a suspect worker's first trial, doubled by each further strike
MAX_TRIAL_DOUBLINGS: Final = 4
QUIET_PERIODS: Final = 4  # t_d without a look at it that make a spell quiet
MIN_CHECK_DELAY_S: Final = 0.001
TIMEOUT_MEAN_RUNS: Final = 6.0  # mean running times without an answer that make a worker suspect
MIN_RESPONSE_TIMEOUT_S: Final = 1.0
MAX_CONSECUTIVE_FAILURES: Final = (
    5  # failed attempts without a success between them that make a worker suspect
)


class WorkerFlowControl:
    """One worker as its owner sees it."""

    def __init__(
        self, now: float, capacity: int | None = None, balancers: int = 1, phase: float = 0.0
    ) -> None:
        self._controller = IntegralController(round(CONTROL_PERIOD_S * NS_PER_S), balancers)
        self._balancers = balancers
        self.capacity = capacity or 0  # what the list tells, 0: nothing
        self.slots = float(capacity or INITIAL_SLOTS)  # what its answers have shown of it
        self.max_slots = math.inf
        self.slow_start_until = 0.0
        self.is_suspect = False
        self.is_gone = False
        self.mean_run_s: float | None = None
        self._fastest_mean_run_s = math.inf
        self._due = now + phase * CONTROL_PERIOD_S
        self._read_at = now
        self._paused_until = 0.0
        self._full_until = 0.0  # refused as full: until then, or until an answer shows that a slot is free
        self._bound_seen = False  # whether a refusal or a lost answer has bounded the slots
        self._grow_at = 0.0
        self._trial_at = 0.0
        self._strikes = 0
        self._good_trials = 0
        self._failures = 0
        self._connect_failures = 0
        self._refusals = 0  # in a row
        self._sent: dict[str, float] = {}  # jobs out, oldest first: when they were handed over

    @property
    def in_flight(self) -> int:
        """Own jobs at the worker."""
        return len(self._sent)

    @property
    def bundle(self) -> float:
        """N, the jobs that the worker earns each t_d."""
        return self._controller.bundle

    def busy_share(self) -> float:
        """The reading C: one minus free slots over the most free slots yet seen."""
        return min(1.0, self.in_flight / self.slots)

    def update_listing(self, capacity: int, slow_start_until: float) -> None:
        """Take what the platform's list says: its capacity (0: nothing), and until when it is slow."""
        if capacity > 0 and capacity != self.capacity:
            self.slots = float(capacity)
            self.capacity = capacity
        self.slow_start_until = slow_start_until

    def limit_slots(self, most: float) -> None:
        """Never more jobs out than `most` (the worker's connections)."""
        self.max_slots = max(MIN_SLOTS, most)

    def set_dispatcher_count(self, balancers: int) -> None:
        """How many dispatchers hand jobs to this worker: B of the gain."""
        self._balancers = self._controller.balancers = max(1, balancers)

    def usable_slots(self, now: float) -> float:
        """The slots that are worth filling now, with a few jobs of overlap."""
        slots = self.slots
        if now < self.slow_start_until:
            slots = max(MIN_SLOTS, slots * SLOW_START_SHARE)
        else:
            slots += self._overlap()
        return min(slots, self.max_slots)

    def _overlap(self) -> float:
        """Jobs that may wait in the worker's own queue: none before its running time is known."""
        return (
            0.0
            if self.mean_run_s is None
            else min(MAX_OVERLAP_JOBS, self.slots, OVERLAP_S / self.time_per_job())
        )

    def time_per_job(self) -> float:
        """t_p: its mean running time over its slots."""
        return max(1e-6, (self.mean_run_s or INITIAL_RUN_S) / self.slots)

    def free_slots(self, now: float, isolates_suspects: bool = True) -> int:
        """Return how many more jobs the worker could have at once, whatever its bundle.

        With `isolates_suspects` a suspect worker only gets trials; without it (most workers look bad, so the
        cause is not theirs) it is treated like the others.
        """
        if self.is_gone or now < max(self._paused_until, self._full_until):
            return 0
        self._check_response_timeout(now)
        if self.is_suspect and isolates_suspects:
            return 1 if self._is_trial_due(now) else 0
        return max(0, math.floor(self.usable_slots(now) + 0.5) - self.in_flight)

    def jobs_allowed(self, now: float, isolates_suspects: bool = True) -> int:
        """How many jobs it may be handed now, asked while a job waits."""
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
        """Whether a suspect worker is due a trial.  Its bundle does not grow while it is suspect: one that
        became so before it had earned any, and is not isolated, would else never be tried again."""
        return self.is_suspect and now >= self._trial_at and not self._sent

    def jobs_allowed_soon(self, now: float, isolates_suspects: bool = True) -> int:
        """How many jobs it may be handed within about two t_d: what is worth leasing for it now."""
        free_slots = self.free_slots(now, isolates_suspects)
        if free_slots == 0:
            return 0
        self._advance(now)
        return min(free_slots, max(1, int(self._controller.credit + 2 * self._controller.bundle)))

    def next_check_at(self, now: float, isolates_suspects: bool = True) -> float:
        """When `jobs_allowed` may become greater by time alone; infinity: only an answer can make it so."""
        resumes = self.resumes_at(now, isolates_suspects)
        if resumes < math.inf or self.free_slots(now, isolates_suspects=False) == 0:
            return resumes
        return max(self._due, now + MIN_CHECK_DELAY_S)

    def resumes_at(self, now: float, isolates_suspects: bool = True) -> float:
        """When its pause or its wait for a trial is over, infinity where neither is on."""
        paused = max(self._paused_until, self._full_until)
        if now < paused:
            return paused
        if self.is_suspect and isolates_suspects and now < self._trial_at and not self._sent:
            return self._trial_at
        return math.inf

    def record_sent(self, now: float, lease: str) -> None:
        """A job goes to it."""
        self._sent[lease] = now
        self._controller.credit = max(0.0, self._controller.credit - 1.0)
        self._controller.wanted = True

    def record_feedback(self, now: float, lease: str, feedback: WorkerFeedback, jitter: float = 1.0) -> bool:
        """A job came back; True where the worker has become suspect."""
        began = self._sent.pop(lease, now)
        was_full = self.in_flight + 1 >= self.slots
        if feedback in (WorkerFeedback.DONE, WorkerFeedback.FAILED):
            self._record_answer(now, now - began, was_full)
        if feedback is WorkerFeedback.DONE:
            self._record_success()
        elif feedback is WorkerFeedback.FAILED:
            self._failures += 1
            return self._failures >= MAX_CONSECUTIVE_FAILURES and self._strike(now, jitter)
        elif feedback is WorkerFeedback.FULL:
            self._record_refusal(now)
        elif feedback is WorkerFeedback.RATE:
            self._paused_until = now + REFUSAL_PAUSE_S
        elif feedback is WorkerFeedback.UNREACHABLE:
            return self._record_unreachable(now, jitter)
        elif feedback is WorkerFeedback.GONE:
            self.is_gone = True
        elif feedback is WorkerFeedback.LOST:
            self._bound_seen = True
            if not self.capacity:
                self.slots = max(MIN_SLOTS, self.slots * SHRINK_ON_TIMEOUT)
            return self._strike(now, jitter)
        return False

    def _advance(self, now: float) -> None:
        """Where its t_d timer has fired since: take the reading, then earn the bundles that fell due."""
        if now < self._due:
            return
        times = int((now - self._due) / CONTROL_PERIOD_S) + 1
        self._due += times * CONTROL_PERIOD_S
        self._take_reading(now)
        self._controller.accrue_credit(times)

    def _take_reading(self, now: float) -> None:
        elapsed = round((now - self._read_at) * NS_PER_S)
        self._read_at = now
        if elapsed > QUIET_PERIODS * self._controller.t_d and not self._sent:
            self._controller.wanted = False  # used at the start of a quiet spell only: no reason to grow
        time_per_job = self.time_per_job() * NS_PER_S
        ceiling = max(1.0, MAX_BUNDLE_RATIO * self._controller.t_d / time_per_job)
        self._controller.resize(self.busy_share(), elapsed, time_per_job, ceiling, not self.is_suspect)

    def _record_answer(self, now: float, took: float, was_full: bool) -> None:
        self.mean_run_s = (
            took if self.mean_run_s is None else self.mean_run_s + EWMA_WEIGHT * (took - self.mean_run_s)
        )
        self._fastest_mean_run_s = min(self._fastest_mean_run_s * (1.0 + EWMA_WEIGHT / 10), self.mean_run_s)
        self._connect_failures = 0
        quick = self.mean_run_s <= SLOW_RUN_FACTOR * self._fastest_mean_run_s
        self._refusals = 0
        self._full_until = 0.0  # a slot is free now
        if was_full and quick and now >= self._grow_at:
            most = min(self.max_slots, self.capacity or math.inf)
            step = 1.0 / self.slots if self._bound_seen else 1.0  # doubles each running time at first
            self.slots = max(self.slots, min(most, self.slots + step))

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
        """Full: whatever else it runs, these jobs filled it."""
        self.slots = max(MIN_SLOTS, min(self.slots, self.in_flight - self._overlap()))
        self._grow_at = now + GROWTH_PAUSE_S
        self._bound_seen = True
        self._controller.credit = min(self._controller.credit, 1.0)
        self._full_until = now + min(MAX_REFUSAL_PAUSE_S, REFUSAL_PAUSE_S * 2 ** min(self._refusals, 8))
        self._refusals += 1

    def _record_unreachable(self, now: float, jitter: float) -> bool:
        pause = min(MAX_UNREACHABLE_PAUSE_S, UNREACHABLE_PAUSE_S * 2 ** min(self._connect_failures, 8))
        self._connect_failures += 1
        self._paused_until = now + pause
        return self._strike(now, jitter)

    def _strike(self, now: float, jitter: float) -> bool:
        new = not self.is_suspect
        if new or now >= self._trial_at:
            self._strikes += 1
        self.is_suspect = True
        self._good_trials = 0
        wait = FIRST_TRIAL_DELAY_S * 2 ** min(self._strikes - 1, MAX_TRIAL_DOUBLINGS)
        self._trial_at = now + wait * jitter
        return new

    def _check_response_timeout(self, now: float) -> None:
        if self.is_suspect or not self._sent:
            return
        oldest = next(iter(self._sent.values()))
        usual = max(MIN_RESPONSE_TIMEOUT_S, TIMEOUT_MEAN_RUNS * (self.mean_run_s or INITIAL_RUN_S))
        if now - oldest > usual and self.mean_run_s is not None:
            self._strike(now, 1.0)
