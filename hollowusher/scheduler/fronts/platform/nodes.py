"""Attempts and probes at route nodes that speak the platform's HTTP, and the outcome each ends with."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.dispatch.metrics import SchedulerMetrics
from hollowusher.scheduler.dispatch.model import AttemptEnded, Dispatch, DispatchEvent, NodeProbed
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.fronts.common import PROBE_TIMEOUT_S, AttemptEnding, read_load
from hollowusher.scheduler.fronts.platform.answers import MOST_LINE, ending_of_head, read_line
from hollowusher.scheduler.fronts.platform.http import AnswerReader
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import Link
from hollowusher.scheduler.net.pool import Pool, PoolFull

TAIL_TIMEOUT_S = 1.0  # how long the end of an answer may take before its connection is given up
TAIL_BYTES = 4 * 1024  # and how much it may be: a last chunk, perhaps with trailers
MOST_REPORT = 64 * 1024  # of a probe's answer
MOST_BODY = 2 * MOST_LINE  # of a whole answer: a result and the notes before it


def request_head(job_id: str, subject: str, host: str, length: int, left_s: float, key: str) -> bytes:
    """The head of a job's request to a node."""
    again = f"Idempotency-Key: {key}\r\n" if key else ""
    return (
        f"POST {subject} HTTP/1.1\r\nHost: {host}\r\nX-Call-Id: {job_id}\r\nX-Budget: {left_s:.3f}\r\n"
        f"{again}Content-Length: {length}\r\n\r\n"
    ).encode("latin-1")


class PlatformNodes:
    """Carries attempts and probes to nodes over pooled connections."""

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
        """Load reports mean this from now on."""
        self._meanings = meanings

    async def attempt(self, order: Dispatch, node: RouteNode) -> None:
        """One attempt from its connection to its ending, which the desk is told in every case."""
        attempt, begun = order.attempt, False
        link: Link | None = None
        ending = AttemptEnding(Outcome.RESET)
        reader = AnswerReader(MOST_LINE, MOST_BODY)
        left_ns = order.job.deadline_ns - time.monotonic_ns()
        if order.timeout_ns > 0:
            left_ns = min(left_ns, order.timeout_ns)
        try:
            async with asyncio.timeout(max(0.0, left_ns / 1e9)):
                try:
                    link = await self._pool.take(attempt.node, node.address)
                except PoolFull as wrong:
                    ending = AttemptEnding(
                        Outcome.NOT_SENT
                    )  # for want of a socket here: the node is not to blame
                    self._log.warning("no-socket", str(wrong), held=self._pool.held)
                    return
                except OSError as wrong:
                    self._pool.forget(attempt.node)  # its idle connections lead nowhere either
                    self._log.info("node-unreachable", str(wrong), node=node.name)
                    ending = AttemptEnding(Outcome.UNREACHABLE)
                    return
                # While the connection came up the list may have told of a drain, the client have left, or
                # the window of a repeat have run out: nothing new goes there then.
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
            # A write that is cut short may have written its last byte all the same.
            ending = AttemptEnding(Outcome.NOT_SENT if link is None else Outcome.CANCELLED)
        finally:
            self._post(AttemptEnded(attempt, ending.outcome, ending.reading, ending.result))
            if link is not None:
                if ending.outcome in (Outcome.CANCELLED, Outcome.TIMEOUT):
                    self._pool.drop(link)  # the close is what tells the node to stop
                else:
                    await self._finish(attempt.node, link, reader)

    async def probe(self, node: RouteNode) -> None:
        """Ask a node for its load."""
        number, ok, reading = node.entry.worker, False, None
        link: Link | None = None
        reader = AnswerReader(MOST_REPORT, MOST_REPORT)
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
            pass  # a probe without an answer is a result too
        finally:
            self._post(NodeProbed(number, ok, reading))
            if link is not None:
                if reader.reusable:
                    self._keep(number, link)
                else:
                    self._pool.drop(link)

    def leaving(self, number: int) -> None:
        """Close what is idle towards a node: it is on its way out, gone, or another process now."""
        self._pool.forget(number)

    async def _write(self, link: Link, order: Dispatch, node: RouteNode) -> Outcome | None:
        """Write the request; the outcome where that broke.  Before its last byte it never ran; one that was
        cut short as its window ran out may have had its last byte written in that moment."""
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
        """Read the answer up to the line that ends the attempt; a break before it is a reset."""
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
                    raise ConnectionError("an answer that says nothing")
        except ConnectionError:
            reader.spoilt = True  # what it says next could be about anything
            return AttemptEnding(Outcome.RESET)

    async def _finish(self, node: int, link: Link, reader: AnswerReader) -> None:
        """Read the end of an answer whose attempt is over, so that its connection can be used again."""
        reader.end_within(TAIL_BYTES)
        try:
            async with asyncio.timeout(TAIL_TIMEOUT_S):
                while reader.head_done and not reader.complete:
                    await link.pass_on(reader.feed)
        except (OSError, asyncio.CancelledError):
            pass  # the connection is dropped below
        if reader.reusable:
            self._keep(node, link)
        else:
            self._pool.drop(link)

    def _keep(self, node: int, link: Link) -> None:
        """Back to the pool, unless the node is on its way out."""
        if self._registry.serving(node):
            self._pool.give_back(node, link)
        else:
            self._pool.drop(link)
