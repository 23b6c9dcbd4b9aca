"""The role of the head that reads the platform's worker list and publishes it to all processes."""

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

FIRST_READ_DELAY_S = 0.15  # a new head waits this long because the previous head may still be reading
WORKER_LIST_NOT_READ = -1.0


class WorkerListSource(Protocol):
    """A source of the worker list."""

    async def read(self) -> PlatformWorkerList | None:
        """Return the complete list, or None if the source does not accept the result of this read yet.

        Raises
        ------
        WorkerListReadError
            If the read failed.
        """


class WorkerListPublisher:
    """Reads the worker list at intervals while its process is the head, and publishes it.

    The version of a published list is [epoch, incarnation, counter].  It increases across changes of the head
    and across restarts of the same head.
    """

    def __init__(self, context: HeadContext, source: WorkerListSource) -> None:
        self._context = context
        self._source = source
        self._read_at: float | None = None  # when this process last read the list

    def age_s(self) -> float:
        """Return how many seconds ago this process last read the list.

        The result is -1 if this process is not the head or has not read the list yet.
        """
        if self._read_at is None or not self._context.chain.is_head:
            return WORKER_LIST_NOT_READ
        return self._context.clock() - self._read_at

    async def run(self) -> None:
        """Read and publish the list while this process is the head; run until cancelled."""
        was_head = False
        while True:
            is_head = self._context.chain.is_head
            if not is_head:
                await asyncio.sleep(TICK_S)
            elif not was_head:
                await asyncio.sleep(FIRST_READ_DELAY_S)
            else:
                interval_s = self._context.worker_list_interval_s
                started = self._context.clock()
                await self._read()
                await asyncio.sleep(max(TICK_S, started + interval_s - self._context.clock()))
            was_head = is_head

    async def _read(self) -> None:
        """Read the list and publish it, unless another process may have become the head.

        A list is discarded if this process was paused during the read, because the list may be stale.
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
        """Publish a list if it differs from the published one."""
        known = self._context.feed.item(WORKERS)
        if known is not None and _has_same_workers(known.value.workers, worker_list.workers):
            return
        prefix = [view.epoch, self._context.member.incarnation]
        counter = known.version[2] + 1 if known is not None and list(known.version[:2]) == prefix else 1
        self._context.feed.publish(WORKERS, [*prefix, counter], worker_list)


def _has_same_workers(known: Iterable[PlatformWorker], read: Iterable[PlatformWorker]) -> bool:
    """Return whether two lists are equal, apart from the remaining warm-up time of workers."""
    known_workers = [_without_warmup_progress(worker) for worker in known]
    return known_workers == [_without_warmup_progress(worker) for worker in read]


def _without_warmup_progress(worker: PlatformWorker) -> PlatformWorker:
    return evolve(worker, warm_in_ms=min(1, worker.warm_in_ms))
