"""One HTTP/2 connection to a node, without its socket: bytes in, bytes out, and what is open between them.

What goes out is made at the moment at which it can be written, never before: so nothing waits in a buffer
of ours past the moment at which its node drains, and what is held for a node that does not read is one
piece of a ring.  Who makes it (`make`) says if its write failed (`broke`).
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    InformationalResponseReceived,
    RemoteSettingsChanged,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
)
from h2.exceptions import H2Error, NoAvailableStreamIDError, TooManyStreamsError

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.net.http2.exchange import MOST_INTERIM, StreamExchange
from hollowusher.scheduler.net.http2.guarded import GuardedConnection
from hollowusher.scheduler.net.http2.settings import Http2Config
from hollowusher.scheduler.rules.liveness import FrameBudget, LivenessCheck, LivenessStep
from hollowusher.scheduler.rules.stream_ends import Cause, outcome
from hollowusher.scheduler.rules.streams import RejectReason

PIECE = 16 * 1024  # what is made for one write; a frame may go over it
ACKNOWLEDGE = 32 * 1024  # bytes taken before the node is told that its windows are open again
TAIL_S = 1.0  # how long the end of an answer may take once its last line has come
_ANSWERING = (ResponseReceived, TrailersReceived, InformationalResponseReceived, StreamEnded)


class SessionOwner(Protocol):
    """Who is told of a connection.  Nothing here is called once the connection is over."""

    def opened(self, session: Http2Session, announced: int) -> None:
        """The node has shown that it speaks HTTP/2, and allows so many streams."""

    def limited(self, session: Http2Session, announced: int) -> None:
        """It allows so many from now on."""

    def quiet(self, session: Http2Session, silent: bool) -> None:
        """It owes a sign of life, or has given one."""

    def retired(self, session: Http2Session, code: int | None, above: int) -> None:
        """Nothing new may go on it: GOAWAY with this code, so many streams above its last; None: no ids
        left."""

    def ended(self, session: Http2Session, exchange: StreamExchange[Any]) -> None:
        """A stream is over."""

    def unbegun(self, session: Http2Session, exchange: StreamExchange[Any]) -> None:
        """A request that was given comes back without a byte written."""

    def lost(self, session: Http2Session, why: str, spoken: bool) -> None:
        """The connection is over; `spoken`: nothing has shown that the other side speaks anything else."""


class Http2Session:
    """The connection.  `wake` is called when there is something to make."""

    def __init__(
        self,
        number: int,
        config: Http2Config,
        owner: SessionOwner,
        clock: Callable[[], int],
        wake: Callable[[], None],
    ) -> None:
        now = clock()
        self.number, self._config, self._owner, self._clock, self._wake = number, config, owner, clock, wake
        self._budget = FrameBudget(now, config.control_frames)
        self._pulse = LivenessCheck(now, round(config.ping_after_s * 1e9), round(config.ping_wait_s * 1e9))
        self._h2 = GuardedConnection(lambda: self._budget.spend(clock()))
        self._streams: dict[int, StreamExchange[Any]] = {}
        self._starting: deque[StreamExchange[Any]] = deque()
        self._bodies: dict[int, StreamExchange[Any]] = {}  # of which not all has gone out
        self._out = bytearray()
        self._taken = 0  # bytes handed to the socket
        self._reach = 0  # no byte from here on can have left us
        self._held = 0
        self._unread = 0  # bytes taken from streams that are over, of which the node has not been told
        self._last = 2**31 - 1  # the last stream that the node still serves
        self._unbegun: list[StreamExchange[Any]] = []
        self._introduced = False  # whether the first SETTINGS have been told of
        self.over = False

    def greet(self) -> None:
        """Greet the node."""
        self._h2.greet()
        self._drain()

    @property
    def greeted(self) -> bool:
        """Whether the node has shown that it speaks HTTP/2."""
        return self._h2.greeted

    @property
    def open_streams(self) -> int:
        """Streams open on it."""
        return len(self._streams)

    # --- requests

    def give(self, exchange: StreamExchange[Any]) -> None:
        """The request's turn: it goes out as soon as the socket takes it."""
        exchange.connection = self.number
        self._starting.append(exchange)
        self._wake()

    def withdraw(self, exchange: StreamExchange[Any], cause: Cause) -> Outcome:
        """Give a request up: RST_STREAM where it was begun (RFC 9113, section 5.4.2).  How it ended by
        that."""
        # What is made is written before the RST_STREAM: the node may have it whole for a moment.
        how = outcome(cause, exchange.end_at is not None, exchange.answered)
        if exchange.stream == 0:
            with contextlib.suppress(ValueError):
                self._starting.remove(exchange)
            self._owner.ended(self, exchange)
        elif exchange.stream in self._streams:
            self._reset(exchange, ErrorCodes.CANCEL, cause)
        return how

    def _begin(self, exchange: StreamExchange[Any]) -> None:
        if not exchange.may_begin():  # asked just before the first byte
            exchange.finish(RejectReason.LEAVING)
            self._owner.ended(self, exchange)
            return
        try:
            stream = self._h2.get_next_available_stream_id()
            self._h2.send_headers(stream, exchange.headers(), end_stream=not exchange.body)
        except NoAvailableStreamIDError:
            self._owner.retired(self, None, 0)
            self._unbegun.append(exchange)
            return
        except TooManyStreamsError:  # the limit was lowered after the request had been given to us
            self._owner.limited(self, min(self._announced(), len(self._streams)))
            self._unbegun.append(exchange)
            return
        except BaseException:
            exchange.finish(Outcome.NOT_SENT)
            self._owner.ended(self, exchange)
            raise
        exchange.stream, exchange.begun_ns = stream, self._clock()
        if not self._streams:
            self._pulse.expect_answer(exchange.begun_ns)
        self._streams[stream] = exchange
        self._budget.stream_opened()
        if exchange.body:
            self._bodies[stream] = exchange
            self._push(exchange)
        self._drain()
        if not exchange.body:
            exchange.end_at = self._taken + len(self._out)

    def _push(self, exchange: StreamExchange[Any]) -> None:
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
            self._wake()

    def make(self) -> bytes:
        """The next piece: answers to the node's frames, bodies under way, then new requests."""
        for exchange in list(self._bodies.values()) if self._bodies else ():
            self._push(exchange)
        while self._starting and len(self._out) < PIECE:
            self._begin(self._starting.popleft())
        data = bytes(self._out)
        self._out.clear()
        self._taken += len(data)
        # Until a write ends well, any of it may have left us, its last byte too where it is cut short.
        self._reach = self._taken
        while self._unbegun:
            self._owner.unbegun(self, self._unbegun.pop(0))
        return data

    def broke(self) -> None:
        """The write of what was made last failed: at least its last byte has not left us."""
        self._reach = self._taken - 1

    def parting(self) -> bytes:
        """What ends the connection in good order: GOAWAY (RFC 9113, section 6.8)."""
        with contextlib.suppress(H2Error):
            self._h2.close_connection()
        self._drain()
        data = bytes(self._out)
        self._out.clear()
        return data

    # --- reading

    def receive(self, data: memoryview) -> None:
        """Take bytes; ProtocolError where the connection cannot go on (`parting` says so to the node)."""
        for event in self._h2.receive_data(data):
            self._reported(event)
        if self._pulse.frame_received(self._clock()):
            self._owner.quiet(self, False)
        self._drain()

    def _announced(self) -> int:
        return min(self._h2.remote_settings.max_concurrent_streams, 2**31)

    def _reported(self, event: Event) -> None:
        if isinstance(event, DataReceived):
            self._data(event)
        elif isinstance(
            event, ResponseReceived | TrailersReceived | InformationalResponseReceived | StreamEnded
        ):
            if (exchange := self._streams.get(event.stream_id or 0)) is not None:
                self._answer(exchange, event)
        elif isinstance(event, StreamReset):
            if (exchange := self._streams.get(event.stream_id or 0)) is not None:
                refused = event.remote_reset and event.error_code == ErrorCodes.REFUSED_STREAM
                self._off(exchange, Cause.REFUSED if refused else Cause.RESET)
        elif isinstance(event, RemoteSettingsChanged):
            tell = self._owner.limited if self._introduced else self._owner.opened
            self._introduced = True
            tell(self, self._announced())
            self._wake()  # a larger initial window lets bodies go on
        elif isinstance(event, ConnectionTerminated):
            self._going_away(event)
        elif self._bodies:
            self._wake()  # a window opened, perhaps

    def _data(self, event: DataReceived) -> None:
        stream, data = event.stream_id or 0, event.data or b""
        exchange = self._streams.get(stream)
        if exchange is not None and not exchange.ended_ns:
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
        self._consumed(stream, exchange, event.flow_controlled_length or 0)

    def _consumed(self, stream: int, exchange: StreamExchange[Any] | None, size: int) -> None:
        """Give the node its windows back, in large pieces: most answers are smaller than one."""
        if exchange is not None and exchange.stream in self._streams:
            exchange.unread += size
            if exchange.unread >= ACKNOWLEDGE:
                self._h2.acknowledge_received_data(exchange.unread, stream)
                exchange.unread = 0
            return
        self._left_unread(stream, size)

    def _left_unread(self, stream: int, size: int) -> None:
        """Bytes of a stream that is over: of its windows only the connection's is left to be given back."""
        self._unread += size
        if self._unread >= ACKNOWLEDGE:
            self._h2.acknowledge_received_data(self._unread, stream)
            self._unread = 0

    def _answer(self, exchange: StreamExchange[Any], event: Event) -> None:
        exchange.answered = True
        if isinstance(event, InformationalResponseReceived):
            exchange.interim += 1
            if exchange.interim > MOST_INTERIM:
                self._reset(exchange, ErrorCodes.ENHANCE_YOUR_CALM, Cause.RESET)
        elif isinstance(event, ResponseReceived):
            self._known(exchange, exchange.answer.head(event.headers or ()))
        elif isinstance(event, TrailersReceived):
            if not exchange.ended_ns:
                self._known(exchange, exchange.answer.end(event.headers or ()))
        else:
            if not exchange.ended_ns:
                self._known(exchange, exchange.answer.end(()))
            if exchange.end_at is None:  # it answered before it had the whole request: spare it the rest
                self._reset(exchange, ErrorCodes.NO_ERROR, Cause.RESET)
            else:
                self._off(exchange, Cause.RESET)

    def _known(self, exchange: StreamExchange[Any], result: object | None) -> None:
        if result is not None and not exchange.ended_ns:
            exchange.ended_ns = self._clock()
            exchange.finish(result)

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

    def _may_have_run(self, exchange: StreamExchange[Any]) -> bool:
        return exchange.end_at is not None and exchange.end_at <= self._reach

    def _reset(self, exchange: StreamExchange[Any], code: ErrorCodes, cause: Cause) -> None:
        with contextlib.suppress(H2Error):  # the stream has just ended by itself
            self._h2.reset_stream(exchange.stream, code)
        self._drain()
        self._off(exchange, cause)

    def _off(self, exchange: StreamExchange[Any], cause: Cause) -> None:
        """A stream is over; the cause counts where nothing has been told before."""
        if self._streams.pop(exchange.stream, None) is None:
            return
        self._bodies.pop(exchange.stream, None)
        self._held -= exchange.answer.held
        self._left_unread(exchange.stream, exchange.unread)
        exchange.unread = 0
        exchange.finish(outcome(cause, self._may_have_run(exchange), exchange.answered))
        self._owner.ended(self, exchange)

    def end(self, why: str, spoken: bool = True) -> None:
        """The connection is over: all that is open on it ends now.  `spoken`: see `SessionOwner`."""
        if self.over:
            return
        self.over = True
        starting = [*self._unbegun, *self._starting]
        self._starting.clear()
        self._unbegun.clear()
        self._owner.lost(self, why, spoken)
        for exchange in list(self._streams.values()):
            self._off(exchange, Cause.LOST)
        for exchange in starting:
            self._owner.unbegun(self, exchange)

    def heartbeat(self, now: int) -> None:
        """Time has passed: ask for a sign of life, take back what is held up, let go of what does not end."""
        match self._pulse.check(now, bool(self._streams)):
            case LivenessStep.SEND_PING:
                self._h2.ping(b"hollowus")
                self._drain()
                self._owner.quiet(self, True)
            case LivenessStep.BROKEN:
                self.end("no sign of life")
                return
        held_up = round(self._config.body_wait_s * 1e9)
        for exchange in [e for e in self._bodies.values() if now - e.begun_ns >= held_up]:
            self._reset(exchange, ErrorCodes.CANCEL, Cause.BODY_BLOCKED)
        for exchange in list(self._streams.values()):
            if exchange.ended and not exchange.ended_ns:
                exchange.ended_ns = now
            if exchange.ended_ns and now - exchange.ended_ns >= TAIL_S * 1e9:
                self._reset(exchange, ErrorCodes.CANCEL, Cause.RESET)
