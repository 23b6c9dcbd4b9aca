"""Schedulers that copy what they hold, in virtual time: jobs, clients that come back, nodes that count runs.

The keeper and the custody are those of the program; desk, nodes, clients and network are as plain as can be.
"""

from __future__ import annotations

import copy
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hollowusher.balancing.interface import Effect, Group, JobClass
from hollowusher.scheduler.emulator.heap import Heap
from hollowusher.scheduler.rules.log_replication.job_replication import (
    JobReplication,
    ReplicationAction,
    ReplicationInstruction,
)
from hollowusher.scheduler.rules.log_replication.log_replicas import LogReplicas
from hollowusher.scheduler.rules.log_replication.pace import MS, ReplicationTiming
from hollowusher.scheduler.rules.log_replication.records import AnswerRecord, JobTakenRecord
from hollowusher.scheduler.rules.log_replication.replica import PersistentState

S = 1000 * MS
CLASSES = {
    c.name: c
    for c in (
        JobClass("quote", S, 5 * S, effect=Effect.SAFE),
        JobClass("assign", S, 8 * S, effect=Effect.KEYED, group=Group.CELL, window_ns=2 * S),
        JobClass("settle", S, 10 * S, effect=Effect.UNSAFE),
    )
}
BUDGET_MS = {"quote": 5_000, "assign": 8_000, "settle": 10_000}
TICK_NS = 50 * MS
ALONE_MS = 1_500  # after this without an answer, a client tries elsewhere


@dataclass(slots=True, eq=False)
class SchedulerProcess:
    """One scheduler's process."""

    name: str
    rate: float
    replication: JobReplication | None = None
    process_id: int = 0
    disks: dict[str, PersistentState] = field(default_factory=dict)
    paused_until: int = 0
    inbox: list[Callable[[], None]] = field(default_factory=list)
    attempts: Counter[str] = field(default_factory=Counter)  # of the plain desk
    work: dict[str, JobTakenRecord] = field(default_factory=dict)
    handles: dict[str, Any] = field(default_factory=dict)  # whom to tell of a job's answer


@dataclass(slots=True)
class Client:
    """One client and its job."""

    taken: JobTakenRecord
    asked_at: int
    answers: list[AnswerRecord] = field(default_factory=list)
    begun: bool = False  # whether anyone took it
    tries: int = 0
    refused: int = 0
    asked: list[tuple[str, Any]] = field(default_factory=list)  # whom it asks just now: scheduler, handle
    done: bool = False


class JobReplicationNetwork(Heap):
    """Some schedulers, all chance from one seed.  `make`: the keeper, or one with a planted fault."""

    def __init__(
        self,
        size: int,
        seed: int,
        group: int = 3,
        storage: bool = False,
        loss: float = 0.0,
        make: Callable[..., LogReplicas] = LogReplicas,
        replication: Callable[..., JobReplication] = JobReplication,
        pace: ReplicationTiming | None = None,
    ) -> None:
        super().__init__()
        self.chance, self.group, self.storage, self.loss = random.Random(seed), group, storage, loss
        self._make, self._replication, self.pace = make, replication, pace or ReplicationTiming()
        self.names = tuple(f"n{i}" for i in range(size))
        self.steps = self.messages = 0
        self.cuts: set[tuple[str, str]] = set()
        self.processes = {n: SchedulerProcess(n, 1 + self.chance.uniform(-0.01, 0.01)) for n in self.names}
        self.clients: dict[str, Client] = {}
        self.runs: Counter[str] = Counter()
        self.reported: list[tuple[int, str, str, str]] = []
        self.die_at_go = 0.0  # how often a process ends just as an attempt has gone out
        for name in self.names:
            self.start(name)

    # --- faults -------------------------------------------------------------------------------------------

    def start(self, name: str, disk: bool = True) -> None:
        """A process starts, with its disk or without."""
        p = self.processes[name]
        if not (disk and self.storage):
            p.disks = {}
        p.process_id += 1
        p.paused_until, p.inbox, p.attempts, p.work, p.handles = 0, [], Counter(), {}, {}
        replicas = self._make(
            name,
            self.names,
            self.group,
            self.pace,
            random.Random(self.chance.random()),
            self._clock(p),
            CLASSES,
            copy.deepcopy(p.disks),
        )
        p.replication = self._replication(replicas, self.names, CLASSES)
        self._after(p)
        self._tick(p, p.process_id)

    def crash(self, name: str) -> None:
        """It ends without a word; its clients notice, and what it had sent out runs on."""
        self.processes[name].replication = None
        self.processes[name].process_id += 1

    def pause(self, name: str, span: int) -> None:
        """It does not run; what comes waits."""
        p = self.processes[name]
        p.paused_until = self.now + span
        self.at(p.paused_until, lambda: self._resume(p))

    def complete(self) -> bool:
        """Whether all run, and know all that they must."""
        return all(
            q.replication is not None and not q.replication.replicas.is_learning()
            for q in self.processes.values()
        )

    def cut(self, a: str, b: str, span: int) -> None:
        """Nothing passes from a to b for a while."""
        self.cuts.add((a, b))
        self.at(self.now + span, lambda: self.cuts.discard((a, b)))

    # --- clients ------------------------------------------------------------------------------------------

    def ask(self, job: str, job_class: str) -> None:
        """A new client asks for a job."""
        until_ms = self._ms() + BUDGET_MS[job_class]
        self.clients[job] = Client(JobTakenRecord(job, job_class, "s", b"body", until_ms), self.now)
        self._try(job)

    def _try(self, job: str) -> None:
        client = self.clients[job]
        if client.done or self._ms() > client.taken.until_ms:
            return
        for name, left in client.asked:  # it has left whom it asked before
            p = self.processes[name]
            if p.replication is not None and p.process_id == left[2]:
                p.replication.client_disconnected(job, left)
        client.asked = []
        client.tries += 1
        self._ask_one(client, client.tries > 1, 0)
        if self.chance.random() < 0.15:  # it is impatient, and asks elsewhere, or there, almost at once
            says = client.taken.job_class != "settle" or self.chance.random() < 0.5  # that it asks again
            self._ask_one(client, says, round(self.chance.uniform(0, 20) * MS))
        # Whatever becomes of it, it is back after a while; at once where its scheduler dies, in effect.
        self.at(self.now + ALONE_MS * MS, lambda: self._try(job))

    def _ask_one(self, client: Client, again: bool, delay: int) -> None:
        up = [p for p in self.processes.values() if p.replication is not None]
        if not up:
            return
        p = self.chance.choice(up)
        handle = (client.taken.job, client.tries, p.process_id, len(client.asked))
        client.asked.append((p.name, handle))
        self.after(
            delay,
            lambda: (
                self._do(p, lambda c: c.take(self._clock(p), self._ms(), client.taken, handle, again))
                if p.process_id == handle[2]
                else None
            ),
        )

    def _again(self, job: str) -> None:
        self.clients[job].done = False
        self._try(job)

    # --- schedulers ---------------------------------------------------------------------------------------

    def _clock(self, p: SchedulerProcess) -> int:
        return round(self.now * p.rate)

    def _ms(self) -> int:
        return 1_000_000 + self.now // MS

    def _tick(self, p: SchedulerProcess, process_id: int) -> None:
        if p.replication is None or p.process_id != process_id:
            return
        self._do(p, lambda c: c.replicas.step(self._clock(p), self._ms()))
        self.at(self.now + TICK_NS, lambda: self._tick(p, process_id))

    def _do(self, p: SchedulerProcess, what: Callable[[JobReplication], None]) -> None:
        if p.replication is None:
            return
        if self.now < p.paused_until:
            p.inbox.append(lambda: self._do(p, what))
            return
        self.steps += 1
        what(p.replication)
        p.replication.tick(self._clock(p), self._ms())
        self._after(p)

    def _resume(self, p: SchedulerProcess) -> None:
        waiting, p.inbox = p.inbox, []
        for what in waiting:
            what()

    def _after(self, p: SchedulerProcess) -> None:
        replication = p.replication
        assert replication is not None
        replicas = replication.replicas
        while (
            replicas.stores
            or replicas.sends
            or replication.instructions
            or replication.lookup_messages
            or replicas.reported
        ):
            for owner in {owner for owner, _ in replicas.stores} if self.storage else ():
                p.disks[owner] = copy.deepcopy(replicas.logs[owner].replica.kept)
            replicas.stores = []
            sends, replicas.sends = replicas.sends, []
            for name, message in sends:
                self._send(
                    p.name,
                    name,
                    lambda c, q, m=message: c.replicas.step(  # type: ignore[misc]
                        self._clock(q), self._ms(), m, p.name
                    ),
                )
            asks, replication.lookup_messages = replication.lookup_messages, []
            for name, ask in asks:
                for other in [name] if name else [n for n in self.names if n != p.name]:
                    self._send(
                        p.name,
                        other,
                        lambda c, q, m=ask: c.handle_message(  # type: ignore[misc]
                            self._clock(q), self._ms(), m, p.name
                        ),
                    )
            self.reported += [(self.now, p.name, owner, what) for owner, what in replicas.reported]
            replicas.reported = []
            acts, replication.instructions = replication.instructions, []
            for act in acts:
                if p.replication is not replication:
                    return  # it has ended meanwhile
                self._act(p, replication, act)

    def _send(
        self, source: str, target: str, what: Callable[[JobReplication, SchedulerProcess], None]
    ) -> None:
        self.messages += 1
        if (source, target) in self.cuts or self.chance.random() < self.loss:
            return
        q = self.processes[target]
        process_id = q.process_id
        delay = round(self.chance.uniform(0.2, 6.0) * MS)
        self.at(
            self.now + delay,
            lambda: self._do(q, lambda c: what(c, q)) if q.process_id == process_id else None,
        )

    def _act(self, p: SchedulerProcess, replication: JobReplication, act: ReplicationInstruction) -> None:
        match act.do:
            case ReplicationAction.START:
                taken = act.adopted.held.taken if act.adopted else self.clients[self._job(act.handle)].taken
                self.clients[taken.job].begun = True
                p.work[taken.job] = taken
                p.handles[taken.job] = act.handle
                self._dispatch(p, replication, taken.job)
            case ReplicationAction.REFUSE:
                self.clients[self._job(act.handle)].refused += 1
            case ReplicationAction.ANSWER if act.answer is not None and act.handle is not None:
                job, tries = self._job(act.handle), self._tries(act.handle)
                client = self.clients[job]
                if tries == client.tries:  # else it has left
                    client.answers.append(act.answer)
                    client.done = True
                    if self.chance.random() < 0.2:  # it comes back for its answer
                        self.at(self.now + round(self.chance.uniform(0.5, 5) * S), lambda: self._again(job))
            case ReplicationAction.GO:
                self._run(p, self._job(act.handle))
                if self.chance.random() < self.die_at_go and self.complete():
                    self.crash(p.name)  # its last byte went out, and whatever it had not said yet did not
            case ReplicationAction.NOT_SENT:
                job = self._job(act.handle)
                process_id = p.process_id
                self.at(
                    self.now + 100 * MS,
                    lambda: (
                        self._do(p, lambda c: self._dispatch(p, c, job))
                        if p.process_id == process_id and job in p.work
                        else None
                    ),
                )
            case _:
                pass

    def _job(self, handle: Any) -> str:
        return str(handle[0])

    def _tries(self, handle: Any) -> int:
        return int(handle[1])

    def _dispatch(self, p: SchedulerProcess, replication: JobReplication, job: str) -> None:
        """The plain desk: any node, three attempts, then it gives up."""
        if self._ms() > p.work[job].until_ms:
            p.work.pop(job)
            return
        if p.attempts[job] >= 3:
            p.work.pop(job)
            failed = AnswerRecord(job, "failed", self._ms())
            replication.answer(self._clock(p), self._ms(), failed, p.handles.get(job), self._ms() + 2_000)
            return
        p.attempts[job] += 1
        number = p.process_id * 100 + p.attempts[job]
        cell = str(self.chance.randrange(2))
        replication.intent(self._clock(p), self._ms(), job, number, f"s{cell}", cell, (job, number))

    def _run(self, p: SchedulerProcess, job: str) -> None:
        """The node has it: it runs, whatever becomes of whoever sent it."""
        self.runs[job] += 1
        process_id, fails = p.process_id, self.chance.random() < 0.1
        number = p.process_id * 100 + p.attempts[job]

        def over() -> None:
            if p.process_id != process_id:
                return

            def end(c: JobReplication) -> None:
                taken = p.work.get(job)
                if taken is None:
                    return
                c.ended(self._clock(p), self._ms(), job, number, False)
                if fails and taken.job_class != "settle":
                    self._dispatch(p, c, job)
                    return
                p.work.pop(job, None)
                verdict = "failed" if fails else "served"
                result = b"" if fails else f"r:{job}".encode()
                c.answer(
                    self._clock(p),
                    self._ms(),
                    AnswerRecord(job, verdict, self._ms(), result),
                    p.handles.get(job),
                    taken.until_ms,
                )

            self._do(p, end)

        self.at(self.now + round(self.chance.uniform(20, 400) * MS), over)

    # --- what must hold -----------------------------------------------------------------------------------

    def faults(self) -> list[str]:
        """What must not be, over all that has been played."""
        found = []
        for job, client in self.clients.items():
            if client.taken.job_class == "settle" and self.runs[job] > 1:
                found.append(f"{job} ran {self.runs[job]} times")
            served = {a.result for a in client.answers if a.verdict == "served"}
            if len(served) > 1 or (served and served != {f"r:{job}".encode()}):
                found.append(f"{job} was told {served}")
            if served and not self.runs[job]:
                found.append(f"{job} was told a result and never ran")
            verdicts = [a.verdict for a in client.answers if a.at_ms < client.taken.until_ms - 100]
            if len(set(verdicts)) > 1:
                found.append(f"{job} was told {verdicts}")
        return found

    def figures(self) -> Mapping[str, float]:
        """Shares over all jobs: served, failed, nothing heard."""
        many = max(1, len(self.clients))
        served = sum(any(a.verdict == "served" for a in c.answers) for c in self.clients.values())
        failed = sum(
            bool(c.answers) and all(a.verdict == "failed" for a in c.answers) for c in self.clients.values()
        )
        lost = sum(c.begun and not c.answers for c in self.clients.values())
        return {
            "served": served / many,
            "failed": failed / many,
            "begun, no answer": lost / many,
            "messages a job": self.messages / many,
        }
