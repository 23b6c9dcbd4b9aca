"""Runs the log replication of one scheduler on sockets and storage.

The protocol logic is in rules/log_replication.  This module guarantees the order: it makes the writes of a
step durable before it sends the messages or executes the instructions of that step.  While a write is in
progress, further steps collect in the next batch.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, field

from hollowusher.balancing.interface import JobClass
from hollowusher.scheduler.component import NoDrain
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.log_replication.settings import CopiesConfig
from hollowusher.scheduler.net.log_replication.storage import FolderStorage, MemoryStorage, Storage
from hollowusher.scheduler.net.log_replication.wire import Incoming, Message, OutgoingStream, frame
from hollowusher.scheduler.rules.log_replication.job_replication import (
    FindJob,
    JobFound,
    JobReplication,
    ReplicationInstruction,
)
from hollowusher.scheduler.rules.log_replication.log_replicas import LogReplicas
from hollowusher.scheduler.rules.log_replication.pace import ReplicationTiming
from hollowusher.scheduler.rules.log_replication.records import AnswerRecord, JobTakenRecord
from hollowusher.scheduler.rules.log_replication.replica import Store

TICK_S = 0.1
REOPEN_S = 1.0  # delay before the storage is reopened after a failed write; no job is accepted meanwhile


@dataclass(slots=True)
class Batch:
    """The output of some steps: writes first, then messages and instructions."""

    stores: list[tuple[str, Store]] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)
    acts: list[ReplicationInstruction] = field(default_factory=list)


class CopiesNode(NoDrain):
    """A component that replicates job logs; calls `act` with each released instruction."""

    name = "copies"

    def __init__(
        self,
        config: CopiesConfig,
        classes: Mapping[str, JobClass],
        seed: int,
        act: Callable[[ReplicationInstruction], None],
        log: LogWriter,
        storage: Storage | None = None,
    ) -> None:
        self._config, self._classes, self._act, self._log = config, classes, act, log
        self._chance = random.Random(seed)
        self._storage = storage or self._opened()
        self._batch = Batch()
        self._flushing: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._outgoing: dict[str, OutgoingStream] = {}
        self._incoming: Incoming | None = None
        self._could_write = False
        self._tick_at = time.monotonic_ns()
        self._missing: set[str] = set()
        self.replication = self._begin()

    def _opened(self) -> Storage:
        return FolderStorage(self._config.folder) if self._config.folder is not None else MemoryStorage()

    def _begin(self) -> JobReplication:
        """Create the replication state from the logs in the storage."""
        kept, faults = self._storage.load()
        for fault in faults:
            self._log.error("copies-storage", fault)
        config = self._config
        replicas = LogReplicas(
            config.name,
            config.others,
            config.group,
            ReplicationTiming(round(config.lease_s * 1e9)),
            self._chance,
            time.monotonic_ns(),
            self._classes,
            kept,
            round(config.keep_s * 1000),
            config.most_jobs,
        )
        return JobReplication(replicas, tuple(sorted(config.others)), self._classes, config.seek_once)

    async def start(self) -> None:
        """Listen for the other schedulers, connect to them and start the recovery."""
        for name, address in self._config.others.items():
            if name != self._config.name:
                self._outgoing[name] = OutgoingStream(name, self._config.name, address)
        assert self._config.listen is not None
        self._incoming = Incoming(
            self._config.listen, self._receive, lambda why: self._log.warning("copies-bad", why)
        )
        self._incoming.start()
        self._tick()

    async def stop(self) -> None:
        """Stop; waits at most one second for a write in progress, as other replicas have the records."""
        if self._timer is not None:
            self._timer.cancel()
        if self._flushing is not None:
            await asyncio.wait({self._flushing}, timeout=1.0)
        for out in self._outgoing.values():
            out.task.cancel()
        if self._incoming is not None:
            await self._incoming.stop()
        self._storage.close()

    def report(self) -> Mapping[str, object]:
        """Return the state of each log and stream for operators."""
        now, replicas = time.monotonic_ns(), self.replication.replicas
        rows = {}
        for owner, log in replicas.logs.items():
            replica = log.replica
            rows[owner] = {
                "role": replica.role.value,
                "leader": replica.leader,
                "term": replica.kept.term,
                "promises": replicas.can_write(now, owner),
                "committed": replica.commit,
                "last": replica.kept.last,
                "open": len(log.jobs_state.open()),
                "jobs": len(log.jobs_state.jobs),
                "bytes": log.jobs_state.size,
                "lags": {n: replica.kept.last - p.match for n, p in replica.peers.items()},
            }
        return {
            "name": self._config.name,
            "rows": rows,
            "queued": {n: out.connected for n, out in self._outgoing.items()},
        }

    # --- input --------------------------------------------------------------------------------------------

    def take(self, taken: JobTakenRecord, handle: Hashable, again: bool) -> None:
        """Process a client's request for a job in a replicated class; `again` marks a repeated request."""
        self.replication.take(time.monotonic_ns(), _ms(), taken, handle, again)
        self._collect_output()

    def intent(self, job: str, number: int, node: str, cell: str, handle: Hashable) -> None:
        """Replicate the intent to start an attempt of a job on a node."""
        self.replication.intent(time.monotonic_ns(), _ms(), job, number, node, cell, handle)
        self._collect_output()

    def ended(self, job: str, number: int, never: bool) -> None:
        """Record the end of an attempt; `never` means that it did not run."""
        self.replication.ended(time.monotonic_ns(), _ms(), job, number, never)
        self._collect_output()

    def answer(self, answer: AnswerRecord, handle: Hashable, until_ms: int) -> None:
        """Replicate the answer to a job."""
        self.replication.answer(time.monotonic_ns(), _ms(), answer, handle, until_ms)
        self._collect_output()

    def gone(self, job: str, handle: Hashable) -> None:
        """Record that a client of the job has disconnected."""
        self.replication.client_disconnected(job, handle)

    def view(self, missing: set[str]) -> None:
        """Set the members that the membership view considers dead."""
        self._missing = missing
        self.replication.replicas.set_missing_members(time.monotonic_ns(), missing)
        self._arm()

    def _receive(self, sender: str, message: Message) -> None:
        if sender not in self._config.others:
            return
        now = time.monotonic_ns()
        if isinstance(message, FindJob | JobFound):
            self.replication.handle_message(now, _ms(), message, sender)
        else:
            self.replication.replicas.step(now, _ms(), message, sender)
            self.replication.tick(now, _ms())
        self._collect_output()

    def _tick(self) -> None:
        now = time.monotonic_ns()
        self._tick_at = now + round(TICK_S * 1e9)
        self.replication.replicas.step(now, _ms())
        self.replication.tick(now, _ms())
        can_write = self.replication.replicas.can_write(now)
        if can_write != self._could_write:
            self._could_write = can_write
            if can_write:
                self._log.notice(
                    "copies-promise", "jobs are accepted: this scheduler holds the lease of its log"
                )
            else:
                self._log.warning(
                    "copies-no-promise", "jobs are rejected: no majority of the group of this log responds"
                )
        self._collect_output()

    # --- output -------------------------------------------------------------------------------------------

    def _collect_output(self) -> None:
        replicas, batch = self.replication.replicas, self._batch
        batch.stores += replicas.stores
        batch.sends += replicas.sends
        for name, ask in self.replication.lookup_messages:
            batch.sends += [(n, ask) for n in ([name] if name else self._outgoing)]
        batch.acts += self.replication.instructions
        for owner, what in replicas.reported:
            self._log.notice("copies-log", what, owner=owner)
        replicas.stores, replicas.sends, replicas.reported = [], [], []
        self.replication.instructions, self.replication.lookup_messages = [], []
        if self._flushing is None:
            self._flush()
        self._arm()

    def _flush(self) -> None:
        """Store the current batch, then release its messages and instructions."""
        batch, self._batch = self._batch, Batch()
        if not batch.stores or isinstance(self._storage, MemoryStorage):
            self._release(batch)
            return
        self._flushing = asyncio.create_task(self._store(batch))

    async def _store(self, batch: Batch) -> None:
        """Write the batch in an executor, one write per log; a slow disk delays only replicated jobs."""
        loop, logs = asyncio.get_running_loop(), self.replication.replicas.logs
        by_owner: dict[str, list[Store]] = {}
        for owner, store in batch.stores:
            by_owner.setdefault(owner, []).append(store)
        try:
            for owner, stores in by_owner.items():
                await loop.run_in_executor(None, self._storage.write, owner, stores, logs[owner].replica.kept)
        except OSError as exc:
            self._log.error(
                "copies-storage", f"{exc}: no job is accepted until the storage can be written again"
            )
            # No message of the batch was sent.  Abandon its instructions and restart from the stored state.
            left, self._batch = self._batch, Batch()
            for act in self.replication.abandon(_ms(), batch.acts + left.acts):
                self._act(act)
            await asyncio.sleep(REOPEN_S)
            self._storage.close()
            self._storage = self._opened()
            for act in self.replication.abandon(_ms(), self._batch.acts):  # requests that arrived meanwhile
                self._act(act)
            self._batch = Batch()
            self.replication = self._begin()
            self._flushing = None
            self._collect_output()
            return
        self._flushing = None
        self._release(batch)
        if self._batch.stores or self._batch.sends or self._batch.acts:
            self._flush()

    def _release(self, batch: Batch) -> None:
        frames: dict[int, bytes] = {}
        for name, message in batch.sends:
            if (out := self._outgoing.get(name)) is not None:
                data = frames.get(id(message))
                if data is None:
                    data = frames[id(message)] = frame(message)
                out.put(data)
        for act in batch.acts:
            self._act(act)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        # The tick has a fixed due time, so that frequent messages do not postpone it.
        due = min(self.replication.replicas.due(), self._tick_at)
        wait_s = max(0.001, (due - time.monotonic_ns()) / 1e9)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)


def _ms() -> int:
    return int(time.time() * 1000)
