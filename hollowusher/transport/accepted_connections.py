"""The connections that other processes have opened to this one, within limits on their number and bytes.

A connection has to introduce itself with its first frame, which is short.  Connections that name this
process's cluster are never closed to make room for others, because the cluster works through them.  The
frames of the others are processed in turn.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollowusher.protocol.identity import Hello, Identity
from hollowusher.transport.connection_metrics import CloseReason, ConnectionMetrics
from hollowusher.transport.connection_table import ConnectionTable, ServerLimits
from hollowusher.transport.fair_queue import FairQueue

MAX_FIRST_FRAME_BYTES = 64 * 1024
FIRST_FRAME_TIMEOUT_S = 10.0
FRAME_TIMEOUT_S = 60.0
SWEEP_INTERVAL_S = 5.0


class AcceptedConnection(Protocol):
    """A connection as `AcceptedConnections` sees it."""

    def __hash__(self) -> int:
        """Return a hash of the object's identity."""

    def abort(self) -> None:
        """Close the connection without sending what is unsent."""

    def process_part(self) -> bool:
        """Process a few received frames, and return whether more can be processed now."""

    def fail(self, error: Exception) -> None:
        """Handle an exception of `process_part`."""


class AcceptedConnections:
    """Registers the accepted connections and closes those that exceed `limits` or are late."""

    def __init__(self, limits: ServerLimits) -> None:
        self.limits = limits
        self.metrics = ConnectionMetrics()
        self.frame_queue = FairQueue.on_running_loop()
        self._table: ConnectionTable[AcceptedConnection] = ConnectionTable(limits)
        self._sweep_handle: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._table)

    def opened(self, connection: AcceptedConnection) -> None:
        """Register a connection, and close one that has not introduced itself if there are too many."""
        loop = asyncio.get_running_loop()
        if self._sweep_handle is None:
            self._sweep_handle = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = loop.time()
        victim = self._table.open(connection, now, now + FIRST_FRAME_TIMEOUT_S)
        if victim is not None:
            self._abort(victim, CloseReason.TOO_MANY_CONNECTIONS)

    def closed(self, connection: AcceptedConnection) -> None:
        """Forget a connection."""
        self._table.close(connection)
        self.frame_queue.remove(connection)

    def introduced(self, connection: AcceptedConnection, hello: Hello, own: Identity) -> bool:
        """Note the identity of the caller, and return whether it names the cluster of this process."""
        if not own.cluster or hello.caller.cluster != own.cluster:
            return False
        self._table.start_handling(connection)
        return True

    def hold_frame(self, connection: AcceptedConnection, size: int, is_new: bool) -> None:
        """Note the received part of a frame; `is_new` is whether its first bytes have just arrived."""
        if not size:
            self._table.expect(connection, None)
        elif is_new:
            self._table.expect(connection, asyncio.get_running_loop().time() + FRAME_TIMEOUT_S)
        victim = self._table.hold_received(connection, size)
        if victim is not None:
            self._abort(victim, CloseReason.TOO_MANY_BYTES)

    def hold_unsent(self, connection: AcceptedConnection, size: int) -> None:
        """Note how many bytes of responses wait because the caller does not read."""
        now = asyncio.get_running_loop().time()
        for unread in self._table.start_response(connection, size, now):
            self._abort(unread, CloseReason.RESPONSE_UNREAD)
        if size > self.limits.max_unsent_bytes:
            self._abort(connection, CloseReason.RESPONSE_UNREAD)

    def sent(self, connection: AcceptedConnection) -> None:
        """Note that the caller has read its responses."""
        self._table.clear_unsent(connection)

    def refuse_frame(self, connection: AcceptedConnection) -> None:
        """Close a connection whose frame is too long or malformed."""
        self._abort(connection, CloseReason.MALFORMED)

    def _abort(self, connection: AcceptedConnection, reason: CloseReason) -> None:
        self.metrics.count(reason)
        self._table.close(connection)
        connection.abort()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        late = self._table.overdue(loop.time())
        for connection in late.receiving:
            self._abort(connection, CloseReason.REQUEST_TIMEOUT)
        for connection in late.writing:
            self._abort(connection, CloseReason.RESPONSE_UNREAD)
        self._sweep_handle = loop.call_later(SWEEP_INTERVAL_S, self._sweep) if len(self._table) else None
