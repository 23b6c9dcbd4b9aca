"""The records of a job in a replicated log, and the state that they build (see docs/copies-design.md)."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from msgspec import Struct


class JobTakenRecord(Struct, frozen=True, array_like=True, tag="t", omit_defaults=True):
    """The job is accepted and must get one answer.  `until_ms`: the client's deadline (wall clock)."""

    job: str
    job_class: str
    subject: str
    body: bytes
    until_ms: int
    key: str = ""
    tenant: str = ""
    hint_ns: int = 0
    slots: float = 1.0
    memory: float = 0.0


class Intent(Struct, frozen=True, array_like=True, tag="i"):
    """An attempt is about to be sent: from this record on it may have run.  `at_ms`: wall clock."""

    job: str
    number: int
    node: str
    cell: str
    at_ms: int


class AttemptEndRecord(Struct, frozen=True, array_like=True, tag="e"):
    """An attempt has ended.  `never`: it is proven that the attempt did not run."""

    job: str
    number: int
    never: bool


class AnswerRecord(Struct, frozen=True, array_like=True, tag="a", omit_defaults=True):
    """The answer to a job.  It may be sent to the client once this record is committed."""

    job: str
    verdict: str
    at_ms: int
    result: bytes = b""
    wait_ns: int = 0


class Forgotten(Struct, frozen=True, array_like=True, tag="f"):
    """Jobs whose state is removed, because no client will request their answers any more."""

    jobs: tuple[str, ...]


Record = JobTakenRecord | Intent | AttemptEndRecord | AnswerRecord | Forgotten
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Record)


def pack(record: Record) -> bytes:
    """Encodes a record as the data of a log entry."""
    return _encoder.encode(record)


def unpack(data: bytes) -> Record:
    """Decodes the data of a log entry; raises msgspec.DecodeError if it is not a record."""
    return _decoder.decode(data)


class LoggedJob(Struct, array_like=True):
    """The state of one job, as built from its records."""

    taken: JobTakenRecord
    intents: list[Intent] = []
    never: set[int] = set()  # numbers of the attempts that are proven not to have run
    answer: AnswerRecord | None = None

    def may_have_run(self) -> list[Intent]:
        """Returns the intents of all attempts that are not proven not to have run."""
        return [i for i in self.intents if i.number not in self.never]


_snapshot_decoder = msgspec.msgpack.Decoder(list[LoggedJob])


@dataclass(slots=True)
class JobLogState:
    """The state of all jobs of one log.  Duplicate records and records of unknown jobs have no effect."""

    jobs: dict[str, LoggedJob] = field(default_factory=dict)
    size: int = 0  # total bytes of job bodies and results

    def apply(self, record: Record) -> None:
        """Applies one committed record."""
        match record:
            case JobTakenRecord(job) if job not in self.jobs:
                self.jobs[job] = LoggedJob(record, [], set())
                self.size += len(record.body)
            case Forgotten(jobs):
                for job in jobs:
                    if (held := self.jobs.pop(job, None)) is not None:
                        self.size -= len(held.taken.body) + (len(held.answer.result) if held.answer else 0)
            case Intent(job) if (held := self.jobs.get(job)) is not None:
                held.intents.append(record)
            case AttemptEndRecord(job) if (held := self.jobs.get(job)) is not None:
                if record.never:
                    held.never.add(record.number)
            case AnswerRecord(job) if (held := self.jobs.get(job)) is not None and held.answer is None:
                held.answer = record
                self.size += len(record.result)

    def open(self) -> list[LoggedJob]:
        """Returns the jobs without an answer."""
        return [held for held in self.jobs.values() if held.answer is None]

    def answered_before(self, at_ms: int) -> list[str]:
        """Returns the jobs whose answer is older than `at_ms` (wall clock)."""
        return [
            job for job, held in self.jobs.items() if held.answer is not None and held.answer.at_ms < at_ms
        ]

    def image(self) -> bytes:
        """Returns a snapshot of the whole state."""
        return msgspec.msgpack.encode(list(self.jobs.values()))

    @staticmethod
    def of(image: bytes) -> JobLogState:
        """Restores the state from a snapshot."""
        state = JobLogState()
        for held in _snapshot_decoder.decode(image) if image else ():
            state.jobs[held.taken.job] = held
            state.size += len(held.taken.body) + (len(held.answer.result) if held.answer else 0)
        return state
