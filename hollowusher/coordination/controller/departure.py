"""Graceful departure of a controller.

If a spare controller is available, the head proposes a view in which the spare replaces the departing voter.
A departing head first leaves the chain, so that its successor becomes the head and makes this proposal.
Without a spare the controller leaves the chain but remains a voter, so that it can vote again after a
restart.  In both cases the controller keeps running until the remaining chain has committed a state in its
new epoch.  Until that commit the departing controller may hold the only other replica of the state.
"""

from __future__ import annotations

from collections.abc import Callable

from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot
from hollowusher.coordination.consensus.paxos import find_voter, is_voter
from hollowusher.coordination.consensus.reconfiguration import plan_chain
from hollowusher.coordination.consensus.spare_controllers import SpareControllers
from hollowusher.coordination.consensus.view_queries import call_all
from hollowusher.coordination.controller.controller_context import ControllerContext
from hollowusher.protocol.consensus import Ping, Pong, ViewDecided
from hollowusher.protocol.view import View
from hollowusher.transport.interface import PeerError

TIMEOUT_WITHOUT_SPARE_S = 1.5
TIMEOUT_WITH_SPARE_S = 3.0
REPLACEMENT_WAIT_S = 1.0  # after this time a chain member that no spare has replaced leaves the chain itself
CALL_TIMEOUT_S = 0.3


class Departure:
    """The departure of one controller.

    `liveness` returns which voters of a view are reachable and complete.
    """

    def __init__(
        self,
        context: ControllerContext,
        spares: SpareControllers,
        liveness: Callable[[View], LivenessSnapshot],
    ) -> None:
        self._context = context
        self._spares = spares
        self._liveness = liveness
        self._began_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether this controller is departing."""
        return self._began_at is not None

    def begin(self) -> float:
        """Start the departure; return its timeout in seconds."""
        self._began_at = self._context.now()
        return TIMEOUT_WITH_SPARE_S if self._has_spare() else TIMEOUT_WITHOUT_SPARE_S

    async def step(self) -> bool:
        """Take the next step of the departure; return whether this controller may stop now."""
        view = self._context.consensus.view
        if view is None or [voter.name for voter in view.voters] == [self._context.me.name]:
            return True
        if self._context.chain_member.epoch != view.epoch:  # the newest view is not saved to the disk yet
            return False
        if self._context.chain_member.in_chain:
            if view.head == self._context.me.name or not self._awaits_replacement():
                await self._leave_chain()
            return False
        if is_voter(view, self._context.me.name, self._context.me.disk_id) and self._has_spare():
            return False
        return await self._is_epoch_committed(view)

    def _has_spare(self) -> bool:
        return bool(self._spares.recent(self._context.now()))

    def _awaits_replacement(self) -> bool:
        began = self._began_at if self._began_at is not None else self._context.now()
        return self._has_spare() and self._context.now() - began < REPLACEMENT_WAIT_S

    async def _leave_chain(self) -> None:
        """Propose a chain without this controller and send the decided view to all other voters.

        Nothing is proposed if the remaining voters cannot form a valid chain.
        """
        await self._context.consensus.propose(self._plan_without_me)
        view = self._context.consensus.view
        if view is not None and not self._context.chain_member.in_chain:
            others = [voter.address for voter in view.voters if voter.name != self._context.me.name]
            await call_all(self._context.transport, others, ViewDecided(view), CALL_TIMEOUT_S)

    def _plan_without_me(self, base: View) -> View | None:
        if self._context.chain_member.epoch != base.epoch:
            return None
        return plan_chain(base, self._liveness(base), departing=self._context.me.name)

    async def _is_epoch_committed(self, view: View) -> bool:
        """Return whether the tail has a state of the view's epoch on its disk.

        The tail receives each state last, so every member of the chain then has that state on its disk.
        """
        tail = find_voter(view, view.tail)
        if tail is None:
            return False
        try:
            pong = await self._context.transport.call(
                tail.address, Ping(self._context.me.name, view.epoch), CALL_TIMEOUT_S
            )
        except PeerError:
            return False
        if not isinstance(pong, Pong) or pong.disk_id != tail.disk_id or not pong.state_version:
            return False
        return pong.epoch == view.epoch and pong.state_version[0] == view.epoch
