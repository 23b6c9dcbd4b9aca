"""Seed service of an edge process: it returns the newest view that it knows and proposes the first view.

Any edge process can be a seed, with or without a disk.  On the first start of a cluster the seeds propose one
after another in the order of the seed list in the settings, so usually only one of them proposes.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.consensus.bootstrap import FirstViewBallots, cluster_name
from hollowusher.coordination.consensus.paxos import first_view, is_same_cluster
from hollowusher.coordination.consensus.view_queries import QUERY_TIMEOUT_S, call_all, fetch_newest_view
from hollowusher.coordination.consensus.voter_set import choose_voters, required_voters
from hollowusher.protocol.consensus import ViewDecided
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.view import AnnounceController, OfferView, ReadView, View, ViewResponse, Voter
from hollowusher.transport.interface import Transport

MIN_GATHER_S = 1.5  # a seed collects announcements for at least this long before it proposes
MAX_GATHER_S = 4.0  # a seed waits this long if fewer than `EXPECTED_CONTROLLERS` announce themselves
EXPECTED_CONTROLLERS = 3
SEED_STAGGER_S = 1.0  # delay between the first proposals of two consecutive seeds
RETRY_S = 0.3
MIN_CONTACT_S = 2.0
ANNOUNCEMENT_TTL_S = 3.0  # controllers repeat their announcement until they know a view


def _ignore_view(view: View) -> None:
    """Ignore a newer view; the default of `on_view`."""


@attrs.frozen
class _Announcement:
    """A controller that asked to be in the first view, and the time of its last announcement."""

    voter: Voter
    announced_at_s: float


class SeedService:
    """The seed service of one process.

    The service calls `on_view` with each newer view that it receives.
    Invariant: `view` only moves to later epochs of one cluster.
    """

    MESSAGES: tuple[type, ...] = (AnnounceController, ViewDecided, OfferView, ReadView)

    def __init__(
        self,
        settings: BootSettings,
        transport: Transport,
        random_source: random.Random,
        on_view: Callable[[View], None] = _ignore_view,
    ) -> None:
        self.view: View | None = None
        self.foreign_rejections = 0  # rejected views and announcements of another cluster
        self._settings = settings
        self._transport = transport
        self._on_view = on_view
        self._ballots = FirstViewBallots(transport, random_source)
        self._announced: dict[str, _Announcement] = {}
        self._seed_majority_reached_since_s: float | None = None
        self._task: asyncio.Task[None] | None = None
        self._handlers = HandlerTable()
        self._handlers.add(AnnounceController, self._on_announce)
        self._handlers.add(ViewDecided, self._on_decided)
        self._handlers.add(OfferView, self._on_offer_view)
        self._handlers.add(ReadView, self._on_read_view)

    async def start(self) -> None:
        """Start the bootstrap if this is the first start of the cluster and this process is a seed."""
        seeds = self._settings.seed_addresses()
        if self._settings.bootstrap and self._transport.address in seeds:
            self._task = asyncio.get_running_loop().create_task(self._bootstrap(seeds))

    async def stop(self) -> None:
        """Stop the bootstrap."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def learn(self, view: View) -> None:
        """Adopt a decided view unless it belongs to another cluster or is not newer than the known one."""
        if self.view is not None and not is_same_cluster(self.view.cluster, view.cluster):
            self.foreign_rejections += 1
        elif self.view is None or view.epoch > self.view.epoch:
            self.view = view
            self._on_view(view)

    # -- messages ------------------------------------------------------------------------------------------

    async def handle(self, message: object) -> object:
        """Handle a message; return its response, None for `ViewDecided` and for types not in `MESSAGES`."""
        return await self._handlers.handle(message)

    async def _on_decided(self, message: ViewDecided) -> None:
        self.learn(message.view)

    async def _on_offer_view(self, message: OfferView) -> ViewResponse:
        self.learn(message.view)
        return ViewResponse(self.view)

    async def _on_announce(self, message: AnnounceController) -> ViewResponse:
        if message.bootstrap:
            self._announced[message.voter.name] = _Announcement(message.voter, _now_s())
        return ViewResponse(self.view)

    async def _on_read_view(self, _message: ReadView) -> ViewResponse:
        return ViewResponse(self.view)

    # -- the first view ------------------------------------------------------------------------------------

    async def _bootstrap(self, seeds: list[str]) -> None:
        await self._gather(seeds)
        await asyncio.sleep(seeds.index(self._transport.address) * SEED_STAGGER_S)
        while self.view is None:
            others = {voter.address for voter in self._announced_controllers()} | set(seeds)
            existing = await fetch_newest_view(self._transport, sorted(others - {self._transport.address}))
            if existing is not None:
                self.learn(existing)
                return
            await self._propose(seeds)
            await asyncio.sleep(RETRY_S)

    async def _gather(self, seeds: list[str]) -> None:
        started_s = _now_s()
        while self.view is None:
            await self._has_contact_with_seed_majority(seeds)
            waited_s = _now_s() - started_s
            has_expected_number = len(self._announced_controllers()) >= EXPECTED_CONTROLLERS
            if waited_s >= MAX_GATHER_S or (has_expected_number and waited_s >= MIN_GATHER_S):
                return
            await asyncio.sleep(MIN_GATHER_S / 10)

    def _announced_controllers(self) -> list[Voter]:
        """Return the controllers that announced themselves within the last `ANNOUNCEMENT_TTL_S`."""
        oldest_s = _now_s() - ANNOUNCEMENT_TTL_S
        return [entry.voter for entry in self._announced.values() if entry.announced_at_s >= oldest_s]

    async def _propose(self, seeds: list[str]) -> None:
        """Run one ballot for view 1.

        A seed that knows fewer controllers than required may be partitioned from the other seeds, which may
        know the missing ones.  Such a seed proposes only while it has contact with a majority of the seeds.
        """
        candidates = self._announced_controllers()
        required = required_voters(self._settings.fault_tolerance.machines)
        min_promises = min(required, len(candidates))
        if not candidates or (
            min_promises < required and not await self._has_contact_with_seed_majority(seeds)
        ):
            return

        def plan(promised: list[Voter]) -> View | None:
            """Return view 1 with the required number of voters; the remaining controllers become spares.

            Return None if too few controllers have promised.
            """
            if len(promised) < min_promises:
                return None
            voters = choose_voters(promised, required)
            return first_view(voters, cluster_name(voters))

        decided = await self._ballots.propose(candidates, plan)
        if decided is not None:
            self.learn(decided)
            self._broadcast_decision(decided)

    async def _has_contact_with_seed_majority(self, seeds: list[str]) -> bool:
        """Return whether this seed has reached a majority of the seeds, itself included, for `MIN_CONTACT_S`.

        Within that time the controllers that those seeds can reach have announced themselves to this seed,
        too.  Return False if a view is known already.
        """
        others = [address for address in seeds if address != self._transport.address]
        answers = await call_all(self._transport, others, ReadView(), QUERY_TIMEOUT_S)
        for answer in answers:
            if isinstance(answer, ViewResponse) and answer.view is not None:
                self.learn(answer.view)
        if len(answers) + 1 <= len(seeds) // 2:
            self._seed_majority_reached_since_s = None
            return False
        if self._seed_majority_reached_since_s is None:
            self._seed_majority_reached_since_s = _now_s()
        return self.view is None and _now_s() - self._seed_majority_reached_since_s >= MIN_CONTACT_S

    def _broadcast_decision(self, view: View) -> None:
        announced = [entry.voter for entry in self._announced.values()]
        addresses = {voter.address for voter in [*view.voters, *announced]}
        for address in sorted(addresses | set(self._settings.seed_addresses())):
            self._transport.send(address, ViewDecided(view))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
