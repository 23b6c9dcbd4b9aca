"""Tests of the status server: one response per connection, also to malformed requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from hollowusher.configuration.boot import parse_settings
from hollowusher.roles import status_server as status_server_module
from hollowusher.roles.status_server import MAX_CONNECTIONS, MAX_REQUEST_BYTES, StatusServer

SETTINGS = """
nodeName = "store-1"
machineClass = "storage"
ip = "10.0.0.7"
internalPorts = [{first}, {last}]
"""
Client = Callable[[str, int], Awaitable[None]]


def run_with_server(use_server: Client) -> None:
    """Run a coroutine against a status server on a free port."""

    async def run() -> None:
        server = StatusServer("127.0.0.1:0", lambda: b'{"name":"store-1"}')
        await server.start()
        assert server._server is not None
        host, port = server._server.sockets[0].getsockname()
        try:
            await use_server(host, port)
        finally:
            await server.stop()

    asyncio.run(run())


async def exchange(host: str, port: int, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(request)
    writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


def test_the_status_is_reported_and_the_connection_ends() -> None:
    async def use_server(host: str, port: int) -> None:
        answer = await exchange(host, port, b"GET /status HTTP/1.1\r\nHost: h\r\n\r\n")
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK") and b"Connection: close" in head
        assert body == b'{"name":"store-1"}'

    run_with_server(use_server)


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
def test_any_other_request_is_rejected(request_bytes: bytes, status: bytes) -> None:
    async def use_server(host: str, port: int) -> None:
        answer = await exchange(host, port, request_bytes)
        assert answer.split(b" ")[1] == status

    run_with_server(use_server)


def test_idle_connections_time_out_and_do_not_block_further_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(status_server_module, "REQUEST_TIMEOUT_S", 0.05)

    async def use_server(host: str, port: int) -> None:
        silent = [await asyncio.open_connection(host, port) for _ in range(MAX_CONNECTIONS)]
        # The server closes all idle connections.
        assert [await reader.read() for reader, _ in silent] == [b""] * MAX_CONNECTIONS
        answer = await exchange(host, port, b"GET /status HTTP/1.1\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200")
        for _, writer in silent:
            writer.close()

    run_with_server(use_server)


def test_a_store_serves_its_status_on_its_last_internal_port() -> None:
    assert parse_settings(SETTINGS.format(first=7780, last=7795), "t").status_address == "10.0.0.7:7795"
    assert parse_settings(SETTINGS.format(first=7780, last=7780), "t").status_address == ""
