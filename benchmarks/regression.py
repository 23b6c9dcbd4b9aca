"""Plays both deployments in turn with the operators' bench and prints each figure beside the last landing's.

    python -m benchmarks.regression KIT --why "..." [--module] [--standing] [--keep]

KIT is the folder of the bench.  Ends with 1 where a rule is broken, a gate fails or a figure falls by more
than 0.03; `--keep` adds the figures to docs/regression.csv, which the next landing is compared with.
"""

from __future__ import annotations

import csv
import datetime
import re
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import click

TABLE = Path(__file__).parent.parent / "docs" / "regression.csv"
MOST_FALL = 0.03
_FIGURE = re.compile(r"^(?:quick estimate on .*?: |score of the real nodes )(\d+\.\d+)", re.M)
_BROKEN = re.compile(r"GATE failed|rules? broken|broke a rule|crashed", re.I)
_SITES = {"cluj": "sites/cluj-dispatch.toml", "cours": "users/cours-maroc.toml"}


@dataclass(frozen=True, slots=True)
class Play:
    """One bench call: its name in the table, the program, the site and the words after it."""

    name: str
    program: str
    site: str
    words: tuple[str, ...] = ("--quick",)

    def command(self, kit: Path, why: str) -> list[str]:
        """What is run."""
        return [str(kit / self.program), "score", str(kit / _SITES[self.site]), *self.words, "--why", why]


MODULE = (Play("sim-cluj", "bin/lbsim", "cluj"), Play("sim-cours", "bin/lbsim", "cours"))
NETWORK = (
    Play("later-cluj", "more/mass/bin/lbreal", "cluj", ("--panel", "later", "--quick")),
    Play("real-cours", "real/bin/lbreal", "cours"),
)
STANDING = (Play("standing", "more/mass/bin/lbreal", "cluj", ()),)


def figure(output: str) -> tuple[float | None, bool]:
    """The score in a bench's output, and whether all rules were kept."""
    found = _FIGURE.search(output)
    return (float(found[1]) if found else None), _BROKEN.search(output) is None


def compare(now: dict[str, float], last: dict[str, float]) -> Iterable[tuple[str, float, float | None, bool]]:
    """Each figure, the one before it, and whether it holds."""
    for name, value in now.items():
        before = last.get(name)
        yield name, value, before, before is None or value >= before - MOST_FALL


def last_row(table: Path = TABLE) -> dict[str, float]:
    """The latest figure of each play that was kept."""
    last: dict[str, float] = {}
    if table.exists():
        with table.open(newline="") as file:
            for row in csv.DictReader(file):
                last[row["play"]] = float(row["score"])
    return last


@click.command()
@click.argument("kit", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--why", required=True, help="One plain sentence, kept in the journal.")
@click.option("--module", is_flag=True, help="The module has changed: the simulator as well.")
@click.option("--standing", is_flag=True, help="The standing test in full as well (5 minutes on 8 cores).")
@click.option("--keep", is_flag=True, help="Add the figures to docs/regression.csv.")
def main(kit: Path, why: str, module: bool, standing: bool, keep: bool) -> None:
    """Play the regression of both deployments, one after the other."""
    plays = (*(MODULE if module else ()), *NETWORK, *(STANDING if standing else ()))
    now: dict[str, float] = {}
    sound = True
    for play in plays:
        done = subprocess.run(play.command(kit, why), capture_output=True, text=True, check=False)
        score, kept = figure(done.stdout)
        if score is None or not kept or done.returncode:
            sound = False
            click.echo(f"{play.name}: {'no figure' if score is None else 'a rule or the gate'}", err=True)
            click.echo(done.stdout[-2000:] + done.stderr[-2000:], err=True)
        if score is not None:
            now[play.name] = score
    for name, value, before, holds in compare(now, last_row()):
        sound = sound and holds
        click.echo(
            f"{name:12} {value:.3f}  {'' if before is None else f'last {before:.3f}'}"
            f"{'' if holds else '  FELL'}"
        )
    if keep and sound:
        fresh = not TABLE.exists()
        with TABLE.open("a", newline="") as file:
            rows = csv.writer(file, lineterminator="\n")
            if fresh:
                rows.writerow(["day", "play", "score"])
            day = datetime.datetime.now(datetime.UTC).date().isoformat()
            rows.writerows([day, name, f"{value:.3f}"] for name, value in now.items())
    sys.exit(0 if sound else 1)


if __name__ == "__main__":
    main()
