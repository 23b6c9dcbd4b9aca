"""aiohttp's protocol for one connection, with bounds on what it holds.

aiohttp's parser continues after an error, collects a head of up to 128 headers of the greatest size, and
parses 32 requests ahead.  The class below passes received bytes to the parser in small parts, in
turn with the other connections of its listener.  It parses the next request once the previous response is
written, and stops at the first error.  Bytes that wait are kept here, and reading is paused as long as there
are any.
"""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, cast

import attrs
from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from hollowusher.http_server.limits import RequestBounds
from hollowusher.transport.connection_metrics import CloseReason
from hollowusher.transport.received_bytes import ReceivedBytes

if TYPE_CHECKING:
    from hollowusher.http_server.listener import BoundedListener

PARSED_BYTES = 16 * 1024  # bytes that are passed to the parser at a time
UNSENT_HIGH_WATER_BYTES = 16 * 1024  # responses wait for their client to read from here on
MAX_DISCARDED_BYTES = 4 * 1024 * 1024  # of a rejected body
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
# Metrics count bad requests and the listener reports errors, so aiohttp's log lines for them are disabled.
silenced_logger = logging.getLogger("hollowusher.http_server")
silenced_logger.disabled = True


class BoundedRequestHandler(web.RequestHandler):
    """One connection of a `BoundedListener`."""

    def __init__(
        self, listener: BoundedListener, server: web.Server, bounds: RequestBounds, options: dict[str, Any]
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(server, loop=loop, logger=silenced_logger, **options)
        self._listener = listener
        self._bounds = bounds
        self._connection: asyncio.Transport | None = None  # kept after aiohttp has dropped `transport`
        self._waiting = ReceivedBytes()
        self._is_held_back = False  # reading is paused because of `_waiting`
        self._is_stopped = False  # nothing is parsed any more
        self._responses = 0
        self._payload: StreamReader | None = None  # body of the newest request
        self._head_bytes = 0  # parsed since the newest head was complete, outside its body
        self._request_bytes = 0  # parsed since the last response
        self._last_part = 0
        self._discarded_bytes = 0
        self._unsent_high_water = UNSENT_HIGH_WATER_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; it may be closed at once if there are too many."""
        self._connection = cast(asyncio.Transport, transport)
        self._connection.set_write_buffer_limits(high=self._unsent_high_water)
        super().connection_made(transport)
        self._listener.opened(self, self._bounds.head_timeout_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection held, without waiting for the garbage collector."""
        self._is_stopped = True
        self._waiting.clear()
        self._payload = None  # refers to this object
        self._listener.closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as far as the next request may be handled; empty `data` resumes the parser."""
        if self._is_stopped:
            self._discard(len(data))
            return
        if data:
            self._waiting.append(data)
        else:
            self._parse(b"")
        self._parse_waiting()

    def process_part(self) -> bool:
        """Parse some of the waiting bytes, and return whether more may be parsed now."""
        if self._can_parse():
            self._parse(self._waiting.take(PARSED_BYTES))
        if self._can_parse():
            return True
        self._note_waiting()
        return False

    def fail(self, error: Exception) -> None:
        """Report an exception of the parser, and close the connection."""
        self._listener.report(error)
        self.abort()

    def abort(self) -> None:
        """Close the connection without sending what is unsent."""
        self._is_stopped = True
        self._waiting.clear()
        if self._connection is not None:
            self._connection.abort()
        self.force_close()

    def drop_waiting(self) -> None:
        """Discard what was received behind the current request, and close after its response."""
        self._stop()
        self.close()
        self._hold_received()

    @property
    def is_handling(self) -> bool:
        """Whether a complete request waits for its response."""
        return self._request_count > self._responses and not self._has_open_body()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, then continue with the bytes that have arrived meanwhile."""
        if self._has_open_body():
            resp.force_close()
        body = getattr(resp, "body", None)
        size = len(body) if isinstance(body, bytes) else 0
        self._listener.response_started(self, size)
        self._set_unsent_high_water(size)
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            _release_bodies(request, resp)
            self._responses += 1
            self._listener.response_ended(self)
            if self._has_open_body():
                self._is_stopped = True  # aiohttp waits for the rest for its `lingering_time`, and closes
                self._waiting.clear()
                self._hold_back(is_held_back=False)
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._parse_waiting)
            else:
                self._hold_received()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,  # noqa: ARG002 - signature of the base class
    ) -> web.StreamResponse:
        """Return a short response to a malformed request or an error of a handler; it ends the connection."""
        if status != HTTPStatus.BAD_REQUEST and isinstance(exc, Exception):
            self._listener.report(exc)
        if request.writer.output_size > 0:
            raise ConnectionError("another response was already sent")
        response = web.Response(status=status, text=HTTPStatus(status).phrase)
        response.force_close()
        return response

    def _set_unsent_high_water(self, response_size: int) -> None:
        """Wait until a large response is sent whole: the transport keeps all of it until its last byte is."""
        if self._connection is None:
            return
        high_water = UNSENT_HIGH_WATER_BYTES if response_size < UNSENT_HIGH_WATER_BYTES else 0
        if high_water != self._unsent_high_water and not self._connection.is_closing():
            self._unsent_high_water = high_water
            self._connection.set_write_buffer_limits(high=high_water)

    def _parse_waiting(self) -> None:
        """Parse the waiting bytes as far as possible, in turn with the other connections."""
        queue = self._listener.parse_queue
        if self._can_parse():
            queue.add(self)
            if self not in queue:
                return
        self._note_waiting()

    def _note_waiting(self) -> None:
        """Note the bytes that wait, and pause reading while there are any."""
        if self._close or self._force_close:
            self._waiting.clear()
        self._hold_received()
        if not self._is_stopped:
            self._hold_back(bool(self._waiting))

    def _can_parse(self) -> bool:
        """Return whether bytes wait that the parser may get: not behind a request that has no response."""
        if not self._waiting or self._is_stopped:
            return False
        if self._reading_paused or self._close or self._force_close:
            return False
        unanswered = self._request_count - self._responses
        return unanswered == 0 or (unanswered == 1 and self._has_open_body())

    def _has_open_body(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def _parse(self, part: bytes) -> None:
        requests = self._request_count
        open_body = self._payload if self._has_open_body() else None
        body_bytes = 0 if open_body is None else open_body.total_bytes
        super().data_received(part)
        self._last_part = len(part)
        self._request_bytes += len(part)
        if self._request_count > requests:
            self._note_request()
        elif open_body is not None and open_body.is_eof():
            self._note_end_of_body()
        elif open_body is not None and open_body.total_bytes > body_bytes:
            self._head_bytes = 0
        elif part:
            self._note_head_bytes(len(part))

    def _note_request(self) -> None:
        """Note a request whose head is complete, or the error with which the parser has ended."""
        message, payload = self._messages[-1]
        self._head_bytes = 0
        if not isinstance(message, RawRequestMessage):
            # The parser's error quotes the received bytes several times, and its traceback refers to itself.
            message.exc.__traceback__ = None
            self._messages[-1] = (attrs.evolve(message, exc=ValueError(), message=""), payload)
            self._listener.metrics.count(CloseReason.MALFORMED)
            self._stop()
            return
        self._payload = payload
        if payload.is_eof():
            self._listener.request_received(self)
        else:
            self._listener.expect(self, self._bounds.body_timeout_s)

    def _note_end_of_body(self) -> None:
        self._head_bytes = 0
        if self.is_handling:
            self._listener.request_received(self)

    def _note_head_bytes(self, size: int) -> None:
        """Count bytes of a head or of trailers, and refuse the connection if there are too many."""
        if not self._head_bytes and not self._has_open_body():
            self._listener.expect(self, self._bounds.head_timeout_s)
        self._head_bytes += size
        if self._head_bytes <= self._bounds.max_head_bytes:
            return
        self._listener.metrics.count(CloseReason.HEAD_TOO_LARGE)
        if self._request_count == self._responses and self.transport is not None:
            self.transport.write(HEAD_TOO_LARGE)
        self._stop()
        self.force_close()

    def _discard(self, size: int) -> None:
        """Read on for a while without parsing, so that the client gets to read its response."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._hold_back(is_held_back=True)

    def _stop(self) -> None:
        """Parse and read nothing more."""
        self._is_stopped = True
        self._waiting.clear()
        self._hold_back(is_held_back=True)

    def _hold_received(self) -> None:
        """Tell the listener how many bytes of requests without a response are here."""
        if self._request_count == self._responses and not self._has_open_body():
            self._request_bytes = min(self._request_bytes, self._last_part)
        self._listener.hold_received(self, self._request_bytes + len(self._waiting))

    def _hold_back(self, is_held_back: bool) -> None:  # noqa: FBT001 - a state, not an option
        if is_held_back == self._is_held_back:
            return
        self._is_held_back = is_held_back
        if is_held_back:
            self._pause_transport_reading()
        elif not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._is_held_back:
            super()._resume_transport_reading()


def _release_bodies(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Drop the bodies of an exchange that has ended: aiohttp keeps both objects until the next request."""
    request._read_bytes = None
    error = request.content.exception()
    if error is not None:
        error.__traceback__ = None  # its frames refer to the request, and the request to the error
    if isinstance(response, web.Response):
        response.body = None
