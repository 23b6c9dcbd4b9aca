"""The command line `python -m hollowusher COMMAND ...`; the default command runs the scheduler."""

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

SLICES = 40  # number of steps of the progress bar
LATE_SHARE_S = 25.0  # simulated time after the end of the script in which open jobs may finish
FIGURES = ("share", "worst_10_s", "suspicions", "second_runs", "late_sends", "fallen", "unanswered")
_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def cli() -> None:
    """The job scheduler, and the tools around it.

    The complete service has further commands, described by their --help: `edge` and `store` run a process
    of that role, `local` starts a small system on loopback with stubs for the platform, the workers and the
    call-back receivers, and `system` inspects and controls a running system."""


cli.add_command(faults)
cli.add_command(members)
cli.add_command(copies)
cli.add_command(shared)
for command in (ready, figures, detach, attach):
    cli.add_command(command)


@cli.command()
def run() -> None:
    """Run one scheduler; this is also the default without a command."""
    sys.exit(run_scheduler())


@cli.command()
@click.argument("file", type=_FILE, default=SETTINGS_FILE)
def check(file: Path) -> None:
    """Check a settings file or a rehearsal script (*.rehearsal); errors are printed with file and line."""
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
@click.option("--seed", type=click.IntRange(0, 2**31 - 1), help="Overrides the seed of the script.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="The output folder of the run.")
@click.option(
    "--members", "many", type=click.IntRange(2, 1000), help="Overrides the number of members in the script."
)
def rehearse(script: Path, seed: int | None, out: Path | None, many: int | None) -> None:
    """Simulate a rehearsal script in virtual time, and write script, seed, versions and tables to a folder.

    A script with `members` simulates their membership protocol, and also its traffic if it defines any."""
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
    except KeyboardInterrupt:  # keeps the results up to the interruption
        stopped = True
    took = time.monotonic() - begun
    report = rehearsal.report()
    write_run_folder(folder, script, plan, seed, rehearsal, report, stopped)
    print_report(report)
    click.echo(f"{complete:g} s simulated in {took:.1f} s ({complete / took:.0f} times real time); {folder}")
    if count_violations(report):
        raise SystemExit(1)


@cli.command()
@click.argument("script", type=_FILE)
@click.option("--runs", type=click.IntRange(3, 10_000), default=10, show_default=True)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    required=True,
    help="The output folder of the series.",
)
def experiment(script: Path, runs: int, out: Path) -> None:
    """Simulate a script with many seeds, and write one line of figures for each seed for `compare`."""
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
        pass  # keeps the results of the completed runs
    write_series(out, rows)
    shutil.copyfile(script, out / "script.rehearsal")
    click.echo(f"{len(rows)} runs in {out}")


@cli.command()
@click.argument("first", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.argument("second", type=click.Path(exists=True, file_okay=False, path_type=Path))
def compare(first: Path, second: Path) -> None:
    """Compare two series of runs by seed; a difference whose confidence interval contains 0 is a tie."""
    from hollowusher.scheduler.lab import compare as lab

    try:
        findings = lab.compare(lab.read_series(first), lab.read_series(second))
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None
    click.echo(f"{'figure':16}{'first':>10}{'second':>10}{'apart':>10}{'95% bar':>22}  the second is")
    for f in findings:
        bar = f"{f.low:+.4f} to {f.high:+.4f}"
        click.echo(f"{f.figure:16}{f.first:10.4f}{f.second:10.4f}{f.difference:+10.4f}{bar:>22}  {f.verdict}")


@cli.command()
@click.argument("run", type=click.Path(exists=True, file_okay=False, path_type=Path))
def report(run: Path) -> None:
    """Write an HTML page with tables and charts of a run into its folder."""
    from hollowusher.scheduler.lab.page import make

    try:
        click.echo(str(make(run)))
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None


def count_violations(report: Report) -> int:
    """Return the number of rule violations that the simulated workers observed."""
    return report.second_runs + report.late_sends + report.fallen + report.unanswered


def print_report(report: Report) -> None:
    """Print the figures of a run to standard output."""
    click.echo(f"{'class':16}" + "".join(f"{name:>10}" for name in COUNTS))
    for name, counts in sorted(report.by_class.items()):
        click.echo(f"{name:16}" + "".join(f"{counts[c]:10}" for c in COUNTS))
    click.echo(
        f"worth in time {report.share:.4f}, worst 10 s {report.worst_10_s:.4f}, "
        f"suspicions {report.suspicions}"
    )
    click.echo(
        f"rules: second runs {report.second_runs}, sent after a drain {report.late_sends}, "
        f"cold nodes overloaded {report.fallen}, jobs without exactly one answer in time {report.unanswered}"
    )


def write_run_folder(
    folder: Path,
    source: Path,
    plan: RehearsalScript,
    seed: int,
    rehearsal: Rehearsal,
    report: Report,
    stopped: bool,
) -> None:
    """Write the folder of a run: its inputs (script, seed, versions) and its tables.

    The output is deterministic: the same run gives the same bytes."""
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
