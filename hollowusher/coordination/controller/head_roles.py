"""What a controller does for the whole system besides keeping its control state.

Every controller takes registrations and suspicions and publishes decided views and committed states.  The
head of the control chain alone judges deaths, reads the platform's list of workers, and keeps the placement
(`coordination/placement/placement_manager`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import Any, Protocol

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import (
    CONFIGURATION,
    MEMBER_PREFIX,
    PLACEMENT,
    VIEW,
    WORKERS,
)
from hollowusher.coordination.controller.worker_list_reader import PlatformError
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.member_role import MemberRole
from hollowusher.coordination.membership.member_directory import MemberDirectory, member_version
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.coordination.placement.placement_manager import ControlChain, PlacementManager
from hollowusher.coordination.placement.placement_manager import Update as Update
from hollowusher.log_events import LogFunction, no_log
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import PartitionStatus
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import (
    CheckIncarnation,
    Member,
    MemberDeparting,
    MemberRegistered,
    MemberSuspected,
    RegisterMember,
)
from hollowusher.protocol.operator_orders import OperatorResponse
from hollowusher.protocol.view import View
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList
from hollowusher.transport.interface import PeerError, Transport

TICK_S = 0.1
READ_INTERVAL_S = 1.0
FIRST_READ_DELAY_S = 0.15
HEALTH_CHECK_TIMEOUT_S = 0.6
WORKER_LIST_NOT_READ = -1.0
MAX_STEP_S = TICK_S + 0.3  # a longer one: this process did not run
REFUSAL_STATUSES = (404, 409)
UNAVAILABLE = OperatorResponse(503, b'{"error":"no majority of the controllers can be reached"}')
STALE_AFTER_PAUSE_S = 0.1  # for so long after a pause what comes may have lain unread


class WorkerListSource(Protocol):
    """What the duties need of the platform's list."""

    async def read(self) -> PlatformWorkerList | None:
        """The whole list; None where nothing new is to be believed yet, `PlatformError` after a failure."""


async def _assume_newest() -> bool:
    return True


class HeadRoles:
    """The roles of one controller, those of the chain's head among them.

    `has_newest_view` asks a majority whether the view in use here is still the newest.
    """

    MESSAGES: tuple[type, ...] = (
        RegisterMember,
        MemberDeparting,
        MemberSuspected,
        *PlacementManager.MESSAGES,
    )

    def __init__(
        self,
        me: Member,
        controller: ControlChain,
        feed: UpdateFeed,
        directory: MemberDirectory,
        settings: BootSettings,
        worker_list_source: WorkerListSource,
        transport: Transport,
        clock: Callable[[], float],
        log_line: LogFunction = no_log,
        has_newest_view: Callable[[], Awaitable[bool]] = _assume_newest,
    ) -> None:
        self._me = me
        self._has_newest_view = has_newest_view
        self._controller = controller
        self._feed = feed
        self._directory = directory
        self._worker_list_source = worker_list_source
        self._transport = transport
        self._clock = clock
        self._placement = PlacementManager(
            controller, directory, settings.fault_tolerance.machines, clock, log_line
        )
        self._members_in_check: set[str] = set()
        self._worker_list_read_at: float | None = None  # by this process as head
        self._pause_detector = PauseDetector(MAX_STEP_S)
        feed.add_listener(self._on_item)

    # ---- publishing

    def publish_view(self, view: View) -> None:
        """Distribute a decided view."""
        self._feed.publish(VIEW, [view.epoch], view)

    def publish_state(self, state: ControlState) -> None:
        """Distribute a committed state."""
        if state.generation > 0:
            self._feed.publish(CONFIGURATION, [state.generation], state.document)
        if state.placement is not None:
            self._feed.publish(PLACEMENT, [state.placement.version], state.placement)

    def _publish_member(self, member: Member) -> None:
        self._feed.publish(MEMBER_PREFIX + member.name, member_version(member), member)

    def _on_item(self, item: DistributedItem) -> None:
        if item.key.startswith(MEMBER_PREFIX):
            self._directory.update(item.value, self._clock())

    # ---- what an operator is told

    def partition_statuses(self) -> list[PartitionStatus]:
        """How each partition stands, as this controller knows it."""
        return self._placement.partition_statuses()

    def living_controllers(self) -> list[str]:
        """The living controllers, voters or not."""
        return [member.name for member in self._directory.live_members(MemberRole.EDGE) if member.controller]

    def worker_list_age_s(self) -> float:
        """How long ago this process last read the platform's whole list, -1 where it is not its reader."""
        if self._worker_list_read_at is None or not self._controller.is_head:
            return WORKER_LIST_NOT_READ
        return self._clock() - self._worker_list_read_at

    # ---- messages

    async def handle(self, message: Any) -> Any:
        """Answer one of `MESSAGES`."""
        if isinstance(message, RegisterMember):
            self._publish_member(message.member)
            view = self._controller.view
            return MemberRegistered(0 if view is None else view.epoch)
        if isinstance(message, MemberDeparting):
            dead = self._directory.leaving_state(message)
            if dead is not None:
                self._publish_member(dead)
            return Acknowledgement()
        if isinstance(message, MemberSuspected):
            self._handle_suspicion(message)
            return None
        if isinstance(message, PlacementManager.MESSAGES):
            return await self._confirm_refusal(await self._placement.handle(message))
        return None

    async def _confirm_refusal(self, answer: Any) -> Any:
        """An answer of the placement's part.  A refusal rests on what is known here alone: one whose
        successor knows more must not give it."""
        refused = isinstance(answer, OperatorResponse) and answer.status in REFUSAL_STATUSES
        return UNAVAILABLE if refused and not await self._has_newest_view() else answer

    def _handle_suspicion(self, suspicion: MemberSuspected) -> None:
        """Note a suspicion, unless it may have lain unread over a pause: it is repeated while it stands."""
        now = self._clock()
        self._notice_pause(now)
        if not self._pause_detector.paused_since(now - STALE_AFTER_PAUSE_S):
            self._directory.record_suspicion(suspicion, now)

    def _notice_pause(self, now: float) -> None:
        if self._pause_detector.tick(now):
            self._directory.clear_suspicions()

    # ---- the loops

    async def run(self) -> None:
        """Do the duties whenever this process is the head; runs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_death_detection(tasks))
            tasks.create_task(self._placement.run())
            tasks.create_task(self._run_worker_list_reads())

    async def _run_death_detection(self, tasks: asyncio.TaskGroup) -> None:
        while True:
            self._notice_pause(self._clock())
            if self._controller.is_head:
                self._detect_deaths(tasks)
            await asyncio.sleep(TICK_S)

    def _detect_deaths(self, tasks: asyncio.TaskGroup) -> None:
        """Publish the deaths that the monitors agree on, and try those that they do not agree on."""
        now = self._clock()
        for dead in self._directory.confirmed_dead(now):
            self._publish_member(dead)
        for member in self._directory.unconfirmed_suspects(now):
            if member.name not in self._members_in_check and member.name != self._me.name:
                self._members_in_check.add(member.name)
                tasks.create_task(self._check_health(member))

    async def _check_health(self, member: Member) -> None:
        try:
            health_check = CheckIncarnation(member.name, member.incarnation)
            answer = await self._transport.call(member.address, health_check, HEALTH_CHECK_TIMEOUT_S)
            if not isinstance(answer, Acknowledgement):
                raise PeerError("CheckIncarnation", member.address, "another life is there")
            self._directory.clear_suspicion(member)
        except PeerError:
            self._notice_pause(self._clock())
            dead = self._directory.unreachable_state(member, self._clock())
            if dead is not None and self._controller.is_head:
                self._publish_member(dead)
        finally:
            self._members_in_check.discard(member.name)

    # ---- the platform's list

    async def _run_worker_list_reads(self) -> None:
        was_head = False
        while True:
            is_head = self._controller.is_head
            if not is_head:
                await asyncio.sleep(TICK_S)
            elif not was_head:
                await asyncio.sleep(FIRST_READ_DELAY_S)
            else:
                started = self._clock()
                await self._read_worker_list()
                await asyncio.sleep(max(TICK_S, started + READ_INTERVAL_S - self._clock()))
            was_head = is_head

    async def _read_worker_list(self) -> None:
        """Read the list and distribute it, unless another may be the head since, or this process stood still
        while it was read: then it is as old as the pause."""
        asked_at = self._clock()
        with suppress(PlatformError):
            worker_list = await self._worker_list_source.read()
            self._notice_pause(self._clock())
            if worker_list is None or self._pause_detector.paused_since(asked_at):
                return
            self._worker_list_read_at = self._clock()
            view = self._controller.view
            if view is not None and self._controller.is_head:
                self._publish_workers(worker_list, view)

    def _publish_workers(self, worker_list: PlatformWorkerList, view: View) -> None:
        """Distribute a list that says something new.  Its version is [epoch, incarnation, counter], which
        grows over changes of the head and over restarts of one."""
        known = self._feed.item(WORKERS)
        if known is not None and _same_workers(known.value.workers, worker_list.workers):
            return
        prefix = [view.epoch, self._me.incarnation]
        counter = known.version[2] + 1 if known is not None and list(known.version[:2]) == prefix else 1
        self._feed.publish(WORKERS, [*prefix, counter], worker_list)


def _same_workers(known: Iterable[PlatformWorker], read: Iterable[PlatformWorker]) -> bool:
    """Whether two lists say the same; the time left to warm up counts only as some or none."""
    return [_without_warmup_progress(worker) for worker in known] == [
        _without_warmup_progress(worker) for worker in read
    ]


def _without_warmup_progress(worker: PlatformWorker) -> PlatformWorker:
    return evolve(worker, warm_in_ms=min(1, worker.warm_in_ms))
