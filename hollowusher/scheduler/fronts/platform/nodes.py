"""Attempts and probes at route nodes over HTTP/1.1, and the outcome of each."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.dispatch.metrics import SchedulerMetrics
from hollowusher.scheduler.dispatch.model import AttemptEnded, Dispatch, DispatchEvent, NodeProbed
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.fronts.common import PROBE_TIMEOUT_S, AttemptEnding, read_load
from hollowusher.scheduler.fronts.platform.answers import MAX_LINE, ending_of_head, read_line
from hollowusher.scheduler.fronts.platform.http import AnswerReader
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import Link
from hollowusher.scheduler.net.pool import Pool, PoolFull

# After the final line of a response, the rest must arrive within this time or the connection is closed.
TAIL_TIMEOUT_S = 1.0
TAIL_BYTES = 4 * 1024  # maximum size of that rest: the last chunk, possibly with trailers
MAX_REPORT = 64 * 1024  # maximum size of a probe response
MAX_BODY = 2 * MAX_LINE  # maximum size of a response: the result and the progress lines before it


def request_head(job_id: str, subject: str, host: str, length: int, left_s: float, key: str) -> bytes:
    """Return the request line and headers of a job for a node; `left_s` is the remaining time in seconds."""
    again = f"Idempotency-Key: {key}\r\n" if key else ""
    return (
        f"POST {subject} HTTP/1.1\r\nHost: {host}\r\nX-Call-Id: {job_id}\r\nX-Budget: {left_s:.3f}\r\n"
        f"{again}Content-Length: {length}\r\n\r\n"
    ).encode("latin-1")


class PlatformNodes:
    """Runs attempts and probes at nodes on pooled connections."""

    def __init__(
        self,
        registry: WorkerRegistry,
        pool: Pool,
        meanings: Mapping[str, str],
        post: Callable[[DispatchEvent], None],
        log: LogWriter,
        figures: SchedulerMetrics | None = None,
    ) -> None:
        self._registry, self._pool, self._meanings, self._post, self._log = (
            registry,
            pool,
            meanings,
            post,
            log,
        )
        self._figures = figures or SchedulerMetrics()

    def follow(self, meanings: Mapping[str, str]) -> None:
        """Replace the mapping from load report fields to the fields of `Reading`."""
        self._meanings = meanings

    async def attempt(self, order: Dispatch, node: RouteNode) -> None:
        """Run one attempt on a pooled connection; always post its result to the dispatcher."""
        attempt, begun = order.attempt, False
        link: Link | None = None
        ending = AttemptEnding(Outcome.RESET)
        reader = AnswerReader(MAX_LINE, MAX_BODY)
        left_ns = order.job.deadline_ns - time.monotonic_ns()
        if order.timeout_ns > 0:
            left_ns = min(left_ns, order.timeout_ns)
        try:
            async with asyncio.timeout(max(0.0, left_ns / 1e9)):
                try:
                    link = await self._pool.take(attempt.node, node.address)
                except PoolFull as wrong:
                    # This scheduler has no free socket; the failure must not count against the node.
                    ending = AttemptEnding(Outcome.NOT_SENT)
                    self._log.warning("no-socket", str(wrong), held=self._pool.held)
                    return
                except OSError as wrong:
                    self._pool.forget(attempt.node)  # assume that its idle connections are broken as well
                    self._log.info("node-unreachable", str(wrong), node=node.name)
                    ending = AttemptEnding(Outcome.UNREACHABLE)
                    return
                # While the connection was opened, the node may have started to drain, the client may have
                # disconnected, or the time window of a retry may have passed.  The job is not sent then.
                if not (self._registry.serving(attempt.node) and order.may_begin(time.monotonic_ns())):
                    ending = AttemptEnding(Outcome.NOT_SENT)
                    self._keep(attempt.node, link)
                    link = None
                    return
                begun = True
                if (broken := await self._write(link, order, node)) is not None:
                    ending = AttemptEnding(broken)
                    return
                ending = await self._read(link, reader, order)
        except TimeoutError:
            ending = AttemptEnding(Outcome.TIMEOUT if begun else Outcome.UNREACHABLE)
        except asyncio.CancelledError:
            # A cancelled write may already have sent its last byte, so the node may have started the job.
            ending = AttemptEnding(Outcome.NOT_SENT if link is None else Outcome.CANCELLED)
        finally:
            self._post(AttemptEnded(attempt, ending.outcome, ending.reading, ending.result))
            if link is not None:
                if ending.outcome in (Outcome.CANCELLED, Outcome.TIMEOUT):
                    self._pool.drop(link)  # closing the connection makes the node stop the job
                else:
                    await self._finish(attempt.node, link, reader)

    async def probe(self, node: RouteNode) -> None:
        """Request a node's load report; always post the result to the dispatcher."""
        number, ok, reading = node.entry.worker, False, None
        link: Link | None = None
        reader = AnswerReader(MAX_REPORT, MAX_REPORT)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                link = await self._pool.take(number, node.address)
                await link.send(f"GET /-/load HTTP/1.1\r\nHost: {node.address[0]}\r\n\r\n".encode())
                while not reader.complete:
                    await link.pass_on(reader.feed)
            ok = reader.status == 200
            reading = read_load(b"".join(reader.lines).decode("utf-8", "replace"), self._meanings)
            reading = reading or read_load(reader.headers.get("x-load-report"), self._meanings)
        except OSError:
            pass  # reported below as a failed probe
        finally:
            self._post(NodeProbed(number, ok, reading))
            if link is not None:
                if reader.reusable:
                    self._keep(number, link)
                else:
                    self._pool.drop(link)

    def leaving(self, number: int) -> None:
        """Close the idle connections to a node that is draining, gone, or replaced by another process."""
        self._pool.forget(number)

    async def _write(self, link: Link, order: Dispatch, node: RouteNode) -> Outcome | None:
        """Write the request; return None on success, otherwise the outcome of the failed write.

        UNREACHABLE: the connection broke before the last byte was written, so the node did not run the job.
        TIMEOUT: the time window for writing passed; the last byte may have been written at that moment."""
        job = order.job
        left_s = max(0.001, (job.deadline_ns - time.monotonic_ns()) / 1e9)
        if order.timeout_ns > 0:
            left_s = min(left_s, order.timeout_ns / 1e9)
        host = f"{node.address[0]}:{node.address[1]}"
        head = request_head(job.job_id, job.subject, host, len(job.body), left_s, job.repeat_key)
        by_s = (order.write_by_ns - time.monotonic_ns()) / 1e9 if order.write_by_ns else None
        try:
            async with asyncio.timeout(by_s):
                await link.send(head, job.body)
        except TimeoutError:
            return Outcome.TIMEOUT
        except OSError:
            return Outcome.UNREACHABLE
        self._figures.written(job.job_class)
        return None

    async def _read(self, link: Link, reader: AnswerReader, order: Dispatch) -> AttemptEnding:
        """Read the response up to its final line; a connection error before that line is a RESET."""
        try:
            while True:
                await link.pass_on(reader.feed)
                if reader.head_done:
                    ending = ending_of_head(reader.status, reader.headers, self._meanings)
                    if ending is not None:
                        return ending
                while reader.lines:
                    ending = read_line(reader.lines.popleft(), order, self._meanings, self._post)
                    if ending is not None:
                        return ending
                if reader.complete:
                    raise ConnectionError("the response ended without a final state")
        except ConnectionError:
            reader.out_of_sync = True  # further data cannot be attributed to a request
            return AttemptEnding(Outcome.RESET)

    async def _finish(self, node: int, link: Link, reader: AnswerReader) -> None:
        """Read the rest of the response after the attempt has ended, so that the connection can be reused."""
        reader.limit_rest(TAIL_BYTES)
        try:
            async with asyncio.timeout(TAIL_TIMEOUT_S):
                while reader.head_done and not reader.complete:
                    await link.pass_on(reader.feed)
        except (OSError, asyncio.CancelledError):
            pass  # the response is incomplete, so the connection is closed below
        if reader.reusable:
            self._keep(node, link)
        else:
            self._pool.drop(link)

    def _keep(self, node: int, link: Link) -> None:
        """Return the connection to the pool, or close it if the node no longer accepts jobs."""
        if self._registry.serving(node):
            self._pool.give_back(node, link)
        else:
            self._pool.drop(link)
