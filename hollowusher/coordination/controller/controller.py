"""A controller: an edge process with a disk that participates in consensus and in the control chain.

The class connects the components of a controller.  `ViewConsensus` decides views.  `ChainReplicator` and
`ChainHead` replicate the control state along the chain.  `VoterMonitor` monitors the voters, and
`ViewReconfigurator` proposes new views when voters fail or return.  `JoinClient` obtains a view from other
controllers.  `ControlStateService` handles requests that read or change the control state.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress

import attrs

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.chain.chain_head import ChainHead, StateTransition
from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.chain_replicator import ChainReplicator
from hollowusher.coordination.chain.state_store import StateStore
from hollowusher.coordination.consensus.join_client import JoinClient
from hollowusher.coordination.consensus.monitored_slot import MonitoredSlot
from hollowusher.coordination.consensus.paxos import is_same_cluster, is_voter
from hollowusher.coordination.consensus.seed_service import SeedService
from hollowusher.coordination.consensus.spare_controllers import SpareControllers
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.coordination.consensus.view_publisher import ViewAccess, ViewPublisher
from hollowusher.coordination.consensus.view_queries import fetch_newest_view
from hollowusher.coordination.consensus.voter_set import required_voters
from hollowusher.coordination.controller.control_state_service import ControlStateService
from hollowusher.coordination.controller.control_status import ControllerSnapshot
from hollowusher.coordination.controller.controller_context import ControllerContext
from hollowusher.coordination.controller.departure import Departure
from hollowusher.coordination.controller.leadership_check import LeadershipCheck
from hollowusher.coordination.controller.view_reconfigurator import ViewReconfigurator
from hollowusher.coordination.controller.voter_monitor import VoterMonitor
from hollowusher.protocol.consensus import (
    Accept,
    ConfirmEpoch,
    EpochConfirmed,
    Ping,
    Pong,
    Prepare,
    ViewDecided,
)
from hollowusher.protocol.control_chain import (
    ChainWrite,
    ChainWritten,
    ControlState,
    ReadControlState,
    ReadStateRecord,
    StateRecordChunk,
)
from hollowusher.protocol.fencing import FencingToken
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.membership import Member
from hollowusher.protocol.operator_orders import ChangeConfiguration, ReadConfiguration
from hollowusher.protocol.view import AnnounceController, OfferView, ReadView, View, ViewResponse, Voter
from hollowusher.storage.interface import Slot
from hollowusher.transport.fenced_transport import FencedTransport
from hollowusher.transport.interface import Transport

TICK_S = 0.1


@attrs.frozen(eq=False)
class ControllerResources:
    """The external resources of a controller."""

    transport: Transport
    view_slot: Slot  # persists the voter's promises, its accepted view and the newest decided view
    state_store: StateStore
    random_source: random.Random


@attrs.frozen(eq=False)
class ControllerCallbacks:
    """The callbacks through which a controller reports new views and states."""

    on_view: Callable[[View], None]  # receives each newer decided view
    on_state: Callable[[ControlState], None]  # receives each newly committed state


class Controller:
    """The controller of one process, which owns the voter's state and this process's member of the chain.

    `seeds` returns the seed addresses in the current settings.
    """

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
        ReadConfiguration,
        ReadStateRecord,
        ReadControlState,
        ReadView,
    )

    def __init__(
        self,
        me: Member,
        settings: BootSettings,
        resources: ControllerResources,
        callbacks: ControllerCallbacks,
        seeds: Callable[[], list[str]] | None = None,
    ) -> None:
        voter = Voter(me.name, me.disk_id, me.address, me.zone)
        transport = FencedTransport(resources.transport, self._on_fenced)
        random_source = resources.random_source
        self._me = voter
        self._transport = transport
        self._on_view = callbacks.on_view
        self._running = False
        self._tasks: set[asyncio.Task[object]] = set()
        self._seed_service = SeedService(settings, transport, random_source)
        self._view_slot = MonitoredSlot(resources.view_slot)
        self._consensus = ViewConsensus(voter, transport, self._view_slot, random_source, self._install_view)
        self._chain_member = _restored_member(voter, resources.state_store)
        self._replicator = ChainReplicator(
            self._chain_member, transport, resources.state_store, callbacks.on_state, self._spawn
        )
        context = ControllerContext(voter, transport, self._consensus, self._chain_member, self._spawn)
        self._voter_monitor = VoterMonitor(context, self._is_disk_stalled)
        self._leadership = LeadershipCheck(context, self._voter_monitor)
        self._spares = SpareControllers()
        self._departure = Departure(context, self._spares, self._voter_monitor.liveness)
        self._reconfigurator = ViewReconfigurator(
            context,
            self._voter_monitor,
            self._spares,
            random_source,
            required_voters(settings.fault_tolerance.machines),
        )
        self._chain_head = ChainHead(
            self._chain_member, self._replicator, self._may_lead, self._voter_monitor.avoid_voter
        )
        current_seeds = settings.seed_addresses if seeds is None else seeds
        self._join_client = JoinClient(
            voter,
            current_seeds,
            transport,
            self._consensus,
            self._seed_service if settings.bootstrap else None,
        )
        self._view_publisher = ViewPublisher(
            transport, current_seeds, ViewAccess(lambda: self.view, self._consensus.learn), random_source
        )
        self._state_service = ControlStateService(context, self._chain_head, self._voter_monitor)
        self._handlers = self._build_handlers()

    # -- interface to the process ----------------------------------------------------------------------

    @property
    def view(self) -> View | None:
        """The newest decided view that this controller has received."""
        return self._consensus.view

    @property
    def foreign_rejections(self) -> int:
        """The number of rejected messages that came from another cluster."""
        return self._consensus.acceptor.foreign_rejections + self._seed_service.foreign_rejections

    @property
    def state(self) -> ControlState | None:
        """The newest state that this controller knows to be committed."""
        return self._chain_member.committed

    @property
    def is_head(self) -> bool:
        """Whether this controller is the head, has a committed state in its epoch and reaches a quorum."""
        return self._may_lead() and self._chain_member.has_committed_in_epoch

    @property
    def rejected_writes(self) -> Counter[str]:
        """The number of rejected chain writes by reason."""
        return self._replicator.rejections

    def snapshot(self, controllers: Sequence[str]) -> ControllerSnapshot:
        """Return the current consensus and chain state of this controller.

        `controllers` are the names of all live controllers.
        """
        view = self.view
        observations = {} if view is None else self._voter_monitor.observations(view)
        return ControllerSnapshot(self._me.name, view, self.state, self.is_head, observations, controllers)

    async def change(self, update: StateTransition) -> bool:
        """Apply `update` to the newest state and commit the result, if this controller is the head.

        If `update` returns None, the state stays unchanged.  Return True after the result is committed.
        Return False if this controller is not the head or the commit is not confirmed before the timeout.
        """
        return await self._chain_head.change(update)

    async def has_newest_view(self) -> bool:
        """Query the voters; return whether a quorum confirms that this controller uses the newest view."""
        return await self._leadership.has_newest_view()

    async def learn(self, view: View) -> None:
        """Adopt a decided view that this process received outside of the consensus protocol."""
        await self._consensus.learn(view)

    # -- start and stop --------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start with the stored view, or search for a view if none is stored.

        The caller has to start the transport first.
        """
        self._running = True
        self._voter_monitor.start()
        stored = self._consensus.view
        if stored is not None:
            self._install_view(stored)
        await self._seed_service.start()
        self._spawn(self._run_pings())
        self._spawn(self._run_steps())
        self._spawn(self._view_publisher.run())

    async def stop(self) -> None:
        """Depart from the chain and stop.

        The controller first waits until the other controllers hold its state and no longer need it, or until
        the departure times out.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(self._departure.begin()):
                await self._depart()
        self._running = False
        await self._seed_service.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._consensus.stop()

    async def _depart(self) -> None:
        while True:
            if await self._departure.step():
                return
            await asyncio.sleep(TICK_S)

    async def _run_steps(self) -> None:
        while self._running:
            await self._step()
            await asyncio.sleep(TICK_S)

    async def _run_pings(self) -> None:
        """Ping the voters and detect pauses periodically.

        This runs as a task of its own because a proposal in `_run_steps` may take a second.
        """
        while self._running:
            self._leadership.check_for_pause()
            view = self.view
            if view is not None and is_voter(view, self._me.name, self._me.disk_id):
                self._voter_monitor.ping_voters(view)
            await asyncio.sleep(TICK_S)

    async def _step(self) -> None:
        view = self.view
        if view is None:
            await self._join_client.acquire_view()
        elif not is_voter(view, self._me.name, self._me.disk_id):
            if not self._departure.has_begun:
                await self._join_client.request_voter_role(view)
        else:
            self._repropagate_if_needed()
            if not self._departure.has_begun:
                await self._reconfigurator.step(view)

    def _install_view(self, view: View) -> None:
        """Switch all components to a newer decided view."""
        self._voter_monitor.install(view)
        self._reconfigurator.reset()
        self._seed_service.learn(view)
        self._replicator.install(view)
        self._on_view(view)
        self._repropagate_if_needed()

    def _on_fenced(self, _token: FencingToken, address: str) -> None:
        """Fetch the newer view from a peer that rejected this controller's epoch.

        Until this controller uses that view, it does not act as head and sends no chain writes.
        """
        self._spawn(self._voter_monitor.learn_view_from(address))

    def _is_disk_stalled(self, now: float) -> bool:
        """Return whether a write of a vote or of a control state is stalled on the disk."""
        return self._view_slot.is_stalled(now) or self._replicator.stalled(now)

    def _may_lead(self) -> bool:
        return self._leadership.may_lead() and self._running

    def _repropagate_if_needed(self) -> None:
        if self._chain_head.needs_repropagation and self._may_lead():
            self._spawn(self._chain_head.repropagate())

    def _spawn(self, work: Coroutine[object, object, object]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- messages --------------------------------------------------------------------------------------

    def _build_handlers(self) -> HandlerTable:
        handlers = HandlerTable()
        handlers.add(Prepare, self._consensus.prepare)
        handlers.add(Accept, self._consensus.accept)
        handlers.add(ConfirmEpoch, self._handle_confirm_epoch)
        handlers.add(ViewDecided, self._handle_view_decided)
        handlers.add(OfferView, self._handle_offer_view)
        handlers.add(ReadView, self._handle_read_view)
        handlers.add(Ping, self._handle_ping)
        handlers.add(AnnounceController, self._handle_announce)
        handlers.add(ChainWrite, self._handle_chain_write)
        handlers.add(ReadStateRecord, self._handle_read_record)
        handlers.add(ChangeConfiguration, self._state_service.change_configuration)
        handlers.add(ReadConfiguration, self._state_service.read_configuration)
        handlers.add(ReadControlState, self._state_service.read_state)
        return handlers

    async def handle(self, message: object) -> object:
        """Return the response to a message; None for one-way messages and types not in `MESSAGES`."""
        return await self._handlers.handle(message)

    async def _handle_confirm_epoch(self, message: ConfirmEpoch) -> EpochConfirmed:
        return self._consensus.confirm(message)

    async def _handle_view_decided(self, message: ViewDecided) -> None:
        await self._consensus.learn(message.view)

    async def _handle_offer_view(self, message: OfferView) -> ViewResponse:
        await self._consensus.learn(message.view)
        return ViewResponse(self.view)

    async def _handle_read_view(self, _message: ReadView) -> ViewResponse:
        return ViewResponse(self.view)

    async def _handle_ping(self, message: Ping) -> Pong:
        return self._voter_monitor.handle_ping(message, is_departing=self._departure.has_begun)

    async def _handle_read_record(self, message: ReadStateRecord) -> StateRecordChunk:
        return self._replicator.read_record(message)

    async def _handle_chain_write(self, write: ChainWrite) -> ChainWritten:
        """Receive a state from the predecessor, after fetching the view of its epoch if that is newer."""
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
            self._seed_service.foreign_rejections += 1  # the sender does not become a spare
        elif not message.bootstrap:
            self._spares.on_announced(message.voter, asyncio.get_running_loop().time())
        await self._seed_service.handle(message)
        return ViewResponse(self.view)


def _restored_member(me: Voter, state_store: StateStore) -> ChainMember:
    """Return this process's chain member, restored from the state on disk."""
    member = ChainMember(me.name, me.disk_id)
    saved = state_store.load()
    if saved is not None:
        member.restore(saved.epoch, saved.state, intact=saved.intact)
    return member
