"""Faults of links: cuts of each shape, slow links, frames that reset their connection."""

from __future__ import annotations

import asyncio
from itertools import combinations

from hollowusher.simulation.cluster import CATCH_UP_S
from hollowusher.simulation.faults import machines
from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind
from hollowusher.simulation.machine import SimulatedMachine

LENGTHS = (0.3, 1.5, 4.0, 7.0, 20.0)
SOME_LENGTHS = (1.2, 1.6, 2.0, 4.0)  # about as long as a view takes, and a head's write in a cut chain
CUT_SHARE = 0.7
BOTH_WAYS_SHARE = 0.8
RACES = 2


@fault_kind("cut", 2)
async def cut(context: FaultContext, request: FaultRequest) -> None:
    """Cut a machine off from all others; the outside may still reach it."""
    await _cut_off(context, request, inward=True, outward=True, kind="cut")


@fault_kind("cut_one_way", 2)
async def cut_one_way(context: FaultContext, request: FaultRequest) -> None:
    """Block all links into a machine, or all links out of it."""
    inward = request.how == "in" or (request.how != "out" and context.random_source.random() < 0.5)
    await _cut_off(context, request, "cut_in" if inward else "cut_out", inward=inward, outward=not inward)


async def _cut_off(
    context: FaultContext, request: FaultRequest, kind: str, *, inward: bool, outward: bool
) -> None:
    machine = context.choose_machine(request)
    outside = context.random_source.random() < 0.3
    fault = context.begin(kind if outside else f"{kind}_inside", machine.name, [machine])
    context.cluster.isolate(machine, inward=inward, outward=outward, outside=outside)
    orders = _send_orders(context, machine)
    await context.wait(request, *LENGTHS)
    context.cluster.rejoin(machine)
    context.end(fault)
    await orders


@fault_kind("cut_core", 2)
async def cut_core(context: FaultContext, request: FaultRequest) -> None:
    """Cut a machine off from the other counted machines (near: from those of other zones, too).

    With refuse its connections break, else there is silence.
    """
    machine = context.choose_machine(request)
    near = request.how == "near" or (request.how == "" and context.random_source.random() < 0.5)
    others = [
        each
        for each in context.cluster.machines.values()
        if each is not machine and (each.counts_for_quorum or (near and each.zone != machine.zone))
    ]
    refuse = request.how == "refuse" or (request.how == "" and context.random_source.random() < 0.3)
    kind = f"cut_core{'_near' if near else ''}{'_refuse' if refuse else ''}"
    fault = context.begin(kind, machine.name, [machine])
    _disconnect(context, machine, others, refuse=refuse)
    lured = request.how == "lure" or (machine.role == "edge" and context.random_source.random() < 0.3)
    if lured and context.operator is not None:
        context.operator.prefer_machine(machine.name)
    orders = _send_orders(context, machine)
    await context.wait(request, *LENGTHS)
    _reconnect(context, machine, others)
    if context.operator is not None:
        context.operator.prefer_machine("")
    context.end(fault)
    await orders


@fault_kind("cut_both", 1)
async def cut_both(context: FaultContext, request: FaultRequest) -> None:
    """Cut a machine off and kill its process, then the processes of all other counted machines."""
    machine = context.choose_machine(request)
    others = [each for each in context.counted_machines() if each is not machine]
    fault = context.begin("cut_both", machine.name, context.counted_machines())
    _disconnect(context, machine, others, refuse=False)
    await asyncio.sleep(context.random_source.uniform(0.5, 3.0))
    await _restart(context, [machine])
    await asyncio.sleep(context.random_source.uniform(0.2, 3.0))
    await _restart(context, others)
    orders = _send_orders(context, machine)
    await context.wait(request, 1.5, 7.0, 16.0)
    _reconnect(context, machine, others)
    context.end(fault)
    await orders


@fault_kind("cut_seeds", 1)
async def cut_seeds(context: FaultContext, request: FaultRequest) -> None:
    """Name a machine that is cut off as the first seed, and restart some others."""
    machine = context.choose_machine(request, context.counted_machines("edge"))
    others = [each for each in context.cluster.machines.values() if each is not machine]
    fault = context.begin("cut_seeds", machine.name, [machine])
    _disconnect(context, machine, others, refuse=False)
    context.cluster.choose_seeds(context.random_source, first=machine)
    plain = [each for each in others if not each.counts_for_quorum and context.random_source.random() < 0.6]
    await _restart(context, plain)
    orders = _send_orders(context, machine)
    await context.wait(request, *LENGTHS)
    _reconnect(context, machine, others)
    context.end(fault)
    await orders


async def _restart(context: FaultContext, machines: list[SimulatedMachine]) -> None:
    for machine in machines:
        context.cluster.kill(machine)
    await asyncio.sleep(context.random_source.uniform(0.2, 0.9))
    for machine in machines:
        context.cluster.start(machine)


def _disconnect(
    context: FaultContext, machine: SimulatedMachine, others: list[SimulatedMachine], *, refuse: bool
) -> None:
    for other in others:
        context.cluster.network.block(machine.ip, other.ip, refuse=refuse)


def _reconnect(context: FaultContext, machine: SimulatedMachine, others: list[SimulatedMachine]) -> None:
    for other in others:
        context.cluster.network.heal(machine.ip, other.ip)


def _send_orders(context: FaultContext, machine: SimulatedMachine) -> asyncio.Future[None]:
    """At times orders, or two at once, are sent to a machine that is cut off and to the others."""
    drawn = context.random_source.random()
    if context.operator is None or machine.role != "edge" or drawn < 0.4:
        return asyncio.ensure_future(asyncio.sleep(0))
    if drawn < 0.7:
        return asyncio.ensure_future(context.operator.change(machine.admin_address))
    other = context.random_source.choice(
        [each for each in context.cluster.machines_with_role("edge") if each is not machine]
    )
    return asyncio.ensure_future(context.operator.race(machine.admin_address, other.admin_address))


@fault_kind("cut_pair", 1)
async def cut_pair(context: FaultContext, request: FaultRequest) -> None:
    """Two machines do not reach each other."""
    machine = context.choose_machine(request)
    others = [each for each in context.cluster.machines.values() if each is not machine]
    other = context.random_source.choice(others)
    fault = context.begin("cut_pair", f"{machine.name}|{other.name}", [machine])
    context.cluster.network.block(machine.ip, other.ip, both=context.random_source.random() < 0.6)
    await context.wait(request, 0.7, 5.0)
    context.cluster.network.heal(machine.ip, other.ip)
    context.end(fault)


@fault_kind("cut_some", 1.5)
async def cut_some(context: FaultContext, request: FaultRequest) -> None:
    """Cut any subset of the links of one machine (how = any: of all counted ones), under racing operators.

    The operators send their orders to a machine of the subset and to others, and repeat them elsewhere.  With
    `how` = replaced another machine is replaced right before.
    """
    random_source = context.random_source
    if request.how == "replaced":
        await machines.replace(context, FaultRequest("replace", how="planned", for_s=CATCH_UP_S))
        await context.wait_until_allowed()
    machine = context.choose_machine(request, context.counted_machines("edge"))
    counted = context.counted_machines()
    everywhere = request.how == "any"
    fault = context.begin("cut_some", machine.name, counted if everywhere else [machine])
    links = [
        (one, other)
        for one, other in combinations(counted, 2)
        if (everywhere or machine in (one, other)) and random_source.random() < CUT_SHARE
    ]
    for one, other in links:
        context.cluster.network.block(one.ip, other.ip, both=random_source.random() < BOTH_WAYS_SHARE)
    orders = _race_repeatedly(context, machine)
    await context.wait(request, *SOME_LENGTHS)
    for one, other in links:
        context.cluster.network.heal(one.ip, other.ip)
    context.end(fault)
    await orders


def _race_repeatedly(context: FaultContext, machine: SimulatedMachine) -> asyncio.Future[object]:
    """Have two operators race, some times, at a machine and at others."""
    if context.operator is None:
        return asyncio.ensure_future(asyncio.sleep(0))
    edges = context.cluster.machines_with_role("edge")
    others = [each for each in edges if each is not machine]
    races = [
        context.operator.race(machine.admin_address, context.random_source.choice(others).admin_address)
        for _ in range(RACES)
    ]
    return asyncio.ensure_future(asyncio.gather(*races))


@fault_kind("split", 1.5)
async def split(context: FaultContext, request: FaultRequest) -> None:
    """Split the network so that one store is reached from both sides.

    A store and the edge processes without a disk reach each other and one more store, but neither the
    controllers nor the remaining stores, which reach that store as well.
    """
    stores = context.random_source.sample(
        context.cluster.machines_with_role("store"), len(context.cluster.machines_with_role("store"))
    )
    plain = [each for each in context.cluster.machines_with_role("edge") if not each.counts_for_quorum]
    inside = [stores[0], *plain]
    outside = [*context.cluster.controllers(), *stores[2:]]
    fault = context.begin("split", " ".join(each.name for each in inside), [stores[0]])
    pairs = [(here.ip, there.ip) for here in inside for there in outside]
    for here, there in pairs:
        context.cluster.network.block(here, there)
    await context.wait(request, 3.0, 7.0)
    for here, there in pairs:
        context.cluster.network.heal(here, there)
    context.end(fault)


@fault_kind("store_alone", 1.5)
async def store_alone(context: FaultContext, request: FaultRequest) -> None:
    """Cut a store off from the other stores, not from edge processes; at times it is lost afterwards."""
    cluster = context.cluster
    alone = context.choose_machine(request, cluster.machines_with_role("store"))
    others = [each for each in cluster.machines_with_role("store") if each is not alone]
    fault = context.begin("store_alone", alone.name, [alone])
    for other in others:
        cluster.network.block(alone.ip, other.ip)
    await context.wait(request, 0.4, 2.5)
    ending = context.random_source.choice((None, cluster.kill, cluster.power_off, cluster.lose_disk))
    if ending is not None:
        ending(alone)
    for other in others:
        cluster.network.heal(alone.ip, other.ip)
    if ending is not None:
        await asyncio.sleep(context.random_source.uniform(0.5, 3.0))
        cluster.start(alone)
    context.end(fault, catching_up=ending is not None)


@fault_kind("slow", 1)
async def slow(context: FaultContext, request: FaultRequest) -> None:
    """All links are slow at times."""
    fault = context.begin("slow", "all", context.counted_machines())
    delays = context.cluster.network.delays
    delays.slow_probability, delays.slow_max_s = 0.2, context.random_source.choice((0.05, 0.3))
    await context.wait(request, 1.5, 3.5)
    delays.slow_probability = 0.0
    context.end(fault)


@fault_kind("resets", 1)
async def resets(context: FaultContext, request: FaultRequest) -> None:
    """Let some frames reset their connection in place of arriving: calls, or answers, are lost."""
    fault = context.begin("resets", "all", context.counted_machines())
    context.cluster.network.reset_probability = context.random_source.choice((0.01, 0.05))
    await context.wait(request, 1.5, 3.5)
    context.cluster.network.reset_probability = 0.0
    context.end(fault)
