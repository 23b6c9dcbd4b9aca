"""What the roles need of a network: calls that are answered, and one-way messages."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from hollowusher.protocol.identity import Identity

Handler = Callable[[Any], Awaitable[Any]]  # takes a message; the answer, or None for one-way messages


class PeerError(Exception):
    """A call that got no answer: the step that was under way, the peer's address, and the reason.

    `sent` is False where it is certain that the peer never saw the call."""

    def __init__(self, step: str, peer: str, reason: str, sent: bool = True) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.sent = sent


class WrongPeer(PeerError):
    """The process at the address is not the one that was meant; it has not taken the message."""

    def __init__(self, step: str, peer: str, found: Identity) -> None:
        super().__init__(step, peer, f"another process is there: {found.name or 'unknown'}", sent=False)
        self.found = found


def fail_call(waiting: asyncio.Future[Any], error: PeerError) -> None:
    """End a call that waits for its answer.  Its caller may be ending in the same moment: nobody then reads
    the failure, which is no fault."""
    if not waiting.done():
        waiting.set_exception(error)
        waiting.exception()


class Transport(Protocol):
    """One process's access to the others, by internal address "ip:port"."""

    address: str

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """The answer of the process there; `PeerError` where none came within `timeout` seconds."""

    def send(self, address: str, message: Any) -> None:
        """Send without an answer; lost where the peer cannot be reached."""

    async def start(self, handler: Handler) -> None:
        """Listen, and give each message that comes to `handler`."""

    async def close(self) -> None:
        """Stop listening and drop all connections."""
