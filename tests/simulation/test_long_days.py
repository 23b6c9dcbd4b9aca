"""Long days with long delays while stores lose their disks and are replaced: a short soak, always the same.

By hand, longer and with more seeds: `python -m hollowusher.simulation --traffic 100 --long-delays 60
--go-on --seeds 9001-9050`.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from hollowusher.simulation.clients import MessageStream
from hollowusher.simulation.cluster import DeploymentSize
from hollowusher.simulation.deployment import OTHER, PUSH
from hollowusher.simulation.faults.context import FaultRequest
from hollowusher.simulation.faults.script import ScriptedFault
from hollowusher.simulation.planted import planting
from hollowusher.simulation.programs import build_program
from hollowusher.simulation.simulation_run import SimulationPlan, run_seed

LOST_DISKS = SimulationPlan(traffic_s=60.0, calm_s=30.0, rate=20.0, long_delay_s=40.0, fault_kinds=("disk",))
LARGE_STREAM = MessageStream(
    "line",
    PUSH,
    "/line/",
    rate=20.0,
    keys=2000,
    delayed_share=1.0,
    long_delay_s=80.0,
    latest_due_at=1085.0,
    large_body_share=1.0,
)
LARGE_BODIES = SimulationPlan(
    traffic_s=50.0,
    calm_s=50.0,
    fault_kinds=("disk", "replace"),
    changes=False,
    large_body_share=1.0,
    streams=(LARGE_STREAM,),
)
FULL_DISK_AT_A_LEARNER = replace(
    LARGE_BODIES,
    size=DeploymentSize(),
    final_fault=False,
    script=(
        ScriptedFault(25.0, FaultRequest("disk", "store-1", for_s=1.0)),
        ScriptedFault(26.1, FaultRequest("disk_full", "store-1", for_s=2.0), beside=True),
        ScriptedFault(35.0, FaultRequest("disk", "store-2", for_s=1.0)),
        ScriptedFault(45.0, FaultRequest("disk", "store-3", for_s=1.0)),
    ),
)
PLANNED_CHANGES = replace(
    LARGE_BODIES,
    changes=True,  # else there is no operator to retire a store
    size=DeploymentSize(stores=4),
    final_fault=False,
    script=(
        ScriptedFault(20.0, FaultRequest("replace", "store-1", how="planned")),
        ScriptedFault(28.0, FaultRequest("retire", "store-2", how="plain")),
        ScriptedFault(40.0, FaultRequest("disk", "store-3", for_s=1.0)),
        ScriptedFault(48.0, FaultRequest("disk", "store-4", for_s=1.0)),
    ),
)
TWO_SERVICES = replace(
    LARGE_BODIES,
    streams=(
        replace(LARGE_STREAM, rate=10.0),
        replace(LARGE_STREAM, route="other", service=OTHER, path_prefix="/other/", rate=10.0),
    ),
)
MIXED = SimulationPlan(
    traffic_s=60.0,
    calm_s=30.0,
    rate=15.0,
    long_delay_s=40.0,
    fault_kinds=("replace", "disk", "herd_disk", "stop", "kill", "disk_full"),
)


@pytest.mark.parametrize(
    ("plan", "seed"),
    [(LOST_DISKS, 1), (LOST_DISKS, 3), (LOST_DISKS, 5), (MIXED, 2)],
    ids=["disks-1", "disks-3", "disks-5", "mixed-2"],
)
def test_no_message_is_lost_or_left_waiting(plan: SimulationPlan, seed: int) -> None:
    result = run_seed(seed, plan, build_program)
    assert result.first_problem == ""
    assert result.figures["succeeded"] > 400  # the day was played


@pytest.mark.parametrize("seed", [2, 3, 5])
def test_large_bodies_outlive_lost_disks(seed: int) -> None:
    """Up to 40 MB wait in one partition, and go over links of 480 Mbit/s."""
    result = run_seed(seed, LARGE_BODIES, build_program)
    assert result.first_problem == ""
    assert result.figures["succeeded"] > 900  # the day was played


@pytest.mark.parametrize("plan", [FULL_DISK_AT_A_LEARNER, PLANNED_CHANGES, TWO_SERVICES])
def test_large_bodies_outlive_full_disks_and_planned_changes(plan: SimulationPlan) -> None:
    """Beside lost disks: the disk of a learner is full, stores are replaced and retired, two services."""
    result = run_seed(2, plan, build_program)
    assert result.first_problem == ""
    assert result.figures["succeeded"] > 900  # the day was played


def test_a_catch_up_at_a_fixed_pace_is_found() -> None:
    with planting("catch-up-at-a-fixed-pace"):
        result = run_seed(5, LARGE_BODIES, build_program)
    assert "UNSERVED" in {violation.rule for violation in result.violations}


def test_a_delay_that_begins_anew_at_each_repair_is_found() -> None:
    with planting("delay-begins-anew-at-each-repair"):
        result = run_seed(1, LOST_DISKS, build_program)
    assert "LOST" in {violation.rule for violation in result.violations}
