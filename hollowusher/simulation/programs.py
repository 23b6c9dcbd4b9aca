"""The roles as programs of the simulated world: the real parts, joined by simulated environments.

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
from hollowusher.delivery.callback_delivery import CallbackDelivery
from hollowusher.dispatch import dispatcher as dispatcher_module
from hollowusher.log_events import HandlerFailed, LogEvent, RequestFailed, TaskFailed
from hollowusher.roles import control_plane as control_module
from hollowusher.roles import edge as edge_module
from hollowusher.roles import logs as logs_module
from hollowusher.roles import operator_server as operator_module
from hollowusher.roles import store as store_module
from hollowusher.simulation.machine import ProcessEnvironment, Program
from hollowusher.simulation.stand_ins import (
    DISK_ID_SLOT,
    SimulatedCallbackClient,
    SimulatedFrontend,
    SimulatedOperatorSite,
    SimulatedRoleProcess,
    SimulatedWorkerClient,
    SimulatedWorkerListReader,
)

LOGGED_FAILURES = (HandlerFailed, RequestFailed, TaskFailed)
_environment: contextvars.ContextVar[ProcessEnvironment] = contextvars.ContextVar("environment")


def _substitute(module: Any, name: str, stand_in: Callable[..., Any]) -> None:
    """Have `module.name(...)` call `stand_in(environment, ...)` in simulated processes."""
    real = getattr(module, name)

    def choose(*arguments: Any, **named: Any) -> Any:
        environment = _environment.get(None)
        return (
            real(*arguments, **named) if environment is None else stand_in(environment, *arguments, **named)
        )

    setattr(module, name, choose)


def _log(environment: ProcessEnvironment, event: LogEvent) -> None:
    if isinstance(event, LOGGED_FAILURES):
        environment.report_failure(f"{event.name} {event.fields()}")


async def _serve_operator(
    environment: ProcessEnvironment, listener: Any, forward: Any, status: Any
) -> SimulatedOperatorSite:
    site = SimulatedOperatorSite(environment, OperatorApi(forward))
    await site.start()
    return site


def _callbacks(
    environment: ProcessEnvironment, network: Any, reporter: Any, owns: Any, **limits: int
) -> CallbackDelivery:
    return CallbackDelivery(
        network,
        reporter,
        owns,
        lambda address: SimulatedCallbackClient(environment.http, environment.host, address),
        **limits,
    )


def _substitute_edge_parts() -> None:
    _substitute(
        edge_module,
        "Process",
        lambda environment, settings, path, role: SimulatedRoleProcess(environment, settings, role),
    )
    _substitute(
        edge_module,
        "HttpWorkerClient",
        lambda environment: SimulatedWorkerClient(environment.http, environment.host),
    )
    _substitute(
        edge_module,
        "EdgeFrontend",
        lambda environment, intake, frontend, readiness, ready: SimulatedFrontend(
            environment, intake, frontend.address, readiness.address, ready
        ),
    )
    _substitute(control_module, "SlotFile", lambda environment, path: environment.disk.slot(path.name))
    _substitute(
        control_module,
        "WorkerListReader",
        lambda environment, address, timing: SimulatedWorkerListReader(
            environment.http, environment.host, address, timing
        ),
    )
    _substitute(operator_module, "start_operator_server", _serve_operator)
    _substitute(dispatcher_module, "CallbackDelivery", _callbacks)


def _substitute_store_parts() -> None:
    _substitute(
        store_module,
        "Process",
        lambda environment, settings, path, role: SimulatedRoleProcess(environment, settings, role),
    )
    _substitute(
        store_module, "RingLog", lambda environment, folder, segment_bytes, segments: environment.disk.log()
    )
    _substitute(store_module, "SlotFile", lambda environment, path: environment.disk.slot(path.name))
    _substitute(store_module, "wall_ms", lambda environment: environment.wall_ms())


def _substitute_logs() -> None:
    """Every module that logs: failures are noted, the rest is dropped."""
    real = logs_module.log
    for name, module in list(sys.modules.items()):
        if name.startswith("hollowusher.") and getattr(module, "log", None) is real:
            _substitute(module, "log", _log)


_substitute_edge_parts()
_substitute_store_parts()
_substitute_logs()


class RoleProgram:
    """One incarnation of a role."""

    def __init__(self, environment: ProcessEnvironment) -> None:
        self._environment = environment
        environment.transport.process.context.run(_environment.set, environment)

    async def run(self) -> None:
        """Serve until asked to stop."""
        settings = self._environment.settings
        if settings.serves == ["storage"]:
            await store_module.serve_store(settings, "")
        else:
            await edge_module.serve_edge(settings, "")

    def stop(self) -> None:
        """SIGTERM."""
        if self._environment.role_process is not None:
            self._environment.role_process.stopping.set()

    def reload_settings(self, settings: BootSettings) -> None:
        """SIGHUP."""
        if self._environment.role_process is not None:
            self._environment.role_process.settings = settings

    def configuration_generation(self) -> int:
        """Return the generation of the configuration in force here."""
        role_process = self._environment.role_process
        configuration = None if role_process is None else role_process.state.configuration
        return 0 if configuration is None else configuration.generation

    def cluster_state(self) -> ClusterState | None:
        """Return what the process knows of the cluster."""
        role_process = self._environment.role_process
        return None if role_process is None else role_process.state

    def disk_id(self) -> str:
        """Return the identity of the disk, empty if it has none yet."""
        disk = self._environment.disk
        held = None if disk is None else disk.slot(DISK_ID_SLOT).load()
        return "" if held is None else held.decode()


def build_program(environment: ProcessEnvironment) -> Program:
    """Create the program of a machine's role."""
    return RoleProgram(environment)
