"""Executes the dispatcher's commands through the frontends, and tracks the attempts in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Protocol

from hollowusher.balancing.interface import Outcome, State
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    CancelAttempt,
    Dispatch,
    DispatchCommand,
    DispatchEvent,
    JobAttempt,
    NodeProbed,
    OperatorNotice,
    ProbeNode,
    ReplyToClient,
    WatchNodeList,
)
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.pool import Pool

SWEEP_S = 2.0


class NodeFrontend(Protocol):
    """What a frontend does for the nodes that it reaches."""

    async def attempt(self, command: Dispatch, node: RouteNode) -> None:
        """Run one attempt and post its end to the dispatcher."""

    async def probe(self, node: RouteNode) -> None:
        """Run one load probe and post its result to the dispatcher."""

    def leaving(self, number: int) -> None:
        """Stop new work on the connections to a node that drains, is gone or has been replaced."""


@dataclass(eq=False, slots=True)
class _RunningAttempt:
    """Task of one attempt.

    `begun` is False until the task first runs.  A task that is cancelled before that cannot report its end.
    """

    task: asyncio.Task[None] | None = None
    begun: bool = False

    async def run(self, work: Coroutine[None, None, None]) -> None:
        """Mark the attempt as begun, then run the frontend's coroutine."""
        self.begun = True
        await work


class EffectExecutor:
    """Executes dispatcher commands.

    A job from any client frontend can go to any node; the worker registry names the frontend of each node.
    """

    def __init__(self, registry: WorkerRegistry, pool: Pool, log: LogWriter) -> None:
        self._registry, self._pool, self._log = registry, pool, log
        self.nodes: dict[str, NodeFrontend] = {}
        self.post: Callable[[DispatchEvent], None] = lambda event: None
        self.watch: Callable[[], None] = lambda: None
        self._attempts: dict[JobAttempt, _RunningAttempt] = {}
        self._others: set[asyncio.Task[None]] = set()

    def carry_out(self, command: DispatchCommand) -> None:
        """Execute one command without blocking; attempts and probes run as tasks."""
        match command:
            case Dispatch(attempt):
                node = self._registry.node(attempt.node)
                # Since the dispatcher's step the node may have started to drain, or the client may have left.
                if node is None or not self._registry.serving(attempt.node) or command.job.gone():
                    self.post(AttemptEnded(attempt, Outcome.NOT_SENT))
                    return
                self._start_attempt(command, node)
            case CancelAttempt(attempt):
                self._cancel_attempt(attempt)
            case ReplyToClient(job, answer):
                job.answer_to(answer)
            case ProbeNode(number):
                node = self._registry.node(number)
                if node is None or node.entry.state is State.GONE:
                    self.post(NodeProbed(number, False))
                    return
                self._spawn(self.nodes[node.front].probe(node))
            case WatchNodeList():
                self.watch()
            case OperatorNotice(text):
                self._log.notice("desk-remark", text)

    def _start_attempt(self, command: Dispatch, node: RouteNode) -> None:
        attempt, running = command.attempt, _RunningAttempt()
        work = self.nodes[node.front].attempt(command, node)
        self._attempts[attempt] = running
        running.task = self._spawn(running.run(work))

        def on_done(_: asyncio.Task[None]) -> None:
            self._attempts.pop(attempt, None)
            work.close()  # no effect on a coroutine that has finished

        running.task.add_done_callback(on_done)

    def _cancel_attempt(self, attempt: JobAttempt) -> None:
        running = self._attempts.get(attempt)
        if running is not None and running.task is not None:
            running.task.cancel()
            if not running.begun:  # cancelled before the task first ran: nothing has been sent
                self._attempts.pop(attempt)
                self.post(AttemptEnded(attempt, Outcome.NOT_SENT))

    def changed(self, node: RouteNode) -> None:
        """Retire connections before a node's entry changes, if the node is not ready or has a new address."""
        old = self._registry.node(node.entry.worker)
        if node.entry.state is not State.READY or (old is not None and old.address != node.address):
            self.nodes[node.front].leaving(node.entry.worker)

    def leaving(self, number: int) -> None:
        """Retire the connections to a node that must get no new work."""
        if (node := self._registry.node(number)) is not None:
            self.nodes[node.front].leaving(number)

    async def sweep(self) -> None:
        """Close idle connections every SWEEP_S seconds, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self._pool.sweep()

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._others.add(task)  # the event loop keeps only weak references to tasks
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._others.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("task-fault", "a task of this program failed", fault=repr(fault))
