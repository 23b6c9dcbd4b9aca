"""The listening addresses of an edge process for HTTP, with limits derived from its settings."""

from __future__ import annotations

from collections.abc import Callable

from hollowusher.configuration.boot import BootSettings
from hollowusher.http_server.limits import admin_limits, frontend_limits, readiness_limits
from hollowusher.http_server.listener import BoundedListener
from hollowusher.roles.refused_connections import LoggedConnectionMetrics


class EdgeListeners:
    """The listeners for clients, readiness checks and operators, which share one set of counters.

    They call `report` with each unexpected exception of a handler."""

    def __init__(self, settings: BootSettings, report: Callable[[Exception], None]) -> None:
        bind = settings.bind
        resources = (settings.limits.memory_mb, settings.limits.max_fds)
        clients = frontend_limits(*resources)
        self.max_clients = clients.max_connections
        self.metrics = LoggedConnectionMetrics("frontend, readiness, admin")
        self.frontend = BoundedListener(bind.frontend, clients, self.metrics, report)
        self.readiness = BoundedListener(bind.readiness, readiness_limits(*resources), self.metrics, report)
        self.admin = BoundedListener(bind.admin, admin_limits(*resources), self.metrics, report)
