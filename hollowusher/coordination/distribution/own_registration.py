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
    """The process as the others know it.

    It owns the present registration.  A process that finds itself called dead refutes that, as in SWIM, by a
    registration with a greater version.
    """

    def __init__(self, context: ClientContext, member: Member, feed: UpdateFeed | None) -> None:
        self.member = member
        self.is_departing = False
        self._context = context
        self._feed = feed
        self._registered_at: set[str] = set()  # the controllers that know the present registration
        self._is_distributed = False  # the cluster has a registration of this incarnation
        context.state.add_listener(self._on_state_changed)

    async def register_at(self, address: str) -> None:
        """Register with a controller, unless it knows the present registration.

        Raises
        ------
        PeerError
            If no controller answers there.
        """
        if address in self._registered_at or self.is_departing:
            return
        registration = self.member
        request = RegisterMember(registration)
        answer = await self._context.transport.call(address, request, CALL_TIMEOUT_S)
        if not isinstance(answer, MemberRegistered):
            raise PeerError("RegisterMember", address, "the peer takes no registrations")
        if registration is self.member:
            self._registered_at.add(address)

    def forget(self, address: str) -> None:
        """Register again with a controller that has failed: it may have lost the registration."""
        self._registered_at.discard(address)

    def publish(self, member: Member | None = None) -> None:
        """Publish the present registration, or a new one, in the feed of this controller."""
        assert self._feed is not None
        self.member = self.member if member is None else member
        key = MEMBER_PREFIX + self.member.name
        self._feed.publish(key, member_version(self.member), self.member)

    async def leave(self) -> None:
        """Notify a controller that this process is about to stop; give up after `LEAVE_TIMEOUT_S`."""
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
        """Refute the death of this process.

        A greater incarnation seen at the start is that of an earlier process whose clock was ahead; seen
        later, it is a successor's, which is left alone.
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
