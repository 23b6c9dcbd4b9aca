"""One HTTP/1.1 connection to a worker or receiver, one request at a time.

The answers are parsed by aiohttp's response parser.  aiohttp's client session is not used: it takes bytes
that came while a connection was idle for the answer to the next request, it cannot read on past an answer
that belongs to another message, and it does not tell whether anything was sent.
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

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
READ_LIMIT_BYTES = 2 * MAX_RESPONSE_BYTES  # of the parser: it is never to pause, the bound above closes first
MAX_HEADER_BYTES = 16_384
KEEP_ALIVE_MARGIN_S = 0.4  # an idle connection is not used within this time of its announced end
USER_TIMEOUT_MS = 5_000


class ExchangeError(Exception):
    """No answer to a request: the step, the address and the reason.

    `sent`: bytes may have reached the peer.  `answered`: bytes of an answer had come back.
    `reused`: the connection had carried a request before."""

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
    """A whole answer.  The body is dropped: workers' answers to messages are not passed on."""

    status: int
    headers: Mapping[str, str]
    is_resend: bool = False  # the request had been sent once already, and that was not answered


ResponseMatcher = Callable[[DeliveryResponse], bool]  # whether an answer belongs to the request that waits


class HttpConnection(asyncio.Protocol):
    """A connection; `on_lost` is called once with it when it has ended."""

    def __init__(self, address: str, on_lost: Callable[[HttpConnection], None]) -> None:
        self.address = address
        self.requests = 0
        self.failed_message_ids: set[str] = (
            set()
        )  # messages answered with a failure here: it may be answered again
        self.idle_deadline: float | None = None  # None: no end was announced
        self._keep_alive: str | None = None  # the header's value in the last answer, and what it allows
        self._idle_s: float | None = None
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._payload: Any = None  # body of the answer that is being read
        self._reading: DeliveryResponse | None = None  # the answer whose body is being read
        self._closes_after_response = False  # the peer has said that it closes after this answer
        self._bytes_in = 0
        self._response: asyncio.Future[DeliveryResponse] | None = None
        self._matches: ResponseMatcher | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on it."""
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
        """Send a request and wait for its answer until `deadline`.  `ExchangeError` where none came; the
        connection is closed then."""
        transport = self._transport
        if transport is None or not self.is_usable:
            raise ExchangeError("send", self.address, "connection lost", sent=False)
        future: asyncio.Future[DeliveryResponse] = self._loop.create_future()
        self._response, self._matches = future, matches
        self._bytes_in = 0
        self.requests += 1
        transport.write(request)
        timer = self._loop.call_at(deadline, self._fail, "no answer in time")
        try:
            return await future
        finally:
            timer.cancel()
            if self._response is not None:  # cancelled: an answer that comes now would be nobody's
                self._response = None
                self.close()

    def close(self) -> None:
        """End the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        _tune(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse what came.  Bytes on an idle connection answer nothing: they end it."""
        if self._response is None:
            self.close()
            return
        self._bytes_in += len(data)
        if self._bytes_in > MAX_RESPONSE_BYTES:
            self._fail("answer too long")
            return
        if self._parser is None:
            self._parser = _new_parser(self._loop)
        try:
            messages, _, _ = self._parser.feed_data(data)
        except Exception as error:  # the parser's own errors, all of which mean the same
            self._fail(f"answer cannot be read: {type(error).__name__}")
            return
        for message, payload in messages:
            self._complete_response()
            if self._reading is not None:
                self._fail("answer cut short by another")
                return
            self._reading, self._payload = DeliveryResponse(message.code, message.headers), payload
            self._closes_after_response = self._closes_after_response or message.should_close
        self._complete_response()
        if self._response is None and self._reading is not None:
            self.close()  # the start of a second answer

    def connection_lost(self, error: Exception | None) -> None:
        """The peer or the network ended it."""
        if self._parser is not None:
            with suppress(Exception):  # an answer without a length is whole when the connection ends
                self._parser.feed_eof()
            if error is None:
                self._complete_response()
        self._transport = None
        self._fail(f"connection lost: {error or 'closed'}")
        self._on_lost(self)

    def _complete_response(self) -> None:
        """If the answer that is being read is whole, hand it over."""
        answer, payload = self._reading, self._payload
        if answer is None or not payload.is_eof():
            return
        self._reading = self._payload = None
        if payload.exception() is not None:
            self._fail("answer cut short")
            return
        if 100 <= answer.status < 200:
            return
        waiting, matches = self._response, self._matches
        if waiting is None or matches is None:
            self._closes_after_response = True  # two answers for one request
            self.close()
            return
        if not matches(answer):
            self._closes_after_response = True  # out of step: read on, but never use the connection again
            return
        self._response = self._matches = None
        self._update_idle_deadline(answer)
        if not waiting.done():
            waiting.set_result(answer)

    def _update_idle_deadline(self, answer: DeliveryResponse) -> None:
        """When the peer will close the connection if it stays idle: `Keep-Alive: timeout=SECONDS`."""
        header = answer.headers.get("Keep-Alive")
        if header != self._keep_alive:
            self._keep_alive, self._idle_s = header, _idle_seconds(header or "")
        self.idle_deadline = None if self._idle_s is None else self._loop.time() + self._idle_s

    def _fail(self, reason: str) -> None:
        waiting, self._response = self._response, None
        if waiting is not None and not waiting.done():
            waiting.set_exception(
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
    """How long a connection may be used after an answer with this `Keep-Alive` header."""
    for part in header.split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout":
            with suppress(ValueError):
                return max(0.0, float(value) - KEEP_ALIVE_MARGIN_S)
    return None


def _tune(sock: socket.socket | None) -> None:
    """No delay, and an end for connections whose peer has gone silent with bytes unacknowledged."""
    if sock is None:
        return
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
