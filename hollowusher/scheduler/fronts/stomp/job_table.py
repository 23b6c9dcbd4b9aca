"""The job ledger: records the jobs of STOMP clients, so that a resent job never runs twice.

The key of an entry is the client's login and the job id.  The entry of an unsafe job is kept for its
configured window after the answer, even if the ledger is full.  A full ledger rejects new jobs.
"""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from hollowusher.balancing.interface import Effect
from hollowusher.scheduler.dispatch.model import ClientJob, JobAnswerBody, Verdict

ENTRY_BYTES = 768  # memory of an entry without its key, its job body and its answer


class ResendState(Enum):
    """Result of looking up a sent job in the ledger."""

    NEW = "new"  # the job is new and was entered
    JOINED = "joined"  # the job is in flight, and the frame waits for its answer
    KEPT = "kept"  # the ledger has the answer
    CONFLICT = "conflict"  # the id belongs to a job with other content
    UNKNOWN = "unknown"  # a resent unsafe job without an entry: it may have run, so it must not run now
    FULL = "full"  # the ledger has no room for the job


@dataclass(eq=False, slots=True)
class JobTableEntry:
    """One job of one client, its answer once known, and the frames that wait for the answer."""

    key: tuple[str, str]
    fingerprint: bytes
    effect: Effect
    body_bytes: int  # size of the job's body, which is kept while the job is open
    job: ClientJob | None = None
    answer: JobAnswerBody | None = None
    ended_ns: int = 0
    waiters: list[Any] = field(default_factory=list)  # the frames that wait for this answer

    @property
    def weight(self) -> int:
        """Bytes that the entry contributes to the size of the ledger."""
        size = ENTRY_BYTES + len(self.key[0]) + len(self.key[1])
        return size + (len(self.answer.result) if self.answer else self.body_bytes)


def fingerprint(job_class: str, subject: str, repeat_key: str, body: bytes) -> bytes:
    """Return a hash of a job's content; frames with equal fingerprints send the same job."""
    digest = hashlib.sha256()
    for part in (job_class.encode(), subject.encode(), repeat_key.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


class JobTable:
    """The entries of the ledger, limited in count and bytes.

    The entry of an answered job expires after `unsafe_window_ns` if its class is unsafe, otherwise after
    `keep_ns`."""

    def __init__(self, max_jobs: int, max_bytes: int, unsafe_window_ns: int, keep_ns: int) -> None:
        self._max_jobs, self._max_bytes = max_jobs, max_bytes
        self._windows = {Effect.UNSAFE: unsafe_window_ns, Effect.KEYED: keep_ns, Effect.SAFE: keep_ns}
        self._entries: dict[tuple[str, str], JobTableEntry] = {}
        self._ended: dict[Effect, deque[JobTableEntry]] = {effect: deque() for effect in Effect}
        self.bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(
        self, key: tuple[str, str], mark: bytes, effect: Effect, body_bytes: int, resend: bool, now: int
    ) -> tuple[ResendState, JobTableEntry | None]:
        """Look up a job by its key and fingerprint (`mark`), and enter it if it is new and there is room.

        `resend` is the client's flag that it may have sent the job before.  Returns the state and the entry;
        the entry is None if the state is FULL."""
        self._expire(now)
        entry = self._entries.get(key)
        if entry is not None and entry.fingerprint != mark:
            return ResendState.CONFLICT, entry
        if entry is not None and entry.answer is None:
            return ResendState.JOINED, entry
        if entry is not None and entry.answer is not None:
            if resend or entry.answer.verdict is not Verdict.REFUSED:
                return ResendState.KEPT, entry
            # The job was rejected and never ran, so a repeated request is a new job.
            self.remove(entry)
        if not self._forget_answered():
            return ResendState.FULL, None
        entry = self._entries[key] = JobTableEntry(key, mark, effect, body_bytes)
        self.bytes += entry.weight
        return (ResendState.UNKNOWN if resend and effect is Effect.UNSAFE else ResendState.NEW), entry

    def answered(self, entry: JobTableEntry, answer: JobAnswerBody, now: int) -> None:
        """Store the final answer of a job and start the time window of its entry."""
        if self._entries.get(entry.key) is not entry:
            return  # the entry was removed because its client had disconnected
        self.bytes -= entry.weight
        entry.job, entry.answer, entry.ended_ns = None, answer, now
        self.bytes += entry.weight
        self._ended[entry.effect].append(entry)

    def remove(self, entry: JobTableEntry) -> None:
        """Remove an entry if it is still in the ledger."""
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
            self.bytes -= entry.weight

    def forget(self, key: tuple[str, str]) -> None:
        """Remove the entry of a job that was not accepted after its lookup."""
        self.remove(self._entries[key])

    def _expire(self, now: int) -> None:
        for effect, ended in self._ended.items():
            while ended and now - ended[0].ended_ns >= self._windows[effect]:
                self.remove(ended.popleft())

    def _forget_answered(self) -> bool:
        """Return whether there is room for one more entry; make room by removing answers of SAFE jobs."""
        safe = self._ended[Effect.SAFE]
        while self._full() and safe:
            self.remove(safe.popleft())
        return not self._full()

    def _full(self) -> bool:
        return len(self._entries) >= self._max_jobs or self.bytes >= self._max_bytes
