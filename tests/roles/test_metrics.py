"""Tests of the metrics: the text format, the server, and the port in deploy/system.toml."""

from __future__ import annotations

import asyncio
import tomllib
from pathlib import Path

from hollowusher.roles.metrics import (
    METRICS_PATH,
    METRICS_PORT,
    MetricGroups,
    format_metrics,
    metrics_address,
    metrics_server,
)

DEPLOY = Path(__file__).parent.parent.parent / "deploy" / "system.toml"


def test_each_metric_is_one_line() -> None:
    groups: MetricGroups = {"queue": {"ready": 2, "longest_wait_s": 1.5}, "disk": {"free_bytes": 12_345_678}}
    assert format_metrics(groups) == (
        b"hollowusher_queue_ready 2\nhollowusher_queue_longest_wait_s 1.5\n"
        b"hollowusher_disk_free_bytes 12345678\n"
    )


def test_the_deploy_file_names_the_port_and_path_of_both_roles() -> None:
    roles = tomllib.loads(DEPLOY.read_text())["roles"]
    assert {role["metrics"] for role in roles.values()} == {f"{METRICS_PORT}{METRICS_PATH}"}
    assert metrics_address("10.0.0.7") == f"10.0.0.7:{METRICS_PORT}"


def test_the_metrics_are_served_as_text() -> None:
    async def run() -> bytes:
        server = metrics_server("127.0.0.1:0", lambda: format_metrics({"queue": {"ready": 2}}))
        await server.start()
        assert server._server is not None
        reader, writer = await asyncio.open_connection(*server._server.sockets[0].getsockname())
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = await reader.read()
        writer.close()
        await server.stop()
        return answer

    head, _, body = asyncio.run(run()).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK")
    assert b"Content-Type: text/plain; version=0.0.4" in head
    assert body == b"hollowusher_queue_ready 2\n"
