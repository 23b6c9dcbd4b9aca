"""Attempts and probes at route nodes over HTTP/2: one stream for each, with many streams per connection.

Requests, response lines and outcomes are the same as over HTTP/1.1; docs/http2.md lists the differences.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from hpack import NeverIndexedHeaderTuple

from hollowusher.balancing.interface import Outcome, Reading
from hollowusher.scheduler.dispatch.model import AttemptEnded, Dispatch, DispatchEvent, NodeProbed
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.fronts.common import PROBE_TIMEOUT_S, AttemptEnding, read_load
from hollowusher.scheduler.fronts.platform.answers import MAX_LINE, LineSplitter, ending_of_head, read_line
from hollowusher.scheduler.fronts.platform.nodes import PlatformNodes
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.http2.exchange import Headers, StreamExchange
from hollowusher.scheduler.net.http2.streams import Http2Carrier
from hollowusher.scheduler.rules.stream_ends import Cause
from hollowusher.scheduler.rules.streams import RejectReason

TRAILER_TIMEOUT_S = 0.02  # longest wait of a result for the load report that its Trailer header announces
# A job that still waits for a stream returns to the dispatcher this long before its deadline.  The dispatcher
# can then reject it as unsent, and the client knows that a retry is safe.
RETURN_MARGIN_NS = 50_000_000
MAX_REPORT = 64 * 1024  # maximum size of a probe response
_RELEVANT_HEADERS = (b":status", b"x-load-report", b"x-rejected", b"trailer")


def _relevant_headers(headers: Headers) -> dict[str, str]:
    return {k.decode("latin-1"): v.decode("latin-1") for k, v in headers if k in _RELEVANT_HEADERS}


def request_headers(
    job_id: str, subject: str, host: str, left_s: float, key: str
) -> list[tuple[bytes, bytes]]:
    """Return the request headers of a job; `left_s` is the remaining time in seconds.

    Headers that differ between jobs are never indexed by HPACK: they would evict the constant headers from
    the dynamic table."""
    never_indexed = NeverIndexedHeaderTuple
    headers = [
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":authority", host.encode("latin-1")),
        never_indexed(b":path", subject.encode("latin-1")),
        never_indexed(b"x-call-id", job_id.encode("latin-1")),
        never_indexed(b"x-budget", b"%.3f" % left_s),
    ]
    if key:
        headers.append(never_indexed(b"idempotency-key", key.encode("latin-1")))
    return headers


class JobAnswer:
    """Reads the response to a job from its stream; implements `Answer`."""

    def __init__(
        self, order: Dispatch, meanings: Mapping[str, str], post: Callable[[DispatchEvent], None]
    ) -> None:
        self._order, self._meanings, self._post = order, meanings, post
        self._lines = LineSplitter()
        self._report_follows = False
        self._ending: AttemptEnding | None = None  # a result that waits for its load report
        self.finish: Callable[[AttemptEnding], None] = lambda ending: None

    @property
    def held(self) -> int:
        """See `Answer`."""
        return len(self._lines.rest)

    def head(self, headers: Headers) -> AttemptEnding | None:
        """See `Answer`."""
        heads = _relevant_headers(headers)
        self._report_follows = "x-load-report" in heads.get("trailer", "").lower()
        status = heads.get(":status", "")
        return ending_of_head(int(status) if status.isdigit() else 0, heads, self._meanings)

    def piece(self, data: bytes) -> AttemptEnding | None:
        """See `Answer`."""
        if self._ending is not None:
            return None
        self._lines.feed(data)
        if len(self._lines.rest) > MAX_LINE:
            raise ConnectionError("a line of the response is too long")
        return self._read()

    def end(self, trailers: Headers) -> AttemptEnding | None:
        """See `Answer`."""
        self._lines.finish()
        try:
            ending = self._ending or self._read()
        except ConnectionError:
            return None
        ending = ending or self._ending
        if ending is not None and ending.reading is None:
            ending.reading = read_load(_relevant_headers(trailers).get("x-load-report"), self._meanings)
        return ending

    def _read(self) -> AttemptEnding | None:
        while self._lines.lines:
            line = self._lines.lines.popleft()
            ending = read_line(line, self._order, self._meanings, self._post)
            if ending is not None and ending.reading is None and self._report_follows:
                self._ending = ending
                asyncio.get_running_loop().call_later(TRAILER_TIMEOUT_S, self.finish, ending)
                return None
            if ending is not None:
                return ending
        return None


class ProbeAnswer:
    """Reads the response to a probe: whether its status is 200, and the load report; implements `Answer`."""

    def __init__(self, meanings: Mapping[str, str]) -> None:
        self._meanings, self._body, self._relevant_headers = meanings, bytearray(), dict[str, str]()

    @property
    def held(self) -> int:
        """See `Answer`."""
        return len(self._body)

    def head(self, headers: Headers) -> tuple[bool, Reading | None] | None:
        """See `Answer`."""
        self._relevant_headers = _relevant_headers(headers)
        return None

    def piece(self, data: bytes) -> tuple[bool, Reading | None] | None:
        """See `Answer`."""
        self._body += data
        if len(self._body) > MAX_REPORT:
            raise ConnectionError("the load report is too long")
        return None

    def end(self, trailers: Headers) -> tuple[bool, Reading | None] | None:
        """See `Answer`."""
        reading = read_load(self._body.decode("utf-8", "replace"), self._meanings)
        heads = {**self._relevant_headers, **_relevant_headers(trailers)}
        reading = reading or read_load(heads.get("x-load-report"), self._meanings)
        return self._relevant_headers.get(":status") == "200", reading


class Http2Nodes:
    """Runs attempts and probes on shared connections; uses HTTP/1.1 for nodes without HTTP/2."""

    def __init__(
        self,
        registry: WorkerRegistry,
        carrier: Http2Carrier,
        http1: PlatformNodes,
        meanings: Mapping[str, str],
        post: Callable[[DispatchEvent], None],
        log: LogWriter,
    ) -> None:
        self._registry, self._carrier, self._http1 = registry, carrier, http1
        self._meanings, self._post, self._log = meanings, post, log

    async def attempt(self, order: Dispatch, node: RouteNode) -> None:
        """Run one attempt, including its wait for a stream; always post its result to the dispatcher."""
        attempt = order.attempt
        if attempt.number > 0:
            repeats = self._carrier.repeats
            repeats[order.job.job_class] = repeats.get(order.job.job_class, 0) + 1
        ending = None
        if not self._carrier.falls_back(attempt.node):
            ending = await self._stream(order, node)
            fell_back = ending.outcome is Outcome.UNREACHABLE and self._carrier.falls_back(attempt.node)
        if ending is None or (fell_back and self._registry.serving(attempt.node)):
            await self._http1.attempt(order, node)
        else:
            self._post(AttemptEnded(attempt, ending.outcome, ending.reading, ending.result))

    async def _stream(self, order: Dispatch, node: RouteNode) -> AttemptEnding:
        job, number = order.job, order.attempt.node
        until_ns = job.deadline_ns
        if order.timeout_ns > 0:
            until_ns = min(until_ns, time.monotonic_ns() + order.timeout_ns)

        def headers() -> list[tuple[bytes, bytes]]:
            left_s = max(0.001, (until_ns - time.monotonic_ns()) / 1e9)
            host = f"{node.address[0]}:{node.address[1]}"
            return request_headers(job.job_id, job.subject, host, left_s, job.repeat_key)

        answer = JobAnswer(order, self._meanings, self._post)
        exchange = StreamExchange[AttemptEnding](
            headers,
            job.body,
            answer,
            until_ns - RETURN_MARGIN_NS,
            lambda: self._registry.serving(number) and order.may_begin(time.monotonic_ns()),
        )
        answer.finish = exchange.finish
        streams = self._carrier.to(number, node.name, node.address)
        try:
            async with asyncio.timeout(max(0.0, (until_ns - time.monotonic_ns()) / 1e9)):
                how = await streams.run(exchange)
        except TimeoutError:
            how = streams.withdraw(exchange, Cause.TIMED_OUT)
        except asyncio.CancelledError:
            how = streams.withdraw(exchange, Cause.WITHDRAWN)
        if isinstance(how, AttemptEnding):
            return how
        if isinstance(how, Outcome):
            return AttemptEnding(how)
        if how in (RejectReason.FULL, RejectReason.WAITED):
            self._log.warning(
                "h2-turned-back",
                "a job was returned unsent because no stream was available",
                node=node.name,
                why=how.value,
                waiting=streams.stream_table.waiting,
                open=streams.stream_table.open_streams,
            )
        return AttemptEnding(Outcome.UNREACHABLE if how is RejectReason.UNREACHABLE else Outcome.NOT_SENT)

    async def probe(self, node: RouteNode) -> None:
        """Request a node's load report; always post the result to the dispatcher."""
        number = node.entry.worker
        if self._carrier.falls_back(number):
            await self._http1.probe(node)
            return
        host = f"{node.address[0]}:{node.address[1]}".encode("latin-1")
        headers = [(b":method", b"GET"), (b":scheme", b"http"), (b":authority", host), (b":path", b"/-/load")]
        exchange = StreamExchange[tuple[bool, Reading | None]](
            lambda: headers,
            b"",
            ProbeAnswer(self._meanings),
            time.monotonic_ns() + round(PROBE_TIMEOUT_S * 1e9),
            lambda: True,
            urgent=True,
        )
        streams, ok, reading = self._carrier.to(number, node.name, node.address), False, None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                how = await streams.run(exchange)
            if isinstance(how, tuple):
                ok, reading = how
        except (TimeoutError, asyncio.CancelledError):
            streams.withdraw(exchange, Cause.TIMED_OUT)  # reported below as a failed probe
        finally:
            self._post(NodeProbed(number, ok, reading))

    def leaving(self, number: int) -> None:
        """Send no new requests on the current connections to a node."""
        self._carrier.leaving(number)
        self._http1.leaving(number)
