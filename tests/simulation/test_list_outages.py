"""The platform's list is down again and again while workers are drained; see `test_worker_list_outage`."""

from __future__ import annotations

import pytest

from hollowusher.simulation.planted import planting
from hollowusher.simulation.planted.registry import fault_at
from hollowusher.simulation.programs import build_program
from hollowusher.simulation.simulation_run import SimulationPlan, run_seed

OUTAGES = SimulationPlan(
    traffic_s=60.0,
    calm_s=20.0,
    changes=False,
    final_fault=False,
    script=(
        fault_at(4.0, "list_down", how="refuses", for_s=10.0),
        fault_at(22.0, "list_down", how="is silent", for_s=10.0),
        fault_at(40.0, "list_down", how="breaks off", for_s=10.0),
    ),
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_message_reaches_a_drained_worker_too_late(seed: int) -> None:
    result = run_seed(seed, OUTAGES, build_program)
    assert result.first_problem == ""
    assert result.figures["succeeded"] > 900  # the day was played


def test_a_pause_longer_than_the_time_of_a_draining_worker_is_found() -> None:
    with planting("list-read-after-a-fixed-pause"):
        result = run_seed(4, OUTAGES, build_program)
    assert "DRAIN" in {violation.rule for violation in result.violations}
