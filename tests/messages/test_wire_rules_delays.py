"""Rule ORDER: the delay of a message never ends early, although the wall clocks of machines differ."""

from __future__ import annotations

import pytest

from hollowusher.messages import records
from hollowusher.messages.partition.partition_table import CLOCK_SKEW_MARGIN_MS, PartitionTable
from hollowusher.messages.records import AcceptedMessage, MessageStatus
from tests.messages.test_partition import Partition, new_table
from tests.support.message_store import EPOCH_MS, message


class Replica(Partition):
    """A primary whose wall clock is ahead of that of the machine that accepted the message."""

    def __init__(self, table: PartitionTable, now: float, ahead_ms: int) -> None:
        self.ahead_ms = ahead_ms
        super().__init__(table, 2, now)

    @property
    def wall_ms(self) -> int:
        return EPOCH_MS + int(self.now * 1000) + self.ahead_ms


def put_record(delay_ms: int, accepted_ms: int) -> bytes:
    new = message("m", delay_ms=delay_ms)
    return records.pack_put(0, (1, 7), AcceptedMessage(accepted_ms, accepted_ms + delay_ms, 1, new))


@pytest.mark.parametrize("ahead_ms", [-2_000, -300, 0, 300, 2_000])
def test_delay_continues_by_the_receiving_replicas_clock_after_takeover(ahead_ms: int) -> None:
    accepted_s = 100.0
    table = new_table()
    accepted_ms = EPOCH_MS + int(accepted_s * 1000)
    table.apply(put_record(1_500, accepted_ms), accepted_ms + 2 + ahead_ms)  # the record took 2 ms to arrive
    replica = Replica(table, accepted_s + 0.6, ahead_ms)
    replica.sleep(0.899)
    assert replica.lease() == []
    replica.sleep(0.010)
    assert len(replica.lease()) == 1


def test_replayed_delay_includes_clock_skew_margin() -> None:
    accepted_s = 100.0
    accepted_ms = EPOCH_MS + int(accepted_s * 1000)
    first = new_table()
    record = put_record(1_500, accepted_ms)
    first.apply(record, accepted_ms)
    position = first.entries[(1, 7)].put_position
    assert position is not None
    table = PartitionTable(0, first._log, first._cache, 60_000)
    table.replay(record, records.unpack_header(record), position, accepted_ms + 400)
    replica = Replica(table, accepted_s + 0.6, ahead_ms=CLOCK_SKEW_MARGIN_MS)
    replica.sleep(0.899)
    assert replica.lease() == []
    replica.sleep(0.010)
    assert len(replica.lease()) == 1


def test_message_without_delay_ignores_clock_differences() -> None:
    accepted_ms = EPOCH_MS + 100_000
    table = new_table()
    table.apply(put_record(0, accepted_ms), accepted_ms)
    replica = Replica(table, 100.1, ahead_ms=-2_000)
    assert len(replica.lease()) == 1
    assert replica.table.entries[(1, 7)].status is MessageStatus.LEASED
