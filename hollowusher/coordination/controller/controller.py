"""A controller: an edge process with a disk that takes part in agreeing on views and in the control chain.

It joins the parts: `ViewConsensus` decides views, `ChainReplicator` and `ChainHead` carry the control state
along the chain, `VoterGroup` proposes views that follow the reachable voters, `JoinClient` finds a view, and
`ControlStateService` answers requests about the control state.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from typing import Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.chain.chain_head import ChainHead, StateTransition
from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.chain_replicator import ChainReplicator
from hollowusher.coordination.chain.state_store import StateStore
from hollowusher.coordination.consensus.join_client import JoinClient
from hollowusher.coordination.consensus.monitored_slot import MonitoredSlot
from hollowusher.coordination.consensus.paxos import is_same_cluster, is_voter
from hollowusher.coordination.consensus.seed_service import SeedService
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.coordination.consensus.view_publisher import ViewAccess, ViewPublisher
from hollowusher.coordination.consensus.view_queries import fetch_newest_view
from hollowusher.coordination.consensus.voter_set import required_voters
from hollowusher.coordination.controller.control_state_service import ControlStateService
from hollowusher.coordination.controller.control_status import ControllerSnapshot
from hollowusher.coordination.controller.voter_group import VoterGroup
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.protocol.consensus import Accept, ConfirmEpoch, Ping, Prepare, ProposeFirstView, ViewDecided
from hollowusher.protocol.control_chain import (
    ChainWrite,
    ChainWritten,
    ControlState,
    ReadControlState,
    ReadStateRecord,
)
from hollowusher.protocol.membership import Member
from hollowusher.protocol.operator_orders import ChangeConfiguration, ReadConfiguration
from hollowusher.protocol.view import AnnounceController, OfferView, ReadView, View, ViewResponse, Voter
from hollowusher.storage.interface import Slot
from hollowusher.transport.interface import Transport

TICK_S = 0.1
MAX_STEP_S = TICK_S + 0.3  # a longer one: this process did not run


class Controller:
    """The whole controller of one process.  `on_view` is called with each newer decided view, `on_state`
    with each state that becomes known to be committed.  `seeds` tells the seeds that
    the settings name at present."""

    MESSAGES: tuple[type, ...] = (
        Accept,
        AnnounceController,
        ChainWrite,
        ChangeConfiguration,
        ConfirmEpoch,
        ViewDecided,
        OfferView,
        Ping,
        Prepare,
        ProposeFirstView,
        ReadConfiguration,
        ReadStateRecord,
        ReadControlState,
        ReadView,
    )

    def __init__(
        self,
        me: Member,
        transport: Transport,
        settings: BootSettings,
        view_slot: Slot,
        state_store: StateStore,
        random_source: random.Random,
        on_view: Callable[[View], None],
        on_state: Callable[[ControlState], None],
        seeds: Callable[[], list[str]] | None = None,
    ) -> None:
        voter = Voter(me.name, me.disk_id, me.address, me.zone)
        self._me = voter
        self._transport = transport
        self._on_view = on_view
        self._running = False
        self._pause_detector = PauseDetector(MAX_STEP_S)
        self._is_confirming_view = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._seed_service = SeedService(settings, transport)
        self._view_slot = MonitoredSlot(view_slot)
        self._consensus = ViewConsensus(voter, transport, self._view_slot, random_source, self._install_view)
        self._chain_member = ChainMember(me.name, me.disk_id)
        saved = state_store.load()
        if saved is not None:
            self._chain_member.restore(saved.epoch, saved.state, saved.whole)
        self._replicator = ChainReplicator(self._chain_member, transport, state_store, on_state, self._spawn)
        self._voter_group = VoterGroup(
            voter,
            transport,
            self._consensus,
            self._chain_member,
            random_source,
            self._spawn,
            self._is_disk_stalled,
            required_voters(settings.fault_tolerance.machines),
        )
        self._chain_head = ChainHead(
            self._chain_member, self._replicator, self._may_lead, self._voter_group.avoid_voter
        )
        present_seeds = settings.seed_addresses if seeds is None else seeds
        self._join_client = JoinClient(
            voter,
            present_seeds,
            transport,
            self._consensus,
            self._seed_service if settings.bootstrap else None,
        )
        self._view_publisher = ViewPublisher(
            transport, present_seeds, ViewAccess(lambda: self.view, self._consensus.learn), random_source
        )
        self._state_service = ControlStateService(
            voter, transport, self._consensus, self._chain_member, self._chain_head, self._voter_group
        )

    # -- what the process asks -------------------------------------------------------------------------

    @property
    def view(self) -> View | None:
        """The newest decided view known."""
        return self._consensus.view

    @property
    def foreign_rejections(self) -> int:
        """How many messages of another cluster came to the agreement or as announcements; none was taken."""
        return self._consensus.acceptor.foreign_rejections + self._seed_service.foreign_rejections

    @property
    def state(self) -> ControlState | None:
        """The newest state known to be committed."""
        return self._chain_member.committed

    @property
    def is_head(self) -> bool:
        """Whether this is the chain's head, has brought its epoch into force and hears a majority."""
        return self._may_lead() and self._chain_member.is_in_force

    @property
    def rejected_writes(self) -> Counter[str]:
        """How many messages of the chain were not taken, by reason."""
        return self._replicator.refused

    def snapshot(self, controllers: Sequence[str]) -> ControllerSnapshot:
        """What this controller knows of the agreement and the chain; `controllers` are all that are there."""
        view = self.view
        observations = {} if view is None else self._voter_group.observations(view)
        return ControllerSnapshot(self._me.name, view, self.state, self.is_head, observations, controllers)

    async def change(self, update: StateTransition) -> bool:
        """Head: commit what `update` makes of the newest state (None: leave it).  True once the result is
        committed; False where that is not known in time, or this is not the head."""
        return await self._chain_head.change(update)

    async def has_newest_view(self) -> bool:
        """Whether a majority says, asked now, that the view in use here is the newest."""
        return await self._consensus.quorum_confirms(self._chain_member.epoch)

    async def learn(self, view: View) -> None:
        """Take a decided view that became known in another way."""
        await self._consensus.learn(view)

    # -- life ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Continue with the stored view, or look for one; the transport already listens."""
        self._running = True
        self._voter_group.start()
        stored = self._consensus.view
        if stored is not None:
            self._install_view(stored)
        await self._seed_service.start()
        self._spawn(self._run_pings())
        self._spawn(self._run_steps())
        self._spawn(self._view_publisher.run())

    async def stop(self) -> None:
        """Stay until the others hold what this one holds and do without it, or time is up; then end."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._voter_group.departure.begin()):
                while not await self._voter_group.departure.step():
                    await asyncio.sleep(TICK_S)
        self._running = False
        await self._seed_service.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_steps(self) -> None:
        while self._running:
            await self._step()
            await asyncio.sleep(TICK_S)

    async def _run_pings(self) -> None:
        """Ping the voters and notice pauses, also while a proposal is under way, which may take a second."""
        while self._running:
            self._notice_pause()
            view = self.view
            if view is not None and is_voter(view, self._me.name, self._me.disk_id):
                self._voter_group.ping_voters(view)
            await asyncio.sleep(TICK_S)

    async def _step(self) -> None:
        view = self.view
        if view is None:
            await self._join_client.acquire_view()
        elif not is_voter(view, self._me.name, self._me.disk_id):
            if not self._voter_group.departure.has_begun:
                await self._join_client.request_voter_role(view)
        else:
            self._repropagate_if_needed()
            await self._voter_group.step(view)

    def _install_view(self, view: View) -> None:
        """A newer view has been decided."""
        self._voter_group.install(view)
        self._seed_service.learn(view)
        self._replicator.install(view)
        self._on_view(view)
        self._repropagate_if_needed()

    def _is_disk_stalled(self, now: float) -> bool:
        """Whether votes or states wait for the disk."""
        return self._view_slot.is_stalled(now) or self._replicator.stalled(now)

    def _may_lead(self) -> bool:
        """Whether this is the head of the newest view known and the others can be reached.  After a pause it
        leads only once a majority has said that there is no newer view: what it heard before is old, and so
        are the answers that it finds unread."""
        self._notice_pause()
        view, newest = self._chain_member.view, self.view
        return (
            self._running
            and not self._is_confirming_view
            and view is not None
            and newest is not None
            and view.epoch == newest.epoch
            and self._chain_member.is_head
            and self._chain_member.complete
            and self._voter_group.has_quorum(view)
        )

    def _notice_pause(self) -> None:
        if self._pause_detector.tick(asyncio.get_running_loop().time()) and not self._is_confirming_view:
            self._is_confirming_view = True
            self._spawn(self._confirm_view_after_pause())

    async def _confirm_view_after_pause(self) -> None:
        while True:
            pauses = self._pause_detector.pause_count
            confirmed = await self.has_newest_view()
            self._notice_pause()
            if confirmed and self._pause_detector.pause_count == pauses:
                break
            await asyncio.sleep(TICK_S)
        self._is_confirming_view = False

    def _repropagate_if_needed(self) -> None:
        if self._chain_head.needs_repropagation and self._may_lead():
            self._spawn(self._chain_head.repropagate())

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- messages --------------------------------------------------------------------------------------

    async def handle(self, message: Any) -> Any:
        """Answer one of `MESSAGES`; None for one-way messages and others."""
        if isinstance(message, Prepare):
            return await self._consensus.prepare(message)
        if isinstance(message, Accept):
            return await self._consensus.accept(message)
        if isinstance(message, ProposeFirstView):
            return await self._consensus.accept_first_view(message)
        if isinstance(message, ConfirmEpoch):
            return self._consensus.confirm(message)
        if isinstance(message, ViewDecided):
            await self._consensus.learn(message.view)
            return None
        if isinstance(message, OfferView):
            await self._consensus.learn(message.view)
            return ViewResponse(self.view)
        if isinstance(message, Ping):
            return self._voter_group.handle_ping(message)
        if isinstance(message, AnnounceController):
            return await self._handle_announce(message)
        if isinstance(message, ReadView):
            return ViewResponse(self.view)
        return await self._handle_state(message)

    async def _handle_state(self, message: Any) -> Any:
        """Answer messages about the control state."""
        if isinstance(message, ChainWrite):
            return await self._handle_chain_write(message)
        if isinstance(message, ReadStateRecord):
            return self._replicator.read_record(message)
        if isinstance(message, ChangeConfiguration):
            return await self._state_service.change_configuration(message)
        if isinstance(message, ReadConfiguration):
            return await self._state_service.read_configuration(message)
        if isinstance(message, ReadControlState):
            return await self._state_service.read_state(message)
        return None

    async def _handle_chain_write(self, write: ChainWrite) -> ChainWritten:
        """A state from the member before, possibly of a view that has not been heard of yet."""
        view = self.view
        if view is not None and write.epoch > view.epoch:
            others = [voter.address for voter in view.voters if voter.name != self._me.name]
            newest = await fetch_newest_view(self._transport, others)
            if newest is not None:
                await self._consensus.learn(newest)
        return await self._replicator.receive(write)

    async def _handle_announce(self, message: AnnounceController) -> ViewResponse:
        known = self.view
        if known is not None and not is_same_cluster(known.cluster, message.cluster):
            self._seed_service.foreign_rejections += 1  # it is told of this cluster, and is nobody here
        elif not message.bootstrap:
            self._voter_group.add_spare(message.voter)
        await self._seed_service.handle(message)
        return ViewResponse(self.view)
