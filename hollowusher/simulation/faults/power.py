"""Losses of power, and many processes or machines at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.simulation.faults.stage import Stage, Wanted, trouble
from hollowusher.simulation.world import Machine

End = Callable[[Machine], None]


@trouble("power", 3)
async def power(stage: Stage, wanted: Wanted) -> None:
    """A machine loses power."""
    machine = stage.pick(wanted)
    noted = stage.begin("power", machine.name, [machine])
    stage.world.power_off(machine)
    await stage.wait(wanted, 0.7, 3.0, 6.0)
    stage.world.start(machine)
    stage.end(noted)


@trouble("herd_kill", 0.7)
async def herd_kill(stage: Stage, wanted: Wanted) -> None:
    """Every process that counts is killed at once and returns within a second."""
    await _herd(stage, "herd_kill", stage.counting(), stage.world.kill, (0.2, 0.9))


@trouble("herd_power", 0.7)
async def herd_power(stage: Stage, wanted: Wanted) -> None:
    """All machines that count lose power at once."""
    await _herd(stage, "herd_power", stage.counting(), stage.world.power_off, (0.5, 3.0))


@trouble("herd_disk", 0.7)
async def herd_disk(stage: Stage, wanted: Wanted) -> None:
    """One machine loses its disk while all others that count lose power."""
    lost = stage.pick(wanted)

    def end(machine: Machine) -> None:
        (stage.world.lose_disk if machine is lost else stage.world.power_off)(machine)

    await _herd(stage, f"herd_disk({lost.name})", stage.counting(), end, (0.5, 3.0), disk_lost=True)


@trouble("dark", 1)
async def dark(stage: Stage, wanted: Wanted) -> None:
    """All machines, those without a disk too, lose power; any subset of them comes back late."""
    machines = list(stage.world.machines.values())
    late = {machine.name for machine in machines if stage.chance.random() < 0.3}
    await _herd(stage, "dark", machines, stage.world.power_off, (0.2, 1.5), late)


async def _herd(
    stage: Stage,
    kind: str,
    machines: list[Machine],
    end: End,
    back: tuple[float, float],
    late: set[str] | frozenset[str] = frozenset(),
    disk_lost: bool = False,
) -> None:
    hit = [machine for machine in machines if machine.running]
    told = "all" if not late else f"all, late: {' '.join(sorted(late))}"
    noted = stage.begin(kind, told, hit)
    for machine in hit:
        end(machine)

    async def come_back(machine: Machine) -> None:
        delay = stage.chance.uniform(*back)
        if machine.name in late:
            delay += stage.chance.choice((3.0, 8.0))
        await asyncio.sleep(delay)
        stage.world.start(machine)

    await asyncio.gather(*(come_back(machine) for machine in hit))
    stage.end(noted, catching_up=disk_lost)
