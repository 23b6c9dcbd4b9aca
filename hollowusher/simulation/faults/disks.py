"""Faults of disks: lost, full, slow and stuck ones."""

from __future__ import annotations

import asyncio

from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind

STALL_STEP_S = 0.05
SLOW_FACTOR = 30.0
FULL_DISK = "no space is left"  # a call that writes there fails, as it should


@fault_kind("disk", 2)
async def lose(context: FaultContext, request: FaultRequest) -> None:
    """Take a machine's disk; it comes back at its address with an empty one."""
    machine = context.choose_machine(request)
    fault = context.begin("disk", machine.name, [machine])
    context.cluster.lose_disk(machine)
    await context.wait(request, 0.7, 2.5)
    context.cluster.start(machine)
    context.end(fault, catching_up=True)


@fault_kind("disk_full", 0.5)
async def full(context: FaultContext, request: FaultRequest) -> None:
    """Let a disk take no more bytes for a while."""
    machine = context.choose_machine(request)
    assert machine.disk is not None
    fault = context.begin("disk_full", machine.name, [machine])
    machine.disk.fail(FULL_DISK)
    await context.wait(request, 1.0, 5.0)
    machine.disk.fail("")
    context.end(fault)


@fault_kind("disk_slow", 0.7)
async def slow(context: FaultContext, request: FaultRequest) -> None:
    """Let a disk take many times as long for a while."""
    machine = context.choose_machine(request)
    assert machine.disk is not None
    fault = context.begin("disk_slow", machine.name, [machine])
    machine.disk.set_sync_time(context.cluster.size.sync_s * SLOW_FACTOR)
    await context.wait(request, 1.0, 5.0)
    machine.disk.set_sync_time(context.cluster.size.sync_s)
    context.end(fault)


@fault_kind("disk_stall", 0.7)
async def stall(context: FaultContext, request: FaultRequest) -> None:
    """Stall a disk for a while: what was begun meanwhile ends with the stall."""
    machine = context.choose_machine(request)
    assert machine.disk is not None
    fault = context.begin("disk_stall", machine.name, [machine])
    length = request.for_s if request.for_s is not None else context.random_source.choice((1.0, 3.0, 6.0))
    ends_at = context.now() + length
    while context.now() < ends_at:
        machine.disk.set_sync_time(ends_at - context.now())
        await asyncio.sleep(STALL_STEP_S)
    machine.disk.set_sync_time(context.cluster.size.sync_s)
    context.end(fault)
