"""Faults of workers that scripts ask for; others are played beside those of machines (see `Fleet`)."""

from __future__ import annotations

from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind
from hollowusher.simulation.worker_list_server import ListFailure

USUAL_S = 10.0
LIST_OUTAGES_S = (4.0, 8.0, 12.0)


@fault_kind("workers_down", 0)
async def workers_down(context: FaultContext, request: FaultRequest) -> None:
    """All listed workers are gone for a while."""
    if context.workers is None:
        return
    fault = context.begin("workers_down", "workers", planned=True)
    await context.workers.crash_all(USUAL_S if request.for_s is None else request.for_s)
    context.end(fault)


@fault_kind("list_down", 0)
async def list_down(context: FaultContext, request: FaultRequest) -> None:
    """Have the platform's list refuse, be silent or break off for a while; `how` is a `ListFailure`."""
    if context.workers is None:
        return
    random_source = context.random_source
    failure = ListFailure(request.how) if request.how else random_source.choice(list(ListFailure))
    seconds = request.for_s
    if seconds is None:
        seconds = random_source.choice(LIST_OUTAGES_S) * random_source.uniform(0.7, 1.3)
    fault = context.begin("list_down", "platform", planned=True)
    await context.workers.fail_list(failure, seconds)
    context.end(fault)
