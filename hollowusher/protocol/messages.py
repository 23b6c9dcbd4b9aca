"""Messages of clients: sending them to a store, and reading their status."""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message

CALLBACK_PREFIX = "callback:"  # the pseudo service of call-backs owed to one receiver: callback:HOST:PORT


@message(50)
class NewMessage:
    """A message as a client sent it."""

    id: str  # X-Attempt-Id
    route: str  # the route's name
    service: str  # upstream at the time it was accepted
    method: str
    path: str  # path and query, unchanged
    host: str
    body: bytes
    content_type: str = ""
    ordering_key: str = ""  # empty: unordered
    delay_ms: int = 0  # still to wait when the edge process sends it to the store
    callback_url: str = ""
    max_attempts: int = 1
    retention_ms: int = 0
    timeout_ms: int = 0
    priority: int = 0
    target_start_ms: int = 0
    headers: list[list[str]] = attrs.Factory(list)  # further headers that a delivery repeats
    generation: int = 0  # of the configuration that the edge process accepted it under, 0: unknown


@message(51)
class PutRequest:
    """Keep a message in a partition.  The same id may be put again: it is kept once."""

    partition: int
    message: NewMessage


@message(52)
class PutResponse:
    """`stored`: a quorum has it on disk.  `not_primary`: nothing was kept.  `unavailable`: nothing was kept
    and nothing will be; `unknown`: it may have been kept."""

    status: str  # "stored" | "not_primary" | "unavailable" | "unknown"
    reference: str = ""


@message(59)
class MessageStatusRequest:
    """State of a message, with its body if wanted."""

    reference: str
    want_body: bool = False


@message(60)
class MessageStatusResponse:
    """`state`: "queued" | "completed" | "dead_letter" | "unknown" (no such message) | "not_primary" |
    "unavailable"."""

    state: str
    signature: str = ""
    body: bytes | None = None
