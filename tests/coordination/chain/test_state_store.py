"""Control state on disk: after a crash or a failed save at any point a complete state can be loaded."""

from __future__ import annotations

import asyncio
import random

import pytest

from hollowusher.coordination.chain.chain_member import EMPTY_STATE, ChainMember, encode_write
from hollowusher.coordination.chain.state_record import (
    MAX_EMBEDDED_BYTES,
    decode_record,
    make_record,
    strip_record,
)
from hollowusher.coordination.chain.state_store import StateStore
from hollowusher.coordination.consensus.paxos import first_view
from hollowusher.protocol.codec import encode, evolve
from hollowusher.protocol.control_chain import ChainWrite, ControlState
from hollowusher.protocol.view import View, Voter
from hollowusher.storage.interface import StorageError

SEEDS = 300
STEPS = 30


class Crash(BaseException):
    """The machine loses power."""


class FaultyDisk:
    """The values of some slots.  A save may fail or crash; the slot then has the old or the new value."""

    def __init__(self, random_source: random.Random, failing: float = 0.0, crashing: float = 0.0) -> None:
        self.random_source = random_source
        self.failing = failing
        self.crashing = crashing
        self.values: dict[str, bytes] = {}

    def store(self) -> StateStore:
        slots = [FaultySlot(self, name) for name in ("state", "record-a", "record-b")]
        return StateStore(slots[0], slots[1:])


class FaultySlot:
    """One slot of a `FaultyDisk`."""

    def __init__(self, disk: FaultyDisk, name: str) -> None:
        self._disk = disk
        self._name = name

    def load(self) -> bytes | None:
        return self._disk.values.get(self._name)

    async def save(self, value: bytes) -> None:
        disk = self._disk
        await asyncio.sleep(0)
        outcome = disk.random_source.random()
        has_fault = outcome < disk.failing + disk.crashing
        if not has_fault or disk.random_source.random() < 0.5:
            disk.values[self._name] = value
        if outcome < disk.failing:
            raise StorageError("save", self._name, "no space left")
        if has_fault:
            raise Crash


def state_of(sequence: int, size: int) -> ControlState:
    text = f"{sequence} ".encode()
    return ControlState(sequence, sequence, text + b"x" * size, [[sequence, b"digest"]])


def loaded(disk: FaultyDisk) -> ControlState:
    saved = disk.store().load()
    if saved is None:
        return EMPTY_STATE
    assert saved.intact
    return saved.state


@pytest.mark.parametrize("failing", [0.0, 0.3])
def test_a_crash_at_any_point_leaves_the_old_state_or_the_new_one_complete(failing: float) -> None:
    for seed in range(SEEDS):
        random_source = random.Random(f"{failing} {seed}")
        asyncio.run(_save_until_the_end(FaultyDisk(random_source, failing, 0.05), random_source))


async def _save_until_the_end(disk: FaultyDisk, random_source: random.Random) -> None:
    store = disk.store()
    store.load()
    possible = [EMPTY_STATE]  # the last acknowledged state and those tried since
    for sequence in range(1, STEPS):
        size = random_source.choice((10, 10, MAX_EMBEDDED_BYTES, 3 * MAX_EMBEDDED_BYTES))
        state = state_of(sequence, size)
        if random_source.random() < 0.3:  # only the placement has changed
            state = evolve(possible[0], sequence=sequence)
        try:
            if random_source.random() < 0.3:
                await store.save_record(make_record(state_of(100 + sequence, 2 * MAX_EMBEDDED_BYTES)))
            possible.append(state)
            await store.save(1, state)
            possible = [state]
        except StorageError:
            continue
        except Crash:
            found = loaded(disk)
            assert found in possible
            store = disk.store()
            store.load()
            possible = [found]
    assert loaded(disk) in possible


def test_a_state_saved_by_an_earlier_version_is_read() -> None:
    large = state_of(7, 5 * MAX_EMBEDDED_BYTES)
    disk = FaultyDisk(random.Random(0))
    disk.values["state"] = encode_write(ChainWrite(3, large))
    store = disk.store()
    saved = store.load()
    assert saved is not None
    assert (saved.epoch, saved.state, saved.intact) == (3, large, True)
    assert store.record(make_record(large).digest) is not None  # the next member may request it


def test_a_small_state_is_saved_as_before_in_one_write() -> None:
    disk = FaultyDisk(random.Random(0))
    small = state_of(7, 100)
    asyncio.run(disk.store().save(3, small))
    assert disk.values == {"state": encode_write(ChainWrite(3, small))}
    assert ChainMember("a", "disk-a", disk.values["state"]).state == small


def test_a_large_document_is_written_once() -> None:
    disk = FaultyDisk(random.Random(0))
    store = disk.store()
    large = state_of(7, 5 * MAX_EMBEDDED_BYTES)
    asyncio.run(store.save(3, large))
    before = dict(disk.values)
    asyncio.run(store.save(3, evolve(large, sequence=8)))
    changed = {name for name, value in disk.values.items() if before.get(name) != value}
    assert changed == {"state"}
    assert len(disk.values["state"]) < 1_000


def test_a_member_with_a_missing_record_counts_as_empty() -> None:
    large = state_of(7, 5 * MAX_EMBEDDED_BYTES)
    disk = FaultyDisk(random.Random(0))
    disk.values["state"] = encode([3, strip_record(large), make_record(large).digest])
    saved = disk.store().load()
    assert saved is not None
    assert not saved.intact
    view = first_view([Voter(name, f"disk-{name}", name) for name in "abc"])
    member = ChainMember("a", "disk-a")
    member.restore(saved.epoch, saved.state, intact=saved.intact)
    member.install(view)
    assert member.is_head
    assert not member.complete
    assert not member.may_write
    member.install(View(2, view.voters, ["b", "a"], {"a": 1, "b": 1}))
    write = ChainWrite(2, evolve(large, sequence=9))
    assert member.accepts(write)
    assert not member.has_saved(write)
    member.record_saved(write)
    assert member.complete
    assert member.state == write.state


def test_a_record_survives_encoding_and_decoding() -> None:
    record = make_record(state_of(7, 100))
    again = decode_record(record.encoded)
    assert (again.digest, again.document, again.history) == (record.digest, record.document, record.history)


def test_a_head_with_a_state_newer_than_its_view_writes_nothing() -> None:
    """The save of a view may fail and that of a state succeed: after a restart the state is newer."""
    view = first_view([Voter(name, f"disk-{name}", name) for name in "abc"])
    member = ChainMember("a", "disk-a", encode_write(ChainWrite(2, state_of(7, 10))))
    member.install(view)
    assert member.is_head
    assert not member.may_write
    with pytest.raises(ValueError, match="not a head"):
        member.make_write()
    member.install(View(3, view.voters, ["a", "b"], {"a": 1, "b": 1}))
    assert member.may_write
