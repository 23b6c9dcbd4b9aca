"""Replicates the state of jobs: each step of a job waits until its record is committed in a replicated log.

The caller passes in a client's job, an attempt that the dispatcher orders, the end of an attempt, and the
dispatcher's answer.  Once the record of a step is committed, `JobReplication` issues an instruction that lets
the step proceed.  It never chooses a node; it only permits or rejects an attempt.
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
from hollowusher.scheduler.rules.log_replication.takeover import NextStep

SEARCH_INTERVAL_MS = 200  # between two queries for a job that another scheduler is working on
SEARCH_TIMEOUT_MS = 600  # a job not found by then is refused, so that its client retries later
MAX_REPORTED_UNKNOWN = 65_536  # jobs reported as unknown to other schedulers; the oldest are dropped first
INTENT_HOLD_MS = 500  # how long an attempt waits until the log can be written, before it counts as not sent
ANSWER_MARGIN_MS = 30  # a client without an answer receives a failure this long before its deadline


class FindJob(Struct, frozen=True, array_like=True, tag="seek"):
    """Asks another scheduler whether it knows a job.  The reply carries the same `round`."""

    job: str
    round: int


class JobFound(Struct, frozen=True, array_like=True, tag="found"):
    """The reply to `FindJob`: the job is open, or has an answer, or is unknown.

    `leads` names the owners of the logs that the sender leads.  If the job is unknown to the sender, it is in
    none of these logs.
    """

    job: str
    open: bool
    answer: AnswerRecord | None
    leads: tuple[str, ...]
    round: int = 0


class ReplicationAction(Enum):
    """The action that the caller must carry out."""

    START = "start"  # pass the job to the dispatcher
    REFUSE = "refuse"  # refuse the job; it was not accepted, so the client may safely retry
    GO = "go"  # send the attempt to the node
    NOT_SENT = "not-sent"  # do not send the attempt
    ANSWER = "tell"  # send the answer to the client


@dataclass(frozen=True, slots=True)
class ReplicationInstruction:
    """One instruction for the caller.  `adopted`: an open job of a log that this scheduler has taken over."""

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
    leads: set[str] = field(default_factory=set)  # owners of logs whose leader reported the job as unknown
    negative_from: set[str] = field(default_factory=set)  # schedulers that reported it as unknown


def _was_refused(held: LoggedJob) -> bool:
    """Whether the job was refused.  A refused job counts as new when a client sends it again."""
    return held.answer is not None and held.answer.verdict == "refused"


class JobReplication:
    """Accepts jobs, writes their records to the replicated logs, and issues instructions.

    The caller handles and empties `instructions` and `lookup_messages` after each call.  An entry of
    `lookup_messages` holds the receiver, or `""` for all other schedulers, and the message.  `now` is the
    monotonic time in nanoseconds, `now_ms` the wall clock in milliseconds.  A `handle` identifies a client or
    an attempt to the caller and is returned in the instructions.
    """

    def __init__(
        self,
        replicas: LogReplicas,
        names: tuple[str, ...],
        classes: Mapping[str, JobClass],
        seek_once: bool = True,
    ) -> None:
        """Creates the replication of one scheduler among all schedulers `names`.

        `seek_once`: before accepting a job that must not run twice, search all other schedulers for it, even
        if the client did not mark it as a repeat.
        """
        self.replicas, self._names = replicas, names
        self._search_first_classes = {
            c.name for c in classes.values() if seek_once and c.effect is Effect.UNSAFE
        }
        self.instructions: list[ReplicationInstruction] = []
        self.lookup_messages: list[tuple[str, FindJob | JobFound]] = []
        self._pending: dict[int, tuple[str, str, Hashable]] = {}  # by token: kind of record, job, handle
        self._owners: dict[str, str] = {}  # by job that this process works on: the owner of its log
        self._waiting: dict[str, list[tuple[Hashable, int]]] = {}  # by job: clients and their deadlines in ms
        self._searches: dict[str, _JobSearch] = {}
        # Attempts that wait until the log can be written: deadline in ms, record, handle.
        self._held_intents: list[tuple[int, Intent, Hashable]] = []
        # Jobs whose record may be committed or lost: the last committed term when the write failed.
        self._uncertain_jobs: dict[str, int] = {}
        # By job: the owner of its log, the answer, and the deadline in ms.
        self._unwritten_answers: dict[str, tuple[str, AnswerRecord, int]] = {}
        self._round = 0
        # Jobs that this scheduler reported as unknown, with an expiry time in ms.  The other scheduler may
        # have accepted such a job since, so this scheduler searches for it before it accepts it.
        self._reported_unknown: dict[str, int] = {}
        self._longest_ms = max((c.deadline_ns for c in classes.values()), default=0) // 1_000_000

    # --- inputs -------------------------------------------------------------------------------------------

    def take(
        self, now: int, now_ms: int, taken: JobTakenRecord, handle: Hashable, again: bool = False
    ) -> None:
        """Handles a job from a client.  `again`: the client marked it as a repeat of an earlier request."""
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
        """Handles an attempt that the dispatcher orders: writes its intent before the attempt may be sent."""
        self._held_intents.append((now_ms + INTENT_HOLD_MS, Intent(job, number, node, cell, now_ms), handle))
        self._process_results(now, now_ms)

    def _write_intents(self, now: int, now_ms: int) -> None:
        """Writes the intents whose log can be written now.

        The other intents wait up to `INTENT_HOLD_MS`: the lease is often lost only for the time of a stall,
        and an attempt that is rejected at once uses up one of the few attempts of its job.
        """
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
        """Writes the end of an attempt, without waiting for the commit."""
        if (owner := self._owners.get(job)) is not None:
            self.replicas.write(now, now_ms, owner, (AttemptEndRecord(job, number, never),))
            self._process_results(now, now_ms)

    def answer(self, now: int, now_ms: int, answer: AnswerRecord, handle: Hashable, until_ms: int) -> None:
        """Writes the dispatcher's answer; the client receives it once it is committed."""
        owner = self._owners.pop(answer.job, None)  # the dispatcher has finished this job
        if owner is not None:
            self._unwritten_answers[answer.job] = (owner, answer, until_ms)
        self._waiting.setdefault(answer.job, []).append((handle, until_ms))
        self._process_results(now, now_ms)

    def _write_answers(self, now: int, now_ms: int) -> None:
        """Writes the answers whose log can be written now; the others wait for that or for another answer."""
        for job, (owner, answer, until_ms) in list(self._unwritten_answers.items()):
            token = self.replicas.write(now, now_ms, owner, (answer,))
            known = self.replicas.find(job)
            if token:
                self._pending[token] = ("answer", job, (owner, answer, until_ms))
            if token or now_ms > until_ms or (known is not None and known[1].answer is not None):
                del self._unwritten_answers[job]

    def client_disconnected(self, job: str, handle: Hashable) -> None:
        """Removes a client that no longer waits.  The job continues, and other clients may wait for it."""
        if left := [w for w in self._waiting.pop(job, []) if w[0] != handle]:
            self._waiting[job] = left
        if (search := self._searches.get(job)) is not None:
            search.handles = [h for h in search.handles if h != handle]
            if not search.handles:
                del self._searches[job]

    def abandon(
        self, now_ms: int, instructions: list[ReplicationInstruction]
    ) -> list[ReplicationInstruction]:
        """Returns the final instruction for every client and attempt after the storage has failed.

        The caller then restarts from the stored state.  `instructions` holds those that the caller has not
        carried out yet; none of them may take effect any more.
        """
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
        """Handles a query or a reply about a job from another scheduler."""
        if isinstance(message, FindJob):
            search = self._searches.get(message.job)
            if search is not None and (sender in search.negative_from or self.replicas.name < sender):
                # Both schedulers search for the job.  The one that already has a negative reply of the other
                # proceeds; if neither has, the one with the lower name does.
                self.lookup_messages.append((sender, JobFound(message.job, True, None, (), message.round)))
                return
            if search is not None:  # the sender proceeds first: earlier replies to this scheduler are void
                search.round, search.asked_ms = self._next_round(), now_ms
                search.leads.clear()
                search.negative_from.clear()
            found = self._look_up(now, message.job, message.round)
            if not found.open and found.answer is None:
                self._reported_unknown.pop(message.job, None)  # keeps the dict ordered by age
                self._reported_unknown[message.job] = now_ms + self._longest_ms
                if len(self._reported_unknown) > MAX_REPORTED_UNKNOWN:
                    del self._reported_unknown[next(iter(self._reported_unknown))]
            self.lookup_messages.append((sender, found))
        else:
            self._handle_job_found(now, now_ms, sender, message)
            self._process_results(now, now_ms)

    def tick(self, now: int, now_ms: int) -> None:
        """Repeats and times out searches; called after each step of the logs and every 100 ms."""
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

    # --- helpers ------------------------------------------------------------------------------------------

    def _next_round(self) -> int:
        self._round += 1
        return self._round

    def _is_being_taken(self, job: str) -> bool:
        """Whether this scheduler has written the job's first record and waits for its commit."""
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
            if search.leads >= set(self._names):  # the leaders of all logs do not know the job
                del self._searches[job]
                self._take_new(now, now_ms, search.taken, search.handles)

    def _process_results(self, now: int, now_ms: int) -> None:
        """Processes the outcome of writes and the adopted jobs, and writes what can be written now."""
        self._write_intents(now, now_ms)
        self._write_answers(now, now_ms)
        for written in self.replicas.written:
            what, job, handle = self._pending.pop(written.token, ("", "", None))
            if what == "taken":
                if written.committed:
                    others = [w for w in self._waiting.pop(job, []) if w[0] != handle]
                    if others:
                        self._waiting[job] = others
                    self._owners[job] = self.replicas.name
                    self.instructions.append(ReplicationInstruction(ReplicationAction.START, handle))
                else:  # the record may still be committed; the next commit of a later term decides that
                    self._uncertain_jobs[job] = self.replicas.committed_term(self.replicas.name)
            elif what == "intent":
                self.instructions.append(
                    ReplicationInstruction(
                        ReplicationAction.GO if written.committed else ReplicationAction.NOT_SENT, handle
                    )
                )
            elif what == "answer" and not written.committed and isinstance(handle, tuple):
                # The answer may be committed or lost.  A second write is harmless: the first answer counts.
                self._unwritten_answers[job] = handle
        self.replicas.written = []
        for adopted in self.replicas.adopted:
            job = adopted.held.taken.job
            if job in self._owners:
                continue  # the local dispatcher still works on the job
            if adopted.next is NextStep.SEND:
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
                if self.replicas.find(job) is None:  # the record was lost and can no longer be committed
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
