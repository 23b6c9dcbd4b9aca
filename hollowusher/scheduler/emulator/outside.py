"""What stands around the program: the node list's service, and clients in open loop."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

PORTS = range(12_000, 32_000)  # below those that the kernel gives to whoever connects
CLAIMS = "127.0.0.77"  # a port bound here is claimed, so that plays side by side choose different ones
_claimed: list[socket.socket] = []


def platform_settings(grades: Sequence[Mapping[str, Any]], **changes: Any) -> dict[str, Any]:
    """The settings that the platform writes for these classes, with some changed."""
    return {
        "grades": list(grades),
        "fleet_size": 1,
        "me": 0,
        "discovery": "ask",
        "granularity_ns": 2_000_000,
        "caps": {
            "cancel": True,
            "probes": True,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_ns": 2_000_000_000,
            "max_attempts": 3,
            "connect_timeout_ns": 250_000_000,
            "idle_close_ns": 30_000_000_000,
        },
        "contract": {
            "drain_grace_ns": 250_000_000,
            "fall_multiple": 2.5,
            "tip_after_ns": 1_000_000_000,
            "cold_share": 0.12,
            "warm_after_ns": 24_000_000_000,
            "must_ask_in_ns": 10_000_000_000,
        },
        **changes,
    }


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that nobody hears on, and that no play has been given."""
    while True:
        port = random.SystemRandom().choice(PORTS)
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((CLAIMS, port))
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind(("127.0.0.1", port))
            _claimed.append(claim)  # for as long as this process runs
            return port
        except OSError:
            claim.close()


def node_rows(ports: Iterable[int]) -> list[dict[str, Any]]:
    """The node list's rows."""
    return [
        {
            "id": f"s-{n + 1:x}",
            "addr": f"127.0.0.1:{port}",
            "zone": "a",
            "kind": "k",
            "cell": 0,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n, port in enumerate(ports)
    ]


class NodeList:
    """The node list's service."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self._rows = rows
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps({"version": 1, "full": True, "servers": self._rows}).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                line = b"\n"
                await asyncio.sleep(1.0)
        except (OSError, RuntimeError, asyncio.IncompleteReadError, asyncio.CancelledError):  # it is over
            writer.close()

    async def close(self) -> None:
        """End it."""
        if self._server is not None:
            self._server.close()


@dataclass(frozen=True, slots=True)
class ClientResult:
    """One job's answer."""

    job: str
    status: int
    took_s: float
    budget_s: float


MARK = "X-Again: 1\r\n"  # a client that has asked for this before
LATE_S = 0.5  # after its time an answer may still come, as the platform counts


class OpenLoopClients:
    """clients in open loop: each job goes out at its time, whatever became of those before it."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: list[ClientResult] = []
        self.broken = 0  # jobs whose connection ended without an answer, or that got more than one

    async def ask(
        self,
        at: float,
        job: str,
        job_class: str,
        budget_s: float,
        body: bytes = b"p" * 200,
        again: bool = False,
    ) -> str:
        """One job at its time (the loop's clock); its time counts from then.  How it ended, in a word."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(at - loop.time())
        begun = time.monotonic()
        try:
            link = self._idle.pop() if self._idle else await asyncio.open_connection("127.0.0.1", self._port)
            reader, writer = link
            writer.write(
                (
                    f"POST /jobs/{job} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {job}\r\n"
                    f"X-Call-Class: {job_class}\r\n"
                    f"X-Budget: {budget_s:.3f}\r\n{MARK if again else ''}Idempotency-Key: k{job}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                ).encode()
                + body
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().partition("content-length: ")[2].partition("\r\n")[0])
            result = await reader.readexactly(length)
            status = int(head.split()[1])
            if status == 200 and result != f"r:{job}".encode():
                self.broken += 1  # another job's result, or half of one
                return "wrong"
            took = time.monotonic() - begun
            self.answers.append(ClientResult(job, status, took, budget_s))
            if "connection: close" in head.lower():
                writer.close()
            else:
                self._idle.append(link)
            if took > budget_s + LATE_S:
                return "late"
            return {200: "served", 503: "refused"}.get(status, "failed")
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1
            return "broken"

    def forget(self) -> None:
        """The scheduler was started anew: what was open to it leads nowhere."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()
