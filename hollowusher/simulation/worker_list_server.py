"""The platform: the worker list with its lag, readiness of edge processes, and stopping of processes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

import orjson

from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.http_network import (
    HttpExchange,
    HttpNetwork,
    HttpResponse,
    UnresponsiveServerError,
)

PAGE = 50


@dataclass(frozen=True)
class WorkerListing:
    """One worker of the list."""

    id: str
    upstream: str
    address: str
    zone: str
    capacity: int
    state: str = "ready"
    warmup_left_ms: int = 0
    generation: str = "v1"

    def document(self) -> dict[str, object]:
        """As it stands on the wire."""
        return {
            "id": self.id,
            "upstream": self.upstream,
            "address": self.address,
            "zone": self.zone,
            "capacity": self.capacity,
            "state": self.state,
            "warmupLeftMs": self.warmup_left_ms,
            "generation": self.generation,
        }


class ListFailure(Enum):
    """What the platform does with a call while it is down."""

    REFUSES = "refuses"
    IS_SILENT = "is silent"
    BREAKS_OFF = "breaks off"


class WorkerListServer:
    """`GET /instances`, as the list stood `lag_s` ago; calls beyond `rate` a second get 429.

    While `failure` is set, the platform is down.
    """

    process = None

    def __init__(self, http: HttpNetwork, address: str, lag_s: float, rate: float) -> None:
        self.http = http
        self.address = address
        self.lag_s = lag_s
        self.rate = rate
        self.calls = 0
        self.refused = 0
        self.failure: ListFailure | None = None
        self._now: dict[str, WorkerListing] = {}
        self._past: deque[tuple[float, list[WorkerListing]]] = deque([(0.0, [])])
        self._recent: deque[float] = deque()

    def start(self) -> None:
        """Listen."""
        self.http.network.power_on(host_of(self.address))
        self.http.listen(self.address, self)

    def put(self, listing: WorkerListing) -> None:
        """Add or change a worker."""
        self._now[listing.id] = listing
        self._record()

    def drain(self, identifier: str) -> None:
        """Mark a worker that is to end."""
        self.put(replace(self._now[identifier], state="draining"))

    def remove(self, identifier: str) -> None:
        """Take a worker off the list."""
        self._now.pop(identifier, None)
        self._record()

    def _record(self) -> None:
        self._past.append((self.http.network.loop.time(), list(self._now.values())))

    def shown(self) -> list[WorkerListing]:
        """Return the list as it is shown now."""
        before = self.http.network.loop.time() - self.lag_s
        while len(self._past) > 1 and self._past[1][0] <= before:
            self._past.popleft()
        return self._past[0][1]

    async def serve(self, exchange: HttpExchange) -> HttpResponse | None:
        """Answer a page of the list."""
        now = self.http.network.loop.time()
        while self._recent and self._recent[0] <= now - 1:
            self._recent.popleft()
        self.calls += 1
        if len(self._recent) >= self.rate:
            self.refused += 1
            return HttpResponse(429)
        self._recent.append(now)
        if self.failure is ListFailure.REFUSES:
            return HttpResponse(503)
        if self.failure is ListFailure.IS_SILENT:
            raise UnresponsiveServerError
        if self.failure is ListFailure.BREAKS_OFF:
            return None
        path, _, query = exchange.request.target.partition("?")
        if path != "/instances":
            return HttpResponse(404)
        words = dict(part.partition("=")[::2] for part in query.split("&") if part)
        first = int(words.get("pageToken", "p-0").removeprefix("p-"))
        listed = [each for each in self.shown() if words.get("zone", each.zone) == each.zone]
        following = f"p-{first + PAGE}" if first + PAGE < len(listed) else None
        page = [each.document() for each in listed[first : first + PAGE]]
        body = orjson.dumps({"instances": page, "nextPageToken": following})
        return HttpResponse(200, {"Content-Type": "application/json"}, body)
