"""Between the fronts, the desk and the route nodes: nothing is promised, sent or told before it is kept.

In go a client's job, an attempt that the desk orders, an attempt's end, the desk's answer; out come, once the
records behind them are kept, what may go on.  It decides nothing about nodes: it only lets through, or not.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from hollowusher.balancing.interface import Effect, JobClass
from hollowusher.scheduler.rules.log_replication.log_replicas import Adopted, LogReplicas
from hollowusher.scheduler.rules.log_replication.records import (
    AnswerRecord,
    AttemptEndRecord,
    Forgotten,
    Intent,
    JobTakenRecord,
    LoggedJob,
)
from hollowusher.scheduler.rules.log_replication.takeover import Next

SEARCH_INTERVAL_MS = 200  # between two questions about a job that another scheduler is working on
SEARCH_TIMEOUT_MS = (
    600  # how long a job that comes again may stay unknown before its client is told to come later
)
MAX_REPORTED_UNKNOWN = 65_536  # jobs that another was told we do not know; the oldest go first
INTENT_HOLD_MS = 500  # how long an attempt waits for our promise to come back, before it counts as not sent
ANSWER_MARGIN_MS = 30  # before its client gives up, one that cannot be told its answer is told that it failed


class FindJob(Struct, frozen=True, array_like=True, tag="seek"):
    """Does anybody know this job?  `round` comes back with the answer."""

    job: str
    round: int


class JobFound(Struct, frozen=True, array_like=True, tag="found"):
    """What one knows: `open`, or its answer, or nothing; and whose logs it leads: there nothing means no."""

    job: str
    open: bool
    answer: AnswerRecord | None
    leads: tuple[str, ...]
    round: int = 0


class ReplicationAction(Enum):
    """What may go on now."""

    START = "start"  # the job goes to the desk
    REFUSE = "refuse"  # it was not taken: harmless to try again
    GO = "go"  # the attempt's first byte may go out
    NOT_SENT = "not-sent"  # it may not: nothing of it went out
    ANSWER = "tell"  # the client is told this answer


@dataclass(frozen=True, slots=True)
class ReplicationInstruction:
    """One thing that may go on; `adopted`: a job of another's log that is to be worked on here."""

    do: ReplicationAction
    handle: Hashable
    answer: AnswerRecord | None = None
    adopted: Adopted | None = None


@dataclass(slots=True)
class _JobSearch:
    taken: JobTakenRecord
    handles: list[Hashable]
    since_ms: int
    asked_ms: int
    round: int
    open: bool = False
    leads: set[str] = field(default_factory=set)  # logs whose leader says no, in this round
    negative_from: set[str] = field(default_factory=set)  # and who these are


def _was_refused(held: LoggedJob) -> bool:
    """Whether it was turned away: then it is as new when it comes again."""
    return held.answer is not None and held.answer.verdict == "refused"


class JobReplication:
    """The caller empties `acts` and `asks` (who: `""` for all others) after each call."""

    def __init__(
        self,
        replicas: LogReplicas,
        names: tuple[str, ...],
        classes: Mapping[str, JobClass],
        seek_once: bool = True,
    ) -> None:
        """`seek_once`: whether a job that must not run twice is looked for at all others before it is taken,
        even if its client does not say that it has asked before."""
        self.replicas, self._names = replicas, names
        self._search_first_classes = {
            c.name for c in classes.values() if seek_once and c.effect is Effect.UNSAFE
        }
        self.instructions: list[ReplicationInstruction] = []
        self.lookup_messages: list[tuple[str, FindJob | JobFound]] = []
        self._pending: dict[int, tuple[str, str, Hashable]] = {}  # token: what was written, job, handle
        self._owners: dict[str, str] = {}  # jobs that this process works on: whose log they are in
        self._waiting: dict[str, list[tuple[Hashable, int]]] = {}  # who waits for a job, until when
        self._searches: dict[str, _JobSearch] = {}
        self._held_intents: list[
            tuple[int, Intent, Hashable]
        ] = []  # attempts that wait for our promise, until (ms)
        self._uncertain_jobs: dict[str, int] = {}  # jobs that may be kept: by which term our log was settled
        self._unwritten_answers: dict[
            str, tuple[str, AnswerRecord, int]
        ] = {}  # by job: whose log, what, until (ms)
        self._round = 0
        # Jobs that another scheduler was told we know nothing of, until (ms): it may have taken them since,
        # so who comes here with one of them after all, late or at the same time, is not taken as new.
        self._reported_unknown: dict[str, int] = {}
        self._longest_ms = max((c.deadline_ns for c in classes.values()), default=0) // 1_000_000

    # --- in -----------------------------------------------------------------------------------------------

    def take(
        self, now: int, now_ms: int, taken: JobTakenRecord, handle: Hashable, again: bool = False
    ) -> None:
        """A client asks.  `again`: it says that it has asked before, perhaps elsewhere."""
        known = self.replicas.find(taken.job)
        if known is not None and not _was_refused(known[1]):
            self._wait_for(now_ms, taken, handle, known[1])
        elif taken.job in self._searches:
            self._searches[taken.job].handles.append(handle)
        elif self._is_being_taken(taken.job):
            self._waiting.setdefault(taken.job, []).append((handle, taken.until_ms))
        elif len(self._names) > 1 and (
            again
            or taken.job_class in self._search_first_classes
            or self._reported_unknown.get(taken.job, 0) > now_ms
        ):
            search = self._searches[taken.job] = _JobSearch(
                taken, [handle], now_ms, now_ms, self._next_round()
            )
            self.lookup_messages.append(("", FindJob(taken.job, search.round)))
            self._handle_job_found(
                now, now_ms, self.replicas.name, self._look_up(now, taken.job, search.round)
            )
        else:
            self._take_new(now, now_ms, taken, [handle])
        self._process_results(now, now_ms)

    def intent(
        self, now: int, now_ms: int, job: str, number: int, node: str, cell: str, handle: Hashable
    ) -> None:
        """The desk orders an attempt."""
        self._held_intents.append((now_ms + INTENT_HOLD_MS, Intent(job, number, node, cell, now_ms), handle))
        self._process_results(now, now_ms)

    def _write_intents(self, now: int, now_ms: int) -> None:
        """Those that may be kept now.  Without our promise they wait a moment: it is lost for as long as a
        stall lasts, and an attempt that is turned away at once costs the job one of the few it has."""
        held, self._held_intents = self._held_intents, []
        for until_ms, intent, handle in held:
            owner = self._owners.get(intent.job)
            if owner is not None and not self.replicas.can_write(now, owner) and now_ms < until_ms:
                self._held_intents.append((until_ms, intent, handle))
                continue
            token = self.replicas.write(now, now_ms, owner, (intent,)) if owner is not None else 0
            if token:
                self._pending[token] = ("intent", intent.job, handle)
            else:
                self.instructions.append(ReplicationInstruction(ReplicationAction.NOT_SENT, handle))

    def ended(self, now: int, now_ms: int, job: str, number: int, never: bool) -> None:
        """An attempt is over.  Told, and not waited for."""
        if (owner := self._owners.get(job)) is not None:
            self.replicas.write(now, now_ms, owner, (AttemptEndRecord(job, number, never),))
            self._process_results(now, now_ms)

    def answer(self, now: int, now_ms: int, answer: AnswerRecord, handle: Hashable, until_ms: int) -> None:
        """The desk has its answer: the client is told once it is kept."""
        owner = self._owners.pop(answer.job, None)  # our desk is through with it
        if owner is not None:
            self._unwritten_answers[answer.job] = (owner, answer, until_ms)
        self._waiting.setdefault(answer.job, []).append((handle, until_ms))
        self._process_results(now, now_ms)

    def _write_answers(self, now: int, now_ms: int) -> None:
        """Those that may be kept now; others wait until our promise comes back, or another has answered."""
        for job, (owner, answer, until_ms) in list(self._unwritten_answers.items()):
            token = self.replicas.write(now, now_ms, owner, (answer,))
            known = self.replicas.find(job)
            if token:
                self._pending[token] = ("answer", job, (owner, answer, until_ms))
            if token or now_ms > until_ms or (known is not None and known[1].answer is not None):
                del self._unwritten_answers[job]

    def client_disconnected(self, job: str, handle: Hashable) -> None:
        """This client waits no more; the job itself goes on, and others may wait for it."""
        if left := [w for w in self._waiting.pop(job, []) if w[0] != handle]:
            self._waiting[job] = left
        if (search := self._searches.get(job)) is not None:
            search.handles = [h for h in search.handles if h != handle]
            if not search.handles:
                del self._searches[job]

    def abandon(
        self, now_ms: int, instructions: list[ReplicationInstruction]
    ) -> list[ReplicationInstruction]:
        """The storage has failed and all begins anew from what it holds: what every client and attempt here
        is told now.  `acts`: those that had not been let go on, which they are not any more."""
        reported: dict[Hashable, ReplicationInstruction] = {}
        for act in instructions:
            if act.do is ReplicationAction.GO:
                reported[act.handle] = ReplicationInstruction(ReplicationAction.NOT_SENT, act.handle)
            elif act.do is ReplicationAction.START and act.handle is not None:
                reported[act.handle] = ReplicationInstruction(
                    ReplicationAction.ANSWER, act.handle, AnswerRecord("", "failed", now_ms)
                )
            elif act.do in (ReplicationAction.REFUSE, ReplicationAction.NOT_SENT, ReplicationAction.ANSWER):
                reported[act.handle] = act
        for _, _, handle in self._held_intents:
            reported[handle] = ReplicationInstruction(ReplicationAction.NOT_SENT, handle)
        for what, _, handle in self._pending.values():
            if what == "intent":
                reported.setdefault(handle, ReplicationInstruction(ReplicationAction.NOT_SENT, handle))
        for job, waiting in self._waiting.items():
            for handle, _ in waiting:
                reported.setdefault(
                    handle,
                    ReplicationInstruction(
                        ReplicationAction.ANSWER, handle, AnswerRecord(job, "failed", now_ms)
                    ),
                )
        for search in self._searches.values():
            for handle in search.handles:
                reported.setdefault(handle, ReplicationInstruction(ReplicationAction.REFUSE, handle))
        return list(reported.values())

    def handle_message(self, now: int, now_ms: int, message: FindJob | JobFound, sender: str) -> None:
        """Another scheduler asks, or answers."""
        if isinstance(message, FindJob):
            search = self._searches.get(message.job)
            if search is not None and (sender in search.negative_from or self.replicas.name < sender):
                # Both look for it: whoever has the other's no goes on, else the first by name.
                self.lookup_messages.append((sender, JobFound(message.job, True, None, (), message.round)))
                return
            if search is not None:  # it goes first: what was said to us before counts no more
                search.round, search.asked_ms = self._next_round(), now_ms
                search.leads.clear()
                search.negative_from.clear()
            found = self._look_up(now, message.job, message.round)
            if not found.open and found.answer is None:
                self._reported_unknown.pop(message.job, None)  # so that the oldest stand first
                self._reported_unknown[message.job] = now_ms + self._longest_ms
                if len(self._reported_unknown) > MAX_REPORTED_UNKNOWN:
                    del self._reported_unknown[next(iter(self._reported_unknown))]
            self.lookup_messages.append((sender, found))
        else:
            self._handle_job_found(now, now_ms, sender, message)
            self._process_results(now, now_ms)

    def tick(self, now: int, now_ms: int) -> None:
        """After each step of the keeper, and ten times a second."""
        for job, search in list(self._searches.items()):
            if now_ms - search.asked_ms >= SEARCH_INTERVAL_MS:
                search.asked_ms = now_ms
                self.lookup_messages.append(("", FindJob(job, search.round)))
                self._handle_job_found(now, now_ms, self.replicas.name, self._look_up(now, job, search.round))
                if job not in self._searches:
                    continue
            late = now_ms - search.since_ms > SEARCH_TIMEOUT_MS and not search.open
            if late or now_ms > search.taken.until_ms - ANSWER_MARGIN_MS:
                del self._searches[job]
                self.instructions += [
                    ReplicationInstruction(ReplicationAction.REFUSE, handle) for handle in search.handles
                ]
        self._process_results(now, now_ms)

    # --- inside -------------------------------------------------------------------------------------------

    def _next_round(self) -> int:
        self._round += 1
        return self._round

    def _is_being_taken(self, job: str) -> bool:
        """Whether the job is being taken here, and is not kept yet."""
        return any(what == "taken" and j == job for what, j, _ in self._pending.values())

    def _take_new(self, now: int, now_ms: int, taken: JobTakenRecord, handles: list[Hashable]) -> None:
        token, known = 0, self.replicas.logs[self.replicas.name].jobs_state.jobs.get(taken.job)
        if self.replicas.has_capacity():
            records = (taken,) if known is None else (Forgotten((taken.job,)), taken)
            token = self.replicas.write(now, now_ms, self.replicas.name, records)
        if token:
            self._pending[token] = ("taken", taken.job, handles[0])
            self._waiting.setdefault(taken.job, []).extend((h, taken.until_ms) for h in handles)
        else:
            self.instructions += [
                ReplicationInstruction(ReplicationAction.REFUSE, handle) for handle in handles
            ]

    def _wait_for(self, now_ms: int, taken: JobTakenRecord, handle: Hashable, held: LoggedJob) -> None:
        if held.answer is not None:
            self.instructions.append(ReplicationInstruction(ReplicationAction.ANSWER, handle, held.answer))
        else:
            self._waiting.setdefault(taken.job, []).append((handle, taken.until_ms))

    def _look_up(self, now: int, job: str, seek_round: int) -> JobFound:
        known = self.replicas.find(job)
        leads = tuple(o for o in self.replicas.logs if self.replicas.can_write(now, o))
        if known is None or _was_refused(known[1]):
            return JobFound(job, self._is_being_taken(job), None, leads, seek_round)
        return JobFound(job, known[1].answer is None, known[1].answer, leads, seek_round)

    def _handle_job_found(self, now: int, now_ms: int, sender: str, found: JobFound) -> None:
        job = found.job
        search = self._searches.get(job)
        if search is None or found.round != search.round:
            return
        if found.answer is not None:
            del self._searches[job]
            self.instructions += [
                ReplicationInstruction(ReplicationAction.ANSWER, handle, found.answer)
                for handle in search.handles
            ]
        elif found.open:
            search.open = True
            search.leads.clear()
            search.negative_from.clear()
        elif found.leads:
            search.leads.update(found.leads)
            search.negative_from.add(sender)
            if search.leads >= set(self._names):  # whoever leads each log says no
                del self._searches[job]
                self._take_new(now, now_ms, search.taken, search.handles)

    def _process_results(self, now: int, now_ms: int) -> None:
        """What the keeper has told, and what may be kept by now."""
        self._write_intents(now, now_ms)
        self._write_answers(now, now_ms)
        for written in self.replicas.written:
            what, job, handle = self._pending.pop(written.token, ("", "", None))
            if what == "taken":
                if written.kept:
                    others = [w for w in self._waiting.pop(job, []) if w[0] != handle]
                    if others:
                        self._waiting[job] = others
                    self._owners[job] = self.replicas.name
                    self.instructions.append(ReplicationInstruction(ReplicationAction.START, handle))
                else:  # it may be kept all the same: that shows once somebody leads our log anew
                    self._uncertain_jobs[job] = self.replicas.committed_term(self.replicas.name)
            elif what == "intent":
                self.instructions.append(
                    ReplicationInstruction(
                        ReplicationAction.GO if written.kept else ReplicationAction.NOT_SENT, handle
                    )
                )
            elif what == "answer" and not written.kept and isinstance(handle, tuple):
                self._unwritten_answers[job] = (
                    handle  # it may be kept or not: once more does no harm, the first counts
                )
        self.replicas.written = []
        for adopted in self.replicas.adopted:
            job = adopted.held.taken.job
            if job in self._owners:
                continue  # our own desk has it still
            if adopted.next is Next.SEND:
                self._owners[job] = adopted.owner
                self.instructions.append(
                    ReplicationInstruction(ReplicationAction.START, None, adopted=adopted)
                )
            else:
                self.replicas.write(now, now_ms, adopted.owner, (AnswerRecord(job, "failed", now_ms),))
        self.replicas.adopted = []
        for job, term in list(self._uncertain_jobs.items()):
            if self.replicas.committed_term(self.replicas.name) > term:
                del self._uncertain_jobs[job]
                if self.replicas.find(job) is None:  # it never was, and never will be
                    self.instructions += [
                        ReplicationInstruction(ReplicationAction.REFUSE, handle)
                        for handle, _ in self._waiting.pop(job, [])
                    ]
        for job in list(self._waiting):
            self._answer_clients(now_ms, job)

    def _answer_clients(self, now_ms: int, job: str) -> None:
        known = self.replicas.find(job)
        answer = known[1].answer if known is not None else None
        left: list[tuple[Hashable, int]] = []
        for handle, until_ms in self._waiting[job]:
            if answer is not None:
                self.instructions.append(ReplicationInstruction(ReplicationAction.ANSWER, handle, answer))
            elif now_ms >= until_ms - ANSWER_MARGIN_MS:
                self.instructions.append(
                    ReplicationInstruction(
                        ReplicationAction.ANSWER, handle, AnswerRecord(job, "failed", now_ms)
                    )
                )
            else:
                left.append((handle, until_ms))
        if left:
            self._waiting[job] = left
        else:
            del self._waiting[job]
        if answer is not None:
            self._owners.pop(job, None)
