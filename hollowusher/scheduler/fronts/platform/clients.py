"""HTTP/1.1 server for the platform's clients: one task per connection, one job at a time on each."""

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
    FIRST_REQUEST_TIMEOUT_S,
    MAX_ID_LENGTH,
    NETWORK_DELAY_NS,
    REQUEST_TIMEOUT_S,
    JobIds,
    printable,
    read_budget_ns,
)
from hollowusher.scheduler.fronts.platform.http import BadInput, HttpRequest, RequestReader, answer_head
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import BACKLOG, Link
from hollowusher.scheduler.net.ring import MOST_BYTES

IDLE_TIMEOUT_S = 300.0  # connections stay open this long, as opening a new one costs the client time
SEND_TIMEOUT_S = 10.0  # timeout for writing one response to a client that reads slowly
LINGER_S = 1.0  # longest lingering close: a client that sent a bad request may read the error meanwhile
NEW_CONNECTION_GRACE_S = 0.25  # a new connection without any data for longer is evicted first
MAX_INFO_VALUE = 1e6  # limit of a number in X-Call-Info: a larger one would dominate a node's load estimate
MIN_DRAIN_READ_S = 0.1  # minimum time between closing the listener and closing idle connections
# Share of the time until the kill in which new requests are accepted, and reserve at the end of that time.
DRAIN_SERVE_FRACTION, DRAIN_RESERVE_S = 0.486, 0.3
# After the stop signal, the platform waits for the longest deadline, but at most for MAX_AWAITED_NS, and for
# another KILL_AFTER_S.  It does not kill the process earlier.
MAX_AWAITED_NS, KILL_AFTER_S = 3_000_000_000, 0.7


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Time limits of a graceful shutdown, in seconds from the stop signal.

    The platform kills the process no sooner than 0.7 s after the longest deadline of a job class.  A longest
    deadline above 3 s counts as 3 s."""

    serve_s: float  # new requests are accepted for this long, since the other schedulers may be down
    answer_s: float  # every accepted job has its response by this time
    linger_s: float  # longest lingering close during the shutdown

    @classmethod
    def of(cls, classes: Iterable[JobClass]) -> DrainTimes:
        """Compute the limits from the deadlines of the job classes."""
        longest_ns = max((c.deadline_ns for c in classes), default=MAX_AWAITED_NS)
        killed_s = min(longest_ns, MAX_AWAITED_NS) / 1e9 + KILL_AFTER_S
        return cls(DRAIN_SERVE_FRACTION * killed_s, killed_s - DRAIN_RESERVE_S, DRAIN_RESERVE_S - 0.05)


async def _wait_for_first(*waited: asyncio.Future[Any], timeout: float | None = None) -> None:
    """Wait until one of the futures is done or `timeout` seconds have passed."""
    await asyncio.wait(waited, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)


def read_job(
    request: HttpRequest,
    classes: Mapping[str, JobClass],
    now: int,
    answer_to: Callable[[JobAnswerBody], None],
    last_ns: int | None = None,
) -> ClientJob:
    """Validate a request and convert it into a job.

    `now` is the monotonic time and `last_ns`, if set, the latest time for the response, both in nanoseconds.
    Raises BadInput if the request is invalid.  Invalid requests must not reach a node: it would reject them
    or close the connection."""
    headers = request.headers
    if request.target.startswith("/-/"):
        raise BadInput(404, "page not found")
    if request.method != "POST":  # the path belongs to the job: every path outside /-/ is forwarded
        raise BadInput(405, "jobs must be sent with POST")
    job_id, job_class = headers.get("x-call-id", ""), headers.get("x-call-class", "")
    if not job_id or not printable(job_id):
        raise BadInput(400, "X-Call-Id is missing or invalid")
    if job_class not in classes:
        raise BadInput(400, "X-Call-Class is missing or unknown")
    left_ns = read_budget_ns(headers.get("x-budget", ""))
    if left_ns is None:
        raise BadInput(400, "X-Budget is missing or not a number of seconds")
    repeat_key = headers.get("idempotency-key", "")
    if not printable(repeat_key) or (not repeat_key and classes[job_class].effect is Effect.KEYED):
        raise BadInput(400, "Idempotency-Key is missing or invalid")
    info = _parse_info(headers.get("x-call-info", ""))
    cost_us = headers.get("x-call-cost", "")  # only an estimate, so a malformed value is ignored
    hint_ns = int(cost_us) * 1_000 if cost_us.isascii() and cost_us.isdigit() and len(cost_us) < 12 else 0
    left_ns -= now - request.arrived_ns + NETWORK_DELAY_NS
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
        tenant=headers.get("x-caller", "")[:MAX_ID_LENGTH],
        hint_ns=hint_ns,
        slots=info.get("slots", 1.0),
        memory=info.get("memory", 0.0),
        retry=headers.get("x-again") == "1",
    )


def _parse_info(text: str) -> dict[str, float]:
    figures: dict[str, float] = {}
    for pair in text.split(",") if text else ():
        name, _, value = pair.partition("=")
        with contextlib.suppress(ValueError):
            if math.isfinite(number := float(value)) and number >= 0:
                if number > MAX_INFO_VALUE:
                    raise BadInput(400, "a number in X-Call-Info is too large")
                figures[name.strip()] = number
    return figures


def write_answer(answer: JobAnswerBody, close: bool) -> tuple[bytes, bytes]:
    """Return the head and the body of the HTTP response to a job."""
    match answer.verdict:
        case Verdict.SERVED:
            return answer_head(200, len(answer.result), close), answer.result
        case Verdict.REFUSED:
            wait = f"Retry-After: {answer.wait_ns / 1e9:.3f}\r\n" if answer.wait_ns > 0 else ""
            return answer_head(503, 0, close, wait), b""
        case Verdict.FAILED:
            return answer_head(502, 0, close), b""


class ConnectionStage(IntEnum):
    """The stage of a client connection.  Connections with a lower value are evicted first."""

    CLOSING = 0  # the connection is being closed, after an error response or an end by either side
    SILENT = 1  # no byte has arrived since the accept, for longer than NEW_CONNECTION_GRACE_S
    IDLE = 2  # between two requests: a client whose request crosses the close retries elsewhere
    NEW = 3  # no byte has arrived yet, for at most NEW_CONNECTION_GRACE_S
    PARTIAL = 4  # a request has arrived in part
    BUSY = 5  # a request is complete and not yet answered


class HttpClientSession:
    """One client connection: reads requests and writes their responses in order."""

    def __init__(self, front: PlatformClients, link: Link) -> None:
        self._front, self._link = front, link
        self._reader = RequestReader()
        self._receive_task: asyncio.Task[int] | None = None
        self._accepted_ns = self._arrived_ns = time.monotonic_ns()
        self._has_received_request = False  # whether the connection has delivered a complete request
        self._stage = ConnectionStage.NEW
        self._end_requested: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # set by end()
        self._overrun = False  # whether the receive buffer was full and later data is discarded
        self._gone = False  # whether the client closed the connection or the connection broke
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the connection until either side ends it."""
        try:
            while (request := await self._next()) is not None:
                if not await self._serve(request):
                    break
            await self._close_with_linger()
        except BadInput as bad:
            self._front.log.info("bad-input", bad.why, status=bad.status)
            with contextlib.suppress(OSError):
                await self._send_error(bad)
                await self._close_with_linger()
        except OSError:
            pass  # the client disconnected or did not read its response in time
        finally:
            if self._receive_task is not None:
                self._receive_task.cancel()
            self._link.close()
            self._front.ended(self)

    async def _close_with_linger(self) -> None:
        """Close with linger.  Data received from here on is discarded: it belongs to a request that crossed
        the close, which the client retries elsewhere."""
        if self._gone:
            return
        self._stage = ConnectionStage.CLOSING
        self._link.half_close()
        if self._receive_task is not None:
            self._receive_task.cancel()
            await asyncio.wait({self._receive_task})
        await self._link.linger(self._front.linger_s)

    def end(self) -> None:
        """Close the connection as soon as no request on it is unanswered."""
        if not self._end_requested.done():
            self._end_requested.set_result(None)

    def stage(self) -> ConnectionStage:
        """Return the stage of the connection; a connection with unread data counts as BUSY."""
        if self._stage in (ConnectionStage.NEW, ConnectionStage.IDLE):
            has_data = self._receive_task is not None and self._receive_task.done()
            if has_data or not self._link.fresh():
                return ConnectionStage.BUSY
            if (
                self._stage is ConnectionStage.NEW
                and time.monotonic_ns() - self._accepted_ns > NEW_CONNECTION_GRACE_S * 1e9
            ):
                return ConnectionStage.SILENT
        return self._stage

    def evict(self, max_stage: ConnectionStage = ConnectionStage.IDLE) -> bool:
        """Close the connection if its stage is at most `max_stage`; return whether it was closed.

        By default, a connection that has received a request, read or unread, is not closed, because the
        request would be lost."""
        if self.task is None or self.task.done() or self.stage() > max_stage:
            return False
        self.task.cancel()
        return True

    async def _next(self) -> HttpRequest | None:
        """Return the next complete request, or None if the client closed the connection or idled too long."""
        ready = self._reader.ready
        while not ready:
            if self._link.inbound.size == 0:
                if self._overrun:  # the discarded requests never ran, so a retry is safe
                    raise BadInput(503, "too much data was pipelined; the rest was not processed")
                if not await self._wait_for_data():
                    return None
            self._feed()
            if self._reader.expects:  # the client sends the body only after this interim response
                self._reader.expects = False
                await self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._has_received_request, self._stage = True, ConnectionStage.BUSY
        return ready.popleft()

    def _feed(self) -> None:
        piece = self._link.inbound.pending()
        self._reader.feed(piece, self._arrived_ns)
        self._link.inbound.taken(len(piece))

    async def _wait_for_data(self) -> bool:
        """Wait for data; return whether any arrived.

        Raises BadInput if a partial request is not completed in time.  Without a partial request, a timeout
        returns False and the connection is closed without a response.  Data that has already arrived when the
        timeout ends is still received."""
        reader = self._reader
        if reader.begun:
            self._stage, since_ns, limit_s = ConnectionStage.PARTIAL, reader.begun_ns, REQUEST_TIMEOUT_S
        elif self._has_received_request:
            self._stage, since_ns, limit_s = ConnectionStage.IDLE, time.monotonic_ns(), IDLE_TIMEOUT_S
        else:
            self._stage, since_ns, limit_s = ConnectionStage.NEW, self._accepted_ns, FIRST_REQUEST_TIMEOUT_S
        timeout_s = max(0.0, limit_s - (time.monotonic_ns() - since_ns) / 1e9)
        receiving = self._pending_receive()
        ends: set[asyncio.Future[None]] = set() if reader.begun else {self._end_requested}
        await _wait_for_first(receiving, *ends, timeout=timeout_s)
        if not receiving.done() and not reader.begun and not self._link.fresh():
            await asyncio.wait({receiving}, timeout=REQUEST_TIMEOUT_S)
        if receiving.done():
            return self._finish_receive()
        if reader.begun:
            raise BadInput(408, "the request was not received in time")
        return False

    def _pending_receive(self) -> asyncio.Task[int]:
        """Return the pending receive operation; start one if there is none.

        The operation stays pending while a job runs, to detect a disconnect of the client.  When the receive
        buffer is full, further data is discarded and the connection closes after the buffered requests."""
        if self._receive_task is None:
            self._overrun = self._overrun or not self._link.inbound.writable()
            receive = self._link.skip if self._overrun else self._link.fill
            self._receive_task = asyncio.create_task(receive())
        return self._receive_task

    def _finish_receive(self) -> bool:
        """Return whether the completed receive delivered data; if it did not, the client has disconnected.

        Raises OSError if the connection broke.  The time budget of a pipelined request counts from the
        arrival of its data, not from the start of its processing.  If several requests are buffered, the
        arrival time of the first buffered byte applies to all of them."""
        finished, self._receive_task, self._gone = self._receive_task, None, True
        assert finished is not None
        count = finished.result()
        if not self._overrun and self._link.inbound.size <= count:
            self._arrived_ns = time.monotonic_ns()
        self._gone = count == 0
        return not self._gone

    def gone(self) -> bool:
        """Return whether the client has disconnected; checked before the job's first byte goes to a node."""
        return self._gone or self._link.ended()

    async def _serve(self, request: HttpRequest) -> bool:
        """Answer one request; return whether the connection stays open."""
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
        """Pass a job to the dispatcher; return its result, or None if the client disconnects first."""
        is_replicated = self._front.copied(job)  # its id may repeat: replication detects a resent job by it
        if not is_replicated and not self._front.ids.claim(job.job_id):
            self._front.figures.answered(job.job_class, Verdict.FAILED)
            raise BadInput(409, "another request has used this X-Call-Id")
        try:
            self._front.post(JobTaken(job))
            return await self._wait(answered)
        finally:
            if not is_replicated:
                self._front.ids.free(job.job_id)
            if not answered.done():  # the client disconnected, or invalid data followed the request
                self._front.post(ClientLeft(job))

    async def _wait(self, answered: asyncio.Future[JobAnswerBody]) -> JobAnswerBody | None:
        """Wait for the job's result; return None if the client disconnects first.

        Data that arrives meanwhile is read at once, in any amount, because the end of the connection can only
        be detected behind it.  If that data is no valid request, the length of the current request was
        probably wrong, and BadInput cancels its job as well."""
        while not answered.done():
            await _wait_for_first(answered, self._pending_receive())
            if not answered.done():
                with contextlib.suppress(OSError):
                    self._finish_receive()
                if self._gone or (self._overrun and self._link.ended()):
                    return None
                while self._link.inbound.size and not self._reader.ready:
                    self._feed()
        return answered.result()

    async def _send_error(self, bad: BadInput) -> None:
        """Send an error response; the caller then closes the connection, as the next bytes are unreliable."""
        self._stage = ConnectionStage.CLOSING
        text = f"{bad.why}\n".encode()
        allow = "Allow: POST\r\n" if bad.status == 405 else ""
        await self._send(
            answer_head(bad.status, len(text), True, f"Content-Type: text/plain\r\n{allow}"), text
        )

    async def _send(self, *parts: bytes) -> None:
        async with asyncio.timeout(SEND_TIMEOUT_S):  # a client that does not read blocks only its own session
            await self._link.send(*parts)


class PlatformClients:
    """Accepts client connections, limits their number and drains them at shutdown."""

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
        """Create the front for a bound socket; clients can connect after `listen()`."""
        self.figures = figures or SchedulerMetrics(classes)
        self.replaced = asyncio.Event()  # set while another process of this scheduler accepts clients
        self._listener, self._most, self.ids, self._ring = listener, most, ids, ring
        self.classes, self.post, self.log = classes, post, log
        self.copied: Callable[[ClientJob], bool] = lambda job: False  # whether other schedulers have a copy
        self.accepts = True  # False ends the loop in `accept`
        self.closing = False  # whether each connection is closed after its current response
        self.last_answer_ns: int | None = None  # during a shutdown: deadline of all responses
        self.drain_times, self.linger_s = DrainTimes.of(classes.values()), LINGER_S
        self._sessions: dict[HttpClientSession, None] = {}  # ordered from the least recently used

    @property
    def ready(self) -> bool:
        """Whether this scheduler accepts clients, in this process or in the process that replaced it."""
        return self.last_answer_ns is None or self.replaced.is_set()

    def follow(self, classes: Mapping[str, JobClass]) -> None:
        """Replace the job classes for new requests; open jobs keep their class."""
        self.classes, self.drain_times = classes, DrainTimes.of(classes.values())
        self.figures.add_classes(classes)

    def limit(self, most: int) -> None:
        """Set the maximum number of connections and evict those above it, as far as their stage allows."""
        self._most = most
        while len(self._sessions) > most and self._free_connection():
            pass

    def listen(self) -> None:
        """Start listening for client connections."""
        self._listener.listen(BACKLOG)

    async def accept(self) -> None:
        """Accept connections until the task is cancelled or `accepts` is False."""
        loop = asyncio.get_running_loop()
        while self.accepts:
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except OSError as wrong:  # out of file descriptors: retried after evicting a connection
                self.log.error("accept-failed", str(wrong))
                self._free_connection()
                await asyncio.sleep(0.05)
                continue
            self._admit(sock)

    async def _stop_listening(self, accepting: asyncio.Task[None]) -> None:
        """Accept the connections in the kernel's backlog and close the listener.

        Cancelling `sock_accept` would lose a connection that it accepted in the same event loop iteration.
        The reader is therefore removed first, and one iteration passes before the task is cancelled."""
        self.accepts = False
        asyncio.get_running_loop().remove_reader(self._listener)
        await asyncio.sleep(0)
        accepting.cancel()
        with contextlib.suppress(BlockingIOError):
            while True:  # closing the listener would reset the connections in its backlog
                self._admit(self._listener.accept()[0])
        self._listener.close()

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        if len(self._sessions) >= self._most and not self._free_connection():
            self.log.warning(
                "clients-full", "the connection limit is reached; a client was rejected", most=self._most
            )
            sock.close()
            return
        session = HttpClientSession(self, Link(sock, self._ring))
        self._sessions[session] = None
        session.task = asyncio.create_task(session.run())

    def _free_connection(self) -> bool:
        """Evict the connection with the lowest stage, the least recently used one first.

        Returns False if no connection can be evicted.  Hundreds of silent connections must not keep out
        clients that have jobs.  A NEW connection is evicted only as the last choice, because its first
        request may be in transit."""
        lowest_stage, candidate = ConnectionStage.BUSY, None
        for session in self._sessions:
            if (stage := session.stage()) < lowest_stage:
                lowest_stage, candidate = stage, session
                if stage <= ConnectionStage.SILENT:
                    break
        if candidate is None or not candidate.evict(lowest_stage):
            return False
        self.ended(candidate)
        return True

    def used(self, session: HttpClientSession) -> None:
        """Move a session that has completed a request to the end of the eviction order."""
        if self._sessions.pop(session, 0) is None:
            self._sessions[session] = None

    def ended(self, session: HttpClientSession) -> None:
        """Remove a session that has ended."""
        self._sessions.pop(session, None)

    async def drain(self, accepting: asyncio.Task[None]) -> None:
        """Shut down gracefully: serve for a while, then close the listener and the idle connections.

        Returns when every accepted job is answered.  If the connections were closed at once in a rolling
        restart, clients would have no scheduler to connect to while the one restarted before is not yet back.
        If another process has taken over, it accepts all new connections, but idle connections still stay
        open for the same time, so that fewer requests cross a close."""
        times, loop = self.drain_times, asyncio.get_running_loop()
        self.last_answer_ns = time.monotonic_ns() + round(times.answer_s * 1e9)
        serves_until = loop.time() + times.serve_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(times.serve_s):
                await self.replaced.wait()
        self.closing, self.linger_s = True, times.linger_s
        await self._stop_listening(accepting)
        # Requests that clients have just sent on the last accepted connections are read before the close.
        await asyncio.sleep(max(MIN_DRAIN_READ_S, serves_until - loop.time()))
        for session in self._sessions:
            session.end()
        while tasks := [s.task for s in self._sessions if s.task is not None]:
            await asyncio.wait(tasks)
