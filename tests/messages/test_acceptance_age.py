"""Ages that stores send along with the PUT records of delayed messages, so that wall clocks may differ."""

from __future__ import annotations

import pytest

from hollowusher.messages import records
from hollowusher.messages.partition.partition_table import (
    CLOCK_SKEW_MARGIN_MS,
    PartitionTable,
    RecordCache,
)
from hollowusher.messages.records import (
    AcceptedMessage,
    MessageState,
    MessageStatus,
    RecordKind,
    TransientRecordKind,
)
from hollowusher.messages.replication.acceptance_age import MIN_AGE_MS, with_ages
from hollowusher.storage.memory import MemoryLog
from tests.messages.test_partition import new_table
from tests.support.message_store import EPOCH_MS, message

KEY = (1, 7)
DELAY_MS = 30_000


def put_record(delay_ms: int = DELAY_MS) -> bytes:
    accepted = AcceptedMessage(EPOCH_MS, EPOCH_MS + delay_ms, 1, message("m", delay_ms=delay_ms))
    return records.pack_put(0, KEY, accepted)


def records_to_send(table: PartitionTable, wall_ms: int) -> list[bytes]:
    """Return the records that the store of this table sends to a store without any records."""
    found = table.missing_records(table.entries[KEY], None)
    return list(with_ages(table, found, lambda: wall_ms))


def due_at_ms(table: PartitionTable) -> int:
    due = table.due_at_ms(table.entries[KEY])
    assert due is not None
    return due


@pytest.mark.parametrize("sender_ahead_ms", [-9_000, 0, 9_000])
@pytest.mark.parametrize("receiver_ahead_ms", [-9_000, 0, 9_000])
def test_delay_ends_on_time_despite_clock_differences(sender_ahead_ms: int, receiver_ahead_ms: int) -> None:
    sender, receiver = new_table(), new_table()
    sender.apply(put_record(), EPOCH_MS + sender_ahead_ms)
    for record in records_to_send(sender, EPOCH_MS + sender_ahead_ms + 12_000):
        receiver.apply(record, EPOCH_MS + receiver_ahead_ms + 12_000)
    assert due_at_ms(receiver) == EPOCH_MS + receiver_ahead_ms + DELAY_MS


def test_age_is_preserved_across_several_stores() -> None:
    table = new_table()
    table.apply(put_record(), EPOCH_MS)
    for hop in range(1, 5):
        following = new_table()
        for record in records_to_send(table, EPOCH_MS + hop * 5_000):
            following.apply(record, EPOCH_MS + hop * 5_000)
        table = following
    assert due_at_ms(table) == EPOCH_MS + DELAY_MS


def test_expired_delay_does_not_restart() -> None:
    sender, receiver = new_table(), new_table()
    sender.apply(put_record(), EPOCH_MS)
    late_ms = EPOCH_MS + 2 * DELAY_MS
    for record in records_to_send(sender, late_ms):
        receiver.apply(record, late_ms)
    assert due_at_ms(receiver) == EPOCH_MS + DELAY_MS


def test_age_of_replayed_message_is_reduced_by_clock_margin() -> None:
    first = new_table()
    record = put_record()
    first.apply(record, EPOCH_MS)
    position = first.entries[KEY].put_position
    assert position is not None
    replayed = PartitionTable(0, first._log, first._cache, 60_000)
    replayed.replay(record, records.unpack_header(record), position, EPOCH_MS + 5_000)
    age, _ = records_to_send(replayed, EPOCH_MS + 5_000)
    assert records.unpack_acceptance_age(age) == 5_000 - CLOCK_SKEW_MARGIN_MS


def test_fresh_undelayed_and_ended_messages_are_sent_without_age() -> None:
    fresh, undelayed, ended = new_table(), new_table(), new_table()
    fresh.apply(put_record(), EPOCH_MS)
    undelayed.apply(put_record(delay_ms=0), EPOCH_MS)
    ended.apply(put_record(), EPOCH_MS)
    state = MessageState((1, 8), MessageStatus.DEAD_LETTER, ended_wall_ms=EPOCH_MS)
    ended.apply(records.pack_state(0, KEY, state), EPOCH_MS)
    kinds = [
        {records.unpack_header(record).kind for record in records_to_send(table, wall_ms)}
        for table, wall_ms in (
            (fresh, EPOCH_MS + MIN_AGE_MS - 1),
            (undelayed, EPOCH_MS + 10_000),
            (ended, EPOCH_MS + 10_000),
        )
    ]
    assert TransientRecordKind.ACCEPTANCE_AGE not in set().union(*kinds)


def test_age_is_not_stored_and_applies_to_one_put_record() -> None:
    log = MemoryLog(segments=256)
    table = PartitionTable(0, log, RecordCache(100_000), 60_000)
    empty = log.free_bytes()
    table.apply(records.pack_acceptance_age(0, KEY, 8_000), EPOCH_MS + 8_000)
    assert log.free_bytes() == empty
    assert table.entries == {}
    table.apply(put_record(), EPOCH_MS + 8_000)
    assert due_at_ms(table) == EPOCH_MS + DELAY_MS
    table.apply(records.pack_acceptance_age(0, KEY, 20_000), EPOCH_MS + 20_000)
    table.apply(put_record(), EPOCH_MS + 20_000)  # the table already has this record
    assert due_at_ms(table) == EPOCH_MS + DELAY_MS
    assert table._announced_ages_ms == {}


def test_transient_kinds_differ_from_stored_kinds() -> None:
    assert not {kind.value for kind in TransientRecordKind} & {kind.value for kind in RecordKind}
