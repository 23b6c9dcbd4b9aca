"""A transport that rejects requests under an epoch that a peer has fenced.

Each role wraps its transport once.  The wrapper records a higher epoch in a response before it returns the
response to the caller, and calls `on_fenced`, so that the role steps down on that matter.  From then on the
wrapper does not send requests under the old epoch: every such call, retries included, raises `FencedError`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hollowusher.protocol.fencing import FencingToken, Matter, fencing_tokens, rejecting_tokens
from hollowusher.transport.interface import Handler, PeerError, Transport

# Called with the higher epoch and the address of the peer that returned it.
OnFenced = Callable[[FencingToken, str], None]


class FencedError(PeerError):
    """A request was not sent, because a peer has returned a higher epoch for its matter.

    Attributes
    ----------
    token : FencingToken
        The highest epoch that any peer has returned for the matter.
    """

    def __init__(self, step: str, peer: str, token: FencingToken) -> None:
        super().__init__(step, peer, f"fenced by epoch {token.epoch}", sent=False)
        self.token = token


class FenceTable:
    """The highest epoch that peers have returned for each matter.  It performs no I/O and reads no clock.

    Invariant: no entry ever decreases.
    """

    def __init__(self) -> None:
        self._highest: dict[Matter, int] = {}

    def record(self, token: FencingToken) -> bool:
        """Record an epoch that a peer has returned; return whether it is higher than all earlier ones."""
        if token.epoch <= self._highest.get(token.matter, 0):
            return False
        self._highest[token.matter] = token.epoch
        return True

    def fence_of(self, token: FencingToken) -> FencingToken | None:
        """Return the token of the higher epoch that fences `token`, None if `token` is not fenced."""
        highest = self._highest.get(token.matter, 0)
        return FencingToken(token.matter, highest) if highest > token.epoch else None


class FencedTransport(Transport):
    """A `Transport` that raises `FencedError` for fenced requests.

    The role reads the fenced matters from `fences`.
    """

    def __init__(self, transport: Transport, on_fenced: OnFenced) -> None:
        self.address = transport.address
        self.fences = FenceTable()
        self._transport = transport
        self._on_fenced = on_fenced

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Send a request to the process at `address` and return its response.

        Raises
        ------
        FencedError
            If a peer has returned a higher epoch for a matter of the message; nothing is sent.
        PeerError
            If no response arrived within `timeout` seconds.
        """
        for token in fencing_tokens(message):
            fence = self.fences.fence_of(token)
            if fence is not None:
                raise FencedError(type(message).__name__, address, fence)
        answer = await self._transport.call(address, message, timeout)
        for token in rejecting_tokens(message, answer):
            if self.fences.record(token):
                self._on_fenced(token, address)
        return answer

    def send(self, address: str, message: Any) -> None:
        """Send a one-way message; one-way messages carry no epoch, so they are never fenced."""
        self._transport.send(address, message)

    async def start(self, handler: Handler) -> None:
        """Listen, and pass each received message to `handler`."""
        await self._transport.start(handler)

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        await self._transport.close()
