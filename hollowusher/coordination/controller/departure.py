"""How a controller leaves: it goes once the others hold what it holds and do without it.

A spare takes its place if there is one, by the head's proposal (a head first leaves the chain, so that the
next member leads).  Without a spare it leaves the chain and keeps its vote for its return.  Either way it
stays until the chain without it has the state of the new epoch in force: until then it may hold the only
second copy.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot
from hollowusher.coordination.consensus.paxos import find_voter, is_voter
from hollowusher.coordination.consensus.reconfiguration import plan_chain
from hollowusher.coordination.consensus.spare_controllers import SpareControllers
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.coordination.consensus.view_queries import call_all
from hollowusher.protocol.consensus import Ping, Pong, ViewDecided
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.interface import PeerError, Transport

TIMEOUT_S = 1.5  # without a spare
TIMEOUT_WITH_SPARE_S = 3.0
REPLACEMENT_WAIT_S = 1.0  # a member of the chain that is not swapped by then leaves the chain by itself
CALL_TIMEOUT_S = 0.3


class Departure:
    """The end of one controller's part.  `presence` tells what it knows of the voters of a view."""

    def __init__(
        self,
        me: Voter,
        transport: Transport,
        consensus: ViewConsensus,
        chain_member: ChainMember,
        spares: SpareControllers,
        presence: Callable[[View], LivenessSnapshot],
    ) -> None:
        self._me = me
        self._transport = transport
        self._consensus = consensus
        self._chain_member = chain_member
        self._spares = spares
        self._presence = presence
        self._began_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether this controller leaves."""
        return self._began_at is not None

    def begin(self) -> float:
        """Leave from now on; the longest time that this may take."""
        self._began_at = _now()
        return TIMEOUT_WITH_SPARE_S if self._has_spare() else TIMEOUT_S

    async def step(self) -> bool:
        """Do what is due; True once the others do without this controller."""
        view = self._consensus.view
        if view is None or [voter.name for voter in view.voters] == [self._me.name]:
            return True
        if self._chain_member.epoch != view.epoch:  # the disk has not taken the newest view yet
            return False
        if self._chain_member.in_chain:
            if view.head == self._me.name or not self._awaits_replacement():
                await self._leave_chain()
            return False
        if is_voter(view, self._me.name, self._me.disk_id) and self._has_spare():
            return False
        return await self._is_state_in_force(view)

    def _has_spare(self) -> bool:
        return bool(self._spares.recent(_now()))

    def _awaits_replacement(self) -> bool:
        began = self._began_at if self._began_at is not None else _now()
        return self._has_spare() and _now() - began < REPLACEMENT_WAIT_S

    async def _leave_chain(self) -> None:
        """Propose a chain without this controller, if the others make one; tell all of them of it."""
        await self._consensus.propose(self._plan_without_me)
        view = self._consensus.view
        if view is not None and not self._chain_member.in_chain:
            others = [voter.address for voter in view.voters if voter.name != self._me.name]
            await call_all(self._transport, others, ViewDecided(view), CALL_TIMEOUT_S)

    def _plan_without_me(self, base: View) -> View | None:
        if self._chain_member.epoch != base.epoch:
            return None
        return plan_chain(base, self._presence(base), departing=self._me.name)

    async def _is_state_in_force(self, view: View) -> bool:
        """Whether the tail of the chain has the state of the view's epoch on its disk: every member has."""
        tail = find_voter(view, view.tail)
        if tail is None:
            return False
        try:
            pong = await self._transport.call(tail.address, Ping(self._me.name, view.epoch), CALL_TIMEOUT_S)
        except PeerError:
            return False
        if not isinstance(pong, Pong) or pong.disk_id != tail.disk_id or not pong.state_version:
            return False
        return pong.epoch == view.epoch and pong.state_version[0] == view.epoch


def _now() -> float:
    return asyncio.get_running_loop().time()
