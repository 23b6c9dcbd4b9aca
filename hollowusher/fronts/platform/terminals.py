"""Depot terminals over the platform's HTTP: one task a connection, one job at a time on it."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import Callable, Collection, Mapping

from hollowusher.core.model import Answer, DeskEvent, Job, JobTaken, TerminalGone, Verdict
from hollowusher.fronts.common import TRAVEL_NS
from hollowusher.fronts.platform.http import BadInput, Request, RequestReader, answer_head
from hollowusher.log import Log
from hollowusher.net.link import Link

IDLE_S = 300.0  # an idle connection is kept, since opening one costs the terminal time
SLOW_S = 10.0  # how long one request may take to come in
SEND_S = 10.0  # how long one answer may take to be read
DRAIN_LAST_S = 0.1
DRAIN_ACCEPT_S = 0.45  # new connections go on coming for a moment after a stop is asked for


def read_job(
    request: Request, classes: Collection[str], first_ns: int, now: int, answer_to: Callable[[Answer], None]
) -> Job:
    """The job that a request asks for; BadInput says what is wrong with it."""
    headers = request.headers
    if request.target.startswith("/-/"):
        raise BadInput(404, "no such page")
    if request.method != "POST":  # the path is the job's own: any that is not ours passes on
        raise BadInput(405, "jobs come by POST")
    job_id, job_class = headers.get("x-call-id", ""), headers.get("x-call-class", "")
    if not job_id:
        raise BadInput(400, "X-Call-Id is missing")
    if job_class not in classes:
        raise BadInput(400, "X-Call-Class is missing or unknown")
    left_s = _number(headers.get("x-budget", ""), "X-Budget")
    info = _figures(headers.get("x-call-info", ""))
    return Job(
        job_id, job_class, request.target, request.body, now,
        round(left_s * 1e9) - (now - first_ns) - TRAVEL_NS, answer_to,
        repeat_key=headers.get("idempotency-key", ""),
        slots=info.get("slots", 1.0), memory=info.get("memory", 0.0), retry=headers.get("x-again") == "1",
    )


def _number(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not (math.isfinite(value) and 0 <= value <= 86_400):
        raise BadInput(400, f"{what} is missing or no number of seconds")
    return value


def _figures(text: str) -> dict[str, float]:
    figures: dict[str, float] = {}
    for pair in text.split(",") if text else ():
        name, _, value = pair.partition("=")
        with contextlib.suppress(ValueError):
            if math.isfinite(number := float(value)) and number >= 0:
                figures[name.strip()] = number
    return figures


def write_answer(answer: Answer, close: bool) -> tuple[bytes, bytes]:
    """Head and body of a job's final answer."""
    match answer.verdict:
        case Verdict.SERVED:
            return answer_head(200, len(answer.result), close), answer.result
        case Verdict.REFUSED:
            wait = f"Retry-After: {answer.wait_ns / 1e9:.3f}\r\n" if answer.wait_ns > 0 else ""
            return answer_head(503, 0, close, wait), b""
        case Verdict.FAILED:
            return answer_head(502, 0, close), b""


class TerminalSession:
    """One connection of a depot terminal."""

    def __init__(self, front: PlatformTerminals, link: Link) -> None:
        self._front, self._link = front, link
        self._reader = RequestReader()
        self._filling: asyncio.Task[int] | None = None
        self._first_ns = self._came_ns = 0
        self.idle = True
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the connection until either side ends it."""
        try:
            while (request := await self._next()) is not None:
                if not await self._serve(request):
                    break
        except BadInput as bad:
            self._front.log.info("bad-input", bad.why, status=bad.status)
            with contextlib.suppress(OSError):
                await self._send(*_complaint(bad, close=True))
        except OSError:
            pass  # the terminal is gone, or reads nothing
        finally:
            if self._filling is not None:
                self._filling.cancel()
            self._link.close()
            self._front.ended(self)

    def retire(self) -> bool:
        """Close an idle connection: what its terminal writes across that, it sends again elsewhere.

        Not where a request has come already, read or not: to close then would lose it."""
        read = self._filling is not None and self._filling.done()
        if not self.idle or read or not self._link.fresh() or self.task is None:
            return False
        self.task.cancel()
        return True

    async def _next(self) -> Request | None:
        """The next whole request; None when the terminal has ended or stays idle for too long."""
        ready = self._reader.ready
        while not ready:
            if self._link.inbound.size == 0:
                self.idle = not self._reader.begun
                patience = IDLE_S if self.idle else SLOW_S - (time.monotonic_ns() - self._first_ns) / 1e9
                if not await self._fill(max(0.0, patience)):
                    return None
            if not self._reader.begun:
                self._first_ns = self._came_ns
            self.idle = False
            piece = self._link.inbound.pending()
            self._reader.feed(piece)
            self._link.inbound.taken(len(piece))
            if self._reader.expects:  # such a sender would hold the body back, and its time would run out
                self._reader.expects = False
                await self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return ready.popleft()

    async def _fill(self, patience: float) -> bool:
        """Whether more has come; BadInput where a request was begun and does not go on."""
        done, _ = await asyncio.wait({self._receiving()}, timeout=patience)
        if done:
            return self._received() > 0
        if self._reader.begun:
            raise BadInput(408, "the request did not come in time")
        return False

    def _receiving(self) -> asyncio.Task[int]:
        """The one receive under way: it goes on while a job runs, to notice that its terminal has gone."""
        if self._filling is None:
            self._filling = asyncio.create_task(self._link.fill())
        return self._filling

    def _received(self) -> int:
        # A request may come while the one before it is served: its time counts from now, not from its turn.
        filling, self._filling, self._came_ns = self._filling, None, time.monotonic_ns()
        return filling.result() if filling is not None else 0

    async def _serve(self, request: Request) -> bool:
        """Answer one request; whether the connection goes on."""
        keep = request.keep_alive
        if request.target == "/-/ready" and request.method == "GET":
            status = 503 if self._front.closing else 200
            await self._send(answer_head(status, 0, close=not keep))
            return keep
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def answer_to(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        try:
            now = time.monotonic_ns()
            job = read_job(request, self._front.classes, self._first_ns, now, answer_to)
        except BadInput as bad:
            self._front.log.info("bad-input", bad.why, status=bad.status)
            await self._send(*_complaint(bad, close=not keep))
            return keep
        self._front.post(JobTaken(job))
        answer = await self._wait(answered)
        if answer is None:
            self._front.post(TerminalGone(job))
            return False
        self._front.used(self)
        close = self._front.closing or not keep
        await self._send(*write_answer(answer, close))
        return not close

    async def _wait(self, answered: asyncio.Future[Answer]) -> Answer | None:
        """The job's answer, or None when its terminal goes first."""
        while not answered.done():
            waiting: set[asyncio.Future[Answer] | asyncio.Task[int]] = {answered}
            if self._link.inbound.room():
                waiting.add(self._receiving())
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if answered not in done and self._filling in done:
                try:
                    if self._received() == 0:
                        return None
                except OSError:
                    return None
        return answered.result()

    async def _send(self, *parts: bytes) -> None:
        async with asyncio.timeout(SEND_S):  # one that does not read holds up nobody but itself
            await self._link.send(*parts)


def _complaint(bad: BadInput, close: bool) -> tuple[bytes, bytes]:
    text = f"{bad.why}\n".encode()
    allow = "Allow: POST\r\n" if bad.status == 405 else ""
    return answer_head(bad.status, len(text), close, f"Content-Type: text/plain\r\n{allow}"), text


class PlatformTerminals:
    """Accepts depot terminals' connections and keeps their sessions."""

    def __init__(
        self, listener: socket.socket, classes: Mapping[str, object] | Collection[str], most: int,
        post: Callable[[DeskEvent], None], log: Log,
    ) -> None:
        self._listener, self._most = listener, most
        self.classes, self.post, self.log = classes, post, log
        self.closing = False
        self._sessions: dict[TerminalSession, None] = {}  # the longest idle first

    async def accept(self) -> None:
        """Accept until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except OSError as wrong:  # out of descriptors: those in use will come free
                self.log.error("accept-failed", str(wrong))
                await asyncio.sleep(0.05)
                continue
            self._admit(sock)

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if len(self._sessions) >= self._most:
            idle = next((s for s in self._sessions if s.retire()), None)
            if idle is None:
                self.log.warning("terminals-full", "no connection to spare for a terminal", most=self._most)
                sock.close()
                return
            self.ended(idle)
        session = TerminalSession(self, Link(sock))
        self._sessions[session] = None
        session.task = asyncio.create_task(session.run())

    def used(self, session: TerminalSession) -> None:
        """A session did some work, so it is the last to make room."""
        if self._sessions.pop(session, 0) is None:
            self._sessions[session] = None

    def ended(self, session: TerminalSession) -> None:
        """A session is over."""
        self._sessions.pop(session, None)

    async def drain(self, accepting: asyncio.Task[None]) -> None:
        """Take what still comes for a moment, then no more; return when all that was taken is answered."""
        self.closing = True
        await asyncio.sleep(DRAIN_ACCEPT_S)
        accepting.cancel()
        with contextlib.suppress(BlockingIOError):
            while True:  # those that the kernel has accepted for us are ours
                self._admit(self._listener.accept()[0])
        self._listener.close()
        await asyncio.sleep(DRAIN_LAST_S)  # what is written on the last of them is read first
        for session in list(self._sessions):
            session.retire()
        while tasks := [s.task for s in self._sessions if s.task is not None]:
            await asyncio.wait(tasks)
