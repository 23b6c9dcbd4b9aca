"""An edge process as a seed: it answers with the newest view that it knows, and proposes the first one.

Any edge process may be a seed, with or without a disk.  The seeds propose in the order of the list in the
settings, so that ordinarily only one does.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.consensus.bootstrap import cluster_name, propose_first_view
from hollowusher.coordination.consensus.paxos import first_view, is_same_cluster
from hollowusher.coordination.consensus.view_queries import fetch_newest_view
from hollowusher.coordination.consensus.voter_set import choose_voters, required_voters
from hollowusher.protocol.consensus import ViewDecided
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.view import AnnounceController, OfferView, ReadView, View, ViewResponse, Voter
from hollowusher.transport.interface import Transport

GATHER_S = 1.5
MAX_GATHER_S = 4.0  # while fewer than `EXPECTED_CONTROLLERS` have announced themselves
EXPECTED_CONTROLLERS = 3
SEED_STAGGER_S = 1.0
RETRY_S = 0.3


def _ignore_view(view: View) -> None:
    """Do nothing with a newer view."""


class SeedService:
    """One process's part as a seed; `on_view` is called with each newer view that others bring.

    Invariant: `view` only moves to later epochs of one cluster.
    """

    MESSAGES: tuple[type, ...] = (AnnounceController, ViewDecided, OfferView, ReadView)

    def __init__(
        self,
        settings: BootSettings,
        transport: Transport,
        on_view: Callable[[View], None] = _ignore_view,
    ) -> None:
        self.view: View | None = None
        self.foreign_rejections = 0  # rejected views and announcements of another cluster
        self._settings = settings
        self._transport = transport
        self._on_view = on_view
        self._announced: dict[str, Voter] = {}
        self._task: asyncio.Task[None] | None = None
        self._handlers = HandlerTable()
        self._handlers.add(AnnounceController, self._on_announce)
        self._handlers.add(ViewDecided, self._on_decided)
        self._handlers.add(OfferView, self._on_offer_view)
        self._handlers.add(ReadView, self._on_read_view)

    async def start(self) -> None:
        """Gather controllers, if this is the first start of the cluster and this process is a seed."""
        seeds = self._settings.seed_addresses()
        if self._settings.bootstrap and self._transport.address in seeds:
            self._task = asyncio.get_running_loop().create_task(self._bootstrap(seeds))

    async def stop(self) -> None:
        """Stop gathering."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def learn(self, view: View) -> None:
        """Learn a decided view, unless it is of another cluster or not newer than the known one."""
        if self.view is not None and not is_same_cluster(self.view.cluster, view.cluster):
            self.foreign_rejections += 1
        elif self.view is None or view.epoch > self.view.epoch:
            self.view = view
            self._on_view(view)

    # -- messages ------------------------------------------------------------------------------------------

    async def handle(self, message: object) -> object:
        """Answer one of `MESSAGES`; None for `ViewDecided` and for all others."""
        return await self._handlers.handle(message)

    async def _on_decided(self, message: ViewDecided) -> None:
        self.learn(message.view)

    async def _on_offer_view(self, message: OfferView) -> ViewResponse:
        self.learn(message.view)
        return ViewResponse(self.view)

    async def _on_announce(self, message: AnnounceController) -> ViewResponse:
        if message.bootstrap:
            self._announced[message.voter.name] = message.voter
        return ViewResponse(self.view)

    async def _on_read_view(self, _message: ReadView) -> ViewResponse:
        return ViewResponse(self.view)

    # -- the first view ------------------------------------------------------------------------------------

    async def _bootstrap(self, seeds: list[str]) -> None:
        await self._gather()
        await asyncio.sleep(seeds.index(self._transport.address) * SEED_STAGGER_S)
        proposed: View | None = None
        while self.view is None:
            others = {voter.address for voter in self._announced.values()} | set(seeds)
            existing = await fetch_newest_view(self._transport, sorted(others - {self._transport.address}))
            if existing is not None:
                self.learn(existing)
                return
            if proposed is None and self._announced:
                proposed = self._first_view()
            if proposed is not None:
                proposed = await self._propose(proposed)
            await asyncio.sleep(RETRY_S)

    async def _gather(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while self.view is None:
            waited_s = loop.time() - started_s
            is_enough = len(self._announced) >= EXPECTED_CONTROLLERS
            if waited_s >= MAX_GATHER_S or (is_enough and waited_s >= GATHER_S):
                return
            await asyncio.sleep(GATHER_S / 10)

    def _first_view(self) -> View:
        """Return view 1 of the required number of announced controllers; the others stay spares."""
        wanted = required_voters(self._settings.fault_tolerance.machines)
        voters = choose_voters(self._announced.values(), wanted)
        return first_view(voters, cluster_name(voters))

    async def _propose(self, view: View) -> View:
        """Propose a view 1; return the view to propose next."""
        outcome = await propose_first_view(self._transport, view)
        if outcome.decided is not None:
            self.learn(outcome.decided)
            self._broadcast_decision(outcome.decided)
        return outcome.most_accepted or view

    def _broadcast_decision(self, view: View) -> None:
        addresses = {voter.address for voter in [*view.voters, *self._announced.values()]}
        for address in sorted(addresses | set(self._settings.seed_addresses())):
            self._transport.send(address, ViewDecided(view))
