"""All log replicas of one scheduler, of its own log and of other logs: writes and takeovers."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from hollowusher.balancing.interface import JobClass
from hollowusher.scheduler.rules.log_replication.groups import group_of, owners_held_by
from hollowusher.scheduler.rules.log_replication.messages import HandBack, Message
from hollowusher.scheduler.rules.log_replication.pace import ReplicationTiming
from hollowusher.scheduler.rules.log_replication.records import (
    AnswerRecord,
    Forgotten,
    Intent,
    JobLogState,
    LoggedJob,
    Record,
    pack,
    unpack,
)
from hollowusher.scheduler.rules.log_replication.replica import PersistentState, Replica, Role, Store
from hollowusher.scheduler.rules.log_replication.takeover import AttemptLimits, NextStep, allowed, next_step

COMPACT_ENTRIES = 4_096  # a log with this many entries since the last snapshot is compacted
EXPIRE_BATCH = 256  # expired jobs that one log entry removes
EXPIRE_PERIOD_NS = 1_000_000_000
ORPHAN_GRACE_MS = 2_000  # an open job is answered as failed this long after its deadline


@dataclass(frozen=True, slots=True)
class Adopted:
    """An open job of a log that this scheduler has taken over, and its next step."""

    owner: str
    held: LoggedJob
    next: NextStep
    bound: AttemptLimits | None


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The outcome of a write.

    `committed` is False if this scheduler lost the leadership first; the record may still be committed later.
    """

    token: int
    committed: bool


@dataclass(slots=True)
class _Log:
    replica: Replica
    jobs_state: JobLogState
    waiting: dict[int, int] = field(default_factory=dict)  # by entry number: token
    term: int = 0  # term in which this scheduler leads and has taken over; 0: none
    entries_since_snapshot: int = 0  # committed entries only


class LogReplicas:
    """The replicas of all logs that one scheduler holds.

    `size` is the number of replicas of each log, `kept` the stored state by owner, `retention_ms` the
    retention of answers, and `most_jobs` the maximum number of jobs in the scheduler's own log.

    The caller handles and empties the outputs in this order: `stores`, `sends`, `written`, `adopted`,
    `reported`.  `now` is the monotonic time in nanoseconds, `now_ms` the wall clock in milliseconds.
    """

    def __init__(
        self,
        name: str,
        names: Iterable[str],
        size: int,
        timing: ReplicationTiming,
        rng: random.Random,
        now: int,
        classes: Mapping[str, JobClass],
        kept: Mapping[str, PersistentState] | None = None,
        retention_ms: int = 120_000,
        most_jobs: int = 20_000,
    ) -> None:
        self.name, self.classes, self._retention_ms, self._most_jobs = name, classes, retention_ms, most_jobs
        self.stores: list[tuple[str, Store]] = []
        self.sends: list[tuple[str, Message]] = []
        self.written: list[RecordWritten] = []
        self.adopted: list[Adopted] = []
        self.reported: list[tuple[str, str]] = []
        self.logs: dict[str, _Log] = {}
        everyone = sorted({*names, name})
        for owner in owners_held_by(name, everyone, size):
            restored = (kept or {}).get(owner)
            replica = Replica(
                name,
                owner,
                group_of(owner, everyone, size),
                timing,
                random.Random(rng.random()),
                now,
                restored,
            )
            self.logs[owner] = _Log(replica, JobLogState.of(replica.kept.image))
        self._tokens = 0
        self._expire_answers_at = now
        self._collect_output()

    # --- queries ------------------------------------------------------------------------------------------

    def due(self) -> int:
        """Returns the time of the next timer: the caller must call `step` by then."""
        return min(log.replica.due() for log in self.logs.values())

    def can_write(self, now: int, owner: str = "") -> bool:
        """Whether this scheduler leads a log (its own by default), has taken it over, and may write to it."""
        log = self.logs[owner or self.name]
        return log.replica.can_write(now) and log.term == log.replica.kept.term

    def is_learning(self) -> bool:
        """Whether any replica of this process is still a learner."""
        return any(log.replica.role is Role.LEARNER for log in self.logs.values())

    def committed_term(self, owner: str) -> int:
        """Returns the term of the last committed entry.

        A pending write of a leader of a lower term is either part of the committed log by now or lost.
        """
        replica = self.logs[owner].replica
        return max(0, replica.kept.term_of(replica.commit))

    def has_capacity(self) -> bool:
        """Whether this scheduler's own log may accept one more job."""
        return len(self.logs[self.name].jobs_state.jobs) < self._most_jobs

    def find(self, job: str) -> tuple[str, LoggedJob] | None:
        """Finds a job in the logs held here; returns the owner of the log and the job's state, or None.

        A log in which the job was refused comes last, since another scheduler may have accepted it later.
        """
        found = [
            (owner, held)
            for owner, log in self.logs.items()
            if (held := log.jobs_state.jobs.get(job)) is not None
        ]
        found.sort(key=lambda f: f[1].answer is not None and f[1].answer.verdict == "refused")
        return found[0] if found else None

    # --- inputs -------------------------------------------------------------------------------------------

    def step(self, now: int, now_ms: int, message: Message | None = None, sender: str = "") -> None:
        """Handles one message from `sender`, or runs the due timers of all logs."""
        if message is not None:
            log = self.logs.get(message.owner)
            if log is not None and not (isinstance(message, HandBack) and log.jobs_state.open()):
                log.replica.step(now, message, sender)
                self._process_replica(now, now_ms, message.owner, log)
        for owner, log in self.logs.items():
            if message is None and log.replica.due() <= now:
                log.replica.step(now)
                self._process_replica(now, now_ms, owner, log)
        if now >= self._expire_answers_at:
            self._expire_answers_at = now + EXPIRE_PERIOD_NS
            self._expire_answers(now, now_ms)
            self.logs[self.name].replica.hand_back(now)
        self._collect_output()

    def write(self, now: int, now_ms: int, owner: str, records: Sequence[Record]) -> int:
        """Proposes records for a log, in order.

        Returns the token under which `written` reports the outcome, or 0 if this scheduler cannot write to
        the log or must not send one of the attempts.
        """
        log = self.logs[owner]
        if not self.can_write(now, owner) or any(
            isinstance(r, Intent) and not self._may_send(log, r, now_ms) for r in records
        ):
            return 0
        number = log.replica.propose(now, [pack(r) for r in records])
        if not number:
            return 0
        self._tokens += 1
        log.waiting[number] = self._tokens
        self._process_replica(now, now_ms, owner, log)
        self._collect_output()
        return self._tokens

    def set_missing_members(self, now: int, missing: set[str]) -> None:
        """Passes the members that the membership view lacks to all replicas."""
        for log in self.logs.values():
            log.replica.handle_missing_members(now, missing)

    def _may_send(self, log: _Log, intent: Intent, now_ms: int) -> bool:
        """Whether an attempt may be sent, given the state of its job.

        The leader's state contains all committed records.  This is the only check that prevents a second run
        of a job that must not run twice.
        """
        held = log.jobs_state.jobs.get(intent.job)
        if held is None or held.answer is not None:
            return False
        what, bound = next_step(held, self.classes, now_ms)
        return what is NextStep.SEND and allowed(bound, intent.cell, now_ms)

    # --- helpers ------------------------------------------------------------------------------------------

    def _process_replica(self, now: int, now_ms: int, owner: str, log: _Log) -> None:
        replica = log.replica
        for image in replica.images:
            log.jobs_state = JobLogState.of(image)
        replica.images = []
        for number, entry in replica.commits:
            if entry.data:
                try:
                    log.jobs_state.apply(unpack(entry.data))
                except msgspec.DecodeError:
                    self.reported.append(
                        (owner, f"entry {number} cannot be decoded: is another version running?")
                    )
            if (token := log.waiting.pop(number, 0)) and replica.role is Role.LEADER:
                self.written.append(RecordWritten(token, True))
        log.entries_since_snapshot += len(replica.commits)
        replica.commits = []
        if replica.role is not Role.LEADER:
            # Pending writes may be committed or lost; that depends on the log of the new leader.
            self.written += [RecordWritten(token, False) for token in log.waiting.values()]
            log.waiting.clear()
            log.term = 0
        elif log.term != replica.kept.term and replica.can_write(now):
            log.term = replica.kept.term
            for held in log.jobs_state.open():
                self.adopted.append(Adopted(owner, held, *next_step(held, self.classes, now_ms)))
        if log.entries_since_snapshot >= COMPACT_ENTRIES:
            log.entries_since_snapshot = 0
            replica.compact(log.jobs_state.image())

    def _expire_answers(self, now: int, now_ms: int) -> None:
        for owner, log in self.logs.items():
            if self.can_write(now, owner):
                old = log.jobs_state.answered_before(now_ms - self._retention_ms)
                for at in range(0, len(old), EXPIRE_BATCH):
                    log.replica.propose(now, [pack(Forgotten(tuple(old[at : at + EXPIRE_BATCH])))])
                # No client waits for these jobs and no scheduler works on them: their answers were lost when
                # the leader changed.
                late = [
                    h.taken.job for h in log.jobs_state.open() if h.taken.until_ms + ORPHAN_GRACE_MS < now_ms
                ]
                if late:
                    log.replica.propose(now, [pack(AnswerRecord(job, "failed", now_ms)) for job in late])

    def _collect_output(self) -> None:
        """Collects the outputs of all replicas.  The caller must store `stores` before it sends `sends`."""
        for owner, log in self.logs.items():
            replica = log.replica
            self.stores += [(owner, store) for store in replica.stores]
            self.sends += replica.sends
            self.reported += [(owner, what) for what in replica.reported]
            replica.stores, replica.sends, replica.reported = [], [], []
