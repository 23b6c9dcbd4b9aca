"""The dispatch desk: turns events into calls of the decision module and its actions into orders.

It decides nothing.  It keeps two books, of open jobs and of open attempts, so that a job gets exactly one
final answer and the late news of a closed attempt goes nowhere.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hollowusher.balancing.balancer import Balancer
from hollowusher.balancing.interface import (
    Action,
    Arrival,
    BudgetSpent,
    Cancel,
    ClientGone,
    Ended,
    Event,
    Fail,
    Log,
    Outcome,
    Probe,
    Probed,
    Progress,
    Refuse,
    Send,
    Settings,
    SettingsChanged,
    Started,
    State,
    Wake,
    Watch,
    Woken,
    WorkerList,
)
from hollowusher.balancing.learned_state import Memory, remember, restore
from hollowusher.balancing.tenant_shares import Shares
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    AttemptProgress,
    AttemptStarted,
    CancelAttempt,
    ClientJob,
    ClientLeft,
    ColdBudgetInUse,
    Dispatch,
    DispatchCommand,
    DispatchEvent,
    JobAnswerBody,
    JobAttempt,
    JobTaken,
    LearnedStateReceived,
    NewSettings,
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


@dataclass(slots=True)
class _OpenJob:
    """A job and what is still owed for it: an answer, and the ends of the attempts that are out."""

    job: ClientJob
    sends: int = 0
    out: int = 0  # attempts whose end has not been told
    may_have_run: bool = False
    kept: bool = False  # its client has left: nothing new begins, and the answer goes to the book


class JobDispatcher:
    """One module, its open jobs and its open attempts."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self._module = Balancer(settings, seed, now)
        self._follow(settings, now)
        self._jobs: dict[str, _OpenJob] = {}
        self._open: dict[tuple[str, int], JobAttempt] = {}
        self._count = 0
        self._orders: list[DispatchCommand] = []

    @property
    def open_jobs(self) -> int:
        """Jobs that are owed an answer."""
        return len(self._jobs)

    def remember(self) -> Memory:
        """What the module has learnt."""
        return remember(self._module)

    def restore(self, memory: Memory, now: int) -> None:
        """Begin with what another module has learnt, once the list is known."""
        restore(self._module, memory, now)

    def suspect_workers(self) -> frozenset[int]:
        """The workers that the module sends nothing to but trials, as far as they are in the list."""
        return frozenset(
            w.id for w in self._module.workers.values() if w.suspect and w.entry.state is not State.GONE
        )

    def process(self, now: int, events: Iterable[DispatchEvent]) -> list[DispatchCommand]:
        """Take a batch of events in one step of the module; the orders that follow."""
        self._orders, self._now = [], now
        reported: list[Event] = []
        for each in events:
            if isinstance(each, LearnedStateReceived):  # it concerns workers that the list before it names
                self._step(now, reported)
                reported = []
                self.restore(each.memory, now)
            elif (event := self._tell(now, each)) is not None:
                reported.append(event)
        self._step(now, reported)
        return self._orders

    def _step(self, now: int, reported: list[Event]) -> None:
        for action in self._module.step(now, reported):
            self._order(action)

    def _tell(self, now: int, event: DispatchEvent) -> Event | None:
        """The module's event for one of ours; None where it concerns nothing that is open."""
        match event:
            case JobTaken(job):
                self._count += 1
                job.ticket = f"job-{self._count}"
                self._jobs[job.ticket] = _OpenJob(job)
                return Arrival(
                    job.ticket,
                    job.job_class,
                    max(0, job.deadline_ns - now),
                    job.hint_ns,
                    job.slots,
                    job.memory,
                    job.tenant,
                    job.about,
                    job.retry,
                    self._shares.over(job.tenant, job.retry, now),
                )
            case ClientLeft(job, kept):
                return self._gone(job.ticket, kept)
            case AttemptStarted(a) if (a.ticket, a.number) in self._open:
                return Started(a.ticket, a.number, a.node)
            case AttemptProgress(a, share) if (a.ticket, a.number) in self._open:
                return Progress(a.ticket, a.number, a.node, share)
            case AttemptEnded(a) if self._open.pop((a.ticket, a.number), None) is not None:
                self._finish(event)
                final = a.ticket not in self._jobs
                return Ended(a.ticket, a.number, a.node, event.outcome, final, event.reading)
            case NodeListReceived(kind, entries):
                return WorkerList(kind, entries)
            case NodeProbed(node, ok, reading):
                return Probed(node, ok, reading)
            case TimerExpired():
                return Woken()
            case ColdBudgetInUse():
                return BudgetSpent()
            case NewSettings(settings):
                self._follow(settings, now)
                return SettingsChanged(settings)
        return None

    def _follow(self, settings: Settings, now: int) -> None:
        self._shares = Shares(settings, now)
        self._max_wait = settings.limits.max_retry_after_ns if settings.limits.retry_after else 0

    def _order(self, action: Action) -> None:
        match action:
            case Send(ticket, node, timeout, within):
                held = self._jobs[ticket]
                attempt = JobAttempt(ticket, held.sends, node)
                held.sends, held.out = held.sends + 1, held.out + 1
                self._open[ticket, attempt.number] = attempt
                self._orders.append(Dispatch(attempt, held.job, timeout, self._now + within if within else 0))
            case Cancel(ticket, number) if (ticket, number) in self._open:
                if not (ticket in self._jobs and self._jobs[ticket].kept):
                    self._orders.append(CancelAttempt(self._open[ticket, number]))
            case Refuse(ticket, wait):
                # The module says when a job is given up and mostly no wait; a client told nothing would come
                # straight back into the crowd that it was refused for.
                advice = min(wait or self._max_wait // 2, self._max_wait)
                self._answer(ticket, JobAnswerBody(Verdict.REFUSED, wait_ns=advice))
            case Fail(ticket):
                self._answer(ticket, JobAnswerBody(Verdict.FAILED))
            case Probe(node):
                self._orders.append(ProbeNode(node))
            case Watch():
                self._orders.append(WatchNodeList())
            case Wake(in_ns):
                self._orders.append(WakeDispatcher(in_ns))
            case Log(text):
                self._orders.append(OperatorNotice(text))

    def _finish(self, event: AttemptEnded) -> None:
        """An attempt is over: its job is answered by it, or waits for others, or for the module's word."""
        ticket, held = event.attempt.ticket, self._jobs.get(event.attempt.ticket)
        if held is None:
            return
        held.out -= 1
        held.may_have_run |= not event.outcome.never_ran
        if event.outcome is Outcome.OK:
            self._answer(ticket, JobAnswerBody(Verdict.SERVED, event.result))
        elif held.kept and not held.out:
            self._give_up(ticket)

    def _gone(self, ticket: str, kept: bool) -> Event | None:
        """A job's client has left.  The module hears of it at once: it must not send the job again."""
        held = self._jobs.get(ticket)
        if held is None or held.kept:
            return None
        held.kept = kept
        if not kept:
            self._close(ticket)
        elif not held.out:
            self._give_up(ticket)
        return ClientGone(ticket)

    def _give_up(self, ticket: str) -> None:
        """The answer for the book where no node gave one."""
        ran = self._jobs[ticket].may_have_run
        self._answer(ticket, JobAnswerBody(Verdict.FAILED if ran else Verdict.REFUSED))

    def _answer(self, ticket: str, answer: JobAnswerBody) -> None:
        """Only the first answer of a job goes out: a second copy may be served as well."""
        job = self._close(ticket)
        if job is not None:
            self._orders.append(ReplyToClient(job, answer))

    def _close(self, ticket: str) -> ClientJob | None:
        held = self._jobs.pop(ticket, None)
        return held.job if held is not None else None
