"""An experiment: scenarios, variants and seeds, and what came of them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path

from hollowusher.simulation.experiment.errors import ExperimentError
from hollowusher.simulation.experiment.report import as_document, compare, summary_lines
from hollowusher.simulation.experiment.runner import PlayResult, play_all
from hollowusher.simulation.experiment.scenario import (
    SCENARIO_FOLDER,
    Scenario,
    read_scenario,
    shipped_scenarios,
)
from hollowusher.simulation.experiment.statistics import MIN_PAIRS
from hollowusher.simulation.experiment.variants import BASE, Variant, ablations, parse_variant


class Experiment:
    """The plays of one experiment."""

    def __init__(
        self, scenarios: Sequence[Scenario], variants: Sequence[Variant], seeds: Sequence[int]
    ) -> None:
        self.scenarios = scenarios
        self.variants = [Variant(BASE), *variants]
        self.seeds = seeds
        self.results: list[PlayResult] = []

    @classmethod
    def from_words(
        cls, names: Sequence[str], texts: Sequence[str], seeds: str, *, with_ablation: bool = False
    ) -> Experiment:
        """Return the experiment that the words of a command line describe."""
        files = [_scenario_file(name) for name in names] or shipped_scenarios()
        variants = [parse_variant(text) for text in texts if text != BASE]
        if with_ablation:
            variants += ablations()
        return cls([read_scenario(file) for file in files], variants, parse_seeds(seeds))

    def play(self, jobs: int, minutes: float, until_error: float) -> Iterator[dict[str, object]]:
        """Play, and yield each day as a document."""
        for result in play_all(self.scenarios, self.variants, self.seeds, jobs, minutes):
            self.results.append(result)
            yield as_document(result)
            if until_error and self._largest_error() <= until_error:
                return

    def _largest_error(self) -> float:
        """Return the largest standard error of the worth, infinity while there are few seeds."""
        differences = compare(self.results, BASE, "worth").values()
        wanted = len(self.scenarios) * (len(self.variants) - 1)
        if len(differences) < wanted or any(each.pairs < MIN_PAIRS for each in differences):
            return float("inf")
        return max((each.error for each in differences), default=float("inf"))

    @property
    def has_broken_rules(self) -> bool:
        """Whether any day broke a rule."""
        return any(result.problem for result in self.results)

    def lines(self) -> list[str]:
        """Return the tables."""
        return summary_lines(self.results, BASE)


def parse_seeds(text: str) -> range:
    """Return the seeds of `A-B` or `A`."""
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError:
        raise ExperimentError(f"--seeds {text}: A-B or one number is wanted") from None


def _scenario_file(name: str) -> Path:
    for path in (Path(name), SCENARIO_FOLDER / f"{name}.toml"):
        if path.is_file():
            return path
    raise ExperimentError(f"--scenario {name}: no such file, and no shipped scenario of that name")
