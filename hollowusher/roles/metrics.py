"""The figures of a process as text, in the exposition format of Prometheus: one `name value` a line."""

from __future__ import annotations

from collections.abc import Mapping

from hollowusher.roles.status_server import ReadStatus, StatusServer

METRICS_PORT = 9464  # `metrics` of the roles in deploy/system.toml names it, too
METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "hollowusher"

Figures = Mapping[str, Mapping[str, float]]  # group -> name -> value


def format_metrics(figures: Figures) -> bytes:
    """Return the figures as text; a figure `name` of a group is called `hollowusher_group_name`."""
    lines = [
        f"{PREFIX}_{group}_{name} {value}\n"
        for group, values in figures.items()
        for name, value in values.items()
    ]
    return "".join(lines).encode()


def metrics_address(host: str) -> str:
    """Return the address at which a process of this machine serves its figures."""
    return f"{host}:{METRICS_PORT}"


def metrics_server(address: str, read_metrics: ReadStatus) -> StatusServer:
    """Return a server of the figures, not started yet."""
    return StatusServer(address, read_metrics, METRICS_PATH, CONTENT_TYPE)
