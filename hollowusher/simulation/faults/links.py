"""Troubles of links: cuts of each shape, slow links, frames that reset their connection."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.faults.stage import Stage, Wanted, trouble
from hollowusher.simulation.world import Machine

LENGTHS = (0.3, 1.5, 4.0, 7.0, 20.0)


@trouble("cut", 2)
async def cut(stage: Stage, wanted: Wanted) -> None:
    """A machine is cut off from all others; the outside may still reach it."""
    await _cut_off(stage, wanted, inward=True, outward=True, kind="cut")


@trouble("cut_one_way", 2)
async def cut_one_way(stage: Stage, wanted: Wanted) -> None:
    """Nothing comes in, or nothing gets out."""
    inward = wanted.how == "in" or (wanted.how != "out" and stage.chance.random() < 0.5)
    await _cut_off(stage, wanted, inward, not inward, "cut_in" if inward else "cut_out")


async def _cut_off(stage: Stage, wanted: Wanted, inward: bool, outward: bool, kind: str) -> None:
    machine = stage.pick(wanted)
    outside = stage.chance.random() < 0.3
    noted = stage.begin(kind if outside else f"{kind}_inside", machine.name, [machine])
    stage.world.isolate(machine, inward, outward, outside)
    meeting = _meet(stage, machine)
    await stage.wait(wanted, *LENGTHS)
    stage.world.rejoin(machine)
    stage.end(noted)
    await meeting


@trouble("cut_core", 2)
async def cut_core(stage: Stage, wanted: Wanted) -> None:
    """A machine is cut off from the other machines that count (near: from those of other zones, too); with
    reset and refuse its connections break, else there is silence."""
    machine = stage.pick(wanted)
    near = wanted.how == "near" or (wanted.how == "" and stage.chance.random() < 0.5)
    others = [
        each
        for each in stage.world.machines.values()
        if each is not machine and (each.counts or (near and each.zone != machine.zone))
    ]
    refuse = wanted.how == "refuse" or (wanted.how == "" and stage.chance.random() < 0.3)
    kind = f"cut_core{'_near' if near else ''}{'_refuse' if refuse else ''}"
    noted = stage.begin(kind, machine.name, [machine])
    _part(stage, machine, others, refuse)
    lured = wanted.how == "lure" or (machine.role == "edge" and stage.chance.random() < 0.3)
    if lured and stage.operator is not None:
        stage.operator.lure(machine.name)
    meeting = _meet(stage, machine)
    await stage.wait(wanted, *LENGTHS)
    _unite(stage, machine, others)
    if stage.operator is not None:
        stage.operator.lure("")
    stage.end(noted)
    await meeting


@trouble("cut_both", 1)
async def cut_both(stage: Stage, wanted: Wanted) -> None:
    """A machine is cut off and its process killed, then the processes of all others that count."""
    machine = stage.pick(wanted)
    others = [each for each in stage.counting() if each is not machine]
    noted = stage.begin("cut_both", machine.name, stage.counting())
    _part(stage, machine, others, refuse=False)
    await asyncio.sleep(stage.chance.uniform(0.5, 3.0))
    await _restart(stage, [machine])
    await asyncio.sleep(stage.chance.uniform(0.2, 3.0))
    await _restart(stage, others)
    meeting = _meet(stage, machine)
    await stage.wait(wanted, 1.5, 7.0, 16.0)
    _unite(stage, machine, others)
    stage.end(noted)
    await meeting


@trouble("cut_seeds", 1)
async def cut_seeds(stage: Stage, wanted: Wanted) -> None:
    """The settings name a machine that is cut off as the first seed, and some others are restarted."""
    machine = stage.pick(wanted, stage.counting("edge"))
    others = [each for each in stage.world.machines.values() if each is not machine]
    noted = stage.begin("cut_seeds", machine.name, [machine])
    _part(stage, machine, others, refuse=False)
    stage.world.choose_seeds(stage.chance, first=machine)
    plain = [each for each in others if not each.counts and stage.chance.random() < 0.6]
    await _restart(stage, plain)
    meeting = _meet(stage, machine)
    await stage.wait(wanted, *LENGTHS)
    _unite(stage, machine, others)
    stage.end(noted)
    await meeting


async def _restart(stage: Stage, machines: list[Machine]) -> None:
    for machine in machines:
        stage.world.kill(machine)
    await asyncio.sleep(stage.chance.uniform(0.2, 0.9))
    for machine in machines:
        stage.world.start(machine)


def _part(stage: Stage, machine: Machine, others: list[Machine], refuse: bool) -> None:
    for other in others:
        stage.world.network.cut(machine.ip, other.ip, refuse=refuse)


def _unite(stage: Stage, machine: Machine, others: list[Machine]) -> None:
    for other in others:
        stage.world.network.join(machine.ip, other.ip)


def _meet(stage: Stage, machine: Machine) -> asyncio.Future[None]:
    """At times orders, or two at once, are sent to a machine that is cut off and to the others."""
    drawn = stage.chance.random()
    if stage.operator is None or machine.role != "edge" or drawn < 0.4:
        return asyncio.ensure_future(asyncio.sleep(0))
    if drawn < 0.7:
        return asyncio.ensure_future(stage.operator.change(machine.admin))
    other = stage.chance.choice([each for each in stage.world.of("edge") if each is not machine])
    return asyncio.ensure_future(stage.operator.race(machine.admin, other.admin))


@trouble("cut_pair", 1)
async def cut_pair(stage: Stage, wanted: Wanted) -> None:
    """Two machines do not reach each other."""
    machine = stage.pick(wanted)
    others = [each for each in stage.world.machines.values() if each is not machine]
    other = stage.chance.choice(others)
    noted = stage.begin("cut_pair", f"{machine.name}|{other.name}", [machine])
    stage.world.network.cut(machine.ip, other.ip, both=stage.chance.random() < 0.6)
    await stage.wait(wanted, 0.7, 5.0)
    stage.world.network.join(machine.ip, other.ip)
    stage.end(noted)


@trouble("split", 1.5)
async def split(stage: Stage, wanted: Wanted) -> None:
    """A store and the edge processes without a disk reach each other and one more store, but neither the
    controllers nor the remaining stores, which reach that store as well."""
    stores = stage.chance.sample(stage.world.of("store"), len(stage.world.of("store")))
    plain = [each for each in stage.world.of("edge") if not each.counts]
    inside = [stores[0], *plain]
    outside = [*stage.world.controllers(), *stores[2:]]
    noted = stage.begin("split", " ".join(each.name for each in inside), [stores[0]])
    pairs = [(here.ip, there.ip) for here in inside for there in outside]
    for here, there in pairs:
        stage.world.network.cut(here, there)
    await stage.wait(wanted, 3.0, 7.0)
    for here, there in pairs:
        stage.world.network.join(here, there)
    stage.end(noted)


@trouble("store_alone", 1.5)
async def store_alone(stage: Stage, wanted: Wanted) -> None:
    """A store does not reach the other stores, only edge processes; at times it is lost afterwards."""
    world = stage.world
    alone = stage.pick(wanted, world.of("store"))
    others = [each for each in world.of("store") if each is not alone]
    noted = stage.begin("store_alone", alone.name, [alone])
    for other in others:
        world.network.cut(alone.ip, other.ip)
    await stage.wait(wanted, 0.4, 2.5)
    ending = stage.chance.choice((None, world.kill, world.power_off, world.lose_disk))
    if ending is not None:
        ending(alone)
    for other in others:
        world.network.join(alone.ip, other.ip)
    if ending is not None:
        await asyncio.sleep(stage.chance.uniform(0.5, 3.0))
        world.start(alone)
    stage.end(noted, catching_up=ending is not None)


@trouble("slow", 1)
async def slow(stage: Stage, wanted: Wanted) -> None:
    """All links are slow at times."""
    noted = stage.begin("slow", "all", stage.counting())
    delays = stage.world.network.delays
    delays.slow_share, delays.slow_most = 0.2, stage.chance.choice((0.05, 0.3))
    await stage.wait(wanted, 1.5, 3.5)
    delays.slow_share = 0.0
    stage.end(noted)


@trouble("resets", 1)
async def resets(stage: Stage, wanted: Wanted) -> None:
    """Some frames reset their connection in place of arriving: calls, or answers, are lost."""
    noted = stage.begin("resets", "all", stage.counting())
    stage.world.network.reset_share = stage.chance.choice((0.01, 0.05))
    await stage.wait(wanted, 1.5, 3.5)
    stage.world.network.reset_share = 0.0
    stage.end(noted)
