"""A controller: an edge process with a disk that takes part in agreeing on views and in the control chain.

It joins the parts: `ViewConsensus` decides views, `ChainReplicator` and `ChainHead` carry the control state
along the chain, `VoterGroup` has the view follow who is there, `JoinClient` finds a view, `StateService`
answers.
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
from hollowusher.coordination.consensus.bootstrap import SeedService, fetch_newest_view
from hollowusher.coordination.consensus.join_client import JoinClient
from hollowusher.coordination.consensus.monitored_slot import MonitoredSlot
from hollowusher.coordination.consensus.paxos import is_same_cluster, is_voter
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.coordination.consensus.view_publisher import ViewPublisher
from hollowusher.coordination.consensus.voter_set import required_voters
from hollowusher.coordination.controller.control_status import ControlStanding
from hollowusher.coordination.controller.state_service import StateService
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
LONGEST_STEP_S = TICK_S + 0.3  # a longer one: this process did not run


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
        chance: random.Random,
        on_view: Callable[[View], None],
        on_state: Callable[[ControlState], None],
        seeds: Callable[[], list[str]] | None = None,
    ) -> None:
        voter = Voter(me.name, me.disk_id, me.address, me.zone)
        self._me = voter
        self._transport = transport
        self._on_view = on_view
        self._running = False
        self._pauses = PauseDetector(LONGEST_STEP_S)
        self._asking_after_pause = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._seed = SeedService(settings, transport)
        self._view_slot = MonitoredSlot(view_slot)
        self._consensus = ViewConsensus(voter, transport, self._view_slot, chance, self._install)
        self._member = ChainMember(me.name, me.disk_id)
        saved = state_store.load()
        if saved is not None:
            self._member.restore(saved.epoch, saved.state, saved.whole)
        self._replicator = ChainReplicator(self._member, transport, state_store, on_state, self._spawn)
        self._group = VoterGroup(
            voter,
            transport,
            self._consensus,
            self._member,
            chance,
            self._spawn,
            self._disk_is_stalled,
            required_voters(settings.fault_tolerance.machines),
        )
        self._chain_head = ChainHead(self._member, self._replicator, self._leads, self._group.avoid)
        present_seeds = settings.seed_addresses if seeds is None else seeds
        self._join_client = JoinClient(
            voter, settings.bootstrap, present_seeds, transport, self._consensus, self._seed
        )
        self._view_publisher = ViewPublisher(
            transport, present_seeds, lambda: self.view, self._consensus.learn, chance
        )
        self._states = StateService(
            voter, transport, self._consensus, self._member, self._chain_head, self._group
        )

    # -- what the process asks -------------------------------------------------------------------------

    @property
    def view(self) -> View | None:
        """The newest decided view known."""
        return self._consensus.view

    @property
    def foreign_rejections(self) -> int:
        """How many messages of another cluster came to the agreement or as announcements; none was taken."""
        return self._consensus.acceptor.foreign_rejections + self._seed.foreign_rejections

    @property
    def state(self) -> ControlState | None:
        """The newest state known to be committed."""
        return self._member.committed

    @property
    def is_head(self) -> bool:
        """Whether this is the chain's head, has brought its epoch into force and hears a majority."""
        return self._leads() and self._member.is_in_force

    @property
    def refused_writes(self) -> Counter[str]:
        """How many messages of the chain were not taken, by reason."""
        return self._replicator.refused

    def standing(self, controllers: Sequence[str]) -> ControlStanding:
        """What this controller knows of the agreement and the chain; `controllers` are all that are there."""
        view = self.view
        signs = {} if view is None else self._group.signs(view)
        return ControlStanding(self._me.name, view, self.state, self.is_head, signs, controllers)

    async def change(self, update: StateTransition) -> bool:
        """Head: commit what `update` makes of the newest state (None: leave it).  True once the result is
        committed; False where that is not known in time, or this is not the head."""
        return await self._chain_head.change(update)

    async def is_newest(self) -> bool:
        """Whether a majority says, asked now, that the view in use here is the newest."""
        return await self._consensus.majority_confirms(self._member.epoch)

    async def learn(self, view: View) -> None:
        """Take a decided view that became known in another way."""
        await self._consensus.learn(view)

    # -- life ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Continue with the stored view, or look for one; the transport already listens."""
        self._running = True
        self._group.start()
        stored = self._consensus.view
        if stored is not None:
            self._install(stored)
        await self._seed.start()
        self._spawn(self._beat())
        self._spawn(self._run())
        self._spawn(self._view_publisher.run())

    async def stop(self) -> None:
        """Stay until the others hold what this one holds and do without it, or time is up; then end."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._group.departure.begin()):
                while not await self._group.departure.step():
                    await asyncio.sleep(TICK_S)
        self._running = False
        await self._seed.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        while self._running:
            await self._step()
            await asyncio.sleep(TICK_S)

    async def _beat(self) -> None:
        """Ping the voters and notice pauses, also while a proposal is under way, which may take a second."""
        while self._running:
            self._notice_pause()
            view = self.view
            if view is not None and is_voter(view, self._me.name, self._me.disk_id):
                self._group.ping_voters(view)
            await asyncio.sleep(TICK_S)

    async def _step(self) -> None:
        view = self.view
        if view is None:
            await self._join_client.acquire_view()
        elif not is_voter(view, self._me.name, self._me.disk_id):
            if not self._group.departure.begun:
                await self._join_client.request_voter_role(view)
        else:
            self._flush()
            await self._group.step(view)

    def _install(self, view: View) -> None:
        """A newer view has been decided."""
        self._group.install(view)
        self._seed.learn(view)
        self._replicator.install(view)
        self._on_view(view)
        self._flush()

    def _disk_is_stalled(self, now: float) -> bool:
        """Whether votes or states wait for the disk."""
        return self._view_slot.stalled(now) or self._replicator.stalled(now)

    def _leads(self) -> bool:
        """Whether this is the head of the newest view known and the others can be reached.  After a pause it
        leads only once a majority has said that there is no newer view: what it heard before is old, and so
        are the answers that it finds unread."""
        self._notice_pause()
        view, newest = self._member.view, self.view
        return (
            self._running
            and not self._asking_after_pause
            and view is not None
            and newest is not None
            and view.epoch == newest.epoch
            and self._member.is_head
            and self._member.complete
            and self._group.has_quorum(view)
        )

    def _notice_pause(self) -> None:
        if self._pauses.tick(asyncio.get_running_loop().time()) and not self._asking_after_pause:
            self._asking_after_pause = True
            self._spawn(self._ask_after_pause())

    async def _ask_after_pause(self) -> None:
        while True:
            pauses = self._pauses.pause_count
            confirmed = await self.is_newest()
            self._notice_pause()
            if confirmed and self._pauses.pause_count == pauses:
                break
            await asyncio.sleep(TICK_S)
        self._asking_after_pause = False

    def _flush(self) -> None:
        if self._chain_head.needs_repropagation and self._leads():
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
            return self._group.answer_ping(message)
        if isinstance(message, AnnounceController):
            return await self._take_announcement(message)
        if isinstance(message, ReadView):
            return ViewResponse(self.view)
        return await self._handle_state(message)

    async def _handle_state(self, message: Any) -> Any:
        """Answer messages about the control state."""
        if isinstance(message, ChainWrite):
            return await self._receive(message)
        if isinstance(message, ReadStateRecord):
            return self._replicator.read_record(message)
        if isinstance(message, ChangeConfiguration):
            return await self._states.change_configuration(message)
        if isinstance(message, ReadConfiguration):
            return await self._states.read_configuration(message)
        if isinstance(message, ReadControlState):
            return await self._states.read_state(message)
        return None

    async def _receive(self, write: ChainWrite) -> ChainWritten:
        """A state from the member before, possibly of a view that has not been heard of yet."""
        view = self.view
        if view is not None and write.epoch > view.epoch:
            others = [voter.address for voter in view.voters if voter.name != self._me.name]
            newest = await fetch_newest_view(self._transport, others)
            if newest is not None:
                await self._consensus.learn(newest)
        return await self._replicator.receive(write)

    async def _take_announcement(self, message: AnnounceController) -> ViewResponse:
        known = self.view
        if known is not None and not is_same_cluster(known.cluster, message.cluster):
            self._seed.foreign_rejections += 1  # it is told of this cluster, and is nobody here
        elif not message.bootstrap:
            self._group.note_candidate(message.voter)
        await self._seed.handle(message)
        return ViewResponse(self.view)
