"""The check whether a controller may act as the head of the control chain.

After a pause, the unread responses of a process and its record of reachable voters may be stale by the length
of the pause.  The controller therefore acts as head again only after a quorum has confirmed, in response to
queries sent after the pause, that there is no newer view.  docs/control-safety/fencing.md explains why this
is safe.
"""

from __future__ import annotations

import asyncio

from hollowusher.coordination.controller.controller_context import ControllerContext
from hollowusher.coordination.controller.voter_monitor import VoterMonitor
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.protocol.fencing import CONTROL_CHAIN, FencingToken
from hollowusher.protocol.view import View

RETRY_S = 0.1
MAX_STEP_S = 0.4  # a longer interval between two checks means that this process was paused


class LeadershipCheck:
    """Decides whether one controller may act as head; it owns the controller's pause detector."""

    def __init__(self, context: ControllerContext, monitor: VoterMonitor) -> None:
        self._context = context
        self._monitor = monitor
        self._pause_detector = PauseDetector(MAX_STEP_S)
        self._is_confirming_view = False

    def may_lead(self) -> bool:
        """Return whether this controller is the head of the newest known view and reaches a quorum.

        After a pause the result is False until a quorum has confirmed the view.
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
        """Return whether a peer has reported a higher epoch than the one that this controller uses."""
        return self._context.transport.fences.fence_of(FencingToken(CONTROL_CHAIN, view.epoch)) is not None

    async def has_newest_view(self) -> bool:
        """Query the voters; return whether a quorum confirms that this controller uses the newest view."""
        return await self._context.consensus.quorum_confirms(self._context.chain_member.epoch)

    def check_for_pause(self) -> None:
        """Detect a pause of this process, and after a pause start to confirm the view with the voters."""
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
