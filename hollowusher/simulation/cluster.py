"""The machines of the simulated system with their processes, disks, power, links and clocks.

A `Program` is one incarnation of a role on a machine.  The cluster builds it from a `ProcessEnvironment`
(transport, storage, HTTP, clock), starts it, stops it and takes its resources away.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from hollowusher.configuration.boot import (
    Bind,
    BootSettings,
    Bounds,
    CloudApi,
    FaultTolerance,
    ResourceLimits,
)
from hollowusher.simulation.addresses import (
    ADMIN_PORT,
    FRONTEND_PORT,
    INTERNAL_PORT,
    READINESS_PORT,
    WORKER_LIST_ADDRESS,
)
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.http_network import HttpNetwork
from hollowusher.simulation.machine import ProcessEnvironment, Program, ProgramFactory, SimulatedMachine
from hollowusher.simulation.machine_disk import SEGMENT_BYTES, MachineDisk
from hollowusher.simulation.network import SimulatedNetwork
from hollowusher.simulation.observations import InjectedFault, Observations

WALL_CLOCK_ORIGIN_S = 1_700_000_000.0
REGION = "region-a"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
RESTART_S = 0.5  # after a process has ended by itself
STOP_POLL_S = 0.05
CATCH_UP_S = 4.2
CONTACT_S = 4.0
ADDRESS_REUSE_S = 2.0  # an address may be given to another machine after this
SEED_COUNT = 3
USUAL_LINK_MBPS = 480.0
BYTES_PER_S_PER_MBPS = 1_000_000 / 8


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
    zones: int = 4  # at most 4
    edge_start_s: float = 0.0  # from the start of a process until its program runs
    store_start_s: float = 0.0
    link_mbps: float = 0.0  # of each machine's link between machines; 0: links of any rate
    segment_bytes: int = SEGMENT_BYTES  # of the logs on disks


class SimulatedCluster:
    """All machines, and what may happen to them.  It owns the network, the disks and the processes."""

    def __init__(
        self, loop: VirtualTimeLoop, seed: int, size: DeploymentSize, create_program: ProgramFactory
    ) -> None:
        self.loop = loop
        self.seed = seed
        self.size = size
        self.observations = Observations()
        self.network = SimulatedNetwork(loop, self.random("network"))
        self.network.link_bytes_per_s = size.link_mbps * BYTES_PER_S_PER_MBPS
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
        """Create the source of randomness of one purpose; it depends on the seed and the purpose alone."""
        return Random(f"{self.seed}/{purpose}")

    def _make_machines(self) -> None:
        random_source = self.random("machines")
        kinds = [("edge", True)] * self.size.controllers + [("edge", False)] * self.size.plain_edges
        kinds += [("store", True)] * self.size.stores
        for role, with_disk in kinds:
            zone = ZONES[self._numbers[role] % min(self.size.zones, len(ZONES))]
            self._make_machine(role, zone, random_source, with_disk=with_disk)
        self.seed_addresses = [machine.admin_address for machine in self.controllers()[:SEED_COUNT]]

    def _make_machine(
        self, role: str, zone: str, random_source: Random, *, with_disk: bool, ip: str = ""
    ) -> SimulatedMachine:
        self._numbers[role] += 1
        name = f"{role}-{self._numbers[role]}"
        if not ip:
            self._addresses += 1
            ip = f"10.0.0.{self._addresses}"
        disk = None
        if with_disk:
            disk = MachineDisk(self.random(f"disk {name}"), self.size.sync_s, self.size.segment_bytes)
        clock_offset_s = random_source.uniform(-1.0, 1.0) * self.size.clock_skew_s
        machine = SimulatedMachine(name, role, ip, zone, disk, clock_offset_s)
        self.machines[name] = machine
        self.network.zones[ip] = zone
        return machine

    def add_machine(self, role: str, zone: str, *, with_disk: bool) -> SimulatedMachine:
        """Add a machine with an empty disk, sometimes at the address of one that is gone."""
        ip = ""
        free = [
            address
            for since, address in self._released_addresses
            if self.loop.time() - since >= ADDRESS_REUSE_S
        ]
        if free and self._random_source.random() < 0.5:
            ip = self._random_source.choice(free)
            self._released_addresses = [entry for entry in self._released_addresses if entry[1] != ip]
        machine = self._make_machine(role, zone, self._random_source, with_disk=with_disk, ip=ip)
        machine.bootstrap = False
        return machine

    def remove(self, machine: SimulatedMachine) -> None:
        """Remove a machine without power for good; new settings do not name it."""
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
        self, random_source: Random, first: SimulatedMachine | None = None, *, plain: bool = False
    ) -> None:
        """Name other seeds in the settings, which a process reads when it starts.

        Parameters
        ----------
        first
            Comes before all others.
        plain
            Whether machines without a disk come first.
        """
        edges = [machine for machine in self.machines_with_role("edge") if machine is not first]
        random_source.shuffle(edges)
        if plain:
            edges.sort(key=lambda machine: machine.counts_for_quorum)
        chosen = edges if first is None else [first, *edges]
        self.seed_addresses = [machine.admin_address for machine in chosen[:SEED_COUNT]]

    def zones(self) -> list[str]:
        """Return the zones that have machines."""
        return sorted({machine.zone for machine in self.machines.values()})

    def has_recent_fault(self) -> bool:
        """Whether an unplanned fault is under way or was, within the time of contact."""
        since = self.loop.time() - CONTACT_S
        return any(
            not fault.planned and (fault.ended_at is None or fault.ended_at >= since)
            for fault in self.observations.faults
        )

    def machines_with_role(self, role: str) -> list[SimulatedMachine]:
        """Return the machines of a role."""
        return [machine for machine in self.machines.values() if machine.role == role]

    def controllers(self) -> list[SimulatedMachine]:
        """Return the machines of the control chain."""
        return [machine for machine in self.machines.values() if machine.is_controller]

    def settings(self, machine: SimulatedMachine) -> BootSettings:
        """Return the present settings file of a machine."""
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
            limits=ResourceLimits(bandwidth_mbps=self.size.link_mbps or USUAL_LINK_MBPS),
            fault_tolerance=FaultTolerance(machines=self.size.faults),
            bounds=Bounds(),
            cloud_api=CloudApi(WORKER_LIST_ADDRESS, 50.0, 800),
        )

    # ---- incarnations

    def start(self, machine: SimulatedMachine) -> None:
        """Start a new incarnation of the machine's process."""
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
            start_s = self.size.edge_start_s if machine.role == "edge" else self.size.store_start_s
            if start_s:
                await asyncio.sleep(start_s)
            await program.run()
        except Exception as error:  # noqa: BLE001 - the outermost edge of a program
            frame = traceback.extract_tb(error.__traceback__)[-1]
            self._record_failure(
                process, f"{type(error).__name__}: {error} ({frame.filename}:{frame.lineno})"
            )
        self.loop.call_outside(0.0, self._on_program_end, machine, process)

    def _on_program_end(self, machine: SimulatedMachine, process: SimulatedProcess) -> None:
        """Clean up after a program; restart it if it has ended by itself."""
        if machine.process is not process or not machine.running:
            return
        if not machine.stop_requested:
            self._record_failure(process, "ended by itself")
            self.loop.call_outside(RESTART_S, self.start, machine)
        self.kill(machine)

    def _record_failure(self, process: SimulatedProcess, text: str) -> None:
        self.program_failures.append(f"{self.loop.time():.3f} {process}: {text}")

    def wall_ms(self, machine: SimulatedMachine) -> int:
        """Return the machine's wall clock in milliseconds."""
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
        """Kill a machine's process (SIGKILL); the disk stays as it was written."""
        self._end_process(machine)
        if machine.disk is not None:
            machine.disk.process_ended()

    def power_off(self, machine: SimulatedMachine) -> None:
        """Take a machine's power; unsynced writes are lost."""
        self.network.power_off(machine.ip)
        machine.powered = False
        self._end_process(machine)
        if machine.disk is not None:
            machine.disk.power_lost()

    def lose_disk(self, machine: SimulatedMachine) -> None:
        """Take a machine's power and its disk."""
        self.power_off(machine)
        if machine.disk is not None:
            machine.disk.lost()

    def freeze(self, machine: SimulatedMachine) -> None:
        """Suspend a machine's process (SIGSTOP)."""
        if machine.process is not None and machine.running:
            machine.frozen = True
            self.loop.freeze(machine.process)

    def reload_settings(self, machine: SimulatedMachine) -> None:
        """Have a process read its settings again (SIGHUP)."""
        process, program = machine.process, machine.program
        if process is not None and program is not None and machine.running:
            settings = self.settings(machine)
            process.run(_call(lambda: program.reload_settings(settings)))

    def thaw(self, machine: SimulatedMachine) -> None:
        """Resume a frozen process (SIGCONT)."""
        if machine.process is not None and machine.frozen:
            machine.frozen = False
            self.loop.thaw(machine.process)

    async def terminate(self, machine: SimulatedMachine, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after `grace_s` seconds."""
        process, program = machine.process, machine.program
        if process is None or program is None or not machine.running:
            return
        machine.stop_requested = True
        process.run(_call(program.stop))
        deadline = self.loop.time() + grace_s
        while (  # noqa: ASYNC110 - the end of a process is seen by polling, as a platform does
            machine.running and machine.process is process and self.loop.time() < deadline
        ):
            await asyncio.sleep(STOP_POLL_S)
        if machine.running and machine.process is process:
            self._record_failure(process, f"did not end within {grace_s} s of SIGTERM")
            self.kill(machine)

    def isolate(
        self, machine: SimulatedMachine, *, inward: bool, outward: bool, outside: bool = True
    ) -> None:
        """Cut a machine off from the other machines.

        With `outside` it is cut off from clients, workers and the operator too.
        """
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
        """Open all links of a machine."""
        for other in sorted(self.network.powered | {each.ip for each in self.machines.values()}):
            if other != machine.ip:
                self.network.heal(machine.ip, other)

    def record_fault(self, kind: str, host: str, *, planned: bool = False) -> InjectedFault:
        """Record a fault that begins now."""
        fault = InjectedFault(kind, host, self.loop.time(), planned=planned)
        self.observations.faults.append(fault)
        return fault
