"""The log on disk: a ring of preallocated segment files, written in batches by one thread.

Appending assigns a position and keeps the record in memory; a sync writes everything that waits, file by
file, each synced before the next is touched.  All state belongs to the event loop's thread; the writing
thread is handed bytes and offsets, and opens, writes and syncs.

Why nothing promised is lost:

* A torn write can only hit the batch under way, at the end of the newest segment.  A started process never
  appends to an old segment, so a torn end never stands before newer records.
* A file is used again only if its segment was the oldest, nothing in it was live, and everything appended
  up to then is durable.  Files are taken and their old headers erased in that order, one synced before the
  next is touched: old records vanish at once, and never the replacement of a record before the record.
* After a failed sync the batch counts as unwritten, whatever the file shows: the segment goes on in another
  file (a new part) from its last durable offset, so that positions given out stay valid.
* What a replay reads at the end of the newest segment is written and synced again: after a kill, or after a
  failed sync, it may stand in the system's cache alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from random import Random, SystemRandom

from hollowusher.storage.disk_thread import DiskWorker, shared_disk_thread
from hollowusher.storage.files import NO_SPACE, Files, SystemFiles
from hollowusher.storage.interface import MoveRecord, Position, StorageError
from hollowusher.storage.ring_batch import Failure, Outcome, Write, perform_batch
from hollowusher.storage.ring_segments import (
    EXTRA_FILES,
    MEBIBYTE,
    MIN_SEGMENTS,
    Part,
    RingSize,
    Segment,
    ring_size,
)
from hollowusher.storage.segment_files import SegmentFile, SegmentFiles
from hollowusher.storage.segment_format import (
    FRAME_BYTES,
    HEADER_BYTES,
    UNKNOWN_END,
    RecordScan,
    SegmentHeader,
    decode_record,
    encode_frame,
)
from hollowusher.storage.sync_waiters import SyncWaiters

__all__ = ["MOVED_PER_BATCH", "RingLog", "RingSize", "ring_size"]

MIN_FREE_SEGMENTS = 3  # segments left free when live records of the oldest one begin to move
MAX_LIVE_FRACTION = 0.75  # of the ring may be live: the rest keeps the cost of moving bounded
MOVED_BYTES_PER_APPENDED_BYTE = 4  # bytes moved for each byte appended while segments are short
MIN_MOVED_BYTES = 4 * 1024
MOVED_PER_BATCH = 256 * 1024
MAX_UNSYNCED_BYTES = 8 * 1024 * 1024
ATTEMPTS_PER_SYNC = 2


class RingLog:
    """A `Log` in the files `ring-NNNN.log` of `folder`.

    `files`, `worker` and `chance` are there for tests.  Counters: `syncs`, `failed_batches`,
    `moved_records`, `damaged_records`."""

    def __init__(
        self,
        folder: Path,
        segment_bytes: int = 4 * MEBIBYTE,
        segments: int = 16,
        stall_s: float = 2.0,
        files: Files | None = None,
        worker: DiskWorker | None = None,
        rng: Random | None = None,
    ) -> None:
        if segments < MIN_SEGMENTS:
            raise ValueError(f"a ring needs at least {MIN_SEGMENTS} segments, not {segments}")
        self.syncs = 0
        self.failed_batches = 0
        self.moved_records = 0
        self.damaged_records = 0
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments_allowed = segments
        self._max_files = segments + EXTRA_FILES
        self._stall_s = stall_s
        self._io: Files = SystemFiles() if files is None else files
        self._worker: DiskWorker = shared_disk_thread() if worker is None else worker
        self._rng: Random = SystemRandom() if rng is None else rng
        self._move: MoveRecord | None = None
        self._moving = False
        self._move_budget = 0  # bytes that may still be moved without a further append of the owner
        self._closed = False
        self._live_bytes = 0
        # Files and segments
        self._files = SegmentFiles(folder, segment_bytes, self._io, self._worker)
        self._segments: dict[int, Segment] = {}  # by sequence, oldest first
        self._active: Segment | None = None
        self._last_sequence = 0
        self._last_end = UNKNOWN_END
        # Records that are not durable yet
        self._buffered: dict[Position, bytes] = {}
        self._writing: dict[Position, bytes] = {}  # the batch under way, or one that failed
        self._unsynced_bytes = 0
        self._appended = 0
        self._synced = 0
        self._waiters = SyncWaiters()
        self._batch_running = False
        self._batch_started = 0.0
        self._batch_writes: list[Write] = []
        self._attempts = 0
        self._replay_begun = False
        self._replayed = False
        try:
            self._open_folder()
        except OSError as error:
            raise _storage_error("open", str(folder), error) from error

    def replay(self) -> Iterator[tuple[Position, bytes]]:
        """All records that survived, oldest first."""
        if self._replay_begun:
            raise RuntimeError("the log was replayed before")
        self._replay_begun = True
        self._files.erase_free()
        try:
            for segment in list(self._segments.values()):
                yield from self._replay_segment(segment)
        except OSError as error:
            raise _storage_error("replay", str(self._folder), error) from error
        if self._segments:
            self._last_end = next(reversed(self._segments.values())).end
        self._replayed = True
        self._retire_empty()

    def _open_folder(self) -> None:
        found = self._files.open()
        for header, file in found:
            self._add_found(header, file)
        self._max_files = max(self._max_files, len(found) + 1)  # a larger ring can be moved into this one
        self._replayed = not found

    def _add_found(self, header: SegmentHeader, file: SegmentFile) -> None:
        """Register a file of an earlier life of the process."""
        segment = self._segments.get(header.sequence)
        if segment is None:
            segment = Segment(header.sequence, 0, header.previous_end, [])
            self._segments[header.sequence] = segment
        segment.parts.append(Part(header.part, header.base, header.nonce, file))
        self._last_sequence = header.sequence

    def _replay_segment(self, segment: Segment) -> Iterator[tuple[Position, bytes]]:
        following = self._segments.get(segment.sequence + 1)
        known_end = following.previous_end if following is not None else UNKNOWN_END
        for index, part in enumerate(segment.parts):
            end = min((later.base for later in segment.parts[index + 1 :]), default=known_end)
            assert part.file is not None
            yield from self._replay_part(segment, part, part.file, None if end == UNKNOWN_END else end)

    def _replay_part(
        self, segment: Segment, part: Part, file: SegmentFile, end: int | None
    ) -> Iterator[tuple[Position, bytes]]:
        data = self._io.read(file.descriptor, file.size, 0)
        header = SegmentHeader(segment.sequence, part.number, part.base, part.nonce, segment.previous_end)
        scan = RecordScan(memoryview(data)[HEADER_BYTES:], header, end)
        for offset, record in scan.records():
            position = Position(segment.sequence, offset, len(record))
            segment.live[offset] = len(record)
            self._live_bytes += FRAME_BYTES + len(record)
            yield position, record
        self.damaged_records += scan.damaged
        segment.end = segment.synced = scan.position
        if end is None:
            self._write_again(file, data[: HEADER_BYTES + scan.position - part.base])

    def _write_again(self, file: SegmentFile, data: bytes) -> None:
        """Make durable what was read.  On a full disk the sync alone has to do."""
        try:
            self._io.write(file.descriptor, data, 0)
        except OSError as error:
            if error.errno not in NO_SPACE:
                raise
        self._io.sync(file.descriptor)

    def append(self, record: bytes) -> Position:
        """Add a record in memory; durable after a later `sync`."""
        length = len(record)
        size = FRAME_BYTES + length
        if not self._moving:
            self._check_room(size)
        segment = self._active
        if segment is None or segment.end + size > segment.capacity:
            segment = self._roll(size)
        offset = segment.end
        position = Position(segment.sequence, offset, length)
        segment.end = offset + size
        segment.live[offset] = length
        self._live_bytes += size
        self._buffered[position] = record
        self._unsynced_bytes += size
        self._appended += 1
        if not self._moving:
            self._move_budget = self._segments_allowed * self._segment_bytes
            if self._available_segments() < MIN_FREE_SEGMENTS:
                self._clean(MOVED_BYTES_PER_APPENDED_BYTE * size + MIN_MOVED_BYTES)
        return position

    def _check_room(self, size: int) -> None:
        if self._closed:
            raise self._error("append", "the log is closed")
        if size > self.free_bytes():
            raise self._error("append", "the ring is full")
        if self._unsynced_bytes + size > MAX_UNSYNCED_BYTES:
            raise self._error("append", "too much waits for the disk")

    def _roll(self, size: int) -> Segment:
        """Begin a new segment."""
        if not self._replayed:
            raise RuntimeError("replay() must be used up before the first append")
        capacity = self._segment_bytes - HEADER_BYTES
        if size > capacity:
            raise self._error("append", f"a record of {size} bytes is larger than a segment")
        self._files.free_retired(self._synced)
        if self._files.available_files(self._max_files if self._moving else self._segments_allowed) <= 0:
            self._clean_in_background()
            raise self._error("append", "no segment is free yet")
        if self._active is not None:
            self._last_end = self._active.end
        self._last_sequence += 1
        part = Part(0, 0, self._new_nonce())
        self._files.wanted += 1
        segment = Segment(self._last_sequence, capacity, self._last_end, [part])
        self._segments[segment.sequence] = segment
        self._active = segment
        self._retire_empty()
        return segment

    def _new_nonce(self) -> int:
        return self._rng.getrandbits(64)

    def _error(self, step: str, reason: str) -> StorageError:
        return StorageError(step, str(self._folder), reason)

    async def sync(self) -> None:
        """Return once all that was appended before is durable."""
        if self._synced == self._appended:
            return
        if self._closed:
            raise self._error("sync", "the log is closed")
        done = self._waiters.add(self._appended)
        if not self._batch_running:
            self._attempts = 0
            self._start_batch()
        await done

    def stalled(self, now: float) -> bool:
        """Whether the sync under way has lasted longer than `stall_s`."""
        return self._batch_running and now - self._batch_started > self._stall_s

    def _start_batch(self) -> None:
        """Hand all that waits to the writing thread."""
        self._writing.update(self._buffered)
        self._buffered = {}
        try:
            self._plan_writes()
        except StorageError as error:
            self._return_files(self._batch_writes)
            self._waiters.fail(self._synced + len(self._writing), error)
            return
        self._batch_started = asyncio.get_running_loop().time()
        self._batch_running = True
        self._worker.submit(
            partial(perform_batch, self._batch_writes, self._files, self._io), self._finish_batch
        )

    def _plan_writes(self) -> None:
        self._batch_writes = []
        write: Write | None = None
        for position, record in self._writing.items():
            if write is None or write.segment.sequence != position.segment:
                write = self._plan_write(self._segments[position.segment], position.offset)
                self._batch_writes.append(write)
            write.chunks.append(encode_frame(record, write.part.nonce, position.offset))
            write.chunks.append(record)
            write.positions.append(position)
            write.end = position.offset + FRAME_BYTES + position.length

    def _plan_write(self, segment: Segment, offset: int) -> Write:
        if segment.part_failed:
            self._replace_part(segment)
        part = segment.parts[-1]
        if part.file is None:
            part.file = self._files.take(self._max_files)
            if part.file is None:
                raise self._error("sync", "no segment is free for what a failed sync left unwritten")
            self._files.wanted -= 1
        write = Write(segment, part, part.file, offset, offset, [], [])
        if offset == part.base:
            header = SegmentHeader(segment.sequence, part.number, part.base, part.nonce, segment.previous_end)
            write.chunks.append(header.encode())
        return write

    def _replace_part(self, segment: Segment) -> None:
        """Go on in another part after a failed sync, from the last durable offset."""
        last = segment.parts[-1]
        if last.base == segment.synced:
            segment.parts.pop()  # nothing durable in it; its file was returned
        else:
            self._files.wanted += 1
        segment.parts.append(Part(last.number + 1, segment.synced, self._new_nonce()))
        segment.part_failed = False

    def _return_files(self, unwritten: list[Write]) -> None:
        """Give back the files of parts in which nothing is durable; the next batch takes them again, in the
        same order."""
        for write in reversed(unwritten):
            if write.offset == write.part.base:
                self._files.give_back(write.file)
                write.part.file = None
                self._files.wanted += 1

    def _finish_batch(self, outcome: Outcome) -> None:
        """Take the writing thread's result, answer those who wait, and go on."""
        self._batch_running = False
        if self._closed:
            self._files.close()
            return
        for write in self._batch_writes[: outcome.written]:
            self._mark_written(write)
        self._batch_writes, failed = [], self._batch_writes[outcome.written :]
        self._files.free_retired(self._synced)
        self._waiters.resolve(self._synced)
        if outcome.failure is None:
            self.syncs += 1
            self._attempts = 0
            self._clean_after_batch()
        else:
            self._return_files(failed)
            self._handle_failure(outcome.failure, failed[0])
        if self._batch_running:
            return
        if self._waiters:
            self._start_batch()
        else:
            self._prepare_file()

    def _mark_written(self, write: Write) -> None:
        write.segment.synced = write.end
        for position in write.positions:
            del self._writing[position]
        self._synced += len(write.positions)
        self._unsynced_bytes -= write.end - write.offset
        self._retire_empty()

    def _handle_failure(self, failure: Failure, write: Write) -> None:
        """The failed write counts as unwritten.  A sync that failed is tried again at once, in another file;
        where the disk is full, those who wait are told."""
        self.failed_batches += 1
        self._attempts += 1
        full = isinstance(failure.error, OSError) and failure.error.errno in NO_SPACE
        if failure.step == "sync" or not full:
            write.segment.part_failed = True
        if full or self._attempts >= ATTEMPTS_PER_SYNC:
            self._attempts = 0
            self._waiters.fail(
                self._synced + len(self._writing), _storage_error(failure.step, failure.file, failure.error)
            )

    def _prepare_file(self) -> None:
        """Make the next file ready ahead of its use."""
        active = self._active
        if active is not None and active.end * 2 >= active.capacity:
            self._files.prepare_next(self._segments_allowed)

    def read(self, position: Position) -> bytes:
        """A record's bytes again."""
        record = self._buffered.get(position)
        if record is None:
            record = self._writing.get(position)
        if record is None:
            record = self._read_durable(position)
        if record is None:
            raise self._error("read", f"the record at {position} does not check")
        return record

    def _read_durable(self, position: Position) -> bytes | None:
        """A record from its file, None where it does not check."""
        segment = self._segments.get(position.segment)
        if segment is None or position.offset >= segment.synced:
            raise self._error("read", f"no record at {position}")
        part = segment.part_at(position.offset)
        assert part.file is not None
        start = HEADER_BYTES + position.offset - part.base
        try:
            data = self._io.read(part.file.descriptor, FRAME_BYTES + position.length, start)
        except OSError as error:
            raise _storage_error("read", str(part.file.path), error) from error
        return decode_record(data, part.nonce, position.offset)

    def release(self, position: Position) -> None:
        """This record is no longer needed."""
        segment = self._segments.get(position.segment)
        if segment is None or segment.live.pop(position.offset, None) is None:
            return
        self._live_bytes -= FRAME_BYTES + position.length
        if not segment.live:
            self._retire_empty()

    def set_move(self, move: MoveRecord) -> None:
        """Who re-appends live records of a segment that is to be used again."""
        self._move = move

    def free_bytes(self) -> int:
        """Room for further live records."""
        segments = self._segments_allowed - MIN_FREE_SEGMENTS - 1
        usable = int(segments * (self._segment_bytes - HEADER_BYTES) * MAX_LIVE_FRACTION)
        return max(0, usable - self._live_bytes)

    def _available_segments(self) -> int:
        """Segments that can still be begun, those included that wait for a sync."""
        return self._files.available_files(self._segments_allowed) + self._files.retired

    def _retire_empty(self) -> None:
        """Set aside the oldest segments as long as nothing in them is live."""
        if not self._replayed:
            return
        while self._segments:
            oldest = next(iter(self._segments.values()))
            if oldest is self._active or oldest.live or oldest.synced < oldest.end:
                return
            del self._segments[oldest.sequence]
            self._files.retire([part.file for part in oldest.parts if part.file], self._appended)

    def _clean(self, budget: int) -> bool:
        """Have about `budget` bytes of live records of the oldest segments moved; whether any were."""
        if self._move is None or self._moving:
            return False
        self._moving = True
        before = self._move_budget
        try:
            while before - self._move_budget < budget and self._available_segments() < MIN_FREE_SEGMENTS:
                position = self._oldest_live()
                if position is None:
                    break
                self._move_record(self._move, position)
        except StorageError:
            pass  # no room to move to, or a file that cannot be read now: the record stays
        finally:
            self._moving = False
        return self._move_budget < before

    def _oldest_live(self) -> Position | None:
        """The oldest live record, None if it stands in a segment that is still being written."""
        oldest = next(iter(self._segments.values()), None)
        if oldest is None or oldest is self._active or oldest.synced < oldest.end or not oldest.live:
            return None
        offset, length = next(iter(oldest.live.items()))
        return Position(oldest.sequence, offset, length)

    def _move_record(self, move: MoveRecord, position: Position) -> None:
        record = self._read_durable(position)
        if record is None:
            self.damaged_records += 1
        else:
            move(position, record)
            self.moved_records += 1
        self.release(position)
        self._move_budget -= FRAME_BYTES + position.length

    def _clean_after_batch(self) -> None:
        """Go on with moving when nobody appends; its records are written by a batch of their own."""
        if self._available_segments() >= MIN_FREE_SEGMENTS or self._move_budget <= 0:
            return
        if self._clean(MOVED_PER_BATCH):
            self._start_batch()

    def _clean_in_background(self) -> None:
        """Make room after an append was refused."""
        self._move_budget = self._segments_allowed * self._segment_bytes
        self._clean(MOVED_PER_BATCH)
        if self._unsynced_bytes and not self._batch_running:
            self._start_batch()

    def close(self) -> None:
        """Release the files, once a write under way has ended.  What was not synced may be lost."""
        if self._closed:
            return
        self._closed = True
        self._waiters.fail_all(self._error("sync", "the log was closed"))
        if not self._batch_running:
            self._files.close()


def _storage_error(step: str, file: str, error: Exception) -> StorageError:
    reason = error.strerror if isinstance(error, OSError) else None
    return StorageError(step, file, reason or str(error))
