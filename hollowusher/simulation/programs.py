"""The roles as programs of the simulated world: the real parts, joined by simulated seams.

`serve_edge` and `serve_store` run as they are; where they would open sockets or files, they get stand-ins
while they run in a simulated process, and the real things elsewhere.
"""

from __future__ import annotations

import contextvars
import sys
from collections.abc import Callable
from typing import Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.controller.operator_api import OperatorApi
from hollowusher.delivery.callbacks import CallbackDelivery
from hollowusher.dispatch import dispatcher as dispatcher_module
from hollowusher.log_events import HandlerFailed, LogEvent, RequestFailed, TaskFailed
from hollowusher.roles import control as control_module
from hollowusher.roles import edge as edge_module
from hollowusher.roles import logs as logs_module
from hollowusher.roles import operator_site as operator_module
from hollowusher.roles import store as store_module
from hollowusher.simulation.stand_ins import (
    DISK_ID_SLOT,
    ProcessParts,
    SimulatedCallbackClient,
    SimulatedFrontend,
    SimulatedOperatorSite,
    SimulatedPlatformReader,
    SimulatedWorkerClient,
)
from hollowusher.simulation.world import Program, Seams

LOGGED_FAILURES = (HandlerFailed, RequestFailed, TaskFailed)
_seams: contextvars.ContextVar[Seams] = contextvars.ContextVar("seams")


def _instead(module: Any, name: str, stand_in: Callable[..., Any]) -> None:
    """Have `module.name(...)` call `stand_in(seams, ...)` in simulated processes."""
    real = getattr(module, name)

    def choose(*arguments: Any, **named: Any) -> Any:
        seams = _seams.get(None)
        return real(*arguments, **named) if seams is None else stand_in(seams, *arguments, **named)

    setattr(module, name, choose)


def _log(seams: Seams, event: LogEvent) -> None:
    if isinstance(event, LOGGED_FAILURES):
        seams.note(f"{event.name} {event.fields()}")


async def _serve_operator(seams: Seams, address: str, forward: Any, status: Any) -> SimulatedOperatorSite:
    site = SimulatedOperatorSite(seams, OperatorApi(forward))
    await site.start()
    return site


def _callbacks(seams: Seams, network: Any, reporter: Any, owns: Any) -> CallbackDelivery:
    return CallbackDelivery(
        network, reporter, owns, lambda address: SimulatedCallbackClient(seams.http, seams.host, address)
    )


def _join_edge() -> None:
    _instead(edge_module, "Process", lambda seams, settings, path, role: ProcessParts(seams, settings, role))
    _instead(edge_module, "HttpWorkerClient", lambda seams: SimulatedWorkerClient(seams.http, seams.host))
    _instead(
        edge_module,
        "EdgeFrontend",
        lambda seams, intake, frontend, readiness, ready, report: SimulatedFrontend(
            seams, intake, frontend, readiness, ready
        ),
    )
    _instead(control_module, "SlotFile", lambda seams, path: seams.disk.slot(path.name))
    _instead(
        control_module,
        "PlatformReader",
        lambda seams, address, rate_per_s: SimulatedPlatformReader(
            seams.http, seams.host, address, rate_per_s
        ),
    )
    _instead(operator_module, "serve_operator", _serve_operator)
    _instead(dispatcher_module, "CallbackDelivery", _callbacks)


def _join_store() -> None:
    _instead(store_module, "Process", lambda seams, settings, path, role: ProcessParts(seams, settings, role))
    _instead(store_module, "RingLog", lambda seams, folder, segment_bytes, segments: seams.disk.log())
    _instead(store_module, "SlotFile", lambda seams, path: seams.disk.slot(path.name))
    _instead(store_module, "wall_ms", lambda seams: seams.wall_ms())


def _join_logs() -> None:
    """Every module that logs: failures are noted, the rest is dropped."""
    real = logs_module.log
    for name, module in list(sys.modules.items()):
        if name.startswith("hollowusher.") and getattr(module, "log", None) is real:
            _instead(module, "log", _log)


_join_edge()
_join_store()
_join_logs()


class RoleProgram:
    """One life of a role."""

    def __init__(self, seams: Seams) -> None:
        self._seams = seams
        seams.transport.process.context.run(_seams.set, seams)

    async def run(self) -> None:
        """Serve until told to stop."""
        settings = self._seams.settings
        if settings.serves == ["storage"]:
            await store_module.serve_store(settings, "")
        else:
            await edge_module.serve_edge(settings, "")

    def stop(self) -> None:
        """SIGTERM."""
        if self._seams.parts is not None:
            self._seams.parts.stopping.set()

    def hang_up(self, settings: BootSettings) -> None:
        """SIGHUP."""
        if self._seams.parts is not None:
            self._seams.parts.settings = settings

    def generation(self) -> int:
        """The configuration in force here."""
        parts = self._seams.parts
        configuration = None if parts is None else parts.state.configuration
        return 0 if configuration is None else configuration.generation

    def knowledge(self) -> ClusterState | None:
        """What it knows of the cluster."""
        parts = self._seams.parts
        return None if parts is None else parts.state

    def disk_identity(self) -> str:
        """The identity of its disk, empty where it has none yet."""
        disk = self._seams.disk
        held = None if disk is None else disk.slot(DISK_ID_SLOT).load()
        return "" if held is None else held.decode()


def build_program(seams: Seams) -> Program:
    """The program of a machine's role."""
    return RoleProgram(seams)
