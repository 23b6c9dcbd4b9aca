"""Formats the metrics of a process in the text exposition format of Prometheus (`name value` lines)."""

from __future__ import annotations

from collections.abc import Mapping

from hollowusher.roles.status_server import ReadStatus, StatusServer

METRICS_PORT = 9464  # also in the `metrics` key of each role in deploy/system.toml
METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "hollowusher"

MetricGroups = Mapping[str, Mapping[str, float]]  # group -> name -> value


def format_metrics(groups: MetricGroups) -> bytes:
    """Return the metrics as text; the metric NAME of a group GROUP is written as `hollowusher_GROUP_NAME`."""
    lines = [
        f"{PREFIX}_{group}_{name} {value}\n"
        for group, values in groups.items()
        for name, value in values.items()
    ]
    return "".join(lines).encode()


def metrics_address(host: str) -> str:
    """Return the address on which a process on this host serves its metrics."""
    return f"{host}:{METRICS_PORT}"


def metrics_server(address: str, read_metrics: ReadStatus) -> StatusServer:
    """Create a server for the metrics; the caller starts it."""
    return StatusServer(address, read_metrics, METRICS_PATH, CONTENT_TYPE)
