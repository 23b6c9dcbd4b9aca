"""DRAIN: a machine is unready at once when SIGTERM comes, and stays so until its end."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.simulation.addresses import READINESS_PORT
from hollowusher.simulation.deployment import CLIENT_HOST
from hollowusher.simulation.event_loop import VirtualTimeLoop
from hollowusher.simulation.http_network import HttpExchangeError, HttpRequest
from hollowusher.simulation.machine import SimulatedMachine
from hollowusher.simulation.programs import build_program
from hollowusher.simulation.simulation_run import SimulationPlan, SimulationRun

GRACE_S = 6.0
AT_ONCE_S = 0.1
STEP_S = 0.05


async def is_ready(run: SimulationRun, machine: SimulatedMachine) -> bool:
    """What the platform would be told now."""
    address = f"{machine.ip}:{READINESS_PORT}"
    try:
        answer = await run.cluster.http.exchange(CLIENT_HOST, address, HttpRequest("GET", "/readyz"), 0.04)
    except HttpExchangeError:
        return False
    return answer.status == 200


@pytest.mark.parametrize("seed", [1, 2])
def test_all_edges_reported_to_stop_at_once_are_unready_at_once_and_for_good(seed: int) -> None:
    loop = VirtualTimeLoop()
    run = SimulationRun(
        loop,
        seed,
        SimulationPlan(inject_faults=False, inject_worker_faults=False, changes=False),
        build_program,
    )

    async def scene() -> None:
        watch = asyncio.get_running_loop().create_task(run.edge_selector.check_readiness())
        await run._begin()
        edges = run.cluster.machines_with_role("edge")
        assert all([await is_ready(run, machine) for machine in edges])
        stops = [asyncio.ensure_future(run.cluster.terminate(machine, GRACE_S)) for machine in edges]
        await asyncio.sleep(AT_ONCE_S)
        until = loop.time() + GRACE_S - 1.0
        while loop.time() < until:
            assert not any([await is_ready(run, machine) for machine in edges])
            await asyncio.sleep(STEP_S)
        for stop in stops:
            stop.cancel()
        watch.cancel()

    try:
        loop.play(scene())
    finally:
        loop.shut()
