"""Requests to store the messages of clients and to read their status.

The reference of a stored message is "PARTITION-EPOCH-SEQUENCE".
"""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message

CALLBACK_PREFIX = "callback:"  # of the pseudo services callback:HOST:PORT, one per receiver of call-backs


@message(50)
class NewMessage:
    """A message from a client."""

    id: str  # X-Attempt-Id
    route: str  # the route's name
    service: str  # upstream of the route when the edge process accepted the message
    method: str
    path: str  # path and query of the request, unchanged
    host: str
    body: bytes
    content_type: str = ""
    ordering_key: str = ""  # empty: unordered
    delay_ms: int = 0  # remaining delay when the edge process sends the message to the store
    callback_url: str = ""
    max_attempts: int = 1
    retention_ms: int = 0
    timeout_ms: int = 0  # of each delivery, when the message was accepted; in a `LeasedJob`: of this delivery
    priority: int = 0
    target_start_ms: int = 0
    headers: list[list[str]] = attrs.Factory(list)  # further [name, value] headers of each delivery
    generation: int = 0  # of the configuration that was in force when the message was accepted; 0: unknown


@message(51)
class PutRequest:
    """Request to store a message in a partition; repeated requests with the same message id store it once."""

    partition: int
    message: NewMessage


@message(52)
class PutResponse:
    """Response to `PutRequest`.

    "stored": a quorum has synced the message.  "not_primary": the message was not stored.  "unavailable": the
    message was not stored and will not be.  "unknown": the message may have been stored.
    """

    status: str  # "stored" | "not_primary" | "unavailable" | "unknown"
    reference: str = ""


@message(59)
class MessageStatusRequest:
    """Request for the state of a message, with its body if `want_body` is set."""

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
