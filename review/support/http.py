"""A minimal HTTP/1.1 client and server on asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found"}


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first[0]

    @property
    def target(self) -> str:
        """The path of a request."""
        return self.first[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[1])


@dataclass
class Reply:
    """What a server's handler answers; with `close` the connection ends without an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    close: bool = False


Handler = Callable[[Message], Awaitable[Reply]]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length, or return None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), headers)
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return message


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 3.0,
) -> Message | None:
    """Send one request on a new connection; return the response, or None if there is none in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": address, **(headers or {})}, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """An HTTP server on one address; `handler` answers each request."""

    def __init__(self, ip: str, handler: Handler, keep_alive_s: int = 30) -> None:
        self.ip = ip
        self.address = ""
        self._handler = handler
        self._keep_alive_s = keep_alive_s
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 chooses a free one."""
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                reply = await self._handler(request)
                if reply.close:
                    break
                headers = {"Keep-Alive": f"timeout={self._keep_alive_s}", **reply.headers}
                first = f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Status')}"
                writer.write(encode(first, headers, reply.body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with suppress(Exception):
                writer.close()
