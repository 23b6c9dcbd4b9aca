"""Proposals of new views, so that the chain and the voter set follow the reachable controllers.

Which chain or voter set is wanted is decided by `consensus/reconfiguration` and `consensus/voter_set`; here
stands when a voter proposes it.
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

REJOIN_INTERVAL_S = 1.0  # least time between a view and the next one that only lets voters join
FINISH_ACCEPTED_AFTER_S = 0.5  # an accepted view that is not decided by then is proposed again


class ViewReconfigurator:
    """One voter's proposals; `required_voters` says how many voters the deployment wants."""

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
        """Begin anew: a newer view has been decided."""
        self._view_installed_at = self._context.now()
        self._loss_noticed_at = None
        self._accepted_noticed_at = None

    async def step(self, view: View) -> None:
        """Propose what is due after the newest decided view.

        Nothing is proposed until this controller's own disk has taken that view, for what it holds is judged
        by the view in use.
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
        """Propose a view again that was accepted here and has not been decided since; return if there is one.

        The random delay keeps the voters from proposing it at the same moment.
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
        """Propose a chain without the lost members; return whether there is such a chain.

        Voters propose one after the other, in the order of the chain.
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
        """Let reachable voters rejoin the chain, or bring the voter set one step nearer to the wanted one.

        Only for a head whose state is in force in this epoch: every step begins from a complete chain.
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
        """Return whether a spare answers with the disk that it announced and is fit to be a voter."""
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
