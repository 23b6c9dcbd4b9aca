"""The ring log compared with a list of the appended records, on a simulated disk and on real files."""

from __future__ import annotations

import asyncio
import errno
from bisect import insort
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.storage.interface import Log, Position, StorageError
from hollowusher.storage.memory import MemoryLog
from hollowusher.storage.ring_log import MOVED_PER_BATCH, RingLog, ring_size
from hollowusher.storage.segment_format import (
    FRAME_BYTES,
    HEADER_BYTES,
    RecordScan,
    SegmentHeader,
    decode_header,
    encode_frame,
)
from tests.support.simulated_disk import InlineWorker, SimulatedDisk

FOLDER = Path("/disk")
SEGMENT_BYTES = 400
SEGMENTS = 10


def open_log(
    disk: SimulatedDisk,
    rng: Random | None = None,
    worker: InlineWorker | None = None,
    segment_bytes: int = SEGMENT_BYTES,
    segments: int = SEGMENTS,
) -> RingLog:
    return RingLog(
        FOLDER,
        segment_bytes,
        segments,
        files=disk,
        worker=worker or InlineWorker(),
        rng=rng or Random(7),
    )


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def wrapped() -> None:
        await scenario()

    asyncio.run(wrapped())


async def run_pending_callbacks() -> None:
    """Let the event loop run the callbacks of finished jobs."""
    for _ in range(6):
        await asyncio.sleep(0)


class ReferenceModel:
    """Reference model of a log: a list of all records in order, the live ones, and the count of durable ones.

    The model owns the log as a state machine does: it releases records, and appends moved ones again.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.written: list[tuple[Position, bytes]] = []
        self.live: dict[Position, bytes] = {}
        self.once_durable: set[bytes] = set()
        self.durable = 0  # count of records in `written` that a sync has confirmed
        log.set_move(self.move)

    def replay(self, forgotten: set[bytes]) -> None:
        """Replay the log as its owner does: keep the newest position of each record, release the rest."""
        newest: dict[bytes, Position] = {}
        for position, record in self.log.replay():
            self.written.append((position, record))
            if record in newest:
                self.log.release(newest[record])
            newest[record] = position
        for record, position in newest.items():
            if record in forgotten:
                self.log.release(position)
            else:
                self.live[position] = record
        self.confirm(len(self.written))

    def append(self, record: bytes) -> Position:
        position = self.log.append(record)
        insort(self.written, (position, record))  # records that this append moved have later positions
        self.live[position] = record
        return position

    def move(self, position: Position, record: bytes) -> None:
        assert self.live[position] == record
        moved = self.log.append(record)
        self.written.append((moved, record))
        del self.live[position]
        self.live[moved] = record

    def release(self, position: Position) -> bytes:
        self.log.release(position)
        return self.live.pop(position)

    async def sync(self) -> None:
        appended = len(self.written)
        await self.log.sync()
        self.confirm(appended)

    def confirm(self, appended: int) -> None:
        self.once_durable.update(record for _, record in self.written[self.durable : appended])
        self.durable = max(self.durable, appended)

    def check(self, replayed: list[tuple[Position, bytes]]) -> None:
        """Check the result of a replay after a crash at this moment.

        It must be a contiguous range of the appended records in order, with every record that is durable and
        live.
        """
        places = {position: index for index, (position, _) in enumerate(self.written)}
        indexes = [places[position] for position, _ in replayed]
        if indexes:
            assert indexes == list(range(indexes[0], indexes[-1] + 1))
            assert all(
                self.written[index][1] == record for index, (_, record) in zip(indexes, replayed, strict=True)
            )
            assert indexes[-1] >= self.durable - 1
        survived = {record for _, record in replayed}
        assert {record for record in self.live.values() if record in self.once_durable} <= survived

    def check_reads(self) -> None:
        for position, record in self.live.items():
            assert self.log.read(position) == record


def check_power_loss(disk: SimulatedDisk, model: ReferenceModel, rng: Random) -> None:
    left = open_log(disk.power_loss(rng))
    model.check(list(left.replay()))
    assert left.damaged_records == 0


class RandomRun:
    """A random sequence of operations and faults of one log, over several incarnations of its process."""

    def __init__(self, seed: int, check_each_change: bool) -> None:
        self.rng = Random(seed)
        self.check_each_change = check_each_change
        self.disk = SimulatedDisk()
        self.forgotten: set[bytes] = set()
        self.count = 0
        self.incarnations = 0
        self.moved = 0
        self.failed = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.failures: list[AssertionError] = []
        self.start()

    def start(self) -> None:
        self.incarnations += 1
        self.worker = InlineWorker()
        self.log = open_log(self.disk, self.rng, self.worker)
        self.model = ReferenceModel(self.log)
        self.model.replay(self.forgotten)
        assert self.log.damaged_records == 0
        if self.check_each_change:
            self.disk.on_change = self.check_change

    def check_change(self) -> None:
        try:
            check_power_loss(self.disk, self.model, self.rng)
        except AssertionError as error:  # the event loop would only log an exception that is raised here
            self.failures.append(error)

    async def step(self) -> None:
        actions = [self.append] * 6 + [self.release] * 4 + [self.sync] * 3 + [self.hold, self.work, self.work]
        actions += [self.fail] if self.rng.random() < 0.3 else []
        actions += [self.crash] if self.rng.random() < 0.2 else []
        await self.rng.choice(actions)()
        for failure in self.failures:
            raise failure

    async def append(self) -> None:
        for _ in range(self.rng.randint(1, 5)):
            self.count += 1
            record = b"%d:" % self.count + bytes(self.rng.randint(0, 70))
            try:
                self.model.append(record)
            except StorageError:
                return

    async def release(self) -> None:
        long_lived = self.rng.randint(0, 8)  # the oldest records stay live, so that the log has to move them
        for position in list(self.model.live)[long_lived:]:
            if self.rng.random() < 0.5:
                self.forgotten.add(self.model.release(position))

    async def sync(self) -> None:
        self.tasks += [asyncio.ensure_future(self._sync()) for _ in range(self.rng.randint(1, 3))]
        await run_pending_callbacks()

    async def _sync(self) -> None:
        try:
            await self.model.sync()
        except StorageError:
            return
        self.model.check_reads()

    async def hold(self) -> None:
        self.worker.held = True

    async def work(self) -> None:
        while self.worker.waiting:
            self.worker.run_next()
            await run_pending_callbacks()
        self.worker.held = self.rng.random() < 0.5
        self.disk.full = self.disk.full and self.rng.random() < 0.5

    async def fail(self) -> None:
        kind = self.rng.randrange(4)
        if kind == 0:
            self.disk.failing_syncs = self.rng.randint(1, 3)
        elif kind == 1:
            self.disk.failing_writes = self.rng.randint(1, 3)
        else:
            self.disk.full = True

    async def crash(self) -> None:
        for task in self.tasks:
            task.cancel()
        await run_pending_callbacks()
        self.tasks = []
        self.moved += self.log.moved_records
        self.failed += self.log.failed_batches
        if self.rng.random() < 0.5:
            self.disk = self.disk.power_loss(self.rng)
        self.disk.kill()
        self.disk.full = False
        model = self.model
        self.start()
        model.check(self.model.written)


async def run_random_operations(seed: int, steps: int, check_each_change: bool) -> RandomRun:
    random_run = RandomRun(seed, check_each_change)
    for _ in range(steps):
        await random_run.step()
    await random_run.crash()
    random_run.model.check_reads()
    return random_run


@pytest.mark.parametrize("seed", range(4))
def test_a_power_loss_after_any_disk_change_loses_no_synced_record(seed: int) -> None:
    asyncio.run(run_random_operations(seed, steps=120, check_each_change=True))


@settings(max_examples=25, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_random_operations_faults_and_crashes_agree_with_the_reference_model(seed: int) -> None:
    asyncio.run(run_random_operations(seed, steps=150, check_each_change=False))


def test_random_operations_reach_crashes_moves_and_failures() -> None:
    runs = [asyncio.run(run_random_operations(seed, steps=200, check_each_change=False)) for seed in range(8)]
    assert sum(random_run.incarnations for random_run in runs) > 8
    assert sum(random_run.moved for random_run in runs) > 50
    assert sum(random_run.failed for random_run in runs) > 20


def test_the_ring_wraps_with_long_lived_records_and_rejects_no_append() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        model = ReferenceModel(log)
        kept = [model.append(b"kept %d" % number) for number in range(20)]
        for number in range(1500):
            position = model.append(b"passing %d" % number)
            if number % 3 == 0:
                await model.sync()
            model.release(position)
        await model.sync()
        assert set(model.live.values()) == {b"kept %d" % number for number in range(20)}
        assert not set(kept) & set(model.live)
        assert log.moved_records >= 20
        assert len(disk.files) <= SEGMENTS + 3
        check_power_loss(disk, model, Random(1))

    run(scenario)


def test_records_at_the_limit_of_live_bytes_can_be_replaced_repeatedly() -> None:
    async def scenario() -> None:
        log = open_log(SimulatedDisk())
        model = ReferenceModel(log)
        while log.free_bytes() > 200:
            model.append(b"first %04d" % len(model.written))
        rng = Random(3)
        for number in range(600):
            model.release(rng.choice(list(model.live)))
            model.append(b"again %04d" % number)
            await model.sync()
            await run_pending_callbacks()
        model.check_reads()
        assert log.moved_records > 100

    run(scenario)


def test_a_ring_full_of_live_records_rejects_appends_and_recovers() -> None:
    async def scenario() -> None:
        log = open_log(SimulatedDisk())
        model = ReferenceModel(log)
        with pytest.raises(StorageError, match="full"):
            while True:
                model.append(bytes(60))
        await model.sync()
        model.check_reads()
        for position in list(model.live)[:10]:
            model.release(position)
        model.append(bytes(60))
        await model.sync()

    run(scenario)


def test_a_record_larger_than_a_segment_is_rejected() -> None:
    log = open_log(SimulatedDisk(), segment_bytes=100)
    with pytest.raises(StorageError, match="larger than a segment"):
        log.append(bytes(100))


def test_one_sync_completes_all_waiting_syncs() -> None:
    async def scenario() -> None:
        disk, worker = SimulatedDisk(), InlineWorker()
        log = open_log(disk, worker=worker)
        log.append(b"creates the file")
        await log.sync()
        worker.held = True
        before = log.syncs
        log.append(b"first")
        first = asyncio.ensure_future(log.sync())
        await run_pending_callbacks()
        later = []
        for number in range(20):
            log.append(b"%d" % number)
            later.append(asyncio.ensure_future(log.sync()))
        await run_pending_callbacks()
        assert len(worker.waiting) == 1
        worker.run_next()
        await run_pending_callbacks()
        assert first.done() and not any(task.done() for task in later)
        assert len(worker.waiting) == 1
        worker.run_next()
        await run_pending_callbacks()
        assert all(task.done() for task in later)
        assert log.syncs == before + 2

    run(scenario)


def test_a_cancelled_sync_does_not_affect_other_waiting_syncs() -> None:
    async def scenario() -> None:
        disk, worker = SimulatedDisk(), InlineWorker()
        log = open_log(disk, worker=worker)
        worker.held = True
        log.append(b"one")
        cancelled, waiting_sync = asyncio.ensure_future(log.sync()), asyncio.ensure_future(log.sync())
        await run_pending_callbacks()
        cancelled.cancel()
        worker.run_next()
        await run_pending_callbacks()
        assert cancelled.cancelled() and waiting_sync.done()

    run(scenario)


def test_a_slow_disk_is_reported_and_keeps_order() -> None:
    async def scenario() -> None:
        disk, worker = SimulatedDisk(), InlineWorker()
        log = open_log(disk, worker=worker)
        now = asyncio.get_running_loop().time()
        assert not log.stalled(now + 100)
        worker.held = True
        log.append(b"one")
        waiting_sync = asyncio.ensure_future(log.sync())
        await run_pending_callbacks()
        assert not log.stalled(now + 1)
        assert log.stalled(now + 100)
        log.append(b"two")
        assert log.read(log.append(b"three")) == b"three"
        worker.run_next()
        worker.held = False
        await waiting_sync
        await log.sync()
        assert not log.stalled(now + 100)
        again = open_log(disk.power_loss(Random(1)))
        assert [record for _, record in again.replay()] == [b"one", b"two", b"three"]

    run(scenario)


def test_after_a_failed_sync_the_same_bytes_go_to_another_file() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        model = ReferenceModel(log)
        model.append(b"before")
        await model.sync()
        disk.failing_syncs = 1
        position = model.append(b"rewritten")
        await model.sync()
        assert log.failed_batches == 1
        assert len(disk.files) == 2
        model.append(b"after")
        await model.sync()
        assert log.read(position) == b"rewritten"
        for seed in range(10):
            check_power_loss(disk, model, Random(seed))
        again = open_log(disk.power_loss(Random(1)))
        assert [record for _, record in again.replay()] == [b"before", b"rewritten", b"after"]

    run(scenario)


def test_repeatedly_failing_syncs_are_reported_and_a_later_one_writes_all_records() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        model = ReferenceModel(log)
        model.append(b"before")
        await model.sync()
        disk.failing_syncs = 6
        for number in range(3):
            model.append(b"failing %d" % number)
            with pytest.raises(StorageError, match="Input/output"):
                await model.sync()
        model.check_reads()
        await model.sync()
        assert len(disk.files) == 2
        for seed in range(10):
            check_power_loss(disk, model, Random(seed))

    run(scenario)


def test_a_replay_makes_cached_records_of_a_failed_sync_durable() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        log.append(b"before")
        await log.sync()
        disk.failing_syncs = 2
        log.append(b"only cached")
        with pytest.raises(StorageError):
            await log.sync()
        disk.kill()
        seen = [record for _, record in open_log(disk).replay()]
        after = open_log(disk.power_loss(Random(2)))
        assert [record for _, record in after.replay()] == seen

    run(scenario)


def test_a_full_disk_is_reported_and_all_records_are_written_once_space_is_freed() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        model = ReferenceModel(log)
        model.append(b"before")
        await model.sync()
        disk.full = True
        for number in range(3):
            model.append(b"waits %d" % number)
            with pytest.raises(StorageError, match="No space"):
                await model.sync()
        check_power_loss(disk, model, Random(1))
        disk.full = False
        await model.sync()
        model.check_reads()
        assert len(disk.files) == 1
        check_power_loss(disk, model, Random(1))

    run(scenario)


def test_a_disk_full_from_the_start_recovers() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        disk.full = True
        log = open_log(disk)
        model = ReferenceModel(log)
        model.append(b"waits")
        with pytest.raises(StorageError, match="No space"):
            await model.sync()
        disk.full = False
        await model.sync()
        check_power_loss(disk, model, Random(1))

    run(scenario)


def test_appends_above_the_limit_of_unsynced_bytes_are_rejected() -> None:
    log = open_log(SimulatedDisk(), segment_bytes=4 * 1024 * 1024, segments=40)
    with pytest.raises(StorageError, match="limit of unsynced bytes"):
        for _ in range(20):
            log.append(bytes(1024 * 1024))


def test_stale_bytes_of_an_earlier_use_never_pass_as_records() -> None:
    header = SegmentHeader(sequence=5, part=0, base=0, nonce=111, previous_end=0)
    stale = encode_frame(b"old", 222, 0) + b"old"
    assert list(RecordScan(stale + bytes(50), header, None).records()) == []
    own = encode_frame(b"new", 111, 0) + b"new"
    shifted = own + own  # the second copy has the checksum of another offset
    assert list(RecordScan(shifted, header, None).records()) == [(0, b"new")]


def test_a_reused_file_yields_no_stale_records_of_the_same_size() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        model = ReferenceModel(open_log(disk))
        for number in range(200):
            model.release(model.append(b"%050d" % number))
            await model.sync()
            model.check(list(open_log(disk.power_loss(Random(number))).replay()))

    run(scenario)


@pytest.mark.parametrize("before", range(16))
def test_a_segment_that_a_replay_found_erased_stays_erased(before: int) -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        model = ReferenceModel(open_log(disk))
        for number in range(before):
            model.release(model.append(b"%0120d" % number))
            await model.sync()
        disk.passing_syncs = 1  # the sync of the record
        disk.failing_syncs = 1  # the sync of the next file's erased header, if the log prepares one now
        model.append(b"last" + bytes(116))
        await model.sync()
        disk.kill()
        seen = list(open_log(disk).replay())
        for seed in range(4):
            assert list(open_log(disk.power_loss(Random(seed))).replay()) == seen

    run(scenario)


def test_a_file_whose_preparation_failed_is_erased_before_younger_files() -> None:
    async def scenario() -> None:
        disk, worker = SimulatedDisk(), InlineWorker()
        model = ReferenceModel(open_log(disk, worker=worker))
        lost: list[AssertionError] = []

        def check() -> None:
            try:
                check_power_loss(disk, model, Random(1))
            except AssertionError as error:
                lost.append(error)

        disk.on_change = check
        worker.held = True
        prepared = 0
        for number in range(150):
            model.release(model.append(b"%090d" % number))
            waiting_sync = asyncio.ensure_future(model.sync())
            await run_pending_callbacks()
            worker.run_next()
            await run_pending_callbacks()
            assert waiting_sync.done()
            if worker.waiting:  # the disk thread prepares the next file
                prepared += 1
                disk.failing_syncs = 1
                for more in range(4):
                    model.release(model.append(b"more %d %080d" % (more, number)))
                waiting_sync = asyncio.ensure_future(model.sync())
                await run_pending_callbacks()
                while worker.waiting:
                    worker.run_next()
                    await run_pending_callbacks()
                assert waiting_sync.done()
        assert prepared > 5
        assert lost == []

    run(scenario)


def test_a_rejected_append_frees_space_without_further_appends() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk, segment_bytes=1024 * 1024)
        forgotten: set[bytes] = set()
        with pytest.raises(StorageError, match="no segment is free"):  # `set_move` has not been called
            for number in range(2000):
                record = b"%06d" % number + bytes(8000)
                position = log.append(record)
                if log.free_bytes() < 10_000:
                    log.release(position)
                    forgotten.add(record)
                if number % 100 == 0:
                    await log.sync()
        await log.sync()
        disk.kill()
        log = open_log(disk, segment_bytes=1024 * 1024)
        model = ReferenceModel(log)
        model.replay(forgotten)
        with pytest.raises(StorageError, match="no segment is free"):
            model.append(b"refused")
        for _ in range(100):
            await run_pending_callbacks()
        assert log.moved_records * 8000 > 2 * MOVED_PER_BATCH
        for number in range(150):  # more records than fit in one segment
            model.release(model.append(b"%06d again" % number + bytes(8000)))
        await model.sync()
        model.check_reads()

    run(scenario)


def test_a_ring_opened_with_fewer_segments_shrinks_to_them() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk, segments=20)
        for number in range(60):
            position = log.append(b"%0100d" % number)
            await log.sync()
            if number % 10:
                log.release(position)
        assert len(disk.files) == 20
        disk.kill()
        log = open_log(disk, segments=8)
        model = ReferenceModel(log)
        model.replay(forgotten={b"%0100d" % number for number in range(60) if number % 10})
        kept = set(model.live.values())
        assert len(kept) == 6
        for _ in range(20):
            with suppress(StorageError):
                model.release(model.append(b"passing"))
            await run_pending_callbacks()
        model.release(model.append(b"passing"))
        await model.sync()
        assert kept == set(model.live.values())
        model.check_reads()
        check_power_loss(disk, model, Random(1))

    run(scenario)


def test_a_damaged_record_in_a_synced_region_is_counted_and_skipped() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        positions = [log.append(b"%03d" % number + bytes(60)) for number in range(8)]
        await log.sync()
        damaged = positions[1]
        assert positions[-1].segment > damaged.segment
        file = disk.files[FOLDER / "ring-0000.log"]
        file.current[HEADER_BYTES + damaged.offset + FRAME_BYTES] ^= 0xFF
        with pytest.raises(StorageError, match="wrong length or checksum"):
            log.read(damaged)
        disk.kill()
        again = open_log(disk)
        survived = [position for position, _ in again.replay()]
        assert survived == positions[:1] + positions[2:]
        assert again.damaged_records == 1

    run(scenario)


def test_a_damaged_record_does_not_block_the_reuse_of_its_segment() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        model = ReferenceModel(log)
        damaged = model.append(b"damaged")
        await model.sync()
        disk.files[FOLDER / "ring-0000.log"].current[HEADER_BYTES + damaged.offset + FRAME_BYTES] ^= 0xFF
        for number in range(300):
            model.release(model.append(b"%d" % number))
            await model.sync()
        assert log.damaged_records == 1
        assert log.read(model.append(b"works")) == b"works"

    run(scenario)


def test_a_torn_header_is_rejected() -> None:
    data = SegmentHeader(sequence=5, part=0, base=0, nonce=111, previous_end=9).encode()
    assert decode_header(data) == SegmentHeader(5, 0, 0, 111, 9)
    for length in range(HEADER_BYTES):
        assert decode_header(data[:length]) is None
        assert decode_header(data[:length] + bytes(HEADER_BYTES - length)) is None


def test_a_file_with_a_torn_header_is_used_again() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        log.append(b"one")
        await log.sync()
        disk.kill()
        disk.files[FOLDER / "ring-0000.log"].current[3] ^= 0xFF
        again = open_log(disk)
        assert list(again.replay()) == []
        again.append(b"two")
        await again.sync()
        assert len(disk.files) == 1

    run(scenario)


def test_records_released_before_their_replacements_are_durable_survive() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        model = ReferenceModel(log)
        old = model.append(b"old")
        await model.sync()
        model.release(old)
        for number in range(20):
            model.append(b"%d" % number + bytes(50))
        left = open_log(disk.power_loss(Random(1)))
        assert b"old" in {record for _, record in left.replay()}

    run(scenario)


def test_a_started_process_never_appends_to_an_old_segment() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        segments = set()
        for _ in range(40):
            log = open_log(disk)
            model = ReferenceModel(log)
            model.replay({b"x"})
            segments.add(model.append(b"x").segment)
            await model.sync()
            disk.kill()
        assert len(segments) == 40
        assert len(disk.files) <= SEGMENTS + 3

    run(scenario)


def test_restarts_with_live_records_do_not_use_up_the_ring() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        for run_number in range(60):
            model = ReferenceModel(open_log(disk))
            model.replay(set())
            assert set(model.live.values()) == {b"%d" % number for number in range(run_number)}
            model.append(b"%d" % run_number)
            await model.sync()
            disk.kill()

    run(scenario)


def test_an_append_before_the_replay_is_rejected() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        log = open_log(disk)
        log.append(b"one")
        await log.sync()
        disk.kill()
        with pytest.raises(RuntimeError):
            open_log(disk).append(b"two")

    run(scenario)


def test_a_repeated_release_is_ignored() -> None:
    log = open_log(SimulatedDisk())
    before = log.free_bytes()
    position = log.append(b"one")
    log.release(position)
    log.release(position)
    log.release(Position(99, 0, 3))
    assert log.free_bytes() == before


def test_closing_fails_waiting_syncs_and_waits_for_the_disk_thread() -> None:
    async def scenario() -> None:
        disk, worker = SimulatedDisk(), InlineWorker()
        log = open_log(disk, worker=worker)
        log.append(b"one")
        worker.held = True
        waiting_sync = asyncio.ensure_future(log.sync())
        await run_pending_callbacks()
        log.close()
        with pytest.raises(StorageError, match="closed"):
            await waiting_sync
        worker.run_next()
        await run_pending_callbacks()
        assert disk.open_files == {}
        with pytest.raises(StorageError, match="closed"):
            log.append(b"two")

    run(scenario)


def test_real_files_with_the_real_thread(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / "ring-0000.log.old").write_bytes(b"foreign")
        (tmp_path / "notes.txt").write_bytes(b"foreign")
        log = RingLog(tmp_path / "log", 4096, 8)
        assert list(log.replay()) == []
        model = ReferenceModel(log)
        for number in range(400):
            model.append(b"record %d" % number)
            if number % 10 == 0:
                await model.sync()
            if number >= 20:
                model.release(next(iter(model.live)))
        await model.sync()
        model.check_reads()
        log.close()
        again = RingLog(tmp_path / "log", 4096, 8)
        model.check(list(again.replay()))
        again.close()
        assert (tmp_path / "notes.txt").read_bytes() == b"foreign"

    run(scenario)


def test_foreign_files_in_the_folder_are_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        for name in ("ring-1.log", "ring-0000.log.old", "notes.txt"):
            (tmp_path / name).write_bytes(b"foreign")
        (tmp_path / "ring-0000.log").write_bytes(b"of the right name, without a header")
        log = RingLog(tmp_path, 4096, 8)
        assert list(log.replay()) == []
        log.append(b"one")
        await log.sync()
        log.close()
        for name in ("ring-1.log", "ring-0000.log.old", "notes.txt"):
            assert (tmp_path / name).read_bytes() == b"foreign"
        assert len(list(tmp_path.iterdir())) == 4
        assert (tmp_path / "ring-0000.log").stat().st_size == 4096

    run(scenario)


def test_an_unusable_folder_raises_a_storage_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(StorageError) as raised:
        RingLog(tmp_path / "file" / "log", 4096, 8)
    assert raised.value.step == "open"


@pytest.mark.parametrize("disk_mb", [8, 32, 64, 500, 2000])
def test_a_ring_fits_its_share_of_the_disk(disk_mb: int) -> None:
    size = ring_size(disk_mb)
    assert (size.segments + 3) * size.segment_bytes <= disk_mb * 1024 * 1024 * 0.6
    assert (size.segments + 3) * size.segment_bytes >= disk_mb * 1024 * 1024 * 0.5
    assert size.segments >= 6


def test_errors_contain_step_file_and_reason() -> None:
    async def scenario() -> None:
        disk = SimulatedDisk()
        disk.failing_writes = 2
        log = open_log(disk)
        log.append(b"one")
        with pytest.raises(StorageError) as raised:
            await log.sync()
        assert (raised.value.step, raised.value.file) == ("open", str(FOLDER / "ring-0000.log"))
        assert raised.value.reason == OSError(errno.EIO, "Input/output error").strerror

    run(scenario)


@settings(max_examples=40, deadline=None)
@given(seed=st.integers(0, 2**32), in_order=st.booleans())
def test_the_log_in_memory_keeps_synced_records(seed: int, in_order: bool) -> None:
    async def scenario() -> None:
        rng = Random(seed)
        log = MemoryLog(segment_bytes=300, segments=10)
        model = ReferenceModel(log)
        for number in range(150):
            try:
                model.append(b"%d" % number + bytes(rng.randint(0, 40)))
            except StorageError:
                assert log.free_bytes() < 100
            if rng.random() < 0.7:
                model.release(rng.choice(list(model.live)))
            if rng.random() < 0.3:
                await model.sync()
        after = log.crash(rng, in_order)
        replayed = list(after.replay())
        survived = {record for _, record in replayed}
        assert {record for record in model.live.values() if record in model.once_durable} <= survived
        assert replayed == [entry for entry in model.written if entry in set(replayed)]
        if in_order:
            model.check(replayed)

    run(scenario)


def test_the_log_in_memory_fails_stalls_and_recovers() -> None:
    async def scenario() -> None:
        log = MemoryLog()
        log.append(b"one")
        log.failing = "no disk"
        with pytest.raises(StorageError, match="no disk"):
            await log.sync()
        with pytest.raises(StorageError, match="no disk"):
            log.append(b"two")
        log.failing = ""
        waiting_sync = asyncio.ensure_future(log.sync())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert log.stalled(asyncio.get_running_loop().time() + 100)
        await waiting_sync
        assert [record for _, record in log.crash(Random(1)).replay()] == [b"one"]

    run(scenario)
