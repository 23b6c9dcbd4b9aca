"""Discovery of the newest view by queries to the seeds, the known voters and some other members."""

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
INITIAL_BACKOFF_S = 0.03  # short, because starting processes all wait for the same controllers
MAX_PEERS_PER_ROLE = 3  # live members of each role to query in addition to the seeds and the voters
SOLICITED_ORIGIN = ""  # origin of items from a query response, as opposed to a pull
ROLES = ("edge", "store")


class ViewDiscovery:
    """Queries other processes for the newest view.

    `seeds` returns the current seed addresses from the settings.
    """

    def __init__(
        self,
        transport: Transport,
        state: ClusterState,
        seeds: Callable[[], list[str]],
        controller_selector: ControllerSelector,
        random_source: random.Random,
    ) -> None:
        self.foreign_rejections = 0  # number of rejected views of other clusters
        self._transport = transport
        self._state = state
        self._seeds = seeds
        self._controller_selector = controller_selector
        self._random_source = random_source

    async def discover(self) -> None:
        """Query for a view, at least once, until a view is known."""
        backoff = Backoff(self._random_source, INITIAL_BACKOFF_S)
        while True:
            await self.query()
            if self._state.view is not None:
                return
            await backoff.wait()

    async def query(self) -> None:
        """Query all addresses once and apply each newer view from the responses."""
        await asyncio.gather(*(self._query_address(address) for address in self._addresses_to_query()))

    def learn(self, view: View) -> None:
        """Apply a decided view unless a newer one is known or the view belongs to another cluster."""
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
        self._controller_selector.health(address).record_answer()
        if answer.view is not None:
            self.learn(answer.view)

    def _addresses_to_query(self) -> list[str]:
        addresses = [*self._seeds()]
        if self._state.view is not None:
            addresses += [voter.address for voter in self._state.view.voters]
        for role in ROLES:
            members = [member.address for member in self._state.live_members(role)]
            addresses += self._random_source.sample(members, min(MAX_PEERS_PER_ROLE, len(members)))
        return [address for address in dict.fromkeys(addresses) if address != self._transport.address]
