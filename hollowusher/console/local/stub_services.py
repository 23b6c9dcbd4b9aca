"""Stand-ins for what is outside the system: the platform's list, workers of each kind, a call-back receiver.

All of them listen on one loopback address, at ports that the kernel gives, and run in the command's own
event loop.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

import aiohttp
import attrs
import orjson
from aiohttp import web

FAILING_BODY = b"poison"  # a body that workers refuse for good
FAILING_ONCE_BODY = b"flaky"  # a body whose first delivery fails
PULL_WAIT_MS = 1000
PAUSE_AFTER_FAILURE_S = 0.2
WORK_S = 0.02
SIGNATURE = "X-Server-Signature"
ATTEMPT_ID = "X-Attempt-Id"


class StubWorkerHistory:
    """What the workers did: the signature of each message's success, and how often it was delivered."""

    def __init__(self) -> None:
        self.signatures: dict[str, str] = {}
        self.deliveries: dict[str, int] = {}

    def run(self, worker: str, message_id: str, body: bytes) -> tuple[int, str]:
        """The status and signature of one delivery."""
        count = self.deliveries[message_id] = self.deliveries.get(message_id, 0) + 1
        if body.startswith(FAILING_BODY):
            return 422, ""
        if body.startswith(FAILING_ONCE_BODY) and count == 1:
            return 500, ""
        signature = f"{worker}.{message_id}.{count}"
        self.signatures[message_id] = signature
        return 200, signature


class StubServer:
    """A server on one address; `address` holds its port once it has started."""

    def __init__(self, ip: str) -> None:
        self.address = ip
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._runner = web.ServerRunner(web.Server(self.answer, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, self.address, 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        raise NotImplementedError


@attrs.frozen
class StubInstance:
    """An entry of the platform's list."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int


class StubPlatform(StubServer):
    """`GET /instances`."""

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
    """A worker that is sent its jobs: a listed one, or a fixed endpoint."""

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
    """Takes call-backs; `received` holds the state and signature reported for each message."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.received: dict[str, tuple[str, str]] = {}

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        report = orjson.loads(await request.read())
        self.received[report["id"]] = (report["state"], report.get("signature") or "")
        return web.Response()


class StubPullWorker:
    """A worker that asks for its jobs, one at a time, at any of the system's entries."""

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
        """Ask, work and report until cancelled."""
        while True:
            try:
                await self._turn()
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    async def _turn(self) -> None:
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
        await self._end(message_id, {"X-Lease-Id": lease, "X-Job-Result": str(status), SIGNATURE: signature})

    async def _end(self, message_id: str, headers: dict[str, str]) -> None:
        """Report the end until it is taken, or the lease is gone."""
        while True:
            with suppress(aiohttp.ClientError, TimeoutError, OSError):
                url = self._url(f"/job-end/{message_id}")
                async with self._session.post(url, headers=headers) as response:
                    if response.status in (200, 409):
                        return
            await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    def _url(self, path: str) -> str:
        return f"http://{self._random_source.choice(self._frontends)}{path}"
