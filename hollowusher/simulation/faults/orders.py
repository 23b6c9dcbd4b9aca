"""Troubles that the operators make: races, many changes, answers that are lost."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.faults import disks, processes
from hollowusher.simulation.faults.stage import Stage, Wanted, trouble

LOST_SHARE, USUAL_LOST_SHARE = 0.7, 0.1


@trouble("race", 1)
async def race(stage: Stage, wanted: Wanted) -> None:
    """Two operators change the configuration at once, some times in a row."""
    if stage.operator is None:
        return
    noted = stage.begin("race", "operators", planned=True)
    stage.end(noted)
    for _ in range(wanted.count or 3):
        await stage.operator.race()


@trouble("ack_lost", 1)
async def ack_lost(stage: Stage, wanted: Wanted) -> None:
    """Most answers to the operator are lost (all: every one); it sends the same again, to other machines
    first."""
    if stage.operator is None:
        return
    noted = stage.begin("ack_lost", "operator", planned=True)
    stage.end(noted)
    stage.operator.lose_answers(1.0 if wanted.how == "all" else LOST_SHARE)
    single = wanted.how == "all" or stage.chance.random() < 0.5
    ordering = asyncio.ensure_future(stage.operator.change() if single else stage.operator.race())
    if single and not wanted.how:
        await processes.kill(stage, Wanted("kill"))
    await stage.wait(wanted, 2.0)
    stage.operator.lose_answers(USUAL_LOST_SHARE)
    await ordering


@trouble("flood", 0.7)
async def flood(stage: Stage, wanted: Wanted) -> None:
    """Many changes, and (unless calm) a machine that is lost, or loses its disk, in their midst."""
    if stage.operator is None:
        return
    noted = stage.begin("flood", "operator", planned=True)
    stage.end(noted)
    changing = asyncio.ensure_future(stage.operator.change_often(wanted.count or 60))
    if wanted.how == "calm":
        await changing
        return
    await asyncio.sleep(stage.chance.uniform(0.1, 2.0))
    lost = stage.chance.choice((disks.lose, processes.kill, processes.freeze))
    controller = stage.chance.choice(stage.counting("edge"))
    await lost(stage, Wanted("flood", controller.name))
    await changing
