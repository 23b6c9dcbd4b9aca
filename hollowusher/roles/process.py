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
from hollowusher.protocol.identity import Identity
from hollowusher.protocol.membership import Member
from hollowusher.roles.logs import log, start_logs
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
            log("part_failed", error=describe(error))
            self.stopping.set()

    def _handler_failed(self, message: Any, error: Exception) -> None:
        log("handler_failed", message=type(message).__name__, error=describe(error))

    @staticmethod
    def _message_refused(caller: Identity, meant: Identity, reason: str) -> None:
        log("message_refused", caller=caller.name, meant=meant.name, reason=reason)

    def _settings_changed(self, settings: BootSettings) -> None:
        self.settings = settings


def describe(error: BaseException) -> str:
    """An error with the place where it arose, in one line."""
    if isinstance(error, BaseExceptionGroup):
        return "; ".join(describe(inner) for inner in error.exceptions)
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = "" if trace is None else f" at {trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
    return f"{type(error).__name__}: {error}{place}"


Handler = Callable[[Any], Awaitable[Any]]
