"""Two series of runs side by side: which is better, or whether that cannot be told.

Runs are paired by their seed: both sides had the same jobs asked of them at the same times, so that what
the draws do to both falls out of the difference.  The bar is Student's t interval of the mean difference; a
difference whose bar holds nought is a tie, however large it looks."""

from __future__ import annotations

import csv
import math
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from scipy.stats import t as student

from hollowusher.scheduler.settings.model import ConfigError

SERIES = "series.csv"
BETTER_HIGH = {
    "share": True,
    "worst_10_s": True,
    "suspicions": False,
    "second_runs": False,
    "late_sends": False,
    "fallen": False,
    "unanswered": False,
}


@dataclass(frozen=True, slots=True)
class Difference:
    """One figure of both series: their means, the mean difference (second less first) and its bar."""

    figure: str
    first: float
    second: float
    difference: float
    low: float
    high: float

    @property
    def says(self) -> str:
        """better or worse (the second than the first), or tie."""
        if self.low <= 0.0 <= self.high:
            return "tie"
        return "better" if (self.difference > 0) == BETTER_HIGH[self.figure] else "worse"


def write_series(folder: Path, rows: Sequence[tuple[int, Mapping[str, float]]]) -> None:
    """Keep the figures of runs, a line a seed."""
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / SERIES).open("w", newline="") as file:
        table = csv.writer(file, lineterminator="\n")
        table.writerow(["seed", *BETTER_HIGH])
        for seed, figures in rows:
            table.writerow([seed, *(figures[name] for name in BETTER_HIGH)])


def read_series(folder: Path) -> dict[int, dict[str, float]]:
    """The figures of a series by seed; ConfigError where there is none to be read."""
    try:
        with (folder / SERIES).open(newline="") as file:
            return {
                int(row["seed"]): {name: float(row[name]) for name in BETTER_HIGH}
                for row in csv.DictReader(file)
            }
    except (OSError, KeyError, ValueError, TypeError) as wrong:
        raise ConfigError(
            f"{folder / SERIES}: is no series of runs ({wrong!r}); make one with `hollowusher experiment`"
        ) from None


def compare(
    first: Mapping[int, Mapping[str, float]],
    second: Mapping[int, Mapping[str, float]],
    confidence: float = 0.95,
) -> list[Difference]:
    """What can be told of two series; ConfigError where fewer than three seeds are common to both."""
    seeds = sorted(set(first) & set(second))
    if len(seeds) < 3:
        raise ConfigError(f"the series have {len(seeds)} seeds in common; at least 3 are needed")
    findings = []
    for name in BETTER_HIGH:
        apart = [second[seed][name] - first[seed][name] for seed in seeds]
        mean = statistics.fmean(apart)
        error = statistics.stdev(apart) / math.sqrt(len(apart))
        reach = float(student.ppf((1 + confidence) / 2, len(apart) - 1)) * error
        findings.append(
            Difference(
                name,
                statistics.fmean(first[s][name] for s in seeds),
                statistics.fmean(second[s][name] for s in seeds),
                mean,
                mean - reach,
                mean + reach,
            )
        )
    return findings
