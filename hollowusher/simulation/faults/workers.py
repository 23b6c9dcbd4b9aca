"""Faults of workers that scripts ask for; others are played beside those of machines (see `Fleet`)."""

from __future__ import annotations

from hollowusher.simulation.faults.context import FaultContext, FaultRequest, fault_kind

USUAL_S = 10.0


@fault_kind("workers_down", 0)
async def workers_down(context: FaultContext, request: FaultRequest) -> None:
    """All listed workers are gone for a while."""
    if context.workers is None:
        return
    fault = context.begin("workers_down", "workers", planned=True)
    await context.workers.crash_all(USUAL_S if request.for_s is None else request.for_s)
    context.end(fault)
