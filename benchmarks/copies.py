"""Copies on real processes: what they cost, and what they keep while processes die.

python -m benchmarks.copies cost [--seconds 20]     # off, in memory, in files; 50 and 200 jobs/s; 3 and 5
python -m benchmarks.copies faults [--seeds 20] [--jobs 500] [--disk]   # faults at random, checked
python -m benchmarks.copies model [--depth 5]       # every order, three members and two jobs
python -m benchmarks.copies storms [--seeds 100]    # random faults in virtual time, and planted ones
python -m benchmarks.copies deaths [--runs 5]       # one of seven dies every 10 s, with copies or not
"""

from __future__ import annotations

import random
import shutil
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import uvloop
from scipy import stats

from hollowusher.scheduler.emulator.log_replication import ReplicationNetwork, storm
from hollowusher.scheduler.emulator.log_replication_check import SETTINGS
from hollowusher.scheduler.emulator.log_replication_model import check
from hollowusher.scheduler.emulator.processes.play import Played, ProcessPlay
from hollowusher.scheduler.emulator.script import parse

CLASSES = """nodes {nodes} cores 4
class eta-quote    safe  share 57 work 60ms  budget 5s  aim 200ms stretch 2   worth 1 late 0.22
class assign-rider keyed share 26 work 40ms  budget 8s  aim 200ms stretch 2.5 worth 5 late 0.22 window 7500ms
class settle-shift once  share 17 work 120ms budget 10s aim 800ms stretch 2   worth 3 late 0.22
traffic {rate}/s
"""


def play(text: str, seed: int) -> Played:
    """One play in a folder of its own."""
    folder = Path(tempfile.mkdtemp(prefix="copies-"))
    try:
        return uvloop.run(ProcessPlay(parse(text, "script"), seed, folder).run())
    finally:
        shutil.rmtree(folder, ignore_errors=True)


@click.group()
def main() -> None:
    """Measurements of copies."""


@main.command()
@click.option("--seconds", default=20)
@click.option("--seed", default=1)
def cost(seconds: int, seed: int) -> None:
    """A table: nothing, in memory, in files."""
    click.echo("| members | jobs/s | copies | served a second | p50 ms | p99 ms | CPU ms a job |")
    click.echo("| --- " * 7 + "|")
    for members in (3, 5):
        for rate in (50, 200):
            for copies in ("off", "in memory", "in files"):
                words = (
                    ""
                    if copies == "off"
                    else (f"copies {min(members, 5)} on {'disk' if copies == 'in files' else 'memory'}\n")
                )
                text = f"members {members}\nlength {seconds}s\n{words}" + CLASSES.format(
                    nodes=max(8, rate // 10), rate=rate
                )
                figures = play(text, seed).figures
                served = figures.get("jobs served", 0.0)
                cpu = figures["CPU s a scheduler"] * members / max(1.0, served) * 1000
                click.echo(
                    f"| {members} | {rate} | {copies} | {served / seconds:.1f} | "
                    f"{figures['p50 ms']:.1f} | {figures['p99 ms']:.0f} | {cpu:.2f} |"
                )


def storm_text(seed: int, jobs: int, disk: bool, rate: int = 50) -> str:
    """Faults at random over so many jobs: at most one of five away at a time, for groups of three."""
    chance = random.Random(seed)
    length = max(26, jobs // rate)
    lines = [
        "members 5",
        f"length {length}s",
        f"copies 3 on {'disk' if disk else 'memory'}",
        CLASSES.format(nodes=8, rate=rate),
    ]
    at = 6.0
    while at < length - 12:
        name, other = (f"n{n}" for n in chance.sample(range(1, 6), 2))
        what = chance.choice(("kill", "kill", "pause", "cut", "oneway", "hold", "restart", "starve"))
        span = chance.choice((0.5, 1.5, 3.0))
        if what == "kill":
            fresh = "yes" if not disk or chance.random() < 0.5 else "no"
            lines += [f"at {at:.1f}s kill {name}", f"at {at + 3:.1f}s start {name} fresh {fresh}"]
        elif what == "restart":
            lines.append(f"at {at:.1f}s restart {name} fresh {'no' if disk else 'yes'}")
        elif what in ("pause", "starve"):
            lines.append(f"at {at:.1f}s {what} {'10% ' if what == 'starve' else ''}{name} for {span}s")
        else:
            arrow = "->" if what == "oneway" else "<->"
            word = "hold" if what == "hold" else "cut"
            lines.append(f"at {at:.1f}s {word} {name} {arrow} {other} for {span}s")
        at += chance.uniform(6.0, 9.0)
    return "\n".join([*lines, "expect served 50%", ""])


def _one(seed: int, jobs: int, disk: bool) -> tuple[int, dict[str, float], list[str]]:
    played = play(storm_text(seed, jobs, disk), seed)
    return seed, played.figures, [f"{f.what}: {f.seen}" for f in played.findings if not f.holds]


@main.command()
@click.option("--seeds", default=20)
@click.option("--first", default=1)
@click.option("--jobs", default=500, help="About so many in each play.")
@click.option("--disk/--memory", default=False)
@click.option("--at-a-time", default=2)
def faults(seeds: int, first: int, jobs: int, disk: bool, at_a_time: int) -> None:
    """Faults at random between real processes; ends with 1 if anything is broken."""
    total: dict[str, float] = {}
    broken = 0
    with ProcessPoolExecutor(at_a_time) as pool:
        all_seeds = range(first, first + seeds)
        for seed, figures, wrong in pool.map(_one, all_seeds, [jobs] * seeds, [disk] * seeds):
            for name, value in figures.items():
                if name.startswith("jobs"):
                    total[name] = total.get(name, 0.0) + value
            broken += len(wrong)
            reported = ", ".join(f"{n[5:]} {v:.0f}" for n, v in figures.items() if n.startswith("jobs"))
            click.echo(f"seed {seed}: {reported}" + "".join(f"; {w}" for w in wrong))
    click.echo(
        f"{sum(total.values()):.0f} jobs: "
        + ", ".join(f"{n[5:]} {v:.0f}" for n, v in total.items())
        + f"; broken: {broken}"
    )
    raise SystemExit(1 if broken else 0)


@main.command()
@click.option("--runs", default=5)
def deaths(runs: int) -> None:
    """One of seven dies every 10 s and is back after 4: the share served, with its 95% bar."""
    click.echo("| copies | runs | share served | 95% bar |")
    click.echo("| --- | --- | --- | --- |")
    for words in ("", "copies 3 on memory\n"):
        shares = []
        for seed in range(1, runs + 1):
            lines = [f"members 7\nlength 50s\n{words}" + CLASSES.format(nodes=8, rate=60)]
            lines += [
                f"at {at}s kill n{at // 10}\nat {at + 4}s start n{at // 10} fresh yes"
                for at in (10, 20, 30, 40)
            ]
            figures = play("\n".join(lines), seed).figures
            jobs = sum(v for n, v in figures.items() if n.startswith("jobs"))
            shares.append(figures["jobs served"] / jobs)
        half = float(stats.t.ppf(0.975, runs - 1)) * statistics.stdev(shares) / runs**0.5
        click.echo(f"| {'3' if words else 'none'} | {runs} | {statistics.mean(shares):.4f} | +-{half:.4f} |")


@main.command()
@click.option("--depth", default=5)
def model(depth: int) -> None:
    """States of each start, and what does not hold in them."""
    click.echo("| start | storage | losses | states | wrong |")
    click.echo("| --- " * 5 + "|")
    for begin, storage, losses in (
        ("leads", False, 1),
        ("leads", True, 1),
        ("begun", False, 1),
        ("torn", False, 0),
        ("torn", True, 0),
    ):
        seen = check(depth, storage=storage, begin=begin, most_losses=losses)
        click.echo(f"| {begin} | {storage} | {losses} | {seen.states} | {len(seen.findings)} |")


@main.command()
@click.option("--seeds", default=100)
@click.option("--first", default=1000)
def storms(seeds: int, first: int) -> None:
    """Storms over all settings; ends with 1 if anything does not hold."""
    steps = promised = broken = 0
    for seed in range(first, first + seeds):
        for setting in SETTINGS:
            net = ReplicationNetwork(setting["size"], seed, storage=setting["storage"])
            try:
                storm(net, 60, seed, setting["disks"], setting["most_down"], bool(seed % 2))
                wrong = len(net.lost()) or net.leader() is None
            except AssertionError as fault:
                click.echo(f"seed {seed}, {setting}: {fault}")
                wrong = True
            broken += bool(wrong)
            steps, promised = steps + net.steps, promised + len(net.promised)
    plays = seeds * len(SETTINGS)
    click.echo(f"{plays} storms of 60 s, {steps} steps, {promised} promises; broken: {broken}")
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
