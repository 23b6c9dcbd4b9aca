"""The network interface of the roles: request-response calls and one-way messages."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from hollowusher.protocol.identity import Identity

# Takes a message and returns the response, None for a one-way message.
Handler = Callable[[Any], Awaitable[Any]]


class PeerError(Exception):
    """A call failed before a response arrived.

    `step` is the operation under way, usually the type name of the message; `peer` is the peer's address.
    `sent` is False only if the peer certainly never processed the call.
    """

    def __init__(self, step: str, peer: str, reason: str, sent: bool = True) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.sent = sent


class WrongPeer(PeerError):
    """The process at the address is not the intended one; it has rejected the message unprocessed."""

    def __init__(self, step: str, peer: str, found: Identity) -> None:
        super().__init__(
            step, peer, f"another process is at this address: {found.name or 'unknown'}", sent=False
        )
        self.found = found


def fail_call(waiting: asyncio.Future[Any], error: PeerError) -> None:
    """Fail a pending call.

    The caller may be cancelled at the same time and never retrieve the exception.  Reading the exception
    here keeps asyncio from logging it as "never retrieved".
    """
    if not waiting.done():
        waiting.set_exception(error)
        waiting.exception()


class Transport(Protocol):
    """Access of one process to its peers, which are addressed by their internal "ip:port"."""

    address: str

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Send a request to the process at `address` and return its response.

        Raises
        ------
        PeerError
            If no response arrived within `timeout` seconds.
        """

    def send(self, address: str, message: Any) -> None:
        """Send a one-way message; it is lost if the peer cannot be reached."""

    async def start(self, handler: Handler) -> None:
        """Listen, and pass each received message to `handler`."""

    async def close(self) -> None:
        """Stop listening and drop all connections."""
