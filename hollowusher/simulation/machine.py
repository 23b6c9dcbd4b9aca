"""A simulated machine, the program on it, and what the program may use of the cluster.

The cluster owns all machines and changes them; a program sees its `ProcessEnvironment` alone.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.simulation.addresses import ADMIN_PORT
from hollowusher.simulation.event_loop import SimulatedProcess
from hollowusher.simulation.http_network import HttpNetwork
from hollowusher.simulation.machine_disk import MachineDisk
from hollowusher.simulation.transport import SimulatedTransport


@dataclass
class ProcessEnvironment:
    """All that a program may use of the cluster."""

    settings: BootSettings
    transport: SimulatedTransport
    disk: MachineDisk | None
    http: HttpNetwork
    host: str
    random_source: Random
    wall_ms: Callable[[], int]
    report_failure: Callable[[str], None]  # records a failure inside the program
    role_process: Any = None  # set by the program: its `SimulatedRoleProcess`


class Program(Protocol):
    """One incarnation of a role: a process from its start to its end."""

    async def run(self) -> None:
        """Serve until it is asked to stop."""

    def stop(self) -> None:
        """End in order (SIGTERM)."""

    def reload_settings(self, settings: BootSettings) -> None:
        """Take up a changed settings file (SIGHUP)."""

    def configuration_generation(self) -> int:
        """Return the generation of the configuration in force here, 0 for none."""

    def cluster_state(self) -> ClusterState | None:
        """Return what the process knows of the cluster."""

    def disk_id(self) -> str:
        """Return the identity of the disk, empty if it has none yet."""


ProgramFactory = Callable[[ProcessEnvironment], Program]


@dataclass
class SimulatedMachine:
    """A machine and its present process.  `bootstrap`: it belongs to the system's first start."""

    name: str
    role: str
    ip: str
    zone: str
    disk: MachineDisk | None
    clock_offset_s: float = 0.0
    bootstrap: bool = True
    powered: bool = False
    frozen: bool = False
    started_once: bool = False
    incarnation: int = 0
    process: SimulatedProcess | None = None
    program: Program | None = None
    stop_requested: bool = False
    running: bool = False  # its process has been started and has not ended
    failed_readiness_checks: int = 2
    starts: list[float] = field(default_factory=list)

    @property
    def counts_for_quorum(self) -> bool:
        """Whether its loss is limited by `faultTolerance`."""
        return self.disk is not None

    @property
    def is_controller(self) -> bool:
        """Whether it takes part in the control chain."""
        return self.role == "edge" and self.disk is not None

    @property
    def admin_address(self) -> str:
        """Its address for the operator."""
        return f"{self.ip}:{ADMIN_PORT}"
