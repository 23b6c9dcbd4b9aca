"""A minimal HTTP server for one path: `GET /status` of a store or `GET /metrics` of any process.

It serves one request per connection and up to `MAX_CONNECTIONS` connections at a time, which is enough for
operators and monitoring tools.  It needs no HTTP library, which would add memory to every process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from hollowusher.transport.tcp import split_address

STATUS_PATH = "/status"
JSON = "application/json"
HTTP_OK = 200
MAX_CONNECTIONS = 8
BACKLOG = 2 * MAX_CONNECTIONS
MAX_REQUEST_BYTES = 8192
REQUEST_TIMEOUT_S = 2.0
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}

ReadStatus = Callable[[], bytes]


class StatusServer:
    """Serves GET requests for one path; `body` returns the response body of each request."""

    def __init__(
        self, address: str, body: ReadStatus, path: str = STATUS_PATH, content_type: str = JSON
    ) -> None:
        self._address = address
        self._read_status = body
        self._path = path
        self._content_type = content_type
        self._connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen; raise `OSError` if the address is in use."""
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_REQUEST_BYTES, backlog=BACKLOG
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        try:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    status, body = await self._respond(reader)
                    writer.write(self._response_head(status, len(body)) + body)
                    await writer.drain()
        finally:
            self._connections -= 1
            _close(writer)

    async def _respond(self, reader: asyncio.StreamReader) -> tuple[int, bytes]:
        if self._connections > MAX_CONNECTIONS:
            return 503, b'{"error":"too many callers"}'
        try:
            request = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return 400, b'{"error":"no request head"}'
        words = request.split(b"\r\n", 1)[0].split(b" ")
        if len(words) != 3:
            return 400, b'{"error":"no request line"}'
        method, target, _ = words
        unsupported_request = f'{{"error":"GET {self._path} is all there is"}}'.encode()
        if target.split(b"?", 1)[0] != self._path.encode():
            return 404, unsupported_request
        if method != b"GET":
            return 405, unsupported_request
        return 200, self._read_status()

    def _response_head(self, status: int, length: int) -> bytes:
        content_type = self._content_type if status == HTTP_OK else JSON
        return (
            f"HTTP/1.1 {status} {REASONS[status]}\r\n"
            f"Content-Type: {content_type}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
        ).encode()


def _close(writer: asyncio.StreamWriter) -> None:
    """Close a connection, without waiting for a client that has not read its response in time."""
    if writer.transport.get_write_buffer_size():
        writer.transport.abort()
    else:
        writer.close()
