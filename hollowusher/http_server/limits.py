"""The limits of the HTTP servers of a process, derived from `memoryMb` and `maxFds` of its settings.

Three eighths of the descriptors are for clients, a quarter for other processes, a sixteenth for readiness
checks and operators, and an eighth for connections that the kernel hands over in one burst; connections to
stores and workers and the disk have the rest.  The limits on bytes are sums over all connections of one
server.  A received byte costs up to three more while a request is parsed and stored.
"""

from __future__ import annotations

import attrs

from hollowusher.transport.connection_table import MAX_BACKLOG, MIB, MIN_CONNECTIONS, ServerLimits

LARGEST_ORDER_BYTES = 9 * MIB  # the longest body of an operator's request, and its head


@attrs.frozen
class RequestBounds:
    """Limits on one request; `max_head_bytes` counts empty lines, the start line, headers and trailers."""

    max_head_bytes: int
    head_timeout_s: float
    body_timeout_s: float


def frontend_limits(memory_mb: int, max_fds: int) -> ServerLimits:
    """Return the limits of the server for clients and pull workers."""
    return ServerLimits(
        max_connections=max(MIN_CONNECTIONS, max_fds * 3 // 8),
        backlog=min(MAX_BACKLOG, max(MIN_CONNECTIONS, max_fds // 8)),
        max_received_bytes=memory_mb * MIB // 12,
        max_unsent_bytes=memory_mb * MIB // 16,
    )


def readiness_limits(memory_mb: int, max_fds: int) -> ServerLimits:
    """Return the limits of the server for readiness checks."""
    connections = max(MIN_CONNECTIONS, max_fds // 32)
    return ServerLimits(connections, connections, memory_mb * MIB // 128, memory_mb * MIB // 128)


def admin_limits(memory_mb: int, max_fds: int) -> ServerLimits:
    """Return the limits of the server for operators; the longest order always fits."""
    connections = max(MIN_CONNECTIONS, max_fds // 32)
    size = max(LARGEST_ORDER_BYTES, memory_mb * MIB // 16)
    return ServerLimits(connections, connections, size, size)
