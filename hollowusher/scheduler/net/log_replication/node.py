"""One scheduler's copies behind sockets and a folder: messages in, storage, then messages and acts out.

All judgement is in rules/copies.  What this keeps is the order: what a step wants stored is stored before
anything that the same step says, or lets go on, leaves; while one write is under way the next ones gather.
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
from hollowusher.scheduler.net.log_replication.storage import Folder, Nowhere, Storage
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
REOPEN_S = 1.0  # after a failed write; nothing is promised meanwhile


@dataclass(slots=True)
class Batch:
    """What some steps want: stored first, then sent and done."""

    stores: list[tuple[str, Store]] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)
    acts: list[ReplicationInstruction] = field(default_factory=list)


class CopiesNode(NoDrain):
    """The part that runs.  `act` is called with each thing that may go on."""

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
        self._promised = False
        self._tick_at = time.monotonic_ns()
        self._missing: set[str] = set()
        self.replication = self._begin()

    def _opened(self) -> Storage:
        return Folder(self._config.folder) if self._config.folder is not None else Nowhere()

    def _begin(self) -> JobReplication:
        """A keeper of what the storage gives back."""
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
        """Listen, connect, and ask what the others know."""
        for name, address in self._config.others.items():
            if name != self._config.name:
                self._outgoing[name] = OutgoingStream(name, self._config.name, address)
        assert self._config.listen is not None
        self._incoming = Incoming(
            self._config.listen, self._heard, lambda why: self._log.warning("copies-bad", why)
        )
        self._incoming.start()
        self._tick()

    async def stop(self) -> None:
        """End; what is under way is not waited for, the others have it."""
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
        """What people on call ask for."""
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

    # --- in -----------------------------------------------------------------------------------------------

    def take(self, taken: JobTakenRecord, handle: Hashable, again: bool) -> None:
        """A client asks for a job of a copied class."""
        self.replication.take(time.monotonic_ns(), _ms(), taken, handle, again)
        self._pump()

    def intent(self, job: str, number: int, node: str, cell: str, handle: Hashable) -> None:
        """The desk orders an attempt."""
        self.replication.intent(time.monotonic_ns(), _ms(), job, number, node, cell, handle)
        self._pump()

    def ended(self, job: str, number: int, never: bool) -> None:
        """An attempt is over."""
        self.replication.ended(time.monotonic_ns(), _ms(), job, number, never)
        self._pump()

    def answer(self, answer: AnswerRecord, handle: Hashable, until_ms: int) -> None:
        """The desk has its answer."""
        self.replication.answer(time.monotonic_ns(), _ms(), answer, handle, until_ms)
        self._pump()

    def gone(self, job: str, handle: Hashable) -> None:
        """This client waits no more."""
        self.replication.client_disconnected(job, handle)

    def view(self, missing: set[str]) -> None:
        """Whom the members' view holds dead."""
        self._missing = missing
        self.replication.replicas.set_missing_members(time.monotonic_ns(), missing)
        self._arm()

    def _heard(self, sender: str, message: Message) -> None:
        if sender not in self._config.others:
            return
        now = time.monotonic_ns()
        if isinstance(message, FindJob | JobFound):
            self.replication.handle_message(now, _ms(), message, sender)
        else:
            self.replication.replicas.step(now, _ms(), message, sender)
            self.replication.tick(now, _ms())
        self._pump()

    def _tick(self) -> None:
        now = time.monotonic_ns()
        self._tick_at = now + round(TICK_S * 1e9)
        self.replication.replicas.step(now, _ms())
        self.replication.tick(now, _ms())
        can_write = self.replication.replicas.can_write(now)
        if can_write != self._promised:
            self._promised = can_write
            if can_write:
                self._log.notice("copies-promise", "jobs are taken: our log is ours")
            else:
                self._log.warning("copies-no-promise", "no majority of our group answers: jobs are refused")
        self._pump()

    # --- out ----------------------------------------------------------------------------------------------

    def _pump(self) -> None:
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
        """Store what there is, and let go what waited for it."""
        batch, self._batch = self._batch, Batch()
        if not batch.stores or isinstance(self._storage, Nowhere):
            self._release(batch)
            return
        self._flushing = asyncio.create_task(self._store(batch))

    async def _store(self, batch: Batch) -> None:
        """One write a log, beside the loop: a slow disk slows promises and nothing else."""
        loop, logs = asyncio.get_running_loop(), self.replication.replicas.logs
        by_owner: dict[str, list[Store]] = {}
        for owner, store in batch.stores:
            by_owner.setdefault(owner, []).append(store)
        try:
            for owner, stores in by_owner.items():
                await loop.run_in_executor(None, self._storage.write, owner, stores, logs[owner].replica.kept)
        except OSError as wrong:
            self._log.error("copies-storage", f"{wrong}: nothing is promised until it can be written again")
            # What could not be stored was never said: all that waited for it is told so, and all begins anew.
            left, self._batch = self._batch, Batch()
            for act in self.replication.abandon(_ms(), batch.acts + left.acts):
                self._act(act)
            await asyncio.sleep(REOPEN_S)
            self._storage.close()
            self._storage = self._opened()
            for act in self.replication.abandon(_ms(), self._batch.acts):  # who has come meanwhile
                self._act(act)
            self._batch = Batch()
            self.replication = self._begin()
            self._flushing = None
            self._pump()
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
        # The tick has its own time: messages that come more often than it is due must not put it off.
        due = min(self.replication.replicas.due(), self._tick_at)
        wait_s = max(0.001, (due - time.monotonic_ns()) / 1e9)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)


def _ms() -> int:
    return int(time.time() * 1000)
