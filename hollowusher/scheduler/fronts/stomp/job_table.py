"""The job ledger: what clients have asked for, so that asking again never runs a job twice.

Entries are kept under the client's identity and its job id.  One that protects an unsafe job stays for
its stated window after the answer, however full the ledger is; when there is no room, new jobs are refused.
"""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from hollowusher.balancing.interface import Effect
from hollowusher.scheduler.dispatch.model import ClientJob, JobAnswerBody, Verdict

ENTRY_BYTES = 768  # what an entry takes besides its texts and its answer


class ResendState(Enum):
    """What the ledger says of a job that is sent."""

    NEW = "new"
    JOINED = "joined"  # the job is in flight: this frame waits for its answer
    KEPT = "kept"  # the answer is here
    CONFLICT = "conflict"  # the id belongs to another job
    UNKNOWN = "unknown"  # a resend that must not run, since nobody knows whether the first one did
    FULL = "full"


@dataclass(eq=False, slots=True)
class JobTableEntry:
    """One job of one client."""

    key: tuple[str, str]
    fingerprint: bytes
    effect: Effect
    body_bytes: int  # what the job itself takes while it is open
    job: ClientJob | None = None
    answer: JobAnswerBody | None = None
    ended_ns: int = 0
    waiters: list[Any] = field(default_factory=list)  # the frames that are owed this answer

    @property
    def weight(self) -> int:
        """Bytes that it counts for."""
        size = ENTRY_BYTES + len(self.key[0]) + len(self.key[1])
        return size + (len(self.answer.result) if self.answer else self.body_bytes)


def fingerprint(job_class: str, subject: str, repeat_key: str, body: bytes) -> bytes:
    """What makes two jobs the same job."""
    digest = hashlib.sha256()
    for part in (job_class.encode(), subject.encode(), repeat_key.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


class JobTable:
    """Entries, bounded in count and bytes."""

    def __init__(self, most_jobs: int, most_bytes: int, unsafe_window_ns: int, keep_ns: int) -> None:
        self._most_jobs, self._most_bytes = most_jobs, most_bytes
        self._windows = {Effect.UNSAFE: unsafe_window_ns, Effect.KEYED: keep_ns, Effect.SAFE: keep_ns}
        self._entries: dict[tuple[str, str], JobTableEntry] = {}
        self._ended: dict[Effect, deque[JobTableEntry]] = {effect: deque() for effect in Effect}
        self.bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(
        self, key: tuple[str, str], mark: bytes, effect: Effect, body_bytes: int, resend: bool, now: int
    ) -> tuple[ResendState, JobTableEntry | None]:
        """Look a job up, and enter it where it is new."""
        self._expire(now)
        entry = self._entries.get(key)
        if entry is not None and entry.fingerprint != mark:
            return ResendState.CONFLICT, entry
        if entry is not None and entry.answer is None:
            return ResendState.JOINED, entry
        if entry is not None and entry.answer is not None:
            if resend or entry.answer.verdict is not Verdict.REFUSED:
                return ResendState.KEPT, entry
            # It was refused, so it never ran: asked anew, it is a new job.
            self.remove(entry)
        if not self._forget_answered():
            return ResendState.FULL, None
        entry = self._entries[key] = JobTableEntry(key, mark, effect, body_bytes)
        self.bytes += entry.weight
        return (ResendState.UNKNOWN if resend and effect is Effect.UNSAFE else ResendState.NEW), entry

    def answered(self, entry: JobTableEntry, answer: JobAnswerBody, now: int) -> None:
        """The job has its final answer, which is kept from now on for the window of its class."""
        if self._entries.get(entry.key) is not entry:
            return  # its client had gone, and it was forgotten before this answer
        self.bytes -= entry.weight
        entry.job, entry.answer, entry.ended_ns = None, answer, now
        self.bytes += entry.weight
        self._ended[entry.effect].append(entry)

    def remove(self, entry: JobTableEntry) -> None:
        """Forget an entry."""
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
            self.bytes -= entry.weight

    def forget(self, key: tuple[str, str]) -> None:
        """The job that was just entered is not taken after all."""
        self.remove(self._entries[key])

    def _expire(self, now: int) -> None:
        for effect, ended in self._ended.items():
            while ended and now - ended[0].ended_ns >= self._windows[effect]:
                self.remove(ended.popleft())

    def _forget_answered(self) -> bool:
        """Room for one more entry, if need be at the cost of answers to jobs that are safe to repeat."""
        safe = self._ended[Effect.SAFE]
        while self._full() and safe:
            self.remove(safe.popleft())
        return not self._full()

    def _full(self) -> bool:
        return len(self._entries) >= self._most_jobs or self.bytes >= self._most_bytes
