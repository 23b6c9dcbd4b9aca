"""The command line: `python -m hollowusher WORD ...`.  Without a word the program is the platform's
scheduler."""

from __future__ import annotations

import csv
import json
import platform
import shutil
import sys
import time
from importlib.metadata import version
from pathlib import Path

import click

from hollowusher.scheduler.app import run as run_scheduler
from hollowusher.scheduler.config import SECTIONS, SETTINGS_FILE
from hollowusher.scheduler.emulator.processes.commands import (
    copies,
    faults,
    members,
    rehearse_members,
    shared,
    tell_play,
)
from hollowusher.scheduler.emulator.script import RehearsalScript, read, stage
from hollowusher.scheduler.emulator.virtual import COUNTS, Rehearsal, Report
from hollowusher.scheduler.net.http2.settings import read_http2
from hollowusher.scheduler.operators.commands import attach, detach, figures, ready
from hollowusher.scheduler.settings.model import ConfigError
from hollowusher.scheduler.settings.reader import read_file

SLICES = 40  # steps of the progress bar
LATE_SHARE_S = 25.0  # after the script's end, for what is still open
FIGURES = ("share", "worst_10_s", "suspicions", "second_runs", "late_sends", "fallen", "unanswered")
_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def cli() -> None:
    """The job scheduler, and the tools around it.

    The whole service has words of its own, whose --help tells more: `edge` and `store` run a process of that
    role, `local` starts a small system with stand-ins, `system` asks and orders a running one."""


cli.add_command(faults)
cli.add_command(members)
cli.add_command(copies)
cli.add_command(shared)
for command in (ready, figures, detach, attach):
    cli.add_command(command)


@cli.command()
def run() -> None:
    """Run one scheduler, as without any word."""
    sys.exit(run_scheduler())


@cli.command()
@click.argument("file", type=_FILE, default=SETTINGS_FILE)
def check(file: Path) -> None:
    """Check a settings file, or a rehearsal script (*.rehearsal); a fault is told with file and line."""
    try:
        if file.suffix == ".rehearsal":
            script = read(file)
            click.echo(
                f"{file.name}: {len(script.kinds)} nodes, {script.schedulers} schedulers, "
                f"{script.length_s:g} s, {len(script.troubles)} troubles"
            )
        else:
            read_http2(read_file(file, SECTIONS))
            click.echo(f"{file.name}: in order")
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None


@cli.command()
@click.argument("script", type=_FILE)
@click.option("--seed", type=click.IntRange(0, 2**31 - 1), help="Another seed than the script's.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="The run's folder.")
@click.option("--members", "many", type=click.IntRange(2, 1000), help="Other than the script's.")
def rehearse(script: Path, seed: int | None, out: Path | None, many: int | None) -> None:
    """Play a rehearsal in virtual time; its folder gets script, seed, versions and tables.

    A script with `members` plays their membership, and its traffic if it has any."""
    try:
        plan = read(script)
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None
    seed = plan.seed if seed is None else seed
    if plan.members:
        played = rehearse_members(plan, seed, many or 0)
        tell_play(played)
        if any(not finding.holds for finding in played.findings):
            raise SystemExit(1)
        if not plan.serves:
            return
    folder = out or Path("found") / "rehearsals" / f"{script.stem}-{seed}"
    rehearsal, begun = stage(plan, seed), time.monotonic()
    complete = plan.length_s + LATE_SHARE_S
    stopped = False
    try:
        with click.progressbar(range(SLICES), label=script.stem, file=sys.stderr) as steps:
            for step in steps:
                rehearsal.heap.run(rehearsal.start_ns + round(complete * (step + 1) / SLICES * 1e9))
    except KeyboardInterrupt:  # what there is, is kept
        stopped = True
    took = time.monotonic() - begun
    report = rehearsal.report()
    keep(folder, script, plan, seed, rehearsal, report, stopped)
    tell(report)
    click.echo(f"{complete:g} s played in {took:.1f} s ({complete / took:.0f} times the clock); {folder}")
    if broken(report):
        raise SystemExit(1)


@cli.command()
@click.argument("script", type=_FILE)
@click.option("--runs", type=click.IntRange(3, 10_000), default=10, show_default=True)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), required=True, help="The folder of the series."
)
def experiment(script: Path, runs: int, out: Path) -> None:
    """Play a script with many seeds and keep a line of figures for each, to be compared."""
    from hollowusher.scheduler.lab.compare import write_series

    try:
        plan = read(script)
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None
    rows: list[tuple[int, dict[str, float]]] = []
    try:
        span = range(plan.seed, plan.seed + runs)
        with click.progressbar(span, label=script.stem, file=sys.stderr) as seeds:
            for seed in seeds:
                report = stage(plan, seed).run(plan.length_s, LATE_SHARE_S)
                rows.append((seed, {name: getattr(report, name) for name in FIGURES}))
    except KeyboardInterrupt:
        pass  # what there is, is kept
    write_series(out, rows)
    shutil.copyfile(script, out / "script.rehearsal")
    click.echo(f"{len(rows)} runs in {out}")


@cli.command()
@click.argument("first", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.argument("second", type=click.Path(exists=True, file_okay=False, path_type=Path))
def compare(first: Path, second: Path) -> None:
    """Compare two series of runs, seed by seed, with error bars; what lies within them is a tie."""
    from hollowusher.scheduler.lab import compare as lab

    try:
        findings = lab.compare(lab.read_series(first), lab.read_series(second))
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None
    click.echo(f"{'figure':16}{'first':>10}{'second':>10}{'apart':>10}{'95% bar':>22}  the second is")
    for f in findings:
        bar = f"{f.low:+.4f} to {f.high:+.4f}"
        click.echo(f"{f.figure:16}{f.first:10.4f}{f.second:10.4f}{f.difference:+10.4f}{bar:>22}  {f.says}")


@cli.command()
@click.argument("run", type=click.Path(exists=True, file_okay=False, path_type=Path))
def report(run: Path) -> None:
    """Make a page with tables and charts of a run's folder."""
    from hollowusher.scheduler.lab.page import make

    try:
        click.echo(str(make(run)))
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None


def broken(report: Report) -> int:
    """Rules broken, as the fleet saw them."""
    return report.second_runs + report.late_sends + report.fallen + report.unanswered


def tell(report: Report) -> None:
    """The run's figures on the client."""
    click.echo(f"{'class':16}" + "".join(f"{name:>10}" for name in COUNTS))
    for name, counts in sorted(report.by_class.items()):
        click.echo(f"{name:16}" + "".join(f"{counts[c]:10}" for c in COUNTS))
    click.echo(
        f"worth in time {report.share:.4f}, worst 10 s {report.worst_10_s:.4f}, "
        f"suspicions {report.suspicions}"
    )
    click.echo(
        f"rules: second runs {report.second_runs}, sent after a drain {report.late_sends}, "
        f"cold nodes pushed over {report.fallen}, without one answer in time {report.unanswered}"
    )


def keep(
    folder: Path,
    source: Path,
    plan: RehearsalScript,
    seed: int,
    rehearsal: Rehearsal,
    report: Report,
    stopped: bool,
) -> None:
    """Write a run's folder: what it was made of, and its tables.  The same run gives the same bytes."""
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source, folder / "script.rehearsal")
    made_of = {
        "seed": seed,
        "stopped": stopped,
        "python": platform.python_version(),
        **{name: version(name) for name in ("numpy", "click")},
    }
    (folder / "made-of.json").write_text(json.dumps(made_of, indent=1, sort_keys=True) + "\n")
    with (folder / "classes.csv").open("w", newline="") as file:
        table = csv.writer(file, lineterminator="\n")
        table.writerow(["class", *COUNTS])
        for name, counts in sorted(report.by_class.items()):
            table.writerow([name, *(counts[c] for c in COUNTS)])
    with (folder / "figures.csv").open("w", newline="") as file:
        table = csv.writer(file, lineterminator="\n")
        for name in FIGURES:
            table.writerow([name, getattr(report, name)])
    with (folder / "jobs.csv").open("w", newline="") as file:
        table = csv.writer(file, lineterminator="\n")
        table.writerow(["job", "class", "asked_s", "work_s", "tries", "verdict", "took_s"])
        for r in rehearsal.results:
            verdict = "gone" if r.gone else r.verdict.value if r.verdict else ""
            table.writerow(
                [
                    r.wanted.name,
                    r.wanted.demand.name,
                    f"{r.wanted.at / 1e9:.6f}",
                    f"{r.wanted.work_s:.6f}",
                    r.tries,
                    verdict,
                    f"{r.took_ns / 1e9:.6f}",
                ]
            )
