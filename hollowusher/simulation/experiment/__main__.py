"""The command: `python -m hollowusher.simulation.experiment`."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import attrs
import click
import orjson

from hollowusher.simulation.experiment.errors import ExperimentError

HASH_SEED = "PYTHONHASHSEED"
USAGE_ERROR = 2


@attrs.frozen
class Options:
    """The words of the command line."""

    scenarios: tuple[str, ...]
    variants: tuple[str, ...]
    ablation: bool
    seeds: str
    minutes: float
    until_error: float
    jobs: int
    json_file: str


@click.command()
@click.option("--scenario", "scenarios", multiple=True, help="A shipped scenario or a file; else all.")
@click.option("--set", "variants", multiple=True, help="A variant: NAME=VALUE or NAME=off, joined by commas.")
@click.option("--ablation", is_flag=True, help="A variant for each mechanism, without it.")
@click.option("--seeds", default="1-4", help="First and last seed, A-B, or one seed.")
@click.option("--minutes", default=10.0, help="Begin no further day after so long.")
@click.option("--until-error", default=0.0, help="Stop once no standard error of the worth is above this.")
@click.option("--jobs", default=4, help="Processes that play at a time.")
@click.option("--json", "json_file", default="", help="Append each day to this file, a JSON line each.")
def main(**words: object) -> None:
    """Play the same seeds with variants of the code, and show what they are worth."""
    sys.exit(run(Options(**words)))  # type: ignore[arg-type]  # click has converted them


def run(options: Options) -> int:
    """Play an experiment and print its tables; the exit code."""
    from hollowusher.simulation.experiment.experiment import Experiment

    try:
        experiment = Experiment.from_words(
            options.scenarios, options.variants, options.seeds, with_ablation=options.ablation
        )
    except ExperimentError as error:
        click.echo(f"experiment: {error}", err=True)
        return USAGE_ERROR
    with Path(options.json_file or os.devnull).open("ab") as output:
        for result in experiment.play(options.jobs, options.minutes, options.until_error):
            output.write(orjson.dumps(result) + b"\n")
            output.flush()
    for line in experiment.lines():
        click.echo(line)
    return 1 if experiment.has_broken_rules else 0


if __name__ == "__main__":
    if os.environ.get(HASH_SEED) != "0":
        # Sets of names are to be walked in the same order each time a seed is played.
        os.environ[HASH_SEED] = "0"
        module = Path(__file__).parent.name
        os.execv(sys.executable, [sys.executable, "-m", f"hollowusher.simulation.{module}", *sys.argv[1:]])
    main()
