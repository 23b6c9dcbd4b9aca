"""Plays the seeds of an experiment in a pool of processes, the same seeds for every variant."""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait

import attrs

from hollowusher.simulation.experiment.scenario import Scenario
from hollowusher.simulation.experiment.variants import Variant, applied
from hollowusher.simulation.experiment.worth import Figures, judge


@attrs.frozen
class Play:
    """One day to play."""

    scenario: Scenario
    variant: Variant
    seed: int


@attrs.frozen
class PlayResult:
    """What came of it; `problem` is the first broken rule or failure, empty for none."""

    scenario: str
    variant: str
    seed: int
    figures: Figures
    problem: str


def play(day: Play) -> PlayResult:
    """Play one day."""
    from hollowusher.simulation.programs import build_program
    from hollowusher.simulation.simulation_run import play_seed

    with applied(day.variant):
        played = play_seed(day.seed, day.scenario.plan(), build_program)
    network = {
        "bytes_between_zones": played.cluster.network.bytes_between_zones,
        "messages": played.cluster.network.messages,
    }
    figures = judge(played.observations, day.scenario.classes, network)
    violations = played.check_rules()
    return PlayResult(
        day.scenario.name, day.variant.name, day.seed, figures, str(violations[0]) if violations else ""
    )


def play_all(
    scenarios: Sequence[Scenario],
    variants: Sequence[Variant],
    seeds: Sequence[int],
    jobs: int,
    minutes: float,
) -> Iterator[PlayResult]:
    """Yield the results as they come, seed by seed, until all are played or the time is over."""
    until = time.monotonic() + 60.0 * minutes
    days = (
        Play(scenario, variant, seed)
        for seed in seeds
        for scenario, variant in itertools.product(scenarios, variants)
    )
    running: set[Future[PlayResult]] = set()
    with ProcessPoolExecutor(jobs) as pool:
        while True:
            while len(running) < jobs and time.monotonic() < until:
                day = next(days, None)
                if day is None:
                    break
                running.add(pool.submit(play, day))
            if not running:
                return
            done, running = wait(running, return_when=FIRST_COMPLETED)
            for future in done:
                yield future.result()
