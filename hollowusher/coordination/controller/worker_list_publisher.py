"""The head's role of reading the platform's worker list and distributing it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from typing import Protocol

from hollowusher.coordination.cluster_state import WORKERS
from hollowusher.coordination.controller.errors import WorkerListReadError
from hollowusher.coordination.controller.head_context import TICK_S, HeadContext
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.view import View
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList

READ_INTERVAL_S = 1.0
FIRST_READ_DELAY_S = 0.15  # of a new head: the former one may still be reading
WORKER_LIST_NOT_READ = -1.0


class WorkerListSource(Protocol):
    """Where the worker list is read from."""

    async def read(self) -> PlatformWorkerList | None:
        """Return the complete list; None where the read is not accepted yet.

        Raises
        ------
        WorkerListReadError
            If the read failed.
        """


class WorkerListPublisher:
    """Reads the worker list about once a second while its process is the head.

    The version of a published list is [epoch, incarnation, counter]: it grows over changes of the head and
    over restarts of one.
    """

    def __init__(self, context: HeadContext, source: WorkerListSource) -> None:
        self._context = context
        self._source = source
        self._read_at: float | None = None  # when this process last read the list

    def age_s(self) -> float:
        """Return how long ago this process last read the list; -1 where it is not the head."""
        if self._read_at is None or not self._context.chain.is_head:
            return WORKER_LIST_NOT_READ
        return self._context.clock() - self._read_at

    async def run(self) -> None:
        """Read and distribute the list while this process is the head; run until cancelled."""
        was_head = False
        while True:
            is_head = self._context.chain.is_head
            if not is_head:
                await asyncio.sleep(TICK_S)
            elif not was_head:
                await asyncio.sleep(FIRST_READ_DELAY_S)
            else:
                started = self._context.clock()
                await self._read()
                await asyncio.sleep(max(TICK_S, started + READ_INTERVAL_S - self._context.clock()))
            was_head = is_head

    async def _read(self) -> None:
        """Read the list and distribute it, unless another process may be the head by now.

        A list whose read was interrupted by a pause of this process is as old as the pause: it is dropped.
        """
        requested_at = self._context.clock()
        with suppress(WorkerListReadError):
            worker_list = await self._source.read()
            self._context.check_for_pause()
            if worker_list is None or self._context.paused_since(requested_at):
                return
            self._read_at = self._context.clock()
            view = self._context.chain.view
            if view is not None and self._context.chain.is_head:
                self._publish(worker_list, view)

    def _publish(self, worker_list: PlatformWorkerList, view: View) -> None:
        """Distribute a list that differs from the known one."""
        known = self._context.feed.item(WORKERS)
        if known is not None and _has_same_workers(known.value.workers, worker_list.workers):
            return
        prefix = [view.epoch, self._context.member.incarnation]
        counter = known.version[2] + 1 if known is not None and list(known.version[:2]) == prefix else 1
        self._context.feed.publish(WORKERS, [*prefix, counter], worker_list)


def _has_same_workers(known: Iterable[PlatformWorker], read: Iterable[PlatformWorker]) -> bool:
    """Return whether two lists are equal but for the progress of workers that are warming up."""
    known_workers = [_without_warmup_progress(worker) for worker in known]
    return known_workers == [_without_warmup_progress(worker) for worker in read]


def _without_warmup_progress(worker: PlatformWorker) -> PlatformWorker:
    return evolve(worker, warm_in_ms=min(1, worker.warm_in_ms))
