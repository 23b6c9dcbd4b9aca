"""A store's status address: one answer a connection, whatever the caller sends."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from hollowusher.configuration.boot import parse_settings
from hollowusher.roles import status_server as status_site
from hollowusher.roles.status_server import MAX_CONNECTIONS, MAX_REQUEST_BYTES, StatusServer

SETTINGS = """
nodeName = "store-1"
machineClass = "storage"
ip = "10.0.0.7"
internalPorts = [{first}, {last}]
"""
Work = Callable[[str, int], Awaitable[None]]


def served(work: Work) -> None:
    """Run some work against a site on a free port."""

    async def run() -> None:
        site = StatusServer("127.0.0.1:0", lambda: b'{"name":"store-1"}')
        await site.start()
        assert site._server is not None
        host, port = site._server.sockets[0].getsockname()
        try:
            await work(host, port)
        finally:
            await site.stop()

    asyncio.run(run())


async def told(host: str, port: int, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(request)
    writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


def test_the_status_is_reported_and_the_connection_ends() -> None:
    async def work(host: str, port: int) -> None:
        answer = await told(host, port, b"GET /status HTTP/1.1\r\nHost: h\r\n\r\n")
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK") and b"Connection: close" in head
        assert body == b'{"name":"store-1"}'

    served(work)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", b"404"),
        (b"PUT /status HTTP/1.1\r\n\r\n", b"405"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /status HTTP/1.1\r\n", b"400"),
        (b"GET /status HTTP/1.1\r\nX: " + b"x" * 2 * MAX_REQUEST_BYTES, b"400"),
    ],
)
def test_anything_else_is_refused(request_bytes: bytes, status: bytes) -> None:
    async def work(host: str, port: int) -> None:
        answer = await told(host, port, request_bytes)
        assert answer.split(b" ")[1] == status

    served(work)


def test_callers_that_say_nothing_do_not_add_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(status_site, "REQUEST_TIMEOUT_S", 0.05)

    async def work(host: str, port: int) -> None:
        silent = [await asyncio.open_connection(host, port) for _ in range(MAX_CONNECTIONS)]
        assert [await reader.read() for reader, _ in silent] == [b""] * MAX_CONNECTIONS  # all are let go
        answer = await told(host, port, b"GET /status HTTP/1.1\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200")
        for _, writer in silent:
            writer.close()

    served(work)


def test_a_store_takes_the_last_of_its_internal_ports() -> None:
    assert parse_settings(SETTINGS.format(first=7780, last=7795), "t").status_address == "10.0.0.7:7795"
    assert parse_settings(SETTINGS.format(first=7780, last=7780), "t").status_address == ""
