"""Clients over the platform's HTTP: one task a connection, one job at a time on it."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from hollowusher.balancing.interface import Effect, JobClass
from hollowusher.scheduler.dispatch.metrics import SchedulerMetrics
from hollowusher.scheduler.dispatch.model import (
    ClientJob,
    ClientLeft,
    DispatchEvent,
    JobAnswerBody,
    JobTaken,
    Verdict,
)
from hollowusher.scheduler.fronts.common import (
    FIRST_S,
    MOST_NAME,
    REQUEST_S,
    TRAVEL_NS,
    JobIds,
    printable,
    read_budget_ns,
)
from hollowusher.scheduler.fronts.platform.http import BadInput, HttpRequest, RequestReader, answer_head
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import BACKLOG, Link
from hollowusher.scheduler.net.ring import MOST_BYTES

IDLE_S = 300.0  # an idle connection is kept, since opening one costs the client time
SEND_S = 10.0  # how long one answer may take to be read
LINGER_S = 1.0  # how long a client that sent something bad may take to read what is wrong with it
YOUNG_S = 0.25  # a connection that has said nothing for longer is the first to make room
MOST_FIGURE = 1e6  # for one of X-Call-Info: larger ones would swamp what the module knows of a node
DRAIN_LAST_S = 0.1
DRAIN_SERVE_PART, DRAIN_SPARE_S = 0.486, 0.3  # of the time to the kill; and what is left of it at the end
MOST_AWAITED_NS, KILL_AFTER_S = 3_000_000_000, 0.7


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """What a stop leaves time for.  The platform kills no sooner than the longest deadline, or 3 s if that is
    longer, and 0.7 s after it asks to stop."""

    serve_s: float  # clients are served on: the others may be away as well
    answer_s: float  # by when what is taken meanwhile has its answer
    linger_s: float  # the longest of a lingering close

    @classmethod
    def of(cls, classes: Iterable[JobClass]) -> DrainTimes:
        """By the settings."""
        longest_ns = max((c.deadline_ns for c in classes), default=MOST_AWAITED_NS)
        killed_s = min(longest_ns, MOST_AWAITED_NS) / 1e9 + KILL_AFTER_S
        return cls(DRAIN_SERVE_PART * killed_s, killed_s - DRAIN_SPARE_S, DRAIN_SPARE_S - 0.05)


async def _first(*waited: asyncio.Future[Any], timeout: float | None = None) -> None:
    """Wait until one of them is done, or for so long."""
    await asyncio.wait(waited, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)


def read_job(
    request: HttpRequest,
    classes: Mapping[str, JobClass],
    now: int,
    answer_to: Callable[[JobAnswerBody], None],
    last_ns: int | None = None,
) -> ClientJob:
    """The job that a request asks for; BadInput says what is wrong with it.

    Nothing that fails here reaches a node: one would turn it away, or close on it and on what else waits."""
    headers = request.headers
    if request.target.startswith("/-/"):
        raise BadInput(404, "no such page")
    if request.method != "POST":  # the path is the job's own: any that is not ours passes on
        raise BadInput(405, "jobs come by POST")
    job_id, job_class = headers.get("x-call-id", ""), headers.get("x-call-class", "")
    if not job_id or not printable(job_id):
        raise BadInput(400, "X-Call-Id is missing or cannot be one")
    if job_class not in classes:
        raise BadInput(400, "X-Call-Class is missing or unknown")
    left_ns = read_budget_ns(headers.get("x-budget", ""))
    if left_ns is None:
        raise BadInput(400, "X-Budget is missing or no number of seconds")
    repeat_key = headers.get("idempotency-key", "")
    if not printable(repeat_key) or (not repeat_key and classes[job_class].effect is Effect.KEYED):
        raise BadInput(400, "Idempotency-Key is missing or cannot be one")
    info = _figures(headers.get("x-call-info", ""))
    cost_us = headers.get("x-call-cost", "")  # a guess: one that cannot be read is none, and costs no job
    hint_ns = int(cost_us) * 1_000 if cost_us.isascii() and cost_us.isdigit() and len(cost_us) < 12 else 0
    left_ns -= now - request.came_ns + TRAVEL_NS
    if last_ns is not None:
        left_ns = min(left_ns, last_ns - now)
    return ClientJob(
        job_id,
        job_class,
        request.target,
        request.body,
        now,
        left_ns,
        answer_to,
        repeat_key=repeat_key,
        tenant=headers.get("x-caller", "")[:MOST_NAME],
        hint_ns=hint_ns,
        slots=info.get("slots", 1.0),
        memory=info.get("memory", 0.0),
        retry=headers.get("x-again") == "1",
    )


def _figures(text: str) -> dict[str, float]:
    figures: dict[str, float] = {}
    for pair in text.split(",") if text else ():
        name, _, value = pair.partition("=")
        with contextlib.suppress(ValueError):
            if math.isfinite(number := float(value)) and number >= 0:
                if number > MOST_FIGURE:
                    raise BadInput(400, "a figure of X-Call-Info is too large")
                figures[name.strip()] = number
    return figures


def write_answer(answer: JobAnswerBody, close: bool) -> tuple[bytes, bytes]:
    """Head and body of a job's final answer."""
    match answer.verdict:
        case Verdict.SERVED:
            return answer_head(200, len(answer.result), close), answer.result
        case Verdict.REFUSED:
            wait = f"Retry-After: {answer.wait_ns / 1e9:.3f}\r\n" if answer.wait_ns > 0 else ""
            return answer_head(503, 0, close, wait), b""
        case Verdict.FAILED:
            return answer_head(502, 0, close), b""


class RequestStage(IntEnum):
    """Where a connection stands.  The lower, the sooner it makes room for another."""

    LEAVING = 0  # it has been told what was wrong with what it sent
    SILENT = 1  # nothing has come since its accept, for longer than a client takes
    IDLE = 2  # between two requests: what crosses our close, its client sends again elsewhere
    YOUNG = 3  # nothing has come yet
    SLOW = 4  # a request has come in part
    BUSY = 5  # it is owed an answer


class HttpClientSession:
    """One connection of a client."""

    def __init__(self, front: PlatformClients, link: Link) -> None:
        self._front, self._link = front, link
        self._reader = RequestReader()
        self._filling: asyncio.Task[int] | None = None
        self._accepted_ns = self._came_ns = time.monotonic_ns()
        self._known = False  # whether a whole request has come on it
        self._stage = RequestStage.YOUNG
        self._over: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # ask to end when idle
        self._overrun = False  # more has come behind a request under way than is kept
        self._gone = False  # the client has ended the connection, or it broke
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the connection until either side ends it."""
        try:
            while (request := await self._next()) is not None:
                if not await self._serve(request):
                    break
            await self._part()
        except BadInput as bad:
            self._front.log.info("bad-input", bad.why, status=bad.status)
            with contextlib.suppress(OSError):
                await self._complain(bad)
                await self._part()
        except OSError:
            pass  # the client is gone, or reads nothing
        finally:
            if self._filling is not None:
                self._filling.cancel()
            self._link.close()
            self._front.ended(self)

    async def _part(self) -> None:
        """The lingering close.  What is received from here on is a request that crossed our end: its client
        sends it again elsewhere."""
        if self._gone:
            return
        self._stage = RequestStage.LEAVING
        self._link.half_close()
        if self._filling is not None:
            self._filling.cancel()
            await asyncio.wait({self._filling})
        await self._link.linger(self._front.linger_s)

    def end(self) -> None:
        """End the connection as soon as nothing is owed on it."""
        if not self._over.done():
            self._over.set_result(None)

    def stage(self) -> RequestStage:
        """Where it stands; one on which something waits to be read is busy, whatever is known of it."""
        if self._stage in (RequestStage.YOUNG, RequestStage.IDLE):
            come = self._filling is not None and self._filling.done()
            if come or not self._link.fresh():
                return RequestStage.BUSY
            if self._stage is RequestStage.YOUNG and time.monotonic_ns() - self._accepted_ns > YOUNG_S * 1e9:
                return RequestStage.SILENT
        return self._stage

    def evict(self, most: RequestStage = RequestStage.IDLE) -> bool:
        """Close, if it stands no higher than this.

        A connection on which a request has come, read or not, stands higher: to close it would lose that."""
        if self.task is None or self.task.done() or self.stage() > most:
            return False
        self.task.cancel()
        return True

    async def _next(self) -> HttpRequest | None:
        """The next whole request; None when the client has ended or stays idle for too long."""
        ready = self._reader.ready
        while not ready:
            if self._link.inbound.size == 0:
                if self._overrun:  # what was dropped never ran: to ask again is harmless
                    raise BadInput(503, "too much came at once; the rest was not taken")
                if not await self._fill():
                    return None
            self._feed()
            if self._reader.expects:  # such a sender would hold the body back, and its time would run out
                self._reader.expects = False
                await self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._known, self._stage = True, RequestStage.BUSY
        return ready.popleft()

    def _feed(self) -> None:
        piece = self._link.inbound.pending()
        self._reader.feed(piece, self._came_ns)
        self._link.inbound.taken(len(piece))

    async def _fill(self) -> bool:
        """Whether more has come; BadInput where a request was begun and does not go on.

        One that has begun nothing is closed without a word, unless something comes at the last moment."""
        reader = self._reader
        if reader.begun:
            self._stage, since_ns, most_s = RequestStage.SLOW, reader.begun_ns, REQUEST_S
        elif self._known:
            self._stage, since_ns, most_s = RequestStage.IDLE, time.monotonic_ns(), IDLE_S
        else:
            self._stage, since_ns, most_s = RequestStage.YOUNG, self._accepted_ns, FIRST_S
        patience = max(0.0, most_s - (time.monotonic_ns() - since_ns) / 1e9)
        receiving = self._receiving()
        ends: set[asyncio.Future[None]] = set() if reader.begun else {self._over}
        await _first(receiving, *ends, timeout=patience)
        if not receiving.done() and not reader.begun and not self._link.fresh():
            await asyncio.wait({receiving}, timeout=REQUEST_S)
        if receiving.done():
            return self._received()
        if reader.begun:
            raise BadInput(408, "the request did not come in time")
        return False

    def _receiving(self) -> asyncio.Task[int]:
        """The one receive under way: it goes on while a job runs, to notice that its client has gone.
        Where more comes than is kept, the rest is dropped, and the connection ends after what is kept."""
        if self._filling is None:
            self._overrun = self._overrun or not self._link.inbound.writable()
            receive = self._link.skip if self._overrun else self._link.fill
            self._filling = asyncio.create_task(receive())
        return self._filling

    def _received(self) -> bool:
        """Whether the receive under way has brought something; if not, or with an OSError, they have gone.

        A request may come while the one before it is served: its time counts from now, not from its turn, and
        that of one behind it from when the first of what is held came."""
        filling, self._filling, self._gone = self._filling, None, True
        assert filling is not None
        count = filling.result()
        if not self._overrun and self._link.inbound.size <= count:
            self._came_ns = time.monotonic_ns()
        self._gone = count == 0
        return not self._gone

    def gone(self) -> bool:
        """Whether the client can be seen to have left; asked right before its job's first byte goes out."""
        return self._gone or self._link.ended()

    async def _serve(self, request: HttpRequest) -> bool:
        """Answer one request; whether the connection goes on."""
        keep = request.keep_alive
        if request.target == "/-/ready" and request.method == "GET":
            status = 200 if self._front.ready else 503
            await self._send(answer_head(status, 0, close=not keep))
            return keep
        answered: asyncio.Future[JobAnswerBody] = asyncio.get_running_loop().create_future()

        def answer_to(answer: JobAnswerBody) -> None:
            if not answered.done():
                answered.set_result(answer)

        job = read_job(
            request, self._front.classes, time.monotonic_ns(), answer_to, self._front.last_answer_ns
        )
        job.gone = self.gone
        self._front.figures.in_flight += 1
        try:
            answer = await self._run(job, answered)
            if answer is None:
                return False
            self._front.used(self)
            close = self._front.closing or not keep
            await self._send(*write_answer(answer, close))
            self._front.figures.answered(job.job_class, answer.verdict)
            return not close
        finally:
            self._front.figures.in_flight -= 1

    async def _run(self, job: ClientJob, answered: asyncio.Future[JobAnswerBody]) -> JobAnswerBody | None:
        """Hand the desk a job; its answer, or None when its client goes first."""
        kept = self._front.copied(job)  # such a job may come again, and is known by its id
        if not kept and not self._front.ids.claim(job.job_id):
            self._front.figures.answered(job.job_class, Verdict.FAILED)
            raise BadInput(409, "another request has or had this X-Call-Id")
        try:
            self._front.post(JobTaken(job))
            return await self._wait(answered)
        finally:
            if not kept:
                self._front.ids.free(job.job_id)
            if not answered.done():  # its client has gone, or its next bytes show that it was no job
                self._front.post(ClientLeft(job))

    async def _wait(self, answered: asyncio.Future[JobAnswerBody]) -> JobAnswerBody | None:
        """The job's answer, or None when its client goes first.

        What comes meanwhile is received at once, however much it is: behind it stands the client's end.
        Bytes that are no request show that the length of the one before was wrong: it is no job either."""
        while not answered.done():
            await _first(answered, self._receiving())
            if not answered.done():
                with contextlib.suppress(OSError):
                    self._received()
                if self._gone or (self._overrun and self._link.ended()):
                    return None
                while self._link.inbound.size and not self._reader.ready:
                    self._feed()
        return answered.result()

    async def _complain(self, bad: BadInput) -> None:
        """Say what is wrong and end the connection so that it is read: its next bytes cannot be trusted."""
        self._stage = RequestStage.LEAVING
        text = f"{bad.why}\n".encode()
        allow = "Allow: POST\r\n" if bad.status == 405 else ""
        await self._send(
            answer_head(bad.status, len(text), True, f"Content-Type: text/plain\r\n{allow}"), text
        )

    async def _send(self, *parts: bytes) -> None:
        async with asyncio.timeout(SEND_S):  # one that does not read holds up nobody but itself
            await self._link.send(*parts)


class PlatformClients:
    """Accepts clients' connections and keeps their sessions."""

    def __init__(
        self,
        listener: socket.socket,
        classes: Mapping[str, JobClass],
        most: int,
        ids: JobIds,
        post: Callable[[DispatchEvent], None],
        log: LogWriter,
        ring: int = MOST_BYTES,
        figures: SchedulerMetrics | None = None,
    ) -> None:
        """The listener is bound; clients can connect once it listens."""
        self.figures = figures or SchedulerMetrics(classes)
        self.replaced = asyncio.Event()  # while another process of this scheduler serves
        self._listener, self._most, self.ids, self._ring = listener, most, ids, ring
        self.classes, self.post, self.log = classes, post, log
        self.copied: Callable[[ClientJob], bool] = lambda job: False  # whether others hold it as well
        self.accepts = True  # whether `accept` goes on
        self.closing = False  # whether connections end after the answer that is due on them
        self.last_answer_ns: int | None = None  # once a stop is asked for: by when what is taken is answered
        self.drain_times, self.linger_s = DrainTimes.of(classes.values()), LINGER_S
        self._sessions: dict[HttpClientSession, None] = {}  # the longest idle first

    @property
    def ready(self) -> bool:
        """Whether this scheduler takes clients, be it by another of its processes."""
        return self.last_answer_ns is None or self.replaced.is_set()

    def follow(self, classes: Mapping[str, JobClass]) -> None:
        """These classes are taken from now on; jobs that are open keep theirs."""
        self.classes, self.drain_times = classes, DrainTimes.of(classes.values())
        self.figures.add_classes(classes)

    def limit(self, most: int) -> None:
        """Hold no more connections than so many from now on, as far as some can be spared."""
        self._most = most
        while len(self._sessions) > most and self._free_connection():
            pass

    def listen(self) -> None:
        """Let clients connect from now on."""
        self._listener.listen(BACKLOG)

    async def accept(self) -> None:
        """Accept until cancelled, or as long as `accepts` holds."""
        loop = asyncio.get_running_loop()
        while self.accepts:
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except OSError as wrong:  # out of descriptors: those in use will come free
                self.log.error("accept-failed", str(wrong))
                self._free_connection()
                await asyncio.sleep(0.05)
                continue
            self._admit(sock)

    async def _stop_listening(self, accepting: asyncio.Task[None]) -> None:
        """Accept what the kernel has for us and close the listener.

        A cancelled `sock_accept` would drop a connection that it has accepted in the same turn of the loop:
        so nothing new is accepted first, and what has been is handed on within one turn."""
        self.accepts = False
        asyncio.get_running_loop().remove_reader(self._listener)
        await asyncio.sleep(0)
        accepting.cancel()
        with contextlib.suppress(BlockingIOError):
            while True:  # those that the kernel has accepted for us are ours
                self._admit(self._listener.accept()[0])
        self._listener.close()

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        if len(self._sessions) >= self._most and not self._free_connection():
            self.log.warning("clients-full", "no connection to spare for a client", most=self._most)
            sock.close()
            return
        session = HttpClientSession(self, Link(sock, self._ring))
        self._sessions[session] = None
        session.task = asyncio.create_task(session.run())

    def _free_connection(self) -> bool:
        """Close the connection that can best be spared, of several the longest idle; whether there was one.

        Hundreds that say nothing must not shut out those who have a job: a young one gives way only when
        nothing else does, since its first request may be on its way."""
        least, spared = RequestStage.BUSY, None
        for session in self._sessions:
            if (stage := session.stage()) < least:
                least, spared = stage, session
                if stage <= RequestStage.SILENT:
                    break
        if spared is None or not spared.evict(least):
            return False
        self.ended(spared)
        return True

    def used(self, session: HttpClientSession) -> None:
        """A session did some work, so it is the last to make room."""
        if self._sessions.pop(session, 0) is None:
            self._sessions[session] = None

    def ended(self, session: HttpClientSession) -> None:
        """A session is over."""
        self._sessions.pop(session, None)

    async def drain(self, accepting: asyncio.Task[None]) -> None:
        """Serve on for a moment, then take no more; return when all that was taken is answered.

        Clients go on using their connections for as long as these stay open.  Closed at once, they would
        have nowhere to go while the scheduler that was restarted before this one is not yet back.  Where
        another process has taken over, new connections are all its own, and what is idle stays open for as
        long, so that no request crosses a close."""
        times, loop = self.drain_times, asyncio.get_running_loop()
        self.last_answer_ns = time.monotonic_ns() + round(times.answer_s * 1e9)
        serves_until = loop.time() + times.serve_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(times.serve_s):
                await self.replaced.wait()
        self.closing, self.linger_s = True, times.linger_s
        await self._stop_listening(accepting)
        # What is written on the last of them is read first.
        await asyncio.sleep(max(DRAIN_LAST_S, serves_until - loop.time()))
        for session in self._sessions:
            session.end()
        while tasks := [s.task for s in self._sessions if s.task is not None]:
            await asyncio.wait(tasks)
