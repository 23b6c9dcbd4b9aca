"""Every process's part in the cluster: it finds the controllers, registers, follows the distributed values,
and takes part in failure detection.

An ordinary process pulls from one controller: one in its own zone where possible, picked by rendezvous, and
another one at once after a failure.  A controller has a `UpdateFeed` of its own: it pulls from each other
controller and applies its own feed.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.backoff import Backoff
from hollowusher.coordination.cluster_state import (
    CONFIGURATION,
    MEMBER_PREFIX,
    PLACEMENT,
    VIEW,
    ClusterState,
)
from hollowusher.coordination.consensus.view_discovery import (
    INITIAL_BACKOFF_S,
    SOLICITED_ORIGIN,
    ViewDiscovery,
)
from hollowusher.coordination.consensus.view_publisher import ViewAccess, ViewPublisher
from hollowusher.coordination.controller_selector import ControllerSelector
from hollowusher.coordination.distribution.update_feed import LongPollResponder, UpdateFeed
from hollowusher.coordination.membership.failure_detector import FailureDetector
from hollowusher.coordination.membership.member_directory import member_version
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState, ControlStateResponse, ReadControlState
from hollowusher.protocol.distribution import DistributedItem, PullUpdates, ReadRepair, UpdatesResponse
from hollowusher.protocol.membership import (
    CheckIncarnation,
    Heartbeat,
    Member,
    MemberDeparting,
    MemberRegistered,
    RegisterMember,
)
from hollowusher.protocol.view import OfferView, ReadView, View, ViewResponse, Voter
from hollowusher.transport.interface import PeerError, Transport

PULL_WAIT_MS = 1_000
PULL_TIMEOUT_MARGIN_S = 0.7  # how much longer than its wait a pull may take
CALL_TIMEOUT_S = 0.6
READ_STATE_TIMEOUT_S = 1.0  # the chain's tail asks a majority before it answers
LEAVE_CALL_TIMEOUT_S = 0.5
LEAVE_TIMEOUT_S = 1.0
SEED_REFRESH_S = 10.0  # how often a process that is no controller tells a seed the view again
FAILURE_DETECTOR_TICK_S = 0.1  # how often the failure detector runs
MAX_STEP_S = FAILURE_DETECTOR_TICK_S + 0.3  # a longer one: this process did not run
MIN_PULL_INTERVAL_S = 0.1  # after an answer that came at once and brought nothing
MAX_CONNECTED_AGE_S = 2.5  # a controller that has not heard most of the others for this long says so


class ClusterClient:
    """One process's access to the cluster.  `me` is its present registration, `seeds` tells the seeds that
    the settings name at present."""

    MESSAGES: tuple[type, ...] = (Heartbeat, OfferView, ReadView, CheckIncarnation, PullUpdates, ReadRepair)

    def __init__(
        self,
        me: Member,
        transport: Transport,
        settings: BootSettings,
        state: ClusterState,
        feed: UpdateFeed | None,
        random_source: random.Random,
        seeds: Callable[[], list[str]] | None = None,
    ) -> None:
        self.me = me
        self.state = state
        self._transport = transport
        self._feed = feed
        self._random = random_source
        self._failure_monitor = FailureDetector(me.name)
        self._members_changed = True
        self._registered_at: set[str] = set()  # the controllers that know this registration
        self._is_registration_distributed = False  # the cluster has this life of this process
        self._leaving = False
        self._controller_choice = ControllerSelector(me.name, me.zone)
        present_seeds = settings.seed_addresses if seeds is None else seeds
        self._view_discovery = ViewDiscovery(
            transport, state, present_seeds, self._controller_choice, random_source
        )
        self._view_publisher = ViewPublisher(
            transport,
            present_seeds,
            ViewAccess(lambda: state.view, self._learn_view),
            random_source,
            SEED_REFRESH_S,
        )
        self._last_pull_at: dict[str, float] = {}  # address -> last answer to a pull
        self._last_majority_at = -math.inf  # last answer of a controller that hears most of the others
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        self._peer_vectors: dict[str, dict[str, int]] = {}
        self._view_changed = asyncio.Event()
        self._pause_detector = PauseDetector(MAX_STEP_S)
        self._long_poll = (
            LongPollResponder(feed, self._is_connected, self._age_s) if feed is not None else None
        )
        state.add_listener(self._on_state_changed)
        if feed is not None:
            feed.add_listener(lambda item: self._apply_items([item]))

    # ---- life

    async def run(self) -> None:
        """Follow the cluster, send heartbeats and monitor others; runs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_failure_detector())
            if self._feed is None:
                tasks.create_task(self._follow_one_controller())
            else:
                tasks.create_task(self._follow_all_controllers(tasks))

    async def wait_for_committed_state(self) -> None:
        """Wait until the control chain has told its committed state, and apply it: after that, nothing
        older than what was acknowledged before this start is served."""
        backoff = Backoff(self._random, INITIAL_BACKOFF_S)
        while True:
            if self.state.view is None:
                await self._view_discovery.discover()
            for voter in self._committed_state_sources():
                asked_at = self._now()
                answer = await self._try_call(voter.address, ReadControlState(), READ_STATE_TIMEOUT_S)
                if isinstance(answer, ControlStateResponse) and answer.state is not None:
                    self._last_majority_at = max(asked_at, self._last_majority_at)
                    self._apply_state(answer.state)
                    return
            await backoff.wait()
            await self._view_discovery.discover()

    async def publish_view(self) -> None:
        """Bring the view known here to the seeds; runs until cancelled."""
        await self._view_publisher.run()

    @property
    def foreign_views(self) -> int:
        """How many views of another cluster were brought here; none was taken."""
        return self._view_discovery.foreign_rejections

    def learn_view(self, view: View) -> None:
        """Use a decided view that became known in another way."""
        self._view_discovery.learn(view)

    async def _learn_view(self, view: View) -> None:
        self.learn_view(view)

    async def leave(self) -> None:
        """Tell a controller that this process is about to stop; gives up after `LEAVE_TIMEOUT_S`."""
        self._leaving = True
        if self._feed is not None:
            self._publish(evolve(self.me, status=self.me.status + 1, leaving=True))
        with suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._send_leaving(MemberDeparting(self.me.name, self.me.incarnation))

    async def _send_leaving(self, message: MemberDeparting) -> None:
        for voter in self._voters_by_preference():
            if voter.address == self.me.address:
                continue
            if isinstance(
                await self._try_call(voter.address, message, LEAVE_CALL_TIMEOUT_S), Acknowledgement
            ):
                return

    def seconds_since_contact(self, now: float) -> float:
        """How long ago any controller last answered a pull; infinite before the first answer, 0 for a
        controller that has no others to ask."""
        if self._feed is not None and self._voters() and not self._other_voters():
            return 0.0
        return now - max(self._last_pull_at.values(), default=-math.inf)

    def seconds_since_majority(self, now: float) -> float:
        """How old the newest values known here may be: how long ago most controllers had word of each other
        and one of them then answered here; for a controller, how long ago most of them, itself counted,
        answered.  What lay unread while this process stood still counts from when it was asked for."""
        if self._feed is None:
            return now - self._last_majority_at
        voters = self._voters()
        if not voters:
            return math.inf
        heard = sorted(self._last_answer_from(voter, now) for voter in voters)
        return now - heard[-(len(voters) // 2 + 1)]

    def _last_answer_from(self, voter: Voter, now: float) -> float:
        return now if voter.address == self.me.address else self._last_pull_at.get(voter.address, -math.inf)

    def _is_connected(self) -> bool:
        return self._age_s() <= MAX_CONNECTED_AGE_S

    def _age_s(self) -> float:
        return self.seconds_since_majority(self._now())

    async def handle(self, message: Any) -> Any:
        """Answer one of `MESSAGES`."""
        if isinstance(message, Heartbeat):
            self._failure_monitor.record_heartbeat(message, self._now())
        elif isinstance(message, ReadView):
            return ViewResponse(self.state.view)
        elif isinstance(message, OfferView):
            self.learn_view(message.view)
            return ViewResponse(self.state.view)
        elif isinstance(message, PullUpdates) and self._long_poll is not None:
            return await self._long_poll.answer(message)
        elif isinstance(message, ReadRepair):
            self._handle_repair(message)
        elif isinstance(message, CheckIncarnation) and message.incarnation == self.me.incarnation:
            return Acknowledgement()
        return None

    # ---- the controllers

    def _voters(self) -> list[Voter]:
        view = self.state.view
        return [] if view is None else view.voters

    def _other_voters(self) -> list[Voter]:
        return [voter for voter in self._voters() if voter.address != self.me.address]

    def _is_voter(self) -> bool:
        return any(voter.name == self.me.name for voter in self._voters())

    def _committed_state_sources(self) -> list[Voter]:
        """The voters that may know the committed state, the chain's tail first."""
        view = self.state.view
        tail = "" if view is None else view.tail
        return sorted(self._voters(), key=lambda voter: voter.name != tail)

    def _voters_by_preference(self) -> list[Voter]:
        return self._controller_choice.rank_controllers(self._voters(), self.state.members, self._now())

    # ---- following one controller

    async def _follow_one_controller(self) -> None:
        backoff = Backoff(self._random)
        while True:
            voters = self._voters_by_preference()
            if not voters:
                await self._view_discovery.discover()
                continue
            address = voters[0].address
            last_choice = len(voters) == 1 or self._controller_choice.health(address).is_avoided(self._now())
            try:
                await self._register_at(address)
                connected = await self._pull(
                    address, dict(self.state.version_vector), partial(self._apply_updates, address)
                )
                backoff.reset()
            except PeerError:
                self._record_failure(address)
                if not last_choice:
                    continue
                await backoff.wait()
                connected = False
            if not connected:
                await self._view_discovery.query()

    def _record_failure(self, address: str) -> None:
        self._registered_at.discard(address)
        self._controller_choice.health(address).record_failure(self._now())

    async def _register_at(self, address: str) -> None:
        if address in self._registered_at or self._leaving:
            return
        registration = self.me
        answer = await self._transport.call(address, RegisterMember(registration), CALL_TIMEOUT_S)
        if not isinstance(answer, MemberRegistered):
            raise PeerError("RegisterMember", address, "no registration there")
        if registration is self.me:
            self._registered_at.add(address)

    async def _pull(
        self, address: str, have: dict[str, int], take: Callable[[UpdatesResponse], list[str]]
    ) -> bool:
        """One long poll; False where the controller has lost most of the others, `PeerError` where none
        answers."""
        started = self._now()
        request = PullUpdates(self.me.name, have, PULL_WAIT_MS)
        answer = await self._transport.call(address, request, PULL_WAIT_MS / 1000 + PULL_TIMEOUT_MARGIN_S)
        if not isinstance(answer, UpdatesResponse):
            raise PeerError("PullUpdates", address, "no updates there")
        changed = take(answer)
        now = self._now()
        self._pause_detector.tick(now)
        heard_at = (
            started if self._pause_detector.paused_since(started) else now
        )  # it may have lain unread since
        self._last_pull_at[address] = max(heard_at, self._last_pull_at.get(address, -math.inf))
        self._controller_choice.health(address).record_pull(now, connected=answer.connected)
        if answer.connected:
            self._last_majority_at = max(heard_at - answer.age_ms / 1000, self._last_majority_at)
        if not changed and now - started < MIN_PULL_INTERVAL_S:
            await asyncio.sleep(MIN_PULL_INTERVAL_S)
        return answer.connected

    def _apply_updates(self, address: str, updates: UpdatesResponse) -> list[str]:
        changed = self.state.apply(updates.items, updates.have)
        lacking = self.state.items_missing_from(updates.have)
        if lacking:
            self._transport.send(address, ReadRepair(lacking))
        return changed

    # ---- a controller follows all others

    async def _follow_all_controllers(self, tasks: asyncio.TaskGroup) -> None:
        self._publish(self.me)
        while True:
            if self.state.view is None:
                await self._view_discovery.discover()
            wanted = {voter.address for voter in self._other_voters()}
            for address in [address for address in self._peer_tasks if address not in wanted]:
                self._peer_tasks.pop(address).cancel()
                self._peer_vectors.pop(address, None)
            for address in sorted(wanted - self._peer_tasks.keys()):
                self._peer_tasks[address] = tasks.create_task(self._follow_peer(address))
            self._view_changed.clear()
            await self._view_changed.wait()

    async def _follow_peer(self, address: str) -> None:
        """Pull from another controller.  The voters pull from each other only, so a controller that is no
        voter has to register with them."""
        backoff = Backoff(self._random)
        while True:
            try:
                if not self._is_voter():
                    await self._register_at(address)
                await self._pull(
                    address, self._vector_for_peer(address), partial(self._merge_updates, address)
                )
                backoff.reset()
            except PeerError:
                self._record_failure(address)
                await backoff.wait()
                now = self._now()
                if all(
                    self._controller_choice.health(voter.address).is_avoided(now)
                    for voter in self._other_voters()
                ):
                    await self._view_discovery.query()

    def _vector_for_peer(self, address: str) -> dict[str, int]:
        """What this feed has, and what that peer has already given: origins that one side has pruned are
        not sent again and again."""
        assert self._feed is not None
        have = self._feed.have
        for origin, counter in self._peer_vectors.get(address, {}).items():
            have[origin] = max(counter, have.get(origin, 0))
        return have

    def _merge_updates(self, address: str, updates: UpdatesResponse) -> list[str]:
        assert self._feed is not None
        self._peer_vectors[address] = updates.have
        return self._feed.merge(updates)

    def _handle_repair(self, repair: ReadRepair) -> None:
        """Publish members' states that the controllers have lost; nothing else may come from a reader."""
        if self._feed is not None:
            for item in repair.items:
                if item.key.startswith(MEMBER_PREFIX):
                    self._feed.publish(item.key, item.version, item.value)

    def _publish(self, member: Member) -> None:
        assert self._feed is not None
        self.me = member
        self._feed.publish(MEMBER_PREFIX + member.name, member_version(member), member)

    # ---- applying what was learnt

    def _apply_items(self, items: list[DistributedItem]) -> None:
        self.state.apply(items, {})

    def _apply_state(self, state: ControlState) -> None:
        values: list[tuple[str, int, Any]] = []
        if state.generation > 0:
            values.append((CONFIGURATION, state.generation, state.document))
        if state.placement is not None:
            values.append((PLACEMENT, state.placement.version, state.placement))
        for key, version, value in values:
            if self._feed is not None:
                self._feed.publish(key, [version], value)
            else:
                self._apply_items([DistributedItem(key, [version], SOLICITED_ORIGIN, 0, value)])

    def _on_state_changed(self, key: str) -> None:
        if key == VIEW:
            self._view_changed.set()
        elif key.startswith(MEMBER_PREFIX):
            self._members_changed = True
            if key == MEMBER_PREFIX + self.me.name:
                self._on_own_member_changed(self.state.members[self.me.name])

    def _on_own_member_changed(self, seen: Member) -> None:
        """Refute one's own death.  A greater incarnation seen at the start is that of an earlier life whose
        clock was ahead; seen later, it is a successor's, which is left alone."""
        if member_version(seen) == member_version(self.me):
            self._is_registration_distributed = True
        if self._leaving or member_version(seen) <= member_version(self.me):
            return
        if seen.incarnation == self.me.incarnation:
            self._reregister(evolve(self.me, status=seen.status + seen.status % 2))
        elif not self._is_registration_distributed:
            self._reregister(evolve(self.me, incarnation=seen.incarnation + 1, status=0))

    def _reregister(self, member: Member) -> None:
        self.me = member
        self._registered_at.clear()
        if self._feed is not None:
            asyncio.get_running_loop().call_soon(self._publish, member)

    # ---- failure detection

    async def _run_failure_detector(self) -> None:
        while True:
            now = self._now()
            self._pause_detector.tick(now)
            if self._members_changed:
                self._members_changed = False
                self._failure_monitor.update_members(self.state.live_members(), now)
            for suspicion in self._failure_monitor.tick(now):
                for voter in self._voters():
                    self._transport.send(voter.address, suspicion)
            if not self._leaving and self._failure_monitor.start_due_heartbeat(now):
                heartbeat = Heartbeat(self.me.name, self.me.incarnation)
                for member in self._failure_monitor.own_monitors:
                    self._transport.send(member.address, heartbeat)
            await asyncio.sleep(FAILURE_DETECTOR_TICK_S)

    # ---- small things

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def _try_call(self, address: str, message: Any, timeout: float = CALL_TIMEOUT_S) -> Any:
        with suppress(PeerError):
            return await self._transport.call(address, message, timeout)
        return None
