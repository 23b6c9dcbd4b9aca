"""The very first start: a seed gathers the controllers and proposes view 1.

Any edge process may be a seed, with or without a disk.  The seeds propose in the order of the list in the
settings, so that ordinarily only one does.  A controller holds the first view 1 that it is offered; it is
decided once a majority of its own voters hold it.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.consensus.paxos import first_view, is_same_cluster, quorum_size, voter_id
from hollowusher.coordination.consensus.voter_set import choose_voters, required_voters
from hollowusher.protocol.consensus import FirstViewResponse, ProposeFirstView, ViewDecided
from hollowusher.protocol.view import AnnounceController, OfferView, ReadView, View, ViewResponse, Voter
from hollowusher.transport.interface import PeerError, Transport

GATHER_S = 1.5
MAX_GATHER_S = 4.0  # while fewer than `EXPECTED_CONTROLLERS` have announced themselves
EXPECTED_CONTROLLERS = 3
SEED_STAGGER_S = 1.0
QUERY_TIMEOUT_S = 0.4
RETRY_S = 0.3
CLUSTER_NAME_BYTES = 8


@attrs.frozen
class FirstViewOutcome:
    """What the proposed voters answered."""

    decided: View | None
    held: View | None  # the undecided view that most of them hold


async def call_all(transport: Transport, addresses: Iterable[str], message: Any, timeout: float) -> list[Any]:
    """The answers of those that answer in time."""
    calls = [transport.call(address, message, timeout) for address in addresses]
    answers = await asyncio.gather(*calls, return_exceptions=True)
    failures = [answer for answer in answers if isinstance(answer, BaseException)]
    for failure in failures:
        if not isinstance(failure, PeerError):
            raise failure
    return [answer for answer in answers if not isinstance(answer, BaseException)]


async def fetch_newest_view(transport: Transport, addresses: Iterable[str]) -> View | None:
    """The newest decided view known at these addresses."""
    answers = await call_all(transport, addresses, ReadView(), QUERY_TIMEOUT_S)
    views = [
        answer.view for answer in answers if isinstance(answer, ViewResponse) and answer.view is not None
    ]
    return max(views, key=lambda view: view.epoch, default=None)


async def propose_first_view(transport: Transport, view: View) -> FirstViewOutcome:
    """Offer a first view to its voters."""
    addresses = [voter.address for voter in view.voters]
    answers = await call_all(transport, addresses, ProposeFirstView(view), QUERY_TIMEOUT_S)
    taken = [answer for answer in answers if isinstance(answer, FirstViewResponse)]
    known = [answer.decided for answer in taken if answer.decided is not None]
    if known:
        return FirstViewOutcome(max(known, key=lambda decided: decided.epoch), None)
    held = [answer.taken for answer in taken if answer.taken is not None]
    if sum(1 for other in held if other == view) >= quorum_size(view):
        return FirstViewOutcome(view, None)
    return FirstViewOutcome(None, _most_accepted(held))


def _most_accepted(views: list[View]) -> View | None:
    """The view that most hold; among equals the one whose voters' names come first."""
    counts = Counter(tuple(view.chain) for view in views)
    ordered = sorted(views, key=lambda view: (-counts[tuple(view.chain)], view.chain))
    return ordered[0] if ordered else None


def cluster_name(voters: Iterable[Voter]) -> str:
    """The name of the system that begins with these voters: their disks were drawn by chance, so no other
    system has it, and every seed that proposes the same voters proposes the same name."""
    disks = "\n".join(sorted(voter_id(voter) for voter in voters))
    return hashlib.blake2b(disks.encode(), digest_size=CLUSTER_NAME_BYTES).hexdigest()


class SeedService:
    """An edge process as a seed: it tells the newest view it knows, and makes the first one."""

    MESSAGES: tuple[type, ...] = (AnnounceController, ViewDecided, OfferView, ReadView)

    def __init__(
        self,
        settings: BootSettings,
        transport: Transport,
        on_view: Callable[[View], None] = lambda view: None,
    ) -> None:
        self._settings = settings
        self._on_view = on_view  # called with each newer view that others brought
        self.foreign_rejections = 0  # views and announcements of another cluster: not taken
        self._transport = transport
        self._announced: dict[str, Voter] = {}
        self._task: asyncio.Task[None] | None = None
        self.view: View | None = None

    async def start(self) -> None:
        """Gather controllers, if this is the first start of the system and this process is a seed."""
        seeds = self._settings.seed_addresses()
        if self._settings.bootstrap and self._transport.address in seeds:
            self._task = asyncio.get_running_loop().create_task(self._bootstrap(seeds))

    async def stop(self) -> None:
        """Stop gathering."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def learn(self, view: View) -> None:
        """Take a decided view; one of another cluster never replaces the known one, nor does an older one."""
        if self.view is not None and not is_same_cluster(self.view.cluster, view.cluster):
            self.foreign_rejections += 1
        elif self.view is None or view.epoch > self.view.epoch:
            self.view = view
            self._on_view(view)

    async def handle(self, message: Any) -> ViewResponse | None:
        """Answer a message by which a process looks for the view; None for any other message."""
        if isinstance(message, ViewDecided):
            self.learn(message.view)
        elif isinstance(message, OfferView):
            self.learn(message.view)
            return ViewResponse(self.view)
        elif isinstance(message, AnnounceController):
            if message.bootstrap:
                self._announced[message.voter.name] = message.voter
            return ViewResponse(self.view)
        elif isinstance(message, ReadView):
            return ViewResponse(self.view)
        return None

    async def _bootstrap(self, seeds: list[str]) -> None:
        await self._gather()
        await asyncio.sleep(seeds.index(self._transport.address) * SEED_STAGGER_S)
        offered: View | None = None
        while self.view is None:
            others = {voter.address for voter in self._announced.values()} | set(seeds)
            existing = await fetch_newest_view(self._transport, sorted(others - {self._transport.address}))
            if existing is not None:
                self.learn(existing)
                return
            if offered is None and self._announced:
                offered = self._first_view()
            if offered is not None:
                offered = await self._offer(offered)
            await asyncio.sleep(RETRY_S)

    def _first_view(self) -> View:
        """View 1 of as many of those announced as vote; the rest are spares."""
        wanted = required_voters(self._settings.fault_tolerance.machines)
        voters = choose_voters(self._announced.values(), wanted)
        return first_view(voters, cluster_name(voters))

    async def _gather(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        while self.view is None:
            waited = loop.time() - started
            enough = len(self._announced) >= EXPECTED_CONTROLLERS
            if waited >= MAX_GATHER_S or (enough and waited >= GATHER_S):
                return
            await asyncio.sleep(GATHER_S / 10)

    async def _offer(self, view: View) -> View:
        """Offer a view; the one to be offered next."""
        outcome = await propose_first_view(self._transport, view)
        if outcome.decided is not None:
            self.learn(outcome.decided)
            addresses = {voter.address for voter in [*outcome.decided.voters, *self._announced.values()]}
            for address in sorted(addresses | set(self._settings.seed_addresses())):
                self._transport.send(address, ViewDecided(outcome.decided))
        return outcome.held or view
