"""A rehearsal in virtual time: the program's own desk and module, model nodes, one heap of things to come.

Nothing here sleeps or reads a clock: a run depends on its script and seed alone and is the same byte for
byte.  What takes time in the world (the network, the node list's lateness, a client's wait) is a delay on
the heap.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from hollowusher.balancing.interface import Effect, Listed, ListKind, Outcome, Reading, Settings, State
from hollowusher.scheduler.dispatch.dispatcher import JobDispatcher
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    AttemptProgress,
    AttemptStarted,
    CancelAttempt,
    ClientJob,
    ClientLeft,
    Dispatch,
    DispatchCommand,
    DispatchEvent,
    JobAnswerBody,
    JobAttempt,
    JobTaken,
    NodeListReceived,
    NodeProbed,
    OperatorNotice,
    ProbeNode,
    ReplyToClient,
    TimerExpired,
    Verdict,
    WakeDispatcher,
    WatchNodeList,
)
from hollowusher.scheduler.emulator.heap import Heap
from hollowusher.scheduler.emulator.model import NodeEvent, NodeEventKind, NodeKind, NodeModel
from hollowusher.scheduler.emulator.traffic import PlannedJob, streams

MS, NS_PER_S = 1_000_000, 1_000_000_000
COUNTS = ("jobs", "in_time", "late", "refused", "failed", "gone", "runs")
DRAIN_GRACE_NS = 250 * MS


@dataclass(slots=True)
class Net:
    """How long things take between the parts; each way is drawn evenly between the two (nanoseconds)."""

    way_ns: tuple[int, int] = (120_000, 280_000)
    connect_fails_ns: int = 1 * MS
    list_late_ns: tuple[int, int] = (1_400 * MS, 4_600 * MS)


@dataclass(eq=False, slots=True)
class Out:
    """An attempt as the fleet has it."""

    scheduler: VirtualScheduler
    attempt: JobAttempt
    name: str
    over: bool = False


class VirtualNode:
    """A model node on the heap, and what it saw."""

    def __init__(self, heap: Heap, number: int, kind: NodeKind, progress_ns: int, cold: bool = False) -> None:
        self.heap, self.number, self.progress_ns = heap, number, progress_ns
        self.model = NodeModel(kind, heap.now, cold)
        self.silent = False
        self.started_ns = heap.now if cold else 0
        self.runs: dict[str, int] = {}
        self.out: dict[Out, Out] = {}
        self._due: int | None = None

    def poke(self) -> None:
        """Pass on what has happened, and look again when the next thing does."""
        reported, self.model.reported = self.model.reported, []
        for each in reported:
            self._tell(each)
        due = self.model.next_ns()
        if due is not None and (self._due is None or due < self._due or self._due < self.heap.now):
            self._due = due
            self.heap.at(due, self._look)

    def _look(self) -> None:
        if self._due is not None and self._due <= self.heap.now:
            self._due = None
        self.model.advance(self.heap.now)
        self.poke()

    def reading(self) -> Reading:
        """The load report that goes with an answer."""
        load = self.model.load(self.heap.now)
        return Reading(free_slots=load.free, waiting=float(load.queue), busy=load.util)

    def _progress(self, out: Out) -> None:
        """Tell of a running job's progress each so often, as route nodes do."""

        def tell() -> None:
            if out not in self.out:
                return
            share = self.model.done_share(self.heap.now, out)
            self.poke()
            if share is not None and not self.silent:
                out.scheduler.hear(AttemptProgress(out.attempt, share))
            self.heap.after(self.progress_ns, tell)

        if self.progress_ns:
            self.heap.after(self.progress_ns, tell)

    def _tell(self, reported: NodeEvent) -> None:
        out = reported.job
        assert isinstance(out, Out)
        if reported.what is NodeEventKind.STARTED:
            self.runs[out.name] = self.runs.get(out.name, 0) + 1
        else:
            self.out.pop(out, None)
        if self.silent:
            return
        match reported.what:
            case NodeEventKind.STARTED:
                out.scheduler.hear(AttemptStarted(out.attempt))
                self._progress(out)
            case NodeEventKind.DONE:
                out.scheduler.ended(out, Outcome.OK, self.reading())
            case NodeEventKind.RETURNED:
                out.scheduler.ended(out, Outcome.FULL, self.reading())
            case NodeEventKind.LOST:
                out.scheduler.ended(out, Outcome.RESET)


class VirtualScheduler:
    """The program's desk, its orders carried out on the heap."""

    def __init__(self, rehearsal: Rehearsal, number: int, settings: Settings, seed: int) -> None:
        self.rehearsal, self.heap, self.number = rehearsal, rehearsal.heap, number
        self._dispatcher = JobDispatcher(settings, seed, self.heap.now)
        self._events: list[DispatchEvent] = []
        self._out: dict[JobAttempt, Out] = {}
        self._told_drain: dict[int, int] = {}
        self.remarks: list[tuple[int, str]] = []
        self.attempts: dict[str, int] = {}
        self.late_sends = 0
        entries = tuple(rehearsal.entry(n) for n in rehearsal.nodes.values())
        self.post(NodeListReceived(ListKind.CACHED, entries))

    def post(self, event: DispatchEvent) -> None:
        """Hand the desk an event; all that come at one instant make one batch."""
        if not self._events:
            self.heap.at(self.heap.now, self._step)
        self._events.append(event)

    def hear(self, event: DispatchEvent) -> None:
        """Something on its way to this scheduler."""
        self.heap.after(self.rehearsal.way(), lambda: self.post(event))

    def ended(self, out: Out, outcome: Outcome, reading: Reading | None = None) -> None:
        """News of an attempt's end is on its way; only the first that arrives counts."""
        self.heap.after(self.rehearsal.way(), lambda: self.over(out, outcome, reading))

    def reported(self, number: int, entry: Listed) -> None:
        """The node list's news has come."""
        if entry.state is not State.READY:
            self._told_drain.setdefault(number, self.heap.now)
        else:
            self._told_drain.pop(number, None)
        self.post(NodeListReceived(ListKind.CHANGES, (entry,)))

    def over(self, out: Out, outcome: Outcome, reading: Reading | None) -> None:
        """An attempt is over as this scheduler knows it."""
        if not out.over:
            out.over = True
            self._out.pop(out.attempt, None)
            self.post(AttemptEnded(out.attempt, outcome, reading, out.name.encode()))

    def _step(self) -> None:
        events, self._events = self._events, []
        for order in self._dispatcher.process(self.heap.now, events):
            self._carry_out(order)

    def _carry_out(self, order: DispatchCommand) -> None:
        if self.rehearsal.watcher is not None:
            self.rehearsal.watcher(self, order)
        match order:
            case Dispatch(attempt, job, timeout):
                self._dispatch(attempt, job, timeout)
            case CancelAttempt(attempt):
                if (out := self._out.get(attempt)) is not None:
                    self._give_up(out, Outcome.CANCELLED)
            case ReplyToClient(job, answer):
                job.answer_to(answer)
            case ProbeNode(number):
                self._probe(number)
            case WatchNodeList():
                self.hear(NodeListReceived(ListKind.CHANGES))
            case WakeDispatcher(span):
                self.heap.after(-(-span // MS) * MS, lambda: self.post(TimerExpired()))
            case OperatorNotice(text):
                self.remarks.append((self.heap.now, text))

    def _dispatch(self, attempt: JobAttempt, job: ClientJob, timeout: int) -> None:
        out = self._out[attempt] = Out(self, attempt, job.job_id)
        self.attempts[job.job_id] = self.attempts.get(job.job_id, 0) + 1
        if (reported := self._told_drain.get(attempt.node)) is not None:
            # As the roster does: what the desk ordered a moment before the news stops at its first byte.
            self.late_sends += self.heap.now > reported + DRAIN_GRACE_NS
            self.over(out, Outcome.NOT_SENT, None)
            return
        left = job.deadline_ns - self.heap.now
        if timeout > 0:
            left = min(left, timeout)
        self.heap.after(max(0, left), lambda: self._give_up(out, Outcome.TIMEOUT))
        self.heap.after(self.rehearsal.way(), lambda: self.rehearsal.arrive(out))

    def _give_up(self, out: Out, outcome: Outcome) -> None:
        if not out.over:
            self.over(out, outcome, None)
            self.heap.after(self.rehearsal.way(), lambda: self.rehearsal.withdraw(out))

    def _probe(self, number: int) -> None:
        node = self.rehearsal.nodes.get(number)
        if node is None or node.silent or node.model.down:
            self.heap.after(500 * MS, lambda: self.post(NodeProbed(number, False)))
            return
        self.heap.after(self.rehearsal.way(), lambda: self.hear(NodeProbed(number, True, node.reading())))


@dataclass(slots=True)
class JobResult:
    """What became of one job that a client wanted, over all its tries."""

    wanted: PlannedJob
    tries: int = 0
    answers: int = 0
    verdict: Verdict | None = None
    took_ns: int = 0
    gone: bool = False
    late_answers: int = 0  # tries whose answer came after their budget, or never


@dataclass(slots=True)
class Report:
    """A run's figures."""

    jobs: int = 0
    worth: float = 0.0
    worth_asked: float = 0.0
    by_class: dict[str, dict[str, int]] = field(default_factory=dict)
    second_runs: int = 0  # of classes that must not run twice
    late_sends: int = 0
    fallen: int = 0
    unanswered: int = 0
    suspicions: int = 0
    worst_10_s: float = 1.0

    @property
    def share(self) -> float:
        """Worth answered in time over worth asked for."""
        return self.worth / self.worth_asked if self.worth_asked else 1.0


class Rehearsal:
    """A fleet, schedulers and clients on one heap."""

    def __init__(
        self,
        settings: Settings,
        kinds: Sequence[NodeKind],
        schedulers: int,
        seed: int,
        net: Net | None = None,
    ) -> None:
        self.heap, self.settings, self.net = Heap(), settings, net or Net()
        self.heap.now = NS_PER_S
        self._chance = streams(seed, "net", "list", "modules")
        self._ways: Iterator[int] = iter(())
        self.nodes = {
            n + 1: VirtualNode(self.heap, n + 1, kind, settings.progress_ns) for n, kind in enumerate(kinds)
        }
        self.states: dict[int, State] = {}
        self._classes = {c.name: c for c in settings.classes}
        self.unsafe = {c.name for c in settings.classes if c.effect is Effect.UNSAFE}
        self.results: list[JobResult] = []
        self._work: dict[str, float] = {}
        self.watcher: Callable[[VirtualScheduler, DispatchCommand], None] | None = (
            None  # sees all orders of all
        )
        self.schedulers = [
            VirtualScheduler(self, n, replace(settings, me=n % settings.balancers), int(seed))
            for n, seed in enumerate(self._chance["modules"].integers(2**31, size=schedulers))
        ]

    def way(self) -> int:
        """How long one message takes."""
        value = next(self._ways, None)
        if value is None:  # drawn in blocks: one at a time costs more than the rest of a message
            self._ways = iter(self._chance["net"].integers(*self.net.way_ns, size=4096).tolist())
            value = next(self._ways)
        return value

    def entry(self, node: VirtualNode) -> Listed:
        """A node as the list has it."""
        state = self.states.get(node.number, State.READY)
        return Listed(node.number, "a", "k", state=state, started_ns=node.started_ns)

    # --- messages to nodes

    def arrive(self, out: Out) -> None:
        """An attempt's request has come to its node."""
        node = self.nodes[out.attempt.node]
        if out.over:
            return
        if node.model.down:
            self.heap.after(
                self.net.connect_fails_ns, lambda: out.scheduler.over(out, Outcome.UNREACHABLE, None)
            )
        elif node.model.offer(self.heap.now, out, self._work[out.name]):
            node.out[out] = out
        elif not node.silent:
            out.scheduler.ended(out, Outcome.FULL, node.reading())
        node.poke()

    def withdraw(self, out: Out) -> None:
        """An attempt's withdrawal has come to its node."""
        node = self.nodes[out.attempt.node]
        node.model.withdraw(self.heap.now, out)
        node.out.pop(out, None)
        node.poke()

    # --- what befalls the fleet

    def list_says(self, number: int, state: State) -> None:
        """The list takes up a node's state, and each scheduler hears of it some seconds late."""
        self.states[number] = state
        entry = self.entry(self.nodes[number])
        for scheduler in self.schedulers:
            late = int(self._chance["list"].integers(*self.net.list_late_ns))
            self.heap.after(late, partial(scheduler.reported, number, entry))

    def befall(self, at_s: float, numbers: Sequence[int], what: Callable[[VirtualNode], None]) -> None:
        """Have something happen to some nodes at a time of the run."""

        def happen() -> None:
            for number in numbers:
                what(self.nodes[number])
                self.nodes[number].poke()

        self.heap.at(self.start_ns + round(at_s * NS_PER_S), happen)

    # --- clients

    start_ns = 2 * NS_PER_S  # the schedulers have had a second to look round

    def ask_for(self, jobs: Sequence[PlannedJob]) -> None:
        """Have these jobs asked for, each at its time; schedulers take turns."""
        for index, wanted in enumerate(jobs):
            result = JobResult(wanted)
            self.results.append(result)
            scheduler = self.schedulers[index % len(self.schedulers)]
            self.heap.at(self.start_ns + wanted.at, partial(self._try, result, scheduler))

    def _try(self, result: JobResult, scheduler: VirtualScheduler) -> None:
        wanted, begun = result.wanted, self.heap.now
        name = f"{wanted.name}/{result.tries}"
        result.tries += 1
        budget = round(wanted.demand.budget_s * NS_PER_S)
        self._work[name] = wanted.work_s
        answered: list[JobAnswerBody] = []

        def answer_to(answer: JobAnswerBody) -> None:
            answered.append(answer)
            result.answers += 1
            result.late_answers += self.heap.now > begun + budget
            if not result.gone:
                self._answered(result, scheduler, answer, self.heap.now - begun)

        job = ClientJob(
            name,
            wanted.demand.name,
            f"/jobs/{wanted.name}",
            b"",
            begun,
            budget,
            answer_to,
            repeat_key=wanted.name,
        )

        def leave() -> None:
            if not answered:
                result.gone = True
                scheduler.post(ClientLeft(job))

        if wanted.leaves_at is not None:
            self.heap.at(self.start_ns + wanted.leaves_at, leave)
        self.heap.after(self.way(), lambda: scheduler.post(JobTaken(job)))

    def _answered(
        self, result: JobResult, scheduler: VirtualScheduler, answer: JobAnswerBody, took: int
    ) -> None:
        result.verdict, result.took_ns = answer.verdict, took
        retry = result.tries - 1
        repeatable = answer.verdict is Verdict.REFUSED or result.wanted.demand.name not in self.unsafe
        if answer.verdict is not Verdict.SERVED and retry < len(result.wanted.waits_s) and repeatable:
            wait = round(result.wanted.waits_s[retry] * NS_PER_S)
            self.heap.after(max(wait, answer.wait_ns), lambda: self._try(result, scheduler))

    # --- the run and its figures

    def run(self, span_s: float, grace_s: float = 25.0) -> Report:
        """Let it all happen; the figures."""
        self.heap.run(self.start_ns + round((span_s + grace_s) * NS_PER_S))
        return self.report()

    def report(self) -> Report:
        """The figures, and the rules that were broken, as the fleet saw them."""
        report = Report(jobs=len(self.results))
        windows: dict[int, list[float]] = {}
        for result in self.results:
            wanted, cls = result.wanted, self._classes[result.wanted.demand.name]
            counts = report.by_class.setdefault(cls.name, dict.fromkeys(COUNTS, 0))
            counts["jobs"] += 1
            limit = cls.aim_ns + cls.stretch * wanted.work_s * NS_PER_S
            gained = 0.0
            if result.gone:
                counts["gone"] += 1
                continue
            if result.verdict is Verdict.SERVED:
                first = result.tries == 1 and result.took_ns <= limit
                counts["in_time" if first else "late"] += 1
                gained = cls.worth if first else cls.worth * cls.late_share
            else:
                counts["refused" if result.verdict is Verdict.REFUSED else "failed"] += 1
            report.unanswered += result.answers != result.tries or result.late_answers > 0
            report.worth += gained
            report.worth_asked += cls.worth
            window = windows.setdefault(wanted.at // (10 * NS_PER_S), [0.0, 0.0])
            window[0] += gained
            window[1] += cls.worth
        runs: dict[str, int] = {}
        for node in self.nodes.values():
            for name, count in node.runs.items():
                runs[name] = runs.get(name, 0) + count
            report.fallen += node.model.fell
        for name, count in runs.items():
            cls_name = name.partition(".")[0]
            report.by_class[cls_name]["runs"] += count
            report.second_runs += cls_name in self.unsafe and count > 1
        for scheduler in self.schedulers:
            report.late_sends += scheduler.late_sends
            report.suspicions += sum("is suspect" in text for _, text in scheduler.remarks)
        report.worst_10_s = min((got / asked for got, asked in windows.values() if asked), default=1.0)
        return report
