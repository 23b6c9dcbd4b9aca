"""Long days with long delays while stores lose their disks and are replaced: a short soak, always the same.

By hand, longer and with more seeds: `python -m hollowusher.simulation --traffic 100 --long-delays 60
--go-on --seeds 9001-9050`.
"""

from __future__ import annotations

import pytest

from hollowusher.simulation.programs import build_program
from hollowusher.simulation.simulation_run import SimulationPlan, run_seed

PLAN = SimulationPlan(
    traffic_s=60.0,
    calm_s=20.0,
    rate=15.0,
    long_delay_s=40.0,
    fault_kinds=("replace", "disk", "herd_disk", "stop", "kill", "disk_full"),
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_message_is_lost_or_left_waiting(seed: int) -> None:
    result = run_seed(seed, PLAN, build_program)
    assert result.first_problem == ""
    assert result.figures["succeeded"] > 400  # the day was played
