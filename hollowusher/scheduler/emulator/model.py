"""A route node as a model: cores, slots, a queue served in order, warm-up, stalls, slowdowns, late load
reports.

Free of I/O, of the clock and of chance: the caller says what time it is (nanoseconds) and how much work a
job is (seconds of one standard core at full speed).  The same model runs behind sockets and in virtual
time.

Running jobs share the cores evenly: each goes on at `speed * min(1, cores / running)`, times the share of its
speed that a node has while it is cold, divided by a slowdown, and not at all in a stall.  All running jobs
are equally fast, so one sum of work done serves for all of them, and a job is over when the sum reaches its
mark."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

NS_PER_S = 1_000_000_000
_CLOSE = 1e-12  # seconds of work: less than this is rounding


@dataclass(frozen=True, slots=True)
class NodeKind:
    """A machine: cores, their speed (1 is a standard core), slots, and places in the queue."""

    cores: int = 2
    speed: float = 1.0
    slots: float = 2.0
    queue: int = 1_000
    cold_share: float = 0.12  # of its speed, just after a start
    warm_after_ns: int = 24 * NS_PER_S  # it rises evenly to the whole by then
    fall_multiple: float = 2.5  # sent more than this times what it can do, it falls over
    fall_span_ns: int = NS_PER_S  # for so long
    refresh_ns: int = NS_PER_S  # between two load reports; 0: every report is fresh
    report_late_ns: int = 0  # how old a report is when it is first told


class NodeEventKind(Enum):
    """What a node tells of a job."""

    STARTED = "started"
    DONE = "done"
    RETURNED = "returned"  # handed back unstarted
    LOST = "lost"  # it was killed while it ran or waited; it may have run


@dataclass(frozen=True, slots=True)
class NodeEvent:
    """One thing that happened to a job, and when."""

    what: NodeEventKind
    job: Hashable
    at: int


@dataclass(frozen=True, slots=True)
class Load:
    """A load report: `queue` requests wait, `util` of the cores was busy lately, `free` slots are left."""

    at: int
    queue: int
    util: float
    free: float


@dataclass(slots=True)
class _Work:
    job: Hashable
    work: float
    slots: float
    mark: float = 0.0  # the sum of work at which it is over


class NodeModel:
    """One node.  Each method that takes `now` first lets all happen that was due; `reported` has it."""

    def __init__(self, kind: NodeKind, now: int, cold: bool = False) -> None:
        self.kind = kind
        self._at = now
        self._started = now if cold else now - kind.warm_after_ns
        self._waiting: dict[Hashable, _Work] = {}
        self._running: dict[Hashable, _Work] = {}
        self._marks: list[tuple[float, int, Hashable]] = []  # sum of work at which a job is over
        self._sum = 0.0
        self._order = 0
        self._slots_used = 0.0
        self._slow = 1.0
        self._stalled_until = now
        self._sent: deque[tuple[int, float]] = deque()  # while cold: when, and how much work
        self._sent_work = 0.0
        self._busy = 0.0  # core-seconds since the last report
        self._refresh_at = now
        self._reports: deque[Load] = deque([Load(now, 0, 0.0, kind.slots)])
        self.draining = self.down = self.fell = False
        self.reported: list[NodeEvent] = []

    # --- what is asked of it

    def offer(self, now: int, job: Hashable, work: float, slots: float = 1.0) -> bool:
        """Send it a job; False where it turns it away: it drains, its queue is full, or it is down."""
        self.advance(now)
        if self.down or self.draining or len(self._waiting) >= self.kind.queue or slots > self.kind.slots:
            return False
        self._waiting[job] = _Work(job, work, slots)
        self._count_sent(now, work)
        if not self.down:
            self._start()
        return True

    def withdraw(self, now: int, job: Hashable) -> bool:
        """Nobody wants a job any more: its work stops.  Whether the node still had it."""
        self.advance(now)
        if self._waiting.pop(job, None) is None:
            running = self._running.pop(job, None)
            if running is None:
                return False
            self._slots_used -= running.slots  # its mark stays and finds nothing
        self._start()
        return True

    def load(self, now: int) -> Load:
        """The latest load report that is told by now."""
        self.advance(now)
        if self.kind.refresh_ns == 0:
            return self._look()
        while len(self._reports) > 1 and self._reports[1].at + self.kind.report_late_ns <= now:
            self._reports.popleft()
        return self._reports[0]

    def done_share(self, now: int, job: Hashable) -> float | None:
        """How much of a running job is done, from 0 to 1; None where it does not run, or the node stands."""
        self.advance(now)
        work = self._running.get(job)
        if work is None or now < self._stalled_until:
            return None
        return min(1.0, max(0.0, 1.0 - (work.mark - self._sum) / work.work))

    # --- what befalls it

    def stall(self, now: int, span_ns: int) -> None:
        """It stands still for a while."""
        self.advance(now)
        self._stalled_until = max(self._stalled_until, now + span_ns)

    def slow(self, now: int, times: float) -> None:
        """From now on its work takes so many times as long; 1: as usual."""
        self.advance(now)
        self._slow = times

    def drain(self, now: int) -> None:
        """It takes nothing more, hands back what waits and finishes what runs."""
        self.advance(now)
        self.draining = True
        for job in self._waiting:
            self.reported.append(NodeEvent(NodeEventKind.RETURNED, job, now))
        self._waiting.clear()

    def kill(self, now: int) -> None:
        """Its process ends: all that it had is lost."""
        self.advance(now)
        self._lose(now)

    def restart(self, now: int) -> None:
        """A new process, empty and cold."""
        self.advance(now)
        self._lose(now)
        self.down = self.draining = self.fell = False
        self._started = self._refresh_at = self._stalled_until = now
        self._slow, self._busy = 1.0, 0.0
        self._reports = deque([Load(now, 0, 0.0, self.kind.slots)])

    # --- time

    @property
    def running(self) -> int:
        """Jobs that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Jobs that wait."""
        return len(self._waiting)

    def warmth(self, at: int) -> float:
        """The share of its speed that it has: rising evenly from a cold start."""
        if (age := at - self._started) >= self.kind.warm_after_ns:
            return 1.0
        return self.kind.cold_share + (1.0 - self.kind.cold_share) * age / self.kind.warm_after_ns

    def next_ns(self) -> int | None:
        """When something happens next if nothing is asked; None: nothing will."""
        self._clear_marks()
        if self.down or not self._marks:
            return None
        return self._finish_at()

    def advance(self, now: int) -> None:
        """Let time pass: jobs end, others start, reports are made."""
        while self._at < now:
            self._clear_marks()
            due = now
            if self._marks and not self.down:
                due = min(due, self._finish_at())
            refresh = self.kind.refresh_ns
            if refresh and self._refresh_at <= due:
                due = max(self._at, self._refresh_at)
            self._pass(due)
            if refresh and self._refresh_at <= due:
                self._reports.append(self._look())
                self._refresh_at += refresh
                self._busy = 0.0
            self._end_due()
        self._end_due()

    # --- the inside

    def _rate(self) -> float:
        """Work a second of each running job, at full warmth."""
        running = len(self._running)
        return self.kind.speed * min(1.0, self.kind.cores / running) / self._slow if running else 0.0

    def _warm_span(self, since: int, until: int) -> float:
        """Seconds at full speed that the span is worth: the integral of the warmth over it."""
        ramp_end = min(max(self._started + self.kind.warm_after_ns, since), until)
        ramp = (self.warmth(since) + self.warmth(ramp_end)) / 2 * (ramp_end - since)
        return (ramp + (until - ramp_end)) / NS_PER_S

    def _warm_until(self, since: int, worth: float) -> int:
        """When a span that begins then is worth so many seconds at full speed; rounded up."""
        left = worth * NS_PER_S
        ramp_end = self._started + self.kind.warm_after_ns
        if since < ramp_end:
            complete = self._warm_span(since, ramp_end) * NS_PER_S
            if left < complete:
                first, rise = self.warmth(since), (1.0 - self.kind.cold_share) / self.kind.warm_after_ns
                return since + math.ceil((math.sqrt(first * first + 2 * rise * left) - first) / rise)
            left -= complete
            since = ramp_end
        return since + math.ceil(left)

    def _finish_at(self) -> int:
        since = max(self._at, self._stalled_until)
        left = max(0.0, self._marks[0][0] - self._sum)
        return self._warm_until(since, left / self._rate())

    def _pass(self, until: int) -> None:
        """Nothing begins or ends up to this moment: only the work goes on."""
        since = max(self._at, min(self._stalled_until, until))
        self._sum += self._rate() * self._warm_span(since, until)
        self._busy += min(len(self._running), self.kind.cores) * (until - self._at) / NS_PER_S
        self._at = until

    def _clear_marks(self) -> None:
        while self._marks and self._marks[0][2] not in self._running:
            heapq.heappop(self._marks)

    def _end_due(self) -> None:
        """End what has reached its mark.  Rounded-up times may pass it by a part of a nanosecond's work."""
        ended = False
        slack = _CLOSE + 2 * self._rate() / NS_PER_S
        while self._marks:
            mark, _, job = self._marks[0]
            if job in self._running and mark > self._sum + slack:
                break
            heapq.heappop(self._marks)
            if (work := self._running.pop(job, None)) is not None:
                self._slots_used -= work.slots
                self.reported.append(NodeEvent(NodeEventKind.DONE, job, self._at))
                ended = True
        if ended:
            self._start()

    def _start(self) -> None:
        """Start what waits, in order; the first waits until it fits."""
        while self._waiting and not self.down:
            work = next(iter(self._waiting.values()))
            if self._slots_used + work.slots > self.kind.slots + 1e-9:
                return
            del self._waiting[work.job]
            self._running[work.job] = work
            self._slots_used += work.slots
            self._order += 1
            work.mark = self._sum + work.work
            heapq.heappush(self._marks, (work.mark, self._order, work.job))
            self.reported.append(NodeEvent(NodeEventKind.STARTED, work.job, self._at))

    def _look(self) -> Load:
        span = max(1, self.kind.refresh_ns) / NS_PER_S
        util = min(1.0, self._busy / span / self.kind.cores)
        return Load(self._at, len(self._waiting), util, self.kind.slots - self._slots_used)

    def _count_sent(self, now: int, work: float) -> None:
        """A cold node that is sent too much for too long falls over and stays down.

        One job counts for no more than the node can do in the span: a lone heavy one takes long and tips
        nothing, while three of them within the span are more than 2.5 times that."""
        if self.warmth(now) >= 1.0:
            return
        can = self.kind.cores * self.kind.speed * self.warmth(now) * self.kind.fall_span_ns / NS_PER_S
        self._sent.append((now, min(work, can)))
        self._sent_work += min(work, can)
        while self._sent[0][0] <= now - self.kind.fall_span_ns:
            self._sent_work -= self._sent.popleft()[1]
        if self._sent_work > self.kind.fall_multiple * can:
            self.fell = True
            self._lose(now)

    def _lose(self, now: int) -> None:
        self.reported += [NodeEvent(NodeEventKind.LOST, job, now) for job in (*self._running, *self._waiting)]
        self._running.clear()
        self._waiting.clear()
        self._marks.clear()
        self._sent.clear()
        self._sent_work = self._slots_used = 0.0
        self.down = True
