"""Faults of processes: kills, freezes, planned stops, changed settings, resets."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.cluster import CATCH_UP_S
from hollowusher.simulation.faults.context import GRACE_S, FaultContext, FaultRequest, fault_kind
from hollowusher.simulation.machine import SimulatedMachine
from hollowusher.simulation.observations import ObservedShutdown

READY_STILL_S = 4.0  # a process that was asked to stop should not count as ready after this


@fault_kind("kill", 3)
async def kill(context: FaultContext, request: FaultRequest) -> None:
    """SIGKILL and a restart after a short delay."""
    machine = context.choose_machine(request)
    fault = context.begin("kill", machine.name, [machine])
    context.cluster.kill(machine)
    await context.wait(request, 0.3, 1.1)
    context.cluster.start(machine)
    context.end(fault)


@fault_kind("freeze", 2)
async def freeze(context: FaultContext, request: FaultRequest) -> None:
    """Suspend the process for a while."""
    machine = context.choose_machine(request)
    fault = context.begin("freeze", machine.name, [machine])
    context.cluster.freeze(machine)
    await context.wait(request, 0.3, 1.0, 3.0, 6.0, 12.0)
    context.cluster.thaw(machine)
    context.end(fault)


@fault_kind("stop", 2)
async def stop(context: FaultContext, request: FaultRequest) -> None:
    """SIGTERM, and a restart."""
    machine = context.choose_machine(request)
    fault = context.begin("stop", machine.name, [machine], planned=True)
    await terminate_gracefully(context, machine)
    await context.wait(request, 0.3, 0.8)
    context.cluster.start(machine)
    context.end(fault)


async def terminate_gracefully(context: FaultContext, machine: SimulatedMachine) -> None:
    """SIGTERM, then SIGKILL; notes whether a machine that takes clients is still ready seconds later."""
    cluster = context.cluster
    was_ready = machine.role == "edge" and machine.failed_readiness_checks == 0
    if was_ready and not cluster.has_recent_fault():
        cluster.loop.call_outside(
            READY_STILL_S, _note_ready, context, machine, machine.incarnation, context.now()
        )
    await cluster.terminate(machine, GRACE_S)


def _note_ready(
    context: FaultContext, machine: SimulatedMachine, incarnation: int, requested_at: float
) -> None:
    still = machine.running and machine.incarnation == incarnation and machine.failed_readiness_checks < 2
    context.cluster.observations.shutdowns.append(ObservedShutdown(machine.name, requested_at, still))


@fault_kind("roll", 0.7)
async def roll(context: FaultContext, request: FaultRequest) -> None:
    """All machines of a role are stopped and started in turn."""
    for each in list(context.cluster.machines_with_role(context.choose_machine(request).role)):
        await stop(context, FaultRequest("stop", each.name))
        await asyncio.sleep(CATCH_UP_S)


@fault_kind("hup", 0.5)
async def hup(context: FaultContext, request: FaultRequest) -> None:
    """SIGHUP to each process in turn."""
    fault = context.begin("hup", "all", planned=True)
    for machine in list(context.cluster.machines.values()):
        context.cluster.reload_settings(machine)
        await asyncio.sleep(0.05)
    context.end(fault)


@fault_kind("reset", 1)
async def reset(context: FaultContext, request: FaultRequest) -> None:
    """All connections of a machine are reset."""
    machine = context.choose_machine(request)
    fault = context.begin("reset", machine.name, [machine])
    context.cluster.network.reset_connections(machine.ip)
    context.end(fault)


@fault_kind("double", 1)
async def double(context: FaultContext, request: FaultRequest) -> None:
    """Lose a store and a controller at once, each within the tolerance of its group."""
    store = context.random_source.choice(context.counted_machines("store"))
    controller = context.random_source.choice(context.counted_machines("edge"))
    from hollowusher.simulation.faults.disks import lose
    from hollowusher.simulation.faults.links import cut_one_way

    events = (kill, freeze, cut_one_way, reset, lose)
    await asyncio.gather(
        context.random_source.choice(events)(context, FaultRequest("double", store.name)),
        context.random_source.choice(events)(context, FaultRequest("double", controller.name)),
    )


@fault_kind("lag_kill", 1)
async def lag_kill(context: FaultContext, request: FaultRequest) -> None:
    """Slow the links of one store, and kill another store meanwhile."""
    lagging, killed = context.random_source.sample(context.cluster.machines_with_role("store"), 2)
    fault = context.begin("lag_kill", f"{lagging.name} {killed.name}", [lagging, killed])
    context.cluster.network.added_delay_s[lagging.ip] = context.random_source.choice((0.05, 0.2, 0.6))
    await asyncio.sleep(context.random_source.uniform(0.5, 2.0))
    context.cluster.kill(killed)
    await asyncio.sleep(context.random_source.uniform(0.2, 3.0))
    context.cluster.network.added_delay_s.clear()
    context.cluster.start(killed)
    context.end(fault)
