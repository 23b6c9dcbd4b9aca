"""Builders and a driver for tests of balancers through `Balancer.step`."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from hollowusher.balancing import (
    Action,
    Arrival,
    Balancer,
    Effect,
    Ended,
    Event,
    Group,
    JobClass,
    Limits,
    Listed,
    ListKind,
    Outcome,
    Probe,
    Probed,
    Reading,
    Send,
    Settings,
    Started,
    State,
    Via,
    Wake,
    WorkerList,
)

MS = 1_000_000
S = 1000 * MS

SAFE = JobClass("safe", aim_ns=200 * MS, deadline_ns=5 * S, stretch=2.0, effect=Effect.SAFE)
KEYED = JobClass(
    "keyed",
    aim_ns=200 * MS,
    deadline_ns=5 * S,
    stretch=2.0,
    effect=Effect.KEYED,
    group=Group.ALL,
    window_ns=2 * S,
)
UNSAFE = JobClass("unsafe", aim_ns=200 * MS, deadline_ns=5 * S, stretch=2.0, effect=Effect.UNSAFE)
LIMITS = Limits(
    cancel=True, probes=True, second_copies=True, retry_after=True, max_retry_after_ns=2 * S, max_attempts=3
)
SITE = Settings(
    classes=(SAFE, KEYED, UNSAFE),
    zone="a",
    zones=("a", "b"),
    tick_ns=5 * MS,
    readings=Via.ANSWERS,
    tells_start=True,
    progress_ns=S,
    limits=LIMITS,
)


def site(**changes: object) -> Settings:
    """Return the common settings with changes."""
    return replace(SITE, **changes)  # type: ignore[arg-type]


def only(cls: JobClass, **changes: object) -> Settings:
    """Return the common settings with a single class."""
    return site(classes=(cls,), **changes)


class Node:
    """Drives one balancer: advances the clock, delivers requested wake-ups and records the actions."""

    def __init__(
        self,
        settings: Settings = SITE,
        workers: Iterable[Listed] = (),
        seed: int = 1,
        free: dict[int, float] | None = None,  # free slots that probes of each worker report
    ) -> None:
        self.settings = settings
        self.now = 1000 * S
        self.balancer = Balancer(settings, seed, self.now)
        self.log: list[tuple[int, Action]] = []
        self.wakes: list[int] = []
        self.answers_probes = True
        self.free = free or {}
        self.listing(ListKind.CACHED, *workers)

    def step(self, *events: Event) -> list[Action]:
        """Process events at the present time and return the actions."""
        actions = self.balancer.step(self.now, list(events))
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, Wake):
                self.wakes.append(self.now + action.in_ns)
        probed = [a.worker for a in actions if isinstance(a, Probe)]
        if self.answers_probes and probed:
            self.step(
                *(
                    Probed(w, True, Reading(free_slots=self.free.get(w)))
                    for w in probed
                    if self.free.get(w) is not None
                )
            )
        return actions

    def run(self, span: int) -> list[Action]:
        """Advance the clock by `span` ns with all requested wake-ups and return the actions of that time."""
        end, start = self.now + span, len(self.log)
        while self.wakes and min(self.wakes) <= end:
            self.now = max(self.now, min(self.wakes))
            self.wakes = [w for w in self.wakes if w > self.now]
            self.step()
        self.now = end
        self.step()
        return [action for _, action in self.log[start:]]

    def listing(self, kind: ListKind, *entries: Listed) -> list[Action]:
        """Deliver a worker list event."""
        return self.step(WorkerList(kind, tuple(entries)))

    def arrive(self, request: str, job_class: str, left: int = 5 * S, slots: float = 1.0) -> list[Action]:
        """Deliver the arrival of a client request."""
        return self.step(Arrival(request, job_class, left, slots=slots))

    def ended(
        self, send: Send, outcome: Outcome, attempt: int = 0, reading: Reading | None = None
    ) -> list[Action]:
        """Deliver the end of an attempt; an OK outcome is the final answer of its request."""
        final = outcome is Outcome.OK
        return self.step(Ended(send.request, attempt, send.worker, outcome, final, reading))

    def started(self, send: Send, attempt: int = 0) -> list[Action]:
        """Deliver the start of a job."""
        return self.step(Started(send.request, attempt, send.worker))

    def serve(self, send: Send, run: int = 100 * MS, attempt: int = 0) -> None:
        """Let a worker start a job at once and answer it after `run` ns."""
        self.started(send, attempt)
        self.run(run)
        self.ended(send, Outcome.OK, attempt)


def workers(*ids: int, **fields: object) -> list[Listed]:
    """Return list entries of ready workers in the balancer's own zone."""
    entry: Listed = replace(Listed(0, zone="a", kind="k"), **fields)  # type: ignore[arg-type]
    return [replace(entry, worker=i) for i in ids]


def draining(worker: int) -> Listed:
    """Return the list entry of a draining worker."""
    return Listed(worker, zone="a", kind="k", state=State.DRAINING)


def sends(actions: Iterable[Action]) -> list[Send]:
    """Return the sends among actions."""
    return [a for a in actions if isinstance(a, Send)]


class SimulatedWorkers:
    """Simulated workers that start jobs in order as slots become free, unless a fault is set for them."""

    def __init__(self, node: Node, slots: int = 2, run: int = 100 * MS) -> None:
        self.node, self.slots, self.run = node, slots, run
        self.silent: set[int] = set()  # workers that accept jobs and send no updates
        self.failing: set[int] = set()  # workers that answer each job with an error at once
        self.refusing: set[int] = set()  # workers that refuse connections
        self.slow: dict[int, float] = {}  # factor on the running time of a worker's jobs
        self.sent: list[Send] = []
        self.waiting: dict[int, list[tuple[Send, int]]] = {}
        self.running: dict[int, list[tuple[int, Send, int]]] = {}
        self.attempts: dict[str, int] = {}
        self.answered: list[str] = []
        self._seen = len(node.log)

    def play(self, span: int, every: int = 37 * MS, job_class: str = "safe", prefix: str = "r") -> list[Send]:
        """Advance the clock by `span` ns with one request every `every` ns and return the new sends.

        The default interval does not coincide with any timer.
        """
        node, end, count, first = self.node, self.node.now + span, 0, len(self.sent)
        due = node.now
        while node.now < end:
            if every and node.now >= due:
                due += every
                count += 1
                node.arrive(f"{prefix}{count}", job_class)
            node.run(5 * MS)
            self._work()
        return self.sent[first:]

    def _work(self) -> None:
        node = self.node
        new = sends(a for _, a in node.log[self._seen :])
        self._seen = len(node.log)
        for send in new:
            attempt = self.attempts.get(send.request, 0)
            self.attempts[send.request] = attempt + 1
            self.sent.append(send)
            if send.worker in self.refusing:
                node.ended(send, Outcome.UNREACHABLE, attempt)
            elif send.worker in self.failing:
                node.ended(send, Outcome.ERROR, attempt)
            else:
                self.waiting.setdefault(send.worker, []).append((send, attempt))
        for worker in sorted(self.waiting.keys() - self.silent):
            running, waiting = self.running.setdefault(worker, []), self.waiting[worker]
            for job in [j for j in running if j[0] <= node.now]:
                running.remove(job)
                self.answered.append(job[1].request)
                free = float(self.slots - len(running))
                node.ended(job[1], Outcome.OK, job[2], Reading(free_slots=free))
            while waiting and len(running) < self.slots:
                send, attempt = waiting.pop(0)
                running.append((node.now + round(self.run * self.slow.get(worker, 1.0)), send, attempt))
                node.started(send, attempt)
