"""Messages and members for tests of calls between processes."""

from __future__ import annotations

from typing import Any

from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import NewMessage


def message(identifier: str, **changes: Any) -> NewMessage:
    """Return a message with default fields, changed by `changes`."""
    plain = NewMessage(
        id=identifier,
        route="r",
        service="s",
        method="POST",
        path="/x/1",
        host="a.example",
        body=identifier.encode(),
        max_attempts=3,
        retention_ms=60_000,
        timeout_ms=1_000,
    )
    return evolve(plain, **changes)


def store_member(name: str, address: str, incarnation: int, status: int = 0) -> Member:
    """Return a store as a member of the cluster."""
    return Member(name, "store", address, "z", "r", incarnation, "d", status=status)
