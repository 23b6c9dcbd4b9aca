"""HTTP client that reads the platform's worker list page by page."""

from __future__ import annotations

import asyncio
from urllib.parse import quote

import aiohttp

from hollowusher.coordination.controller.call_rate_limiter import CallRateLimiter
from hollowusher.coordination.controller.errors import MalformedPageError, WorkerListReadError
from hollowusher.coordination.controller.worker_list_page import WorkerListPage, parse_page
from hollowusher.coordination.controller.worker_list_reconciler import WorkerListReconciler
from hollowusher.coordination.controller.worker_list_timing import WorkerListTiming
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList

KEEPALIVE_S = 30.0
MAX_PAGES = 10_000
MAX_PAGE_BYTES = 1024 * 1024
MAX_WORKERS = 50_000
READ_STEP = "read the list"


class WorkerListReader:
    """Reads the complete worker list over one persistent connection.

    Attributes
    ----------
    address : str
        The platform's "host:port".
    calls : int
        The number of pages that this reader has requested.
    """

    def __init__(self, address: str, timing: WorkerListTiming) -> None:
        self.address = address
        self.calls = 0
        self._timing = timing
        self._reconciler = WorkerListReconciler()
        self._rate_limiter = CallRateLimiter(timing.rate_per_s, timing.max_backoff_s)
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> PlatformWorkerList | None:
        """Return the list, or None if the reconciler does not accept the result of this read yet.

        Raises
        ------
        WorkerListReadError
            If a page could not be read or is too long, or there are too many pages or workers.
        """
        workers: list[PlatformWorker] = []
        token: str | None = None
        for pages in range(1, MAX_PAGES):
            page = await self._fetch_page(token)
            workers += page.workers
            if len(workers) > MAX_WORKERS:
                raise WorkerListReadError(READ_STEP, self.address, "the list has too many workers")
            token = page.next_token
            if token is None:
                accepted = self._reconciler.reconcile(workers, pages)
                return None if accepted is None else PlatformWorkerList(accepted)
        raise WorkerListReadError(READ_STEP, self.address, "the list has too many pages")

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
        except WorkerListReadError:
            self._rate_limiter.record_failure(loop.time())
            raise
        except (
            MalformedPageError,
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            RecursionError,
        ) as error:
            self._rate_limiter.record_failure(loop.time())
            reason = f"{type(error).__name__}: {error}"
            raise WorkerListReadError(READ_STEP, self.address, reason) from error
        self._rate_limiter.record_success()
        return page

    async def _get_body(self, token: str | None) -> bytes:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=KEEPALIVE_S)
            self._session = aiohttp.ClientSession(
                connector=connector, timeout=aiohttp.ClientTimeout(total=self._timing.call_timeout_s)
            )
        query = "" if token is None else f"?pageToken={quote(token, safe='')}"
        async with self._session.get(f"http://{self.address}/instances{query}") as response:
            body = bytearray()
            async for part in response.content.iter_any():
                body += part
                if len(body) > MAX_PAGE_BYTES:
                    raise WorkerListReadError(READ_STEP, self.address, "the page is too long")
            if response.status != 200:
                raise WorkerListReadError(READ_STEP, self.address, f"status {response.status}")
            return bytes(body)
