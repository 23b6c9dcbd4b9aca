"""A route node that speaks HTTP/2 by prior knowledge and does as it is told: its limits, its GOAWAYs, its
faults.

Frames in the ordinary course are h2's.  What h2 would not let a server do (go on after a GOAWAY, flood,
break the protocol) is written frame by frame with hyperframe.  What the node ran it counts as soon as a
request is whole."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    RequestReceived,
    StreamEnded,
    StreamReset,
    WindowUpdated,
)
from h2.exceptions import H2Error, ProtocolError
from h2.settings import SettingCodes, Settings
from hyperframe.frame import Frame, GoAwayFrame

ALL_STREAMS = 2**31 - 1
_CONFIG = H2Configuration(
    client_side=False,
    validate_inbound_headers=False,
    validate_outbound_headers=False,
    normalize_outbound_headers=False,
    header_encoding=None,
)


@dataclass(slots=True)
class NodePlan:
    """What becomes of one job.  `how`: done, failed, returned, lost, refuse, reset, silent, half (a line
    cut in two, then RST_STREAM), short (END_STREAM before the last line), early (answered before the body
    has come), cut (the connection breaks), or a status such as 503.  `after`: what it waits for before its
    end."""

    how: str = "done"
    run_s: float = 0.0
    before: asyncio.Event | None = None  # awaited before anything of an answer goes out
    after: asyncio.Event | None = None
    result: str | None = None
    report: dict[str, float] | None = None
    report_in_trailers: bool = False
    interim: int = 0
    piece: int = 0  # bytes a DATA frame; 0: a line each


@dataclass(slots=True)
class NodeJob:
    """One request as the node sees it."""

    stream: int
    headers: dict[str, str]
    body: bytearray = field(default_factory=bytearray)
    task: asyncio.Task[None] | None = None
    plan: NodePlan = field(default_factory=NodePlan)

    @property
    def name(self) -> str:
        """The job's id."""
        return self.headers.get("x-call-id", "")


class NodeSession:
    """One connection of a scheduler."""

    def __init__(self, node: Http2Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.node, self._reader, self.writer = node, reader, writer
        self.conn = H2Connection(_CONFIG)
        self.jobs: dict[int, NodeJob] = {}
        self.last = ALL_STREAMS  # the last stream that is served here
        self.highest = 0
        self.served = 0
        self._opened = asyncio.Event()  # a window opened, perhaps
        self._calm = asyncio.Event()  # it reads only while this is set
        self._calm.set()

    async def serve(self) -> None:
        """Serve until the connection ends."""
        self.conn.local_settings = Settings(
            client=False,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: self.node.limit,
                SettingCodes.INITIAL_WINDOW_SIZE: self.node.window,
            },
        )
        self.conn.initiate_connection()
        self.flush()
        try:
            while data := await self._reader.read(65536):
                await self._calm.wait()
                for event in self.conn.receive_data(data):
                    self._reported(event)
                self.flush()
        except ProtocolError as wrong:
            self.node.violations.append(f"{type(wrong).__name__}: {wrong}")
            self.flush()
        except (ConnectionError, asyncio.IncompleteReadError, RuntimeError):
            pass
        finally:
            for job in self.jobs.values():
                if job.task is not None:
                    job.task.cancel()

    def flush(self) -> None:
        """Write what h2 has made."""
        if not self.writer.is_closing():
            self.writer.write(self.conn.data_to_send())

    def raw(self, *frames: Frame) -> None:
        """Write frames past h2, as no well-behaved server would."""
        self.flush()
        if not self.writer.is_closing():
            self.writer.write(b"".join(f.serialize() for f in frames))

    def goaway(self, last: int | None = None, code: int = 0) -> None:
        """Send GOAWAY; without `last`, with the highest stream that was taken.  2^31-1 only announces it."""
        last = self.highest if last is None else last
        if last != ALL_STREAMS:
            self.last = min(self.last, last)
        self.node.goaways += 1
        self.raw(GoAwayFrame(0, last_stream_id=last, error_code=code))

    def announce(self, limit: int | None = None, window: int | None = None) -> None:
        """Change the limits in mid-connection."""
        changes: dict[SettingCodes | int, int] = {}
        if limit is not None:
            changes[SettingCodes.MAX_CONCURRENT_STREAMS] = limit
        if window is not None:
            changes[SettingCodes.INITIAL_WINDOW_SIZE] = window
        self.conn.update_settings(changes)
        self.flush()

    def stop_reading(self) -> None:
        """Leave what comes in the socket."""
        self._calm.clear()

    def cut(self) -> None:
        """Break the connection as a dying process does."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def _reported(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            stream = event.stream_id or 0
            self.highest = max(self.highest, min(stream, self.last))
            headers = {k.decode(): v.decode() for k, v in event.headers or ()}
            if stream <= self.last:
                job = self.jobs[stream] = NodeJob(stream, headers)
                self.node.most_open = max(self.node.most_open, len(self.jobs))
                self.node.seen(job, self)
        elif isinstance(event, DataReceived):
            if (got := self.jobs.get(event.stream_id or 0)) is not None:
                got.body += event.data or b""
            if self.node.opens_windows and event.flow_controlled_length:
                self.conn.acknowledge_received_data(event.flow_controlled_length, event.stream_id or 0)
        elif isinstance(event, StreamEnded):
            if (complete := self.jobs.get(event.stream_id or 0)) is not None:
                self.served += 1
                complete.task = asyncio.get_running_loop().create_task(self.node.run(complete, self))
        elif isinstance(event, StreamReset):
            if (gone := self.jobs.pop(event.stream_id or 0, None)) is not None:
                self.node.withdrawn.append(gone.name)
                self.node.changed.set()
                if gone.task is not None:
                    gone.task.cancel()
        elif isinstance(event, WindowUpdated):
            self._opened.set()
        elif isinstance(event, ConnectionTerminated):
            self.node.partings += 1
            self.node.changed.set()

    # --- answers

    def head(self, job: NodeJob, status: str, *more: tuple[str, str], end: bool = False) -> None:
        """The answer's head."""
        headers = [(":status", status), *more]
        self.conn.send_headers(job.stream, headers, end_stream=end)
        self.flush()

    async def data(self, job: NodeJob, data: bytes, piece: int = 0, end: bool = False) -> None:
        """Some of the answer, within the windows."""
        rest = memoryview(data)
        while rest:
            capacity = min(self.conn.local_flow_control_window(job.stream), self.conn.max_outbound_frame_size)
            size = min(len(rest), capacity, piece or len(rest))
            if size <= 0:
                self._opened.clear()
                await self._opened.wait()
                continue
            self.conn.send_data(job.stream, bytes(rest[:size]), end_stream=end and size == len(rest))
            rest = rest[size:]
            self.flush()

    def over(self, job: NodeJob) -> None:
        """Nothing more is to be said of a job."""
        self.jobs.pop(job.stream, None)

    def reset(self, job: NodeJob, code: ErrorCodes) -> None:
        """RST_STREAM."""
        self.over(job)
        with contextlib.suppress(H2Error):
            self.conn.reset_stream(job.stream, code)
        self.flush()


class Http2Node:
    """A route node.  `plan` says of each job what becomes of it; `runs` counts by job id what it ran."""

    def __init__(
        self,
        plan: Callable[[NodeJob], NodePlan] = lambda job: NodePlan(),
        limit: int = 100,
        window: int = 65_535,
    ) -> None:
        self.plan, self.limit, self.window = plan, limit, window
        self.opens_windows = True
        self.port = 0
        self.accepted = self.goaways = self.partings = self.most_open = 0
        self.goaway_every = 0  # after so many jobs served on a connection; 0: never
        self.sessions: list[NodeSession] = []
        self.runs: Counter[str] = Counter()
        self.bodies: dict[str, bytes] = {}
        self.withdrawn: list[str] = []
        self.violations: list[str] = []
        self.changed = asyncio.Event()  # set at each step; a waiter clears it
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Die: all connections break, new ones are refused."""
        if self._server is not None:
            self._server.close()
        for session in list(self.sessions):
            session.cut()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        session = NodeSession(self, reader, writer)
        self.sessions.append(session)
        self.changed.set()
        try:
            await session.serve()
        finally:
            self.sessions.remove(session)
            self.changed.set()
            writer.close()

    def seen(self, job: NodeJob, session: NodeSession) -> None:
        """A request's head has come."""
        self.changed.set()
        job.plan = self.plan(job)
        if job.plan.how == "early":
            session.head(job, "503", ("x-rejected", "1"), end=True)

    def ran(self, job: NodeJob) -> None:
        """A job is being run."""
        self.runs[job.name] += 1
        self.bodies[job.name] = bytes(job.body)

    async def run(self, job: NodeJob, session: NodeSession) -> None:
        """Do as the plan says with a whole request."""
        if job.headers.get(":method") == "GET":
            session.head(job, "200")
            await session.data(job, b'{"x0":2}', end=True)
            session.over(job)
            return
        plan = job.plan
        if plan.how != "refuse":
            self.ran(job)
        self.changed.set()
        try:
            await self._answer(job, session, plan)
        except (H2Error, ConnectionError):
            session.over(job)  # withdrawn in the same moment
        if self.goaway_every and session.served >= self.goaway_every and session.last == ALL_STREAMS:
            session.goaway()

    async def _answer(self, job: NodeJob, session: NodeSession, plan: NodePlan) -> None:
        if plan.before is not None:
            await plan.before.wait()
        if plan.how == "refuse":
            session.reset(job, ErrorCodes.REFUSED_STREAM)
            return
        if plan.how == "reset":
            session.reset(job, ErrorCodes.INTERNAL_ERROR)
            return
        if plan.how == "cut":
            session.cut()
            return
        for _ in range(plan.interim):
            session.head(job, "103")
        if plan.how.isdigit():
            session.head(job, plan.how, ("x-rejected", "1"), end=True)
            session.over(job)
            return
        if plan.how == "silent":
            return
        announced = (("trailer", "x-load-report"),) if plan.report_in_trailers else ()
        session.head(job, "200", *announced)
        await session.data(job, self._line(job, "started"), plan.piece)
        if plan.run_s:
            await asyncio.sleep(plan.run_s)
        if plan.after is not None:
            await plan.after.wait()
        if plan.how == "short":
            session.conn.end_stream(job.stream)
            session.flush()
            session.over(job)
            return
        reported: dict[str, object] = {"result": plan.result if plan.result is not None else f"r:{job.name}"}
        if plan.report is not None and not plan.report_in_trailers:
            reported["load"] = plan.report
        line = self._line(job, "done" if plan.how == "half" else plan.how, **reported)
        if plan.how == "half":
            await session.data(job, line[: len(line) // 2], plan.piece)
            session.reset(job, ErrorCodes.CANCEL)
            return
        await session.data(job, line, plan.piece, end=not plan.report_in_trailers)
        if plan.report_in_trailers:
            session.conn.send_headers(
                job.stream, [("x-load-report", json.dumps(plan.report))], end_stream=True
            )
            session.flush()
        session.over(job)

    def _line(self, job: NodeJob, state: str, **more: object) -> bytes:
        return json.dumps({"id": job.name, "state": state, **more}).encode() + b"\n"
