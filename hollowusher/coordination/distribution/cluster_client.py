"""The cluster client, which runs in every process.

The client discovers controllers, registers the process as a member and receives the distributed values.  An
ordinary process pulls updates from one controller (`ControllerFollower`).  A controller has its own
`UpdateFeed`: it pulls updates into this feed from each other controller (`FeedReplicator`) and applies the
items of the feed to its state.  Both kinds of process participate in failure detection (`MemberMonitor`).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import attrs

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.backoff import Backoff
from hollowusher.coordination.cluster_state import CONFIGURATION, PLACEMENT, ClusterState
from hollowusher.coordination.consensus.view_discovery import (
    INITIAL_BACKOFF_S,
    SOLICITED_ORIGIN,
    ViewDiscovery,
)
from hollowusher.coordination.consensus.view_publisher import ViewAccess, ViewPublisher
from hollowusher.coordination.controller_selector import ControllerSelector
from hollowusher.coordination.distribution.client_context import ClientContext
from hollowusher.coordination.distribution.contact_log import ContactLog
from hollowusher.coordination.distribution.controller_follower import ControllerFollower
from hollowusher.coordination.distribution.feed_replicator import FeedReplicator
from hollowusher.coordination.distribution.long_poll_responder import LongPollResponder
from hollowusher.coordination.distribution.member_monitor import MAX_STEP_S, MemberMonitor
from hollowusher.coordination.distribution.own_registration import OwnRegistration
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.distribution.update_puller import UpdatePuller
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.control_chain import ControlState, ControlStateResponse, ReadControlState
from hollowusher.protocol.distribution import DistributedItem, PullUpdates, ReadRepair
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.membership import CheckIncarnation, Heartbeat, Member
from hollowusher.protocol.view import OfferView, ReadView, View, ViewResponse
from hollowusher.transport.interface import PeerError, Transport

READ_STATE_TIMEOUT_S = 1.0  # includes the time in which the chain's tail queries a quorum of the voters
SEED_REFRESH_S = 10.0  # interval at which an ordinary process offers the view to a seed again
MAX_CONNECTED_AGE_S = 2.5  # a controller that has reached no majority for longer reports itself disconnected


@attrs.frozen(eq=False)
class ClientResources:
    """The external resources of a cluster client.

    Attributes
    ----------
    feed : UpdateFeed or None
        The feed of a controller; None for an ordinary process.
    """

    transport: Transport
    state: ClusterState
    feed: UpdateFeed | None
    random_source: random.Random


class ClusterClient:
    """One process's access to the cluster.

    `seeds` returns the seed addresses in the current settings.
    """

    MESSAGES: tuple[type, ...] = (Heartbeat, OfferView, ReadView, CheckIncarnation, PullUpdates, ReadRepair)

    def __init__(
        self,
        me: Member,
        settings: BootSettings,
        resources: ClientResources,
        seeds: Callable[[], list[str]] | None = None,
    ) -> None:
        transport, state, feed = resources.transport, resources.state, resources.feed
        random_source = resources.random_source
        current_seeds = settings.seed_addresses if seeds is None else seeds
        selector = ControllerSelector(me.name, me.zone)
        discovery = ViewDiscovery(transport, state, current_seeds, selector, random_source)
        self.state = state
        self._feed = feed
        self._context = ClientContext(
            me.name, me.address, transport, state, random_source, selector, discovery
        )
        self._view_publisher = ViewPublisher(
            transport,
            current_seeds,
            ViewAccess(lambda: state.view, self._learn_view),
            random_source,
            SEED_REFRESH_S,
        )
        pause_detector = PauseDetector(MAX_STEP_S)
        self._contacts = ContactLog()
        self._registration = OwnRegistration(self._context, me, feed)
        self._monitor = MemberMonitor(self._context, self._registration, pause_detector)
        self._puller = UpdatePuller(self._context, self._contacts, pause_detector)
        self._handlers = HandlerTable()
        self._handlers.add(Heartbeat, self._monitor.handle_heartbeat)
        self._handlers.add(OfferView, self._handle_offer_view)
        self._handlers.add(ReadView, self._handle_read_view)
        self._handlers.add(CheckIncarnation, self._handle_check_incarnation)
        self._replicator: FeedReplicator | None = None
        if feed is not None:
            self._replicator = FeedReplicator(self._context, self._registration, self._puller, feed)
            long_poll = LongPollResponder(feed, self._is_connected, self._age_s)
            self._handlers.add(PullUpdates, long_poll.respond)
            self._handlers.add(ReadRepair, self._replicator.handle_read_repair)
            feed.add_listener(lambda item: self._apply_items([item]))

    @property
    def me(self) -> Member:
        """The current registration of this process."""
        return self._registration.member

    @property
    def foreign_views(self) -> int:
        """The number of rejected views that came from another cluster."""
        return self._context.discovery.foreign_rejections + self._context.state.foreign_views

    # -- start and stop --------------------------------------------------------------------------------

    async def run(self) -> None:
        """Receive updates, send heartbeats and monitor other members; run until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._monitor.run())
            if self._replicator is None:
                follower = ControllerFollower(self._context, self._registration, self._puller)
                tasks.create_task(follower.run())
            else:
                tasks.create_task(self._replicator.run(tasks))

    async def wait_for_committed_state(self) -> None:
        """Read the committed state from the control chain, with retries until it succeeds, and apply it.

        After this call the process holds every control state change that was acknowledged before the call.
        """
        backoff = Backoff(self._context.random_source, INITIAL_BACKOFF_S)
        while True:
            if self.state.view is None:
                await self._context.discovery.discover()
            for voter in self._context.committed_state_sources():
                requested_at = self._context.now()
                state = await self._read_state(voter.address)
                if state is not None:
                    self._contacts.record_majority(requested_at)
                    self._apply_state(state)
                    return
            await backoff.wait()
            await self._context.discovery.discover()

    async def _read_state(self, address: str) -> ControlState | None:
        answer = None
        with suppress(PeerError):
            answer = await self._context.transport.call(address, ReadControlState(), READ_STATE_TIMEOUT_S)
        return answer.state if isinstance(answer, ControlStateResponse) else None

    async def publish_view(self) -> None:
        """Offer the newest known view to the seeds periodically; run until cancelled."""
        await self._view_publisher.run()

    async def leave(self) -> None:
        """Announce to a controller that this process is about to stop."""
        await self._registration.leave()

    # -- contact with the controllers ------------------------------------------------------------------

    def seconds_since_contact(self, now: float) -> float:
        """Return how many seconds ago any controller last answered a pull; infinite before the first answer.

        The result is 0 for the only controller of a cluster, which has no other controller to pull from.
        """
        if self._feed is not None and self._context.voters and not self._context.other_voters:
            return 0.0
        return self._contacts.seconds_since_answer(now)

    def seconds_since_majority(self, now: float) -> float:
        """Return the maximum age in seconds of the newest values that this process holds.

        For an ordinary process, this is the time since its controller last had contact with a majority of the
        controllers, according to the controller's responses.  For a controller, it is the time since a
        majority of the controllers, including itself, last answered its pulls.  A response that may have been
        received during a pause of this process counts from the time of its request.
        """
        if self._feed is None:
            return self._contacts.seconds_since_majority(now)
        addresses = [voter.address for voter in self._context.voters]
        return self._contacts.seconds_since_majority_of(addresses, self._context.address, now)

    def _is_connected(self) -> bool:
        return self._age_s() <= MAX_CONNECTED_AGE_S

    def _age_s(self) -> float:
        return self.seconds_since_majority(self._context.now())

    # -- messages --------------------------------------------------------------------------------------

    async def handle(self, message: object) -> object:
        """Return the response to a message; None for one-way messages and types not in `MESSAGES`."""
        return await self._handlers.handle(message)

    async def _handle_offer_view(self, message: OfferView) -> ViewResponse:
        self.learn_view(message.view)
        return ViewResponse(self.state.view)

    async def _handle_read_view(self, _message: ReadView) -> ViewResponse:
        return ViewResponse(self.state.view)

    async def _handle_check_incarnation(self, message: CheckIncarnation) -> Acknowledgement | None:
        return Acknowledgement() if message.incarnation == self.me.incarnation else None

    # -- distributed values ----------------------------------------------------------------------------

    def learn_view(self, view: View) -> None:
        """Adopt a decided view that this process received by other means than pulls."""
        self._context.discovery.learn(view)

    async def _learn_view(self, view: View) -> None:
        self.learn_view(view)

    def _apply_items(self, items: list[DistributedItem]) -> None:
        self.state.apply(items, {})

    def _apply_state(self, state: ControlState) -> None:
        if state.generation > 0:
            self._apply_value(CONFIGURATION, state.generation, state.document)
        if state.placement is not None:
            self._apply_value(PLACEMENT, state.placement.version, state.placement)

    def _apply_value(self, key: str, version: int, value: object) -> None:
        """Apply a committed value; on a controller, do so by publishing it in the feed."""
        if self._feed is not None:
            self._feed.publish(key, [version], value)
        else:
            self._apply_items([DistributedItem(key, [version], SOLICITED_ORIGIN, 0, value)])
