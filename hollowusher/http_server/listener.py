"""A listening address with bounded connections, for `aiohttp.web.Server` objects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from hollowusher.http_server.handler import BoundedRequestHandler
from hollowusher.http_server.limits import RequestBounds
from hollowusher.transport.connection_metrics import CloseReason, ConnectionMetrics
from hollowusher.transport.connection_table import ConnectionTable, ServerLimits
from hollowusher.transport.fair_queue import FairQueue
from hollowusher.transport.tcp import split_address

SWEEP_INTERVAL_S = 0.5


class BoundedListener:
    """Accepts connections on one address ("ip:port") within `limits`, and closes those that are late.

    It counts closed connections in `metrics`, and calls `report` with each exception of a handler.
    """

    def __init__(
        self,
        address: str,
        limits: ServerLimits,
        metrics: ConnectionMetrics,
        report: Callable[[Exception], None] | None = None,
    ) -> None:
        self.metrics = metrics
        self.on_request_timeout: Callable[[], None] | None = None
        self._address = address
        self._limits = limits
        self._report = report
        self._table: ConnectionTable[BoundedRequestHandler] = ConnectionTable(limits)
        self.parse_queue = FairQueue.on_running_loop()
        self._server: asyncio.Server | None = None
        self._sweep_handle: asyncio.TimerHandle | None = None

    async def start(self, new_connection: Callable[[], BoundedRequestHandler]) -> None:
        """Start listening; `new_connection` returns the result of `new_handler`."""
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(new_connection, host, port, backlog=self._limits.backlog)

    def new_handler(
        self, server: web.Server, bounds: RequestBounds, options: dict[str, Any]
    ) -> BoundedRequestHandler:
        """Return the protocol of a new connection; `options` are those of `aiohttp.web.Server`."""
        return BoundedRequestHandler(self, server, bounds, {"access_log": None, **options})

    def stop(self) -> None:
        """Stop listening; open connections remain."""
        if self._server is not None:
            self._server.close()

    @property
    def address(self) -> str:
        """The address on which the server listens, with the actual port if port 0 was configured."""
        if self._server is None or not self._server.sockets:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def report(self, error: Exception) -> None:
        """Report an unexpected exception of a handler."""
        if self._report is not None:
            self._report(error)

    # ---- calls of the connections

    def opened(self, connection: BoundedRequestHandler, head_timeout_s: float) -> None:
        """Register a new connection, and close another one if there are too many."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if self._sweep_handle is None:
            self._sweep_handle = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        victim = self._table.open(connection, now, now + head_timeout_s)
        if victim is not None:
            self._abort(victim, CloseReason.TOO_MANY_CONNECTIONS)

    def closed(self, connection: BoundedRequestHandler) -> None:
        """Forget a connection."""
        self._table.close(connection)
        self.parse_queue.remove(connection)

    def expect(self, connection: BoundedRequestHandler, timeout_s: float) -> None:
        """Set the time that the connection has for the rest of its head or body."""
        self._table.expect(connection, asyncio.get_running_loop().time() + timeout_s)

    def request_received(self, connection: BoundedRequestHandler) -> None:
        """Note that a request has arrived completely."""
        self._table.start_handling(connection)

    def hold_received(self, connection: BoundedRequestHandler, size: int) -> None:
        """Note how many received bytes a connection holds, and close those that hold too many."""
        victim = self._table.hold_received(connection, size)
        if victim is None:
            return
        if victim.is_handling:
            self.metrics.count(CloseReason.TOO_MANY_BYTES)
            victim.drop_waiting()
        else:
            self._abort(victim, CloseReason.TOO_MANY_BYTES)

    def response_started(self, connection: BoundedRequestHandler, size: int) -> None:
        """Note that a response is being written, and close slow readers if too much is unsent."""
        for unread in self._table.start_response(connection, size, asyncio.get_running_loop().time()):
            self._abort(unread, CloseReason.RESPONSE_UNREAD)

    def response_ended(self, connection: BoundedRequestHandler) -> None:
        """Note that a response was written."""
        self._table.end_response(connection)

    def _abort(self, connection: BoundedRequestHandler, reason: CloseReason) -> None:
        self.metrics.count(reason)
        self._table.close(connection)
        connection.abort()

    def _sweep(self) -> None:
        """Close the connections that are late; continue while there are connections."""
        loop = asyncio.get_running_loop()
        late = self._table.overdue(loop.time())
        for connection in late.receiving:
            if self.on_request_timeout is not None:
                self.on_request_timeout()
            self._abort(connection, CloseReason.REQUEST_TIMEOUT)
        for connection in late.writing:
            self._abort(connection, CloseReason.RESPONSE_UNREAD)
        self._sweep_handle = loop.call_later(SWEEP_INTERVAL_S, self._sweep) if len(self._table) else None
