"""Losses of power, and many processes or machines at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind
from hollowusher.simulation.machine import SimulatedMachine

End = Callable[[SimulatedMachine], None]


@fault_kind("power", 3)
async def power(context: FaultContext, request: FaultRequest) -> None:
    """A machine loses power."""
    machine = context.choose_machine(request)
    fault = context.begin("power", machine.name, [machine])
    context.cluster.power_off(machine)
    await context.wait(request, 0.7, 3.0, 6.0)
    context.cluster.start(machine)
    context.end(fault)


@fault_kind("herd_kill", 0.7)
async def herd_kill(context: FaultContext, request: FaultRequest) -> None:
    """Every process that counts is killed at once and returns within a second."""
    await _herd(context, "herd_kill", context.counted_machines(), context.cluster.kill, (0.2, 0.9))


@fault_kind("herd_power", 0.7)
async def herd_power(context: FaultContext, request: FaultRequest) -> None:
    """All machines that count lose power at once."""
    await _herd(context, "herd_power", context.counted_machines(), context.cluster.power_off, (0.5, 3.0))


@fault_kind("herd_disk", 0.7)
async def herd_disk(context: FaultContext, request: FaultRequest) -> None:
    """One machine loses its disk while all others that count lose power."""
    lost = context.choose_machine(request)

    def end(machine: SimulatedMachine) -> None:
        (context.cluster.lose_disk if machine is lost else context.cluster.power_off)(machine)

    await _herd(
        context, f"herd_disk({lost.name})", context.counted_machines(), end, (0.5, 3.0), disk_lost=True
    )


@fault_kind("dark", 1)
async def dark(context: FaultContext, request: FaultRequest) -> None:
    """All machines, those without a disk too, lose power; any subset of them comes back late."""
    machines = list(context.cluster.machines.values())
    late = {machine.name for machine in machines if context.random_source.random() < 0.3}
    await _herd(context, "dark", machines, context.cluster.power_off, (0.2, 1.5), late)


async def _herd(
    context: FaultContext,
    kind: str,
    machines: list[SimulatedMachine],
    end: End,
    back: tuple[float, float],
    late: set[str] | frozenset[str] = frozenset(),
    disk_lost: bool = False,
) -> None:
    hit = [machine for machine in machines if machine.running]
    late_text = "all" if not late else f"all, late: {' '.join(sorted(late))}"
    fault = context.begin(kind, late_text, hit)
    for machine in hit:
        end(machine)

    async def come_back(machine: SimulatedMachine) -> None:
        delay = context.random_source.uniform(*back)
        if machine.name in late:
            delay += context.random_source.choice((3.0, 8.0))
        await asyncio.sleep(delay)
        context.cluster.start(machine)

    await asyncio.gather(*(come_back(machine) for machine in hit))
    context.end(fault, catching_up=disk_lost)
