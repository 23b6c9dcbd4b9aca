"""A chain member rejects and counts stray, damaged or foreign chain messages, and keeps its state."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from hollowusher.coordination.chain.record_fetcher import RecordBuffer, RecordFetcher, read_chunk
from hollowusher.coordination.chain.state_record import (
    CHUNK_BYTES,
    MAX_RECORD_BYTES,
    StateRecord,
    make_record,
    strip_record,
)
from hollowusher.coordination.chain.state_store import StateStore
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import (
    ChainWrite,
    ChainWritten,
    ControlState,
    ReadStateRecord,
    StateRecordChunk,
)
from hollowusher.storage.memory import MemorySlot
from tests.coordination.chain.test_large_documents import (
    large_body,
    member,
    send_until_acknowledged,
    sized_cluster,
    virtual,
)
from tests.support.controller_cluster import ControllerCluster

LARGE = 3 * CHUNK_BYTES + 100


def record_of(size: int, mark: str = "x") -> StateRecord:
    return make_record(ControlState(1, 1, mark.encode() * size, [[1, b"digest"]]))


def store() -> StateStore:
    return StateStore(MemorySlot(), [MemorySlot(), MemorySlot()])


# -- writes ------------------------------------------------------------------------------------------------


def next_write(cluster: ControllerCluster) -> ChainWrite:
    """Return a write that the second member would accept from the head."""
    head = member(cluster["a"])
    state = evolve(head.state, sequence=head.state.sequence + 1)
    return ChainWrite(head.epoch, state, cluster=head.view.cluster, sender="a", receiver_disk="disk-b")


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"cluster": "another"}, "write: another cluster"),
        ({"receiver_disk": "another"}, "write: another disk"),
        ({"epoch": 7}, "write: another epoch"),
        ({"epoch": 0}, "write: another epoch"),
        ({"sender": "c"}, "write: not from the member before"),
        ({"sender": "stranger"}, "write: not from the member before"),
    ],
)
@virtual
async def test_a_stray_write_is_rejected_and_counted(fields: dict[str, Any], reason: str) -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    await cluster.put_at_any_node(1, 0)
    cluster_view = evolve(member(cluster["b"]).view, cluster="this one")
    member(cluster["b"]).view = cluster_view  # replaces the random name by a known one
    files, state = dict(cluster["b"].files), member(cluster["b"]).state
    write = evolve(next_write(cluster), **{"cluster": "this one", **fields})
    answer = await cluster["b"].running.handle(write)
    assert isinstance(answer, ChainWritten)
    assert not answer.ok
    assert answer.epoch == (0 if fields.get("cluster") == "another" else 1)
    assert cluster["b"].running.rejected_writes[reason] == 1
    assert cluster["b"].files == files
    assert member(cluster["b"]).state is state
    assert member(cluster["c"]).state == member(cluster["a"]).state


@virtual
async def test_a_delayed_duplicate_of_an_earlier_write_changes_nothing() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    await cluster.put_at_any_node(1, 0)
    early = evolve(next_write(cluster), state=member(cluster["a"]).state)
    await cluster.put_at_any_node(2, 1)
    files = dict(cluster["b"].files)
    answer = await cluster["b"].receive_write(early)
    assert not answer.ok
    assert cluster["b"].files == files
    assert cluster["b"].running.rejected_writes["write: older than the state held"] == 1
    again = evolve(early, state=member(cluster["a"]).state)
    # The repeated newest write is acknowledged but not saved again.
    assert (await cluster["b"].receive_write(again)).ok
    assert cluster["b"].files == files


@virtual
async def test_a_write_with_an_unknown_record_is_rejected_as_lacking() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    await cluster.put_at_any_node(1, 0)
    write = next_write(cluster)
    files = dict(cluster["b"].files)
    unknown = evolve(write, state=strip_record(write.state), record=b"0" * 16)
    for _ in range(3):
        answer = await cluster["b"].receive_write(unknown)
        assert not answer.ok
        assert answer.lacking == "b"
    await cluster.until(lambda: cluster["b"].running.rejected_writes["record: not held"] > 0, 5.0)
    assert cluster["b"].files == files
    await cluster.put_at_any_node(2, 1)


# -- records -----------------------------------------------------------------------------------------------


def chunks(record: StateRecord) -> list[StateRecordChunk]:
    return [read_chunk(record, offset) for offset in range(0, len(record.encoded), CHUNK_BYTES)]


def test_a_record_is_complete_after_its_chunks_in_order() -> None:
    record = record_of(LARGE)
    buffer = RecordBuffer(record.digest)
    for chunk in chunks(record):
        assert not buffer.is_complete
        assert buffer.add_chunk(chunk) == ""
    assert buffer.is_complete
    found = buffer.finish()
    assert found is not None
    assert found.encoded == record.encoded


def test_chunks_that_do_not_fit_are_rejected() -> None:
    record, other = record_of(LARGE), record_of(LARGE, "y")
    first, second, *_ = chunks(record)
    buffer = RecordBuffer(record.digest)
    assert buffer.add_chunk(StateRecordChunk(b"", 0, 0, b"")) == "not held"
    assert buffer.add_chunk(chunks(other)[0]) == "not held"
    assert buffer.add_chunk(second) == "cut short"
    assert buffer.add_chunk(evolve(first, data=b"")) == "cut short"
    assert buffer.add_chunk(evolve(first, size=0)) == "wrong size"
    assert buffer.add_chunk(evolve(first, size=MAX_RECORD_BYTES + 1)) == "wrong size"
    assert buffer.add_chunk(evolve(first, size=10)) == "cut short"
    assert buffer.offset == 0
    assert buffer.add_chunk(first) == ""
    assert buffer.add_chunk(first) == "cut short"  # a duplicate chunk
    assert buffer.add_chunk(evolve(second, size=second.size + 1)) == "wrong size"
    assert buffer.add_chunk(second) == ""
    assert buffer.offset == 2 * CHUNK_BYTES


def test_a_record_with_a_wrong_digest_is_dropped_and_fetched_again() -> None:
    record = record_of(LARGE)
    corrupt = [evolve(chunk, data=bytes([chunk.data[0] ^ 1]) + chunk.data[1:]) for chunk in chunks(record)]
    buffer = RecordBuffer(record.digest)
    for chunk in [*corrupt[:1], *chunks(record)[1:]]:
        assert buffer.add_chunk(chunk) == ""
    assert buffer.is_complete
    assert buffer.finish() is None
    assert buffer.offset == 0
    assert not buffer.is_complete
    for chunk in chunks(record):
        assert buffer.add_chunk(chunk) == ""
    assert buffer.finish() is not None


def test_reading_beyond_a_record_or_an_unknown_record_returns_an_empty_chunk() -> None:
    record = record_of(100)
    for offset in (-1, len(record.encoded), 10**9):
        assert read_chunk(record, offset) == StateRecordChunk(b"", 0, offset, b"")
    assert read_chunk(None, 0) == StateRecordChunk(b"", 0, 0, b"")


@virtual
async def test_a_record_request_of_another_cluster_is_rejected() -> None:
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    await cluster.put_at_any_node(1, 0)
    held = member(cluster["b"])
    held.view = evolve(held.view, cluster="this one")
    answer = await cluster["b"].running.handle(ReadStateRecord(b"", 0, "another"))
    assert answer == StateRecordChunk(b"", 0, 0, b"")
    assert cluster["b"].running.rejected_writes["record: another cluster"] == 1
    answer = await cluster["b"].running.handle(ReadStateRecord(b"", 0, "this one"))
    assert isinstance(answer, StateRecordChunk)
    assert answer.digest == make_record(held.state).digest


@virtual
async def test_an_interrupted_fetch_resumes_at_the_missing_chunk() -> None:
    cluster = await sized_cluster()
    await cluster["c"].kill()
    await send_until_acknowledged(cluster, large_body(1), 0)
    source = cluster["a"]
    record = make_record(member(source).state)
    disk = store()
    offsets: list[int] = []

    class InterruptedTransport:
        """A transport that delivers an empty chunk in the middle of the fetch."""

        async def call(self, address: str, message: ReadStateRecord, timeout: float) -> Any:
            offsets.append(message.offset)
            if len(offsets) == 5:
                return evolve(await source.running.handle(message), data=b"")
            return await source.running.handle(message)

    counts: Counter[str] = Counter()
    work: list[Any] = []
    fetch = RecordFetcher(InterruptedTransport(), disk, work.append, counts)  # type: ignore[arg-type]
    fetch.fetch(record.digest, source.address, "")
    assert not disk.is_durable(record.digest)
    await work.pop()
    assert disk.is_durable(record.digest)
    assert counts == {"record: cut short": 1}
    assert offsets == [0, *(CHUNK_BYTES * n for n in (1, 2, 3, 4, 4)), *offsets[6:]]
    assert sorted(set(offsets)) == list(range(0, len(record.encoded), CHUNK_BYTES))
