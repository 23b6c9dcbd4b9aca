"""Holds back events and commands of jobs in replicated classes until their log records are replicated.

The admission layer sits between the dispatcher and the front ends and workers, in both directions.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    CancelAttempt,
    ClientJob,
    ClientLeft,
    Dispatch,
    DispatchCommand,
    DispatchEvent,
    JobAnswerBody,
    JobAttempt,
    JobTaken,
    ReplyToClient,
    Verdict,
)
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.net.log_replication.node import CopiesNode
from hollowusher.scheduler.rules.log_replication.job_replication import (
    ReplicationAction,
    ReplicationInstruction,
)
from hollowusher.scheduler.rules.log_replication.records import AnswerRecord, JobTakenRecord


class ReplicationAdmission:
    """Filters events on their way to the dispatcher (`post`) and commands on their way out (`carry_out`)."""

    def __init__(
        self,
        classes: frozenset[str],
        registry: WorkerRegistry,
        post: Callable[[DispatchEvent], None],
        carry_out: Callable[[DispatchCommand], None],
        wait_ns: int,
        seed: int,
    ) -> None:
        self.classes, self._registry, self._post, self._carry_out = classes, registry, post, carry_out
        self._wait_ns = wait_ns  # retry delay that a rejected client receives
        self.node: CopiesNode | None = None
        # Numbers for intents, unique across processes, because the same job can arrive here more than once.
        self._number = (time.time_ns() ^ seed) % (1 << 40) << 20
        self._waiting: dict[JobAttempt, int] = {}  # numbers of the intents that are not replicated yet
        self._withdrawn: dict[JobAttempt, int] = {}  # numbers of those that the dispatcher has cancelled
        self._out: dict[JobAttempt, tuple[str, int]] = {}  # job id and intent number of each running attempt

    def copied(self, job: ClientJob) -> bool:
        """Whether the class of a job is replicated."""
        return job.job_class in self.classes

    # --- events to the dispatcher -------------------------------------------------------------------------

    def post(self, event: DispatchEvent) -> None:
        """Process an event from a front end or an attempt."""
        assert self.node is not None
        match event:
            case JobTaken(job) if self.copied(job):
                until_ms = int(time.time() * 1000) + (job.deadline_ns - time.monotonic_ns()) // 1_000_000
                taken = JobTakenRecord(
                    job.job_id,
                    job.job_class,
                    job.subject,
                    job.body,
                    until_ms,
                    job.repeat_key,
                    job.tenant,
                    job.hint_ns,
                    job.slots,
                    job.memory,
                )
                self.node.take(taken, job, job.retry)
            case ClientLeft(job) if self.copied(job):
                self.node.gone(job.job_id, job)  # the job continues, because the client may reconnect
            case AttemptEnded(attempt) if attempt in self._out:
                job_id, number = self._out.pop(attempt)
                if event.outcome is not Outcome.OK:  # the answer record covers a successful end
                    self.node.ended(job_id, number, event.outcome.never_ran)
                self._post(event)
            case _:
                self._post(event)

    # --- commands from the dispatcher ---------------------------------------------------------------------

    def carry_out(self, command: DispatchCommand) -> None:
        """Process a command of the dispatcher."""
        assert self.node is not None
        match command:
            case Dispatch(attempt, job) if self.copied(job):
                listed = self._registry.node(attempt.node)
                name, cell = (listed.name, str(listed.entry.cell)) if listed is not None else ("", "")
                self._number += 1
                self._waiting[attempt] = self._number
                self.node.intent(job.job_id, self._number, name, cell, command)
            case CancelAttempt(attempt) if attempt in self._waiting:
                # The attempt has not been sent and will not be.  Without this event, the dispatcher would
                # wait for its end indefinitely and treat the node as unresponsive.
                self._withdrawn[attempt] = self._waiting.pop(attempt)
                self._post(AttemptEnded(attempt, Outcome.NOT_SENT))
            case ReplyToClient(job, answer) if self.copied(job):
                until_ms = int(time.time() * 1000) + (job.deadline_ns - time.monotonic_ns()) // 1_000_000
                reported = AnswerRecord(
                    job.job_id, answer.verdict.value, int(time.time() * 1000), answer.result, answer.wait_ns
                )
                self.node.answer(reported, job, until_ms)
            case _:
                self._carry_out(command)

    # --- instructions of the replication ------------------------------------------------------------------

    def act(self, act: ReplicationInstruction) -> None:
        """Execute an instruction that the replication has released."""
        assert self.node is not None
        match act.do, act.handle:
            case ReplicationAction.START, ClientJob() as job:
                self._post(JobTaken(job))
            case ReplicationAction.START, None if act.adopted is not None:
                self._post(JobTaken(_adopted(act.adopted.held.taken)))
            case ReplicationAction.REFUSE, ClientJob() as job:
                job.answer_to(JobAnswerBody(Verdict.REFUSED, wait_ns=self._wait_ns))
            case ReplicationAction.ANSWER, ClientJob() as job if act.answer is not None:
                answer = act.answer
                job.answer_to(JobAnswerBody(Verdict(answer.verdict), answer.result, answer.wait_ns))
            case ReplicationAction.GO, Dispatch(attempt, job) as command if attempt in self._waiting:
                self._out[attempt] = (job.job_id, self._waiting.pop(attempt))
                self._carry_out(command)
            case ReplicationAction.GO, Dispatch(attempt, job) if attempt in self._withdrawn:
                self.node.ended(job.job_id, self._withdrawn.pop(attempt), True)
            case ReplicationAction.NOT_SENT, Dispatch(attempt, _) if attempt in self._withdrawn:
                del self._withdrawn[attempt]
            case ReplicationAction.NOT_SENT, Dispatch(attempt, _) if attempt in self._waiting:
                del self._waiting[attempt]
                self._post(AttemptEnded(attempt, Outcome.NOT_SENT))
            case _:
                pass


def _adopted(taken: JobTakenRecord) -> ClientJob:
    """Build a job taken over from another log; without a client here, its answer is only recorded."""
    left_ns = taken.until_ms * 1_000_000 - time.time_ns()
    return ClientJob(
        taken.job,
        taken.job_class,
        taken.subject,
        taken.body,
        time.monotonic_ns(),
        left_ns,
        lambda answer: None,
        repeat_key=taken.key,
        tenant=taken.tenant,
        hint_ns=taken.hint_ns,
        slots=taken.slots,
        memory=taken.memory,
    )
