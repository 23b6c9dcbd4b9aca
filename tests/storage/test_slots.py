"""Slots, disk identities and incarnation numbers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest

from hollowusher.storage.identity import claim_incarnation, disk_identity, next_incarnation
from hollowusher.storage.interface import StorageError
from hollowusher.storage.memory import MemorySlot
from hollowusher.storage.slots import SlotFile, decode_value, encode_value
from tests.support.simulated_disk import InlineWorker, SimulatedDisk

FOLDER = Path("/disk")
SLOT = FOLDER / "state"


def open_slot(disk: SimulatedDisk, worker: InlineWorker | None = None) -> SlotFile:
    return SlotFile(SLOT, disk, worker or InlineWorker())


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def wrapped() -> None:
        await scenario()

    asyncio.run(wrapped())


async def run_pending_callbacks() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


def test_an_empty_folder_holds_no_value() -> None:
    assert open_slot(SimulatedDisk()).load() is None


def test_the_value_saved_last_is_loaded() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        for number in range(5):
            slot = open_slot(disk)
            assert slot.load() == (b"value %d" % (number - 1) if number else None)
            await slot.save(b"something longer than the next value")
            await slot.save(b"value %d" % number)
            assert slot.load() == b"value %d" % number

    run(scenario)


def test_a_save_without_a_load_replaces_the_stored_value() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        for number in range(6):
            await open_slot(disk).save(b"%d" % number)
            assert open_slot(disk).load() == b"%d" % number

    run(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_a_power_loss_after_any_change_leaves_the_old_or_the_new_value(seed: int) -> None:
    async def scenario() -> None:
        rng = Random(seed)
        disk = SimulatedDisk()
        allowed: list[bytes | None] = [None]
        loaded: list[bytes | None] = []

        def check() -> None:
            loaded.append(open_slot(disk.power_loss(rng)).load())
            wrong.extend(value for value in loaded[-1:] if value not in allowed)

        wrong: list[bytes | None] = []
        for number in range(40):
            if rng.random() < 0.3:
                disk = disk.power_loss(rng)
            disk.kill()
            slot = open_slot(disk)
            value = slot.load()
            assert value in allowed
            new = b"%d:" % number + bytes(rng.randint(0, 200))
            allowed = [value, new]
            disk.on_change = check
            disk.failing_syncs = int(rng.random() < 0.2)
            try:
                await slot.save(new)
                allowed = [new]
            except StorageError:
                assert slot.load() == value
            check()
        assert wrong == []
        assert len(loaded) > 100

    run(scenario)


def test_a_torn_file_leaves_the_other_value() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        slot = open_slot(disk)
        await slot.save(b"old")
        await slot.save(b"new")
        newest = max(disk.files, key=lambda path: decode_value(bytes(disk.files[path].current)) or (0, b""))
        disk.files[newest].current[-1] ^= 0xFF
        assert open_slot(disk).load() == b"old"

    run(scenario)


def test_incomplete_or_damaged_contents_have_no_value() -> None:
    data = encode_value(7, b"value")
    assert decode_value(data) == (7, b"value")
    assert decode_value(data + b"left from a longer value") == (7, b"value")
    for length in range(len(data)):
        assert decode_value(data[:length]) is None
    for index in range(len(data)):
        assert decode_value(data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :]) is None


def test_a_failed_save_is_reported_and_the_next_one_works() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        slot = open_slot(disk)
        await slot.save(b"old")
        disk.full = True
        with pytest.raises(StorageError, match="No space"):
            await slot.save(b"lost")
        assert slot.load() == b"old"
        assert open_slot(disk.power_loss(Random(1))).load() == b"old"
        disk.full = False
        await slot.save(b"new")
        assert open_slot(disk.power_loss(Random(1))).load() == b"new"

    run(scenario)


def test_saves_during_a_running_save_are_combined() -> None:
    async def scenario() -> None:
        disk, worker = SimulatedDisk(), InlineWorker()
        slot = open_slot(disk, worker)
        slot.load()
        worker.held = True
        tasks = [asyncio.ensure_future(slot.save(b"%d" % number)) for number in range(10)]
        await run_pending_callbacks()
        tasks[3].cancel()
        worker.run_next()
        await run_pending_callbacks()
        assert tasks[0].done() and not tasks[9].done()
        worker.run_next()
        await run_pending_callbacks()
        assert all(task.done() for task in tasks)
        assert worker.waiting == []
        assert open_slot(disk.power_loss(Random(1))).load() == b"9"

    run(scenario)


def test_closing_fails_waiting_saves() -> None:
    async def scenario() -> None:
        disk, worker = SimulatedDisk(), InlineWorker()
        slot = open_slot(disk, worker)
        worker.held = True
        first, second = (asyncio.ensure_future(slot.save(value)) for value in (b"1", b"2"))
        await run_pending_callbacks()
        slot.close()
        with pytest.raises(StorageError, match="closed"):
            await second
        worker.run_next()
        await first
        assert disk.open_files == {}
        with pytest.raises(StorageError, match="closed"):
            await slot.save(b"3")

    run(scenario)


def test_a_slot_on_real_files(tmp_path: Path) -> None:
    async def scenario() -> None:
        slot = SlotFile(tmp_path / "new" / "state")
        assert slot.load() is None
        await slot.save(b"one")
        await slot.save(b"two")
        slot.close()
        again = SlotFile(tmp_path / "new" / "state")
        assert again.load() == b"two"
        again.close()

    run(scenario)


def test_an_unusable_folder_raises_a_storage_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(StorageError) as raised:
        SlotFile(tmp_path / "file" / "state").load()
    assert raised.value.step == "load"


def test_a_slot_in_memory_keeps_the_old_or_the_new_value() -> None:
    async def scenario() -> None:
        slot = MemorySlot(b"old")
        saving = asyncio.ensure_future(slot.save(b"new"))
        await asyncio.sleep(0)
        assert {slot.crash(Random(seed)).load() for seed in range(20)} == {b"old", b"new"}
        await saving
        assert {slot.crash(Random(seed)).load() for seed in range(20)} == {b"new"}
        slot.failing = "no disk"
        with pytest.raises(StorageError, match="no disk"):
            await slot.save(b"newer")
        assert slot.load() == b"new"

    run(scenario)


def test_a_disk_keeps_its_identity_and_an_empty_one_gets_another() -> None:
    disk, rng = SimulatedDisk(), Random(1)
    first, fresh = disk_identity(FOLDER, rng, disk)
    assert fresh and len(first) == 16
    assert disk_identity(FOLDER, rng, disk) == (first, False)
    assert disk_identity(FOLDER, rng, SimulatedDisk())[0] != first


def test_an_identity_that_was_returned_survives_any_power_loss() -> None:
    rng = Random(1)
    for seed in range(50):
        disk = SimulatedDisk()
        identity, _ = disk_identity(FOLDER, rng, disk)
        assert disk_identity(FOLDER, rng, disk.power_loss(Random(seed))) == (identity, False)


def test_a_power_loss_while_the_identity_is_written_leaves_a_usable_disk() -> None:
    rng = Random(2)
    for seed in range(20):
        disk = SimulatedDisk()
        left: list[SimulatedDisk] = []

        def record(disk: SimulatedDisk = disk, left: list[SimulatedDisk] = left, seed: int = seed) -> None:
            left.append(disk.power_loss(Random(seed)))

        disk.on_change = record
        identity, _ = disk_identity(FOLDER, rng, disk)
        assert len(left) >= 5
        for after in left:
            known, fresh = disk_identity(FOLDER, rng, after)
            assert len(known) == 16 and fresh == (known != identity)


def test_an_identity_read_after_a_kill_is_durable() -> None:
    rng = Random(3)
    disk = SimulatedDisk()
    killed: list[SimulatedDisk] = []
    identity, _ = disk_identity(FOLDER, rng, disk)
    disk.renamed.add(FOLDER / "disk-id")  # the process was killed between the rename and the folder sync
    assert disk_identity(FOLDER, rng, disk) == (identity, False)
    killed = [disk.power_loss(Random(seed)) for seed in range(20)]
    assert {disk_identity(FOLDER, rng, after) for after in killed} == {(identity, False)}


def test_a_damaged_identity_raises_an_error() -> None:
    disk = SimulatedDisk()
    disk_identity(FOLDER, Random(1), disk)
    disk.files[FOLDER / "disk-id"].current = bytearray(b"?")
    with pytest.raises(StorageError, match="does not hold a valid disk id"):
        disk_identity(FOLDER, Random(1), disk)


def test_an_identity_on_real_files(tmp_path: Path) -> None:
    first = disk_identity(tmp_path / "data", Random(1))
    assert first[1]
    assert disk_identity(tmp_path / "data", Random(2)) == (first[0], False)
    assert [path.name for path in (tmp_path / "data").iterdir()] == ["disk-id"]


def test_incarnations_grow_with_time_and_beyond_the_stored_one() -> None:
    rng = Random(1)
    now = 1_790_000_000_000
    first = next_incarnation(now, None, rng)
    assert next_incarnation(now + 1, None, rng) > first
    assert next_incarnation(now - 3_600_000, first, rng) == first + 1
    assert next_incarnation(now + 1, first, rng) > first + 1
    assert first < 2**63  # it fits in a MessagePack integer


def test_incarnations_never_repeat_when_the_clock_steps_back() -> None:
    async def scenario() -> None:
        rng = Random(1)
        disk = SimulatedDisk()
        last = 0
        for run_number in range(30):
            incarnation = await claim_incarnation(open_slot(disk), 1_000_000 - 50 * run_number, rng)
            assert incarnation > last
            last = incarnation
            disk = disk.power_loss(rng)

    run(scenario)
