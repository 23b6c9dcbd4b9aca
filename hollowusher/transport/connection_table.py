"""The state of all connections of one server, and which of them to close when a limit is reached.

This module does no I/O.  Times are in seconds of the caller's clock, sizes in bytes.  A connection whose
complete request waits for its response is never chosen, because its message may already be stored.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

MIB = 1024 * 1024
MIN_CONNECTIONS = 8
MAX_BACKLOG = 1024
WRITE_TIMEOUT_S = 30.0  # a client has this long to read a response
SLOW_READER_S = 1.0  # a response that is unread for longer may be given up for a new connection
Connection = TypeVar("Connection", bound=Hashable)


@attrs.frozen
class ServerLimits:
    """Limits on all connections of one server together."""

    max_connections: int
    backlog: int  # connections that the kernel keeps until they are accepted
    max_received_bytes: int  # of requests that have no response yet
    max_unsent_bytes: int  # of responses that their clients have not read


def peer_limits(memory_mb: int, max_fds: int) -> ServerLimits:
    """Return the limits on the connections that other processes open to this one."""
    return ServerLimits(
        max_connections=max(MIN_CONNECTIONS, max_fds // 4),
        backlog=min(MAX_BACKLOG, max(MIN_CONNECTIONS, max_fds // 8)),
        max_received_bytes=memory_mb * MIB // 8,
        max_unsent_bytes=memory_mb * MIB // 8,
    )


@attrs.define
class _State:
    """What one connection holds, and what it has to do until when."""

    received_bytes: int = 0
    unsent_bytes: int = 0
    is_handling: bool = False  # a complete request waits for its response
    receive_deadline: float | None = None
    writing_since: float | None = None


@attrs.frozen
class Overdue(Generic[Connection]):
    """The connections that have missed their deadlines."""

    receiving: list[Connection]
    writing: list[Connection]


class ConnectionTable(Generic[Connection]):
    """All open connections of a server; the one that was served or opened first comes first.

    Methods that return connections return those that the caller has to close.
    """

    def __init__(self, limits: ServerLimits) -> None:
        self._limits = limits
        self._states: dict[Connection, _State] = {}
        self._received_bytes = 0
        self._unsent_bytes = 0

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._states)

    def open(self, connection: Connection, now: float, deadline: float) -> Connection | None:
        """Add a connection whose first head is due at `deadline`; return the one that has to make room."""
        self._states[connection] = _State(receive_deadline=deadline)
        if len(self._states) <= self._limits.max_connections:
            return None
        return self._longest_idle(connection, now) or connection

    def close(self, connection: Connection) -> None:
        """Remove a connection that was closed."""
        state = self._states.pop(connection, None)
        if state is not None:
            self._received_bytes -= state.received_bytes
            self._unsent_bytes -= state.unsent_bytes

    def expect(self, connection: Connection, deadline: float | None) -> None:
        """Set the time by which a connection has to send the rest of its head or body."""
        state = self._states.get(connection)
        if state is not None:
            state.receive_deadline = deadline

    def hold_received(self, connection: Connection, size: int) -> Connection | None:
        """Note that a connection holds `size` received bytes; return the one that holds too many."""
        state = self._states.get(connection)
        if state is None:
            return None
        grows = size > state.received_bytes
        self._received_bytes += size - state.received_bytes
        state.received_bytes = size
        if not grows or self._received_bytes <= self._limits.max_received_bytes:
            return None
        return self._largest_request() or connection

    def start_handling(self, connection: Connection) -> None:
        """Note that a request has arrived completely."""
        state = self._states.get(connection)
        if state is not None:
            state.is_handling = True
            state.receive_deadline = None

    def start_response(self, connection: Connection, size: int, now: float) -> list[Connection]:
        """Note that `size` bytes of responses are unsent; return those that are unread for longest.

        It may be called again while more is written, and counts as started when it was called first."""
        state = self._states.get(connection)
        if state is None:
            return []
        if state.writing_since is None:
            state.writing_since = now
        self._unsent_bytes += size - state.unsent_bytes
        state.unsent_bytes = size
        return self._unread_over_limit(connection)

    def clear_unsent(self, connection: Connection) -> None:
        """Note that nothing is unsent any more."""
        state = self._states.get(connection)
        if state is not None:
            self._unsent_bytes -= state.unsent_bytes
            state.unsent_bytes = 0
            state.writing_since = None

    def end_response(self, connection: Connection) -> None:
        """Note that a response was written: the connection has nothing to do until its next request."""
        self.clear_unsent(connection)
        state = self._states.pop(connection, None)
        if state is not None:
            state.is_handling = False
            self._states[connection] = state

    def overdue(self, now: float) -> Overdue[Connection]:
        """Return the connections whose request or whose client's reading of a response is late."""
        receiving = []
        writing = []
        for connection, state in self._states.items():
            if state.receive_deadline is not None and state.receive_deadline <= now:
                receiving.append(connection)
            if state.writing_since is not None and state.writing_since <= now - WRITE_TIMEOUT_S:
                writing.append(connection)
        return Overdue(receiving, writing)

    def _longest_idle(self, newest: Connection, now: float) -> Connection | None:
        """Return the connection without progress for longest, or else the slowest reader."""
        for connection, state in self._states.items():
            if not state.is_handling and connection != newest:
                return connection
        late = now - SLOW_READER_S
        return min(
            (
                each
                for each, state in self._states.items()
                if state.writing_since is not None and state.writing_since <= late
            ),
            key=self._writing_since,
            default=None,
        )

    def _largest_request(self) -> Connection | None:
        """Return the connection that holds most of an incomplete request."""
        return max(
            (each for each, state in self._states.items() if state.received_bytes and not state.is_handling),
            key=lambda each: self._states[each].received_bytes,
            default=None,
        )

    def _unread_over_limit(self, newest: Connection) -> list[Connection]:
        excess = self._unsent_bytes - self._limits.max_unsent_bytes
        if excess <= 0:
            return []
        chosen = []
        writing = (each for each, state in self._states.items() if state.unsent_bytes and each != newest)
        for each in sorted(writing, key=self._writing_since):
            if excess <= 0:
                break
            chosen.append(each)
            excess -= self._states[each].unsent_bytes
        return chosen

    def _writing_since(self, connection: Connection) -> float:
        since = self._states[connection].writing_since
        return float("inf") if since is None else since
