"""Reading the platform's list of workers over HTTP, page by page.

`parse_page` and `WorkerListReconciler` do no I/O.  A malformed answer never replaces a good list, and an
empty list counts only if two complete reads in a row return it.
"""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import quote

import aiohttp
import attrs
import orjson

from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList

CALL_TIMEOUT_S = 1.0
MAX_PAGES = 10_000
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
READY = "ready"
DRAINING = "draining"


class PlatformError(Exception):
    """A reading that failed: the step, the platform's address and the reason."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


@attrs.frozen
class WorkerListPage:
    """One answer of the platform."""

    workers: list[PlatformWorker]
    next_token: str | None


def parse_page(body: bytes) -> WorkerListPage:
    """The page in an answer's body; `ValueError` says what is wrong with it."""
    document = orjson.loads(body)
    if not isinstance(document, dict):
        raise ValueError("the answer is no object")
    instances = document.get("instances")
    if not isinstance(instances, list):
        raise ValueError("instances: not a list")
    token = document.get("nextPageToken")
    if token is not None and not (isinstance(token, str) and token):
        raise ValueError("nextPageToken: neither text nor null")
    return WorkerListPage([_parse_worker(entry) for entry in instances], token)


def _parse_worker(entry: Any) -> PlatformWorker:
    if not isinstance(entry, dict):
        raise ValueError("instances: an entry is no object")
    state = _read_text(entry, "state")
    return PlatformWorker(
        id=_read_text(entry, "id"),
        service=_read_text(entry, "upstream"),
        address=_read_address(entry),
        zone=_read_text(entry, "zone", default=""),
        capacity=max(1, int(_read_number(entry, "capacity", 1))),
        state=state if state == READY else DRAINING,  # a state unknown here gets no new work
        warm_in_ms=max(0, int(_read_number(entry, "warmupLeftMs", 0))),
        generation=_read_text(entry, "generation", default=""),
    )


def _read_text(entry: dict[str, Any], key: str, default: str | None = None) -> str:
    value = entry.get(key, default)
    if not isinstance(value, str) or (not value and default is None):
        raise ValueError(f"instances: {key} is no text")
    return value


def _read_address(entry: dict[str, Any]) -> str:
    address = _read_text(entry, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError("instances: address is not host:port")
    return address


def _read_number(entry: dict[str, Any], key: str, default: float) -> float:
    value = entry.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < 1e12:
        raise ValueError(f"instances: {key} is no number")
    return value


class WorkerListReconciler:
    """Decides what a full reading makes of the list.

    A reading of several pages can miss a worker when the list shifts between two pages; so a worker absent
    from such a reading stays for one more."""

    def __init__(self) -> None:
        self._accepted: dict[str, PlatformWorker] = {}
        self._absent_once: set[str] = set()
        self._empty_readings = 0

    def reconcile(self, workers: list[PlatformWorker], pages: int) -> list[PlatformWorker] | None:
        """The list after a full reading; None where the reading is not to be believed yet."""
        read = {worker.id: worker for worker in workers}
        self._empty_readings = 0 if read else self._empty_readings + 1
        if self._empty_readings == 1 and self._accepted:
            return None
        absent = {worker_id for worker_id in self._accepted if worker_id not in read}
        retained = absent - self._absent_once if pages > 1 else set()
        for worker_id in retained:
            read[worker_id] = self._accepted[worker_id]
        self._absent_once = retained
        self._accepted = read
        return [read[worker_id] for worker_id in sorted(read)]


class CallRateLimiter:
    """Keeps calls at most at half the rate that all readers share, and backs off after failures."""

    def __init__(self, rate_per_s: float) -> None:
        self._interval_s = 2.0 / rate_per_s if rate_per_s > 0 else MAX_BACKOFF_S
        self._next_call_at = 0.0
        self._backoff_s = 0.0

    def seconds_until_next_call(self, now: float) -> float:
        """How long the next call has to wait."""
        return max(0.0, self._next_call_at - now)

    def record_call(self, now: float) -> None:
        """A call is made."""
        self._next_call_at = now + self._interval_s

    def record_failure(self, now: float) -> None:
        """A call was refused or got no good answer."""
        self._backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * self._backoff_s))
        self._next_call_at = max(self._next_call_at, now + self._backoff_s)

    def record_success(self) -> None:
        """A call was answered well."""
        self._backoff_s = 0.0


class WorkerListReader:
    """Reads the whole list over one kept connection."""

    def __init__(self, address: str, rate_per_s: float) -> None:
        self.address = address
        self.calls = 0
        self._reconciler = WorkerListReconciler()
        self._rate_limiter = CallRateLimiter(rate_per_s)
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> PlatformWorkerList | None:
        """The list, None where a reading is not to be believed yet; `PlatformError` where it failed."""
        workers: list[PlatformWorker] = []
        token: str | None = None
        for pages in range(1, MAX_PAGES):
            page = await self._fetch_page(token)
            workers += page.workers
            token = page.next_token
            if token is None:
                accepted = self._reconciler.reconcile(workers, pages)
                return None if accepted is None else PlatformWorkerList(accepted)
        raise PlatformError("read the list", self.address, "the pages have no end")

    async def close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch_page(self, token: str | None) -> WorkerListPage:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rate_limiter.seconds_until_next_call(loop.time()))
        self._rate_limiter.record_call(loop.time())
        self.calls += 1
        try:
            page = parse_page(await self._get_body(token))
        except PlatformError:
            self._rate_limiter.record_failure(loop.time())
            raise
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, RecursionError) as error:
            self._rate_limiter.record_failure(loop.time())
            raise PlatformError("read the list", self.address, f"{type(error).__name__}: {error}") from error
        self._rate_limiter.record_success()
        return page

    async def _get_body(self, token: str | None) -> bytes:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=30.0)
            self._session = aiohttp.ClientSession(
                connector=connector, timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
            )
        query = "" if token is None else f"?pageToken={quote(token, safe='')}"
        async with self._session.get(f"http://{self.address}/instances{query}") as response:
            body = await response.read()
            if response.status != 200:
                raise PlatformError("read the list", self.address, f"status {response.status}")
            return body
