"""A transport that sends nothing on a matter on which this process has been fenced.

Each role wraps its transport once.  An answer that names a higher epoch is recorded before its caller sees
it, and the role steps down on that matter (`on_fenced`).  From then on a request under the old epoch is not
sent: the call raises `FencedError`, whoever makes it and however it retries.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hollowusher.protocol.fencing import FencingToken, Matter, fencing_tokens, rejecting_tokens
from hollowusher.transport.interface import Handler, PeerError, Transport

OnFenced = Callable[[FencingToken, str], None]  # the higher epoch, and the address of the peer that named it


class FencedError(PeerError):
    """A request that was not sent, because a peer has named a higher epoch on its matter.

    Attributes
    ----------
    token : FencingToken
        The highest epoch that a peer has named.
    """

    def __init__(self, step: str, peer: str, token: FencingToken) -> None:
        super().__init__(step, peer, f"fenced by epoch {token.epoch}", sent=False)
        self.token = token


class FenceTable:
    """The highest epoch that peers have named on each matter.  No I/O, no clock.

    Invariant: no entry ever decreases.
    """

    def __init__(self) -> None:
        self._highest: dict[Matter, int] = {}

    def record(self, token: FencingToken) -> bool:
        """Record an epoch that a peer has named; return whether it is higher than those before."""
        if token.epoch <= self._highest.get(token.matter, 0):
            return False
        self._highest[token.matter] = token.epoch
        return True

    def fence_of(self, token: FencingToken) -> FencingToken | None:
        """Return the higher epoch that fences this one, None if there is none."""
        highest = self._highest.get(token.matter, 0)
        return FencingToken(token.matter, highest) if highest > token.epoch else None


class FencedTransport(Transport):
    """See the module; `fences` tells the role on which matters it has been fenced."""

    def __init__(self, transport: Transport, on_fenced: OnFenced) -> None:
        self.address = transport.address
        self.fences = FenceTable()
        self._transport = transport
        self._on_fenced = on_fenced

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Return the answer of the process there.

        Raises
        ------
        FencedError
            If a peer has named a higher epoch on a matter of the message; nothing is sent.
        PeerError
            If no answer came within `timeout` seconds.
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
        """Send without an answer: such messages act under no epoch."""
        self._transport.send(address, message)

    async def start(self, handler: Handler) -> None:
        """Listen, and give each message that comes to `handler`."""
        await self._transport.start(handler)

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        await self._transport.close()
