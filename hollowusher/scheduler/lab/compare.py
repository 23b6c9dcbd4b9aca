"""Compares two series of simulation runs statistically.

Runs are paired by seed: both runs of a pair receive the same jobs at the same times, so the random variation
that they share cancels out in the difference.  The confidence interval is Student's t interval of the mean
difference; a difference whose interval contains 0 is a tie, whatever its size."""

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
    """One figure of both series: the means, the mean difference (second minus first), and the bounds `low`
    and `high` of its confidence interval."""

    figure: str
    first: float
    second: float
    difference: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """Whether the second series is `better` or `worse` than the first, or `tie`."""
        if self.low <= 0.0 <= self.high:
            return "tie"
        return "better" if (self.difference > 0) == BETTER_HIGH[self.figure] else "worse"


def write_series(folder: Path, rows: Sequence[tuple[int, Mapping[str, float]]]) -> None:
    """Write the figures of a series of runs, one line for each seed."""
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / SERIES).open("w", newline="") as file:
        table = csv.writer(file, lineterminator="\n")
        table.writerow(["seed", *BETTER_HIGH])
        for seed, figures in rows:
            table.writerow([seed, *(figures[name] for name in BETTER_HIGH)])


def read_series(folder: Path) -> dict[int, dict[str, float]]:
    """Read the figures of a series by seed; raises ConfigError if the file is missing or invalid."""
    try:
        with (folder / SERIES).open(newline="") as file:
            return {
                int(row["seed"]): {name: float(row[name]) for name in BETTER_HIGH}
                for row in csv.DictReader(file)
            }
    except (OSError, KeyError, ValueError, TypeError) as wrong:
        raise ConfigError(
            f"{folder / SERIES}: is not a series of runs ({wrong!r}); make one with `hollowusher experiment`"
        ) from None


def compare(
    first: Mapping[int, Mapping[str, float]],
    second: Mapping[int, Mapping[str, float]],
    confidence: float = 0.95,
) -> list[Difference]:
    """Compare each figure of two series; raises ConfigError if they share fewer than three seeds."""
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
