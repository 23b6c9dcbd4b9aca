"""A voter's work on the group: pings to the other voters, and views that follow who is there."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot, take_liveness_snapshot
from hollowusher.coordination.consensus.paxos import find_voter
from hollowusher.coordination.consensus.reconfiguration import (
    PROPOSAL_STAGGER_S,
    has_lost_chain_member,
    plan_chain,
    plan_voters,
    proposal_rank,
)
from hollowusher.coordination.consensus.spare_controllers import SpareControllers
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.coordination.consensus.view_queries import fetch_newest_view
from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.coordination.consensus.voter_set import VoterSetChange, plan_voter_set_change
from hollowusher.coordination.controller.control_status import UNREACHABLE, VoterObservation
from hollowusher.coordination.controller.departure import Departure
from hollowusher.protocol.consensus import Ping, Pong, ViewDecided
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.interface import PeerError, Transport

PING_INTERVAL_S = 0.2
PING_TIMEOUT_S = 0.6
REJOIN_INTERVAL_S = 1.0  # least time between a view and the next one that only lets voters join
FINISH_ACCEPTED_AFTER_S = 0.5  # an accepted view that is not decided by then is proposed again
AVOID_S = 3.0  # a chain member that its neighbour cannot reach stays out for this long
CONNECT_TIMEOUT_REASON = "in time"  # in a `PeerError`: the peer was silent, it did not refuse

Spawn = Callable[[Coroutine[Any, Any, Any]], None]


class VoterGroup:
    """This controller among the voters.

    `spawn` runs a coroutine for as long as the controller lives; `is_disk_stalled` says whether its disk does
    not answer, `wanted_voters` how many voters there are to be.
    """

    def __init__(
        self,
        me: Voter,
        transport: Transport,
        consensus: ViewConsensus,
        chain_member: ChainMember,
        random_source: random.Random,
        spawn: Spawn,
        is_disk_stalled: Callable[[float], bool],
        wanted_voters: int,
    ) -> None:
        self._me = me
        self._transport = transport
        self._consensus = consensus
        self._chain_member = chain_member
        self._random = random_source
        self._spawn = spawn
        self._is_disk_stalled = is_disk_stalled
        self._health = VoterHealth(me.name, 0.0)
        self._wanted_voters = wanted_voters
        self._spares = SpareControllers()
        self._disk_ids: dict[str, str] = {}  # voter -> the disk that votes
        self._pending_pings: set[str] = set()
        self._next_ping_at = 0.0
        self._view_installed_at = 0.0
        self._loss_noticed_at: float | None = None
        self._accepted_noticed_at: float | None = None
        self.departure = Departure(me, transport, consensus, chain_member, self._spares, self._liveness)

    def start(self) -> None:
        """Nothing has been heard yet."""
        self._health = VoterHealth(self._me.name, _now())

    def install(self, view: View) -> None:
        """Use a newer decided view."""
        for voter in view.voters:
            if self._disk_ids.get(voter.name, voter.disk_id) != voter.disk_id:
                self._health.forget(voter.name)
        self._disk_ids = {voter.name: voter.disk_id for voter in view.voters}
        self._view_installed_at = _now()
        self._loss_noticed_at = None
        self._accepted_noticed_at = None
        self._health.track([voter.name for voter in view.voters], _now())

    def is_reachable(self, name: str) -> bool:
        """Whether a voter has answered lately."""
        return self._health.is_reachable(name, _now())

    def has_quorum(self, view: View) -> bool:
        """Whether enough voters to decide have answered lately."""
        return self._health.has_quorum(view, _now())

    def observations(self, view: View) -> dict[str, VoterObservation]:
        """What has lately been heard of each voter, this controller included."""
        return {voter.name: self._observe(voter, view) for voter in view.voters}

    def _observe(self, voter: Voter, view: View) -> VoterObservation:
        if voter.name == self._me.name:
            chain_member = self._chain_member
            return VoterObservation(
                True, chain_member.complete, [chain_member.state_epoch, chain_member.state.sequence]
            )
        pong = self._health.pong(voter.name)
        if pong is None:
            return UNREACHABLE
        heard = self._health.is_reachable(voter.name, _now())
        complete = heard and pong.complete and pong.epoch == view.epoch
        return VoterObservation(heard, complete, pong.state_version)

    def avoid_voter(self, name: str) -> None:
        """A chain member cannot be reached by its neighbour."""
        self._health.avoid(name, _now() + AVOID_S)

    def add_spare(self, voter: Voter) -> None:
        """A controller asks to become a voter."""
        self._spares.on_announced(voter, _now())

    async def step(self, view: View) -> None:
        """Do what is due in the newest view; nothing is proposed while this controller's own disk keeps it
        from using that view, for what it holds is judged by the view in use."""
        in_use = self._chain_member.epoch == view.epoch
        if self.departure.has_begun or not in_use or not self.has_quorum(view):
            return
        if await self._finish_accepted_view():
            return
        if not has_lost_chain_member(view, self._health, _now()):
            self._loss_noticed_at = None
        elif await self._replace_lost(view):
            return
        if self._chain_member.is_head and self._chain_member.is_in_force:
            await self._extend_view(view)

    # -- pings -----------------------------------------------------------------------------------------

    def handle_ping(self, ping: Ping) -> Pong:
        """The answer to another voter's ping."""
        view = self._consensus.view
        sender = find_voter(view, ping.name) if view is not None else None
        if view is not None and sender is not None and ping.epoch > view.epoch:
            self._spawn(self._learn_view_from(sender.address))
        return Pong(
            self._me.name,
            self._me.disk_id,
            self._chain_member.epoch,  # of the view in use, which `complete` refers to
            self._chain_member.complete,
            self._health.reachable_voters(_now()),
            self.departure.has_begun,
            self._is_disk_stalled(_now()),
            [self._chain_member.state_epoch, self._chain_member.state.sequence],
        )

    def ping_voters(self, view: View) -> None:
        """Ask the other voters whether they are there, if it is time."""
        if _now() < self._next_ping_at:
            return
        self._next_ping_at = _now() + PING_INTERVAL_S
        for voter in view.voters:
            if voter.name != self._me.name and voter.name not in self._pending_pings:
                self._pending_pings.add(voter.name)
                self._spawn(self._ping(voter, view.epoch))

    async def _ping(self, voter: Voter, epoch: int) -> None:
        try:
            answer = await self._transport.call(voter.address, Ping(self._me.name, epoch), PING_TIMEOUT_S)
        except PeerError as error:
            if not error.sent and CONNECT_TIMEOUT_REASON not in error.reason:
                self._health.on_refused(voter.name)
            return
        finally:
            self._pending_pings.discard(voter.name)
        if isinstance(answer, Pong):
            await self._handle_pong(voter, answer)

    async def _handle_pong(self, voter: Voter, pong: Pong) -> None:
        if pong.name != voter.name:
            self._health.on_refused(voter.name)  # the address has another owner now
            return
        if pong.disk_id != voter.disk_id:
            self._health.on_disk_replaced(voter.name)
            return
        self._health.on_pong(pong, _now())
        view = self._consensus.view
        if view is not None and pong.epoch < view.epoch:
            self._transport.send(voter.address, ViewDecided(view))
        elif view is None or pong.epoch > view.epoch:
            await self._learn_view_from(voter.address)

    async def _learn_view_from(self, address: str) -> None:
        newest = await fetch_newest_view(self._transport, [address])
        if newest is not None:
            await self._consensus.learn(newest)

    # -- views -----------------------------------------------------------------------------------------

    def _liveness(self, view: View) -> LivenessSnapshot:
        return take_liveness_snapshot(
            self._health, view, is_complete=self._chain_member.complete, now_s=_now()
        )

    async def _replace_lost(self, view: View) -> bool:
        """Propose a chain without the dead, after those that come earlier in the chain; whether there is such
        a chain."""
        liveness = self._liveness(view)
        rank = proposal_rank(view, liveness, self._me.name)
        if rank is None or plan_chain(view, liveness) is None:
            return False
        if self._loss_noticed_at is None:
            self._loss_noticed_at = _now()
        if _now() - self._loss_noticed_at >= rank * PROPOSAL_STAGGER_S:
            await self._propose_chain(view, liveness)
        return True

    async def _propose_chain(self, view: View, liveness: LivenessSnapshot) -> None:
        await self._consensus.propose(lambda base: plan_chain(base, liveness) if base == view else None)

    async def _finish_accepted_view(self) -> bool:
        """Bring a view to its end that was accepted here but not heard of since; whether there is one."""
        accepted = self._consensus.acceptor.accepted
        if accepted is None:
            self._accepted_noticed_at = None
            return False
        if self._accepted_noticed_at is None:
            self._accepted_noticed_at = _now() + self._random.uniform(0.0, FINISH_ACCEPTED_AFTER_S)
        if _now() - self._accepted_noticed_at > FINISH_ACCEPTED_AFTER_S:
            self._accepted_noticed_at = None
            await self._consensus.propose(lambda base: accepted if accepted.epoch == base.epoch + 1 else None)
        return True

    async def _extend_view(self, view: View) -> None:
        """Let voters that came back join the chain, and bring the voter set one step nearer to what it is to
        be.  Only once the state is in force in this epoch: every step begins from a whole chain."""
        liveness = self._liveness(view)
        if _now() - self._view_installed_at > REJOIN_INTERVAL_S and plan_chain(view, liveness) is not None:
            await self._propose_chain(view, liveness)
            return
        spares = self._spares.recent(_now())
        step = plan_voter_set_change(view, spares, self._health, self._wanted_voters, _now())
        if step is not None and (step.add is None or await self._is_ready(step.add, view)):
            await self._propose_voter_set_change(view, step)

    async def _is_ready(self, spare: Voter, view: View) -> bool:
        """Whether a spare answers, with the disk that it announced, and is fit to be a voter."""
        try:
            pong = await self._transport.call(spare.address, Ping(self._me.name, view.epoch), PING_TIMEOUT_S)
        except PeerError:
            pong = None
        fit = (
            isinstance(pong, Pong)
            and (pong.name, pong.disk_id) == (spare.name, spare.disk_id)
            and not (pong.leaving or pong.stalled)
        )
        if not fit:
            self._spares.discard(spare.name)
        return fit

    async def _propose_voter_set_change(self, view: View, step: VoterSetChange) -> None:
        await self._consensus.propose(
            lambda base: plan_voters(base, step.add, step.remove) if base == view else None
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
