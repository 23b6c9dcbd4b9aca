"""Code that both fronts share: limits on client input, job ids, attempt results and load report parsing."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hollowusher.balancing.interface import Outcome, Reading

PROBE_TIMEOUT_S = 0.5  # timeout for a load report that the scheduler requests from a node
# A new connection must deliver its first byte (HTTP) or its CONNECT frame (STOMP) within this time of its
# accept.  Clients open a connection to use it at once.
FIRST_REQUEST_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 2.0  # timeout for receiving one complete request or frame
MAX_BUDGET_S = 86_400.0  # longest time budget that a client may give
MAX_CLOSED_IDS = 4_096  # number of closed job ids kept: a few minutes of traffic, at most 1 MB of memory
MAX_ID_LENGTH = 128  # maximum length of an id or a key, in characters
# Allowance for the network delay of a request: a client counts its budget from the moment it sends.
NETWORK_DELAY_NS = 2_000_000
_DEFAULT_MEANINGS = {
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
# Fields with a node's recent service time, without queueing time, in milliseconds.
_SERVICE_TIME_FIELDS = ("latency_ms", "mean_ms")
_BUDGET_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")


class JobIds:
    """The job ids of both fronts that are open at this scheduler or were closed recently.

    A node identifies a job by its id.  The node rejects a second job with the same id, the rejection counts
    as a failure of the node, and the answer to one job could be mistaken for the answer to the other.
    Clients use a new id for every request, so a repeated id is an error or an attack.  Closed ids are kept
    because a copy of a request often arrives just after the original was answered.
    """

    def __init__(self, max_closed: int = MAX_CLOSED_IDS) -> None:
        self._open: set[str] = set()
        self._closed: dict[str, None] = {}  # ordered from the oldest to the newest
        self._max_closed = max_closed
        # Returns False if another process of this scheduler has or had the id open.
        self.elsewhere: Callable[[str], bool] | None = None

    def claim(self, job_id: str, again: bool = False) -> bool:
        """Mark an id as open and return True, or return False if the id is in use.

        An id is in use if another job has it open or, unless `again` is set, had it open recently.  The STOMP
        front sets `again`, because its clients are identified by login: a client reuses the id of a refused
        job, and two clients may choose the same id."""
        if job_id in self._open or (job_id in self._closed and not again):
            return False
        if self.elsewhere is not None and not again and not self.elsewhere(job_id):
            return False
        self._open.add(job_id)
        return True

    def known(self) -> list[str]:
        """Return the recently closed ids, oldest first, followed by the open ids."""
        return [*self._closed, *self._open]

    def remember(self, job_ids: Iterable[str]) -> None:
        """Record ids that another process has or had open as closed here."""
        for job_id in job_ids:
            self._close(job_id)

    def free(self, job_id: str) -> None:
        """Close an id after its job was answered or its client disconnected."""
        self._open.discard(job_id)
        self._close(job_id)

    def _close(self, job_id: str) -> None:
        self._closed[job_id] = None
        if len(self._closed) > self._max_closed:
            del self._closed[next(iter(self._closed))]


def read_budget_ns(text: str) -> int | None:
    """Parse a client's time budget; return nanoseconds, or None if the text is no plain number of seconds.

    Python's float() accepts more than that: nan, 1_0, 1e9 and non-ASCII digits."""
    if not _BUDGET_PATTERN.fullmatch(text) or float(text) > MAX_BUDGET_S:
        return None
    return round(float(text) * 1e9)


def printable(text: str, max_length: int = MAX_ID_LENGTH) -> bool:
    """Return whether a text has at most `max_length` characters and consists of visible ASCII only.

    Such a text can be copied into a header of another protocol without ending the header line."""
    return len(text) <= max_length and all("!" <= c <= "~" for c in text)


@dataclass(slots=True)
class AttemptEnding:
    """How an attempt ended: its outcome, the node's load report if any, and the job's result."""

    outcome: Outcome
    reading: Reading | None = None
    result: bytes = b""


def read_load(value: object, meanings: Mapping[str, str]) -> Reading | None:
    """Parse a node's load report, given as a JSON text or a decoded object.

    `meanings` maps field names to fields of `Reading`; unknown fields are skipped.  Returns None if the
    report is malformed or contains no known field."""
    if isinstance(value, str):
        try:
            value = json.loads(value)
        except ValueError:
            return None
    if not isinstance(value, dict):
        return None
    values: dict[str, float] = {}
    for name, number in value.items():
        meaning = meanings.get(name) or _DEFAULT_MEANINGS.get(name)
        if meaning and isinstance(number, int | float) and not isinstance(number, bool):
            values[meaning] = float(number)
    service = next((value[n] for n in _SERVICE_TIME_FIELDS if type(value.get(n)) in (int, float)), None)
    service_ns = round(service * 1e6) if service is not None and 0 <= service < 1e9 else None
    if not values and service_ns is None:
        return None
    return Reading(service_ns=service_ns, **values)
