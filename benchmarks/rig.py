"""What the measurements share: the program in this process, a node list, and terminals in open loop."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hazelweir import Discovery, Effect, Group, JobClass, Limits, Settings, Via
from hollowusher.app import serve
from hollowusher.config import Config
from hollowusher.log import Log
from hollowusher.net.http2.settings import Http2Config

MS, S = 1_000_000, 1_000_000_000
_EFFECTS = {"eta-quote": Effect.SAFE, "assign-rider": Effect.KEYED, "settle-shift": Effect.UNSAFE}


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings_for(classes: Iterable[tuple[str, float, float]]) -> Settings:
    """The platform's settings for these classes: name, share, budget in seconds."""
    return Settings(
        classes=tuple(
            JobClass(name, 200 * MS, round(budget * S), effect=_EFFECTS[name], stretch=2.0,
                     group=Group.CELL, window_ns=7500 * MS if name == "assign-rider" else 0)
            for name, _, budget in classes
        ),
        zone="a", tick_ns=2 * MS, discovery=Discovery.ASK, readings=Via.ANSWERS, tells_start=True,
        progress_ns=2 * S, limits=Limits(True, True, True, True, 2 * S, 3),
    )


def node_rows(ports: Iterable[int]) -> list[dict[str, Any]]:
    """The node list's rows."""
    return [{"id": f"s-{n + 1:x}", "addr": f"127.0.0.1:{port}", "zone": "a", "kind": "k", "cell": 0,
             "state": "SERVING", "weight": 1.0, "started_ms": 0} for n, port in enumerate(ports)]


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
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def close(self) -> None:
        """End it."""
        if self._server is not None:
            self._server.close()


class Program:
    """One scheduler in this process, with its node list."""

    def __init__(self, settings: Settings, ports: list[int], http2: Http2Config, sockets: int = 1024) -> None:
        self._list = NodeList(node_rows(ports))
        self._settings, self._http2, self._sockets = settings, http2, sockets
        self.port = free_port()
        self._stop = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Program:
        """Start it."""
        await self._list.start()
        config = Config(
            "bench", ("127.0.0.1", self.port), ("127.0.0.1", self._list.port), 1, self._sockets,
            self._settings, {"x0": "free_slots"}, 0.25, 30.0, {}, http2=self._http2)
        self._task = asyncio.create_task(serve(config, Log("bench", per_s=0, burst=0), self._stop))
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop it in good order."""
        self._stop.set()
        if self._task is not None:
            await self._task
        await self._list.close()


@dataclass(frozen=True, slots=True)
class Answered:
    """One job's answer."""

    job: str
    status: int
    took_s: float
    budget_s: float


class Terminals:
    """Depot terminals in open loop: each job goes out at its time, whatever became of those before it."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: list[Answered] = []
        self.broken = 0  # jobs whose connection ended without an answer, or that got more than one

    async def ask(
        self, at: float, job: str, job_class: str, budget_s: float, body: bytes = b"p" * 200
    ) -> None:
        """One job at its time (the loop's clock); its time counts from then."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(at - loop.time())
        begun = time.monotonic()
        try:
            link = self._idle.pop() if self._idle else await asyncio.open_connection("127.0.0.1", self._port)
            reader, writer = link
            writer.write((
                f"POST /jobs/{job} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {job}\r\nX-Call-Class: {job_class}\r\n"
                f"X-Budget: {budget_s}\r\nIdempotency-Key: k{job}\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().partition("content-length: ")[2].partition("\r\n")[0])
            result = await reader.readexactly(length)
            status = int(head.split()[1])
            if status == 200 and result != f"r:{job}".encode():
                self.broken += 1  # another job's result, or half of one
            self.answers.append(Answered(job, status, time.monotonic() - begun, budget_s))
            if "connection: close" in head.lower():
                writer.close()
            else:
                self._idle.append(link)
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1
