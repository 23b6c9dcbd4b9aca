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

from hollowusher.balancing.balancer import GOOD_TRIALS, LEARN, MOST_RATE, IntegralController
from hollowusher.delivery.outcome import Ending

NS_PER_S: Final = 1_000_000_000
TIMER_S: Final = 0.04  # t_d
FIRST_RUN_S: Final = 0.15  # running time of a job before one has been seen
GUESSED_SLOTS: Final = 8.0  # slots of an endpoint whose capacity nobody tells
LEAST_SLOTS: Final = 1.0
SHRINK_ON_TIMEOUT: Final = 0.7
GROWTH_PAUSE_S: Final = 2.0  # after a refusal an endpoint's guessed slots stay for so long
SLOW_TIMES: Final = 3.0  # answers this many times slower than the quickest mean seen: no growth
OVERLAP_S: Final = 0.06  # a job may wait so long in its worker, so that a freed slot has work at once
OVERLAP_MOST: Final = 2.0  # jobs that may wait there: workers queue only a few
COLD_SHARE: Final = 0.4  # part of its slots that a cold worker gets
REFUSAL_PAUSE_S: Final = 0.05  # doubled by each further refusal in a row
REFUSAL_PAUSE_MOST_S: Final = 0.8
UNREACHABLE_PAUSE_S: Final = 0.1  # doubled by each further failure to connect
UNREACHABLE_PAUSE_MOST_S: Final = 1.0
TRIAL_FIRST_S: Final = 0.5  # wait for a suspect worker's first trial, doubled by each further strike
TRIAL_DOUBLINGS: Final = 4
QUIET_TIMERS: Final = 4  # t_d without a look at it that make a spell quiet
LEAST_LOOK_S: Final = 0.001
SILENT_RUNS: Final = 6.0  # mean running times without an answer that make a worker suspect
SILENT_LEAST_S: Final = 1.0
FAILURES_IN_ROW: Final = 5  # failed attempts without a success between them that make a worker suspect


class WorkerControl:
    """One worker as its owner sees it."""

    def __init__(
        self, now: float, capacity: int | None = None, balancers: int = 1, phase: float = 0.0
    ) -> None:
        self._controller = IntegralController(round(TIMER_S * NS_PER_S), balancers)
        self._balancers = balancers
        self.capacity = capacity or 0  # what the list tells, 0: nothing
        self.slots = float(capacity or GUESSED_SLOTS)  # what its answers have shown of it
        self.most_slots = math.inf
        self.warm_at = 0.0
        self.suspect = False
        self.gone = False
        self.run_s: float | None = None
        self._quickest_run_s = math.inf
        self._due = now + phase * TIMER_S
        self._read_at = now
        self._hold_until = 0.0
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
    def out(self) -> int:
        """Own jobs at the worker."""
        return len(self._sent)

    @property
    def bundle(self) -> float:
        """N, the jobs that the worker earns each t_d."""
        return self._controller.bundle

    def busy_share(self) -> float:
        """The reading C: one minus free slots over the most free slots yet seen."""
        return min(1.0, self.out / self.slots)

    def told(self, capacity: int, warm_at: float) -> None:
        """Take what the platform's list says: its capacity (0: nothing), and until when it is slow."""
        if capacity > 0 and capacity != self.capacity:
            self.slots = float(capacity)
            self.capacity = capacity
        self.warm_at = warm_at

    def bounded(self, most: float) -> None:
        """Never more jobs out than `most` (the worker's connections)."""
        self.most_slots = max(LEAST_SLOTS, most)

    def shared(self, balancers: int) -> None:
        """How many dispatchers hand jobs to this worker: B of the gain."""
        self._balancers = self._controller.balancers = max(1, balancers)

    def usable_slots(self, now: float) -> float:
        """The slots that are worth filling now, with a few jobs of overlap."""
        slots = self.slots
        if now < self.warm_at:
            slots = max(LEAST_SLOTS, slots * COLD_SHARE)
        else:
            slots += self._overlap()
        return min(slots, self.most_slots)

    def _overlap(self) -> float:
        """Jobs that may wait in the worker's own queue: none before its running time is known."""
        return 0.0 if self.run_s is None else min(OVERLAP_MOST, self.slots, OVERLAP_S / self.time_per_job())

    def time_per_job(self) -> float:
        """t_p: its mean running time over its slots."""
        return max(1e-6, (self.run_s or FIRST_RUN_S) / self.slots)

    def room(self, now: float, isolate: bool = True) -> int:
        """How many more jobs it could have at once, whatever its bundle.  `isolate`: suspect workers only
        get trials; without it (most workers look bad, so the cause is not theirs) they count as well."""
        if self.gone or now < max(self._hold_until, self._full_until):
            return 0
        self._notice_silence(now)
        if self.suspect and isolate:
            return 1 if self._may_try(now) else 0
        return max(0, math.floor(self.usable_slots(now) + 0.5) - self.out)

    def allowed(self, now: float, isolate: bool = True) -> int:
        """How many jobs it may be handed now, asked while a job waits."""
        room = self.room(now, isolate)
        if room == 0 or (self.suspect and isolate):
            return room
        self._move_on(now)
        whole = int(self._controller.credit)
        if whole == 0:
            self._controller.wanted = True
            if self._may_try(now):
                return 1
        return min(room, whole)

    def _may_try(self, now: float) -> bool:
        """Whether a suspect worker is due a trial.  Its bundle does not grow while it is suspect: one that
        became so before it had earned any, and is not isolated, would else never be tried again."""
        return self.suspect and now >= self._trial_at and not self._sent

    def soon(self, now: float, isolate: bool = True) -> int:
        """How many jobs it may be handed within about two t_d: what is worth leasing for it now."""
        room = self.room(now, isolate)
        if room == 0:
            return 0
        self._move_on(now)
        return min(room, max(1, int(self._controller.credit + 2 * self._controller.bundle)))

    def next_look(self, now: float, isolate: bool = True) -> float:
        """When `allowed` may become greater by time alone; infinity: only an answer can make it so."""
        resumes = self.resumes_at(now, isolate)
        if resumes < math.inf or self.room(now, isolate=False) == 0:
            return resumes
        return max(self._due, now + LEAST_LOOK_S)

    def resumes_at(self, now: float, isolate: bool = True) -> float:
        """When its pause or its wait for a trial is over, infinity where neither is on."""
        paused = max(self._hold_until, self._full_until)
        if now < paused:
            return paused
        if self.suspect and isolate and now < self._trial_at and not self._sent:
            return self._trial_at
        return math.inf

    def handed(self, now: float, lease: str) -> None:
        """A job goes to it."""
        self._sent[lease] = now
        self._controller.credit = max(0.0, self._controller.credit - 1.0)
        self._controller.wanted = True

    def ended(self, now: float, lease: str, ending: Ending, jitter: float = 1.0) -> bool:
        """A job came back; True where the worker has become suspect."""
        began = self._sent.pop(lease, now)
        was_full = self.out + 1 >= self.slots
        if ending in (Ending.DONE, Ending.FAILED):
            self._answered(now, now - began, was_full)
        if ending is Ending.DONE:
            self._good()
        elif ending is Ending.FAILED:
            self._failures += 1
            return self._failures >= FAILURES_IN_ROW and self._strike(now, jitter)
        elif ending is Ending.FULL:
            self._refused(now)
        elif ending is Ending.RATE:
            self._hold_until = now + REFUSAL_PAUSE_S
        elif ending is Ending.UNREACHABLE:
            return self._unreachable(now, jitter)
        elif ending is Ending.GONE:
            self.gone = True
        elif ending is Ending.LOST:
            self._bound_seen = True
            if not self.capacity:
                self.slots = max(LEAST_SLOTS, self.slots * SHRINK_ON_TIMEOUT)
            return self._strike(now, jitter)
        return False

    def _move_on(self, now: float) -> None:
        """Where its t_d timer has fired since: take the reading, then earn the bundles that fell due."""
        if now < self._due:
            return
        times = int((now - self._due) / TIMER_S) + 1
        self._due += times * TIMER_S
        self._read(now)
        self._controller.earn(times)

    def _read(self, now: float) -> None:
        elapsed = round((now - self._read_at) * NS_PER_S)
        self._read_at = now
        if elapsed > QUIET_TIMERS * self._controller.t_d and not self._sent:
            self._controller.wanted = False  # used at the start of a quiet spell only: no reason to grow
        time_per_job = self.time_per_job() * NS_PER_S
        ceiling = max(1.0, MOST_RATE * self._controller.t_d / time_per_job)
        self._controller.resize(self.busy_share(), elapsed, time_per_job, ceiling, not self.suspect)

    def _answered(self, now: float, took: float, was_full: bool) -> None:
        self.run_s = took if self.run_s is None else self.run_s + LEARN * (took - self.run_s)
        self._quickest_run_s = min(self._quickest_run_s * (1.0 + LEARN / 10), self.run_s)
        self._connect_failures = 0
        quick = self.run_s <= SLOW_TIMES * self._quickest_run_s
        self._refusals = 0
        self._full_until = 0.0  # a slot is free now
        if was_full and quick and now >= self._grow_at:
            most = min(self.most_slots, self.capacity or math.inf)
            step = 1.0 / self.slots if self._bound_seen else 1.0  # doubles each running time at first
            self.slots = max(self.slots, min(most, self.slots + step))

    def _good(self) -> None:
        self._failures = 0
        if not self.suspect:
            self._strikes = 0
            return
        self._good_trials += 1
        self._trial_at = 0.0
        if self._good_trials >= GOOD_TRIALS:
            self.suspect = False

    def _refused(self, now: float) -> None:
        """Full: whatever else it runs, these jobs filled it."""
        self.slots = max(LEAST_SLOTS, min(self.slots, self.out - self._overlap()))
        self._grow_at = now + GROWTH_PAUSE_S
        self._bound_seen = True
        self._controller.credit = min(self._controller.credit, 1.0)
        self._full_until = now + min(REFUSAL_PAUSE_MOST_S, REFUSAL_PAUSE_S * 2 ** min(self._refusals, 8))
        self._refusals += 1

    def _unreachable(self, now: float, jitter: float) -> bool:
        pause = min(UNREACHABLE_PAUSE_MOST_S, UNREACHABLE_PAUSE_S * 2 ** min(self._connect_failures, 8))
        self._connect_failures += 1
        self._hold_until = now + pause
        return self._strike(now, jitter)

    def _strike(self, now: float, jitter: float) -> bool:
        new = not self.suspect
        if new or now >= self._trial_at:
            self._strikes += 1
        self.suspect = True
        self._good_trials = 0
        wait = TRIAL_FIRST_S * 2 ** min(self._strikes - 1, TRIAL_DOUBLINGS)
        self._trial_at = now + wait * jitter
        return new

    def _notice_silence(self, now: float) -> None:
        if self.suspect or not self._sent:
            return
        oldest = next(iter(self._sent.values()))
        usual = max(SILENT_LEAST_S, SILENT_RUNS * (self.run_s or FIRST_RUN_S))
        if now - oldest > usual and self.run_s is not None:
            self._strike(now, 1.0)
