"""Troubles of disks: lost, full, slow and stuck ones."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.faults.stage import Stage, Wanted, trouble

STALL_STEP_S = 0.05
SLOW_FACTOR = 30.0
FULL_DISK = "no space is left"  # a call that writes there fails, as it should


@trouble("disk", 2)
async def lose(stage: Stage, wanted: Wanted) -> None:
    """A machine loses its disk and comes back at its address."""
    machine = stage.pick(wanted)
    noted = stage.begin("disk", machine.name, [machine])
    stage.world.lose_disk(machine)
    await stage.wait(wanted, 0.7, 2.5)
    stage.world.start(machine)
    stage.end(noted, catching_up=True)


@trouble("disk_full", 0.5)
async def full(stage: Stage, wanted: Wanted) -> None:
    """A disk takes no more bytes."""
    machine = stage.pick(wanted)
    assert machine.disk is not None
    noted = stage.begin("disk_full", machine.name, [machine])
    machine.disk.fail(FULL_DISK)
    await stage.wait(wanted, 1.0, 5.0)
    machine.disk.fail("")
    stage.end(noted)


@trouble("disk_slow", 0.7)
async def slow(stage: Stage, wanted: Wanted) -> None:
    """A disk takes many times as long."""
    machine = stage.pick(wanted)
    assert machine.disk is not None
    noted = stage.begin("disk_slow", machine.name, [machine])
    machine.disk.set_sync_time(stage.world.size.sync_s * SLOW_FACTOR)
    await stage.wait(wanted, 1.0, 5.0)
    machine.disk.set_sync_time(stage.world.size.sync_s)
    stage.end(noted)


@trouble("disk_stall", 0.7)
async def stall(stage: Stage, wanted: Wanted) -> None:
    """A disk answers nothing for a while: what was begun meanwhile ends with it."""
    machine = stage.pick(wanted)
    assert machine.disk is not None
    noted = stage.begin("disk_stall", machine.name, [machine])
    length = wanted.for_s if wanted.for_s is not None else stage.chance.choice((1.0, 3.0, 6.0))
    ends_at = stage.now() + length
    while stage.now() < ends_at:
        machine.disk.set_sync_time(ends_at - stage.now())
        await asyncio.sleep(STALL_STEP_S)
    machine.disk.set_sync_time(stage.world.size.sync_s)
    stage.end(noted)
