"""The summary of the unfinished messages of a partition."""

from __future__ import annotations

from hollowusher.messages import records
from hollowusher.messages.partition.queue_summary import QueueSummary
from hollowusher.messages.records import MessageState, MessageStatus
from tests.messages.test_partition import Partition
from tests.support.message_store import message


def test_each_message_counts_in_its_stage() -> None:
    partition = Partition()
    partition.put(message("delayed", delay_ms=20_000))
    partition.put(message("more-delayed", delay_ms=30_000))
    for name in ("a", "b", "c"):
        partition.put(message(name))
    partition.lease()
    assert partition.primary.queue_summary(partition.now) == QueueSummary(2, 2, 1, 0, 30.0, 0)


def test_uncommitted_message_is_suspended() -> None:
    partition = Partition()
    partition.hold = True
    partition.put(message("a"))
    assert partition.primary.queue_summary(partition.now) == QueueSummary(suspended=1)


def test_ended_message_is_not_counted() -> None:
    partition = Partition()
    partition.put(message("a"))
    [grant] = partition.lease()
    partition.finish(grant, "success")
    assert partition.primary.queue_summary(partition.now).unfinished == 0


def test_state_without_put_record_is_counted() -> None:
    partition = Partition()
    state = records.pack_state(0, (1, 7), MessageState((1, 8), MessageStatus.QUEUED))
    partition.table.apply(state, partition.wall_ms)
    after = partition.taken_over()
    assert after.primary.queue_summary(after.now) == QueueSummary(without_put=1)


def test_summaries_add_up_and_keep_the_longest_wait() -> None:
    total = QueueSummary(1, 2, 3, 4, 5.0, 6, 7, 8.0) + QueueSummary(10, 20, 30, 40, 0.5, 60, 70, 9.0)
    assert total == QueueSummary(11, 22, 33, 44, 5.0, 66, 77, 9.0)
    assert total.unfinished == 11 + 22 + 33 + 44 + 66


def test_messages_behind_an_earlier_one_of_their_key_are_counted_with_the_longest_time() -> None:
    partition = Partition()
    partition.put(message("first", ordering_key="k"))
    partition.put(message("second", ordering_key="k"))
    partition.put(message("delayed", ordering_key="k", delay_ms=20_000))
    partition.put(message("other", ordering_key="l"))
    partition.lease()
    partition.sleep(5.0)
    summary = partition.primary.queue_summary(partition.now)
    assert (summary.waiting, summary.behind_key, summary.longest_behind_key_s) == (2, 2, 5.0)
