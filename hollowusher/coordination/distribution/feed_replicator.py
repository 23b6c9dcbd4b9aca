"""Replication of update feeds between controllers by pull-based anti-entropy."""

from __future__ import annotations

import asyncio
from functools import partial

from hollowusher.coordination.backoff import Backoff
from hollowusher.coordination.cluster_state import MEMBER_PREFIX, VIEW
from hollowusher.coordination.distribution.client_context import ClientContext
from hollowusher.coordination.distribution.own_registration import OwnRegistration
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.distribution.update_puller import UpdatePuller
from hollowusher.protocol.distribution import ReadRepair, UpdatesResponse
from hollowusher.transport.interface import PeerError


class FeedReplicator:
    """Pulls the updates of each other voter into this controller's feed, which it does not own."""

    def __init__(
        self,
        context: ClientContext,
        registration: OwnRegistration,
        puller: UpdatePuller,
        feed: UpdateFeed,
    ) -> None:
        self._context = context
        self._registration = registration
        self._puller = puller
        self._feed = feed
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}  # by address
        self._peer_vectors: dict[str, dict[str, int]] = {}  # address -> version vector of its last response
        self._view_changed = asyncio.Event()
        context.state.add_listener(self._on_state_changed)

    def _on_state_changed(self, key: str) -> None:
        if key == VIEW:
            self._view_changed.set()

    async def run(self, tasks: asyncio.TaskGroup) -> None:
        """Pull from each voter of the newest view in a task of `tasks`; run until cancelled."""
        self._registration.publish()
        while True:
            if self._context.state.view is None:
                await self._context.discovery.discover()
            wanted = {voter.address for voter in self._context.other_voters}
            for address in [address for address in self._peer_tasks if address not in wanted]:
                self._peer_tasks.pop(address).cancel()
                self._peer_vectors.pop(address, None)
            for address in sorted(wanted - self._peer_tasks.keys()):
                self._peer_tasks[address] = tasks.create_task(self._follow_peer(address))
            self._view_changed.clear()
            await self._view_changed.wait()

    async def _follow_peer(self, address: str) -> None:
        """Pull from one other controller; run until cancelled.

        Voters pull only from voters.  A controller that is not a voter therefore has to register with them,
        because they do not read the registration from its feed.
        """
        backoff = Backoff(self._context.random_source)
        while True:
            try:
                if not self._context.is_voter:
                    await self._registration.register_at(address)
                merge_updates = partial(self._merge_updates, address)
                await self._puller.pull(address, self._vector_for_peer(address), merge_updates)
                backoff.reset()
            except PeerError:
                self._registration.forget(address)
                self._context.selector.health(address).record_failure(self._context.now())
                await backoff.wait()
                if self._are_all_avoided():
                    await self._context.discovery.query()

    def _are_all_avoided(self) -> bool:
        now = self._context.now()
        selector = self._context.selector
        return all(selector.health(voter.address).is_avoided(now) for voter in self._context.other_voters)

    def _vector_for_peer(self, address: str) -> dict[str, int]:
        """Return this feed's version vector, merged with the vector of the peer's last response.

        With this feed's vector alone, the peer would resend in every response the items of those origins that
        this feed has pruned.
        """
        version_vector = self._feed.version_vector
        for origin, counter in self._peer_vectors.get(address, {}).items():
            version_vector[origin] = max(counter, version_vector.get(origin, 0))
        return version_vector

    def _merge_updates(self, address: str, updates: UpdatesResponse) -> list[str]:
        self._peer_vectors[address] = updates.have
        return self._feed.merge(updates)

    async def handle_read_repair(self, repair: ReadRepair) -> None:
        """Publish member states that the controllers have lost; ignore items of all other kinds."""
        for item in repair.items:
            if item.key.startswith(MEMBER_PREFIX):
                self._feed.publish(item.key, item.version, item.value)
