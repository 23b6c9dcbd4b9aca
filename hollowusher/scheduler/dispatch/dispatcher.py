"""Job dispatcher: translates events for the balancer, and the balancer's actions into commands.

The balancer makes all decisions.  The dispatcher tracks open jobs and open attempts, so that each job gets
exactly one final answer and late events of a closed attempt are dropped.
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
from hollowusher.balancing.learned_state import LearnedState, remember, restore
from hollowusher.balancing.tenant_shares import TenantShares
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
    """A job that has not been answered, with its attempts in progress."""

    job: ClientJob
    sends: int = 0
    running: int = 0  # attempts in progress
    may_have_run: bool = False
    kept: bool = False  # the client has left: no new attempt starts, and the answer is stored


class JobDispatcher:
    """One balancer with its open jobs and open attempts."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self._balancer = Balancer(settings, seed, now)
        self._apply_settings(settings, now)
        self._jobs: dict[str, _OpenJob] = {}
        self._attempts: dict[tuple[str, int], JobAttempt] = {}
        self._last_ticket = 0
        self._commands: list[DispatchCommand] = []

    @property
    def open_jobs(self) -> int:
        """Number of jobs that have not been answered."""
        return len(self._jobs)

    def remember(self) -> LearnedState:
        """Return the state that the balancer has learned."""
        return remember(self._balancer)

    def restore(self, memory: LearnedState, now: int) -> None:
        """Restore state that another balancer has learned; the node list must be known before."""
        restore(self._balancer, memory, now)

    def suspect_workers(self) -> frozenset[int]:
        """Return the suspect workers in the list: the balancer sends them trial jobs only."""
        return frozenset(
            w.id for w in self._balancer.workers.values() if w.suspect and w.entry.state is not State.GONE
        )

    def process(self, now: int, events: Iterable[DispatchEvent]) -> list[DispatchCommand]:
        """Process a batch of events and return the resulting commands.

        A batch is one balancer step, except that LearnedStateReceived ends the step before it.
        """
        self._commands, self._now = [], now
        translated: list[Event] = []
        for incoming in events:
            if isinstance(incoming, LearnedStateReceived):  # it refers to workers of the list before it
                self._step(now, translated)
                translated = []
                self.restore(incoming.memory, now)
            elif (event := self._translate(now, incoming)) is not None:
                translated.append(event)
        self._step(now, translated)
        return self._commands

    def _step(self, now: int, translated: list[Event]) -> None:
        for action in self._balancer.step(now, translated):
            self._handle_action(action)

    def _translate(self, now: int, event: DispatchEvent) -> Event | None:
        """Translate an event for the balancer; None when its job or attempt is no longer open."""
        match event:
            case JobTaken(job):
                self._last_ticket += 1
                job.ticket = f"job-{self._last_ticket}"
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
                    self._shares.is_over_share(job.tenant, job.retry, now),
                )
            case ClientLeft(job, kept):
                return self._client_left(job.ticket, kept)
            case AttemptStarted(a) if (a.ticket, a.number) in self._attempts:
                return Started(a.ticket, a.number, a.node)
            case AttemptProgress(a, share) if (a.ticket, a.number) in self._attempts:
                return Progress(a.ticket, a.number, a.node, share)
            case AttemptEnded(a) if self._attempts.pop((a.ticket, a.number), None) is not None:
                self._attempt_ended(event)
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
                self._apply_settings(settings, now)
                return SettingsChanged(settings)
        return None

    def _apply_settings(self, settings: Settings, now: int) -> None:
        self._shares = TenantShares(settings, now)
        self._max_wait = settings.limits.max_retry_after_ns if settings.limits.retry_after else 0

    def _handle_action(self, action: Action) -> None:
        match action:
            case Send(ticket, node, timeout, within):
                open_job = self._jobs[ticket]
                attempt = JobAttempt(ticket, open_job.sends, node)
                open_job.sends, open_job.running = open_job.sends + 1, open_job.running + 1
                self._attempts[ticket, attempt.number] = attempt
                self._commands.append(
                    Dispatch(attempt, open_job.job, timeout, self._now + within if within else 0)
                )
            case Cancel(ticket, number) if (ticket, number) in self._attempts:
                if not (ticket in self._jobs and self._jobs[ticket].kept):
                    self._commands.append(CancelAttempt(self._attempts[ticket, number]))
            case Refuse(ticket, wait):
                # The balancer often refuses a job without a retry delay.  A client without one would retry at
                # once, into the same overload that caused the refusal.
                advice = min(wait or self._max_wait // 2, self._max_wait)
                self._answer(ticket, JobAnswerBody(Verdict.REFUSED, wait_ns=advice))
            case Fail(ticket):
                self._answer(ticket, JobAnswerBody(Verdict.FAILED))
            case Probe(node):
                self._commands.append(ProbeNode(node))
            case Watch():
                self._commands.append(WatchNodeList())
            case Wake(in_ns):
                self._commands.append(WakeDispatcher(in_ns))
            case Log(text):
                self._commands.append(OperatorNotice(text))

    def _attempt_ended(self, event: AttemptEnded) -> None:
        """Record the end of an attempt.

        A successful attempt answers the job.  When the client has left, the last attempt to end closes the
        job.  Otherwise the job waits for its other attempts or for the balancer's decision.
        """
        ticket, open_job = event.attempt.ticket, self._jobs.get(event.attempt.ticket)
        if open_job is None:
            return
        open_job.running -= 1
        open_job.may_have_run |= not event.outcome.never_ran
        if event.outcome is Outcome.OK:
            self._answer(ticket, JobAnswerBody(Verdict.SERVED, event.result))
        elif open_job.kept and not open_job.running:
            self._answer_departed(ticket)

    def _client_left(self, ticket: str, kept: bool) -> Event | None:
        """Handle a client's departure; the returned event stops the balancer from sending the job again."""
        open_job = self._jobs.get(ticket)
        if open_job is None or open_job.kept:
            return None
        open_job.kept = kept
        if not kept:
            self._close(ticket)
        elif not open_job.running:
            self._answer_departed(ticket)
        return ClientGone(ticket)

    def _answer_departed(self, ticket: str) -> None:
        """Answer a job whose client has left and which has no attempt in progress; the answer is stored."""
        ran = self._jobs[ticket].may_have_run
        self._answer(ticket, JobAnswerBody(Verdict.FAILED if ran else Verdict.REFUSED))

    def _answer(self, ticket: str, answer: JobAnswerBody) -> None:
        """Send a job's answer; only the first one is sent, because two copies of a job may both succeed."""
        job = self._close(ticket)
        if job is not None:
            self._commands.append(ReplyToClient(job, answer))

    def _close(self, ticket: str) -> ClientJob | None:
        open_job = self._jobs.pop(ticket, None)
        return open_job.job if open_job is not None else None
