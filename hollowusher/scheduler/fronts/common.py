"""What both fronts share: limits on what clients send, how an attempt ended, how a load report is read."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hollowusher.balancing.interface import Outcome, Reading

PROBE_TIMEOUT_S = 0.5
FIRST_S = 2.0  # how long a connection may say nothing from its accept on: a client opens one to use it
REQUEST_S = 2.0  # how long one request or frame may take to come in
MOST_BUDGET_S = 86_400.0
MOST_CLOSED = 4_096  # closed job ids that are remembered: some minutes' worth, in a megabyte at most
MOST_NAME = 128  # characters of an id or a key
TRAVEL_NS = 2_000_000  # a client counts its time from its sending, which is this much before its coming
_MEANINGS = {
    "inflight": "running",
    "concurrent": "running",
    "queue": "waiting",
    "depth": "waiting",
    "util": "busy",
    "load_share": "busy",
    "qps": "served_per_s",
    "tps": "served_per_s",
    "eps": "errors_per_s",
    "err_ps": "errors_per_s",
}
_SERVICE = ("latency_ms", "mean_ms")  # a node's recent service time without waiting, in milliseconds
_BUDGET = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")


class JobIds:
    """The job ids that are open at this scheduler, whichever front took them, and those that were lately.

    A node knows a job by its id: a second one under the same id is turned away there, counts against the
    node, and could have its answer taken for the first one's.  An id is new for every request, so that one
    seen before is a mistake or worse; a copy of an open request often comes when that was just answered.
    """

    def __init__(self, most_closed: int = MOST_CLOSED) -> None:
        self._open: set[str] = set()
        self._closed: dict[str, None] = {}  # the latest last
        self._most_closed = most_closed
        self.elsewhere: Callable[[str], bool] | None = None  # False: another process has or had this id

    def claim(self, job_id: str, again: bool = False) -> bool:
        """Take an id; False where another job has it open, or had it and ids do not come `again`: those of
        a named client do, when it was refused and when two clients number alike."""
        if job_id in self._open or (job_id in self._closed and not again):
            return False
        if self.elsewhere is not None and not again and not self.elsewhere(job_id):
            return False
        self._open.add(job_id)
        return True

    def known(self) -> list[str]:
        """All ids that are open or were lately, the latest last."""
        return [*self._closed, *self._open]

    def remember(self, job_ids: Iterable[str]) -> None:
        """Another process has or had these ids."""
        for job_id in job_ids:
            self._close(job_id)

    def free(self, job_id: str) -> None:
        """The job has its answer, or nobody waits for it."""
        self._open.discard(job_id)
        self._close(job_id)

    def _close(self, job_id: str) -> None:
        self._closed[job_id] = None
        if len(self._closed) > self._most_closed:
            del self._closed[next(iter(self._closed))]


def read_budget_ns(text: str) -> int | None:
    """How long a client waits; None where the text is no plain number of seconds.

    Python's own float() takes far more: nan, 1_0, 1e9, and digits of other scripts."""
    if not _BUDGET.fullmatch(text) or float(text) > MOST_BUDGET_S:
        return None
    return round(float(text) * 1e9)


def printable(text: str, most: int = MOST_NAME) -> bool:
    """Whether a text may go into other wires' heads: visible ASCII, so that none breaks out of its line."""
    return len(text) <= most and all("!" <= c <= "~" for c in text)


@dataclass(slots=True)
class AttemptEnding:
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
    service = next((value[n] for n in _SERVICE if type(value.get(n)) in (int, float)), None)
    service_ns = round(service * 1e6) if service is not None and 0 <= service < 1e9 else None
    if not values and service_ns is None:
        return None
    return Reading(service_ns=service_ns, **values)
