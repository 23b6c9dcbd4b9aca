"""The registration of this process as a member of the cluster."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from hollowusher.coordination.cluster_state import MEMBER_PREFIX
from hollowusher.coordination.distribution.client_context import CALL_TIMEOUT_S, ClientContext
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.membership.member_directory import member_version
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Member, MemberDeparting, MemberRegistered, RegisterMember
from hollowusher.transport.interface import PeerError

LEAVE_CALL_TIMEOUT_S = 0.5
LEAVE_TIMEOUT_S = 1.0


class OwnRegistration:
    """Owns the registration of this process, which the cluster distributes to all other processes.

    As in SWIM, a process that receives a report of its own death refutes it.  It does so by a registration
    with a higher version.
    """

    def __init__(self, context: ClientContext, member: Member, feed: UpdateFeed | None) -> None:
        self.member = member
        self.is_departing = False
        self._context = context
        self._feed = feed
        self._registered_at: set[str] = set()  # addresses of controllers that have the current registration
        self._is_distributed = False  # whether the cluster has distributed this incarnation's registration
        context.state.add_listener(self._on_state_changed)

    async def register_at(self, address: str) -> None:
        """Register with the controller at `address`, unless it has the current registration.

        Raises
        ------
        PeerError
            If no controller answers at `address`.
        """
        if address in self._registered_at or self.is_departing:
            return
        registration = self.member
        request = RegisterMember(registration)
        answer = await self._context.transport.call(address, request, CALL_TIMEOUT_S)
        if not isinstance(answer, MemberRegistered):
            raise PeerError("RegisterMember", address, "the peer does not accept registrations")
        if registration is self.member:
            self._registered_at.add(address)

    def forget(self, address: str) -> None:
        """Mark a failed controller for a new registration, because it may have lost the current one."""
        self._registered_at.discard(address)

    def publish(self, member: Member | None = None) -> None:
        """Publish the current registration, or `member` as the new one, in this controller's feed."""
        assert self._feed is not None
        self.member = self.member if member is None else member
        key = MEMBER_PREFIX + self.member.name
        self._feed.publish(key, member_version(self.member), self.member)

    async def leave(self) -> None:
        """Announce to a controller that this process is about to stop; give up after `LEAVE_TIMEOUT_S`."""
        self.is_departing = True
        if self._feed is not None:
            self.publish(evolve(self.member, status=self.member.status + 1, leaving=True))
        with suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._notify_departure(MemberDeparting(self.member.name, self.member.incarnation))

    async def _notify_departure(self, message: MemberDeparting) -> None:
        for voter in self._context.ranked_voters():
            if voter.address == self._context.address:
                continue
            with suppress(PeerError):
                answer = await self._context.transport.call(voter.address, message, LEAVE_CALL_TIMEOUT_S)
                if isinstance(answer, Acknowledgement):
                    return

    def _on_state_changed(self, key: str) -> None:
        if key == MEMBER_PREFIX + self.member.name:
            self._on_own_member_changed(self._context.state.members[self.member.name])

    def _on_own_member_changed(self, seen: Member) -> None:
        """Refute a report that this process is dead, if `seen` is newer than the current registration.

        If `seen` has a higher incarnation and arrives before the cluster has distributed this process's own
        registration, it belongs to an earlier process with a fast clock, and this process takes an even
        higher incarnation.  If it arrives later, it belongs to a successor of this process, and this
        process does nothing.
        """
        if member_version(seen) == member_version(self.member):
            self._is_distributed = True
        if self.is_departing or member_version(seen) <= member_version(self.member):
            return
        if seen.incarnation == self.member.incarnation:
            self._register_anew(evolve(self.member, status=seen.status + seen.status % 2))
        elif not self._is_distributed:
            self._register_anew(evolve(self.member, incarnation=seen.incarnation + 1, status=0))

    def _register_anew(self, member: Member) -> None:
        self.member = member
        self._registered_at.clear()
        if self._feed is not None:
            asyncio.get_running_loop().call_soon(self.publish, member)
