"""Figures of one partition's queue: how many messages wait, for how long, and what a takeover found.

A message that has been accepted and does not run is in one of these stages; operators tell a delay that has
not passed, a lease that nobody finishes and a dispatcher that does not ask apart by them.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hollowusher.messages.partition.active_messages import ActiveMessage
from hollowusher.messages.partition.message_queue import QueueStage


@attrs.frozen
class QueueSummary:
    """The messages of one partition that have not ended, by stage."""

    waiting: int = 0  # for a time, or for earlier messages of their ordering key
    ready: int = 0  # a dispatcher may lease them now
    leased: int = 0
    suspended: int = 0  # their put or their end is not committed yet
    longest_wait_s: float = 0.0  # until the last of the waiting ones is ready
    without_put: int = 0  # records of messages whose PUT record is missing here

    def __add__(self, other: QueueSummary) -> QueueSummary:
        """Return the summary of both queues."""
        return QueueSummary(
            self.waiting + other.waiting,
            self.ready + other.ready,
            self.leased + other.leased,
            self.suspended + other.suspended,
            max(self.longest_wait_s, other.longest_wait_s),
            self.without_put + other.without_put,
        )

    @property
    def unfinished(self) -> int:
        """The number of messages that have not ended."""
        return self.waiting + self.ready + self.leased + self.suspended + self.without_put


def summarize_queue(active: Iterable[ActiveMessage], without_put: int, now: float) -> QueueSummary:
    """Return the summary of the messages that have not ended."""
    counts = dict.fromkeys(QueueStage, 0)
    longest_wait_s = 0.0
    for message in active:
        counts[message.stage] += 1
        if message.stage is QueueStage.WAITING:
            longest_wait_s = max(longest_wait_s, message.ready_at - now)
    return QueueSummary(
        counts[QueueStage.WAITING],
        counts[QueueStage.READY],
        counts[QueueStage.LEASED],
        counts[QueueStage.SUSPENDED],
        round(longest_wait_s, 3),
        without_put,
    )
