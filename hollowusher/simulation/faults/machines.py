"""Machines that come and go: replacements, additions, emptied stores, other seeds."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.cluster import CATCH_UP_S
from hollowusher.simulation.faults import disks
from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind
from hollowusher.simulation.faults.processes import terminate_gracefully
from hollowusher.simulation.machine import SimulatedMachine
from hollowusher.simulation.observations import StoreRetirement

RETIRE_S = 10.0
MOST_MACHINES_ADDED = 2


@fault_kind("replace", 3)
async def replace(context: FaultContext, request: FaultRequest) -> None:
    """Replace a counted machine by an empty one at another address.

    Planned: the new one starts first, then the old one gets SIGTERM.
    """
    old = context.choose_machine(request)
    if request.how == "planned" or (request.how == "" and context.random_source.random() < 0.4):
        await _replace_planned(context, request, old)
    else:
        await _replace_lost(context, request, old)


async def _replace_lost(context: FaultContext, request: FaultRequest, old: SimulatedMachine) -> None:
    cluster = context.cluster
    fault = context.begin("replace", old.name, [old])
    cluster.power_off(old)
    cluster.remove(old)
    await context.wait(request, 0.3, 1.0, 3.0, 8.0)
    new = cluster.add_machine(old.role, old.zone, with_disk=True)
    cluster.start(new)
    fault.host = f"{old.name} by {new.name}"
    context.end(fault, catching_up=True)


async def _replace_planned(context: FaultContext, request: FaultRequest, old: SimulatedMachine) -> None:
    cluster = context.cluster
    new = cluster.add_machine(old.role, old.zone, with_disk=True)
    fault = context.begin("replace_planned", f"{old.name} by {new.name}", [old], planned=True)
    cluster.start(new)
    started_at = context.now()
    await context.wait(request, 0.3, 1.0, CATCH_UP_S)
    await terminate_gracefully(context, old)
    cluster.power_off(old)
    cluster.remove(old)
    context.end(fault)
    context.tolerance.record_replacement(old.name, started_at, context.now())


@fault_kind("add", 0.8)
async def add(context: FaultContext, request: FaultRequest) -> None:
    """Add a machine."""
    role = request.how or context.random_source.choice(("edge", "store", "controller"))
    if context.cluster.added_machines >= MOST_MACHINES_ADDED and not request.how:
        return
    await _add(context, role)


async def _add(context: FaultContext, role: str) -> SimulatedMachine:
    zone = context.random_source.choice(context.cluster.zones())
    context.cluster.added_machines += 1
    new = context.cluster.add_machine("store" if role == "store" else "edge", zone, with_disk=role != "edge")
    fault = context.begin("add", f"{role} {new.name}", [new], planned=True)
    context.cluster.start(new)
    context.end(fault)
    return new


@fault_kind("retire", 2)
async def retire(context: FaultContext, request: FaultRequest) -> None:
    """Retire a store and then remove it; at times another one loses its disk meanwhile."""
    if context.operator is None:
        return
    if len(context.cluster.machines_with_role("store")) <= 2 * context.cluster.size.faults + 1:
        await _add(context, "store")
        await asyncio.sleep(CATCH_UP_S)
    machine = context.choose_machine(request, context.cluster.machines_with_role("store"))
    wipe = request.how == "wipe" or (request.how == "" and context.random_source.random() < 0.5)
    fault = context.begin("retire_wipe" if wipe else "retire", machine.name, planned=True)
    asked_at = context.now()
    emptied = asyncio.ensure_future(context.operator.retire(machine.name, request.for_s or RETIRE_S))
    if wipe:
        await asyncio.sleep(context.random_source.uniform(0.0, 1.0))
        others = [each for each in context.cluster.machines_with_role("store") if each is not machine]
        await disks.lose(context, FaultRequest("disk", context.random_source.choice(others).name))
    completed = await emptied
    context.cluster.observations.retirements.append(
        StoreRetirement(machine.name, asked_at, context.now(), completed, RETIRE_S, wipe)
    )
    if completed:
        context.cluster.power_off(machine)
        context.cluster.remove(machine)
        context.tolerance.forget(machine.name)
    context.end(fault)


@fault_kind("seed_turnover", 1)
async def seed_turnover(context: FaultContext, request: FaultRequest) -> None:
    """Name other seeds in the settings, edge machines without a disk too."""
    how = request.how or context.random_source.choice(("plain", "any"))
    context.cluster.choose_seeds(context.random_source, plain=how == "plain")
    fault = context.begin("seed_turnover", " ".join(context.cluster.seed_addresses), planned=True)
    context.end(fault)
