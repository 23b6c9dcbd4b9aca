"""Ordered routes move between services, which are dropped and come back, beside faults of all kinds."""

from __future__ import annotations

import pytest

from hollowusher.simulation.planted import planting
from hollowusher.simulation.programs import build_program
from hollowusher.simulation.simulation_run import SimulationPlan, run_seed

MOVES = SimulationPlan(traffic_s=30.0, calm_s=20.0, moves_routes=True)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_rules_hold_while_ordered_routes_move(seed: int) -> None:
    result = run_seed(seed, MOVES, build_program)
    assert result.first_problem == ""
    assert result.figures["succeeded"] > 500  # the day was played


def test_order_within_a_service_only_is_found() -> None:
    with planting("order-within-a-service-only"):
        result = run_seed(1, MOVES, build_program)
    assert "ORDER" in {violation.rule for violation in result.violations}
