"""What the parts of one controller share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import attrs

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.protocol.view import Voter
from hollowusher.transport.fenced_transport import FencedTransport

Spawn = Callable[[Coroutine[object, object, object]], None]


@attrs.frozen(eq=False)
class ControllerContext:
    """The shared state and means of one controller's parts.

    `ViewConsensus` owns the decided view, `ChainMember` the control state; the other parts only read them.
    `spawn` runs a coroutine for as long as the controller lives.
    """

    me: Voter
    transport: FencedTransport
    consensus: ViewConsensus
    chain_member: ChainMember
    spawn: Spawn

    @staticmethod
    def now() -> float:
        """Return the time of the monotonic clock in seconds."""
        return asyncio.get_running_loop().time()
