"""Orders and questions about the control state: the head and the tail answer, the others pass them on."""

from __future__ import annotations

import asyncio
from typing import Any

from hollowusher.configuration.order_history import CommittedAges
from hollowusher.configuration.orders import Order, OrderOutcome, apply_order, read_order
from hollowusher.coordination.chain.chain_head import ChainHead
from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.state_store import MIN_THROUGHPUT_BYTES_PER_S
from hollowusher.coordination.consensus.paxos import find_voter, is_voter
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.coordination.controller.voter_group import VoterGroup
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState, ControlStateResponse, ReadControlState
from hollowusher.protocol.operator_orders import ChangeConfiguration, OperatorResponse, ReadConfiguration
from hollowusher.protocol.view import Voter
from hollowusher.transport.interface import PeerError, Transport

FORWARD_CHANGE_TIMEOUT_S = 2.8
FORWARD_READ_TIMEOUT_S = 0.7

UNAVAILABLE = OperatorResponse(503, b'{"error":"no majority of the controllers can be reached"}')
NOT_CONFIGURED = OperatorResponse(404, b'{"error":"there is no configuration yet"}')


class ControlStateService:
    """One controller's answers about the control state."""

    def __init__(
        self,
        me: Voter,
        transport: Transport,
        consensus: ViewConsensus,
        chain_member: ChainMember,
        chain_head: ChainHead,
        voter_group: VoterGroup,
    ) -> None:
        self._me = me
        self._transport = transport
        self._consensus = consensus
        self._chain_member = chain_member
        self._chain_head = chain_head
        self._voter_group = voter_group
        self._committed_ages = CommittedAges()

    async def change_configuration(self, message: ChangeConfiguration) -> OperatorResponse:
        """An order of the operator; the head decides."""
        read = read_order(message.method, message.if_match, message.body)
        if read.is_error():
            return read.error.answer()
        newest = self._consensus.view
        deposed = (
            newest is not None and newest.epoch > self._chain_member.epoch
        )  # the own disk is yet to take it
        if deposed or not self._chain_member.is_head:
            head = newest.head if newest is not None else ""
            timeout = FORWARD_CHANGE_TIMEOUT_S + len(message.body) / MIN_THROUGHPUT_BYTES_PER_S
            answer = await self._forward(head, message, timeout)
            return answer if isinstance(answer, OperatorResponse) else UNAVAILABLE
        return await self._apply_order(read.ok)

    async def _apply_order(self, order: Order) -> OperatorResponse:
        """Head: check an order against the newest state and commit what it asks for."""
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
            return UNAVAILABLE  # a deposed head must not refuse what builds on a newer version
        return answer

    def _newest_unrepeatable_generation(self) -> int:
        """The newest generation whose order nobody sends again."""
        now = asyncio.get_running_loop().time()
        if self._chain_member.committed is not None:
            self._committed_ages.note(self._chain_member.committed.generation, now)
        return self._committed_ages.no_longer_repeated(now)

    async def read_configuration(self, message: ReadConfiguration) -> OperatorResponse:
        """The newest configuration; the tail knows it."""
        if not self._chain_member.is_tail:
            answer = await self._forward_read(message)
            return answer if isinstance(answer, OperatorResponse) else UNAVAILABLE
        state = await self._confirmed_state()
        if state is None:
            return UNAVAILABLE
        return OperatorResponse(200, state.document) if state.generation else NOT_CONFIGURED

    async def read_state(self, message: ReadControlState) -> ControlStateResponse:
        """The newest committed control state; the tail knows it."""
        if not self._chain_member.is_tail:
            answer = await self._forward_read(message)
            return answer if isinstance(answer, ControlStateResponse) else ControlStateResponse(None)
        state = await self._confirmed_state()
        return ControlStateResponse(state, self._chain_member.epoch)

    async def _confirmed_state(self) -> ControlState | None:
        """Tail: its state, once a majority says that the view is still the newest."""
        view = self._chain_member.view
        if view is None or not self._chain_member.is_readable or not self._voter_group.has_quorum(view):
            return None
        state = self._chain_member.committed
        return state if await self._consensus.quorum_confirms(view.epoch) else None

    async def _forward_read(self, message: ReadConfiguration | ReadControlState) -> Any:
        tail = self._consensus.view.tail if self._consensus.view is not None else ""
        return await self._forward(tail, message, FORWARD_READ_TIMEOUT_S)

    async def _forward(self, name: str, message: Any, timeout: float) -> Any:
        """Pass an order or a question on to a member of the chain; None where that does not help."""
        view = self._consensus.view
        voter = find_voter(view, name) if view is not None else None
        if view is None or voter is None or message.forwarded or name == self._me.name:
            return None
        if is_voter(view, self._me.name, self._me.disk_id) and not self._voter_group.is_reachable(name):
            return None
        try:
            return await self._transport.call(voter.address, evolve(message, forwarded=True), timeout)
        except PeerError:
            return None
