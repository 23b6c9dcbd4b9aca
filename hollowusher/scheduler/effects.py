"""The floor: carries out the desk's orders with the fronts, and keeps the attempts that are under way."""

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


class Nodes(Protocol):
    """What a front does with its route nodes."""

    async def attempt(self, order: Dispatch, node: RouteNode) -> None:
        """One attempt, of which the desk is told the ending."""

    async def probe(self, node: RouteNode) -> None:
        """One probe, of which the desk is told the result."""

    def leaving(self, number: int) -> None:
        """A node drains, is gone, or comes back as another process: nothing new goes on what leads there."""


@dataclass(eq=False, slots=True)
class _UnderWay:
    """An attempt's task.  One that is cancelled before its first step never gets to tell how it ended."""

    task: asyncio.Task[None] | None = None
    begun: bool = False

    async def run(self, work: Coroutine[None, None, None]) -> None:
        """The task: the front's own work, once it has its first turn."""
        self.begun = True
        await work


class EffectExecutor:
    """Either front's jobs go to either kind of node: the roster says by which front a node is reached."""

    def __init__(self, registry: WorkerRegistry, pool: Pool, log: LogWriter) -> None:
        self._registry, self._pool, self._log = registry, pool, log
        self.nodes: dict[str, Nodes] = {}
        self.post: Callable[[DispatchEvent], None] = lambda event: None
        self.watch: Callable[[], None] = lambda: None
        self._attempts: dict[JobAttempt, _UnderWay] = {}
        self._others: set[asyncio.Task[None]] = set()

    def carry_out(self, order: DispatchCommand) -> None:
        """Carry out one order; returns at once."""
        match order:
            case Dispatch(attempt):
                node = self._registry.node(attempt.node)
                # Since the desk was stepped the list may have told of a drain, or the client have left.
                if node is None or not self._registry.serving(attempt.node) or order.job.gone():
                    self.post(AttemptEnded(attempt, Outcome.NOT_SENT))
                    return
                self._begin(order, node)
            case CancelAttempt(attempt):
                self._withdraw(attempt)
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

    def _begin(self, order: Dispatch, node: RouteNode) -> None:
        attempt, under_way = order.attempt, _UnderWay()
        work = self.nodes[node.front].attempt(order, node)
        self._attempts[attempt] = under_way
        under_way.task = self._spawn(under_way.run(work))

        def over(_: asyncio.Task[None]) -> None:
            self._attempts.pop(attempt, None)
            work.close()  # does nothing to one that has run

        under_way.task.add_done_callback(over)

    def _withdraw(self, attempt: JobAttempt) -> None:
        under_way = self._attempts.get(attempt)
        if under_way is not None and under_way.task is not None:
            under_way.task.cancel()
            if not under_way.begun:  # its orders came in one breath: nothing of it is out
                self._attempts.pop(attempt)
                self.post(AttemptEnded(attempt, Outcome.NOT_SENT))

    def changed(self, node: RouteNode) -> None:
        """A node's entry is about to change: connections to a process that ends or ended lead nowhere."""
        old = self._registry.node(node.entry.worker)
        if node.entry.state is not State.READY or (old is not None and old.address != node.address):
            self.nodes[node.front].leaving(node.entry.worker)

    def leaving(self, number: int) -> None:
        """Nothing new may go to a node from now on: its idle connections are of no use."""
        if (node := self._registry.node(number)) is not None:
            self.nodes[node.front].leaving(number)

    async def sweep(self) -> None:
        """Close connections that have been idle for too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self._pool.sweep()

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._others.add(task)  # the loop itself holds tasks only weakly
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._others.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("task-fault", "a task of this program failed", fault=repr(fault))
