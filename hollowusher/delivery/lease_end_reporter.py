"""Reports of ended leases to the stores, repeated until one answers."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.protocol.leases import FinishLease, LeaseUpdateResponse
from hollowusher.transport.interface import PeerError

ATTEMPT_TIMEOUT_S = 10.0  # of one call, within which the store client repeats by itself
REPORT_TIMEOUT_S = (
    240.0  # an end is reported for so long; then its message is retained or run by the store's rules
)
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
MAX_OPEN_REPORTS = 20_000  # ends that wait for an answer; beyond it those of jobs that never ran are dropped


class FinishClient(Protocol):
    """The part of the store client that takes ends.  `deadline` is in the loop's time."""

    async def finish(self, request: FinishLease, deadline: float) -> LeaseUpdateResponse:
        """End a lease; "unavailable" where the deadline came first."""


class LeaseEndReporter:
    """Reports ends; a report is forgotten once the store has it or says that the lease is gone."""

    def __init__(self, store_client: FinishClient, metrics: DeliveryMetrics) -> None:
        self._store_client = store_client
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()
        self._open = 0

    @property
    def open_count(self) -> int:
        """Ends that no store has taken yet."""
        return self._open

    def release(self, lease: str, retry_ms: int = 0) -> None:
        """Report in the background that a leased job was not begun."""
        self._metrics.returned += 1
        if self._open >= MAX_OPEN_REPORTS:
            self._metrics.ends_dropped += 1  # the lease runs out by itself
            return
        self.report_in_background(FinishLease(lease, "not_run", retry_ms=retry_ms))

    def report_in_background(self, finish: FinishLease) -> None:
        """Report an end in the background."""
        task = asyncio.get_running_loop().create_task(self.report(finish))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def report(self, finish: FinishLease) -> None:
        """Report an end until it is answered."""
        loop = asyncio.get_running_loop()
        until = loop.time() + REPORT_TIMEOUT_S
        pause = FIRST_BACKOFF_S
        self._open += 1
        try:
            while True:
                if await self._attempt(finish, min(until, loop.time() + ATTEMPT_TIMEOUT_S)):
                    return
                if loop.time() >= until:
                    self._metrics.ends_dropped += 1
                    return
                await asyncio.sleep(pause)
                pause = min(MAX_BACKOFF_S, 2 * pause)
        finally:
            self._open -= 1

    async def flush(self, deadline: float) -> None:
        """Wait until the reports in the background have been answered, at most until `deadline`."""
        left = deadline - asyncio.get_running_loop().time()
        if self._tasks and left > 0:
            await asyncio.wait(set(self._tasks), timeout=left)
        for task in list(self._tasks):
            task.cancel()

    async def _attempt(self, finish: FinishLease, deadline: float) -> bool:
        try:
            answer = await self._store_client.finish(finish, deadline)
        except PeerError:
            return False
        if answer.status == "taken":
            self._metrics.ends_reported += 1
        elif answer.status == "gone":
            self._metrics.ends_gone += 1
        return answer.status in ("taken", "gone")
