"""Machines that come and go: replacements, additions, emptied stores, other seeds."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.faults import disks
from hollowusher.simulation.faults.processes import tell_to_stop
from hollowusher.simulation.faults.stage import Stage, Wanted, trouble
from hollowusher.simulation.observations import Retirement
from hollowusher.simulation.world import CATCH_UP_S, Machine

RETIRE_S = 10.0
MOST_MACHINES_ADDED = 2


@trouble("replace", 3)
async def replace(stage: Stage, wanted: Wanted) -> None:
    """A machine that counts is gone for good; an empty one comes at another address.  Planned: the new one
    first, then SIGTERM."""
    old = stage.pick(wanted)
    if wanted.how == "planned" or (wanted.how == "" and stage.chance.random() < 0.4):
        await _replace_planned(stage, wanted, old)
    else:
        await _replace_lost(stage, wanted, old)


async def _replace_lost(stage: Stage, wanted: Wanted, old: Machine) -> None:
    world = stage.world
    noted = stage.begin("replace", old.name, [old])
    world.power_off(old)
    world.remove(old)
    await stage.wait(wanted, 0.3, 1.0, 3.0, 8.0)
    new = world.add_machine(old.role, old.zone, with_disk=True)
    world.start(new)
    noted.host = f"{old.name} by {new.name}"
    stage.end(noted, catching_up=True)


async def _replace_planned(stage: Stage, wanted: Wanted, old: Machine) -> None:
    world = stage.world
    new = world.add_machine(old.role, old.zone, with_disk=True)
    noted = stage.begin("replace_planned", f"{old.name} by {new.name}", [old], planned=True)
    world.start(new)
    started_at = stage.now()
    await stage.wait(wanted, 0.3, 1.0, CATCH_UP_S)
    await tell_to_stop(stage, old)
    world.power_off(old)
    world.remove(old)
    stage.end(noted)
    stage.tolerance.replaced(old.name, started_at, stage.now())


@trouble("add", 0.8)
async def add(stage: Stage, wanted: Wanted) -> None:
    """A machine is added."""
    role = wanted.how or stage.chance.choice(("edge", "store", "controller"))
    if stage.world.added >= MOST_MACHINES_ADDED and not wanted.how:
        return
    await _add(stage, role)


async def _add(stage: Stage, role: str) -> Machine:
    zone = stage.chance.choice(stage.world.zones())
    stage.world.added += 1
    new = stage.world.add_machine("store" if role == "store" else "edge", zone, with_disk=role != "edge")
    noted = stage.begin("add", f"{role} {new.name}", [new], planned=True)
    stage.world.start(new)
    stage.end(noted)
    return new


@trouble("retire", 2)
async def retire(stage: Stage, wanted: Wanted) -> None:
    """A store is emptied and then taken away with its disk; at times others lose their disks, one after the
    other, right after it began."""
    if stage.operator is None:
        return
    if len(stage.world.of("store")) <= 2 * stage.world.size.faults + 1:
        await _add(stage, "store")
        await asyncio.sleep(CATCH_UP_S)
    machine = stage.pick(wanted, stage.world.of("store"))
    wipe = wanted.how == "wipe" or (wanted.how == "" and stage.chance.random() < 0.5)
    noted = stage.begin("retire_wipe" if wipe else "retire", machine.name, planned=True)
    asked_at = stage.now()
    emptied = asyncio.ensure_future(stage.operator.retire(machine.name, wanted.for_s or RETIRE_S))
    if wipe:
        await asyncio.sleep(stage.chance.uniform(0.0, 1.0))
        others = [each for each in stage.world.of("store") if each is not machine]
        await disks.lose(stage, Wanted("disk", stage.chance.choice(others).name))
    completed = await emptied
    stage.world.seen.retirements.append(
        Retirement(machine.name, asked_at, stage.now(), completed, RETIRE_S, wipe)
    )
    if completed:
        stage.world.power_off(machine)
        stage.world.remove(machine)
        stage.tolerance.forget(machine.name)
    stage.end(noted)


@trouble("seed_turnover", 1)
async def seed_turnover(stage: Stage, wanted: Wanted) -> None:
    """The settings name other seeds, edge machines without a disk too."""
    how = wanted.how or stage.chance.choice(("plain", "any"))
    stage.world.choose_seeds(stage.chance, plain=how == "plain")
    noted = stage.begin("seed_turnover", " ".join(stage.world.seeds), planned=True)
    stage.end(noted)
