"""Counters of refused connections that also write a log line, at a bounded rate."""

from __future__ import annotations

import time

from hollowusher.log_events import ConnectionsRefused
from hollowusher.roles.logs import log
from hollowusher.transport.connection_metrics import CloseReason, ConnectionMetrics

LOG_INTERVAL_S = 60.0


class LoggedConnectionMetrics(ConnectionMetrics):
    """The counters of the servers that `addresses` names; a log line at most once per `LOG_INTERVAL_S`."""

    def __init__(self, addresses: str) -> None:
        super().__init__()
        self._addresses = addresses
        self._next_line = 0.0

    def count(self, reason: CloseReason) -> None:
        """Count one closed connection, and log the total if no line was written for a while."""
        super().count(reason)
        now = time.monotonic()
        if now < self._next_line:
            return
        self._next_line = now + LOG_INTERVAL_S
        log(ConnectionsRefused(addresses=self._addresses, reason=reason.value, total=self.total()))
