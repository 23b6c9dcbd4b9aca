"""`hollowusher faults`, `members`: scripts on real processes, and what a running scheduler sees."""

from __future__ import annotations

import asyncio
import csv
import json
import shutil
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import click
import uvloop

from hollowusher.scheduler.config import SECTIONS, SETTINGS_FILE
from hollowusher.scheduler.emulator.faults import history
from hollowusher.scheduler.emulator.faults.checks import check
from hollowusher.scheduler.emulator.faults.virtual import VirtualPlay
from hollowusher.scheduler.emulator.processes.play import Played, ProcessPlay
from hollowusher.scheduler.emulator.script import RehearsalScript, read
from hollowusher.scheduler.net.reports.listener import ask
from hollowusher.scheduler.net.reports.settings import read_reports
from hollowusher.scheduler.settings.model import ConfigError, parse_address
from hollowusher.scheduler.settings.reader import read_file

_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@click.argument("script", type=_FILE)
@click.option("--seed", type=click.IntRange(0, 2**31 - 1), help="Another seed than the script's.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="The play's folder.")
@click.option("--peers/--no-peers", default=True, help="Whether the schedulers keep a view of each other.")
def faults(script: Path, seed: int | None, out: Path | None, peers: bool) -> None:
    """Play a script on real processes with faults between them; ends with 1 if anything does not hold."""
    try:
        plan = read(script)
        seed = plan.seed if seed is None else seed
        folder = out or Path("found") / "faults" / f"{script.stem}-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        with click.progressbar(length=round(plan.length_s * 10), label=script.stem, file=sys.stderr) as bar:
            play = ProcessPlay(
                plan, seed, folder, peers, progress=lambda at: bar.update(max(0, round(at * 10) - bar.pos))
            )
            played = uvloop.run(play.run())
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None
    keep(folder, plan, seed, played)
    tell_play(played)
    click.echo(str(folder / "faults.html"))
    if any(not f.holds for f in played.findings):
        raise SystemExit(1)


def rehearse_members(plan: RehearsalScript, seed: int, members: int = 0) -> Played:
    """The same script on the pure parts in virtual time, with other numbers of members if so wanted."""
    count = members or plan.members
    play = VirtualPlay(count, plan.mishaps, plan.expects, plan.length_s, seed, plan.configured)
    entries = play.run()
    expects = [e for e in plan.expects if e.what != "served"]
    if count != plan.members:  # what a script says of all, it says of its own
        rest = tuple(f"n{n}" for n in range(plan.members + 1, count + 1))
        expects = [replace(e, of=(*e.of, *rest)) if e.what == "see" else e for e in expects]
    return Played(entries, check(entries, play.acts, expects, play.names))


@click.command()
@click.option("--at", "where", help="Where its reports are asked for; else as the settings file has it.")
@click.option("--conf", type=_FILE, default=SETTINGS_FILE)
def members(where: str | None, conf: Path) -> None:
    """What a running scheduler sees of the others."""
    reported = _report(where, conf, "members")
    click.echo(
        f"{reported['name']}: view {reported['number']}, "
        + ("in a minority" if reported["minority"] else "in the majority")
        + (", hears nobody" if reported["deaf"] else "")
        + f", health {reported['health']} (0 is best)"
    )
    rows = reported["rows"]
    assert isinstance(rows, dict)
    click.echo(
        f"{'member':16}{'standing':10}{'incarnation':>13}{'process_id':>10}{'heard s ago':>13}  accused by"
    )
    for name, row in rows.items():
        heard = f"{row['heard_s']:13.2f}" if row["heard_s"] < 3600 else f"{'never':>13}"
        click.echo(
            f"{name:16}{row['standing']:10}{row['incarnation']:13}{row['process_id']:>10}{heard}  "
            f"{' '.join(row['accusers'])}"
        )
    absent = set(map(str, _listed(reported["configured"]))) - set(map(str, _listed(reported["present"])))
    if absent:
        click.echo("configured and not there: " + " ".join(sorted(absent)))
    click.echo(json.dumps(reported["counts"]))


@click.command()
@click.option("--at", "where", help="Where its reports are asked for; else as the settings file has it.")
@click.option("--conf", type=_FILE, default=SETTINGS_FILE)
def copies(where: str | None, conf: Path) -> None:
    """The logs that a running scheduler keeps: who leads them, and how far each copy is."""
    reported = _report(where, conf, "copies")
    rows = reported["rows"]
    assert isinstance(rows, dict)
    click.echo(
        f"{'owner':12}{'we are':10}{'leader':10}{'term':>6}{'promises':>10}{'committed':>11}"
        f"{'open':>7}{'jobs':>8}{'bytes':>11}  lags"
    )
    for owner, row in rows.items():
        lags = " ".join(f"{name}:{lag}" for name, lag in row["lags"].items())
        click.echo(
            f"{owner:12}{row['role']:10}{row['leader']:10}{row['term']:6}"
            f"{'yes' if row['promises'] else 'no':>10}{row['committed']:11}{row['open']:7}"
            f"{row['jobs']:8}{row['bytes']:11}  {lags}"
        )


@click.command()
@click.option("--at", "where", help="Where its reports are asked for; else as the settings file has it.")
@click.option("--conf", type=_FILE, default=SETTINGS_FILE)
def shared(where: str | None, conf: Path) -> None:
    """What a running scheduler knows with the others: counts, and judgements on nodes."""
    reported = _report(where, conf, "shared")
    counts, own, rows = reported["counts"], reported["own"], reported["rows"]
    assert isinstance(counts, dict) and isinstance(own, dict) and isinstance(rows, dict)
    click.echo(f"{'count':32}{'all':>10}{'here':>10}")
    for key, value in sorted(counts.items()):
        click.echo(f"{key:32}{value:10.0f}{own.get(key, 0):10.0f}")
    click.echo(f"{'node':16}{'bad':>5}{'weight':>8}{'own':>8}  told by")
    for node, row in sorted(rows.items()):
        reported_by = " ".join(f"{m}:{score:g}" for m, score in row["told_by"].items())
        bad = "yes" if row["bad"] else "no"
        click.echo(f"{node:16}{bad:>5}{row['weight']:8.2f}{row['own']:8.2f}  {reported_by}")


def _report(where: str | None, conf: Path, part: str) -> dict[str, object]:
    """A part's report of the scheduler there."""
    try:
        address = parse_address(where) if where else read_reports(read_file(conf, SECTIONS))
        if address is None:
            raise ConfigError(f"{conf.name}: [reports] has no `listen`; give --at host:port")
        reported = asyncio.run(ask(address, part))
    except ValueError:
        raise click.ClickException(f"{where}: must be host:port") from None
    except OSError as wrong:
        raise click.ClickException(f"no report: {wrong!r}") from None
    except ConfigError as wrong:
        raise click.ClickException(str(wrong)) from None
    if "fault" in reported:
        raise click.ClickException(str(reported["fault"]))
    return reported


def _listed(value: object) -> Sequence[object]:
    return value if isinstance(value, list) else []


def tell_play(played: Played) -> None:
    """The play's figures and findings on the client."""
    for name, value in played.figures.items():
        click.echo(f"{name:32}{value:10.2f}")
    for finding in played.findings:
        click.echo(
            f"{'holds ' if finding.holds else 'BROKEN'}  {finding.what}"
            + (f"  ({finding.seen})" if finding.seen else "")
        )


def keep(folder: Path, plan: RehearsalScript, seed: int, played: Played) -> None:
    """Write a play's folder: the script, its history, the findings, and the page."""
    from hollowusher.scheduler.lab.faults_page import make

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "script.rehearsal").write_text(plan.text)
    (folder / "made-of.json").write_text(json.dumps({"seed": seed, "members": plan.members}) + "\n")
    history.write(folder / "history.jsonl", played.entries)
    rows = [[name, f"{value:.4f}"] for name, value in played.figures.items()]
    _table(folder / "figures.csv", [["figure", "value"], *rows])
    _table(
        folder / "findings.csv",
        [["holds", "what", "seen"], *(["yes" if f.holds else "no", f.what, f.seen] for f in played.findings)],
    )
    make(folder, plan, played.entries, played.findings)


def _table(path: Path, rows: list[list[str]]) -> None:
    with path.open("w", newline="") as file:
        csv.writer(file, lineterminator="\n").writerows(rows)
