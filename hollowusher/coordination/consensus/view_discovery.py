"""How any process comes to the newest view: it asks the seeds, the voters that it knows, and some members."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from hollowusher.coordination.backoff import Backoff
from hollowusher.coordination.cluster_state import VIEW, ClusterState
from hollowusher.coordination.consensus.paxos import is_same_cluster
from hollowusher.coordination.controller_selector import ControllerSelector
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.view import ReadView, View, ViewResponse
from hollowusher.transport.interface import PeerError, Transport

QUERY_TIMEOUT_S = 0.6
INITIAL_BACKOFF_S = 0.03  # of a process that starts: all wait for the same controllers
MAX_PEERS_PER_ROLE = 3  # living members of each role asked for the view besides the seeds and the voters
SOLICITED_ORIGIN = ""  # the origin of items that were asked for and not pulled
ROLES = ("edge", "store")


class ViewDiscovery:
    """One process's search for views.  `seeds` tells the seeds that the settings name at present."""

    def __init__(
        self,
        transport: Transport,
        state: ClusterState,
        seeds: Callable[[], list[str]],
        choice: ControllerSelector,
        chance: random.Random,
    ) -> None:
        self.foreign_rejections = 0  # views of another cluster: not taken
        self._transport = transport
        self._state = state
        self._seeds = seeds
        self._choice = choice
        self._chance = chance

    async def find(self) -> None:
        """Ask for a newer view than the known one; without any, go on until there is one."""
        backoff = Backoff(self._chance, INITIAL_BACKOFF_S)
        while True:
            await self.ask()
            if self._state.view is not None:
                return
            await backoff.wait()

    async def ask(self) -> None:
        """Ask once for a newer view."""
        await asyncio.gather(*(self._query_address(address) for address in self._query_addresses()))

    def take(self, view: View) -> None:
        """Use a decided view, unless a newer one is known or it is of another cluster."""
        known = self._state.view
        if known is not None and not is_same_cluster(known.cluster, view.cluster):
            self.foreign_rejections += 1
            return
        self._state.apply([DistributedItem(VIEW, [view.epoch], SOLICITED_ORIGIN, 0, view)], {})

    async def _query_address(self, address: str) -> None:
        try:
            answer = await self._transport.call(address, ReadView(), QUERY_TIMEOUT_S)
        except PeerError:
            return
        if not isinstance(answer, ViewResponse):
            return
        self._choice.health(address).record_answer()
        if answer.view is not None:
            self.take(answer.view)

    def _query_addresses(self) -> list[str]:
        view = self._state.view
        sources = [*self._seeds(), *(voter.address for voter in view.voters)] if view else self._seeds()
        for role in ROLES:
            members = [member.address for member in self._state.live_members(role)]
            sources += self._chance.sample(members, min(MAX_PEERS_PER_ROLE, len(members)))
        return [address for address in dict.fromkeys(sources) if address != self._transport.address]
