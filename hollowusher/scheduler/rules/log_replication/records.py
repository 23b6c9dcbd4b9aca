"""What is kept of a job, and the book that a log's records make (docs/copies-design.md: their promises)."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from msgspec import Struct


class JobTakenRecord(Struct, frozen=True, array_like=True, tag="t", omit_defaults=True):
    """The job is ours and is owed one answer.  `until_ms`: when its client stops waiting (wall clock)."""

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
    """An attempt is about to go out: from here on it may have run.  `at_ms`: wall clock."""

    job: str
    number: int
    node: str
    cell: str
    at_ms: int


class AttemptEndRecord(Struct, frozen=True, array_like=True, tag="e"):
    """An attempt is over; `never`: it is proven that it never ran."""

    job: str
    number: int
    never: bool


class AnswerRecord(Struct, frozen=True, array_like=True, tag="a", omit_defaults=True):
    """The one answer.  A client may be told it from here on."""

    job: str
    verdict: str
    at_ms: int
    result: bytes = b""
    wait_ns: int = 0


class Forgotten(Struct, frozen=True, array_like=True, tag="f"):
    """Answers that nobody comes back for any more."""

    jobs: tuple[str, ...]


Record = JobTakenRecord | Intent | AttemptEndRecord | AnswerRecord | Forgotten
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Record)


def pack(record: Record) -> bytes:
    """A record as an entry's data."""
    return _encoder.encode(record)


def unpack(data: bytes) -> Record:
    """Back again; msgspec.DecodeError where it is none."""
    return _decoder.decode(data)


class LoggedJob(Struct, array_like=True):
    """A job as the book has it."""

    taken: JobTakenRecord
    intents: list[Intent] = []
    never: set[int] = set()  # attempts that are proven never to have run
    answer: AnswerRecord | None = None

    def may_have_run(self) -> list[Intent]:
        """Attempts that were to go out and are not known never to have run."""
        return [i for i in self.intents if i.number not in self.never]


_snapshot_decoder = msgspec.msgpack.Decoder(list[LoggedJob])


@dataclass(slots=True)
class JobLogState:
    """All jobs of one log.  Records of jobs that are not known, or come twice, change nothing."""

    jobs: dict[str, LoggedJob] = field(default_factory=dict)
    size: int = 0  # bytes of bodies and results

    def apply(self, record: Record) -> None:
        """Take one committed record."""
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
        """Jobs that are owed an answer."""
        return [held for held in self.jobs.values() if held.answer is None]

    def answered_before(self, at_ms: int) -> list[str]:
        """Jobs whose answer is older."""
        return [
            job for job, held in self.jobs.items() if held.answer is not None and held.answer.at_ms < at_ms
        ]

    def image(self) -> bytes:
        """The whole book."""
        return msgspec.msgpack.encode(list(self.jobs.values()))

    @staticmethod
    def of(image: bytes) -> JobLogState:
        """A book from its image."""
        state = JobLogState()
        for held in _snapshot_decoder.decode(image) if image else ():
            state.jobs[held.taken.job] = held
            state.size += len(held.taken.body) + (len(held.answer.result) if held.answer else 0)
        return state
