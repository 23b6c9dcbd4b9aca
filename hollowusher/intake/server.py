"""The HTTP server for clients and pull workers, and the readiness server, based on aiohttp.

The module uses aiohttp's low-level server, because the routes come from the operator's configuration.  A
handler continues after its client has disconnected: it completes a put that was already sent to a store.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from hollowusher.configuration.model import RequestLimits
from hollowusher.http_server.handler import BoundedRequestHandler
from hollowusher.http_server.limits import RequestBounds
from hollowusher.http_server.listener import BoundedListener
from hollowusher.intake.admission import ClientRequest, remaining_client_wait_s
from hollowusher.intake.intake_service import ClientResponse, IntakeService

LINGERING_TIME_S = 1.0  # how long the rest of a rejected body is read and discarded
STOP_POLL_S = 0.01
LOOP_TURNS_TO_HANDLER = 3  # event loop iterations between a request's last byte and its handler
LAST_WRITES_S = 0.2  # time for connections to close themselves after their last response
READ_BUFFER_BYTES = 64 * 1024
MAX_HEADERS = 128
BODY_TIMEOUT_S = 30.0  # the handlers of messages end the wait for a body before that
# The names and values of all headers may take `maxHeaderBytes`; separators and the start line come on top.
HEAD_BYTES_PER_HEADER_BYTE = 2
HEAD_ALLOWANCE_BYTES = 2048
READY_PATH = "/readyz"
READINESS_BOUNDS = RequestBounds(max_head_bytes=8192, head_timeout_s=5.0, body_timeout_s=5.0)
READINESS_IDLE_TIMEOUT_S = 75.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

HEADERS_TOO_LARGE = ClientResponse(431, b"headers too large")
BODY_TIMED_OUT = ClientResponse(408, b"body not received in time")
BODY_TOO_LARGE = ClientResponse(413, b"body too large")
BODY_INCOMPLETE = ClientResponse(400, b"body broken off")
FAILED = ClientResponse(504, b"not known whether the request was carried out")


class _BodyError(Exception):
    """Raised if a request body cannot be read completely; `answer` is the response to the request."""

    def __init__(self, answer: ClientResponse) -> None:
        super().__init__(answer.status)
        self.answer = answer


class FrontendServer:
    """The HTTP server for clients and pull workers on the address of `listener`."""

    def __init__(self, intake: IntakeService, listener: BoundedListener) -> None:
        self._intake = intake
        self._listener = listener
        self._listener.on_request_timeout = self._count_header_timeout
        self._servers: dict[RequestLimits, web.Server] = {}
        self._handling: set[web.RequestHandler] = set()  # connections whose request is being handled
        self._draining = False

    async def start(self) -> None:
        """Start listening."""
        await self._listener.start(self._new_connection)

    def drain(self) -> None:
        """Continue serving, but close each connection after its next response."""
        self._draining = True
        self._intake.drain()

    async def stop(self, grace_s: float) -> None:
        """Stop listening, wait for the requests in progress, then close all connections.

        The wait ends after `grace_s` seconds at the latest."""
        self.drain()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_s
        self._listener.stop()
        await self._close_idle()
        while self._handling and loop.time() < deadline:
            await asyncio.sleep(STOP_POLL_S)
        last_writes = loop.time() + LAST_WRITES_S
        while self._connections() and loop.time() < last_writes:
            await asyncio.sleep(STOP_POLL_S)
        for server in self._servers.values():
            await server.shutdown(timeout=STOP_POLL_S)

    def _connections(self) -> list[web.RequestHandler]:
        return [connection for server in self._servers.values() for connection in server.connections]

    async def _close_idle(self) -> None:
        """Close the connections that have no request in progress, without dropping a complete request.

        It first pauses reading and lets the event loop pass the requests that were already read to their
        handlers."""
        idle = [
            connection.transport for connection in self._connections() if connection not in self._handling
        ]
        for transport in idle:
            if transport is not None and not transport.is_closing():
                transport.pause_reading()
        for _ in range(LOOP_TURNS_TO_HANDLER):
            await asyncio.sleep(0)
        for connection in self._connections():
            if connection not in self._handling and connection.transport is not None:
                connection.force_close()

    @property
    def address(self) -> str:
        """The address on which the server listens, with the actual port if port 0 was configured."""
        return self._listener.address

    @property
    def requests_in_flight(self) -> int:
        """The number of requests that were received but have no response yet."""
        return len(self._handling)

    def _new_connection(self) -> BoundedRequestHandler:
        limits = self._intake.request_limits
        server = self._servers.get(limits)
        if server is None:
            server = self._servers[limits] = web.Server(self._handle)
        bounds = RequestBounds(
            max_head_bytes=HEAD_BYTES_PER_HEADER_BYTE * limits.max_header_bytes + HEAD_ALLOWANCE_BYTES,
            head_timeout_s=limits.header_timeout_ms / 1000,
            body_timeout_s=BODY_TIMEOUT_S,
        )
        return self._listener.new_handler(server, bounds, _connection_options(limits))

    def _count_header_timeout(self) -> None:
        self._intake.metrics.header_timeouts += 1

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._handling.add(request.protocol)
        try:
            answer = await self._answer(request)
        except Exception as error:
            self._intake.metrics.failures += 1
            self._listener.report(error)
            answer = FAILED
        finally:
            self._handling.discard(request.protocol)
        response = web.Response(status=answer.status, body=answer.body, headers=_headers(answer))
        if self._draining or not request.content.is_eof():
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> ClientResponse:
        intake = self._intake
        header_bytes = sum(map(len, itertools.chain.from_iterable(request.raw_headers)))
        if header_bytes > intake.request_limits.max_header_bytes:
            intake.metrics.too_large += 1
            return HEADERS_TOO_LARGE
        content = request.content
        if content.is_eof() and content.exception() is None:
            body = content.read_nowait(-1) if request.body_exists else b""
            return await intake.handle(_intake_request(request, body), lambda: _is_disconnected(request))
        loop = asyncio.get_running_loop()
        started = loop.time()
        head = _intake_request(request, b"")
        rejection = intake.reject_head(head, request.content_length)
        if rejection is not None:
            return rejection
        try:
            body = await self._read_body(request, remaining_client_wait_s(head) or 0.0)
        except _BodyError as error:
            return error.answer
        whole = _intake_request(request, body, loop.time() - started)
        return await intake.handle(whole, lambda: _is_disconnected(request))

    async def _read_body(self, request: web.BaseRequest, longest_s: float) -> bytes:
        """Read the body of a request that arrives in parts, for at most `longest_s` seconds.

        The load limiter counts the bytes as they arrive.  aiohttp does not report an invalid chunk to the
        reader of the body, so the read of such a body ends by timeout."""
        intake = self._intake
        limits = intake.request_limits
        if not intake.load_limiter.try_acquire(0):
            raise _BodyError(intake.reject_overload())
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(CONTINUE)
        body = bytearray()  # a list of parts would take several times as much for a body of small parts
        try:
            async with asyncio.timeout(min(limits.header_timeout_ms / 1000, longest_s)):
                while part := await request.content.readany():
                    if len(body) + len(part) > limits.max_body_bytes:
                        intake.metrics.too_large += 1
                        raise _BodyError(BODY_TOO_LARGE)
                    if not intake.load_limiter.try_grow(len(part)):
                        raise _BodyError(intake.reject_overload())
                    body += part
        except TimeoutError:
            intake.metrics.body_timeouts += 1
            raise _BodyError(BODY_TIMED_OUT) from None
        except (OSError, web.PayloadAccessError, HttpProcessingError, web.RequestPayloadError):
            intake.metrics.broken_off += 1
            raise _BodyError(BODY_INCOMPLETE) from None
        finally:
            intake.load_limiter.release(len(body))
        return bytes(body)


class ReadinessServer:
    """Responds to GET /readyz with 200 if `ready` returns true, and with 503 otherwise."""

    def __init__(self, listener: BoundedListener, ready: Callable[[], bool]) -> None:
        self._listener = listener
        self._ready = ready
        self._server: web.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        server = self._server = web.Server(self._handle)
        options = {"keepalive_timeout": READINESS_IDLE_TIMEOUT_S, "lingering_time": LINGERING_TIME_S}
        await self._listener.start(lambda: self._listener.new_handler(server, READINESS_BOUNDS, options))

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._listener.stop()
        if self._server is not None:
            await self._server.shutdown(timeout=0.1)

    @property
    def address(self) -> str:
        """The address for the platform's probes, with the actual port if port 0 was configured."""
        return self._listener.address

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path.partition("?")[0] != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._ready() else 503)


class EdgeFrontend:
    """The frontend server and the readiness server of an edge process, drained and stopped together."""

    def __init__(
        self,
        intake: IntakeService,
        frontend: BoundedListener,
        readiness: BoundedListener,
        ready: Callable[[], bool],
    ) -> None:
        self.frontend = FrontendServer(intake, frontend)
        self.readiness = ReadinessServer(readiness, lambda: not self._draining and ready())
        self._draining = False

    async def start(self) -> None:
        """Start listening on both addresses."""
        await self.readiness.start()
        await self.frontend.start()

    def drain(self) -> None:
        """Report the process as not ready from now on, and continue serving requests."""
        self._draining = True
        self.frontend.drain()

    async def stop(self, grace_s: float) -> None:
        """Drain, wait up to `grace_s` seconds for requests in progress, and stop both servers."""
        self.drain()
        await self.frontend.stop(grace_s)
        await self.readiness.stop()


def _connection_options(limits: RequestLimits) -> dict[str, Any]:
    """Return the options of aiohttp for one connection."""
    return {
        "keepalive_timeout": limits.idle_timeout_ms / 1000,
        "max_line_size": limits.max_header_bytes,
        "max_field_size": limits.max_header_bytes,
        "max_headers": MAX_HEADERS,
        "lingering_time": LINGERING_TIME_S,
        "read_bufsize": READ_BUFFER_BYTES,
        "auto_decompress": False,
    }


def _intake_request(request: web.BaseRequest, body: bytes, waited_s: float = 0.0) -> ClientRequest:
    return ClientRequest(request.method, request.raw_path, request.headers, body, waited_s)


def _headers(answer: ClientResponse) -> list[tuple[str, str]]:
    return [("Content-Type", answer.content_type), *answer.headers]


def _is_disconnected(request: web.BaseRequest) -> bool:
    """Return whether the connection of a request is closed or closing."""
    transport = request.transport
    return transport is None or transport.is_closing()
