"""Troubles of processes: kills, freezes, planned stops, changed settings, resets."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.faults.stage import GRACE_S, Stage, Wanted, trouble
from hollowusher.simulation.observations import StopSeen
from hollowusher.simulation.world import CATCH_UP_S, Machine

READY_STILL_S = 4.0  # a process that was told to stop should not count as ready after this


@trouble("kill", 3)
async def kill(stage: Stage, wanted: Wanted) -> None:
    """SIGKILL and a restart after a short delay."""
    machine = stage.pick(wanted)
    noted = stage.begin("kill", machine.name, [machine])
    stage.world.kill(machine)
    await stage.wait(wanted, 0.3, 1.1)
    stage.world.start(machine)
    stage.end(noted)


@trouble("freeze", 2)
async def freeze(stage: Stage, wanted: Wanted) -> None:
    """The process stands still for a while."""
    machine = stage.pick(wanted)
    noted = stage.begin("freeze", machine.name, [machine])
    stage.world.freeze(machine)
    await stage.wait(wanted, 0.3, 1.0, 3.0, 6.0, 12.0)
    stage.world.thaw(machine)
    stage.end(noted)


@trouble("stop", 2)
async def stop(stage: Stage, wanted: Wanted) -> None:
    """SIGTERM, and a restart."""
    machine = stage.pick(wanted)
    noted = stage.begin("stop", machine.name, [machine], planned=True)
    await tell_to_stop(stage, machine)
    await stage.wait(wanted, 0.3, 0.8)
    stage.world.start(machine)
    stage.end(noted)


async def tell_to_stop(stage: Stage, machine: Machine) -> None:
    """SIGTERM, then SIGKILL; notes whether a machine that takes clients is still ready seconds later."""
    world = stage.world
    was_ready = machine.role == "edge" and machine.readiness_misses == 0
    if was_ready and not world.disturbed_lately():
        world.loop.call_outside(READY_STILL_S, _note_ready, stage, machine, machine.life, stage.now())
    await world.terminate(machine, GRACE_S)


def _note_ready(stage: Stage, machine: Machine, life: int, told_at: float) -> None:
    still = machine.running and machine.life == life and machine.readiness_misses < 2
    stage.world.seen.stops.append(StopSeen(machine.name, told_at, still))


@trouble("roll", 0.7)
async def roll(stage: Stage, wanted: Wanted) -> None:
    """All machines of a role are stopped and started in turn."""
    for each in list(stage.world.of(stage.pick(wanted).role)):
        await stop(stage, Wanted("stop", each.name))
        await asyncio.sleep(CATCH_UP_S)


@trouble("hup", 0.5)
async def hup(stage: Stage, wanted: Wanted) -> None:
    """SIGHUP to each process in turn."""
    noted = stage.begin("hup", "all", planned=True)
    for machine in list(stage.world.machines.values()):
        stage.world.hang_up(machine)
        await asyncio.sleep(0.05)
    stage.end(noted)


@trouble("reset", 1)
async def reset(stage: Stage, wanted: Wanted) -> None:
    """All connections of a machine are reset."""
    machine = stage.pick(wanted)
    noted = stage.begin("reset", machine.name, [machine])
    stage.world.network.reset_connections(machine.ip)
    stage.end(noted)


@trouble("double", 1)
async def double(stage: Stage, wanted: Wanted) -> None:
    """A store and a controller are lost at once, each within its own group's tolerance."""
    store = stage.chance.choice(stage.counting("store"))
    controller = stage.chance.choice(stage.counting("edge"))
    from hollowusher.simulation.faults.disks import lose
    from hollowusher.simulation.faults.links import cut_one_way

    events = (kill, freeze, cut_one_way, reset, lose)
    await asyncio.gather(
        stage.chance.choice(events)(stage, Wanted("double", store.name)),
        stage.chance.choice(events)(stage, Wanted("double", controller.name)),
    )


@trouble("lag_kill", 1)
async def lag_kill(stage: Stage, wanted: Wanted) -> None:
    """The links of one store are slow, and another store is killed meanwhile."""
    lagging, killed = stage.chance.sample(stage.world.of("store"), 2)
    noted = stage.begin("lag_kill", f"{lagging.name} {killed.name}", [lagging, killed])
    stage.world.network.slow_hosts[lagging.ip] = stage.chance.choice((0.05, 0.2, 0.6))
    await asyncio.sleep(stage.chance.uniform(0.5, 2.0))
    stage.world.kill(killed)
    await asyncio.sleep(stage.chance.uniform(0.2, 3.0))
    stage.world.network.slow_hosts.clear()
    stage.world.start(killed)
    stage.end(noted)
