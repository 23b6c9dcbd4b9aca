"""Faults that the operators make: races, many changes, answers that are lost."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.faults import disks, processes
from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind

LOST_SHARE, USUAL_LOST_SHARE = 0.7, 0.1


@fault_kind("race", 1)
async def race(context: FaultContext, request: FaultRequest) -> None:
    """Two operators change the configuration at once, some times in a row."""
    if context.operator is None:
        return
    fault = context.begin("race", "operators", planned=True)
    context.end(fault)
    for _ in range(request.count or 3):
        await context.operator.race()


@fault_kind("ack_lost", 1)
async def ack_lost(context: FaultContext, request: FaultRequest) -> None:
    """Lose most answers to the operator (all: every one).

    The operator sends the same order again, to other machines first.
    """
    if context.operator is None:
        return
    fault = context.begin("ack_lost", "operator", planned=True)
    context.end(fault)
    context.operator.lose_answers(1.0 if request.how == "all" else LOST_SHARE)
    single = request.how == "all" or context.random_source.random() < 0.5
    ordering = asyncio.ensure_future(context.operator.change() if single else context.operator.race())
    if single and not request.how:
        await processes.kill(context, FaultRequest("kill"))
    await context.wait(request, 2.0)
    context.operator.lose_answers(USUAL_LOST_SHARE)
    await ordering


@fault_kind("flood", 0.7)
async def flood(context: FaultContext, request: FaultRequest) -> None:
    """Many changes, and (unless calm) a machine that is lost, or loses its disk, in their midst."""
    if context.operator is None:
        return
    fault = context.begin("flood", "operator", planned=True)
    context.end(fault)
    changing = asyncio.ensure_future(context.operator.change_often(request.count or 60))
    if request.how == "calm":
        await changing
        return
    await asyncio.sleep(context.random_source.uniform(0.1, 2.0))
    lost = context.random_source.choice((disks.lose, processes.kill, processes.freeze))
    controller = context.random_source.choice(context.counted_machines("edge"))
    await lost(context, FaultRequest("flood", controller.name))
    await changing
