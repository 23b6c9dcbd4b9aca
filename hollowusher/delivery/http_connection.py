"""An HTTP/1.1 connection to a worker or receiver that carries one request at a time.

aiohttp's response parser parses the responses.  aiohttp's client session is unsuitable for three reasons.  It
takes bytes that arrive on an idle connection as the response to the next request, it cannot skip a response
that belongs to another message, and it does not report whether it has sent any bytes of a request.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any, cast

import attrs
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser

from hollowusher.transport.fair_queue import FairQueue
from hollowusher.transport.received_bytes import ReceivedBytes

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# The parser pauses reading above this limit, which is never reached: bodies are discarded as they arrive.
READ_LIMIT_BYTES = 2 * MAX_RESPONSE_BYTES
MAX_HEADER_BYTES = 16_384
MAX_HEAD_BYTES = (
    32 * 1024
)  # of a response, with interim responses, trailers and chunks' sizes beyond its body
PARSED_BYTES = 16 * 1024  # bytes that are passed to the parser at a time
KEEP_ALIVE_MARGIN_S = 0.4  # an idle connection is not reused this close to its announced end
USER_TIMEOUT_MS = 5_000


class ExchangeError(Exception):
    """Raised if a request got no valid response.

    `step` is the failed operation: "connect", "send" or "answer".  `sent` means that bytes of the request may
    have reached the peer.  `answered` means that bytes of a response arrived.  `reused` means that the
    connection had carried an earlier request."""

    def __init__(
        self,
        step: str,
        address: str,
        reason: str,
        *,
        sent: bool,
        answered: bool = False,
        reused: bool = False,
    ) -> None:
        super().__init__(f"{step} at {address}: {reason}")
        self.step = step
        self.address = address
        self.reason = reason
        self.sent = sent
        self.answered = answered
        self.reused = reused


@attrs.frozen
class DeliveryResponse:
    """A complete response, without its body: workers' response bodies are discarded."""

    status: int
    headers: Mapping[str, str]
    is_resend: bool = False  # the request was sent twice, and the first attempt got no response


ResponseMatcher = Callable[[DeliveryResponse], bool]  # whether a response belongs to the pending request


class HttpConnection(asyncio.Protocol):
    """A client connection.  It calls `on_lost` with itself as argument once the connection has ended."""

    def __init__(
        self, address: str, on_lost: Callable[[HttpConnection], None], parse_queue: FairQueue
    ) -> None:
        self.address = address
        self.requests = 0
        # Ids of messages whose delivery failed on this connection; the peer may repeat these responses.
        self.failed_message_ids: set[str] = set()
        self.idle_deadline: float | None = None  # event loop time; None if the peer announced no timeout
        self._keep_alive: str | None = None  # the Keep-Alive header of the last response
        self._idle_s: float | None = None  # the idle time that this header allows, less the margin
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._payload: Any = None  # body of the response that is being read
        self._reading: DeliveryResponse | None = None  # the response whose body is being read
        self._closes_after_response = False  # the connection must not carry another request
        self._bytes_in = 0
        self._body_bytes = 0
        self._parse_queue = parse_queue
        self._waiting = ReceivedBytes()
        self._is_paused = False
        self._response: asyncio.Future[DeliveryResponse] | None = None
        self._matches: ResponseMatcher | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a request can be sent on this connection now."""
        transport = self._transport
        if (
            transport is None
            or transport.is_closing()
            or self._response is not None
            or self._closes_after_response
        ):
            return False
        return self.idle_deadline is None or self._loop.time() < self.idle_deadline

    async def exchange(self, request: bytes, matches: ResponseMatcher, deadline: float) -> DeliveryResponse:
        """Send a request and return its response.

        Raises `ExchangeError` and closes the connection if no response arrives by `deadline` (event loop
        time)."""
        transport = self._transport
        if transport is None or not self.is_usable:
            raise ExchangeError("send", self.address, "connection lost", sent=False)
        future: asyncio.Future[DeliveryResponse] = self._loop.create_future()
        self._response, self._matches = future, matches
        self._bytes_in = self._body_bytes = 0
        self.requests += 1
        transport.write(request)
        timer = self._loop.call_at(deadline, self._fail, "no response in time")
        try:
            return await future
        finally:
            timer.cancel()
            if self._response is not None:  # cancelled: no request is left for a response that arrives now
                self._response = None
                self.close()

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class does not derive from it
        _set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes.  Bytes on an idle connection belong to no request, so they close it."""
        if self._response is None:
            self.close()
            return
        self._bytes_in += len(data)
        if self._bytes_in > MAX_RESPONSE_BYTES:
            self._fail("response too large")
            return
        self._waiting.append(data)
        self._parse_queue.add(self)
        if self in self._parse_queue and not self._is_paused:
            self._is_paused = True
            self._pause_reading()

    def process_part(self) -> bool:
        """Parse some of the received bytes, and return whether more wait; see `FairQueue`."""
        self._parse(self._waiting.take(PARSED_BYTES))
        if self._response is None and (self._waiting or self._reading is not None):
            self.close()  # the received bytes include the start of a second response
        if self._transport is None or self._transport.is_closing():
            self._waiting.clear()
        elif self._is_paused and not self._waiting:
            self._is_paused = False
            self._transport.resume_reading()
        return bool(self._waiting)

    def fail(self, error: Exception) -> None:
        """Handle an exception of `process_part`."""
        self._fail(f"invalid response: {type(error).__name__}")

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _parse(self, part: bytes) -> None:
        if self._parser is None:
            self._parser = _new_parser(self._loop)
        open_body, known = self._payload, self._payload.total_bytes if self._payload is not None else 0
        try:
            messages, _, _ = self._parser.feed_data(part)
        except Exception as error:  # each parser error means an invalid response
            self._fail(f"invalid response: {type(error).__name__}")
            return
        bodies = [payload for _, payload in messages]
        if open_body is not None:
            bodies.append(open_body)
        self._body_bytes += sum(body.total_bytes for body in bodies) - known
        for message, payload in messages:
            self._complete_response()
            if self._reading is not None:
                self._fail("response interrupted by another response")
                return
            self._reading, self._payload = DeliveryResponse(message.code, message.headers), payload
            self._closes_after_response = self._closes_after_response or message.should_close
        for body in bodies:
            _discard(body)
        self._complete_response()
        if self._bytes_in - len(self._waiting) > MAX_HEAD_BYTES + 2 * self._body_bytes:
            self._fail("head of the response too large")

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection: complete or fail the pending request, and call `on_lost`."""
        self._parse_queue.remove(self)
        while self._waiting and self._response is not None:
            self._parse(self._waiting.take(PARSED_BYTES))
        if self._parser is not None:
            with suppress(Exception):  # the end of the connection completes a response without a length
                self._parser.feed_eof()
            if error is None:
                self._complete_response()
        self._transport = None
        self._fail(f"connection lost: {error or 'closed'}")
        self._on_lost(self)

    def _complete_response(self) -> None:
        """If the response that is being read is complete, pass it to the pending request."""
        response, payload = self._reading, self._payload
        if response is None or not payload.is_eof():
            return
        self._reading = self._payload = None
        if payload.exception() is not None:
            self._fail("response truncated")
            return
        if 100 <= response.status < 200:
            return
        pending, matches = self._response, self._matches
        if pending is None or matches is None:
            self._closes_after_response = True  # a second response to one request
            self.close()
            return
        if not matches(response):
            # The responses are out of step with the requests: keep reading, but do not reuse the connection.
            self._closes_after_response = True
            return
        self._response = self._matches = None
        self._update_idle_deadline(response)
        if not pending.done():
            pending.set_result(response)

    def _update_idle_deadline(self, response: DeliveryResponse) -> None:
        """Set the end of the idle time from the response's `Keep-Alive: timeout=SECONDS` header."""
        header = response.headers.get("Keep-Alive")
        if header != self._keep_alive:
            self._keep_alive, self._idle_s = header, _idle_seconds(header or "")
        self.idle_deadline = None if self._idle_s is None else self._loop.time() + self._idle_s

    def _fail(self, reason: str) -> None:
        pending, self._response = self._response, None
        if pending is not None and not pending.done():
            pending.set_exception(
                ExchangeError(
                    "answer",
                    self.address,
                    reason,
                    sent=True,
                    answered=self._bytes_in > 0,
                    reused=self.requests > 1,
                )
            )
        self.close()


def _discard(body: Any) -> None:
    """Drop the bytes of a body that have arrived."""
    with suppress(Exception):  # that of a body that was received in part
        body.read_nowait()


def _new_parser(loop: asyncio.AbstractEventLoop) -> Any:
    return HttpResponseParser(
        BaseProtocol(loop),
        loop,
        READ_LIMIT_BYTES,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        auto_decompress=False,
        read_until_eof=True,
    )


def _idle_seconds(header: str) -> float | None:
    """Return the seconds for which an idle connection is usable, or None if the header sets no timeout.

    `header` is the value of a `Keep-Alive` header; the margin is already deducted."""
    for part in header.split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout":
            with suppress(ValueError):
                return max(0.0, float(value) - KEEP_ALIVE_MARGIN_S)
    return None


def _set_socket_options(sock: socket.socket | None) -> None:
    """Disable Nagle's algorithm, and abort the connection if sent bytes stay unacknowledged too long."""
    if sock is None:
        return
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
