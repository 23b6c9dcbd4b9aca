"""Requests that read or change the control state.

The head of the chain processes changes, the tail answers reads, and every other controller forwards requests
to the head or the tail.  Reads are linearizable: the tail answers only after a quorum has confirmed that the
tail's view is the newest (van Renesse and Schneider, "Chain replication for supporting high throughput and
availability", 2004).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hollowusher.configuration.order_history import CommittedAges
from hollowusher.coordination.chain.chain_head import ChainHead
from hollowusher.coordination.chain.state_store import MIN_THROUGHPUT_BYTES_PER_S
from hollowusher.coordination.consensus.paxos import find_voter, is_voter
from hollowusher.coordination.controller.controller_context import ControllerContext
from hollowusher.coordination.controller.voter_monitor import VoterMonitor
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState, ControlStateResponse, ReadControlState
from hollowusher.protocol.operator_orders import ChangeConfiguration, OperatorResponse, ReadConfiguration
from hollowusher.transport.interface import PeerError

if TYPE_CHECKING:
    from hollowusher.configuration.orders import Order, OrderOutcome

FORWARD_CHANGE_TIMEOUT_S = 2.8
FORWARD_READ_TIMEOUT_S = 0.7

UNAVAILABLE = OperatorResponse(503, b'{"error":"no majority of the controllers can be reached"}')
NOT_CONFIGURED = OperatorResponse(404, b'{"error":"there is no configuration yet"}')


ForwardedRequest = ChangeConfiguration | ReadConfiguration | ReadControlState


class ControlStateService:
    """Handles one controller's requests for the control state, which the chain replicates."""

    def __init__(self, context: ControllerContext, chain_head: ChainHead, monitor: VoterMonitor) -> None:
        self._me = context.me
        self._transport = context.transport
        self._consensus = context.consensus
        self._chain_member = context.chain_member
        self._chain_head = chain_head
        self._monitor = monitor
        self._committed_ages = CommittedAges()

    async def change_configuration(self, message: ChangeConfiguration) -> OperatorResponse:
        """Return the response to an operator's configuration change, which only the head processes."""
        # Imported here because it is slow and not needed at process start, see `configuration.refusal`.
        from hollowusher.configuration.orders import read_order

        read = read_order(message.method, message.if_match, message.body)
        if read.is_error():
            return read.error.answer()
        newest = self._consensus.view
        # The chain member does not use the newest view until this controller has saved it to its disk.
        is_deposed = newest is not None and newest.epoch > self._chain_member.epoch
        if is_deposed or not self._chain_member.is_head:
            head = newest.head if newest is not None else ""
            timeout_s = FORWARD_CHANGE_TIMEOUT_S + len(message.body) / MIN_THROUGHPUT_BYTES_PER_S
            answer = await self._forward(head, message, timeout_s)
            return answer if isinstance(answer, OperatorResponse) else UNAVAILABLE
        return await self._apply_order(read.ok)

    async def _apply_order(self, order: Order) -> OperatorResponse:
        """Apply an order to the newest state and commit the result.  Only the head calls this method."""
        from hollowusher.configuration.orders import apply_order

        outcomes: list[OrderOutcome] = []

        def update(state: ControlState) -> ControlState | None:
            outcome = apply_order(state, order, self._newest_unrepeatable_generation())
            outcomes.append(outcome)
            return outcome.state

        committed = await self._chain_head.change(update)
        if not committed or not outcomes:
            return UNAVAILABLE
        answer = outcomes[0].answer
        if answer.status != 200 and not await self._consensus.quorum_confirms(self._chain_member.epoch):
            return UNAVAILABLE  # a deposed head must not reject an order that is based on a newer version
        return answer

    def _newest_unrepeatable_generation(self) -> int:
        """Return the newest generation whose order operators no longer retry."""
        now = asyncio.get_running_loop().time()
        if self._chain_member.committed is not None:
            self._committed_ages.note(self._chain_member.committed.generation, now)
        return self._committed_ages.newest_expired(now)

    async def read_configuration(self, message: ReadConfiguration) -> OperatorResponse:
        """Return the newest configuration, which the tail reads from its committed state."""
        if not self._chain_member.is_tail:
            answer = await self._forward_read(message)
            return answer if isinstance(answer, OperatorResponse) else UNAVAILABLE
        state = await self._confirmed_state()
        if state is None:
            return UNAVAILABLE
        return OperatorResponse(200, state.document) if state.generation else NOT_CONFIGURED

    async def read_state(self, message: ReadControlState) -> ControlStateResponse:
        """Return the newest committed control state, which the tail holds."""
        if not self._chain_member.is_tail:
            answer = await self._forward_read(message)
            return answer if isinstance(answer, ControlStateResponse) else ControlStateResponse(None)
        state = await self._confirmed_state()
        return ControlStateResponse(state, self._chain_member.epoch)

    async def _confirmed_state(self) -> ControlState | None:
        """Return the tail's committed state if a quorum confirms that the view is the newest, else None."""
        view = self._chain_member.view
        if view is None or not self._chain_member.is_readable or not self._monitor.has_quorum(view):
            return None
        state = self._chain_member.committed
        return state if await self._consensus.quorum_confirms(view.epoch) else None

    async def _forward_read(self, message: ReadConfiguration | ReadControlState) -> object:
        tail = self._consensus.view.tail if self._consensus.view is not None else ""
        return await self._forward(tail, message, FORWARD_READ_TIMEOUT_S)

    async def _forward(self, name: str, message: ForwardedRequest, timeout_s: float) -> object:
        """Forward a request to the voter `name`; return its response, or None if there is none.

        A request is forwarded at most once, because controllers with different views could forward it in a
        loop.
        """
        view = self._consensus.view
        voter = find_voter(view, name) if view is not None else None
        if view is None or voter is None or message.forwarded or name == self._me.name:
            return None
        if is_voter(view, self._me.name, self._me.disk_id) and not self._monitor.is_reachable(name):
            return None
        try:
            return await self._transport.call(voter.address, evolve(message, forwarded=True), timeout_s)
        except PeerError:
            return None
