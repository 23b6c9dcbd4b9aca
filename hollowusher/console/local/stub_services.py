"""Stubs of the external services: the platform's worker list, workers of each kind, a callback receiver.

The servers listen on one loopback address, on ports that the kernel assigns.  All stubs run in the event loop
of the command.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

import aiohttp
import attrs
import orjson
from aiohttp import web

FAILING_BODY = b"poison"  # workers reject messages with this body permanently (422)
FAILING_ONCE_BODY = b"flaky"  # the first delivery of a message with this body fails (500)
PULL_WAIT_MS = 1000
PAUSE_AFTER_FAILURE_S = 0.2
WORK_S = 0.02
SIGNATURE = "X-Server-Signature"
ATTEMPT_ID = "X-Attempt-Id"


class StubWorkerHistory:
    """Records the signature of each message's successful delivery and the number of its deliveries."""

    def __init__(self) -> None:
        self.signatures: dict[str, str] = {}
        self.deliveries: dict[str, int] = {}

    def run(self, worker: str, message_id: str, body: bytes) -> tuple[int, str]:
        """Record one delivery and return the worker's HTTP status and signature."""
        count = self.deliveries[message_id] = self.deliveries.get(message_id, 0) + 1
        if body.startswith(FAILING_BODY):
            return 422, ""
        if body.startswith(FAILING_ONCE_BODY) and count == 1:
            return 500, ""
        signature = f"{worker}.{message_id}.{count}"
        self.signatures[message_id] = signature
        return 200, signature


class StubServer:
    """Base class of the HTTP stubs; `address` is the IP address, and "ip:port" after the start."""

    def __init__(self, ip: str) -> None:
        self.address = ip
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the same one again after `stop`."""
        ip, _, port = self.address.partition(":")
        self._runner = web.ServerRunner(web.Server(self.answer, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, int(port or 0), reuse_address=True).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request and return the response."""
        raise NotImplementedError


@attrs.frozen
class StubInstance:
    """An entry of the platform's worker list."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int


class StubPlatform(StubServer):
    """The platform's API, which lists `workers` at `GET /instances`."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.workers: list[StubInstance] = []

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/instances":
            return web.Response(status=404)
        listed = [
            {
                "id": worker.id,
                "upstream": worker.service,
                "address": worker.address,
                "zone": worker.zone,
                "generation": "v1",
                "capacity": worker.capacity,
                "state": "ready",
                "warmupLeftMs": 0,
            }
            for worker in self.workers
        ]
        body = orjson.dumps({"instances": listed, "nextPageToken": None})
        return web.Response(body=body, content_type="application/json")


class StubPushWorker(StubServer):
    """A worker to which the system sends jobs: one in the platform's list, or a fixed endpoint."""

    def __init__(self, ip: str, name: str, history: StubWorkerHistory) -> None:
        super().__init__(ip)
        self.name = name
        self._history = history

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method == "GET":
            return web.Response(headers={"X-Instance-Id": self.name})
        message_id = request.headers.get(ATTEMPT_ID, "")
        wanted = request.headers.get("X-Target-Instance", self.name)
        if not message_id or wanted != self.name:
            return web.Response(status=400 if not message_id else 421, headers={"X-Not-Executed": "1"})
        body = await request.read()
        await asyncio.sleep(WORK_S)
        status, signature = self._history.run(self.name, message_id, body)
        headers = {ATTEMPT_ID: message_id}
        if signature:
            headers[SIGNATURE] = signature
        return web.Response(status=status, headers=headers)


class StubCallbackReceiver(StubServer):
    """Receives callbacks; `received` holds the reported state and signature of each message."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.received: dict[str, tuple[str, str]] = {}

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        report = orjson.loads(await request.read())
        self.received[report["id"]] = (report["state"], report.get("signature") or "")
        return web.Response()


class StubPullWorker:
    """A worker that pulls one job at a time from a random frontend of the system."""

    def __init__(
        self,
        name: str,
        service: str,
        frontends: list[str],
        history: StubWorkerHistory,
        session: aiohttp.ClientSession,
        random_source: random.Random,
    ) -> None:
        self.name = name
        self._service = service
        self._frontends = frontends
        self._history = history
        self._session = session
        self._random_source = random_source

    async def run(self) -> None:
        """Pull jobs, execute them and report the results until cancelled."""
        while True:
            try:
                await self._pull_once()
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    async def _pull_once(self) -> None:
        headers = {"X-Instance-Id": self.name, "X-Wait-Ms": str(PULL_WAIT_MS)}
        async with self._session.post(self._url(f"/pull/{self._service}"), headers=headers) as response:
            body = await response.read()
            if response.status != 200:
                if response.status != 204:
                    await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
                return
            message_id = response.headers[ATTEMPT_ID]
            lease = response.headers["X-Lease-Id"]
        await asyncio.sleep(WORK_S)
        status, signature = self._history.run(self.name, message_id, body)
        await self._report_result(
            message_id, {"X-Lease-Id": lease, "X-Job-Result": str(status), SIGNATURE: signature}
        )

    async def _report_result(self, message_id: str, headers: dict[str, str]) -> None:
        """Report the result, with retries until it is accepted (200) or the lease has been lost (409)."""
        while True:
            with suppress(aiohttp.ClientError, TimeoutError, OSError):
                url = self._url(f"/job-end/{message_id}")
                async with self._session.post(url, headers=headers) as response:
                    if response.status in (200, 409):
                        return
            await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    def _url(self, path: str) -> str:
        return f"http://{self._random_source.choice(self._frontends)}{path}"
