"""Stand-ins of the outside world for the scripts of this review: platform list, workers, clients, operator.

They follow the users' pages: a worker works on `slots` messages at a time and queues a few more, refuses what
it does not run with `X-Not-Executed`, and repeats the id of a message in every answer.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
RETRIED = (408, 421, 429, 503)  # answers that promise that the message was not taken


class Record:
    """The record of one run: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Server:
    """An HTTP server on a loopback address; the kernel chooses the port."""

    def __init__(self, ip: str) -> None:
        self.address = ip
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen."""
        self._runner = web.ServerRunner(web.Server(self.answer, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, self.address, 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the answer to one request."""
        raise NotImplementedError


class Platform(Server):
    """The platform's list of workers."""

    def __init__(self, ip: str, record: Record) -> None:
        super().__init__(ip)
        self.instances: list[dict[str, Any]] = []
        self.is_down = False
        self.calls = 0  # since the start, those that were turned away included
        self._record = record

    def add(self, worker: Worker, service: str, zone: str) -> None:
        """List a worker as ready."""
        self.instances.append(
            {
                "id": worker.name,
                "upstream": service,
                "address": worker.address,
                "zone": zone,
                "generation": "v1",
                "capacity": worker.slots,
                "state": "ready",
                "warmupLeftMs": 0,
            }
        )

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:  # noqa: ARG002 - as in `Server`
        """Return the list, or 503 while the platform is down."""
        self.calls += 1
        if self.is_down:
            self._record.write("the platform is asked for its list while it is down: 503")
            return web.Response(status=503)
        page = {"instances": self.instances, "nextPageToken": None}
        return web.Response(text=json.dumps(page), content_type="application/json")


class Worker(Server):
    """A worker: one of the platform's list, or a fixed endpoint if `is_fixed`.

    `arrivals`, `starts` and `successes` hold (seconds, message id) in order.
    """

    def __init__(
        self, ip: str, name: str, record: Record, *, slots: int, work_s: float, is_fixed: bool = False
    ) -> None:
        super().__init__(ip)
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.arrivals: list[tuple[float, str]] = []
        self.starts: list[tuple[float, str]] = []
        self.successes: list[tuple[float, str]] = []
        self._record = record
        self._is_fixed = is_fixed
        self._free = asyncio.Semaphore(slots)
        self._held = 0  # messages that run or wait for a slot
        self._numbers = itertools.count(1)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a message, or refuse it."""
        body = await request.read()
        if request.method == "GET":
            return web.Response(headers={"X-Instance-Id": self.name})
        message_id = request.headers.get("X-Attempt-Id", "")
        status = self._refusal(request, message_id)
        if status:
            headers = {"X-Not-Executed": "1"}
            if message_id:
                headers["X-Attempt-Id"] = message_id
            return web.Response(status=status, headers=headers)
        self.arrivals.append((self._record.now(), message_id))
        self._held += 1
        try:
            async with self._free:
                return await self._run(request, message_id, body)
        finally:
            self._held -= 1

    def _refusal(self, request: web.BaseRequest, message_id: str) -> int:
        """Return the status with which a message is refused, 0 if it is taken."""
        if not message_id:
            return 400
        if not self._is_fixed and request.headers.get("X-Target-Instance", self.name) != self.name:
            return 421
        return 503 if self._held >= self.slots + 8 else 0

    async def _run(self, request: web.BaseRequest, message_id: str, body: bytes) -> web.StreamResponse:
        self.starts.append((self._record.now(), message_id))
        key = request.headers.get("X-Ordering-Key", "-")
        self._record.write(f"{self.name} starts {message_id}, key {key}, {len(body)} bytes")
        await asyncio.sleep(self.work_s)
        self.successes.append((self._record.now(), message_id))
        self._record.write(f"{self.name} answers {message_id}: 200")
        signature = f"{self.name}.{next(self._numbers)}"
        return web.Response(headers={"X-Attempt-Id": message_id, "X-Server-Signature": signature})


class Clients:
    """Clients of the system: they send messages to the frontends in turn."""

    def __init__(self, session: aiohttp.ClientSession, frontends: list[str], record: Record) -> None:
        self._session = session
        self._frontends = itertools.cycle(frontends)
        self._record = record
        self._numbers = itertools.count(1)
        self.references: dict[str, str] = {}  # of the accepted messages, by id
        self.sent_at: dict[str, float] = {}
        self.accepted_at: dict[str, float] = {}

    async def send(
        self, host: str, path: str, body: bytes, headers: dict[str, str] | None = None, retries: int = 2
    ) -> tuple[str, int]:
        """Send one message, again under a new id after a promise; return its last id and status."""
        for _ in range(retries + 1):
            message_id = f"{next(self._numbers):016x}"
            self.sent_at[message_id] = self._record.now()
            status = await self._send_once(message_id, host, path, body, headers or {})
            if status not in RETRIED:
                return message_id, status
            await asyncio.sleep(0.3)
        return message_id, status

    async def _send_once(
        self, message_id: str, host: str, path: str, body: bytes, headers: dict[str, str]
    ) -> int:
        frontend = next(self._frontends)
        sent = {"Host": host, "X-Attempt-Id": message_id, "X-Deadline-Ms": "2000", **headers}
        try:
            async with self._session.post(f"http://{frontend}{path}", data=body, headers=sent) as response:
                await response.read()
                status, reference = response.status, response.headers.get("X-Message-Ref", message_id)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._record.write(f"client sends {message_id} to {host}{path}: {type(error).__name__}")
            return 0
        self._record.write(f"client sends {message_id} to {host}{path}: {status}")
        if status == 202:
            self.references[message_id] = reference
            self.accepted_at[message_id] = self._record.now()
        return status

    async def state(self, message_id: str, host: str) -> tuple[int, str]:
        """Ask for the state of an accepted message; return the status and the state."""
        path = f"/message/{self.references[message_id]}"
        status, text = await self._get(path, host)
        return status, json.loads(text)["state"] if status == 200 else ""

    async def body(self, message_id: str, host: str) -> tuple[int, bytes]:
        """Ask for the body of an accepted message; return the status and the bytes."""
        return await self._get(f"/message-body/{self.references[message_id]}", host)

    async def _get(self, path: str, host: str) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(total=2.0)
        url = f"http://{next(self._frontends)}{path}"
        try:
            async with self._session.get(url, headers={"Host": host}, timeout=timeout) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""


class Operator:
    """The operator: sends an order to one admin address after another until it gets a clear answer."""

    def __init__(self, session: aiohttp.ClientSession, admins: list[str], record: Record) -> None:
        self._session = session
        self._admins = itertools.cycle(admins)
        self._record = record

    async def order(self, method: str, if_match: int, content: dict[str, Any], within_s: float = 30.0) -> int:
        """Send a configuration and return the status of the clear answer, 0 if there is none in time."""
        headers = {"If-Match": str(if_match), "Content-Type": "application/json"}
        deadline = self._record.now() + within_s
        while self._record.now() < deadline:
            url = f"http://{next(self._admins)}/config"
            timeout = aiohttp.ClientTimeout(total=3.0)
            try:
                async with self._session.request(
                    method, url, data=json.dumps(content), headers=headers, timeout=timeout
                ) as response:
                    await response.read()
                    status = response.status
            except (aiohttp.ClientError, TimeoutError, OSError):
                status = 0
            if status and status < 500:
                self._record.write(f"operator: {method} of version {content['generation']}: {status}")
                return status
            await asyncio.sleep(0.2)
        self._record.write(f"operator: {method} of version {content['generation']}: no clear answer")
        return 0


def route(name: str, host: str, prefix: str, service: str, **changes: object) -> dict[str, Any]:
    """Return a route of a configuration."""
    values = {
        "name": name,
        "hostname": host,
        "pathPrefix": prefix,
        "type": "async",
        "timeoutMs": 2500,
        "targetLatencyMs": 120,
        "priority": 2,
        "upstream": service,
        "maxAttempts": 4,
        "ordered": False,
        "retentionS": 90.0,
        "callbackUrl": False,
        "targetStartMs": 2000,
    }
    return {**values, **changes}


def service(name: str, **changes: object) -> dict[str, Any]:
    """Return a service of a configuration."""
    values = {
        "name": name,
        "healthCheck": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "ratePerS": 0.0,
        "idempotent": False,
        "pull": False,
        "fixed": None,
    }
    return {**values, **changes}
