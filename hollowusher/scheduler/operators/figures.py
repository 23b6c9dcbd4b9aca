"""Formats metrics for operators in lines `name:value|kind`; the kind is c (counter) or g (gauge)."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from hollowusher.scheduler.dispatch.metrics import SchedulerMetrics

PREFIX = "proxy"


def lines(figures: SchedulerMetrics, known: Callable[[], int], excluded: Callable[[], int]) -> Iterator[str]:
    """Yield the current value of each metric; `known` and `excluded` return numbers of workers."""
    for name, counts in figures.classes.items():
        for kind in ("served", "refused", "failed", "attempts"):
            yield f"{PREFIX}.requests.{name}.{kind}:{getattr(counts, kind)}|c"
    yield f"{PREFIX}.in_flight:{figures.in_flight}|g"
    yield f"{PREFIX}.workers_known:{known()}|g"
    yield f"{PREFIX}.workers_excluded:{excluded()}|g"
    yield f"{PREFIX}.reloads_ok:{figures.reloads_ok}|c"
    yield f"{PREFIX}.reloads_failed:{figures.reloads_failed}|c"
