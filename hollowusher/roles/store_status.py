"""Serves `GET /status` of a store to operators, on the last internal port of its machine.

The store imports this module some time after its start, so that it does not delay the start.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import orjson

from hollowusher.console.store_report import DiskReport, StoreReport, hosted_partitions
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.messages.store_service import StoreService
from hollowusher.protocol.membership import Member
from hollowusher.roles.status_server import StatusServer
from hollowusher.storage.ring_log import RingLog

ReadFigures = Callable[[], Mapping[str, int]]


class StoreStatusReporter:
    """Creates the status report of one store."""

    def __init__(
        self,
        me: Member,
        service: StoreService,
        ring_log: RingLog,
        state: ClusterState,
        figures: ReadFigures,
        started_monotonic_s: float,
    ) -> None:
        self._me = me
        self._service = service
        self._ring_log = ring_log
        self._state = state
        self._figures = figures
        self._started_monotonic_s = started_monotonic_s

    def report(self) -> StoreReport:
        """Return the current status of the store."""
        me, configuration = self._me, self._state.configuration
        now = asyncio.get_running_loop().time()
        queue = self._service.queue_summary()
        return StoreReport(
            me.name,
            me.zone,
            me.incarnation,
            0 if configuration is None else configuration.generation,
            round(now - self._started_monotonic_s, 1),
            self._disk(now),
            hosted_partitions(self._service.replicas(), me.store_id),
            self._figures(),
            self._service.catch_up_size.size_bytes,
            self._service.catch_up_size.limit_bytes,
            queue.behind_key,
            queue.longest_behind_key_s,
        )

    def body(self) -> bytes:
        """Return the report as JSON."""
        return orjson.dumps(self.report())

    def _disk(self, now: float) -> DiskReport:
        ring_log, error = self._ring_log, self._service.storage_error
        return DiskReport(
            self._me.disk_id,
            ring_log.free_bytes(),
            ring_log.syncs,
            ring_log.failed_batches,
            ring_log.moved_records,
            ring_log.damaged_records,
            ring_log.stalled(now),
            "" if error is None else str(error),
        )


async def start_status_server(address: str, status: StoreStatusReporter) -> StatusServer:
    """Start the status server; the caller must stop it.  Raise `OSError` if the address is in use."""
    server = StatusServer(address, status.body)
    await server.start()
    return server
