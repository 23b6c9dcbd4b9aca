"""The model check of one partition: planted faults are found, the rules as they are keep all properties."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from hollowusher.simulation.model_check.commands import main
from hollowusher.simulation.model_check.explorer import SearchBounds
from hollowusher.simulation.model_check.partition_command import check_plan
from hollowusher.simulation.model_check.partition_scenario import SCENARIOS

BY_NAME = {plan.name: plan for plan in SCENARIOS}
ENOUGH = SearchBounds(10_000, 40_000, 120.0)
SHORT = SearchBounds(10_000, 2_500, 60.0)


@pytest.mark.parametrize(
    ("planted", "plan", "order", "found"),
    [
        ("old-planner", "replace", 0, "kept message m1 is on no disk any more"),
        ("early-promotion", "wipe", 1, "learner s2/d1 was promoted without ['m1']"),
        ("commit-without-learner", "replace", 0, "was promoted without ['m1']"),
        ("epoch-led-again", "restart", 0, "two lives commit in epoch 1"),
        ("small-takeover", "power", 0, "without kept message m1"),
        ("forgotten-learner", "outage", 1, "the next loss is not borne"),
    ],
)
def test_a_planted_fault_is_found(planted: str, plan: str, order: int, found: str) -> None:
    outcome = check_plan(BY_NAME[plan], 0, ENOUGH, planted, order)
    assert found in outcome.violation
    assert outcome.trace


def test_every_state_of_two_restarts_and_messages_keeps_all_properties() -> None:
    outcome = check_plan(BY_NAME["restart"], 0, ENOUGH)
    assert (outcome.violation, outcome.exhausted) == ("", True)


def test_after_every_loss_of_power_with_a_lost_disk_the_next_loss_is_borne() -> None:
    """A learner placed during the takeover of its primary was never copied to (review/5)."""
    outcome = check_plan(BY_NAME["outage"], 0, SearchBounds(10_000, 100_000, 120.0), order=1)
    assert (outcome.violation, outcome.exhausted) == ("", True)


@pytest.mark.parametrize("plan", BY_NAME)
@pytest.mark.parametrize("delays", [0, 1])
def test_a_short_search_of_each_plan_breaks_nothing(plan: str, delays: int) -> None:
    outcome = check_plan(BY_NAME[plan], delays, SHORT, order=2)
    assert outcome.violation == ""


def test_the_command_prints_figures_and_fails_on_a_violation() -> None:
    runner = CliRunner()
    short = ["partition", "--plans", "wipe", "--states", "1500"]
    passed = runner.invoke(main, [*short, "--orders", "1"])
    assert passed.exit_code == 0
    assert "wipe, order 0: 15" in passed.output
    failed = runner.invoke(main, [*short, "--orders", "2", "--planted", "early-promotion"])
    assert failed.exit_code == 1
    assert "was promoted without" in failed.output
