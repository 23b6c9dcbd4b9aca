"""Monitoring of the voters by pings, which report each voter's reachability and chain state."""

from __future__ import annotations

from collections.abc import Callable

from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot, take_liveness_snapshot
from hollowusher.coordination.consensus.paxos import find_voter
from hollowusher.coordination.consensus.view_queries import fetch_newest_view
from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.coordination.controller.control_status import UNREACHABLE, VoterObservation
from hollowusher.coordination.controller.controller_context import ControllerContext
from hollowusher.protocol.consensus import Ping, Pong, ViewDecided
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.interface import PeerError

PING_INTERVAL_S = 0.2
PING_TIMEOUT_S = 0.6
AVOID_S = 3.0  # how long a chain member that its predecessor cannot reach is excluded from new chains
CONNECT_TIMEOUT_REASON = "in time"  # part of the reason of a `PeerError` if the connection attempt timed out


class VoterMonitor:
    """Monitors the other voters on behalf of one controller; it owns the `VoterHealth`.

    `is_disk_stalled` returns whether a write to this controller's own disk is stalled.
    """

    def __init__(self, context: ControllerContext, is_disk_stalled: Callable[[float], bool]) -> None:
        self._context = context
        self._is_disk_stalled = is_disk_stalled
        self._disk_ids: dict[str, str] = {}  # name of the voter -> id of its disk
        self._pending_pings: set[str] = set()
        self._next_ping_at = 0.0
        self.health = VoterHealth(context.me.name, 0.0)

    def start(self) -> None:
        """Start monitoring, with no voter observed yet."""
        self.health = VoterHealth(self._context.me.name, self._context.now())

    def install(self, view: View) -> None:
        """Monitor the voters of a newer decided view."""
        for voter in view.voters:
            if self._disk_ids.get(voter.name, voter.disk_id) != voter.disk_id:
                self.health.forget(voter.name)
        self._disk_ids = {voter.name: voter.disk_id for voter in view.voters}
        self.health.track([voter.name for voter in view.voters], self._context.now())

    def is_reachable(self, name: str) -> bool:
        """Return whether a voter has recently answered a ping."""
        return self.health.is_reachable(name, self._context.now())

    def has_quorum(self, view: View) -> bool:
        """Return whether a quorum of the voters, including this one, has recently answered pings."""
        return self.health.has_quorum(view, self._context.now())

    def avoid_voter(self, name: str) -> None:
        """Exclude a chain member that its predecessor cannot reach from new chains for `AVOID_S`."""
        self.health.avoid(name, self._context.now() + AVOID_S)

    def liveness(self, view: View) -> LivenessSnapshot:
        """Return which voters of a view are reachable and complete according to this controller."""
        is_complete = self._context.chain_member.complete
        return take_liveness_snapshot(self.health, view, is_complete=is_complete, now_s=self._context.now())

    def observations(self, view: View) -> dict[str, VoterObservation]:
        """Return the latest observation of each voter by name, including this controller."""
        return {voter.name: self._observe(voter, view) for voter in view.voters}

    def _observe(self, voter: Voter, view: View) -> VoterObservation:
        if voter.name == self._context.me.name:
            member = self._context.chain_member
            return VoterObservation(
                is_reachable=True, is_complete=member.complete, state_version=self._state_version()
            )
        pong = self.health.pong(voter.name)
        if pong is None:
            return UNREACHABLE
        is_reachable = self.is_reachable(voter.name)
        is_complete = is_reachable and pong.complete and pong.epoch == view.epoch
        return VoterObservation(
            is_reachable=is_reachable, is_complete=is_complete, state_version=pong.state_version
        )

    def _state_version(self) -> list[int]:
        """Return [epoch, sequence] of the newest state on this controller's disk."""
        member = self._context.chain_member
        return [member.state_epoch, member.state.sequence]

    # -- pings -----------------------------------------------------------------------------------------

    def handle_ping(self, ping: Ping, *, is_departing: bool) -> Pong:
        """Return the response to another voter's ping; fetch the sender's view if it is newer."""
        context = self._context
        view = context.consensus.view
        sender = find_voter(view, ping.name) if view is not None else None
        if view is not None and sender is not None and ping.epoch > view.epoch:
            context.spawn(self.learn_view_from(sender.address))
        return Pong(
            name=context.me.name,
            disk_id=context.me.disk_id,
            epoch=context.chain_member.epoch,  # the epoch of the view in use, to which `complete` refers
            complete=context.chain_member.complete,
            heard=self.health.reachable_voters(context.now()),
            leaving=is_departing,
            stalled=self._is_disk_stalled(context.now()),
            state_version=self._state_version(),
        )

    def ping_voters(self, view: View) -> None:
        """Ping the other voters if `PING_INTERVAL_S` has passed; skip voters whose last ping is pending."""
        now = self._context.now()
        if now < self._next_ping_at:
            return
        self._next_ping_at = now + PING_INTERVAL_S
        for voter in view.voters:
            if voter.name != self._context.me.name and voter.name not in self._pending_pings:
                self._pending_pings.add(voter.name)
                self._context.spawn(self._ping(voter, view.epoch))

    async def _ping(self, voter: Voter, epoch: int) -> None:
        ping = Ping(self._context.me.name, epoch)
        try:
            answer = await self._context.transport.call(voter.address, ping, PING_TIMEOUT_S)
        except PeerError as error:
            if not error.sent and CONNECT_TIMEOUT_REASON not in error.reason:
                self.health.on_refused(voter.name)
            return
        finally:
            self._pending_pings.discard(voter.name)
        if isinstance(answer, Pong):
            await self._handle_pong(voter, answer)

    async def _handle_pong(self, voter: Voter, pong: Pong) -> None:
        if pong.name != voter.name:
            self.health.on_refused(voter.name)  # another process now uses this address
            return
        if pong.disk_id != voter.disk_id:
            self.health.on_disk_replaced(voter.name)
            return
        self.health.on_pong(pong, self._context.now())
        view = self._context.consensus.view
        if view is not None and pong.epoch < view.epoch:
            self._context.transport.send(voter.address, ViewDecided(view))
        elif view is None or pong.epoch > view.epoch:
            await self.learn_view_from(voter.address)

    async def learn_view_from(self, address: str) -> None:
        """Fetch the newest view from another controller and adopt it."""
        newest = await fetch_newest_view(self._context.transport, [address])
        if newest is not None:
            await self._context.consensus.learn(newest)
