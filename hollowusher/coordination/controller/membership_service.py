"""Registration of members, and detection of their failures.

Every controller accepts registrations, departures and suspicions.  Only the head of the control chain
declares a member dead.  It does so when a majority of the member's monitors suspect the member, or, if fewer
monitors suspect it, when the head's own health check fails (compare the indirect probes of SWIM: Das, Gupta
and Motivala, 2002).
"""

from __future__ import annotations

import asyncio

from hollowusher.coordination.cluster_state import MEMBER_PREFIX
from hollowusher.coordination.controller.head_context import TICK_S, HeadContext
from hollowusher.coordination.member_role import MemberRole
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import (
    CheckIncarnation,
    Member,
    MemberDeparting,
    MemberRegistered,
    MemberSuspected,
    RegisterMember,
)
from hollowusher.transport.interface import PeerError

HEALTH_CHECK_TIMEOUT_S = 0.6
STALE_AFTER_PAUSE_S = 0.1  # a message handled this soon after a pause may have arrived during the pause


class MembershipService:
    """Membership management of one controller.

    The service owns the controller's member directory and updates it from the feed.  Member states published
    by other controllers therefore have the same effect as those that this controller publishes.
    """

    def __init__(self, context: HeadContext) -> None:
        self._context = context
        self._directory = context.directory
        self._members_being_checked: set[str] = set()
        context.feed.add_listener(self._on_item)

    def _on_item(self, item: DistributedItem) -> None:
        if item.key.startswith(MEMBER_PREFIX):
            self._directory.update(item.value, self._context.clock())

    def living_controllers(self) -> list[str]:
        """Return the names of the live controllers, including those that are not voters."""
        return [member.name for member in self._directory.live_members(MemberRole.EDGE) if member.controller]

    # -- messages --------------------------------------------------------------------------------------

    async def register(self, message: RegisterMember) -> MemberRegistered:
        """Publish the registration of a member."""
        self._context.publish_member(message.member)
        view = self._context.chain.view
        return MemberRegistered(0 if view is None else view.epoch)

    async def deregister(self, message: MemberDeparting) -> Acknowledgement:
        """Publish the departure of a member that is about to stop."""
        departing = self._directory.leaving_state(message)
        if departing is not None:
            self._context.publish_member(departing)
        return Acknowledgement()

    async def record_suspicion(self, message: MemberSuspected) -> None:
        """Record a suspicion, unless the message may have arrived during a pause of this process.

        Ignoring the message is safe because a monitor repeats its suspicion as long as the suspicion is
        valid.
        """
        now = self._context.clock()
        self._context.check_for_pause()
        if not self._context.paused_since(now - STALE_AFTER_PAUSE_S):
            self._directory.record_suspicion(message, now)

    # -- failure detection -----------------------------------------------------------------------------

    async def run(self, tasks: asyncio.TaskGroup) -> None:
        """Detect dead members while this process is the head; run until cancelled.

        Health checks run as tasks of the caller's task group.
        """
        while True:
            self._context.check_for_pause()
            if self._context.chain.is_head:
                self._detect_deaths(tasks)
            await asyncio.sleep(TICK_S)

    def _detect_deaths(self, tasks: asyncio.TaskGroup) -> None:
        """Publish members suspected by a majority of monitors as dead; check the health of other suspects."""
        now = self._context.clock()
        for dead in self._directory.confirmed_dead(now):
            self._context.publish_member(dead)
        for member in self._directory.unconfirmed_suspects(now):
            if member.name not in self._members_being_checked and member.name != self._context.member.name:
                self._members_being_checked.add(member.name)
                tasks.create_task(self._check_health(member))

    async def _check_health(self, member: Member) -> None:
        try:
            if await self._is_healthy(member):
                self._directory.clear_suspicion(member)
                return
            self._context.check_for_pause()
            dead = self._directory.unreachable_state(member, self._context.clock())
            if dead is not None and self._context.chain.is_head:
                self._context.publish_member(dead)
        finally:
            self._members_being_checked.discard(member.name)

    async def _is_healthy(self, member: Member) -> bool:
        """Return whether this incarnation of the member answers a health check.

        A different incarnation that runs at the same address does not count.
        """
        health_check = CheckIncarnation(member.name, member.incarnation)
        try:
            answer = await self._context.transport.call(member.address, health_check, HEALTH_CHECK_TIMEOUT_S)
        except PeerError:
            return False
        return isinstance(answer, Acknowledgement)
