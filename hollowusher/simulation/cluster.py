"""The machines of the system with their processes, disks, power, links and clocks.

A `Program` is one incarnation of a role on a machine.  The cluster builds it from a `ProcessEnvironment`
(transport, storage, HTTP, clock), starts it, stops it and takes its resources away.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from hollowusher.configuration.boot import Bind, BootSettings, Bounds, CloudApi, FaultTolerance
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.http_network import HttpNetwork
from hollowusher.simulation.network import SimulatedNetwork, SimulatedTransport
from hollowusher.simulation.observations import InjectedFault, Observations
from hollowusher.storage.memory import MemoryLog, MemorySlot

INTERNAL_PORT, FRONTEND_PORT, READINESS_PORT, ADMIN_PORT = 7780, 8069, 8063, 8064
WALL_CLOCK_ORIGIN_S = 1_700_000_000.0
WORKER_LIST_ADDRESS = "10.200.0.70:8065"
REGION = "region-a"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
RESTART_S = 0.5  # after a process has ended by itself
STOP_POLL_S = 0.05
CATCH_UP_S = 4.2
CONTACT_S = 4.0
ADDRESS_REUSE_S = 2.0  # an address may be given to another machine after this
SEED_COUNT = 3


class MachineDisk:
    """A machine's disk: logs and slots by name, which outlive processes."""

    def __init__(self, random_source: Random, sync_s: float) -> None:
        self._random_source = random_source
        self._sync_s = sync_s
        self._failing = ""
        self._logs: dict[str, MemoryLog] = {}
        self._slots: dict[str, MemorySlot] = {}

    def log(self, name: str = "messages") -> MemoryLog:
        """The log of a name, new where there was none."""
        if name not in self._logs:
            self._logs[name] = MemoryLog(segment_bytes=256 * 1024, segments=64, sync_s=self._sync_s)
            self._logs[name].failing = self._failing
        return self._logs[name]

    def slot(self, name: str) -> MemorySlot:
        """The slot of a name, new where there was none."""
        if name not in self._slots:
            self._slots[name] = MemorySlot(save_s=self._sync_s)
            self._slots[name].failing = self._failing
        return self._slots[name]

    def fail(self, reason: str) -> None:
        """Whatever is written fails from now on; nothing does with an empty reason."""
        self._failing = reason
        for log in self._logs.values():
            log.failing = reason
        for slot in self._slots.values():
            slot.failing = reason

    def set_sync_time(self, seconds: float) -> None:
        """How long each sync that begins from now on takes."""
        self._sync_s = seconds
        for log in self._logs.values():
            log.sync_s = seconds
        for slot in self._slots.values():
            slot.save_s = seconds

    def process_ended(self) -> None:
        """Files stay as they were; what the process had not yet written is gone."""
        self._crash(in_order=True)

    def power_lost(self) -> None:
        """What was synced stays; any of the rest is missing."""
        self._crash(in_order=self._random_source.random() < 0.5)

    def _crash(self, in_order: bool) -> None:
        self._logs = {name: log.crash(self._random_source, in_order) for name, log in self._logs.items()}
        self._slots = {name: slot.crash(self._random_source) for name, slot in self._slots.items()}

    def lost(self) -> None:
        """An empty disk in its place."""
        self._logs, self._slots = {}, {}


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
    report_failure: Callable[[str], None]  # of failures inside the program
    role_process: Any = None  # what the program has made of itself


class Program(Protocol):
    """One incarnation of a role."""

    async def run(self) -> None:
        """Serve until it is asked to stop."""

    def stop(self) -> None:
        """End in order (SIGTERM)."""

    def reload_settings(self, settings: BootSettings) -> None:
        """The settings file has changed (SIGHUP)."""

    def configuration_generation(self) -> int:
        """The configuration in force here, 0 for none."""

    def cluster_state(self) -> ClusterState | None:
        """What it knows of the cluster."""

    def disk_id(self) -> str:
        """The identity of its disk, empty where it has none yet."""


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


async def _call(function: Callable[[], None]) -> None:
    function()


@dataclass(frozen=True)
class DeploymentSize:
    """How many machines there are."""

    controllers: int = 3
    plain_edges: int = 1
    stores: int = 3
    faults: int = 1
    sync_s: float = 0.003
    clock_skew_s: float = 0.04  # wall clocks are off by up to this much


class SimulatedCluster:
    """All machines, and what may happen to them."""

    def __init__(
        self, loop: VirtualTimeLoop, seed: int, size: DeploymentSize, create_program: ProgramFactory
    ) -> None:
        self.loop = loop
        self.seed = seed
        self.size = size
        self.observations = Observations()
        self.network = SimulatedNetwork(loop, self.random("network"))
        self.http = HttpNetwork(self.network)
        self.machines: dict[str, SimulatedMachine] = {}
        self.program_failures: list[str] = []
        self.added_machines = 0  # machines beyond those of the start and their successors
        self.seed_addresses: list[str] = []  # the admin addresses that the settings name
        self._create_program = create_program
        self._released_addresses: list[
            tuple[float, str]
        ] = []  # addresses of machines that are gone, and since when
        self._numbers = {"edge": 0, "store": 0}
        self._addresses = 0
        self._random_source = self.random("new machines")
        self._make_machines()

    def random(self, purpose: str) -> Random:
        """A source of randomness of its own for each purpose."""
        return Random(f"{self.seed}/{purpose}")

    def _make_machines(self) -> None:
        random_source = self.random("machines")
        kinds = [("edge", True)] * self.size.controllers + [("edge", False)] * self.size.plain_edges
        kinds += [("store", True)] * self.size.stores
        for role, with_disk in kinds:
            zone = ZONES[self._numbers[role] % len(ZONES)]
            self._make_machine(role, zone, with_disk, random_source, bootstrap=True)
        self.seed_addresses = [machine.admin_address for machine in self.controllers()[:SEED_COUNT]]

    def _make_machine(
        self, role: str, zone: str, with_disk: bool, random_source: Random, bootstrap: bool, ip: str = ""
    ) -> SimulatedMachine:
        self._numbers[role] += 1
        name = f"{role}-{self._numbers[role]}"
        if not ip:
            self._addresses += 1
            ip = f"10.0.0.{self._addresses}"
        disk = MachineDisk(self.random(f"disk {name}"), self.size.sync_s) if with_disk else None
        clock_offset_s = random_source.uniform(-1.0, 1.0) * self.size.clock_skew_s
        machine = SimulatedMachine(name, role, ip, zone, disk, clock_offset_s, bootstrap)
        self.machines[name] = machine
        return machine

    def add_machine(self, role: str, zone: str, with_disk: bool) -> SimulatedMachine:
        """A new machine with an empty disk; at times it gets the address of one that is gone."""
        ip = ""
        free = [
            address
            for since, address in self._released_addresses
            if self.loop.time() - since >= ADDRESS_REUSE_S
        ]
        if free and self._random_source.random() < 0.5:
            ip = self._random_source.choice(free)
            self._released_addresses = [entry for entry in self._released_addresses if entry[1] != ip]
        return self._make_machine(role, zone, with_disk, self._random_source, bootstrap=False, ip=ip)

    def remove(self, machine: SimulatedMachine) -> None:
        """A machine without power is gone for good; new settings do not name it."""
        del self.machines[machine.name]
        self._released_addresses.append((self.loop.time(), machine.ip))
        if machine.admin_address in self.seed_addresses:
            others = [
                each.admin_address
                for each in self.controllers()
                if each.admin_address not in self.seed_addresses
            ]
            others += [
                each.admin_address
                for each in self.machines_with_role("edge")
                if each.admin_address not in [*self.seed_addresses, *others]
            ]
            kept = [seed for seed in self.seed_addresses if seed != machine.admin_address]
            self.seed_addresses = [*kept, *others[:1]]

    def choose_seeds(
        self, random_source: Random, first: SimulatedMachine | None = None, plain: bool = False
    ) -> None:
        """Name other seeds in the settings: `first` before others, or machines without a disk if there are
        enough; a process reads them when it starts."""
        edges = [machine for machine in self.machines_with_role("edge") if machine is not first]
        random_source.shuffle(edges)
        if plain:
            edges.sort(key=lambda machine: machine.counts_for_quorum)
        chosen = edges if first is None else [first, *edges]
        self.seed_addresses = [machine.admin_address for machine in chosen[:SEED_COUNT]]

    def zones(self) -> list[str]:
        """The zones that have machines."""
        return sorted({machine.zone for machine in self.machines.values()})

    def has_recent_fault(self) -> bool:
        """Whether an unplanned fault is under way or was, within the time of contact."""
        since = self.loop.time() - CONTACT_S
        return any(
            not fault.planned and (fault.ended_at is None or fault.ended_at >= since)
            for fault in self.observations.faults
        )

    def machines_with_role(self, role: str) -> list[SimulatedMachine]:
        """The machines of a role."""
        return [machine for machine in self.machines.values() if machine.role == role]

    def controllers(self) -> list[SimulatedMachine]:
        """The machines of the control chain."""
        return [machine for machine in self.machines.values() if machine.is_controller]

    def settings(self, machine: SimulatedMachine) -> BootSettings:
        """The settings file of a machine as it is now."""
        edge = machine.role == "edge"
        bind = (
            Bind(
                f"{machine.ip}:{FRONTEND_PORT}",
                f"{machine.ip}:{READINESS_PORT}",
                f"{machine.ip}:{ADMIN_PORT}",
            )
            if edge
            else Bind()
        )
        return BootSettings(
            node_name=machine.name,
            machine_class="edge" if edge else "storage",
            ip=machine.ip,
            zone=machine.zone,
            region=REGION,
            serves=["edge", "control_plane"] if edge else ["storage"],
            internal_ports=[INTERNAL_PORT, INTERNAL_PORT + 15],
            seed_nodes=list(self.seed_addresses),
            bootstrap=machine.bootstrap and not machine.started_once,
            counts_for_quorum=machine.counts_for_quorum,
            data_dir=f"/data/{machine.role}" if machine.disk else "",
            bind=bind,
            fault_tolerance=FaultTolerance(machines=self.size.faults),
            bounds=Bounds(),
            cloud_api=CloudApi(WORKER_LIST_ADDRESS, 50.0, 800),
        )

    # ---- incarnations

    def start(self, machine: SimulatedMachine) -> None:
        """Begin a new incarnation of the machine's process."""
        if machine.running:
            return
        settings = self.settings(machine)
        machine.incarnation += 1
        process = SimulatedProcess(machine.name, machine.incarnation)
        machine.process = process
        machine.powered = machine.running = True
        machine.stop_requested = False
        machine.started_once = True
        machine.failed_readiness_checks = 2
        machine.starts.append(self.loop.time())
        self.network.power_on(machine.ip)
        transport = self.network.transport(process, f"{machine.ip}:{INTERNAL_PORT}")
        environment = ProcessEnvironment(
            settings,
            transport,
            machine.disk,
            self.http,
            machine.ip,
            self.random(f"{machine.name} {machine.incarnation}"),
            lambda: self.wall_ms(machine),
            lambda text: self._record_failure(process, text),
        )
        machine.program = self._create_program(environment)
        process.run(self._run_program(machine, process, machine.program))

    async def _run_program(
        self, machine: SimulatedMachine, process: SimulatedProcess, program: Program
    ) -> None:
        try:
            await program.run()
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            self._record_failure(
                process, f"{type(error).__name__}: {error} ({frame.filename}:{frame.lineno})"
            )
        self.loop.call_outside(0.0, self._on_program_end, machine, process)

    def _on_program_end(self, machine: SimulatedMachine, process: SimulatedProcess) -> None:
        """The program has come to its end: as requested, or by itself; then it is started again."""
        if machine.process is not process or not machine.running:
            return
        if not machine.stop_requested:
            self._record_failure(process, "ended by itself")
            self.loop.call_outside(RESTART_S, self.start, machine)
        self.kill(machine)

    def _record_failure(self, process: SimulatedProcess, text: str) -> None:
        self.program_failures.append(f"{self.loop.time():.3f} {process}: {text}")

    def wall_ms(self, machine: SimulatedMachine) -> int:
        """The machine's time of day."""
        return round((WALL_CLOCK_ORIGIN_S + self.loop.time() + machine.clock_offset_s) * 1000)

    def _end_process(self, machine: SimulatedMachine) -> None:
        process = machine.process
        machine.running = machine.frozen = False
        machine.program = None
        if process is None:
            return
        process.kill()
        self._note_failures(process)
        self.network.process_ended(process)
        self.http.process_ended(process)

    def _note_failures(self, process: SimulatedProcess) -> None:
        process.collect_failures()
        self.program_failures += [f"{process}: {text}" for text in process.failures]
        process.failures.clear()

    def collect_failures(self) -> None:
        """Note the errors of the running processes that nobody caught."""
        for machine in self.machines.values():
            if machine.process is not None:
                self._note_failures(machine.process)

    def kill(self, machine: SimulatedMachine) -> None:
        """SIGKILL: the disk stays as it was written."""
        self._end_process(machine)
        if machine.disk is not None:
            machine.disk.process_ended()

    def power_off(self, machine: SimulatedMachine) -> None:
        """The machine falls silent; unsynced writes are lost."""
        self.network.power_off(machine.ip)
        machine.powered = False
        self._end_process(machine)
        if machine.disk is not None:
            machine.disk.power_lost()

    def lose_disk(self, machine: SimulatedMachine) -> None:
        """The machine loses power and comes back with an empty disk."""
        self.power_off(machine)
        if machine.disk is not None:
            machine.disk.lost()

    def freeze(self, machine: SimulatedMachine) -> None:
        """Its process stands still."""
        if machine.process is not None and machine.running:
            machine.frozen = True
            self.loop.freeze(machine.process)

    def reload_settings(self, machine: SimulatedMachine) -> None:
        """SIGHUP: the process reads its settings again."""
        process, program = machine.process, machine.program
        if process is not None and program is not None and machine.running:
            settings = self.settings(machine)
            process.run(_call(lambda: program.reload_settings(settings)))

    def thaw(self, machine: SimulatedMachine) -> None:
        """Its process goes on."""
        if machine.process is not None and machine.frozen:
            machine.frozen = False
            self.loop.thaw(machine.process)

    async def terminate(self, machine: SimulatedMachine, grace_s: float) -> None:
        """SIGTERM, and SIGKILL after `grace_s`."""
        process, program = machine.process, machine.program
        if process is None or program is None or not machine.running:
            return
        machine.stop_requested = True
        process.run(_call(program.stop))
        deadline = self.loop.time() + grace_s
        while machine.running and machine.process is process and self.loop.time() < deadline:
            await asyncio.sleep(STOP_POLL_S)
        if machine.running and machine.process is process:
            self._record_failure(process, f"did not end within {grace_s} s of SIGTERM")
            self.kill(machine)

    def isolate(self, machine: SimulatedMachine, inward: bool, outward: bool, outside: bool = True) -> None:
        """Cut a machine off from the others of the system; with `outside` also from clients, workers and the
        operator."""
        others = {each.ip for each in self.machines.values()}
        if outside:
            others |= self.network.powered
        for other in others:
            if other == machine.ip:
                continue
            if inward:
                self.network.block(other, machine.ip, both=False)
            if outward:
                self.network.block(machine.ip, other, both=False)

    def rejoin(self, machine: SimulatedMachine) -> None:
        """End all cuts of a machine."""
        for other in sorted(self.network.powered | {each.ip for each in self.machines.values()}):
            if other != machine.ip:
                self.network.heal(machine.ip, other)

    def record_fault(self, kind: str, host: str, planned: bool = False) -> InjectedFault:
        """Note a disturbance that begins now."""
        fault = InjectedFault(kind, host, self.loop.time(), planned=planned)
        self.observations.faults.append(fault)
        return fault
