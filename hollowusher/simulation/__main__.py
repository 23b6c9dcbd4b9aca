"""Plays seeds of the whole system: `python -m hollowusher.simulation --seeds 1-20`."""

from __future__ import annotations

import contextlib
import io
import os
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from hollowusher.simulation.cluster import DeploymentSize
    from hollowusher.simulation.planted import PlantedFault
    from hollowusher.simulation.simulation_run import SimulationPlan

HASH_SEED = "PYTHONHASHSEED"
USUAL_SEEDS = "1-5"


@click.command()
@click.option("--seeds", default="", help="First and last seed, A-B, or one seed; 1-5 or the script's.")
@click.option("--minutes", default=0.0, help="Stop after so many minutes of real time; 0: no limit.")
@click.option("--traffic", "traffic_s", default=30.0, help="Seconds of traffic a day.")
@click.option("--calm", "calm_s", default=20.0, help="Seconds of calm at the end of a day.")
@click.option("--route-moves", "moves_routes", is_flag=True, help="Changes move ordered routes.")
@click.option("--long-delays", "long_delay_s", default=0.0, help="The longest delays; 0: a few seconds.")
@click.option("--large-bodies", "large_body_share", default=0.0, help="Share of messages with large bodies.")
@click.option("--size", "size_text", default="", help="CONTROLLERS,PLAIN_EDGES,STORES,FAULTS,ZONES; drawn.")
@click.option("--rate", default=25.0, help="Messages a second.")
@click.option("--kinds", default="", help="Only these faults, separated by commas.")
@click.option("--quiet-days", is_flag=True, help="Days without any fault.")
@click.option("--go-on", is_flag=True, help="Do not stop at the first seed with a break.")
@click.option("--verbose", is_flag=True, help="Print all breaks and faults of each seed.")
@click.option("--script", "script_file", default="", help="Play the days of a script (a TOML file).")
@click.option("--planted", "planted_names", default="", help="Planted faults to be found: names, or all.")
def main(
    seeds: str,
    minutes: float,
    traffic_s: float,
    calm_s: float,
    moves_routes: bool,
    long_delay_s: float,
    large_body_share: float,
    size_text: str,
    rate: float,
    kinds: str,
    quiet_days: bool,
    go_on: bool,
    verbose: bool,
    script_file: str,
    planted_names: str,
) -> None:
    """Play seeds and judge them; the exit code is 1 if any rule was broken, or a planted fault not found."""
    from hollowusher.simulation.simulation_run import SimulationPlan

    plan = SimulationPlan(
        size=parse_size(size_text) if size_text else None,
        traffic_s=traffic_s,
        calm_s=calm_s,
        rate=rate,
        moves_routes=moves_routes,
        long_delay_s=long_delay_s,
        large_body_share=large_body_share,
        inject_faults=not quiet_days,
        inject_worker_faults=not quiet_days,
        fault_kinds=tuple(kinds.split(",")) if kinds else None,
    )
    first, _, last = (seeds or USUAL_SEEDS).partition("-")
    numbers = range(int(first), int(last or first) + 1)
    if planted_names:
        sys.exit(0 if find_planted(planted_names, numbers, plan) else 1)
    if script_file:
        sys.exit(0 if play_script(script_file, numbers if seeds else (), rate, go_on, verbose) else 1)
    until = time.monotonic() + 60 * minutes if minutes else float("inf")
    sys.exit(0 if play_seeds(numbers, plan, until, go_on, verbose) else 1)


def parse_size(text: str) -> DeploymentSize:
    """Return the machines that a text like `5,2,8,2,4` names."""
    from hollowusher.simulation.cluster import DeploymentSize

    controllers, plain_edges, stores, faults, zones = (int(word) for word in text.split(","))
    return DeploymentSize(controllers, plain_edges, stores, faults, zones=zones)


def play_seeds(
    numbers: Sequence[int], plan: SimulationPlan, until: float, go_on: bool, verbose: bool
) -> bool:
    """Whether all seeds kept all rules."""
    from hollowusher.simulation.programs import build_program
    from hollowusher.simulation.simulation_run import run_seed

    kept = True
    for seed in numbers:
        if time.monotonic() > until:
            break
        result = run_seed(seed, plan, build_program)
        figures = ", ".join(f"{name} {value:.6g}" for name, value in result.figures.items())
        click.echo(f"seed {seed}: {result.first_problem or 'all rules kept'}; {figures}")
        if verbose:
            for line in [*result.fault_log, *map(str, result.violations), *result.failures]:
                click.echo(f"  {line}")
        kept = kept and not result.first_problem
        if not kept and not go_on:
            break
    return kept


def play_script(file: str, seeds: Sequence[int], rate: float, go_on: bool, verbose: bool) -> bool:
    """Whether the days of a script kept all rules, with the given seeds or its own."""
    from hollowusher.simulation.faults.script import read_script
    from hollowusher.simulation.simulation_run import plan_of_script

    script = read_script(Path(file))
    return play_seeds(seeds or script.seeds, plan_of_script(script, rate), float("inf"), go_on, verbose)


def find_planted(names: str, numbers: range, plan: SimulationPlan) -> bool:
    """Whether each planted fault breaks one of its rules within the seeds."""
    from hollowusher.simulation.planted import PLANTED_FAULTS

    chosen = list(PLANTED_FAULTS) if names == "all" else names.split(",")
    found = [_find(name, numbers, plan) for name in chosen]
    click.echo(f"{sum(found)} of {len(found)} planted faults found")
    return all(found)


def _find(name: str, numbers: range, plan: SimulationPlan) -> bool:
    from hollowusher.simulation.planted import PLANTED_FAULTS, planting
    from hollowusher.simulation.programs import build_program
    from hollowusher.simulation.simulation_run import run_seed

    fault = PLANTED_FAULTS[name]
    if fault.test:
        return _tests_find(fault)
    for seed in numbers:
        with planting(name):
            result = run_seed(seed, fault.plan(plan), build_program)
        hits = [broken for broken in result.violations if broken.rule in fault.rules]
        if not hits:
            continue
        without = run_seed(seed, fault.plan(plan), build_program)
        if any(broken.rule in fault.rules for broken in without.violations):
            click.echo(f"{name}: seed {seed} breaks without the fault, too: {without.first_problem}")
            continue
        first = min(hits, key=lambda broken: (fault.rules.index(broken.rule), broken.at))
        click.echo(f"{name}: found at seed {seed}: {first}")
        return True
    other = result.first_problem or "nothing broken"
    click.echo(f"{name}: NOT FOUND in seeds {numbers.start}-{numbers.stop - 1} (last: {other})")
    return False


def _tests_find(fault: PlantedFault) -> bool:
    """Whether the tests named by a fault that the simulation cannot reach fail with it."""
    import pytest

    from hollowusher.simulation.planted import planting

    printed = io.StringIO()
    with planting(fault.name), contextlib.redirect_stdout(printed):
        code = pytest.main(["-q", "-x", "-n", "0", "-p", "no:cacheprovider", fault.test])
    failed = next((line for line in printed.getvalue().splitlines() if line.startswith("FAILED")), "")
    found = code == pytest.ExitCode.TESTS_FAILED
    click.echo(f"{fault.name}: {'found by' if found else 'NOT FOUND by'} {fault.test}: {failed}")
    return bool(found)


if __name__ == "__main__":
    if os.environ.get(HASH_SEED) != "0":
        # Sets of names are to be walked in the same order each time a seed is played.
        os.environ[HASH_SEED] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "hollowusher.simulation", *sys.argv[1:]])
    main()
