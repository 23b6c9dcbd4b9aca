"""Troubles of workers that scripts ask for; others are played beside those of machines (see `Fleet`)."""

from __future__ import annotations

from hollowusher.simulation.faults.stage import Stage, Wanted, trouble

USUAL_S = 10.0


@trouble("workers_down", 0)
async def workers_down(stage: Stage, wanted: Wanted) -> None:
    """All listed workers are gone for a while."""
    if stage.workers is None:
        return
    noted = stage.begin("workers_down", "workers", planned=True)
    await stage.workers.all_down(USUAL_S if wanted.for_s is None else wanted.for_s)
    stage.end(noted)
