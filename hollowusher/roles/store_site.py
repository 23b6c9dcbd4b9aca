"""A store's address for operators: `GET /status` on the last internal port of its machine.

It is loaded and served only some time after the store has begun, for a start should not wait for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import orjson

from hollowusher.console.store_report import DiskReport, StoreReport, kept_partitions
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.messages.store_service import StoreService
from hollowusher.protocol.membership import Member
from hollowusher.roles.status_site import StatusSite
from hollowusher.storage.ring_log import RingLog

Figures = Callable[[], Mapping[str, int]]


class StoreStatus:
    """Makes the report of one store."""

    def __init__(
        self,
        me: Member,
        service: StoreService,
        log: RingLog,
        state: ClusterState,
        figures: Figures,
        started: float,
    ) -> None:
        self._me = me
        self._service = service
        self._log = log
        self._state = state
        self._figures = figures
        self._started = started

    def report(self) -> StoreReport:
        """How the store stands now."""
        me, configuration = self._me, self._state.configuration
        now = asyncio.get_running_loop().time()
        return StoreReport(
            me.name,
            me.zone,
            me.incarnation,
            0 if configuration is None else configuration.generation,
            round(now - self._started, 1),
            self._disk(now),
            kept_partitions(self._service.replicas(), me.store_id),
            self._figures(),
        )

    def body(self) -> bytes:
        """The report as JSON."""
        return orjson.dumps(self.report())

    def _disk(self, now: float) -> DiskReport:
        log, error = self._log, self._service.storage_error
        return DiskReport(
            self._me.disk_id,
            log.free_bytes(),
            log.syncs,
            log.failed_batches,
            log.moved_records,
            log.damaged_records,
            log.stalled(now),
            "" if error is None else str(error),
        )


async def serve_status(address: str, status: StoreStatus) -> StatusSite:
    """Listen at the store's address; to be stopped at the end.  `OSError` where it is taken."""
    site = StatusSite(address, status.body)
    await site.start()
    return site
