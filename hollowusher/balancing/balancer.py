"""Every decision of a dispatcher, in one module.

Its types, events and actions: hollowusher/balancing/interface.py.

The ordinary path is the integral controller of Siqueira and Figueiredo (section 3 of their paper): one
controller for each worker sizes a bundle N from that worker's readings; every t_d the worker's own timer
takes up to N jobs from the head of the one queue.  docs/design.md lists each departure and when it acts.
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

SET_POINT = 0.98  # C*: the busy share each controller steers to; the rest is room for other nodes' surprises
SAMPLE_NS = 500 * NS_PER_MS  # t_s: a worker whose reading is older is asked by probe when its timer fires
PROBE_COST_SHARE = 0.006  # what probes may take off the result: at their price, so many for each request
MAX_PROBES_PER_REQUEST = 3.0  # and never more for each request, nor out at once for each job that waits
PROBE_BURST = 12.0  # requests whose probes a node may save up
PROBE_TIMEOUT_NS = 2_500 * NS_PER_MS  # a probe without a result is asked again after this
WINDOW_NS = 500 * NS_PER_MS  # t_w: the span in which a controller closes the gap to the set-point
PERIODS_PER_AIM = 16  # t_d is the shortest aim over this, so that waiting for a timer costs little of any aim
MAX_WAIT_PERIODS = 12  # t_d at most that a job may have to wait in the worker it is sent to
STRETCH_WAIT_SHARE = 0.6  # of what the stretch gives beyond a mean running time, so much may be spent waiting
EWMA_WEIGHT = 0.1  # weight of a new value in a mean
READING_LAG_NS = 700 * NS_PER_MS  # how old a reading's content is taken to be when own jobs are counted out
ASSUMED_WAITING_JOBS = 0.6  # jobs taken to wait in a full worker whose readings do not tell
START_DELAY_SLACK_NS = (
    20 * NS_PER_MS
)  # a start note this much after the quickest one shows that the job waited
UNKNOWN_CLASS_COST_FACTOR = 4.0  # times its guess that a job of a class that has not run yet may cost
COLD_MARGIN = 0.6  # the part of its share of a cold worker's budget that a node spends
FIRST_TRIAL_DELAY_NS = (
    500 * NS_PER_MS
)  # wait for a suspect worker's first trial; four strikes double it at most
GOOD_TRIALS = 3  # trials in a row that must succeed before a suspect worker gets bundles again
MAX_MISSED_UPDATES = 2.5  # progress notes that may be missing before a worker with running jobs is silent
MAX_START_DELAY_RUNS = (
    6.0  # mean running times, or a third of the above, that a job may sit unstarted without news
)
COPY_DELAY_NS = (
    10 * NS_PER_MS
)  # a job not begun this much after the quickest note waits, and a copy goes elsewhere
MAX_START_DELAY_SHARE = (
    0.5  # share of the shortest aim that a job may lie unstarted before its worker counts as full
)
MAX_BUNDLE_RATIO = (
    2.0  # N at most, in jobs that the worker can do in t_d: above it, one full reading takes all away
)
MIN_CREDIT_LIMIT = (
    3.0  # jobs of credit a worker keeps while it is full: without them, it gets less than N on average
)
LATE_WAIT_SHARE = 0.65  # a job that has waited this share of what it may is taken after those that have not
CROWDED_PERIODS = 2  # a queue whose head has waited this many t_d is crowded
ON_TIME_EWMA_WEIGHT = 0.02  # weight of one job in its class's share of jobs that start in time
MAX_TIMERS_PER_STEP = (
    16  # timers a step serves: in a large fleet one is always due, and a node's CPU is small
)
WORST_CLASS_EXPONENT = 4  # how sharply the class that is seldomest in time counts as the worst one
LOOK_AHEAD = 20  # queued jobs a worker looks at for one that it can take
FINAL_ANSWER_MARGIN_NS = (
    20 * NS_PER_MS
)  # the final answer leaves two ticks and this before the client gives up
WRITE_MARGIN_NS = 50 * NS_PER_MS  # how long before its window ends a repeat's last byte must have left


class IntegralController:
    """The paper's integral rule for one worker, its gain split among balancers, and the carried credit."""

    def __init__(self, t_d: int, balancers: int) -> None:
        self.t_d, self.balancers = t_d, balancers
        self.bundle = 0.0  # N, jobs each t_d
        self.credit = MIN_CREDIT_LIMIT  # so that jobs need not wait for the first reading after a start
        self.wanted = False  # since the last resize a job was left for want of credit, or the bundle was used

    def resize(self, busy: float, elapsed: int, t_p: float, ceiling: float, trusted: bool) -> None:
        """One step of equation 4, on B·N and divided by B, for one fresh reading."""
        t_d, share = self.t_d, self.balancers
        gain = (t_d + t_p * share * self.bundle) ** 2 / (t_p * t_d)
        step = elapsed / WINDOW_NS * gain * (SET_POINT - busy) / share
        # Anti-windup: in a quiet spell N would climb and the next burst would flood the worker.  Unused, N
        # grows to an even share of what it can finish; used, to what it could start; suspect, not at all.
        limit = ceiling if self.wanted else min(ceiling, t_d / t_p / share)
        limit = max(self.bundle, limit) if trusted else self.bundle
        self.bundle = max(0.0, min(limit, self.bundle + step))
        self.wanted = False

    def accrue_credit(self, times: int) -> None:
        """Each t_d the bundle falls due; fractions are carried, never more than a bundle or a few jobs."""
        self.credit = min(max(MIN_CREDIT_LIMIT, self.bundle), self.credit + times * self.bundle)


class QueuedRequest:
    """A client's request and what its attempts allow."""

    def __init__(self, event: Arrival, cls: JobClass, limits: Limits, now: int, seq: int, past: int) -> None:
        self.id, self.cls, self.limits = event.request, cls, limits  # it keeps both if settings change
        self.arrived, self.seq = now - past, seq
        self.deadline = now + event.left_ns
        self.hint, self.slots, self.memory = event.hint_ns, max(event.slots, 0.0), max(event.memory, 0.0)
        self.over_share = event.over_share
        self.attempts: list[Attempt] = []
        self.queued = self.late = self.closed = self.streaming = self.copied = False

    def may_have_run(self) -> list[Attempt]:
        """Attempts that did run, or are out, or ended without proof that they never ran."""
        return [a for a in self.attempts if a.outcome is None or not a.outcome.never_ran]

    def window_left(self, now: int) -> int | None:
        """How long a repeat of what may have run is still dropped by its key; None where none may have."""
        ran = self.may_have_run()
        if not ran or self.cls.effect is Effect.SAFE:
            return None
        return ran[0].sent + self.cls.window_ns - now if self.cls.effect is Effect.KEYED else 0

    def repeatable(self, worker: WorkerState, now: int) -> bool:
        """The one predicate of rule 2 for a send: would it be harmless on this worker, now?"""
        alone = self.limits.second_copies or not any(a.outcome is None for a in self.attempts)
        if len(self.attempts) >= self.limits.max_attempts or not alone:
            return False
        left = self.window_left(now)
        return left is None or (
            left > WRITE_MARGIN_NS
            and self.may_have_run()[0].worker.entry.shares_keys(worker.entry, self.cls.group)
        )

    def refusable(self, now: int) -> bool:
        """The one predicate of rule 2 for a refusal: may the client be told that trying again is harmless?"""
        left = self.window_left(now)
        return left is None or (left > WRITE_MARGIN_NS and self.cls.group is Group.ALL)


class WorkerState:
    """One worker as this node sees it: list state, readings, own jobs, health and cold budget."""

    def __init__(self, entry: Listed, settings: Settings, t_d: int, due: int) -> None:
        self.id, self.entry, self.settings = entry.worker, entry, settings
        self.max_start_delay = round(MAX_START_DELAY_SHARE * min(c.aim_ns for c in settings.classes))
        self.controller, self.due = IntegralController(t_d, settings.balancers), due
        self.outstanding: dict[tuple[str, int], Attempt] = {}
        self.used_slots = self.used_memory = 0.0  # own jobs out
        self.running = 0.0  # own slots of jobs started
        self.lagged_used_slots = 0.0  # own slots out as a reading, late as it is, would show them
        self.lagged_at = due
        self.max_free_slots = self.max_free_memory = self.other_slots = self.other_memory = 0.0
        self.other_slots_at, self.reading_count = due, 0  # when others was told last; fresh readings
        self.last_reading: Reading | None = None
        self.fresh_reading_at = due - WINDOW_NS  # when the last fresh reading came
        self.reading_at = due - SAMPLE_NS  # when the last reading came, fresh or a repeat
        self.probe_sent_at = -PROBE_TIMEOUT_NS  # when a probe was sent last
        self.mean_runtime: float | None = None  # mean running time of its jobs
        self.slowdown_estimate = SlowdownEstimate()
        self.min_start_delay: int | None = None  # the quickest start note seen
        self.last_update_at = due  # the latest sign of a job's life
        self.recent_sends: list[tuple[int, float]] = []  # when, and what they cost, while it is cold
        self.suspect = self.unreachable = False  # dead: it cannot be reached
        self.suspicion_count = self.successful_trials = self.missed_probes = self.next_trial_at = (
            0  # the last: when a trial may go
        )

    def add_own_load(self, now: int, slots: float = 0.0, memory: float = 0.0) -> None:
        """Count own jobs out, and keep the average that a reading, late as it is, has in it."""
        weight = 1.0 - math.exp(-max(0, now - self.lagged_at) / READING_LAG_NS)
        self.lagged_used_slots += weight * (self.used_slots - self.lagged_used_slots)
        self.lagged_at = now
        self.used_slots += slots
        self.used_memory += memory

    def apply_reading(self, reading: Reading, now: int, alike: float) -> float | None:
        """Take a reading; the busy share if it is fresh.  A repeat is the old reading seen again."""
        self.reading_at = now
        if reading == self.last_reading and now - self.fresh_reading_at < 2 * SAMPLE_NS:
            return None
        self.last_reading = reading
        self.add_own_load(now)
        self.reading_count += 1
        weight = max(EWMA_WEIGHT, 1.0 / self.reading_count)  # nodes that follow each late reading herd
        if reading.free_memory is not None:
            self.max_free_memory = max(self.max_free_memory, reading.free_memory)
            taken = max(0.0, self.max_free_memory - reading.free_memory)
            self.other_memory += weight * (taken - self.other_memory)
        if reading.free_slots is not None:
            self.max_free_slots = max(self.max_free_slots, reading.free_slots)
            untold = (
                ASSUMED_WAITING_JOBS if reading.free_slots < 0.5 else 0.0
            )  # else all nodes keep its queue long, unseen
            waiting = untold if reading.waiting is None else reading.waiting
            taken = max(self.max_free_slots, alike) - reading.free_slots + waiting
            taken = max(0.0, taken - self.lagged_used_slots)
            self.other_slots += weight * (taken - self.other_slots)
            self.other_slots_at = now
            return 1.0 - reading.free_slots / self.max_free_slots if self.max_free_slots > 0 else 1.0
        return reading.busy

    def advance_timer(self, now: int) -> None:
        """Each time its t_d timer fired the bundle fell due; where no reading ever tells, a guess fades."""
        if self.due <= now:
            times = (now - self.due) // self.controller.t_d + 1
            self.controller.accrue_credit(times)
            self.due += times * self.controller.t_d
        if self.last_reading is None and now - self.other_slots_at > PROBE_TIMEOUT_NS:
            self.other_slots, self.other_slots_at = self.other_slots / 2, now - PROBE_TIMEOUT_NS + SAMPLE_NS

    def is_start_overdue(self, now: int) -> bool:
        """Whether a job sent is overdue to start: the worker is full, whatever its reading says."""
        first = next((a for a in self.outstanding.values() if a.started is None), None)
        return (
            first is not None
            and now - first.sent > (self.min_start_delay or START_DELAY_SLACK_NS) + self.max_start_delay
        )

    def is_silent(self, now: int, run: float) -> bool:
        """Whether its jobs give no sign of life for longer than they should."""
        quiet, notes = now - self.last_update_at, MAX_MISSED_UPDATES * (self.settings.progress_ns or math.inf)
        if self.running > 0 and notes < math.inf:
            return quiet > notes
        first = next((a for a in self.outstanding.values() if a.started is None), None)
        return first is not None and min(quiet, now - first.sent) > min(MAX_START_DELAY_RUNS * run, notes / 3)

    def slowdown(self, now: int) -> float:
        """How many times the expected time its jobs take."""
        return self.slowdown_estimate.current(now, self.outstanding.values())

    def record_runtime(self, run: float, expected: float) -> None:
        """A job's running time enters the mean and the pace."""
        self.mean_runtime = (
            run if self.mean_runtime is None else self.mean_runtime + EWMA_WEIGHT * (run - self.mean_runtime)
        )
        self.slowdown_estimate.add_finished_job(run / expected, self.running)

    def warmup_level(self, now: int) -> float:
        """The least part of its full capacity that it has by now: a worker that has just started is cold."""
        rules, age = self.settings.rules, max(0, now - self.entry.started_ns)
        if self.entry.started_ns == 0 or age >= rules.warm_after_ns:
            return 1.0
        return rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_after_ns

    def fits_cold_budget(
        self, now: int, cost: float, unit: float, slots: float, turn_hit_rate: float = 1.0
    ) -> bool:
        """Rule 4: within any span all nodes together spend at most what a cold worker bears.  `cost` is what
        this job costs, `unit` what one does on average, `use` the chance that a turn finds a job here."""
        rules, nodes = self.settings.rules, self.settings.balancers
        age, level = now - self.entry.started_ns, self.warmup_level(now)
        if level >= 1.0:
            self.recent_sends.clear()
            return True
        bears = COLD_MARGIN * rules.fall_multiple * level * max(1.0, slots) * rules.fall_span_ns
        if bears / nodes >= unit:  # each has a share that some jobs fit in
            return (
                sum(c for t, c in self.recent_sends if t > now - rules.fall_span_ns) + cost <= bears / nodes
            )
        # Else nodes take turns of half a span by the worker's age alone (each learns its own costs); a span
        # touches three.  A turn is one job for each of as many nodes as it bears, for heavy jobs not each.
        # What passes unused (`use`) goes to more nodes, within the rule's room: 3 roots of N jobs beyond N.
        turn = age // max(1, rules.fall_span_ns // 2)
        many = (
            bears
            * min(1 / turn_hit_rate, 1 + 3 * math.sqrt(COLD_MARGIN * unit / bears))
            / 3
            / max(cost, unit)
        )
        place = (self.settings.me + self.id + turn) % nodes
        mine = place < max(1.0, many) and turn % math.ceil(1.0 / many) == 0
        used = any(
            t - self.entry.started_ns >= turn * (rules.fall_span_ns // 2) for t, _ in self.recent_sends
        )
        return mine and not used and cost <= bears

    def mark_suspect(self, now: int, rng: random.Random) -> bool:
        """Lose trust: no bundles, then a trial, later with each strike.  True where this is new."""
        new = not self.suspect
        if new or now >= self.next_trial_at:
            self.suspicion_count += 1
        self.suspect, self.successful_trials = True, 0
        wait = FIRST_TRIAL_DELAY_NS << min(self.suspicion_count - 1, 4)
        self.next_trial_at = now + round(wait * rng.uniform(0.8, 1.2))
        return new

    def record_success(self) -> bool:
        """A job went well; True where that restores trust."""
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
    """What every send must pass: the four rules and nothing of tuning."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.settings, self.started_at = settings, now
        # Until when the list held is known to be all that there was to tell.  A call without an answer shows
        # nothing: it may have reached the service, which may have told of nodes that are gone.
        self.list_current_at, self.list_requested_at, self.list_valid_ns = (
            now,
            now,
            settings.list_calls.valid_ns,
        )
        self.turn_hit_rate = 1.0  # the chance that a turn at a cold worker finds a job here
        self.watching = settings.discovery is Discovery.PUSH

    def record_list_event(self, now: int, kind: ListKind) -> None:
        """What the list's service has said, or failed to say."""
        if kind in (ListKind.FULL, ListKind.CHANGES):
            self.watching, self.list_current_at = True, now
        elif self.settings.discovery is Discovery.ASK:
            if kind is ListKind.FAILED:  # up to its end a watch has told all; a call met no service then
                self.list_current_at = (
                    now if self.watching else max(self.list_current_at, self.list_requested_at)
                )
            self.watching = False

    def allows(
        self, request: QueuedRequest, worker: WorkerState, now: int, costs: tuple[float, float, float]
    ) -> bool:
        """Whether this send keeps the rules."""
        over = request.closed or request.streaming or now >= request.deadline
        if over or worker.entry.state is not State.READY:
            return False
        if not self.watching and now - self.list_current_at >= self.list_valid_ns:
            return False
        # What a life before this one sent to a cold worker is forgotten, and lies within a span of it.
        if (
            0 < worker.entry.started_ns < self.started_at
            and now - self.started_at < self.settings.rules.fall_span_ns
        ):
            return worker.warmup_level(now) >= 1.0 and request.repeatable(worker, now)
        return request.repeatable(worker, now) and worker.fits_cold_budget(now, *costs, self.turn_hit_rate)


class Balancer:
    """The queue, the timers and the dispatch of one node."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.rng, self.started_at, self.classes = random.Random(seed), now, dict[str, JobClass]()
        self.t_d = max(settings.tick_ns, min(c.aim_ns for c in settings.classes) // PERIODS_PER_AIM)
        self.send_rules = SendRules(settings, now)
        self.timer_ring: list[tuple[int, int]] = []  # the workers' t_d timers: (phase, worker), in order
        self.timers_done_until, self.timers_without_send, self.seq = (
            now,
            0,
            0,
        )  # until when timers were served; then since a send
        self.candidate_cache: list[QueuedRequest] | None = None  # the candidates, until one leaves or joins
        self.probe_credit = PROBE_BURST
        self.pending_probes, self.probed_workers = (
            set[int](),
            list[WorkerState](),
        )  # whose readings jobs wait for, and have now
        self.job_joined = self.check_scheduled = (
            False  # whether a job joined in this step; a check of workers is due
        )
        self.workers, self.requests = dict[int, WorkerState](), dict[str, QueuedRequest]()
        self.queue, self.late_queue = (
            list[QueuedRequest](),
            list[QueuedRequest](),
        )  # late: waited too long to be in time
        self.mean_runtimes, self.mean_hints = (
            dict[str, float](),
            dict[str, float](),
        )  # a class's mean running time and hint
        self.on_time_share = dict[str, float]()  # by class: share of jobs started before they were late
        self.arrival_counts = dict[str, int]()  # by class: jobs that came, and one more
        self.max_time_left = dict[str, int]()  # by class: the most time that one of them had left
        self.max_free_by_type: dict[tuple[str, float], float] = {}  # most free slots seen on like workers
        self.median_slowdown = 1.0  # the median pace of the workers: above 1 when a shared cause slows all
        self.max_slowdown = math.inf  # the pace at which the most pressing class ends late without waiting
        self.timers: list[tuple[int, int, Callable[[int], None], QueuedRequest | None]] = []
        self.wake_at: int | None = None
        self.actions: list[Action] = []
        self.apply_settings(settings)
        first = round(self.list_timing.spread_ns * self.rng.random()) if self.list_timing.spread_ns else 0
        self.watch_failures, self.watch_at = 0, now + first
        self.schedule(self.watch_at, self.request_watch)

    def apply_settings(self, settings: Settings) -> None:
        """From now on these settings hold; open requests keep the class and limits that they came with."""
        self.settings = self.send_rules.settings = settings
        kept = {r.cls.name: r.cls for r in self.requests.values()}
        self.classes = kept | {c.name: c for c in settings.classes}
        self.probe_cost = max(
            1.0 / MAX_PROBES_PER_REQUEST, settings.prices.probe / PROBE_COST_SHARE
        )  # in requests
        self.probes_enabled = settings.limits.probes and settings.readings is not Via.NONE
        # Few schedulers have readings enough to choose by; of many, none knows which worker is free.
        limits, self.list_timing = settings.limits, settings.list_calls
        self.copies_enabled = limits.second_copies and limits.cancel and settings.balancers > FEW_BALANCERS
        self.on_time_share = dict.fromkeys(self.classes, 1.0) | self.on_time_share
        self.arrival_counts = dict.fromkeys(self.classes, 1) | self.arrival_counts
        self.max_time_left = dict.fromkeys(self.classes, 0) | self.max_time_left
        for worker in self.workers.values():
            worker.settings = settings

    def step(self, now: int, events: list[Event]) -> list[Action]:
        """Take what has come in, do what is due, and return what to do."""
        self.actions, self.candidate_cache, self.probed_workers = [], None, []
        if self.wake_at is not None and now >= self.wake_at:
            self.wake_at = None
        if not self.queue and not self.late_queue:
            self.timers_done_until = now  # timers that found no job
        for event in events:
            self.handle_event(now, event)
        while self.timers and self.timers[0][0] <= now:
            _, _, what, request = heapq.heappop(self.timers)
            if request is None or not request.closed:
                what(now)
        for worker in self.probed_workers:
            self.serve_worker(now, worker)
        self.offer_to_cold_workers(now)
        self.serve_timers(now)
        self.schedule_wake(now)
        return self.actions

    def schedule(self, when: int, what: Callable[[int], None], request: QueuedRequest | None = None) -> None:
        """Do something later; nothing, if it was for a request that is closed by then."""
        self.seq += 1
        heapq.heappush(self.timers, (when, self.seq, what, request))

    def next_timer(self) -> tuple[int, WorkerState]:
        """The first t_d timer after those served, and when it is due."""
        turn, offset = divmod(self.timers_done_until, self.t_d)
        index = bisect_right(self.timer_ring, (offset, math.inf))
        if index == len(self.timer_ring):
            turn, index = turn + 1, 0
        phase, worker = self.timer_ring[index]
        return turn * self.t_d + phase, self.workers[worker]

    def is_idle(self) -> bool:
        """Whether no worker of many has taken a job for two rounds."""
        return len(self.timer_ring) > MAX_TIMERS_PER_STEP and self.timers_without_send >= 2 * len(
            self.timer_ring
        )

    def serve_timers(self, now: int) -> None:
        """The workers whose timers are due take from the queue, in order."""
        if (
            self.is_idle()
        ):  # a round goes on where the last one stood: all have turns, however few a step serves
            self.timers_done_until += max(0, (now - self.timers_done_until) // self.t_d - 1) * self.t_d
        else:
            self.timers_done_until = max(self.timers_done_until, now - self.t_d)
        few = (
            self.timers_without_send >= 2 * len(self.timer_ring) and not self.is_idle()
        )  # none takes: spare the CPU
        for _ in range(min(1 if few else MAX_TIMERS_PER_STEP, len(self.timer_ring))):
            when, worker = self.next_timer()
            if when > now or not (self.queue or self.late_queue):
                break
            self.timers_done_until, self.timers_without_send = when, self.timers_without_send + 1
            self.serve_worker(now, worker)

    def offer_to_cold_workers(self, now: int) -> None:
        """A job that has just joined goes to a cold worker first, if it is this node's turn there: among many
        nodes turns are short and mostly pass without a job, while the warm workers are crowded."""
        if self.job_joined and (self.queue or self.late_queue):
            for worker in self.workers.values():
                if worker.warmup_level(now) < 1.0 and not worker.suspect:
                    self.serve_worker(now, worker, sure=True)
        self.job_joined = False

    def schedule_wake(self, now: int) -> None:
        """Ask to be woken for the next thing due."""
        while self.timers and self.timers[0][3] is not None and self.timers[0][3].closed:
            heapq.heappop(self.timers)
        whens = [self.timers[0][0]] if self.timers else []
        if (self.queue or self.late_queue) and self.timer_ring:
            # In a large fleet a timer is always due, and a wake costs more than it: while none takes a job, a
            # batch is served each t_d.
            whens.append(max(self.next_timer()[0], now + self.t_d if self.is_idle() else 0))
        when = max(min(whens, default=now), now + 1)
        if whens and (self.wake_at is None or when < self.wake_at):
            self.wake_at = when
            self.actions.append(Wake(when - now))

    def handle_event(self, now: int, event: Event) -> None:
        """One event."""
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
                self.send_rules.started_at = now  # as if this life began now
            case SettingsChanged(settings):
                self.apply_settings(settings)
            case Woken():
                if self.wake_at is not None and self.wake_at - now <= self.settings.tick_ns:
                    self.wake_at = None  # a coarse clock wakes early: to wait on for this wake is to hang

    def handle_arrival(self, now: int, event: Arrival) -> None:
        """A request joins the queue."""
        cls = self.classes.get(event.job_class)
        if cls is None or event.request in self.requests:
            return
        self.seq += 1
        # A client's time runs over all its tries: what a first one has left and this one has not, is past.
        self.max_time_left[cls.name] = max(event.left_ns, self.max_time_left[cls.name])
        past = self.max_time_left[cls.name] - event.left_ns if event.retry else 0
        request = QueuedRequest(event, cls, self.settings.limits, now, self.seq, past)
        self.arrival_counts[cls.name] += 1
        rate = sum(self.arrival_counts.values()) / max(1, now - self.started_at)
        self.send_rules.turn_hit_rate = 1.0 - math.exp(-rate * self.settings.rules.fall_span_ns / 2)
        self.requests[request.id] = request
        if request.hint:
            mean = self.mean_hints.get(cls.name, float(request.hint))
            self.mean_hints[cls.name] = mean + EWMA_WEIGHT * (request.hint - mean)
        may_wait = cls.aim_ns + STRETCH_WAIT_SHARE * max(0.0, cls.stretch - 1.0) * self.expected_runtime(
            request
        )
        late = request.arrived + max(
            2 * self.t_d, round(LATE_WAIT_SHARE * may_wait)
        )  # a round of timers first
        self.probe_credit = min(PROBE_BURST, self.probe_credit + 1.0)
        self.enqueue(request)
        self.schedule(late, lambda then: self.move_to_late_queue(then, request), request)
        if cls.late_share <= 0:  # refuse what can no longer be in time, before it costs any work
            hopeless = max(late, now + round(self.slack(now, request, 1.0)))
            self.schedule(
                hopeless, lambda then: None if request.attempts else self.finish(then, request), request
            )
        last = request.deadline - 2 * self.settings.tick_ns - FINAL_ANSWER_MARGIN_NS
        self.schedule(last, lambda then: None if request.streaming else self.finish(then, request), request)

    def handle_job_update(self, now: int, event: Started | Progress | Streaming) -> None:
        """A job shows a sign of life."""
        worker = self.workers.get(event.worker)
        attempt = worker.outstanding.get((event.request, event.attempt)) if worker else None
        if worker is None or attempt is None:
            return
        worker.last_update_at = now
        self.mark_started(now, attempt)
        attempt.request.streaming |= isinstance(event, Streaming)

    def mark_started(self, now: int, attempt: Attempt) -> None:
        """The job of an attempt runs from now on."""
        if attempt.started is None:
            attempt.started = now
            request = attempt.request
            if request.copied:  # the first to begin has the job, before another does any work on it
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
            if (
                delay > worker.min_start_delay + START_DELAY_SLACK_NS
            ):  # it had to wait, so just now all slots were taken
                worker.other_slots, worker.other_slots_at = (
                    max(worker.other_slots, self.slot_count(worker) - worker.running),
                    now,
                )

    def handle_ended(self, now: int, event: Ended) -> None:
        """An attempt is over: learn, judge the worker, and see what its request needs."""
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
                run = max(1.0, now - attempt.started)
                worker.record_runtime(run, attempt.expected)
                usual = run * worker.warmup_level(attempt.started)
                mean = self.mean_runtimes.get(request.cls.name, usual)
                self.mean_runtimes[request.cls.name] = mean + EWMA_WEIGHT * (usual - mean)
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
                if (left := request.window_left(now)) is not None:  # after it, it could go nowhere any more
                    self.schedule(now + left, lambda then: self.expire(then, request), request)
            else:
                self.finish(now, request)

    def expected_runtime(self, request: QueuedRequest) -> float:
        """The running time to expect."""
        hint = self.mean_hints.get(request.cls.name)
        # A hint is work, so by hints a pace shows when all are slow; they are rough: half-way to the mean.
        return math.sqrt(hint * request.hint) if hint and request.hint else self.typical_runtime(request.cls)

    def slack(self, now: int, request: QueuedRequest, pace: float) -> float:
        """How much longer a job could wait for a worker of this pace and still be in time."""
        run = self.expected_runtime(request)
        return request.arrived + request.cls.aim_ns + (request.cls.stretch - pace) * run - now

    def typical_runtime(self, cls: JobClass | None = None) -> float:
        """Mean running time of a class, or of all; before any is known, half the shortest aim stands in."""
        known = (
            [self.mean_runtimes[cls.name]]
            if cls and cls.name in self.mean_runtimes
            else list(self.mean_runtimes.values())
        )
        return sum(known) / len(known) if known else min(c.aim_ns for c in self.settings.classes) / 2

    def cost_factor(self, cls: JobClass) -> float:
        """How many times its guess a job of a class may cost."""
        return 1.0 if cls.name in self.mean_runtimes else UNKNOWN_CLASS_COST_FACTOR

    def enqueue(self, request: QueuedRequest) -> None:
        """Join the one queue, in order of arrival, whatever has been tried before."""
        if not request.queued and not request.closed:
            request.queued, self.candidate_cache, self.job_joined = True, None, True
            insort(self.late_queue if request.late else self.queue, request, key=lambda r: r.seq)

    def dequeue(self, request: QueuedRequest) -> None:
        """Leave the queue."""
        if request.queued:
            request.queued, self.candidate_cache = False, None
            (self.late_queue if request.late else self.queue).remove(request)

    def move_to_late_queue(self, now: int, request: QueuedRequest) -> None:
        """The job has waited much of its aim: behind all others, else in overload all start too late."""
        queued = request.queued
        self.dequeue(request)
        request.late = True
        if queued:
            self.enqueue(request)
            self.on_time_share[request.cls.name] *= 1.0 - ON_TIME_EWMA_WEIGHT

    def close(self, request: QueuedRequest) -> None:
        """The request has its final answer: nothing more is sent, what is still out is called off."""
        request.closed = True
        self.dequeue(request)
        self.requests.pop(request.id, None)
        if self.settings.limits.cancel and not request.streaming:
            self.actions.extend(Cancel(request.id, a.number) for a in request.attempts if a.outcome is None)

    def expire(self, now: int, request: QueuedRequest) -> None:
        """Its window is over: a request that no worker has is at its end."""
        if not any(a.outcome is None for a in request.attempts):
            self.finish(now, request)

    def finish(self, now: int, request: QueuedRequest) -> None:
        """The final answer where no worker gave one: refuse where that is allowed, else fail."""
        self.actions.append(Refuse(request.id) if request.refusable(now) else Fail(request.id))
        self.close(request)

    def update_worker_list(self, now: int, event: WorkerList) -> None:
        """Follow the list."""
        stood = self.send_rules.watching
        if event.kind is not ListKind.CACHED:
            self.send_rules.record_list_event(now, event.kind)
        if event.kind in (ListKind.FAILED, ListKind.SILENT):
            if not self.send_rules.watching:
                longest = self.list_timing.wait_ns(self.watch_failures, stood)
                self.watch_failures += 1
                part = (0.0, 0.8) if stood else (0.5, 1.0)  # watches break all at once, calls fail one by one
                self.watch_at = now + round(longest * self.rng.uniform(*part))
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
                if not worker.entry.same_process(entry.started_ns):  # what is held against it was another's
                    worker.suspect, worker.unreachable, worker.suspicion_count = False, False, 0
                worker.entry = entry
        if event.kind is not ListKind.CHANGES:
            named = {entry.worker for entry in event.entries}
            for worker in (w for w in self.workers.values() if w.id not in named):
                worker.entry = replace(worker.entry, state=State.GONE)

    def request_watch(self, now: int) -> None:
        """Ask for the list and its changes, and again where no answer comes."""
        if self.send_rules.watching or now < self.watch_at:
            return
        self.send_rules.list_requested_at, self.watch_at = now, now + 2 * self.list_timing.timeout_ns
        self.schedule(self.watch_at, self.request_watch)
        self.actions.append(Watch())

    def slot_count(self, worker: WorkerState) -> float:
        """The slots a worker is taken to have: the most free ones seen on it or on one like it."""
        return max(1.0, self.max_free_by_type.get(self.worker_type(worker), 0.0), worker.max_free_slots)

    def worker_type(self, worker: WorkerState) -> tuple[str, float]:
        """What workers of one build share.  A size that follows the load would make each one's its own."""
        return worker.entry.kind, worker.entry.size if self.settings.reports_sizes else 1.0

    def check_workers(self, now: int) -> None:
        """Notice silence and crawling, while jobs are out."""
        shown = sorted(
            w.slowdown(now) for w in self.workers.values() if w.outstanding or w.slowdown_estimate.jobs
        )
        self.median_slowdown = max(1.0, shown[len(shown) // 2]) if shown else 1.0
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

    def request_probe(self, now: int, worker: WorkerState, near: bool) -> None:
        """Ask for a reading, within the price of probes."""
        again = PROBE_TIMEOUT_NS if worker.id in self.pending_probes else SAMPLE_NS
        if now - worker.probe_sent_at < again or self.probe_credit < self.probe_cost:
            return
        spare = self.probe_credit > PROBE_BURST / 2  # else none for workers that the head would not take
        if (
            spare
            if not near
            else len(self.pending_probes) < MAX_PROBES_PER_REQUEST * (len(self.queue) + len(self.late_queue))
        ):
            self.probe_credit -= self.probe_cost
            worker.probe_sent_at = now
            if near:
                self.pending_probes.add(worker.id)
            self.actions.append(Probe(worker.id))

    def handle_probe_result(self, now: int, event: Probed) -> None:
        """A probe's result."""
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        self.pending_probes.discard(event.worker)
        self.probed_workers.append(worker)
        worker.missed_probes = 0 if event.ok else worker.missed_probes + 1
        if event.ok and worker.unreachable:
            worker.unreachable, worker.next_trial_at = False, now  # it is back: try it at once
        if event.reading is not None:
            self.handle_reading(now, worker, event.reading)
        if worker.missed_probes >= 2:
            worker.unreachable = True
            if not (worker.suspect and now < worker.next_trial_at):
                self.suspect_worker(now, worker, "unanswered probes")

    def handle_reading(self, now: int, worker: WorkerState, reading: Reading) -> None:
        """A fresh reading resizes the bundle once."""
        like = self.worker_type(worker)
        if reading.free_slots is not None:
            self.max_free_by_type[like] = max(self.max_free_by_type.get(like, 0.0), reading.free_slots)
        busy = worker.apply_reading(reading, now, self.max_free_by_type.get(like, 0.0))
        if busy is not None:
            self.resize_bundle(now, worker, busy)

    def resize_bundle(self, now: int, worker: WorkerState, busy: float) -> None:
        """One step of the worker's controller."""
        elapsed, worker.fresh_reading_at = now - worker.fresh_reading_at, now
        worker.advance_timer(now)
        t_p, trusted = self.time_per_job(worker), not worker.suspect and not worker.is_start_overdue(now)
        most = min(self.slot_count(worker), MAX_BUNDLE_RATIO * self.t_d / t_p)
        worker.controller.resize(busy, elapsed, t_p, most, trusted)

    def time_per_job(self, worker: WorkerState) -> float:
        """t_p: a worker's running time over its slots; the pooled mean until it has shown its own."""
        return max(1.0, (worker.mean_runtime or self.typical_runtime()) / self.slot_count(worker))

    def is_too_slow(self, now: int, worker: WorkerState) -> bool:
        """Whether its jobs end late even without waiting, which no reading of its slots tells."""
        return worker.slowdown(now) > self.median_slowdown * self.max_slowdown

    def suspect_worker(self, now: int, worker: WorkerState, why: str) -> None:
        """Suspect a worker; its jobs that may be repeated go back to the queue."""
        if worker.mark_suspect(now, self.rng):
            self.actions.append(Log(f"worker {worker.id} is suspect: {why}"))
        for attempt in worker.outstanding.values() if self.settings.limits.second_copies else ():
            if attempt.request.cls.effect is not Effect.UNSAFE:
                self.enqueue(attempt.request)

    def serve_worker(self, now: int, worker: WorkerState, sure: bool = False) -> None:
        """A worker's timer is due: it takes its bundle from the head of the queue.  `sure`: unasked."""
        if worker.entry.state is not State.READY or not (self.queue or self.late_queue):
            return
        worker.advance_timer(now)
        control, slots, oldest = (
            worker.controller,
            self.slot_count(worker),
            (self.late_queue or self.queue)[0],
        )
        waited = now - oldest.arrived
        home = worker.entry.zone == self.settings.zone
        near = home or waited >= self.own_zone_wait(oldest)  # whether a job that waits would go there
        if now - worker.reading_at >= SAMPLE_NS and not sure:
            # By the clock a large fleet would send more probes than jobs: so a job asks, and waits a bit.
            if self.probes_enabled:
                self.request_probe(now, worker, near)
                hope = worker.id in self.pending_probes or self.probe_credit >= self.probe_cost
                if hope and waited < self.t_d:  # a probe answers sooner; any longer, idle workers stand by
                    return
            elif self.settings.readings is Via.NONE:
                self.resize_bundle(now, worker, min(1.0, worker.used_slots * self.settings.balancers / slots))
        if not near:
            return
        trial = worker.suspect
        if trial and not worker.unreachable:  # where most look bad the cause is likely not theirs
            ready = (w for w in self.workers.values() if w.entry.state is State.READY and not w.unreachable)
            trial = sum(1 if w.suspect else -1 for w in ready) <= 0
        if trial and (now < worker.next_trial_at or worker.outstanding):
            return
        if worker.outstanding and (
            worker.is_start_overdue(now) or worker.is_silent(now, self.typical_runtime())
        ):
            return
        if control.credit < 1.0 and control.wanted and not trial:
            return
        jobs, t_p, classes = self.candidates(now), self.time_per_job(worker), self.settings.classes
        unit = sum(self.typical_runtime(c) * self.cost_factor(c) for c in classes) / len(classes)
        pace = worker.slowdown(now) / worker.warmup_level(
            now
        )  # a cold worker is slow, and not to blame for it
        if trial:  # a trial risks a job: rather one that may be repeated, or else the cheapest
            jobs = sorted(jobs, key=lambda r: (r.cls.effect is Effect.UNSAFE, r.cls.worth))
        for request in jobs:
            if any(a.outcome is None and a.worker is worker for a in request.attempts) or (
                request.cls.kind and request.cls.kind != worker.entry.kind
            ):
                continue
            waited = now - request.arrived
            over = (
                worker.other_slots
                + worker.used_slots
                + request.slots
                - slots
                - (0.5 if request.late else 0.0)
            )
            if over > 0 and over * t_p > min(
                waited, request.cls.aim_ns - waited, MAX_WAIT_PERIODS * self.t_d
            ):
                return  # nor for those behind it: else the patient class takes the room the head was denied
            taken = worker.other_memory + worker.used_memory + request.memory
            if request.memory and worker.outstanding and taken > worker.max_free_memory > 0:
                continue
            if not home and waited < self.own_zone_wait(request):
                continue
            if not request.late and not trial and self.slack(now, request, pace) < 0:
                continue  # here it would end late: rather wait for a faster worker, or be refused
            cost = self.expected_runtime(request) * request.slots * self.cost_factor(request.cls)
            if not self.send_rules.allows(request, worker, now, (cost, unit, slots)):
                continue
            control.wanted = True
            if trial or control.credit >= 1.0:
                control.credit = max(0.0, control.credit - 1.0)
                self.send(now, worker, request, cost)
            if trial or control.credit < 1.0:
                return

    def enqueue_copy(self, now: int, attempt: Attempt) -> None:
        """A job that waits in its worker goes to another as well: the first to begin has it."""
        if attempt.started is None and attempt.outcome is None:
            attempt.request.copied = True
            self.enqueue(attempt.request)

    def candidates(self, now: int) -> list[QueuedRequest]:
        """The head of the queue, by worth once crowded, as some must lose; then late jobs, newest first."""
        if self.candidate_cache is None:
            head = self.queue[:LOOK_AHEAD]
            if head and now - head[0].arrived > CROWDED_PERIODS * self.t_d:
                rates, part = self.class_priorities(), self.settings.over_share_worth
                head.sort(key=lambda r: rates[r.cls.name] * (part if r.over_share else 1.0), reverse=True)
            self.candidate_cache = head + self.late_queue[:-LOOK_AHEAD:-1]
        return self.candidate_cache

    def class_priorities(self) -> dict[str, float]:
        """What a class's jobs earn for a worker's time: its worth, more if it is seldom in time, and what the
        goal gives the worst class, which is cheap to help if it asks for little."""
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
        """How long a job waits for a worker of its own zone: the crossing's price in terms of its aim."""
        cls = request.cls
        share = self.settings.prices.cross_zone / self.settings.goal.complete
        return share * (cls.aim_ns + cls.stretch * self.expected_runtime(request))

    def send(self, now: int, worker: WorkerState, request: QueuedRequest, cost: float) -> None:
        """Start an attempt."""
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
