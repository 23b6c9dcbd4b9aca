"""What every role's process has: identity, transport, knowledge of the cluster, signals, an orderly end."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.log_events import HandlerFailed, MessageRejected, TaskFailed
from hollowusher.protocol.identity import Identity
from hollowusher.protocol.membership import Member
from hollowusher.roles.logs import describe_error, log, start_logs
from hollowusher.roles.signals import SettingsWatch, on_signals
from hollowusher.storage.identity import claim_incarnation, disk_identity, next_incarnation
from hollowusher.storage.slots import SlotFile
from hollowusher.transport.tcp import TcpTransport

LIFE_SLOT = "life"
STORE = "store"


def wall_ms() -> int:
    """The time of day in milliseconds."""
    return time.time_ns() // 1_000_000


class Process:
    """One process of a role; the role adds its parts and runs until `stopping` is set."""

    def __init__(self, settings: BootSettings, path: str, role: str) -> None:
        start_logs(settings.node_name, role)
        self.settings = settings
        self.role = role
        self.chance = random.Random()
        self.stopping = asyncio.Event()
        self.transport = TcpTransport(settings.internal_address)
        self.transport.on_failure = self._handler_failed
        self.transport.peers.on_refused = self._message_refused
        self.state = ClusterState()
        self.folder = Path(settings.data_dir) if settings.data_dir else None
        self.watch = SettingsWatch(path, settings, self._settings_changed)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def identify(self, controller: bool) -> Member:
        """This process as the others will know it."""
        settings = self.settings
        disk_id = ""
        if self.folder is not None:
            disk_id, _ = disk_identity(self.folder, self.chance)
            incarnation = await claim_incarnation(SlotFile(self.folder / LIFE_SLOT), wall_ms(), self.chance)
        else:
            incarnation = next_incarnation(wall_ms(), None, self.chance)
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

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a part beside the others; its failure is logged and ends the process."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def listen_for_signals(self) -> None:
        """SIGTERM sets `stopping`, SIGHUP reads the settings file again."""
        on_signals(self.stopping.set, self.watch.reload)
        self.spawn(self.watch.run())

    async def close(self) -> None:
        """End what still runs."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.transport.close()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self.stopping.is_set():
            return
        error = task.exception()
        if error is not None:
            log(TaskFailed(reason=describe_error(error)))
            self.stopping.set()

    def _handler_failed(self, message: Any, error: Exception) -> None:
        log(HandlerFailed(message=type(message).__name__, reason=describe_error(error)))

    @staticmethod
    def _message_refused(caller: Identity, meant: Identity, reason: str) -> None:
        log(MessageRejected(peer=caller.name, intended_for=meant.name, reason=reason))

    def _settings_changed(self, settings: BootSettings) -> None:
        self.settings = settings


Handler = Callable[[Any], Awaitable[Any]]
