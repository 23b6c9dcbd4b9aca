"""HTTP/2 connections to the nodes; executes the instructions of each node's stream table."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.component import NoDrain
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.http2.exchange import StreamExchange
from hollowusher.scheduler.net.http2.session import Http2Session
from hollowusher.scheduler.net.http2.settings import Http2Config
from hollowusher.scheduler.net.http2.wire import Http2Socket
from hollowusher.scheduler.net.pool import Pool, PoolFull
from hollowusher.scheduler.rules.stream_ends import Cause, outcome
from hollowusher.scheduler.rules.streams import (
    AssignStream,
    CloseConnection,
    OpenConnection,
    RejectJob,
    RejectReason,
    StreamInstruction,
    StreamLimits,
    StreamTable,
)

T = TypeVar("T")
HEARTBEAT_S = 0.1  # interval of the checks while streams are open or requests wait
IDLE_CHECK_S = 5.0  # interval of the checks while all connections are idle


@dataclass(slots=True)
class StreamCounts:
    """Counters of events on a node's connections since the last report."""

    goaways: int = 0
    refused: int = 0
    turned_back: int = 0
    unspoken: int = 0


class NodeStreams:
    """The HTTP/2 connections to one node."""

    def __init__(
        self, name: str, address: tuple[str, int], config: Http2Config, pool: Pool, log: LogWriter
    ) -> None:
        self.name, self.address = name, address
        self._config, self._pool, self._log = config, pool, log
        self.stream_table = StreamTable(
            StreamLimits(
                config.connections,
                config.streams,
                config.waiting,
                round(config.stream_wait_s * 1e9),
                round(pool.idle_s * 1e9),
                config.max_lifetime_streams,
            )
        )
        self.counts = StreamCounts()
        self._wires: dict[int, Http2Socket] = {}
        self._opening: set[asyncio.Task[None]] = set()
        self._parting: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._due_ns = 0  # when the timer fires
        self.unspoken_until_ns = 0  # until then, the node counts as not speaking HTTP/2

    @property
    def idle(self) -> bool:
        """Whether no connection exists, is opening or closing, and no request waits."""
        return not self._wires and not self._opening and not self._parting and self.stream_table.waiting == 0

    async def run(self, exchange: StreamExchange[T]) -> T | Outcome | RejectReason:
        """Run a request and return its result, the outcome of its stream or the reason why it was not sent.

        A caller that cancels this coroutine must call `withdraw` next."""
        over: asyncio.Future[T | Outcome | RejectReason] = asyncio.get_running_loop().create_future()

        def tell() -> None:
            if not over.done():
                over.set_result(exchange.result)  # type: ignore[arg-type]

        exchange.tell = tell
        self._execute(
            self.stream_table.request_stream(
                time.monotonic_ns(), exchange, exchange.until_ns, exchange.urgent
            )
        )
        self._arm()
        return await over

    def withdraw(self, exchange: StreamExchange[T], cause: Cause) -> T | Outcome | RejectReason:
        """Cancel a request in any state and return how it ended."""
        if exchange.ended:
            return exchange.result  # type: ignore[return-value]  # it has ended already
        if self.stream_table.cancel_wait(time.monotonic_ns(), exchange):
            # With open streams, the request only waited for a free one; without any, the node may have
            # failed.
            how = outcome(cause, False, False) if self.stream_table.open_streams == 0 else Outcome.NOT_SENT
        elif (wire := self._wires.get(exchange.connection)) is not None:
            how = wire.session.withdraw(exchange, cause)
        else:
            how = outcome(cause, False, False)
        exchange.finish(how)
        return how

    def leaving(self) -> None:
        """End the use of the connections: the node drains, has left or has restarted as a new process."""
        self._execute(self.stream_table.node_leaving(time.monotonic_ns()))

    async def close(self) -> None:
        """Close all connections, each with a GOAWAY."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._opening:
            task.cancel()
        self._execute(self.stream_table.node_leaving(time.monotonic_ns()))
        wires, self._wires = list(self._wires.values()), {}
        await asyncio.gather(
            *(wire.part() for wire in wires), *self._opening, *self._parting, return_exceptions=True
        )

    # --- instructions of the stream table

    def _execute(self, acts: Iterable[StreamInstruction]) -> None:
        for act in acts:
            match act:
                case AssignStream(exchange, number):
                    self._wires[number].session.give(exchange)  # type: ignore[arg-type]
                case RejectJob(exchange, why):
                    self.counts.turned_back += 1
                    exchange.finish(why)  # type: ignore[attr-defined]
                case OpenConnection(number):
                    self._spawn(self._open(number), self._opening)
                case CloseConnection(number):
                    if (wire := self._wires.pop(number, None)) is not None:
                        self._spawn(wire.part(), self._parting)

    async def _open(self, number: int) -> None:
        """Open a connection; closes it if the node sends no SETTINGS within `settings_wait_s`."""
        try:
            link = await self._pool.open(self.address)
        except PoolFull:
            self._log.warning(
                "no-socket", "the pool can open no more connections to nodes", held=self._pool.held
            )
            self._execute(self.stream_table.failed(time.monotonic_ns(), number, RejectReason.NO_SOCKET))
            return
        except OSError as exc:
            self._log.info("node-unreachable", str(exc), node=self.name)
            self._execute(self.stream_table.failed(time.monotonic_ns(), number))
            return
        if not self.stream_table.holds(number):  # the node left meanwhile
            self._pool.drop(link)
            return
        wire = self._wires[number] = Http2Socket(number, link, self._pool.drop, self._config, self)
        wire.start()
        self._arm()
        await asyncio.sleep(self._config.settings_wait_s)
        if not wire.session.greeted and self._wires.get(number) is wire:
            wire.end("the node did not send SETTINGS in time")

    # --- events of a connection (see `SessionOwner`)

    def opened(self, session: Http2Session, announced: int) -> None:
        """Process the first SETTINGS of a connection."""
        self.unspoken_until_ns = 0
        self._execute(self.stream_table.opened(time.monotonic_ns(), session.number, announced))

    def limited(self, session: Http2Session, announced: int) -> None:
        """Apply a changed stream limit."""
        self._execute(self.stream_table.set_stream_limit(time.monotonic_ns(), session.number, announced))

    def quiet(self, session: Http2Session, silent: bool) -> None:
        """Record whether a connection is unresponsive."""
        self._execute(self.stream_table.set_unresponsive(time.monotonic_ns(), session.number, silent))

    def retired(self, session: Http2Session, code: int | None, above: int) -> None:
        """Log a GOAWAY and stop the assignment of streams to the connection."""
        if code is not None:
            self.counts.goaways += 1
            self._log.info(
                "h2-goaway",
                "the node accepts no new streams on a connection",
                node=self.name,
                code=code,
                above=above,
            )
        self._execute(self.stream_table.retired(time.monotonic_ns(), session.number))

    def ended(self, session: Http2Session, exchange: StreamExchange[Any]) -> None:
        """Count a refused stream and free the stream's place."""
        if exchange.result is Outcome.FULL:
            self.counts.refused += 1
        self._execute(self.stream_table.ended(time.monotonic_ns(), session.number, exchange))

    def unbegun(self, session: Http2Session, exchange: StreamExchange[Any]) -> None:
        """Return a request that was not started to the queue, unless it has ended."""
        exchange.connection = 0
        if exchange.ended:
            self._execute(self.stream_table.ended(time.monotonic_ns(), session.number, exchange))
        else:
            now = time.monotonic_ns()
            self._execute(self.stream_table.requeue(now, session.number, exchange, exchange.until_ns))

    def lost(self, session: Http2Session, why: str, spoken: bool) -> None:
        """Log the loss of a connection and update the stream table."""
        self._wires.pop(session.number, None)
        now = time.monotonic_ns()
        if not spoken:
            self.counts.unspoken += 1
            tried = "is tried by HTTP/1.1"
            what = tried if self._config.fall_back else "gets no jobs: [http2] fall-back is off"
            self._log.warning(
                "h2-not-spoken",
                f"the node is listed as HTTP/2, does not speak it and {what}",
                node=self.name,
                why=why,
            )
            if self._config.fall_back:
                self.unspoken_until_ns = now + round(self._config.fall_back_for_s * 1e9)
        if not session.greeted:
            if spoken:
                self._log.info("node-unreachable", why, node=self.name)
            self._execute(self.stream_table.failed(now, session.number))
            return
        self._log.warning(
            "h2-lost", "a connection broke", node=self.name, why=why, streams=session.open_streams
        )
        self._execute(self.stream_table.lost(now, session.number))

    # --- time

    def _arm(self) -> None:
        """Set the timer for the next check.

        The check is due after HEARTBEAT_S while streams are open or requests wait, else after IDLE_CHECK_S,
        and no later than the earliest end of a wait."""
        now = time.monotonic_ns()
        busy = self.stream_table.waiting or self.stream_table.open_streams or self._opening
        due = now + round((HEARTBEAT_S if busy else IDLE_CHECK_S) * 1e9)
        if (soonest := self.stream_table.earliest_expiry_ns) is not None:
            due = min(due, max(now, soonest))
        if self._timer is None or due < self._due_ns:
            if self._timer is not None:
                self._timer.cancel()
            self._due_ns = due
            self._timer = asyncio.get_running_loop().call_later((due - now) / 1e9, self._heartbeat)

    def _heartbeat(self) -> None:
        self._timer = None
        now = time.monotonic_ns()
        for wire in list(self._wires.values()):
            wire.heartbeat(now)
        self._execute(self.stream_table.tick(now))
        if not self.idle:
            self._arm()

    def _spawn(self, work: Coroutine[Any, Any, None], among: set[asyncio.Task[None]]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        among.add(task)
        task.add_done_callback(among.discard)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("task-fault", "a task of this program failed", fault=repr(fault))


class Http2Carrier(NoDrain):
    """The connections to all nodes that speak HTTP/2."""

    name = "http2"

    def __init__(
        self, config: Http2Config, pool: Pool, log: LogWriter, clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self._config, self._pool, self._log, self._clock = config, pool, log, clock
        self._nodes: dict[int, NodeStreams] = {}
        self.repeats: dict[str, int] = {}  # number of attempts after the first, by job class
        self._figures_task: asyncio.Task[None] | None = None

    def to(self, number: int, name: str, address: tuple[str, int]) -> NodeStreams:
        """Return the connections to a node; a changed address starts new ones."""
        streams = self._nodes.get(number)
        if streams is None or streams.address != address:
            if streams is not None:
                streams.leaving()
            streams = self._nodes[number] = NodeStreams(name, address, self._config, self._pool, self._log)
        return streams

    def leaving(self, number: int) -> None:
        """End the use of the connections to a node that drains, has left or has restarted."""
        if (streams := self._nodes.get(number)) is not None:
            streams.leaving()

    def falls_back(self, number: int) -> bool:
        """Whether to use HTTP/1.1 for a node for now, because it did not speak HTTP/2."""
        streams = self._nodes.get(number)
        return streams is not None and self._clock() < streams.unspoken_until_ns

    async def start(self) -> None:
        """Start the periodic log of figures; connections open on demand."""
        self._figures_task = asyncio.create_task(self._log_figures_periodically())

    async def _log_figures_periodically(self) -> None:
        """Log the figures every `report_s` seconds until cancelled."""
        while True:
            await asyncio.sleep(self._config.report_s)
            self.log_figures()

    async def stop(self) -> None:
        """Log the last figures and close all connections."""
        if self._figures_task is not None:
            self._figures_task.cancel()
        self.log_figures()
        await self.close()

    def report(self) -> Mapping[str, object]:
        """Return the numbers of connections, open streams and waiting requests by node."""
        return {
            s.name: f"{s.stream_table.connections} connections, {s.stream_table.open_streams} streams, "
            f"{s.stream_table.waiting} waiting"
            for s in self._nodes.values()
        }

    def log_figures(self) -> None:
        """Log the figures of each node in use, reset them and remove nodes without connections."""
        for number, streams in list(self._nodes.items()):
            figures, counts = streams.stream_table.figures, streams.counts
            if figures.given or counts.turned_back or streams.stream_table.waiting:
                self._log.info(
                    "h2-figures",
                    "streams to a node since the previous report",
                    node=streams.name,
                    connections=streams.stream_table.connections,
                    open=streams.stream_table.open_streams,
                    waiting=streams.stream_table.waiting,
                    given=figures.given,
                    waited=figures.waited,
                    longest_wait_ms=figures.longest_wait_ns // 1_000_000,
                    opened=figures.opened,
                    goaways=counts.goaways,
                    lost=figures.lost,
                    refused=counts.refused,
                    turned_back=counts.turned_back,
                )
            streams.stream_table.figures, streams.counts = type(figures)(), StreamCounts()
            if streams.idle and streams.unspoken_until_ns < self._clock():
                del self._nodes[number]
        if self.repeats:
            self._log.info("h2-repeats", "attempts after the first, by class", **self.repeats)
            self.repeats = {}

    async def close(self) -> None:
        """Close all connections to all nodes."""
        await asyncio.gather(*(streams.close() for streams in self._nodes.values()))
