"""The state of one HTTP/2 connection to a node, without its socket.

The session produces output only when the socket can write it.  Thus no request waits in a send buffer after
its node has started to drain, and the scheduler buffers at most one chunk for a node that does not read.  The
caller takes each chunk from `make` and calls `broke` if the write failed.
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

CHUNK_BYTES = 16 * 1024  # bytes produced for one write; the last frame may exceed it
WINDOW_UPDATE_BYTES = 32 * 1024  # received bytes after which a WINDOW_UPDATE is sent
STREAM_END_TIMEOUT_S = 1.0  # time limit for the end of the stream once the result is known
_ANSWERING = (ResponseReceived, TrailersReceived, InformationalResponseReceived, StreamEnded)


class SessionOwner(Protocol):
    """Receives the events of a connection.  The session calls no method after the connection is over."""

    def opened(self, session: Http2Session, announced: int) -> None:
        """The node has sent its first SETTINGS and allows `announced` concurrent streams."""

    def limited(self, session: Http2Session, announced: int) -> None:
        """The node now allows `announced` concurrent streams."""

    def quiet(self, session: Http2Session, silent: bool) -> None:
        """A PING to the node is unanswered (`silent`), or a frame has arrived again."""

    def retired(self, session: Http2Session, code: int | None, above: int) -> None:
        """The connection accepts no new streams.

        Either the node has sent a GOAWAY with error `code`, and `above` open streams are above its last
        stream id, or no stream ids are left (`code` is None)."""

    def ended(self, session: Http2Session, exchange: StreamExchange[Any]) -> None:
        """The stream of an exchange has ended."""

    def unbegun(self, session: Http2Session, exchange: StreamExchange[Any]) -> None:
        """The session returns an assigned request of which no byte was written."""

    def lost(self, session: Http2Session, why: str, spoken: bool) -> None:
        """The connection is over; `spoken` is False if the peer evidently does not speak HTTP/2."""


class Http2Session:
    """An HTTP/2 client connection; calls `wake` when `make` has output to produce."""

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
        self._liveness = LivenessCheck(now, round(config.ping_after_s * 1e9), round(config.ping_wait_s * 1e9))
        self._h2 = GuardedConnection(lambda: self._budget.spend(clock()))
        self._streams: dict[int, StreamExchange[Any]] = {}
        self._starting: deque[StreamExchange[Any]] = deque()
        self._bodies: dict[int, StreamExchange[Any]] = {}  # exchanges whose body is not fully sent
        self._out = bytearray()
        self._bytes_made = 0  # total bytes returned by `make`
        self._possibly_sent = 0  # output offset up to which bytes may have been sent
        self._held = 0
        self._unacknowledged = 0  # received bytes of ended streams, not yet returned to the connection window
        self._last = 2**31 - 1  # the last stream id that the node still processes
        self._unbegun: list[StreamExchange[Any]] = []
        self._settings_received = False  # whether the first SETTINGS were reported to the owner
        self.over = False

    def greet(self) -> None:
        """Queue the connection preface and SETTINGS."""
        self._h2.greet()
        self._drain()

    @property
    def greeted(self) -> bool:
        """Whether the node has sent its SETTINGS, which shows that it speaks HTTP/2."""
        return self._h2.greeted

    @property
    def open_streams(self) -> int:
        """The number of open streams."""
        return len(self._streams)

    # --- requests

    def give(self, exchange: StreamExchange[Any]) -> None:
        """Assign a request to this connection; it is sent as soon as the socket can write."""
        exchange.connection = self.number
        self._starting.append(exchange)
        self._wake()

    def withdraw(self, exchange: StreamExchange[Any], cause: Cause) -> Outcome:
        """Cancel a request and return its outcome; sends RST_STREAM if its stream is open (RFC 9113, section
        5.4.2)."""
        # Output already produced precedes the RST_STREAM, so the node may receive the whole request.
        how = outcome(cause, exchange.end_at is not None, exchange.answered)
        if exchange.stream == 0:
            with contextlib.suppress(ValueError):
                self._starting.remove(exchange)
            self._owner.ended(self, exchange)
        elif exchange.stream in self._streams:
            self._reset(exchange, ErrorCodes.CANCEL, cause)
        return how

    def _begin(self, exchange: StreamExchange[Any]) -> None:
        if not exchange.may_begin():  # checked just before the first byte
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
        except TooManyStreamsError:  # the limit was lowered after the request was assigned
            self._owner.limited(self, min(self._announced(), len(self._streams)))
            self._unbegun.append(exchange)
            return
        except BaseException:
            exchange.finish(Outcome.NOT_SENT)
            self._owner.ended(self, exchange)
            raise
        exchange.stream, exchange.begun_ns = stream, self._clock()
        if not self._streams:
            self._liveness.expect_answer(exchange.begun_ns)
        self._streams[stream] = exchange
        self._budget.stream_opened()
        if exchange.body:
            self._bodies[stream] = exchange
            self._push(exchange)
        self._drain()
        if not exchange.body:
            exchange.end_at = self._bytes_made + len(self._out)

    def _push(self, exchange: StreamExchange[Any]) -> None:
        """Queue as much of a body as the flow-control windows and the chunk size allow."""
        stream, body, h2 = exchange.stream, exchange.body, self._h2
        while len(self._out) < CHUNK_BYTES:
            rest = len(body) - exchange.sent
            size = min(rest, h2.local_flow_control_window(stream), h2.max_outbound_frame_size)
            if size <= 0:
                return
            h2.send_data(stream, body[exchange.sent : exchange.sent + size], end_stream=size == rest)
            exchange.sent += size
            self._drain()
            if size == rest:
                exchange.end_at = self._bytes_made + len(self._out)
                del self._bodies[stream]
                return

    # --- writing

    def _drain(self) -> None:
        if data := self._h2.data_to_send():
            self._out += data
            self._wake()

    def make(self) -> bytes:
        """Return the next chunk: responses to the node's frames, then open bodies, then new requests."""
        for exchange in list(self._bodies.values()) if self._bodies else ():
            self._push(exchange)
        while self._starting and len(self._out) < CHUNK_BYTES:
            self._begin(self._starting.popleft())
        data = bytes(self._out)
        self._out.clear()
        self._bytes_made += len(data)
        # Until `broke` reports a failed write, any of these bytes may have been sent, including the last one.
        self._possibly_sent = self._bytes_made
        while self._unbegun:
            self._owner.unbegun(self, self._unbegun.pop(0))
        return data

    def broke(self) -> None:
        """Record that the write of the last chunk failed: at least its last byte was not sent."""
        self._possibly_sent = self._bytes_made - 1

    def parting(self) -> bytes:
        """Return the final output with a GOAWAY (RFC 9113, section 6.8)."""
        with contextlib.suppress(H2Error):
            self._h2.close_connection()
        self._drain()
        data = bytes(self._out)
        self._out.clear()
        return data

    # --- reading

    def receive(self, data: memoryview) -> None:
        """Process received bytes; raises ProtocolError if the connection must end with `parting`."""
        for event in self._h2.receive_data(data):
            self._process_event(event)
        if self._liveness.frame_received(self._clock()):
            self._owner.quiet(self, False)
        self._drain()

    def _announced(self) -> int:
        return min(self._h2.remote_settings.max_concurrent_streams, 2**31)

    def _process_event(self, event: Event) -> None:
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
                self._remove(exchange, Cause.REFUSED if refused else Cause.RESET)
        elif isinstance(event, RemoteSettingsChanged):
            notify = self._owner.limited if self._settings_received else self._owner.opened
            self._settings_received = True
            notify(self, self._announced())
            self._wake()  # a larger initial window may allow more body data
        elif isinstance(event, ConnectionTerminated):
            self._going_away(event)
        elif self._bodies:
            self._wake()  # the event may be a WINDOW_UPDATE

    def _data(self, event: DataReceived) -> None:
        stream, data = event.stream_id or 0, event.data or b""
        exchange = self._streams.get(stream)
        if exchange is not None and not exchange.ended_ns:
            before, broken = exchange.answer.held, False
            exchange.answered = True
            try:
                self._set_result(exchange, exchange.answer.piece(data))
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
        """Return received bytes to the flow-control windows once WINDOW_UPDATE_BYTES bytes have accumulated.

        Most responses are smaller than that, so they need no WINDOW_UPDATE of their own."""
        if exchange is not None and exchange.stream in self._streams:
            exchange.unread += size
            if exchange.unread >= WINDOW_UPDATE_BYTES:
                self._h2.acknowledge_received_data(exchange.unread, stream)
                exchange.unread = 0
            return
        self._left_unread(stream, size)

    def _left_unread(self, stream: int, size: int) -> None:
        """Return received bytes of an ended stream, which count only for the connection window."""
        self._unacknowledged += size
        if self._unacknowledged >= WINDOW_UPDATE_BYTES:
            self._h2.acknowledge_received_data(self._unacknowledged, stream)
            self._unacknowledged = 0

    def _answer(self, exchange: StreamExchange[Any], event: Event) -> None:
        exchange.answered = True
        if isinstance(event, InformationalResponseReceived):
            exchange.interim += 1
            if exchange.interim > MOST_INTERIM:
                self._reset(exchange, ErrorCodes.ENHANCE_YOUR_CALM, Cause.RESET)
        elif isinstance(event, ResponseReceived):
            self._set_result(exchange, exchange.answer.head(event.headers or ()))
        elif isinstance(event, TrailersReceived):
            if not exchange.ended_ns:
                self._set_result(exchange, exchange.answer.end(event.headers or ()))
        else:
            if not exchange.ended_ns:
                self._set_result(exchange, exchange.answer.end(()))
            if exchange.end_at is None:  # a response before the end of the request: do not send the rest
                self._reset(exchange, ErrorCodes.NO_ERROR, Cause.RESET)
            else:
                self._remove(exchange, Cause.RESET)

    def _set_result(self, exchange: StreamExchange[Any], result: object | None) -> None:
        if result is not None and not exchange.ended_ns:
            exchange.ended_ns = self._clock()
            exchange.finish(result)

    def _going_away(self, event: ConnectionTerminated) -> None:
        """End the streams above the last id, which never ran; later GOAWAYs can only lower that id."""
        self._last = min(self._last, event.last_stream_id or 0)
        above = [e for stream, e in self._streams.items() if stream > self._last]
        code = int(event.error_code or 0)
        self._owner.retired(self, code, len(above))
        for exchange in above:
            self._remove(exchange, Cause.ABOVE_LAST)
        while self._starting:
            self._owner.unbegun(self, self._starting.popleft())

    # --- endings

    def _may_have_run(self, exchange: StreamExchange[Any]) -> bool:
        return exchange.end_at is not None and exchange.end_at <= self._possibly_sent

    def _reset(self, exchange: StreamExchange[Any], code: ErrorCodes, cause: Cause) -> None:
        with contextlib.suppress(H2Error):  # the stream has already ended
            self._h2.reset_stream(exchange.stream, code)
        self._drain()
        self._remove(exchange, cause)

    def _remove(self, exchange: StreamExchange[Any], cause: Cause) -> None:
        """Remove a stream; `cause` sets the outcome unless the result is set already."""
        if self._streams.pop(exchange.stream, None) is None:
            return
        self._bodies.pop(exchange.stream, None)
        self._held -= exchange.answer.held
        self._left_unread(exchange.stream, exchange.unread)
        exchange.unread = 0
        exchange.finish(outcome(cause, self._may_have_run(exchange), exchange.answered))
        self._owner.ended(self, exchange)

    def end(self, why: str, spoken: bool = True) -> None:
        """End the connection with all its streams; see `SessionOwner.lost` for `spoken`."""
        if self.over:
            return
        self.over = True
        starting = [*self._unbegun, *self._starting]
        self._starting.clear()
        self._unbegun.clear()
        self._owner.lost(self, why, spoken)
        for exchange in list(self._streams.values()):
            self._remove(exchange, Cause.LOST)
        for exchange in starting:
            self._owner.unbegun(self, exchange)

    def heartbeat(self, now: int) -> None:
        """Send a PING if due, and cancel requests with a blocked body and streams that do not end in time."""
        match self._liveness.check(now, bool(self._streams)):
            case LivenessStep.SEND_PING:
                self._h2.ping(b"hollowus")
                self._drain()
                self._owner.quiet(self, True)
            case LivenessStep.BROKEN:
                self.end("no frame after the PING")
                return
        held_up = round(self._config.body_wait_s * 1e9)
        for exchange in [e for e in self._bodies.values() if now - e.begun_ns >= held_up]:
            self._reset(exchange, ErrorCodes.CANCEL, Cause.BODY_BLOCKED)
        for exchange in list(self._streams.values()):
            if exchange.ended and not exchange.ended_ns:
                exchange.ended_ns = now
            if exchange.ended_ns and now - exchange.ended_ns >= STREAM_END_TIMEOUT_S * 1e9:
                self._reset(exchange, ErrorCodes.CANCEL, Cause.RESET)
