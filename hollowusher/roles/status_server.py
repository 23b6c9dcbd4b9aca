"""A small HTTP server that answers `GET /status` of a process, for those that serve no operator's address.

It takes a few callers at a time and answers one request a connection: it is for people and tools that look
now and then, and costs the process neither a library nor memory.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from hollowusher.transport.tcp import split_address

STATUS_PATH = b"/status"
MAX_CONNECTIONS = 8
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
    """The server; `body` makes the JSON that is told."""

    def __init__(self, address: str, body: ReadStatus) -> None:
        self._address = address
        self._read_status = body
        self._connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; `OSError` where the address is taken."""
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_REQUEST_BYTES)

    async def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        try:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    status, body = await self._respond(reader)
                    writer.write(_response_head(status, len(body)) + body)
                    await writer.drain()
        finally:
            self._connections -= 1
            writer.close()

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
        if target.split(b"?", 1)[0] != STATUS_PATH:
            return 404, b'{"error":"GET /status is all there is"}'
        if method != b"GET":
            return 405, b'{"error":"GET /status is all there is"}'
        return 200, self._read_status()


def _response_head(status: int, length: int) -> bytes:
    return (
        f"HTTP/1.1 {status} {REASONS[status]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    ).encode()
