"""Whether a controller may act as the head of the control chain.

A process that was paused finds unread answers and remembers reachable voters, both as old as the pause.  So
it leads again only once a quorum has confirmed, asked after the pause, that there is no newer view.
docs/control-safety/fencing.md has the argument.
"""

from __future__ import annotations

import asyncio

from hollowusher.coordination.controller.controller_context import ControllerContext
from hollowusher.coordination.controller.voter_monitor import VoterMonitor
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.protocol.fencing import CONTROL_CHAIN, FencingToken
from hollowusher.protocol.view import View

RETRY_S = 0.1
MAX_STEP_S = 0.4  # a longer time between two checks: this process was paused


class LeadershipCheck:
    """One controller's knowledge of whether it may lead; it owns the detector of its pauses."""

    def __init__(self, context: ControllerContext, monitor: VoterMonitor) -> None:
        self._context = context
        self._monitor = monitor
        self._pause_detector = PauseDetector(MAX_STEP_S)
        self._is_confirming_view = False

    def may_lead(self) -> bool:
        """Return whether this is the head of the newest known view and hears a quorum.

        It is False from a pause on until a quorum has confirmed the view.
        """
        self.check_for_pause()
        member, newest = self._context.chain_member, self._context.consensus.view
        view = member.view
        return (
            not self._is_confirming_view
            and view is not None
            and newest is not None
            and view.epoch == newest.epoch
            and not self._is_fenced(view)
            and member.is_head
            and member.complete
            and self._monitor.has_quorum(view)
        )

    def _is_fenced(self, view: View) -> bool:
        """Return whether a peer has named a later epoch than that of the view in use."""
        return self._context.transport.fences.fence_of(FencingToken(CONTROL_CHAIN, view.epoch)) is not None

    async def has_newest_view(self) -> bool:
        """Return whether a quorum says, asked now, that the view in use here is the newest."""
        return await self._context.consensus.quorum_confirms(self._context.chain_member.epoch)

    def check_for_pause(self) -> None:
        """Detect a pause of this process and ask the voters after one."""
        if self._pause_detector.tick(self._context.now()) and not self._is_confirming_view:
            self._is_confirming_view = True
            self._context.spawn(self._confirm_view())

    async def _confirm_view(self) -> None:
        while True:
            pauses_before = self._pause_detector.pause_count
            is_newest = await self.has_newest_view()
            self.check_for_pause()
            if is_newest and self._pause_detector.pause_count == pauses_before:
                break
            await asyncio.sleep(RETRY_S)
        self._is_confirming_view = False
