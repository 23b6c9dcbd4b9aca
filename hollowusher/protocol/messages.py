"""Messages of clients on their way to a store: storing them, and reading their status.

A message's reference is "PARTITION-EPOCH-SEQUENCE".
"""

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
    """Request to store a message in a partition; a message id that comes again is stored once."""

    partition: int
    message: NewMessage


@message(52)
class PutResponse:
    """Response to `PutRequest`.

    "stored": a quorum has synced it.  "not_primary": nothing was stored.  "unavailable": nothing was stored
    and nothing will be.  "unknown": it may have been stored.
    """

    status: str  # "stored" | "not_primary" | "unavailable" | "unknown"
    reference: str = ""


@message(59)
class MessageStatusRequest:
    """Request for the state of a message, with its body if wanted."""

    reference: str
    want_body: bool = False


@message(60)
class MessageStatusResponse:
    """Response to `MessageStatusRequest`.

    "unknown": there is no such message.
    """

    state: str  # "queued" | "completed" | "dead_letter" | "unknown" | "not_primary" | "unavailable"
    signature: str = ""
    body: bytes | None = None
