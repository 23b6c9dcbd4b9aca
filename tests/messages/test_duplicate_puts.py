"""A client repeats a put with unknown outcome at the next primary; the message must run only once."""

from __future__ import annotations

from hollowusher.messages.records import MessageKey, format_reference, pack_put
from tests.messages.test_partition import Partition, new_table
from tests.support.message_store import message


def put_at_deposed_primary() -> tuple[MessageKey, bytes]:
    """Return the key and record of an uncommitted put, which only the disconnected first primary has."""
    deposed = Partition(epoch=1)
    deposed.hold = True
    key = deposed.put(message("m0"))
    put = deposed.table.read_accepted(deposed.table.entries[key])
    assert put is not None
    return key, pack_put(0, key, put)


def test_completed_message_does_not_rerun_when_earlier_put_is_found() -> None:
    earlier, record = put_at_deposed_primary()
    successor = Partition(new_table(), epoch=2, now=101.0)
    later = successor.put(message("m0"))
    [grant] = successor.lease()
    assert successor.finish(grant, "success", "stamp") == "taken"
    successor.table.apply(record, successor.wall_ms)

    third = Partition(successor.table, epoch=3, now=110.0)
    assert earlier < later
    assert third.lease() == []
    third.sleep(30.0)
    assert third.lease() == []
    assert third.status(later).state == "completed"
    assert third.status(later).signature == "stamp"


def test_message_does_not_rerun_when_later_put_and_end_arrive_last() -> None:
    """The new primary starts with only the earlier put; the later put and its end arrive afterwards."""
    _, record = put_at_deposed_primary()
    successor = Partition(new_table(), epoch=2, now=101.0)
    later = successor.put(message("m0"))
    [grant] = successor.lease()
    assert successor.finish(grant, "success", "stamp") == "taken"

    table = new_table()
    table.apply(record, successor.wall_ms)
    third = Partition(table, epoch=3, now=110.0)
    for known in successor.table.requested_records([format_reference(0, later)], []):
        third.table.apply(known, third.wall_ms)
    third.primary.restore(later, third.now, third.wall_ms)
    third.commit()
    assert third.lease() == []
    assert third.status(later).state == "completed"


def test_later_put_runs_once_if_neither_has_run() -> None:
    _, record = put_at_deposed_primary()
    successor = Partition(new_table(), epoch=2, now=101.0)
    later = successor.put(message("m0"))
    successor.table.apply(record, successor.wall_ms)
    third = Partition(successor.table, epoch=3, now=110.0)
    third.commit()
    [grant] = third.lease(most=5)
    assert third.finish(grant, "success", "stamp") == "taken"
    assert third.lease() == []
    assert third.status(later).state == "completed"
