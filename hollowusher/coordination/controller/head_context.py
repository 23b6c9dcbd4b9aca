"""The context that the cluster-wide roles of one controller share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.coordination.cluster_state import MEMBER_PREFIX
from hollowusher.coordination.controller.worker_list_timing import MAX_READ_INTERVAL_S
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.membership.member_directory import MemberDirectory, member_version
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.coordination.placement.control_chain import ControlChain
from hollowusher.protocol.membership import Member
from hollowusher.transport.interface import Transport

TICK_S = 0.1  # interval at which each role checks whether this process is the head
MAX_STEP_S = TICK_S + 0.3  # a longer interval between two ticks means that this process was paused


@attrs.frozen(eq=False)
class HeadContext:
    """The shared state and services of one controller's cluster-wide roles.

    `MembershipService` owns the contents of the directory; the other roles only read them.  `clock` returns
    the time of the monotonic clock in seconds.  The head reads the worker list every
    `worker_list_interval_s`.
    """

    member: Member
    chain: ControlChain
    feed: UpdateFeed
    directory: MemberDirectory
    transport: Transport
    clock: Callable[[], float]
    worker_list_interval_s: float = MAX_READ_INTERVAL_S
    pause_detector: PauseDetector = attrs.field(factory=lambda: PauseDetector(MAX_STEP_S))

    def check_for_pause(self) -> None:
        """Detect a pause of this process, and after a pause drop all suspicions because they may be stale."""
        if self.pause_detector.tick(self.clock()):
            self.directory.clear_suspicions()

    def paused_since(self, moment: float) -> bool:
        """Return whether a pause was detected at or after `moment`, a time of `clock` in seconds."""
        return self.pause_detector.paused_since(moment)

    def publish_member(self, member: Member) -> None:
        """Publish the state of a member in the feed, which distributes it to all processes."""
        self.feed.publish(MEMBER_PREFIX + member.name, member_version(member), member)
