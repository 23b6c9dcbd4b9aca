"""Counters of the connections that the servers of a process have refused or closed."""

from __future__ import annotations

import enum

import attrs


class CloseReason(enum.Enum):
    """The reason for which a server closes a connection; the value is the name of its counter."""

    TOO_MANY_CONNECTIONS = "too_many_connections"
    TOO_MANY_BYTES = "too_many_bytes"
    HEAD_TOO_LARGE = "head_too_large"
    REQUEST_TIMEOUT = "request_timeouts"
    RESPONSE_UNREAD = "responses_unread"
    MALFORMED = "malformed"


@attrs.define
class ConnectionMetrics:
    """Counters since the start of the process, over all servers of one kind."""

    too_many_connections: int = 0  # closed or not accepted: the server has as many as it may
    too_many_bytes: int = 0  # held more of what the server may hold than the others
    head_too_large: int = 0  # or the frame, on the internal port
    request_timeouts: int = 0  # head, body or frame did not arrive in time
    responses_unread: int = 0
    malformed: int = 0

    def count(self, reason: CloseReason) -> None:
        """Count one closed connection."""
        setattr(self, reason.value, getattr(self, reason.value) + 1)

    def total(self) -> int:
        """Return the sum of all counters."""
        return sum(attrs.astuple(self))
