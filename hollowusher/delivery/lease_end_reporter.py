"""Reports of ended leases to the stores, retried until a store acknowledges them."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.protocol.leases import FinishLease, LeaseUpdateResponse
from hollowusher.transport.interface import PeerError

ATTEMPT_TIMEOUT_S = 10.0  # per call to the store client, which itself retries within this time
# After this time the reporter drops a report; the store then retains the message or runs it again, by its
# own rules.
REPORT_TIMEOUT_S = 240.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
MAX_OPEN_REPORTS = 20_000  # above this number of unacknowledged reports, releases are not reported


class FinishClient(Protocol):
    """The part of the store client that ends leases."""

    async def finish(self, request: FinishLease, deadline: float) -> LeaseUpdateResponse:
        """End a lease; return status "unavailable" if `deadline` (event loop time) passes first."""


class LeaseEndReporter:
    """Reports the ends of leases to the stores.

    It retries a report until the store responds "taken" or "gone"; "gone" means that the lease is no longer
    valid."""

    def __init__(self, store_client: FinishClient, metrics: DeliveryMetrics) -> None:
        self._store_client = store_client
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()
        self._open = 0

    @property
    def open_count(self) -> int:
        """The number of reports that no store has acknowledged yet."""
        return self._open

    def release(self, lease: str, retry_ms: int = 0) -> None:
        """Report in the background that a leased job was not started.

        `retry_ms` is the requested delay in milliseconds before the next lease of the job.  The report is
        dropped if `MAX_OPEN_REPORTS` reports are open."""
        self._metrics.returned += 1
        if self._open >= MAX_OPEN_REPORTS:
            self._metrics.ends_dropped += 1  # the lease expires without a report
            return
        self.report_in_background(FinishLease(lease, "not_run", retry_ms=retry_ms))

    def report_in_background(self, finish: FinishLease) -> None:
        """Report the end of a lease in the background."""
        task = asyncio.get_running_loop().create_task(self.report(finish))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def report(self, finish: FinishLease) -> None:
        """Report the end of a lease, with retries until acknowledgement or `REPORT_TIMEOUT_S`."""
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
        """Wait for the background reports until `deadline` (event loop time), then cancel the rest."""
        remaining_s = deadline - asyncio.get_running_loop().time()
        if self._tasks and remaining_s > 0:
            await asyncio.wait(set(self._tasks), timeout=remaining_s)
        for task in list(self._tasks):
            task.cancel()

    async def _attempt(self, finish: FinishLease, deadline: float) -> bool:
        try:
            response = await self._store_client.finish(finish, deadline)
        except PeerError:
            return False
        if response.status == "taken":
            self._metrics.ends_reported += 1
        elif response.status == "gone":
            self._metrics.ends_gone += 1
        return response.status in ("taken", "gone")
