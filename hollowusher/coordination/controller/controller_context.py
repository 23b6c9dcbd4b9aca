"""The context that the components of one controller share."""

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
    """The shared state and services of one controller's components.

    `ViewConsensus` owns the decided view and `ChainMember` owns the control state.  The other components only
    read them.  `spawn` starts a coroutine as a task, which the controller cancels when it stops.
    """

    me: Voter
    transport: FencedTransport
    consensus: ViewConsensus
    chain_member: ChainMember
    spawn: Spawn

    @staticmethod
    def now() -> float:
        """Return the time of the event loop's monotonic clock in seconds."""
        return asyncio.get_running_loop().time()
