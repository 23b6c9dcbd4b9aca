"""Plays seeds of the whole system: `python -m hollowusher.simulation --seeds 1-20`."""

from __future__ import annotations

import os
import sys
import time

import click

HASH_SEED = "PYTHONHASHSEED"


@click.command()
@click.option("--seeds", default="1-5", help="First and last seed, A-B, or one seed.")
@click.option("--minutes", default=0.0, help="Stop after so many minutes of real time; 0: no limit.")
@click.option("--traffic", "traffic_s", default=30.0, help="Seconds of traffic a day.")
@click.option("--calm", "calm_s", default=30.0, help="Seconds of calm at the end of a day.")
@click.option("--rate", default=25.0, help="Messages a second.")
@click.option("--kinds", default="", help="Only these troubles, separated by commas.")
@click.option("--quiet-days", is_flag=True, help="Days without any trouble.")
@click.option("--go-on", is_flag=True, help="Do not stop at the first seed with a break.")
@click.option("--verbose", is_flag=True, help="Print all breaks and troubles of each seed.")
def main(seeds: str, minutes: float, traffic_s: float, calm_s: float, rate: float, kinds: str,
         quiet_days: bool, go_on: bool, verbose: bool) -> None:
    """Play seeds and judge them; the exit code is 1 if any rule was broken."""
    from hollowusher.simulation.day import DayPlan, play_day
    from hollowusher.simulation.programs import build_program

    plan = DayPlan(traffic_s=traffic_s, calm_s=calm_s, rate=rate, troubles=not quiet_days,
                   worker_troubles=not quiet_days, kinds=tuple(kinds.split(",")) if kinds else None)
    first, _, last = seeds.partition("-")
    begun = time.monotonic()
    bad = 0
    for seed in range(int(first), int(last or first) + 1):
        if minutes and time.monotonic() - begun > 60 * minutes:
            break
        result = play_day(seed, plan, build_program)
        figures = ", ".join(f"{name} {value:.6g}" for name, value in result.figures.items())
        click.echo(f"seed {seed}: {result.first or 'all rules kept'}; {figures}")
        if verbose:
            for line in [*result.played, *map(str, result.broken), *result.failures]:
                click.echo(f"  {line}")
        bad += bool(result.first)
        if result.first and not go_on:
            break
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    if os.environ.get(HASH_SEED) != "0":
        # Sets of names are to be walked in the same order each time a seed is played.
        os.environ[HASH_SEED] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "hollowusher.simulation", *sys.argv[1:]])
    main()
