"""Healthy nodes that are suspected, and how soon a crawling one is found: in virtual time, over many seeds.

    python -m benchmarks.false_suspicion [--seeds 60]

Scenes: a burst of 300 quotes on 4 healthy nodes with free slots (running times exponential, mean 50 ms); a
steady stream of such quotes in which one node becomes 8 times slower after 5 s; and the usual mix on 8 nodes
of the usual kinds, all healthy, and with one that becomes 10 times slower.  Prints a Markdown table.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.rig import MS, S
from hollowusher.balancing import Discovery, Effect, Group, JobClass, Limits, Rules, Settings, Via
from hollowusher.scheduler.emulator.model import NodeKind
from hollowusher.scheduler.emulator.traffic import JobClassDemand, PlannedJob, Spell, draw
from hollowusher.scheduler.emulator.virtual import Rehearsal, VirtualNode

CLASSES = (
    JobClass("eta-quote", 200 * MS, 5 * S, 1.0, 0.22, 2.0, Effect.SAFE),
    JobClass("assign-rider", 200 * MS, 5 * S, 5.0, 0.22, 2.5, Effect.KEYED, Group.CELL, 7500 * MS),
    JobClass("settle-shift", 800 * MS, 20 * S, 3.0, 0.22, 2.0, Effect.UNSAFE),
)
USUAL = (
    JobClassDemand("eta-quote", 0.57, 0.4, 5.0),
    JobClassDemand("assign-rider", 0.26, 0.2, 5.0),
    JobClassDemand("settle-shift", 0.17, 1.6, 20.0),
)
SPEEDS = (1.3, 0.95, 0.7, 0.7)


@dataclass(frozen=True, slots=True)
class SuspicionCount:
    """What a run showed: jobs, healthy nodes suspected, when each scheduler found the slow one, service."""

    jobs: int
    healthy: int
    found_s: list[float]
    share: float


def settings_for(schedulers: int) -> Settings:
    """The site's settings for so many schedulers."""
    return Settings(
        classes=CLASSES,
        balancers=schedulers,
        zone="a",
        tick_ns=2 * MS,
        discovery=Discovery.ASK,
        readings=Via.ANSWERS,
        reading_fields=("queue", "util", "x0"),
        tells_start=True,
        progress_ns=2 * S,
        rules=Rules(drain_grace_ns=250 * MS, fall_multiple=2.5, cold_share=0.12, warm_after_ns=24 * S),
        limits=Limits(True, True, True, True, 2 * S, 3),
    )


def burst(seed: int) -> tuple[int, int, int]:
    """Jobs, suspicions and second runs of the burst on healthy nodes."""
    quote = JobClassDemand("eta-quote", 1.0, 0.05, 5.0)
    wide = NodeKind(cores=150, slots=150.0, refresh_ns=S)
    run = Rehearsal(settings_for(1), [wide] * 4, 1, seed)
    calm = draw([quote], [Spell(0.0, 20.0)], 5.0, seed)
    crowd = [
        PlannedJob(f"eta-quote.b{n}", quote, 5 * S, job.work_s, None, ())
        for n, job in enumerate(draw([quote], [Spell(0.0, 400.0)], 1.0, seed + 1000)[:300])
    ]
    run.ask_for([*calm, *crowd])
    report = run.run(8.0, 5.0)
    seen: dict[str, int] = {}
    for node in run.nodes.values():
        for name, count in node.runs.items():
            seen[name] = seen.get(name, 0) + count
    return report.jobs, report.suspicions, sum(count - 1 for count in seen.values())


def played(run: Rehearsal, span_s: float, slow: int, times: float, at_s: float) -> SuspicionCount:
    """Play a scene in which one node (0: none) becomes slower."""

    def crawl(node: VirtualNode) -> None:
        node.model.slow(run.heap.now, times)

    if slow:
        run.befall(at_s, [slow], crawl)
    report = run.run(span_s)
    begun, found, healthy = run.start_ns + round(at_s * S), [], 0
    for scheduler in run.schedulers:
        his = f"worker {slow} is suspect"
        at = [t for t, text in scheduler.remarks if text.startswith(his) and t >= begun]
        found.append((at[0] - begun) / S if at else span_s - at_s)
        healthy += sum(
            "is suspect" in text and not (text.startswith(his) and t >= begun)
            for t, text in scheduler.remarks
        )
    return SuspicionCount(report.jobs, healthy, found if slow else [], report.share)


def quick(seed: int, slow: bool) -> SuspicionCount:
    """A steady stream of quick quotes."""
    quote = JobClassDemand("eta-quote", 1.0, 0.05, 5.0)
    run = Rehearsal(settings_for(1), [NodeKind(cores=150, slots=150.0, refresh_ns=S)] * 4, 1, seed)
    run.ask_for(draw([quote], [Spell(0.0, 100.0)], 15.0, seed))
    return played(run, 15.0, 1 if slow else 0, 8.0, 5.0)


def usual(seed: int, slow: bool) -> SuspicionCount:
    """The usual mix."""
    kinds = [NodeKind(2, SPEEDS[n % 4], 2.0, 20, refresh_ns=1100 * MS) for n in range(8)]
    run = Rehearsal(settings_for(2), kinds, 2, seed)
    run.ask_for(draw(USUAL, [Spell(0.0, 14.0)], 45.0, seed))
    return played(run, 45.0, 3 if slow else 0, 10.0, 20.0)


def main() -> None:
    """Print the table."""
    words = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    words.add_argument("--seeds", type=int, default=60)
    given = words.parse_args()
    print(
        "| scene | runs with a false suspicion | of healthy nodes, a 1,000 jobs | second runs a run "
        "| slow node found after (median, slowest tenth) | service |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    crowd = [burst(seed) for seed in range(given.seeds)]
    jobs, hits, twice = (sum(c[n] for c in crowd) for n in range(3))
    print(
        f"| burst of 300 on 4 nodes | {sum(c[1] > 0 for c in crowd)} of {given.seeds} | "
        f"{hits / jobs * 1000:.2f} | {twice / given.seeds:.1f} | | |"
    )
    scenes: tuple[tuple[str, Callable[[int, bool], SuspicionCount], bool], ...] = (
        ("quick quotes, 4 nodes", quick, False),
        ("the same, one 8 times slower", quick, True),
        ("usual mix, 8 nodes", usual, False),
        ("the same, one 10 times slower", usual, True),
    )
    for name, scene, slow in scenes:
        runs = [scene(seed, slow) for seed in range(given.seeds)]
        jobs, hits = sum(r.jobs for r in runs), sum(r.healthy for r in runs)
        found = sorted(f for r in runs for f in r.found_s)
        when = f"{found[len(found) // 2]:.1f} s, {found[len(found) * 9 // 10]:.1f} s" if slow else ""
        print(
            f"| {name} | {sum(r.healthy > 0 for r in runs)} of {given.seeds} | {hits / jobs * 1000:.2f} | "
            f"| {when} | {statistics.fmean(r.share for r in runs):.4f} |"
        )


if __name__ == "__main__":
    main()
