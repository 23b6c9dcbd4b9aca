"""The base of each role's process: identity, transport, cluster state, signals, metrics and shutdown."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.log_events import HandlerFailed, MessageRejected, MetricsListenFailed, TaskFailed
from hollowusher.protocol.identity import Identity
from hollowusher.protocol.membership import Member
from hollowusher.roles.logs import describe_error, log, set_process_fields
from hollowusher.roles.refused_connections import LoggedConnectionMetrics
from hollowusher.roles.signals import SettingsWatcher, install_signal_handlers
from hollowusher.storage.identity import claim_incarnation, disk_identity, next_incarnation
from hollowusher.storage.slots import SlotFile
from hollowusher.transport.connection_table import peer_limits
from hollowusher.transport.tcp import TcpTransport

if TYPE_CHECKING:
    from hollowusher.roles.metrics import MetricGroups

INCARNATION_SLOT = "life"
STORE = "store"
METRICS_DELAY_S = 2.0  # time from the start of the process until it serves its metrics


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


class Process:
    """One process; its role adds components and runs them until `stopping` is set."""

    def __init__(self, settings: BootSettings, path: str, role: str) -> None:
        set_process_fields(settings.node_name, role)
        self.settings = settings
        self.role = role
        self.random_source = random.Random()
        self.stopping = asyncio.Event()
        limits = settings.limits
        self.transport = TcpTransport(
            settings.internal_address, peer_limits(limits.memory_mb, limits.max_fds)
        )
        self.transport.inbound.metrics = LoggedConnectionMetrics("internal")
        self.transport.on_failure = self._log_handler_failure
        self.transport.peers.on_refused = self._log_rejected_message
        self.state = ClusterState()
        self.data_dir = Path(settings.data_dir) if settings.data_dir else None
        self.settings_watcher = SettingsWatcher(path, settings, self._use_settings)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def claim_membership(self, controller: bool) -> Member:
        """Claim a new incarnation, durably if there is a disk, and return this process's member record."""
        settings = self.settings
        disk_id = ""
        if self.data_dir is not None:
            disk_id, _ = disk_identity(self.data_dir, self.random_source)
            incarnation = await claim_incarnation(
                SlotFile(self.data_dir / INCARNATION_SLOT), wall_ms(), self.random_source
            )
        else:
            incarnation = next_incarnation(wall_ms(), None, self.random_source)
        return Member(
            settings.node_name,
            self.role,
            settings.internal_address,
            settings.zone,
            settings.region,
            incarnation,
            disk_id,
            settings.counts_for_quorum,
            controller,
            settings.bind.admin or (settings.status_address if self.role == STORE else ""),
        )

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a background task; if it fails, the error is logged and the process ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def listen_for_signals(self) -> None:
        """Install the signal handlers: SIGTERM and SIGINT set `stopping`, SIGHUP reloads the settings."""
        install_signal_handlers(self.stopping.set, self.settings_watcher.reload)
        self.spawn(self.settings_watcher.run())

    async def serve_metrics(self, read_metrics: Callable[[], MetricGroups]) -> None:
        """Serve the metrics after a delay; if the address is in use, log that and continue without them."""
        await asyncio.sleep(METRICS_DELAY_S)
        from hollowusher.roles.metrics import format_metrics, metrics_address, metrics_server

        address = metrics_address(self.settings.ip)
        server = metrics_server(address, lambda: format_metrics(read_metrics()))
        try:
            await server.start()
        except OSError as error:
            log(MetricsListenFailed(address=address, reason=describe_error(error)))
            return
        try:
            await asyncio.Event().wait()
        finally:
            await server.stop()

    async def close(self) -> None:
        """Cancel the background tasks and close the transport."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.transport.close()

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self.stopping.is_set():
            return
        error = task.exception()
        if error is not None:
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        """Log the failure of a task and stop the process, which cannot work without that task."""
        if not self.stopping.is_set():
            log(TaskFailed(reason=describe_error(error)))
            self.stopping.set()

    def _log_handler_failure(self, message: Any, error: Exception) -> None:
        log(HandlerFailed(message=type(message).__name__, reason=describe_error(error)))

    @staticmethod
    def _log_rejected_message(caller: Identity, intended: Identity, reason: str) -> None:
        log(MessageRejected(peer=caller.name, intended_for=intended.name, reason=reason))

    def _use_settings(self, settings: BootSettings) -> None:
        self.settings = settings


Handler = Callable[[Any], Awaitable[Any]]
