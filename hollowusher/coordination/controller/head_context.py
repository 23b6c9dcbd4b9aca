"""What the roles of one controller share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.coordination.cluster_state import MEMBER_PREFIX
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.membership.member_directory import MemberDirectory, member_version
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.coordination.placement.control_chain import ControlChain
from hollowusher.protocol.membership import Member
from hollowusher.transport.interface import Transport

TICK_S = 0.1  # how often each role looks whether this process is the head
MAX_STEP_S = TICK_S + 0.3  # a longer time between two ticks: this process was paused


@attrs.frozen(eq=False)
class HeadContext:
    """The shared state and means of one controller's roles.

    `MembershipService` owns what the directory holds, `WorkerListPublisher` and `ControlPublisher` only read
    it.  `clock` is the monotonic clock in seconds.
    """

    member: Member
    chain: ControlChain
    feed: UpdateFeed
    directory: MemberDirectory
    transport: Transport
    clock: Callable[[], float]
    pause_detector: PauseDetector = attrs.field(factory=lambda: PauseDetector(MAX_STEP_S))

    def check_for_pause(self) -> None:
        """Detect a pause of this process; the suspicions from before it may be outdated and are dropped."""
        if self.pause_detector.tick(self.clock()):
            self.directory.clear_suspicions()

    def paused_since(self, moment: float) -> bool:
        """Return whether a pause was detected at or after that moment."""
        return self.pause_detector.paused_since(moment)

    def publish_member(self, member: Member) -> None:
        """Distribute the state of a member to all processes."""
        self.feed.publish(MEMBER_PREFIX + member.name, member_version(member), member)
