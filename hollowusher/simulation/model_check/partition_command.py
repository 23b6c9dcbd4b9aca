"""The command that runs the model check of a partition."""

from __future__ import annotations

import sys
from itertools import product

import click

from hollowusher.simulation.model_check.explorer import SearchBounds, SearchOutcome, explore
from hollowusher.simulation.model_check.partition_model import PartitionModel
from hollowusher.simulation.model_check.partition_scenario import SCENARIOS, PartitionScenario
from hollowusher.simulation.model_check.planted_partition import PLANTED_RULES, planting

NAMES = [plan.name for plan in SCENARIOS]


def check_plan(
    plan: PartitionScenario, delays: int, bounds: SearchBounds, planted: str = "", order: int = 0
) -> SearchOutcome:
    """Explore one plan, with a planted fault if one is named."""
    with planting(planted):
        return explore(PartitionModel(plan, delays, order), bounds)


@click.command()
@click.option("--plans", default="all", help=f"Which plans, separated by commas: {', '.join(NAMES)}.")
@click.option("--delays", default=0, help="How many steps may be put off in a run.")
@click.option("--orders", default=2, help="How many fixed orders of steps are tried, from the first on.")
@click.option("--states", default=5_000_000, help="Stop each plan after so many states.")
@click.option("--seconds", default=600.0, help="Stop each plan after so many seconds.")
@click.option("--planted", default="", help=f"A planted fault to be found: {', '.join(PLANTED_RULES)}.")
def partition(plans: str, delays: int, orders: int, states: int, seconds: float, planted: str) -> None:
    """One partition of the store: replicas, epochs, learners, losses, an emptied machine."""
    chosen = [plan for plan in SCENARIOS if plans == "all" or plan.name in plans.split(",")]
    kept = True
    for plan, order in product(chosen, range(orders)):
        outcome = check_plan(plan, delays, SearchBounds(100_000, states, seconds), planted, order)
        click.echo(f"{plan.name}, order {order}: {outcome.summary()}")
        if outcome.violation:
            click.echo(f"{plan.name}, order {order}: {outcome.violation}, after:")
        for number, line in enumerate(outcome.trace, 1):
            click.echo(f"  {number}. {line}")
        kept = kept and not outcome.violation
    sys.exit(0 if kept else 1)
