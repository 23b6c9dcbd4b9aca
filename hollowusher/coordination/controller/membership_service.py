"""Registration of members, and detection of their deaths.

Every controller accepts registrations, departures and suspicions.  The head of the control chain alone
decides deaths: a member is dead once most of its monitors suspect it, or where they do not agree, once the
head's own health check fails (compare the indirect probes of SWIM: Das, Gupta and Motivala, 2002).
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
STALE_AFTER_PAUSE_S = 0.1  # messages handled this soon after a pause may have been received during it


class MembershipService:
    """One controller's share in the membership.

    It owns the controller's member directory, which follows the feed: a state that another controller has
    published counts like one published here.
    """

    def __init__(self, context: HeadContext) -> None:
        self._context = context
        self._directory = context.directory
        self._members_in_check: set[str] = set()
        context.feed.add_listener(self._on_item)

    def _on_item(self, item: DistributedItem) -> None:
        if item.key.startswith(MEMBER_PREFIX):
            self._directory.update(item.value, self._context.clock())

    def living_controllers(self) -> list[str]:
        """Return the names of the living controllers, voters or not."""
        return [member.name for member in self._directory.live_members(MemberRole.EDGE) if member.controller]

    # -- messages --------------------------------------------------------------------------------------

    async def register(self, message: RegisterMember) -> MemberRegistered:
        """Publish the registration of a member."""
        self._context.publish_member(message.member)
        view = self._context.chain.view
        return MemberRegistered(0 if view is None else view.epoch)

    async def deregister(self, message: MemberDeparting) -> Acknowledgement:
        """Publish that a member is about to stop."""
        departing = self._directory.leaving_state(message)
        if departing is not None:
            self._context.publish_member(departing)
        return Acknowledgement()

    async def record_suspicion(self, message: MemberSuspected) -> None:
        """Record a suspicion, unless it may have been received during a pause of this process.

        Monitors repeat a suspicion while it stands, so that nothing is lost by that.
        """
        now = self._context.clock()
        self._context.check_for_pause()
        if not self._context.paused_since(now - STALE_AFTER_PAUSE_S):
            self._directory.record_suspicion(message, now)

    # -- detection of deaths ---------------------------------------------------------------------------

    async def run(self, tasks: asyncio.TaskGroup) -> None:
        """Detect deaths while this process is the head; run until cancelled.

        Health checks run as tasks of the caller's group.
        """
        while True:
            self._context.check_for_pause()
            if self._context.chain.is_head:
                self._detect_deaths(tasks)
            await asyncio.sleep(TICK_S)

    def _detect_deaths(self, tasks: asyncio.TaskGroup) -> None:
        """Publish the deaths on which the monitors agree; check the members on which they do not."""
        now = self._context.clock()
        for dead in self._directory.confirmed_dead(now):
            self._context.publish_member(dead)
        for member in self._directory.unconfirmed_suspects(now):
            if member.name not in self._members_in_check and member.name != self._context.member.name:
                self._members_in_check.add(member.name)
                tasks.create_task(self._check_health(member))

    async def _check_health(self, member: Member) -> None:
        try:
            if await self._answers(member):
                self._directory.clear_suspicion(member)
                return
            self._context.check_for_pause()
            dead = self._directory.unreachable_state(member, self._context.clock())
            if dead is not None and self._context.chain.is_head:
                self._context.publish_member(dead)
        finally:
            self._members_in_check.discard(member.name)

    async def _answers(self, member: Member) -> bool:
        """Return whether this incarnation of the member answers; another one at its address does not."""
        health_check = CheckIncarnation(member.name, member.incarnation)
        try:
            answer = await self._context.transport.call(member.address, health_check, HEALTH_CHECK_TIMEOUT_S)
        except PeerError:
            return False
        return isinstance(answer, Acknowledgement)
