"""Cores with a quota: full speed until it is spent, then nothing for the rest of each tenth of a second.

A throttled process is no lost one: nobody may call it dead, as its heartbeat is late by less than a period.
"""

from __future__ import annotations

import asyncio

from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind
from hollowusher.simulation.machine import SimulatedMachine
from hollowusher.simulation.observations import LivenessFailure

PERIOD_S = 0.1
SHARES = (0.15, 0.3, 0.6)  # of each period that the process runs
USUAL_S = (3.0, 8.0)


@fault_kind("quota", 1.5)
async def quota(context: FaultContext, request: FaultRequest) -> None:
    """Throttle one counted machine (how = all: all of them) to a share of its core."""
    chosen = context.counted_machines() if request.how == "all" else [context.choose_machine(request)]
    share = context.random_source.choice(SHARES)
    fault = context.begin("quota", " ".join(each.name for each in chosen), chosen)
    before = {each.name: _standing(context, each) for each in chosen}
    throttling = [asyncio.ensure_future(_throttle(context, each, share)) for each in chosen]
    await context.wait(request, *USUAL_S)
    for task, machine in zip(throttling, chosen, strict=True):
        task.cancel()
        context.cluster.thaw(machine)
    for machine in chosen:
        if _standing(context, machine) != before[machine.name]:
            context.cluster.observations.liveness_failures.append(
                LivenessFailure(machine.name, f"was called dead with {share:.0%} of its core", context.now())
            )
    context.end(fault)


async def _throttle(context: FaultContext, machine: SimulatedMachine, share: float) -> None:
    await asyncio.sleep(context.random_source.uniform(0.0, PERIOD_S))
    while True:
        await asyncio.sleep(share * PERIOD_S)
        context.cluster.freeze(machine)
        await asyncio.sleep((1.0 - share) * PERIOD_S)
        context.cluster.thaw(machine)


def _standing(context: FaultContext, machine: SimulatedMachine) -> tuple[int, int]:
    """Return the newest [incarnation, status] of a machine that another process knows."""
    known = [
        (member.incarnation, member.status)
        for other in context.cluster.machines_with_role("edge")
        if other is not machine
        and other.program is not None
        and (state := other.program.cluster_state()) is not None
        and (member := state.members.get(machine.name)) is not None
    ]
    return max(known, default=(0, 0))
