"""Proposals of new views that adapt the chain and the voter set to the reachable controllers.

`consensus/reconfiguration` and `consensus/voter_set` compute the desired chain and voter set.  This module
decides when a voter proposes them.
"""

from __future__ import annotations

import random

from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot
from hollowusher.coordination.consensus.reconfiguration import (
    PROPOSAL_STAGGER_S,
    has_lost_chain_member,
    plan_chain,
    plan_voters,
    proposal_rank,
)
from hollowusher.coordination.consensus.spare_controllers import SpareControllers
from hollowusher.coordination.consensus.voter_set import VoterSetChange, plan_voter_set_change
from hollowusher.coordination.controller.controller_context import ControllerContext
from hollowusher.coordination.controller.voter_monitor import PING_TIMEOUT_S, VoterMonitor
from hollowusher.protocol.consensus import Ping, Pong
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.interface import PeerError

REJOIN_INTERVAL_S = 1.0  # minimum age of the current view before voters may rejoin the chain
FINISH_ACCEPTED_AFTER_S = 0.5  # an accepted view that is still undecided after this time is proposed again


class ViewReconfigurator:
    """Proposes new views on behalf of one voter.

    `required_voters` is the number of voters that the deployment requires.
    """

    def __init__(
        self,
        context: ControllerContext,
        monitor: VoterMonitor,
        spares: SpareControllers,
        random_source: random.Random,
        required_voters: int,
    ) -> None:
        self._context = context
        self._monitor = monitor
        self._spares = spares
        self._random = random_source
        self._required_voters = required_voters
        self._view_installed_at = 0.0
        self._loss_noticed_at: float | None = None
        self._accepted_noticed_at: float | None = None

    def reset(self) -> None:
        """Restart all timers after a newer view has been decided."""
        self._view_installed_at = self._context.now()
        self._loss_noticed_at = None
        self._accepted_noticed_at = None

    async def step(self, view: View) -> None:
        """Propose the successor of `view`, the newest decided view, if a change is due.

        The controller proposes nothing until it has saved `view` to its own disk and uses it.  Until then its
        chain member reports its state, such as `complete`, relative to an older view.
        """
        member = self._context.chain_member
        if member.epoch != view.epoch or not self._monitor.has_quorum(view):
            return
        if await self._finish_accepted_view():
            return
        if not has_lost_chain_member(view, self._monitor.health, self._context.now()):
            self._loss_noticed_at = None
        elif await self._replace_lost(view):
            return
        if member.is_head and member.has_committed_in_epoch:
            await self._extend_view(view)

    async def _finish_accepted_view(self) -> bool:
        """Propose again the view that this voter has accepted, if it is still undecided.

        Return whether there is such a view.  A random delay keeps the voters from proposing it
        simultaneously.
        """
        accepted = self._context.consensus.acceptor.accepted
        if accepted is None:
            self._accepted_noticed_at = None
            return False
        now = self._context.now()
        if self._accepted_noticed_at is None:
            self._accepted_noticed_at = now + self._random.uniform(0.0, FINISH_ACCEPTED_AFTER_S)
        if now - self._accepted_noticed_at > FINISH_ACCEPTED_AFTER_S:
            self._accepted_noticed_at = None
            await self._context.consensus.propose(
                lambda base: accepted if accepted.epoch == base.epoch + 1 else None
            )
        return True

    async def _replace_lost(self, view: View) -> bool:
        """Propose a chain without the failed members; return whether there is such a chain.

        The voters stagger their proposals in the order of the chain.
        """
        liveness = self._monitor.liveness(view)
        rank = proposal_rank(view, liveness, self._context.me.name)
        if rank is None or plan_chain(view, liveness) is None:
            return False
        now = self._context.now()
        if self._loss_noticed_at is None:
            self._loss_noticed_at = now
        if now - self._loss_noticed_at >= rank * PROPOSAL_STAGGER_S:
            await self._propose_chain(view, liveness)
        return True

    async def _extend_view(self, view: View) -> None:
        """Propose that reachable voters rejoin the chain, or one change towards the desired voter set.

        Only a head that has committed a state in this epoch calls this method, so that every change starts
        from a complete chain.
        """
        liveness = self._monitor.liveness(view)
        now = self._context.now()
        if now - self._view_installed_at > REJOIN_INTERVAL_S and plan_chain(view, liveness) is not None:
            await self._propose_chain(view, liveness)
            return
        spares = self._spares.recent(now)
        change = plan_voter_set_change(view, spares, self._monitor.health, self._required_voters, now)
        if change is not None and (change.add is None or await self._is_ready(change.add, view)):
            await self._propose_voter_set_change(view, change)

    async def _is_ready(self, spare: Voter, view: View) -> bool:
        """Return whether a spare is reachable with the disk that it announced and can become a voter."""
        ping = Ping(self._context.me.name, view.epoch)
        try:
            pong = await self._context.transport.call(spare.address, ping, PING_TIMEOUT_S)
        except PeerError:
            pong = None
        is_ready = (
            isinstance(pong, Pong)
            and (pong.name, pong.disk_id) == (spare.name, spare.disk_id)
            and not (pong.leaving or pong.stalled)
        )
        if not is_ready:
            self._spares.discard(spare.name)
        return is_ready

    async def _propose_chain(self, view: View, liveness: LivenessSnapshot) -> None:
        await self._context.consensus.propose(
            lambda base: plan_chain(base, liveness) if base == view else None
        )

    async def _propose_voter_set_change(self, view: View, change: VoterSetChange) -> None:
        await self._context.consensus.propose(
            lambda base: plan_voters(base, change.add, change.remove) if base == view else None
        )
