"""The tables of an experiment."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from hollowusher.simulation.experiment.runner import PlayResult
from hollowusher.simulation.experiment.statistics import Difference, paired_difference

SHOWN = ("worth", "whole_day", "worst_windows", "nines", "uncertain", "unanswered_s", "bytes_between_zones")


def compare(results: Iterable[PlayResult], first: str, measure: str) -> dict[tuple[str, str], Difference]:
    """Return the paired differences of a measure against the first variant, by scenario and variant."""
    by_day: defaultdict[tuple[str, int], dict[str, float]] = defaultdict(dict)
    for result in results:
        by_day[result.scenario, result.seed][result.variant] = getattr(result.figures, measure)
    differences: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
    for (scenario, _), values in sorted(by_day.items()):
        for variant, value in values.items():
            if variant != first and first in values:
                differences[scenario, variant].append(value - values[first])
    return {key: paired_difference(found) for key, found in differences.items()}


def summary_lines(results: Sequence[PlayResult], first: str) -> list[str]:
    """Return the table: means of the first variant, then the differences of the others."""
    lines = [_problem_line(result) for result in results if result.problem]
    scenarios = sorted({result.scenario for result in results})
    lines.append(f"{'scenario':18}{'seeds':>6}" + "".join(f"{name:>21}" for name in SHOWN))
    for scenario in scenarios:
        own = [each for each in results if each.scenario == scenario and each.variant == first]
        if own:
            means = (sum(getattr(each.figures, name) for each in own) / len(own) for name in SHOWN)
            lines.append(f"{scenario:18}{len(own):>6}" + "".join(f"{mean:>21.4f}" for mean in means))
    tables = {name: compare(results, first, name) for name in SHOWN}
    for variant in sorted({result.variant for result in results} - {first}):
        lines += ["", f"{variant}, difference from {first} (95% interval; * excludes 0)"]
        for scenario in scenarios:
            cells = [tables[name].get((scenario, variant)) for name in SHOWN]
            if cells[0] is not None:
                lines.append(f"{scenario:18}{cells[0].pairs:>6}" + "".join(map(_cell, cells)))
    return lines


def _cell(difference: Difference | None) -> str:
    if difference is None:
        return f"{'-':>21}"
    mark = "*" if difference.is_clear else " "
    half = (difference.high - difference.low) / 2
    return f"{difference.mean:>+12.4f} ±{half:6.4f}{mark}"


def _problem_line(result: PlayResult) -> str:
    return (
        f"BROKEN {result.problem}: again with --scenario {result.scenario} --seeds {result.seed}"
        f" --set {result.variant}"
    )


def as_document(result: PlayResult) -> dict[str, object]:
    """Return a result as a map, for JSON lines."""
    return attrs.asdict(result)
