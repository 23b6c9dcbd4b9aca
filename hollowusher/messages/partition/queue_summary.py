"""Statistics of one partition's queue: the number of messages in each stage, and the longest wait.

Each accepted message that has not ended is in one of these stages.  By the stages operators can distinguish
a delay that has not passed, a lease that its holder does not finish, and a dispatcher that requests no jobs.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hollowusher.messages.partition.active_messages import ActiveMessage
from hollowusher.messages.partition.message_queue import MessageQueue, QueueStage


@attrs.frozen
class QueueSummary:
    """The number of unfinished messages by stage, in one partition or in several."""

    waiting: int = 0  # messages that wait until `ready_at`, or for earlier messages of their ordering key
    ready: int = 0  # messages that a dispatcher may lease now
    leased: int = 0
    suspended: int = 0  # messages whose put or end is not committed yet
    longest_wait_s: float = 0.0  # longest remaining time until `ready_at`, over all waiting messages
    without_put: int = 0  # unfinished messages whose PUT record is missing on this replica
    behind_key: int = 0  # those of the waiting messages that wait for an earlier one of their ordering key
    longest_behind_key_s: float = 0.0  # longest time since one of these was due; 0 while all are delayed

    def __add__(self, other: QueueSummary) -> QueueSummary:
        """Return the combined summary of two queues."""
        return QueueSummary(
            self.waiting + other.waiting,
            self.ready + other.ready,
            self.leased + other.leased,
            self.suspended + other.suspended,
            max(self.longest_wait_s, other.longest_wait_s),
            self.without_put + other.without_put,
            self.behind_key + other.behind_key,
            max(self.longest_behind_key_s, other.longest_behind_key_s),
        )

    @property
    def unfinished(self) -> int:
        """The number of messages that have not ended."""
        return self.waiting + self.ready + self.leased + self.suspended + self.without_put


def summarize_queue(
    queue: MessageQueue, active: Iterable[ActiveMessage], without_put: int, now: float
) -> QueueSummary:
    """Return the summary of the active messages; `without_put` is how many have no PUT record."""
    counts = dict.fromkeys(QueueStage, 0)
    longest_wait_s = 0.0
    behind_key = 0
    longest_behind_key_s = 0.0
    for message in active:
        counts[message.stage] += 1
        if message.stage is QueueStage.WAITING:
            longest_wait_s = max(longest_wait_s, message.ready_at - now)
        if queue.is_behind_key(message):
            behind_key += 1
            due_at = now if message.first_ready_at is None else message.first_ready_at
            longest_behind_key_s = max(longest_behind_key_s, now - due_at)
    return QueueSummary(
        counts[QueueStage.WAITING],
        counts[QueueStage.READY],
        counts[QueueStage.LEASED],
        counts[QueueStage.SUSPENDED],
        round(longest_wait_s, 3),
        without_put,
        behind_key,
        round(longest_behind_key_s, 3),
    )
