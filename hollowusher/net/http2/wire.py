"""One HTTP/2 connection to a node: a task that reads, a task that writes, and what is open between them.

What goes out is made at the moment at which it can be written, never before: so nothing waits in a buffer
of ours past the moment at which its node drains, and what is held for a node that does not read is one
piece of a ring."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated, DataReceived, Event, InformationalResponseReceived, RemoteSettingsChanged,
    ResponseReceived, StreamEnded, StreamReset, TrailersReceived,
)
from h2.exceptions import H2Error, NoAvailableStreamIDError, ProtocolError, TooManyStreamsError

from hazelweir.interface import Outcome
from hollowusher.net.http2.exchange import MOST_INTERIM, Exchange
from hollowusher.net.http2.guarded import GuardedConnection
from hollowusher.net.http2.settings import Http2Config
from hollowusher.net.link import Link
from hollowusher.rules.pulse import Beat, FrameBudget, Pulse
from hollowusher.rules.stream_ends import Cause, outcome
from hollowusher.rules.streams import Why

PIECE = 16 * 1024  # what is made for one write; a frame may go over it
STUCK_S = 0.2  # a write that takes longer could carry a new job past the 250 ms after its node's drain
TAIL_S = 1.0  # how long the end of an answer may take once its last line has come
PARTING_S = 0.2  # how long our own GOAWAY may take
_ANSWERING = (ResponseReceived, TrailersReceived, InformationalResponseReceived, StreamEnded)


class Owner(Protocol):
    """Who is told of a connection.  Nothing here is called once the connection is over."""

    def opened(self, wire: Wire, announced: int) -> None:
        """The node has shown that it speaks HTTP/2, and allows so many streams."""

    def limited(self, wire: Wire, announced: int) -> None:
        """It allows so many from now on."""

    def quiet(self, wire: Wire, silent: bool) -> None:
        """It owes a sign of life, or has given one."""

    def retired(self, wire: Wire, code: int | None, above: int) -> None:
        """Nothing new may go on it: GOAWAY with this code, so many streams above its last; None: no ids
        left."""

    def ended(self, wire: Wire, exchange: Exchange[Any]) -> None:
        """A stream is over."""

    def unbegun(self, wire: Wire, exchange: Exchange[Any]) -> None:
        """A request that was given comes back without a byte written."""

    def lost(self, wire: Wire, why: str, spoken: bool) -> None:
        """The connection is over; `spoken`: nothing has shown that the other side speaks anything else."""


class Wire:
    """The connection."""

    def __init__(
        self, number: int, link: Link, drop: Callable[[Link], None], config: Http2Config, owner: Owner,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        now = clock()
        self.number, self._link, self._config, self._owner, self._clock = number, link, config, owner, clock
        self._drop = drop  # closes the link and counts it out
        self._budget = FrameBudget(now, config.control_frames)
        self._pulse = Pulse(now, round(config.ping_after_s * 1e9), round(config.ping_wait_s * 1e9))
        self._h2 = GuardedConnection(lambda: self._budget.spend(clock()))
        self._streams: dict[int, Exchange[Any]] = {}
        self._starting: deque[Exchange[Any]] = deque()
        self._bodies: dict[int, Exchange[Any]] = {}  # of which not all has gone out
        self._out = bytearray()
        self._taken = 0  # bytes handed to the socket
        self._reach = 0  # no byte from here on can have left us
        self._held = 0
        self._last = 2**31 - 1  # the last stream that the node still serves
        self._wake = asyncio.Event()
        self._introduced = False  # whether the first SETTINGS have been told of
        self._over = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Greet the node and serve the connection."""
        self._h2.greet()
        self._drain()
        self._tasks = [asyncio.create_task(self._write()), asyncio.create_task(self._read())]

    @property
    def greeted(self) -> bool:
        """Whether the node has shown that it speaks HTTP/2."""
        return self._h2.greeted

    @property
    def open_streams(self) -> int:
        """Streams open on it."""
        return len(self._streams)

    # --- requests

    def give(self, exchange: Exchange[Any]) -> None:
        """The request's turn: it goes out as soon as the socket takes it."""
        exchange.connection = self.number
        self._starting.append(exchange)
        self._wake.set()

    def withdraw(self, exchange: Exchange[Any], cause: Cause) -> Outcome:
        """Give a request up: RST_STREAM where it was begun (RFC 9113, section 5.4.2).  How it ended by
        that."""
        how = outcome(cause, self._may_have_run(exchange), exchange.answered)
        if exchange.stream == 0:
            with contextlib.suppress(ValueError):
                self._starting.remove(exchange)
            self._owner.ended(self, exchange)
        elif exchange.stream in self._streams:
            self._reset(exchange, ErrorCodes.CANCEL, cause)
        return how

    def _begin(self, exchange: Exchange[Any]) -> None:
        if not exchange.may_begin():  # asked just before the first byte
            exchange.settle(Why.LEAVING)
            self._owner.ended(self, exchange)
            return
        stream = 0
        try:
            stream = self._h2.get_next_available_stream_id()
            self._h2.send_headers(stream, exchange.headers(), end_stream=not exchange.body)
        except (TooManyStreamsError, NoAvailableStreamIDError) as wrong:
            if isinstance(wrong, NoAvailableStreamIDError):
                self._owner.retired(self, None, 0)
            # Not here: it may be given back to this connection at once, and this is its loop.
            asyncio.get_running_loop().call_soon(self._owner.unbegun, self, exchange)
            return
        exchange.stream, exchange.begun_ns = stream, self._clock()
        self._streams[stream] = exchange
        self._budget.earned()
        if exchange.body:
            self._bodies[stream] = exchange
            self._push(exchange)
        self._drain()
        if not exchange.body:
            exchange.end_at = self._taken + len(self._out)

    def _push(self, exchange: Exchange[Any]) -> None:
        """As much of a body as the windows, and one piece, allow."""
        stream, body, h2 = exchange.stream, exchange.body, self._h2
        while len(self._out) < PIECE:
            rest = len(body) - exchange.sent
            size = min(rest, h2.local_flow_control_window(stream), h2.max_outbound_frame_size)
            if size <= 0:
                return
            h2.send_data(stream, body[exchange.sent : exchange.sent + size], end_stream=size == rest)
            exchange.sent += size
            self._drain()
            if size == rest:
                exchange.end_at = self._taken + len(self._out)
                del self._bodies[stream]
                return

    # --- writing

    def _drain(self) -> None:
        if data := self._h2.data_to_send():
            self._out += data
            self._wake.set()

    def _make(self) -> bytes:
        """The next piece: answers to the node's frames, bodies under way, then new requests."""
        for exchange in list(self._bodies.values()) if self._bodies else ():
            self._push(exchange)
        while self._starting and len(self._out) < PIECE:
            self._begin(self._starting.popleft())
        data = bytes(self._out)
        self._out.clear()
        self._taken += len(data)
        return data

    async def _write(self) -> None:
        why = "the connection could not be written to"
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while data := self._make():
                    # Until a write ends well, any of it may have left us, its last byte too where it is cut
                    # short by the time limit; an OSError tells that at least the last byte has not.
                    self._reach = self._taken
                    try:
                        async with asyncio.timeout(STUCK_S):
                            await self._link.send(data)
                    except TimeoutError:
                        why = "the node does not read"
                        raise
                    except OSError:
                        self._reach = self._taken - 1
                        raise
        except OSError as wrong:
            self._end(str(wrong) or why)
        except H2Error as wrong:  # a defect here or in the library: its streams must not hang
            self._end(f"cannot go on: {wrong!r}")

    # --- reading

    async def _read(self) -> None:
        why, spoken = "the node ended the connection", True
        try:
            while await self._link.fill():
                while self._link.inbound.size:
                    piece = self._link.inbound.pending()
                    events = self._h2.receive_data(piece)
                    self._link.inbound.taken(len(piece))
                    for event in events:
                        self._told(event)
                if self._pulse.heard(self._clock()):
                    self._owner.quiet(self, False)
                self._drain()
            spoken = self._h2.greeted  # one that ends without a word has not understood the greeting
        except ProtocolError as wrong:
            self._end(f"{type(wrong).__name__}: {wrong}", self._h2.greeted, keep_link=True)
            await self._say_goodbye()
            self._drop(self._link)
            return
        except OSError as wrong:
            why = str(wrong) or type(wrong).__name__
        except Exception as wrong:  # what hostile bytes do to a library must end the connection, and no more
            why = f"cannot be read: {wrong!r}"
        self._end(why, spoken)

    def _told(self, event: Event) -> None:
        if isinstance(event, DataReceived):
            self._data(event)
        elif isinstance(event, ResponseReceived | TrailersReceived | InformationalResponseReceived |
        StreamEnded):
            if (exchange := self._streams.get(event.stream_id or 0)) is not None:
                self._answer(exchange, event)
        elif isinstance(event, StreamReset):
            if (exchange := self._streams.get(event.stream_id or 0)) is not None:
                refused = event.remote_reset and event.error_code == ErrorCodes.REFUSED_STREAM
                self._off(exchange, Cause.REFUSED if refused else Cause.RESET)
        elif isinstance(event, RemoteSettingsChanged):
            announced = min(self._h2.remote_settings.max_concurrent_streams, 2**31)
            tell = self._owner.limited if self._introduced else self._owner.opened
            self._introduced = True
            tell(self, announced)
            self._wake.set()  # a larger initial window lets bodies go on
        elif isinstance(event, ConnectionTerminated):
            self._going_away(event)
        elif self._bodies:
            self._wake.set()  # a window opened, perhaps

    def _data(self, event: DataReceived) -> None:
        stream, data = event.stream_id or 0, event.data or b""
        exchange = self._streams.get(stream)
        if exchange is not None and not exchange.settled_ns:
            before, broken = exchange.answer.held, False
            exchange.answered = True
            try:
                self._known(exchange, exchange.answer.piece(data))
            except ConnectionError:
                broken = True
            self._held += exchange.answer.held - before
            if broken:
                self._reset(exchange, ErrorCodes.PROTOCOL_ERROR, Cause.RESET)
            elif self._held > self._config.held_bytes:
                most = max(self._streams.values(), key=lambda e: e.answer.held)
                self._reset(most, ErrorCodes.ENHANCE_YOUR_CALM, Cause.RESET)
        if event.flow_controlled_length:
            self._h2.acknowledge_received_data(event.flow_controlled_length, stream)

    def _answer(self, exchange: Exchange[Any], event: Event) -> None:
        exchange.answered = True
        if isinstance(event, InformationalResponseReceived):
            exchange.interim += 1
            if exchange.interim > MOST_INTERIM:
                self._reset(exchange, ErrorCodes.ENHANCE_YOUR_CALM, Cause.RESET)
        elif isinstance(event, ResponseReceived):
            self._known(exchange, exchange.answer.head(event.headers or ()))
        elif isinstance(event, TrailersReceived):
            if not exchange.settled_ns:
                self._known(exchange, exchange.answer.end(event.headers or ()))
        else:
            if not exchange.settled_ns:
                self._known(exchange, exchange.answer.end(()))
            if exchange.end_at is None:  # it answered before it had the whole request: spare it the rest
                self._reset(exchange, ErrorCodes.NO_ERROR, Cause.RESET)
            else:
                self._off(exchange, Cause.RESET)

    def _known(self, exchange: Exchange[Any], result: object | None) -> None:
        if result is not None and not exchange.settled_ns:
            exchange.settled_ns = self._clock()
            exchange.settle(result)

    def _going_away(self, event: ConnectionTerminated) -> None:
        """What is above the last id never ran; all else goes on.  A later GOAWAY can only lower the id."""
        self._last = min(self._last, event.last_stream_id or 0)
        above = [e for stream, e in self._streams.items() if stream > self._last]
        code = int(event.error_code or 0)
        self._owner.retired(self, code, len(above))
        for exchange in above:
            self._off(exchange, Cause.ABOVE_LAST)
        while self._starting:
            self._owner.unbegun(self, self._starting.popleft())

    # --- endings

    def _may_have_run(self, exchange: Exchange[Any]) -> bool:
        return exchange.end_at is not None and exchange.end_at <= self._reach

    def _reset(self, exchange: Exchange[Any], code: ErrorCodes, cause: Cause) -> None:
        with contextlib.suppress(H2Error):  # the stream has just ended by itself
            self._h2.reset_stream(exchange.stream, code)
        self._drain()
        self._off(exchange, cause)

    def _off(self, exchange: Exchange[Any], cause: Cause) -> None:
        """A stream is over; the cause counts where nothing has been told before."""
        if self._streams.pop(exchange.stream, None) is None:
            return
        self._bodies.pop(exchange.stream, None)
        self._held -= exchange.answer.held
        exchange.settle(outcome(cause, self._may_have_run(exchange), exchange.answered))
        self._owner.ended(self, exchange)

    def _end(self, why: str, spoken: bool = True, keep_link: bool = False) -> None:
        """The connection is over: all that is open on it ends now."""
        if self._over:
            return
        self._over = True
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        if not keep_link:
            self._drop(self._link)
        starting = list(self._starting)
        self._starting.clear()
        self._owner.lost(self, why, spoken)
        for exchange in list(self._streams.values()):
            self._off(exchange, Cause.LOST)
        for exchange in starting:
            self._owner.unbegun(self, exchange)

    def break_off(self, why: str) -> None:
        """End the connection at once, for what the node does or does not do."""
        self._end(why)

    async def part(self) -> None:
        """End a connection that has nothing on it: GOAWAY, then close."""
        self._over = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._say_goodbye()
        self._drop(self._link)

    async def _say_goodbye(self) -> None:
        with contextlib.suppress(H2Error):
            self._h2.close_connection()
        self._out += self._h2.data_to_send()
        with contextlib.suppress(OSError):
            async with asyncio.timeout(PARTING_S):
                await self._link.send(bytes(self._out))
        self._out.clear()

    def beat(self, now: int) -> None:
        """Time has passed: ask for a sign of life, take back what is held up, let go of what does not end."""
        match self._pulse.check(now, bool(self._streams)):
            case Beat.ASK:
                self._h2.ping(b"hollowus")
                self._drain()
                self._owner.quiet(self, True)
            case Beat.BROKEN:
                self._end("no sign of life")
                return
        held_up = round(self._config.body_wait_s * 1e9)
        for exchange in [e for e in self._bodies.values() if now - e.begun_ns >= held_up]:
            self._reset(exchange, ErrorCodes.CANCEL, Cause.HELD_UP)
        for exchange in list(self._streams.values()):
            if exchange.over.done() and not exchange.settled_ns:
                exchange.settled_ns = now
            if exchange.settled_ns and now - exchange.settled_ns >= TAIL_S * 1e9:
                self._reset(exchange, ErrorCodes.CANCEL, Cause.RESET)
