"""Stand-ins on loopback: a node list service, route nodes and clients, just enough to show the rules."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import uvloop

from hollowusher.balancing import Discovery, Effect, Group, JobClass, Limits, Settings, Via
from hollowusher.scheduler.app import serve
from hollowusher.scheduler.config import SchedulerConfig, load
from hollowusher.scheduler.emulator.outside import free_port as free_port
from hollowusher.scheduler.fronts.stomp.settings import StompConfig, StompNode
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.http2.settings import Http2Config
from tests.support.balancer import MS, S

asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
PATIENCE_S = 10.0
T = TypeVar("T")
CLASSES = (
    JobClass("eta-quote", 200 * MS, 5 * S, 1.0, 0.2, 2.0, Effect.SAFE),
    JobClass("assign-rider", 200 * MS, 5 * S, 5.0, 0.2, 2.5, Effect.KEYED, Group.CELL, 7500 * MS),
    JobClass("settle-shift", 800 * MS, 20 * S, 3.0, 0.25, 2.0, Effect.UNSAFE),
)
SETTINGS = Settings(
    classes=CLASSES,
    zone="a",
    tick_ns=2 * MS,
    discovery=Discovery.ASK,
    readings=Via.ANSWERS,
    tells_start=True,
    progress_ns=2 * S,
    limits=Limits(True, True, True, True, 2 * S, 3),
)
MEANINGS = {"x0": "free_slots"}


def reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection as a dying process does."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class StandIn:
    """A server on loopback."""

    def __init__(self) -> None:
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.accepted = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, RuntimeError):  # it was closed
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            if not writer.is_closing():
                reset(writer)


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One HTTP message whose length is stated: first line, headers, body."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().rstrip().split("\r\n")
    headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class NodeList(StandIn):
    """The node list's service."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: list[dict[str, Any]] = []
        self.status = 200
        self.beats = True
        self.asked: asyncio.Queue[str] = asyncio.Queue()

    def add(self, name: str, port: int, state: str = "SERVING") -> None:
        self.rows.append(
            {
                "id": name,
                "addr": f"127.0.0.1:{port}",
                "zone": "a",
                "kind": "k",
                "cell": 0,
                "state": state,
                "weight": 1.0,
                "started_ms": 0,
            }
        )

    def tell(self, rows: list[dict[str, Any]], full: bool = False) -> None:
        for writer in self.writers:
            self._line(writer, json.dumps({"version": 2, "full": full, "servers": rows}))

    def _line(self, writer: asyncio.StreamWriter, text: str) -> None:
        data = text.encode() + b"\n"
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked.put_nowait((await read_http(reader))[0])
        if self.status != 200:
            writer.write(f"HTTP/1.1 {self.status} No\r\nContent-Length: 0\r\n\r\n".encode())
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._line(writer, json.dumps({"version": 1, "full": True, "servers": self.rows}))
        while self.beats:
            await asyncio.sleep(1.0)
            self._line(writer, "")
        await reader.read()


class HttpNode(StandIn):
    """A route node on the platform's HTTP.  `mode` says what becomes of a job."""

    def __init__(self, mode: str = "done") -> None:
        super().__init__()
        self.mode = mode
        self.runs: list[str] = []
        self.bodies: list[bytes] = []
        self.got: asyncio.Queue[str] = asyncio.Queue()
        self.ended: asyncio.Queue[str] = asyncio.Queue()  # attempts whose connection was closed
        self.go = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers, body = await read_http(reader)
            if first.startswith("GET"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + b'{"x0":2}')
                continue
            job = headers["x-call-id"]
            self.runs.append(job)
            self.bodies.append(body)
            self.got.put_nowait(job)
            if not await self._answer(reader, writer, job):
                return

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, job: str) -> bool:
        if self.mode in ("500", "503", "504"):
            rejected = "" if self.mode == "500" else "X-Rejected: 1\r\n"
            writer.write(f"HTTP/1.1 {self.mode} No\r\n{rejected}Content-Length: 0\r\n\r\n".encode())
            return True
        if self.mode == "reset":
            reset(writer)
            return False
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._line(writer, {"id": job, "state": "started"})
        if self.mode == "cut":
            return False
        if self.mode == "hold":
            waiting = asyncio.ensure_future(self.go.wait())
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({waiting, gone}, return_when=asyncio.FIRST_COMPLETED)
            if gone.done():
                waiting.cancel()
                self.ended.put_nowait(job)
                return False
            gone.cancel()
            await asyncio.wait({gone})
        state = "done" if self.mode in ("hold", "other") else self.mode
        name = "another" if self.mode == "other" else job
        self._line(writer, {"id": name, "state": state, "result": f"r:{job}", "load": {"x0": 2.0}})
        writer.write(b"0\r\n\r\n")
        return True

    def _line(self, writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
        data = json.dumps(told).encode() + b"\n"
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def post(job: str, job_class: str = "eta-quote", budget: str = "3", body: bytes = b"parcel") -> bytes:
    """A job as a client sends it by HTTP."""
    return (
        f"POST /jobs/x HTTP/1.1\r\nHost: h\r\nX-Call-Id: {job}\r\nX-Call-Class: {job_class}\r\n"
        f"X-Budget: {budget}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def stomp(command: str, body: bytes, /, **headers: str) -> bytes:
    """A STOMP frame; an underscore in a header's name stands for a hyphen."""
    lines = "".join(f"{k.replace('_', '-')}:{v}\n" for k, v in headers.items())
    return f"{command}\n{lines}\n".encode() + body + b"\0"


class Stomp:
    """One side of a STOMP connection, read by a few lines of its own."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer

    async def next(self) -> tuple[str, dict[str, str], bytes]:
        async with asyncio.timeout(PATIENCE_S):
            raw = (await self._reader.readuntil(b"\0"))[:-1].lstrip(b"\n")
        head, _, body = raw.partition(b"\n\n")
        command, *lines = head.decode().split("\n")
        pairs = (line.partition(":") for line in lines)
        return command, {k: v.replace("\\c", ":") for k, _, v in pairs}, body

    def put(self, command: str, body: bytes = b"", /, **headers: str) -> None:
        self.writer.write(stomp(command, body, **headers))

    def job(self, job: str, job_class: str = "settle-shift", body: bytes = b"pay", /, **headers: str) -> None:
        fields = {
            "destination": "/queue/jobs",
            "job_id": job,
            "job_class": job_class,
            "budget": "5",
            "receipt": f"taken-{job}",
            **headers,
        }
        self.writer.write(stomp("SEND", body, **fields))

    async def answer(self) -> tuple[str, str, bytes]:
        """The next answer, past the receipts: job, verdict, result."""
        while True:
            command, headers, body = await self.next()
            if command == "MESSAGE":
                return headers["job-id"], headers["verdict"], body
            assert command == "RECEIPT", (command, headers)

    def reset(self) -> None:
        reset(self.writer)


class StompNodeStandIn(StandIn):
    """A route node that speaks STOMP.  `mode` is the state it reports of a job, or hold, cut or silent."""

    def __init__(self, mode: str = "done") -> None:
        super().__init__()
        self.mode = mode
        self.runs: list[str] = []
        self.got: asyncio.Queue[dict[str, str]] = asyncio.Queue()
        self.withdrawn: asyncio.Queue[str] = asyncio.Queue()
        self.sessions: list[Stomp] = []
        self.ready = asyncio.Event()
        self.hello: dict[str, str] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = Stomp(reader, writer)
        self.sessions.append(session)
        while True:
            raw = (await reader.readuntil(b"\0"))[:-1].lstrip(b"\n")
            head, _, _ = raw.partition(b"\n\n")
            command, *lines = head.decode().split("\n")
            headers = {k: v for k, _, v in (line.partition(":") for line in lines)}
            if command == "CONNECT":
                session.put("CONNECTED", version="1.2", **self.hello)
            elif command == "SUBSCRIBE":
                self.ready.set()
            elif headers["destination"] == "/queue/load":
                self.report(probe=headers["probe"], load='{"x0"\\c2}')
            elif headers["destination"] == "/queue/withdrawn":
                self.withdrawn.put_nowait(headers["attempt"])
            else:
                self.take(headers)

    def take(self, headers: dict[str, str]) -> None:
        self.runs.append(headers["job-id"])
        self.got.put_nowait(headers)
        if self.mode == "cut":
            self.sessions[-1].reset()
            return
        if self.mode in ("hold", "silent"):
            return
        self.finish(headers, self.mode)

    def finish(self, headers: dict[str, str], state: str = "done") -> None:
        self.report(attempt=headers["attempt"], state="started")
        self.report(f"r:{headers['job-id']}".encode(), attempt=headers["attempt"], state=state)

    def report(self, body: bytes = b"", /, **headers: str) -> None:
        self.sessions[-1].put(
            "MESSAGE", body, subscription="reports", message_id="1", destination="/queue/reports", **headers
        )


class SocketCase(unittest.IsolatedAsyncioTestCase):
    """Runs the whole program on loopback with stand-ins."""

    http2 = Http2Config()
    settings = SETTINGS

    async def asyncSetUp(self) -> None:
        self.list = NodeList()
        await self.started(self.list)
        self.log = LogWriter("test", per_s=0, burst=0)

    async def started(self, *servers: StandIn) -> None:
        for server in servers:
            await server.start()
            self.addAsyncCleanup(server.close)

    async def run_program(
        self,
        *nodes: HttpNode,
        stomp_nodes: tuple[StompNodeStandIn, ...] = (),
        again: asyncio.Event | None = None,
        read: Callable[[], SchedulerConfig] = load,
        **stomp_config: Any,
    ) -> None:
        await self.started(*nodes, *stomp_nodes)
        for index, node in enumerate(nodes):
            self.list.add(f"s-{index + 1:x}", node.port)
        self.port, self.stomp_port = free_port(), free_port()
        listed = tuple(
            StompNode(f"stomp-{i}", ("127.0.0.1", n.port), "a", "k", 0, 1.0)
            for i, n in enumerate(stomp_nodes)
        )
        fields: dict[str, Any] = {"heart_beat_ms": 1000, **stomp_config}
        self.config = SchedulerConfig(
            "n0",
            ("127.0.0.1", self.port),
            ("127.0.0.1", self.list.port),
            1,
            512,
            self.settings,
            MEANINGS,
            0.25,
            30.0,
            {},
            None,
            StompConfig(True, ("127.0.0.1", self.stomp_port), nodes=listed, **fields),
            http2=self.http2,
        )
        self.stop = asyncio.Event()
        self.program = asyncio.create_task(serve(self.config, self.log, self.stop, again, read))
        self.addAsyncCleanup(self.end_program)
        await self.within(self.list.asked.get())
        for stomp_node in stomp_nodes:
            await self.within(stomp_node.ready.wait())

    async def end_program(self) -> None:
        self.program.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.program

    async def within(self, work: Awaitable[T]) -> T:
        async with asyncio.timeout(PATIENCE_S):
            return await work

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def ask(self, data: bytes) -> tuple[str, dict[str, str], bytes]:
        reader, writer = await self.client()
        writer.write(data)
        return await self.within(read_http(reader))

    async def stomp_client(self, login: str = "depot-1", subscribe: bool = True) -> Stomp:
        session = Stomp(*await asyncio.open_connection("127.0.0.1", self.stomp_port))
        self.addCleanup(session.writer.close)
        session.put("CONNECT", accept_version="1.2", host="h", login=login)
        assert (await session.next())[0] == "CONNECTED"
        if subscribe:
            session.put("SUBSCRIBE", id="a", destination="/queue/answers")
        return session
