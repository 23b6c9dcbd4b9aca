"""Losses of power, and many processes or machines at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind
from hollowusher.simulation.machine import SimulatedMachine

LATE_S = (3.0, 8.0)


@fault_kind("power", 3)
async def power(context: FaultContext, request: FaultRequest) -> None:
    """Take a machine's power."""
    machine = context.choose_machine(request)
    fault = context.begin("power", machine.name, [machine])
    context.cluster.power_off(machine)
    await context.wait(request, 0.7, 3.0, 6.0)
    context.cluster.start(machine)
    context.end(fault)


@dataclass(frozen=True)
class SimultaneousFault:
    """A fault of many machines at once, and how they come back."""

    kind: str
    machines: list[SimulatedMachine]
    end_machine: Callable[[SimulatedMachine], None]
    downtime_s: tuple[float, float]  # from, to
    late: frozenset[str] = frozenset()  # names of machines that come back `LATE_S` after that
    disk_lost: bool = False


@fault_kind("herd_kill", 0.7)
async def herd_kill(context: FaultContext, request: FaultRequest) -> None:
    """Kill every counted process at once; all return within a second."""
    machines = context.counted_machines()
    await _inject(context, SimultaneousFault("herd_kill", machines, context.cluster.kill, (0.2, 0.9)))


@fault_kind("herd_power", 0.7)
async def herd_power(context: FaultContext, request: FaultRequest) -> None:
    """Take the power of all counted machines at once."""
    machines = context.counted_machines()
    await _inject(context, SimultaneousFault("herd_power", machines, context.cluster.power_off, (0.5, 3.0)))


@fault_kind("herd_disk", 0.7)
async def herd_disk(context: FaultContext, request: FaultRequest) -> None:
    """Take the disk of one machine while all other counted machines lose power."""
    lost = context.choose_machine(request)

    def end(machine: SimulatedMachine) -> None:
        (context.cluster.lose_disk if machine is lost else context.cluster.power_off)(machine)

    kind, machines = f"herd_disk({lost.name})", context.counted_machines()
    await _inject(context, SimultaneousFault(kind, machines, end, (0.5, 3.0), disk_lost=True))


@fault_kind("dark", 1)
async def dark(context: FaultContext, request: FaultRequest) -> None:
    """Take the power of all machines, those without a disk too; a random subset comes back late."""
    machines = list(context.cluster.machines.values())
    late = frozenset(machine.name for machine in machines if context.random_source.random() < 0.3)
    await _inject(context, SimultaneousFault("dark", machines, context.cluster.power_off, (0.2, 1.5), late))


async def _inject(context: FaultContext, simultaneous: SimultaneousFault) -> None:
    late = simultaneous.late
    hit = [machine for machine in simultaneous.machines if machine.running]
    late_text = f"all, late: {' '.join(sorted(late))}" if late else "all"
    fault = context.begin(simultaneous.kind, late_text, hit)
    for machine in hit:
        simultaneous.end_machine(machine)

    async def come_back(machine: SimulatedMachine) -> None:
        delay_s = context.random_source.uniform(*simultaneous.downtime_s)
        if machine.name in late:
            delay_s += context.random_source.choice(LATE_S)
        await asyncio.sleep(delay_s)
        context.cluster.start(machine)

    await asyncio.gather(*(come_back(machine) for machine in hit))
    context.end(fault, catching_up=simultaneous.disk_lost)
