"""All decisions of one balancer: queueing, dispatch, health of workers and the worker list.

Settings, events and actions are defined in hollowusher/balancing/interface.py.

The normal path is the integral controller of Siqueira and Figueiredo (section 3 of their paper). Each worker
has its own controller, which computes a bundle size N from the readings of that worker. Every control period
t_d the timer of the worker fires, and the worker takes up to N jobs from the head of the shared queue.
docs/design.md lists each departure from the paper and when it applies.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_right, insort
from collections.abc import Callable
from dataclasses import replace

from hollowusher.balancing.attempt import Attempt
from hollowusher.balancing.interface import (
    FEW_BALANCERS,
    NS_PER_MS,
    Action,
    Arrival,
    BudgetSpent,
    Cancel,
    ClientGone,
    Discovery,
    Effect,
    Ended,
    Event,
    Fail,
    Group,
    JobClass,
    Limits,
    Listed,
    ListKind,
    Log,
    Outcome,
    Probe,
    Probed,
    Progress,
    Reading,
    Refuse,
    Send,
    Settings,
    SettingsChanged,
    Started,
    State,
    Streaming,
    Via,
    Wake,
    Watch,
    Woken,
    WorkerList,
)
from hollowusher.balancing.worker_speed import SlowdownEstimate

# C*: target busy share of a worker. The remaining 2 % absorb unexpected load from other balancers.
SET_POINT = 0.98
SAMPLE_NS = 500 * NS_PER_MS  # t_s: a worker whose last reading is older is probed when its timer fires
# Largest part of the service's worth that probes may cost. Together with the price of a probe it limits the
# number of probes for each request.
PROBE_COST_SHARE = 0.006
# Upper bound on probes for each request, and on outstanding probes for each waiting job.
MAX_PROBES_PER_REQUEST = 3.0
PROBE_BURST = 12.0  # number of requests for which a balancer may accumulate unused probe credit
PROBE_TIMEOUT_NS = 2_500 * NS_PER_MS  # timeout after which a probe without a result is sent again
WINDOW_NS = 500 * NS_PER_MS  # t_w: time in which a controller closes the gap to the set point
# t_d is the shortest aim divided by this, so that waiting for a timer takes only a small part of any aim.
PERIODS_PER_AIM = 16
# Longest time, in t_d, that a job may be expected to wait at the worker that receives it.
MAX_WAIT_PERIODS = 12
# The stretch of a class allows a job more time than one running time. The job may spend this share of the
# extra time waiting.
STRETCH_WAIT_SHARE = 0.6
EWMA_WEIGHT = 0.1  # weight of a new value in an exponentially weighted moving average
# Assumed age of the data in a reading when this balancer subtracts its own jobs from it.
READING_LAG_NS = 700 * NS_PER_MS
ASSUMED_WAITING_JOBS = 0.6  # jobs assumed to wait at a full worker whose readings omit the queue length
# A start delay that exceeds the shortest one by this much shows that the job waited at the worker.
START_DELAY_SLACK_NS = 20 * NS_PER_MS
# Factor on the estimated cost of a job while no job of its class has run yet.
UNKNOWN_CLASS_COST_FACTOR = 4.0
COLD_MARGIN = 0.6  # part of its share of a cold worker's budget that a balancer uses
# Delay before the first trial of a suspect worker. Each further suspicion doubles it, at most four times.
FIRST_TRIAL_DELAY_NS = 500 * NS_PER_MS
GOOD_TRIALS = 3  # consecutive successful trials after which a suspect worker receives bundles again
MAX_MISSED_UPDATES = 2.5  # missed progress updates after which a worker with running jobs counts as silent
# A worker counts as silent when a job has not started after this many mean running times, or after a third of
# the time limit for progress updates, whichever is shorter.
MAX_START_DELAY_RUNS = 6.0
# A job that has not started this long after the shortest start delay is copied to another worker.
COPY_DELAY_NS = 10 * NS_PER_MS
# A worker counts as full when a job has not started after this share of the shortest aim.
MAX_START_DELAY_SHARE = 0.5
# Upper bound on N as a multiple of the jobs that the worker can finish in t_d. With a higher bound a single
# reading of a full worker would reduce N to 0.
MAX_BUNDLE_RATIO = 2.0
# Jobs of credit that a worker keeps while it is full. Without them it would receive fewer than N jobs on
# average.
MIN_CREDIT_LIMIT = 3.0
# A job that has waited this share of its allowed wait becomes late and is served after the other jobs.
LATE_WAIT_SHARE = 0.65
CROWDED_PERIODS = 2  # a queue is crowded when its head has waited longer than this many t_d
ON_TIME_EWMA_WEIGHT = 0.02  # weight of one job in the on-time share of its class
# Limit on the timers served in one step: in a large fleet a timer is always due, and the CPU of a balancer is
# limited.
MAX_TIMERS_PER_STEP = 16
# Exponent that sets how strongly the class with the lowest on-time share is preferred.
WORST_CLASS_EXPONENT = 4
LOOK_AHEAD = 20  # number of queued jobs that a worker considers
# The final answer is due two ticks plus this before the deadline of the client.
FINAL_ANSWER_MARGIN_NS = 20 * NS_PER_MS
# The last byte of a repeat must be sent this long before its deduplication window ends.
WRITE_MARGIN_NS = 50 * NS_PER_MS


class IntegralController:
    """Integral controller of the bundle size of one worker.

    The paper defines the rule; here its gain is divided among the balancers, and unused credit is carried
    over.
    """

    def __init__(self, t_d: int, balancers: int) -> None:
        self.t_d, self.balancers = t_d, balancers
        self.bundle = 0.0  # N, jobs per t_d
        self.credit = MIN_CREDIT_LIMIT  # an initial credit lets jobs start before the first reading
        # Set when, since the last resize, a job used the credit or was held back because there was none.
        self.wanted = False

    def resize(self, busy: float, elapsed: int, t_p: float, ceiling: float, trusted: bool) -> None:
        """Apply equation 4 once for a new reading: compute it for all balancers (B·N) and divide by B.

        `busy` is the busy share of the worker, `elapsed` the time since the previous new reading in ns, `t_p`
        the time per job in ns and `ceiling` the largest bundle. The bundle of a worker that is not `trusted`
        does not grow.
        """
        t_d, balancer_count = self.t_d, self.balancers
        gain = (t_d + t_p * balancer_count * self.bundle) ** 2 / (t_p * t_d)
        step = elapsed / WINDOW_NS * gain * (SET_POINT - busy) / balancer_count
        # Anti-windup: without a limit N would grow while there is little load, and the next burst would flood
        # the worker. An unused bundle grows only to an even share of the jobs that the worker can finish, a
        # used bundle to `ceiling`, and the bundle of an untrusted worker does not grow.
        limit = ceiling if self.wanted else min(ceiling, t_d / t_p / balancer_count)
        limit = max(self.bundle, limit) if trusted else self.bundle
        self.bundle = max(0.0, min(limit, self.bundle + step))
        self.wanted = False

    def accrue_credit(self, times: int) -> None:
        """Add the bundles of `times` elapsed periods to the credit.

        Fractions carry over. The credit is limited to one bundle or to MIN_CREDIT_LIMIT, whichever is larger.
        """
        self.credit = min(max(MIN_CREDIT_LIMIT, self.bundle), self.credit + times * self.bundle)


class QueuedRequest:
    """A client request and its attempts."""

    def __init__(
        self, event: Arrival, cls: JobClass, limits: Limits, now: int, seq: int, elapsed_before: int
    ) -> None:
        # A request keeps its class and limits when the settings change.
        self.id, self.cls, self.limits = event.request, cls, limits
        # The client's wait began `elapsed_before` ns ago with its first try.
        self.arrived, self.seq = now - elapsed_before, seq
        self.deadline = now + event.left_ns
        self.hint, self.slots, self.memory = event.hint_ns, max(event.slots, 0.0), max(event.memory, 0.0)
        self.over_share = event.over_share
        self.attempts: list[Attempt] = []
        self.queued = self.late = self.closed = self.streaming = self.copied = False

    def may_have_run(self) -> list[Attempt]:
        """Return the attempts that ran, are outstanding, or ended without proof that they never ran."""
        return [a for a in self.attempts if a.outcome is None or not a.outcome.never_ran]

    def window_left(self, now: int) -> int | None:
        """Return how long, in ns, workers still drop a repeat of this request by its key.

        None means that no attempt can have had an effect or that repeats are safe; 0 means that a repeat is
        never dropped.
        """
        ran = self.may_have_run()
        if not ran or self.cls.effect is Effect.SAFE:
            return None
        return ran[0].sent + self.cls.window_ns - now if self.cls.effect is Effect.KEYED else 0

    def repeatable(self, worker: WorkerState, now: int) -> bool:
        """Return whether rule 2 allows sending the request to this worker now without a duplicate effect."""
        copy_allowed = self.limits.second_copies or not any(a.outcome is None for a in self.attempts)
        if len(self.attempts) >= self.limits.max_attempts or not copy_allowed:
            return False
        left = self.window_left(now)
        return left is None or (
            left > WRITE_MARGIN_NS
            and self.may_have_run()[0].worker.entry.shares_keys(worker.entry, self.cls.group)
        )

    def refusable(self, now: int) -> bool:
        """Return whether rule 2 allows a refusal, which states that the client may safely retry."""
        left = self.window_left(now)
        return left is None or (left > WRITE_MARGIN_NS and self.cls.group is Group.ALL)


class WorkerState:
    """State of one worker in this balancer: list entry, readings, own jobs, health and cold-start budget."""

    def __init__(self, entry: Listed, settings: Settings, t_d: int, due: int) -> None:
        self.id, self.entry, self.settings = entry.worker, entry, settings
        self.max_start_delay = round(MAX_START_DELAY_SHARE * min(c.aim_ns for c in settings.classes))
        # `due` is the time at which the timer of the worker fires next.
        self.controller, self.due = IntegralController(t_d, settings.balancers), due
        self.outstanding: dict[tuple[str, int], Attempt] = {}
        self.used_slots = self.used_memory = 0.0  # resources of this balancer's outstanding jobs
        self.running = 0.0  # slots of this balancer's started jobs
        # Moving average of `used_slots` that approximates what a reading contains, given the age of its data.
        self.lagged_used_slots = 0.0
        self.lagged_at = due
        self.max_free_slots = self.max_free_memory = self.other_slots = self.other_memory = 0.0
        # Time of the last update of `other_slots`; number of new readings.
        self.other_slots_at, self.reading_count = due, 0
        self.last_reading: Reading | None = None
        self.fresh_reading_at = due - WINDOW_NS  # arrival of the last new reading
        self.reading_at = due - SAMPLE_NS  # arrival of the last reading, new or repeated
        self.probe_sent_at = -PROBE_TIMEOUT_NS  # time of the last probe
        self.mean_runtime: float | None = None  # mean running time of this worker's jobs in ns
        self.slowdown_estimate = SlowdownEstimate()
        # Shortest delay seen between a send and its start notification.
        self.min_start_delay: int | None = None
        self.last_update_at = due  # time of the last update from a job, or of its successful end
        self.recent_sends: list[tuple[int, float]] = []  # (time, cost) of sends while the worker is cold
        self.suspect = self.unreachable = False  # unreachable: connections or probes failed
        # `next_trial_at` is the earliest time of the next trial job.
        self.suspicion_count = self.successful_trials = self.missed_probes = self.next_trial_at = 0

    def add_own_load(self, now: int, slots: float = 0.0, memory: float = 0.0) -> None:
        """Add resources of this balancer's jobs (negative when a job ends) and update the lagged average."""
        weight = 1.0 - math.exp(-max(0, now - self.lagged_at) / READING_LAG_NS)
        self.lagged_used_slots += weight * (self.used_slots - self.lagged_used_slots)
        self.lagged_at = now
        self.used_slots += slots
        self.used_memory += memory

    def apply_reading(self, reading: Reading, now: int, type_max_free: float) -> float | None:
        """Apply a reading and return the busy share if the reading is new, else None.

        A reading that equals the last one within two sample periods counts as a repeat. `type_max_free` is
        the largest number of free slots seen on workers of the same type.
        """
        self.reading_at = now
        if reading == self.last_reading and now - self.fresh_reading_at < 2 * SAMPLE_NS:
            return None
        self.last_reading = reading
        self.add_own_load(now)
        self.reading_count += 1
        # A small weight, because balancers that all follow each late reading would move their load in step.
        weight = max(EWMA_WEIGHT, 1.0 / self.reading_count)
        if reading.free_memory is not None:
            self.max_free_memory = max(self.max_free_memory, reading.free_memory)
            taken = max(0.0, self.max_free_memory - reading.free_memory)
            self.other_memory += weight * (taken - self.other_memory)
        if reading.free_slots is not None:
            self.max_free_slots = max(self.max_free_slots, reading.free_slots)
            # Without an assumed queue all balancers would keep sending to the full worker, and no reading
            # would show its long queue.
            assumed_waiting = ASSUMED_WAITING_JOBS if reading.free_slots < 0.5 else 0.0
            waiting = assumed_waiting if reading.waiting is None else reading.waiting
            taken = max(self.max_free_slots, type_max_free) - reading.free_slots + waiting
            taken = max(0.0, taken - self.lagged_used_slots)
            self.other_slots += weight * (taken - self.other_slots)
            self.other_slots_at = now
            return 1.0 - reading.free_slots / self.max_free_slots if self.max_free_slots > 0 else 1.0
        return reading.busy

    def advance_timer(self, now: int) -> None:
        """Add the bundles of all t_d timers that fired since the last call.

        If the worker never sends readings, the estimate of the slots used by other balancers is halved
        periodically.
        """
        if self.due <= now:
            times = (now - self.due) // self.controller.t_d + 1
            self.controller.accrue_credit(times)
            self.due += times * self.controller.t_d
        if self.last_reading is None and now - self.other_slots_at > PROBE_TIMEOUT_NS:
            self.other_slots, self.other_slots_at = self.other_slots / 2, now - PROBE_TIMEOUT_NS + SAMPLE_NS

    def is_start_overdue(self, now: int) -> bool:
        """Return whether a job should have started by now; the worker is then full, whatever it reports."""
        first = next((a for a in self.outstanding.values() if a.started is None), None)
        return (
            first is not None
            and now - first.sent > (self.min_start_delay or START_DELAY_SLACK_NS) + self.max_start_delay
        )

    def is_silent(self, now: int, runtime: float) -> bool:
        """Return whether the jobs have sent no update for too long; `runtime` is a mean running time, ns."""
        idle_time, update_timeout = (
            now - self.last_update_at,
            MAX_MISSED_UPDATES * (self.settings.progress_ns or math.inf),
        )
        if self.running > 0 and update_timeout < math.inf:
            return idle_time > update_timeout
        first = next((a for a in self.outstanding.values() if a.started is None), None)
        return first is not None and min(idle_time, now - first.sent) > min(
            MAX_START_DELAY_RUNS * runtime, update_timeout / 3
        )

    def slowdown(self, now: int) -> float:
        """Return the ratio of actual to expected running time of the worker's jobs."""
        return self.slowdown_estimate.current(now, self.outstanding.values())

    def record_runtime(self, runtime: float, expected: float) -> None:
        """Add the running time of a finished job to the mean and to the slowdown estimate."""
        self.mean_runtime = (
            runtime
            if self.mean_runtime is None
            else self.mean_runtime + EWMA_WEIGHT * (runtime - self.mean_runtime)
        )
        self.slowdown_estimate.add_finished_job(runtime / expected, self.running)

    def warmup_level(self, now: int) -> float:
        """Return the share of its full capacity that the worker has at least; below 1 while it is cold."""
        rules, age = self.settings.rules, max(0, now - self.entry.started_ns)
        if self.entry.started_ns == 0 or age >= rules.warm_after_ns:
            return 1.0
        return rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_after_ns

    def fits_cold_budget(
        self, now: int, cost: float, mean_cost: float, slots: float, turn_hit_rate: float = 1.0
    ) -> bool:
        """Return whether a job fits the budget of a cold worker (rule 4).

        All balancers together must not send more within any overload span than the cold worker can take.
        `cost` is the cost of this job, `mean_cost` that of an average job, and `turn_hit_rate` the
        probability that this balancer has a job when its turn comes.
        """
        rules, nodes = self.settings.rules, self.settings.balancers
        age, level = now - self.entry.started_ns, self.warmup_level(now)
        if level >= 1.0:
            self.recent_sends.clear()
            return True
        budget = COLD_MARGIN * rules.fall_multiple * level * max(1.0, slots) * rules.fall_span_ns
        if budget / nodes >= mean_cost:  # the share of each balancer holds at least one average job
            return (
                sum(c for t, c in self.recent_sends if t > now - rules.fall_span_ns) + cost <= budget / nodes
            )
        # Otherwise balancers take turns, because the share of one balancer is smaller than one job. A turn
        # lasts half a span and depends only on the worker's age, because each balancer learns different
        # costs. A span overlaps three turns. In a turn, `nodes_per_turn` balancers may send one job each; a
        # value below 1 (heavy jobs) means that only some turns admit a job. Turns that pass without a job are
        # compensated by more balancers per turn (`turn_hit_rate`), within the tolerance of the rule: N +
        # 3·sqrt(N) jobs.
        turn = age // max(1, rules.fall_span_ns // 2)
        nodes_per_turn = (
            budget
            * min(1 / turn_hit_rate, 1 + 3 * math.sqrt(COLD_MARGIN * mean_cost / budget))
            / 3
            / max(cost, mean_cost)
        )
        position = (self.settings.me + self.id + turn) % nodes
        is_own_turn = position < max(1.0, nodes_per_turn) and turn % math.ceil(1.0 / nodes_per_turn) == 0
        turn_used = any(
            t - self.entry.started_ns >= turn * (rules.fall_span_ns // 2) for t, _ in self.recent_sends
        )
        return is_own_turn and not turn_used and cost <= budget

    def mark_suspect(self, now: int, rng: random.Random) -> bool:
        """Mark the worker as suspect and schedule its next trial; return whether it was trusted before.

        A suspect worker receives no bundles, only single trial jobs. The delay of the trial grows with each
        suspicion.
        """
        new = not self.suspect
        if new or now >= self.next_trial_at:
            self.suspicion_count += 1
        self.suspect, self.successful_trials = True, 0
        wait = FIRST_TRIAL_DELAY_NS << min(self.suspicion_count - 1, 4)
        self.next_trial_at = now + round(wait * rng.uniform(0.8, 1.2))
        return new

    def record_success(self) -> bool:
        """Record a successful job and return whether it makes a suspect worker trusted again."""
        if not self.suspect:
            self.suspicion_count = 0
            return False
        self.successful_trials, self.next_trial_at, self.suspect = (
            self.successful_trials + 1,
            0,
            self.successful_trials + 1 < GOOD_TRIALS,
        )
        if not self.suspect:
            self.slowdown_estimate = SlowdownEstimate()
        return not self.suspect


class SendRules:
    """The rules that every send must satisfy, independent of any tuning.

    Rule 1: a request gets one final answer in time, and nothing is sent after it. Rule 2: no request takes
    effect twice. Rule 3: a draining or removed worker receives no new jobs, so the worker list must be
    current. Rule 4: a cold worker is not overloaded.
    """

    def __init__(self, settings: Settings, now: int) -> None:
        self.settings, self.started_at = settings, now
        # `list_current_at` is the latest time at which the held list is known to contain all published
        # changes. A call that times out does not advance it: the service may be up and may have published the
        # removal of workers.
        self.list_current_at, self.list_requested_at, self.list_valid_ns = (
            now,
            now,
            settings.list_calls.valid_ns,
        )
        # Probability that this balancer has a job when its turn at a cold worker comes.
        self.turn_hit_rate = 1.0
        self.watching = settings.discovery is Discovery.PUSH

    def record_list_event(self, now: int, kind: ListKind) -> None:
        """Update how current the held list is after an event of the list service."""
        if kind in (ListKind.FULL, ListKind.CHANGES):
            self.watching, self.list_current_at = True, now
        elif self.settings.discovery is Discovery.ASK:
            # A watch delivers all changes until it ends. A failed call shows that the service was unreachable
            # when the call was made, so it cannot have published a change until then.
            if kind is ListKind.FAILED:
                self.list_current_at = (
                    now if self.watching else max(self.list_current_at, self.list_requested_at)
                )
            self.watching = False

    def allows(
        self, request: QueuedRequest, worker: WorkerState, now: int, costs: tuple[float, float, float]
    ) -> bool:
        """Return whether the rules allow this send; `costs` is (job cost, mean cost, slots) for rule 4."""
        cannot_send = request.closed or request.streaming or now >= request.deadline
        if cannot_send or worker.entry.state is not State.READY:
            return False
        if not self.watching and now - self.list_current_at >= self.list_valid_ns:
            return False
        # An earlier process of this balancer may have sent jobs to the worker within the last span, and this
        # process has no record of them. Until a span has passed, such a worker receives jobs only when it is
        # warm.
        if (
            0 < worker.entry.started_ns < self.started_at
            and now - self.started_at < self.settings.rules.fall_span_ns
        ):
            return worker.warmup_level(now) >= 1.0 and request.repeatable(worker, now)
        return request.repeatable(worker, now) and worker.fits_cold_budget(now, *costs, self.turn_hit_rate)


class Balancer:
    """Queue, timers and dispatch of one balancer."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.rng, self.started_at, self.classes = random.Random(seed), now, dict[str, JobClass]()
        self.t_d = max(settings.tick_ns, min(c.aim_ns for c in settings.classes) // PERIODS_PER_AIM)
        self.send_rules = SendRules(settings, now)
        # Timers of the workers, with period t_d, as sorted (phase, worker) pairs.
        self.timer_ring: list[tuple[int, int]] = []
        # Time up to which worker timers have been served; number of timers served since the last send.
        self.timers_done_until, self.timers_without_send, self.seq = now, 0, 0
        # Cached result of `candidates` until the queue changes.
        self.candidate_cache: list[QueuedRequest] | None = None
        self.probe_credit = PROBE_BURST
        # Workers with an outstanding probe that a job waits for, and workers whose result came in this step.
        self.pending_probes, self.probed_workers = set[int](), list[WorkerState]()
        # Whether a job was queued in this step, and whether a check of the workers is scheduled.
        self.job_joined = self.check_scheduled = False
        self.workers, self.requests = dict[int, WorkerState](), dict[str, QueuedRequest]()
        # `late_queue` holds the requests that have waited most of their allowed time and are served last.
        self.queue, self.late_queue = list[QueuedRequest](), list[QueuedRequest]()
        # By class: mean running time and mean hint, in ns.
        self.mean_runtimes, self.mean_hints = dict[str, float](), dict[str, float]()
        # By class: share of jobs that were sent before they became late.
        self.on_time_share = dict[str, float]()
        self.arrival_counts = dict[str, int]()  # by class: number of arrivals plus one
        self.max_time_left = dict[str, int]()  # by class: largest remaining client time of any arrival, in ns
        # Most free slots seen on any worker of a type.
        self.max_free_by_type: dict[tuple[str, float], float] = {}
        # Median slowdown of the workers, at least 1. It exceeds 1 when a shared cause slows all of them.
        self.median_slowdown = 1.0
        # Slowdown at which a job of the most urgent class ends late even without waiting.
        self.max_slowdown = math.inf
        self.timers: list[tuple[int, int, Callable[[int], None], QueuedRequest | None]] = []
        self.wake_at: int | None = None
        self.actions: list[Action] = []
        self.apply_settings(settings)
        initial_delay = (
            round(self.list_timing.spread_ns * self.rng.random()) if self.list_timing.spread_ns else 0
        )
        self.watch_failures, self.watch_at = 0, now + initial_delay
        self.schedule(self.watch_at, self.request_watch)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; open requests keep the class and limits that they arrived with."""
        self.settings = self.send_rules.settings = settings
        classes_in_use = {r.cls.name: r.cls for r in self.requests.values()}
        self.classes = classes_in_use | {c.name: c for c in settings.classes}
        # Requests that must arrive to pay for one probe.
        self.probe_cost = max(1.0 / MAX_PROBES_PER_REQUEST, settings.prices.probe / PROBE_COST_SHARE)
        self.probes_enabled = settings.limits.probes and settings.readings is not Via.NONE
        # With few balancers each one has enough readings to choose a free worker. With many, the readings of
        # a balancer are too rare for that, so a second copy of a waiting job is worth its cost.
        limits, self.list_timing = settings.limits, settings.list_calls
        self.copies_enabled = limits.second_copies and limits.cancel and settings.balancers > FEW_BALANCERS
        self.on_time_share = dict.fromkeys(self.classes, 1.0) | self.on_time_share
        self.arrival_counts = dict.fromkeys(self.classes, 1) | self.arrival_counts
        self.max_time_left = dict.fromkeys(self.classes, 0) | self.max_time_left
        for worker in self.workers.values():
            worker.settings = settings

    def step(self, now: int, events: list[Event]) -> list[Action]:
        """Process events, run due timers and return the resulting actions; `now` is in ns."""
        self.actions, self.candidate_cache, self.probed_workers = [], None, []
        if self.wake_at is not None and now >= self.wake_at:
            self.wake_at = None
        if not self.queue and not self.late_queue:
            # With an empty queue there is nothing to serve for the timers due until now.
            self.timers_done_until = now
        for event in events:
            self.handle_event(now, event)
        while self.timers and self.timers[0][0] <= now:
            _, _, callback, request = heapq.heappop(self.timers)
            if request is None or not request.closed:
                callback(now)
        for worker in self.probed_workers:
            self.serve_worker(now, worker)
        self.offer_to_cold_workers(now)
        self.serve_timers(now)
        self.schedule_wake(now)
        return self.actions

    def schedule(
        self, when: int, callback: Callable[[int], None], request: QueuedRequest | None = None
    ) -> None:
        """Call `callback` at time `when`, unless it belongs to a request that is closed by then."""
        self.seq += 1
        heapq.heappush(self.timers, (when, self.seq, callback, request))

    def next_timer(self) -> tuple[int, WorkerState]:
        """Return the due time and the worker of the first t_d timer that has not been served."""
        turn, offset = divmod(self.timers_done_until, self.t_d)
        index = bisect_right(self.timer_ring, (offset, math.inf))
        if index == len(self.timer_ring):
            turn, index = turn + 1, 0
        phase, worker = self.timer_ring[index]
        return turn * self.t_d + phase, self.workers[worker]

    def is_idle(self) -> bool:
        """Return whether, in a large fleet, no worker has taken a job for two rounds of timers."""
        return len(self.timer_ring) > MAX_TIMERS_PER_STEP and self.timers_without_send >= 2 * len(
            self.timer_ring
        )

    def serve_timers(self, now: int) -> None:
        """Let the workers whose timers are due take jobs from the queue, in timer order."""
        if self.is_idle():
            # A round continues where the last step ended, so that every worker has its turn although a step
            # serves only some timers.
            self.timers_done_until += max(0, (now - self.timers_done_until) // self.t_d - 1) * self.t_d
        else:
            self.timers_done_until = max(self.timers_done_until, now - self.t_d)
        # No worker takes jobs: one timer per step saves CPU time.
        throttled = self.timers_without_send >= 2 * len(self.timer_ring) and not self.is_idle()
        for _ in range(min(1 if throttled else MAX_TIMERS_PER_STEP, len(self.timer_ring))):
            when, worker = self.next_timer()
            if when > now or not (self.queue or self.late_queue):
                break
            self.timers_done_until, self.timers_without_send = when, self.timers_without_send + 1
            self.serve_worker(now, worker)

    def offer_to_cold_workers(self, now: int) -> None:
        """Offer a newly queued job to the cold workers first if it is this balancer's turn there.

        With many balancers turns are short and most pass without a job, while the warm workers are crowded.
        """
        if self.job_joined and (self.queue or self.late_queue):
            for worker in self.workers.values():
                if worker.warmup_level(now) < 1.0 and not worker.suspect:
                    self.serve_worker(now, worker, skip_probe=True)
        self.job_joined = False

    def schedule_wake(self, now: int) -> None:
        """Request a wake-up for the next due timer."""
        while self.timers and self.timers[0][3] is not None and self.timers[0][3].closed:
            heapq.heappop(self.timers)
        due_times = [self.timers[0][0]] if self.timers else []
        if (self.queue or self.late_queue) and self.timer_ring:
            # In a large fleet a worker timer is always due, and a wake-up costs more CPU time than serving a
            # timer. While no worker takes a job, timers are therefore served in one batch per t_d.
            due_times.append(max(self.next_timer()[0], now + self.t_d if self.is_idle() else 0))
        when = max(min(due_times, default=now), now + 1)
        if due_times and (self.wake_at is None or when < self.wake_at):
            self.wake_at = when
            self.actions.append(Wake(when - now))

    def handle_event(self, now: int, event: Event) -> None:
        """Dispatch one event to its handler."""
        match event:
            case Arrival():
                self.handle_arrival(now, event)
            case Started() | Progress() | Streaming():
                self.handle_job_update(now, event)
            case Ended():
                self.handle_ended(now, event)
            case ClientGone(request_id):
                if request_id in self.requests:
                    self.close(self.requests[request_id])
            case WorkerList():
                self.update_worker_list(now, event)
            case Probed():
                self.handle_probe_result(now, event)
            case BudgetSpent():
                # As after a restart, this balancer may lack the record of earlier sends to cold workers.
                self.send_rules.started_at = now
            case SettingsChanged(settings):
                self.apply_settings(settings)
            case Woken():
                if self.wake_at is not None and self.wake_at - now <= self.settings.tick_ns:
                    # A coarse clock can wake the balancer slightly before `wake_at`. If the time stayed
                    # recorded, no new wake-up would be requested and the balancer would hang.
                    self.wake_at = None

    def handle_arrival(self, now: int, event: Arrival) -> None:
        """Add a new request to the queue and schedule its time limits."""
        cls = self.classes.get(event.job_class)
        if cls is None or event.request in self.requests:
            return
        self.seq += 1
        # The time that a client waits covers all of its tries. For a retry, the difference to the largest
        # remaining time of its class is taken as the time already spent on earlier tries.
        self.max_time_left[cls.name] = max(event.left_ns, self.max_time_left[cls.name])
        elapsed_before = self.max_time_left[cls.name] - event.left_ns if event.retry else 0
        request = QueuedRequest(event, cls, self.settings.limits, now, self.seq, elapsed_before)
        self.arrival_counts[cls.name] += 1
        rate = sum(self.arrival_counts.values()) / max(1, now - self.started_at)
        self.send_rules.turn_hit_rate = 1.0 - math.exp(-rate * self.settings.rules.fall_span_ns / 2)
        self.requests[request.id] = request
        if request.hint:
            mean = self.mean_hints.get(cls.name, float(request.hint))
            self.mean_hints[cls.name] = mean + EWMA_WEIGHT * (request.hint - mean)
        max_queue_wait = cls.aim_ns + STRETCH_WAIT_SHARE * max(
            0.0, cls.stretch - 1.0
        ) * self.expected_runtime(request)
        # Two control periods at least, so that every worker timer fires once before the job becomes late.
        late_at = request.arrived + max(2 * self.t_d, round(LATE_WAIT_SHARE * max_queue_wait))
        self.probe_credit = min(PROBE_BURST, self.probe_credit + 1.0)
        self.enqueue(request)
        self.schedule(late_at, lambda then: self.move_to_late_queue(then, request), request)
        # Refuse a job that can no longer be in time before any worker spends time on it.
        if cls.late_share <= 0:
            too_late_at = max(late_at, now + round(self.slack(now, request, 1.0)))
            self.schedule(
                too_late_at, lambda then: None if request.attempts else self.finish(then, request), request
            )
        answer_by = request.deadline - 2 * self.settings.tick_ns - FINAL_ANSWER_MARGIN_NS
        self.schedule(
            answer_by, lambda then: None if request.streaming else self.finish(then, request), request
        )

    def handle_job_update(self, now: int, event: Started | Progress | Streaming) -> None:
        """Process a start, progress or streaming update of a job."""
        worker = self.workers.get(event.worker)
        attempt = worker.outstanding.get((event.request, event.attempt)) if worker else None
        if worker is None or attempt is None:
            return
        worker.last_update_at = now
        self.mark_started(now, attempt)
        attempt.request.streaming |= isinstance(event, Streaming)

    def mark_started(self, now: int, attempt: Attempt) -> None:
        """Record that the worker of an attempt has started its job."""
        if attempt.started is None:
            attempt.started = now
            request = attempt.request
            # The first copy to start keeps the job; the other copies are cancelled before they start.
            if request.copied:
                self.dequeue(request)
                self.actions.extend(
                    Cancel(request.id, a.number)
                    for a in request.attempts
                    if a.outcome is None and a.started is None
                )
            worker, delay = attempt.worker, now - attempt.sent
            worker.min_start_delay = (
                delay if worker.min_start_delay is None else min(delay, worker.min_start_delay)
            )
            worker.running += attempt.request.slots
            if delay > worker.min_start_delay + START_DELAY_SLACK_NS:
                # The job had to wait at the worker, so all slots were taken until now.
                worker.other_slots, worker.other_slots_at = (
                    max(worker.other_slots, self.slot_count(worker) - worker.running),
                    now,
                )

    def handle_ended(self, now: int, event: Ended) -> None:
        """Process the end of an attempt: update the worker, then close, repeat or finish the request."""
        worker = self.workers.get(event.worker)
        attempt = worker.outstanding.pop((event.request, event.attempt), None) if worker else None
        if worker is None or attempt is None:
            return
        request, attempt.outcome = attempt.request, event.outcome
        worker.add_own_load(now, -request.slots, -request.memory)
        if attempt.started is not None:
            worker.running -= request.slots
        if event.reading is not None:
            self.handle_reading(now, worker, event.reading)
        if event.outcome is Outcome.OK:
            worker.last_update_at = now
            if attempt.started is not None:
                runtime = max(1.0, now - attempt.started)
                worker.record_runtime(runtime, attempt.expected)
                full_speed_runtime = runtime * worker.warmup_level(attempt.started)
                mean = self.mean_runtimes.get(request.cls.name, full_speed_runtime)
                self.mean_runtimes[request.cls.name] = mean + EWMA_WEIGHT * (full_speed_runtime - mean)
            if self.is_too_slow(now, worker):
                self.suspect_worker(now, worker, "crawling")
            elif worker.record_success():
                self.actions.append(Log(f"worker {worker.id} is trusted again"))
        elif event.outcome in (Outcome.ERROR, Outcome.RESET, Outcome.UNREACHABLE):
            worker.unreachable = event.outcome is Outcome.UNREACHABLE
            self.suspect_worker(now, worker, event.outcome.value)
        elif event.outcome is Outcome.FULL:
            worker.other_slots, worker.other_slots_at = (
                max(worker.other_slots, self.slot_count(worker) - worker.used_slots),
                now,
            )
            worker.controller.credit += 1.0
        if request.closed:
            return
        if event.final:
            self.close(request)
        elif not any(a.outcome is None for a in request.attempts):
            if any(request.repeatable(w, now) for w in self.workers.values()):
                self.enqueue(request)
                # When the window ends, no worker may receive the request any more.
                if (left := request.window_left(now)) is not None:
                    self.schedule(now + left, lambda then: self.expire(then, request), request)
            else:
                self.finish(now, request)

    def expected_runtime(self, request: QueuedRequest) -> float:
        """Return the expected running time of a request on an ordinary worker, in ns."""
        hint = self.mean_hints.get(request.cls.name)
        # A hint states work and not running time, so that a slowdown of all workers remains visible. Hints
        # are rough; the geometric mean with the class mean halves their deviation.
        return math.sqrt(hint * request.hint) if hint and request.hint else self.typical_runtime(request.cls)

    def slack(self, now: int, request: QueuedRequest, slowdown: float) -> float:
        """Return how long, in ns, a job can wait for a worker with this slowdown and still be in time."""
        runtime = self.expected_runtime(request)
        return request.arrived + request.cls.aim_ns + (request.cls.stretch - slowdown) * runtime - now

    def typical_runtime(self, cls: JobClass | None = None) -> float:
        """Return the mean running time of a class, or of all classes, in ns.

        Before any job has finished, half of the shortest aim is the estimate.
        """
        known = (
            [self.mean_runtimes[cls.name]]
            if cls and cls.name in self.mean_runtimes
            else list(self.mean_runtimes.values())
        )
        return sum(known) / len(known) if known else min(c.aim_ns for c in self.settings.classes) / 2

    def cost_factor(self, cls: JobClass) -> float:
        """Return the factor on the estimated cost of a job of this class."""
        return 1.0 if cls.name in self.mean_runtimes else UNKNOWN_CLASS_COST_FACTOR

    def enqueue(self, request: QueuedRequest) -> None:
        """Insert a request in order of arrival, regardless of earlier attempts."""
        if not request.queued and not request.closed:
            request.queued, self.candidate_cache, self.job_joined = True, None, True
            insort(self.late_queue if request.late else self.queue, request, key=lambda r: r.seq)

    def dequeue(self, request: QueuedRequest) -> None:
        """Remove a request from the queue."""
        if request.queued:
            request.queued, self.candidate_cache = False, None
            (self.late_queue if request.late else self.queue).remove(request)

    def move_to_late_queue(self, now: int, request: QueuedRequest) -> None:
        """Mark a request as late and queue it behind the others.

        If late jobs kept their place in an overload, all jobs would start too late.
        """
        queued = request.queued
        self.dequeue(request)
        request.late = True
        if queued:
            self.enqueue(request)
            self.on_time_share[request.cls.name] *= 1.0 - ON_TIME_EWMA_WEIGHT

    def close(self, request: QueuedRequest) -> None:
        """Close a request that has its final answer and cancel its outstanding attempts."""
        request.closed = True
        self.dequeue(request)
        self.requests.pop(request.id, None)
        if self.settings.limits.cancel and not request.streaming:
            self.actions.extend(Cancel(request.id, a.number) for a in request.attempts if a.outcome is None)

    def expire(self, now: int, request: QueuedRequest) -> None:
        """Finish a request whose deduplication window has ended if it has no outstanding attempt."""
        if not any(a.outcome is None for a in request.attempts):
            self.finish(now, request)

    def finish(self, now: int, request: QueuedRequest) -> None:
        """Answer a request that no worker has answered: refuse it if rule 2 allows that, else fail it."""
        self.actions.append(Refuse(request.id) if request.refusable(now) else Fail(request.id))
        self.close(request)

    def update_worker_list(self, now: int, event: WorkerList) -> None:
        """Apply a worker list, or schedule the next call when the list service failed."""
        had_watch = self.send_rules.watching
        if event.kind is not ListKind.CACHED:
            self.send_rules.record_list_event(now, event.kind)
        if event.kind in (ListKind.FAILED, ListKind.SILENT):
            if not self.send_rules.watching:
                max_delay = self.list_timing.wait_ns(self.watch_failures, had_watch)
                self.watch_failures += 1
                # Watches break all at once, so their retries are spread; calls fail one at a time.
                jitter = (0.0, 0.8) if had_watch else (0.5, 1.0)
                self.watch_at = now + round(max_delay * self.rng.uniform(*jitter))
                self.schedule(self.watch_at, self.request_watch)
            return
        if event.kind is not ListKind.CACHED:
            self.watch_failures = 0
        for entry in event.entries:
            worker = self.workers.get(entry.worker)
            if worker is None:
                due = now + self.rng.randrange(self.t_d)
                self.workers[entry.worker] = WorkerState(entry, self.settings, self.t_d, due)
                insort(self.timer_ring, (due % self.t_d, entry.worker))
            else:
                if not worker.entry.same_process(
                    entry.started_ns
                ):  # the suspicion concerned an earlier process
                    worker.suspect, worker.unreachable, worker.suspicion_count = False, False, 0
                worker.entry = entry
        if event.kind is not ListKind.CHANGES:
            listed_ids = {entry.worker for entry in event.entries}
            for worker in (w for w in self.workers.values() if w.id not in listed_ids):
                worker.entry = replace(worker.entry, state=State.GONE)

    def request_watch(self, now: int) -> None:
        """Request the worker list and its changes, and request them again if no answer arrives."""
        if self.send_rules.watching or now < self.watch_at:
            return
        self.send_rules.list_requested_at, self.watch_at = now, now + 2 * self.list_timing.timeout_ns
        self.schedule(self.watch_at, self.request_watch)
        self.actions.append(Watch())

    def slot_count(self, worker: WorkerState) -> float:
        """Return the assumed slots of a worker: the most free slots seen on it or on a worker of its type."""
        return max(1.0, self.max_free_by_type.get(self.worker_type(worker), 0.0), worker.max_free_slots)

    def worker_type(self, worker: WorkerState) -> tuple[str, float]:
        """Return the key under which workers share capacity data: the kind and, if it is reliable, the size.

        A size that follows the load would put each worker into a type of its own.
        """
        return worker.entry.kind, worker.entry.size if self.settings.reports_sizes else 1.0

    def check_workers(self, now: int) -> None:
        """Suspect silent and slow workers while jobs are outstanding, and schedule the next check."""
        slowdowns = sorted(
            w.slowdown(now) for w in self.workers.values() if w.outstanding or w.slowdown_estimate.jobs
        )
        self.median_slowdown = max(1.0, slowdowns[len(slowdowns) // 2]) if slowdowns else 1.0
        self.max_slowdown = min(c.stretch + c.aim_ns / self.typical_runtime(c) for c in self.settings.classes)
        busy = [w for w in self.workers.values() if w.outstanding]
        for worker in busy:
            silent = worker.is_silent(now, self.typical_runtime())
            if (silent or self.is_too_slow(now, worker)) and not (
                worker.suspect and now < worker.next_trial_at
            ):
                self.suspect_worker(now, worker, "silence" if silent else "crawling")
        self.check_scheduled = bool(busy)
        if busy:
            self.schedule(now + SAMPLE_NS, self.check_workers)

    def request_probe(self, now: int, worker: WorkerState, zone_allowed: bool) -> None:
        """Probe a worker if the probe budget allows it."""
        min_interval = PROBE_TIMEOUT_NS if worker.id in self.pending_probes else SAMPLE_NS
        if now - worker.probe_sent_at < min_interval or self.probe_credit < self.probe_cost:
            return
        # Workers in a zone that the head of the queue would not use are probed only with spare credit.
        has_spare_credit = self.probe_credit > PROBE_BURST / 2
        if (
            has_spare_credit
            if not zone_allowed
            else len(self.pending_probes) < MAX_PROBES_PER_REQUEST * (len(self.queue) + len(self.late_queue))
        ):
            self.probe_credit -= self.probe_cost
            worker.probe_sent_at = now
            if zone_allowed:
                self.pending_probes.add(worker.id)
            self.actions.append(Probe(worker.id))

    def handle_probe_result(self, now: int, event: Probed) -> None:
        """Process the result of a probe."""
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        self.pending_probes.discard(event.worker)
        self.probed_workers.append(worker)
        worker.missed_probes = 0 if event.ok else worker.missed_probes + 1
        if event.ok and worker.unreachable:
            # The worker is reachable again: allow a trial at once.
            worker.unreachable, worker.next_trial_at = False, now
        if event.reading is not None:
            self.handle_reading(now, worker, event.reading)
        if worker.missed_probes >= 2:
            worker.unreachable = True
            if not (worker.suspect and now < worker.next_trial_at):
                self.suspect_worker(now, worker, "unanswered probes")

    def handle_reading(self, now: int, worker: WorkerState, reading: Reading) -> None:
        """Apply a reading; a new one resizes the worker's bundle once."""
        worker_type = self.worker_type(worker)
        if reading.free_slots is not None:
            self.max_free_by_type[worker_type] = max(
                self.max_free_by_type.get(worker_type, 0.0), reading.free_slots
            )
        busy = worker.apply_reading(reading, now, self.max_free_by_type.get(worker_type, 0.0))
        if busy is not None:
            self.resize_bundle(now, worker, busy)

    def resize_bundle(self, now: int, worker: WorkerState, busy: float) -> None:
        """Run one step of the worker's controller."""
        elapsed, worker.fresh_reading_at = now - worker.fresh_reading_at, now
        worker.advance_timer(now)
        t_p, trusted = self.time_per_job(worker), not worker.suspect and not worker.is_start_overdue(now)
        max_bundle = min(self.slot_count(worker), MAX_BUNDLE_RATIO * self.t_d / t_p)
        worker.controller.resize(busy, elapsed, t_p, max_bundle, trusted)

    def time_per_job(self, worker: WorkerState) -> float:
        """Return t_p in ns: the mean running time on this worker divided by its slots.

        Before the worker has finished a job, the mean running time of all classes is used.
        """
        return max(1.0, (worker.mean_runtime or self.typical_runtime()) / self.slot_count(worker))

    def is_too_slow(self, now: int, worker: WorkerState) -> bool:
        """Return whether the worker's jobs end late even without waiting, which no slot reading shows."""
        return worker.slowdown(now) > self.median_slowdown * self.max_slowdown

    def suspect_worker(self, now: int, worker: WorkerState, reason: str) -> None:
        """Suspect a worker and queue its repeatable jobs for other workers."""
        if worker.mark_suspect(now, self.rng):
            self.actions.append(Log(f"worker {worker.id} is suspect: {reason}"))
        for attempt in worker.outstanding.values() if self.settings.limits.second_copies else ():
            if attempt.request.cls.effect is not Effect.UNSAFE:
                self.enqueue(attempt.request)

    def serve_worker(self, now: int, worker: WorkerState, skip_probe: bool = False) -> None:
        """Send jobs from the head of the queue to a worker, up to its credit.

        `skip_probe` sends without first waiting for a new reading.
        """
        if worker.entry.state is not State.READY or not (self.queue or self.late_queue):
            return
        worker.advance_timer(now)
        controller, slots, oldest = (
            worker.controller,
            self.slot_count(worker),
            (self.late_queue or self.queue)[0],
        )
        waited = now - oldest.arrived
        in_own_zone = worker.entry.zone == self.settings.zone
        # Whether the oldest waiting job may be sent to the worker's zone.
        zone_allowed = in_own_zone or waited >= self.own_zone_wait(oldest)
        if now - worker.reading_at >= SAMPLE_NS and not skip_probe:
            # Waiting jobs trigger probes: with periodic probes a large fleet would send more probes than
            # jobs. The job waits briefly for the result.
            if self.probes_enabled:
                self.request_probe(now, worker, zone_allowed)
                reading_expected = worker.id in self.pending_probes or self.probe_credit >= self.probe_cost
                # Results usually arrive within t_d; a longer wait would leave workers idle.
                if reading_expected and waited < self.t_d:
                    return
            elif self.settings.readings is Via.NONE:
                self.resize_bundle(now, worker, min(1.0, worker.used_slots * self.settings.balancers / slots))
        if not zone_allowed:
            return
        is_trial = worker.suspect
        # If most reachable workers are suspect, the cause is probably not in the workers; they then receive
        # jobs as usual.
        if is_trial and not worker.unreachable:
            ready = (w for w in self.workers.values() if w.entry.state is State.READY and not w.unreachable)
            is_trial = sum(1 if w.suspect else -1 for w in ready) <= 0
        if is_trial and (now < worker.next_trial_at or worker.outstanding):
            return
        if worker.outstanding and (
            worker.is_start_overdue(now) or worker.is_silent(now, self.typical_runtime())
        ):
            return
        if controller.credit < 1.0 and controller.wanted and not is_trial:
            return
        jobs, t_p, classes = self.candidates(now), self.time_per_job(worker), self.settings.classes
        mean_cost = sum(self.typical_runtime(c) * self.cost_factor(c) for c in classes) / len(classes)
        # `worker.slowdown` is relative to running times that allow for a cold worker. The division gives the
        # slowdown relative to a warm one.
        slowdown = worker.slowdown(now) / worker.warmup_level(now)
        # A trial may lose its job, so a repeatable job goes first, then the job with the lowest worth.
        if is_trial:
            jobs = sorted(jobs, key=lambda r: (r.cls.effect is Effect.UNSAFE, r.cls.worth))
        for request in jobs:
            if any(a.outcome is None and a.worker is worker for a in request.attempts) or (
                request.cls.kind and request.cls.kind != worker.entry.kind
            ):
                continue
            waited = now - request.arrived
            excess_slots = (
                worker.other_slots
                + worker.used_slots
                + request.slots
                - slots
                - (0.5 if request.late else 0.0)
            )
            if excess_slots > 0 and excess_slots * t_p > min(
                waited, request.cls.aim_ns - waited, MAX_WAIT_PERIODS * self.t_d
            ):
                # The jobs behind it are not sent either; otherwise the class with the longest aim would take
                # the capacity that the head of the queue was denied.
                return
            taken = worker.other_memory + worker.used_memory + request.memory
            if request.memory and worker.outstanding and taken > worker.max_free_memory > 0:
                continue
            if not in_own_zone and waited < self.own_zone_wait(request):
                continue
            if not request.late and not is_trial and self.slack(now, request, slowdown) < 0:
                continue  # The job would end late here; it waits for a faster worker or is refused.
            cost = self.expected_runtime(request) * request.slots * self.cost_factor(request.cls)
            if not self.send_rules.allows(request, worker, now, (cost, mean_cost, slots)):
                continue
            controller.wanted = True
            if is_trial or controller.credit >= 1.0:
                controller.credit = max(0.0, controller.credit - 1.0)
                self.send(now, worker, request, cost)
            if is_trial or controller.credit < 1.0:
                return

    def enqueue_copy(self, now: int, attempt: Attempt) -> None:
        """Queue a copy of a job that its worker has not started; the first copy to start keeps the job."""
        if attempt.started is None and attempt.outcome is None:
            attempt.request.copied = True
            self.enqueue(attempt.request)

    def candidates(self, now: int) -> list[QueuedRequest]:
        """Return the jobs to consider: the head of the queue, then late jobs with the newest first.

        A crowded queue is sorted by class priority, because some jobs will be late.
        """
        if self.candidate_cache is None:
            head = self.queue[:LOOK_AHEAD]
            if head and now - head[0].arrived > CROWDED_PERIODS * self.t_d:
                priorities, over_share_factor = self.class_priorities(), self.settings.over_share_worth
                head.sort(
                    key=lambda r: priorities[r.cls.name] * (over_share_factor if r.over_share else 1.0),
                    reverse=True,
                )
            self.candidate_cache = head + self.late_queue[:-LOOK_AHEAD:-1]
        return self.candidate_cache

    def class_priorities(self) -> dict[str, float]:
        """Return the priority of each class: the worth that its jobs yield per worker time.

        Classes with a low on-time share count more. The goal's weight for the worst class is added; it is
        divided by the work of the class, because a class with little work is cheap to help.
        """
        s, shares = self.settings, {name: max(EWMA_WEIGHT, self.on_time_share[name]) for name in self.classes}
        work = {n: self.arrival_counts[n] * self.typical_runtime(c) for n, c in self.classes.items()}
        rate = {
            n: c.worth / (1.0 if s.worth_by_work else self.typical_runtime(c))
            for n, c in self.classes.items()
        }
        worst = (
            s.goal.worst_class
            / s.goal.complete
            / sum(share**-WORST_CLASS_EXPONENT for share in shares.values())
        )
        mean = sum(work[name] * rate[name] for name in work) or 1.0
        return {
            n: rate[n] / mean / t**2 + worst * t**-WORST_CLASS_EXPONENT / work[n] for n, t in shares.items()
        }

    def own_zone_wait(self, request: QueuedRequest) -> float:
        """Return how long, in ns, a job waits for a worker in its own zone before it may cross zones.

        The wait is the price of a crossing, applied to the time within which the job must end.
        """
        cls = request.cls
        share = self.settings.prices.cross_zone / self.settings.goal.complete
        return share * (cls.aim_ns + cls.stretch * self.expected_runtime(request))

    def send(self, now: int, worker: WorkerState, request: QueuedRequest, cost: float) -> None:
        """Send a request to a worker as a new attempt; `cost` counts against the budget of a cold worker."""
        self.dequeue(request)
        self.timers_without_send, left = 0, request.window_left(now)
        if not request.attempts and not request.late:
            self.on_time_share[request.cls.name] += ON_TIME_EWMA_WEIGHT * (
                1.0 - self.on_time_share[request.cls.name]
            )
        attempt = Attempt(request, worker, now, self.expected_runtime(request) / worker.warmup_level(now))
        request.attempts.append(attempt)
        if not worker.outstanding:
            worker.last_update_at = now
        worker.outstanding[request.id, attempt.number] = attempt
        worker.add_own_load(now, request.slots, request.memory)
        worker.recent_sends.append((now, cost))
        if not self.check_scheduled:
            self.check_scheduled = True
            self.schedule(now + SAMPLE_NS, self.check_workers)
        if not self.settings.tells_start:
            self.mark_started(now, attempt)
        elif self.copies_enabled and request.cls.effect is not Effect.UNSAFE:
            soon = now + COPY_DELAY_NS + (worker.min_start_delay or 0)
            self.schedule(soon, lambda then: self.enqueue_copy(then, attempt), request)
        self.actions.append(Send(request.id, worker.id, 0, 0 if left is None else left - WRITE_MARGIN_NS))
