"""Paired differences between variants: their mean, its standard error, and a bootstrap interval."""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Sequence

import attrs

RESAMPLES = 2000
INTERVAL_SHARE = 0.95
MIN_PAIRS = 4  # fewer are not believed, whatever their interval


@attrs.frozen
class Difference:
    """The mean of paired differences and how far it may be believed."""

    mean: float
    error: float  # standard error of the mean
    low: float  # bootstrap interval
    high: float
    pairs: int

    @property
    def is_clear(self) -> bool:
        """Whether the interval excludes no difference."""
        return self.pairs >= MIN_PAIRS and (self.low > 0.0 or self.high < 0.0)


def paired_difference(differences: Sequence[float], seed: int = 1) -> Difference:
    """Return the difference of two variants from those of their pairs (Efron's percentile bootstrap)."""
    count = len(differences)
    mean = statistics.fmean(differences)
    if count < 2:
        return Difference(mean, math.inf, -math.inf, math.inf, count)
    error = statistics.stdev(differences) / math.sqrt(count)
    chance = random.Random(seed)
    means = sorted(statistics.fmean(chance.choices(differences, k=count)) for _ in range(RESAMPLES))
    edge = round(RESAMPLES * (1.0 - INTERVAL_SHARE) / 2)
    return Difference(mean, error, means[edge], means[-edge - 1], count)
