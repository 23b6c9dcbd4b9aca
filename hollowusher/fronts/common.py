"""What both fronts share: how an attempt ended, how a load report is read, and two spans of time."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

from hazelweir.interface import Outcome, Reading

PROBE_TIMEOUT_S = 0.5
TRAVEL_NS = 2_000_000  # a terminal counts its time from its sending, which is this much before its coming
_MEANINGS = {
    "inflight": "running", "concurrent": "running", "queue": "waiting", "depth": "waiting", "util": "busy",
    "load_share": "busy", "qps": "served_per_s", "tps": "served_per_s", "eps": "errors_per_s",
    "err_ps": "errors_per_s",
}


@dataclass(slots=True)
class Ending:
    """How an attempt ended."""

    outcome: Outcome
    reading: Reading | None = None
    result: bytes = b""


def read_load(value: object, meanings: Mapping[str, str]) -> Reading | None:
    """A load report; fields without a meaning here are skipped, a broken report is none."""
    if isinstance(value, str):
        try:
            value = json.loads(value)
        except ValueError:
            return None
    if not isinstance(value, dict):
        return None
    values: dict[str, float] = {}
    for name, number in value.items():
        meaning = meanings.get(name) or _MEANINGS.get(name)
        if meaning and isinstance(number, int | float) and not isinstance(number, bool):
            values[meaning] = float(number)
    return Reading(**values) if values else None  # type: ignore[arg-type]
