"""The log on disk: a ring of preallocated segment files, written in batches by the disk thread.

An append assigns a position and keeps the record in memory.  A sync writes all buffered records file by file,
and syncs each file before it writes the next.  Only the event loop's thread accesses the state of the log;
the disk thread gets bytes and offsets, and opens, writes and syncs files.

A record that a sync has confirmed is not lost, for these reasons:

* A torn write can only hit the batch under way, at the end of the newest segment.  A restarted process never
  appends to an old segment, so a torn record is never followed by newer records.
* A file is reused only if its segment was the oldest, none of its records was live, and all records appended
  up to then are durable.  Files are reused, and their old headers erased, in the order of their segments, and
  each is synced before the next is written.  So the records of a file disappear together, and the
  replacement of a record never disappears before the record.
* After a failed sync the batch counts as unwritten, whatever the file contains.  The segment continues in
  another file (a new part) from its last durable offset, so that assigned positions stay valid.
* A replay writes and syncs the records at the end of the newest segment again: after a kill or a failed sync
  they may exist only in the page cache.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from random import Random, SystemRandom

from hollowusher.storage.disk_thread import DiskWorker, shared_disk_thread
from hollowusher.storage.files import NO_SPACE, Files, SystemFiles
from hollowusher.storage.interface import MAX_UNSYNCED_BYTES, MoveRecord, Position, StorageError
from hollowusher.storage.ring_batch import Failure, Outcome, Write, perform_batch
from hollowusher.storage.ring_replay import RingReplay, segments_of_files
from hollowusher.storage.ring_segments import (
    EXTRA_FILES,
    MEBIBYTE,
    MIN_SEGMENTS,
    Part,
    RingSize,
    Segment,
    ring_size,
)
from hollowusher.storage.segment_files import SegmentFiles
from hollowusher.storage.segment_format import (
    FRAME_BYTES,
    HEADER_BYTES,
    UNKNOWN_END,
    SegmentHeader,
    decode_record,
    encode_frame,
)
from hollowusher.storage.sync_waiters import SyncWaiters

__all__ = ["MOVED_PER_BATCH", "RingLog", "RingSize", "ring_size"]

MIN_FREE_SEGMENTS = 3  # with fewer free segments, live records of the oldest segment are moved
MAX_LIVE_FRACTION = 0.75  # live fraction of the ring; the limit bounds the cost of moving records
MOVED_BYTES_PER_APPENDED_BYTE = 4  # while too few segments are free
MIN_MOVED_BYTES = 4 * 1024
MOVED_PER_BATCH = 256 * 1024
ATTEMPTS_PER_SYNC = 2


class RingLog:
    """A `Log` in the files `ring-NNNN.log` of `folder`.

    The ring has `segments` segments of `segment_bytes` bytes.  `stalled` reports a sync that lasts longer
    than `stall_s` seconds.  Tests replace `files`, `worker` and `rng`.  Counters: `syncs`, `failed_batches`,
    `moved_records`, `damaged_records`.
    """

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
        self._move_budget = 0  # bytes that may be moved before the owner's next append
        self._closed = False
        self._live_bytes = 0
        # Files and segments
        self._files = SegmentFiles(folder, segment_bytes, self._io, self._worker)
        self._segments: dict[int, Segment] = {}  # by sequence, oldest first
        self._active: Segment | None = None
        self._last_sequence = 0
        self._last_end = UNKNOWN_END  # end offset of the segment before the active one
        # Records that are not durable yet
        self._buffered: dict[Position, bytes] = {}
        self._writing: dict[Position, bytes] = {}  # the batch under way, or a failed batch
        self._unsynced_bytes = 0
        self._appended = 0  # count of appended records
        self._synced = 0  # count of durable records
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
        """Yield all records that survived, oldest first."""
        if self._replay_begun:
            raise RuntimeError("replay() has already been called")
        self._replay_begun = True
        self._files.erase_free()
        replay = RingReplay(self._segments, self._io)
        try:
            for position, record in replay.records():
                self._segments[position.segment].live[position.offset] = position.length
                self._live_bytes += FRAME_BYTES + position.length
                yield position, record
        except OSError as error:
            raise _storage_error("replay", str(self._folder), error) from error
        finally:
            self.damaged_records += replay.damaged_records
        if self._segments:
            self._last_end = next(reversed(self._segments.values())).end
        self._replayed = True
        self._retire_empty()

    def _open_folder(self) -> None:
        found = self._files.open()
        self._segments = segments_of_files(found)
        self._last_sequence = next(reversed(self._segments), 0)
        self._max_files = max(self._max_files, len(found) + 1)  # a larger ring can be shrunk to this size
        self._replayed = not found

    def append(self, record: bytes) -> Position:
        """Add a record in memory and return its position; the next `sync` makes it durable."""
        length = len(record)
        size = FRAME_BYTES + length
        if not self._moving:
            self._check_space(size)
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

    def _check_space(self, size: int) -> None:
        if self._closed:
            raise self._error("append", "the log is closed")
        if size > self.free_bytes():
            raise self._error("append", "the ring is full")
        if self._unsynced_bytes + size > MAX_UNSYNCED_BYTES:
            raise self._error("append", "the limit of unsynced bytes is reached")

    def _roll(self, size: int) -> Segment:
        """Begin a new segment for a record of `size` bytes."""
        if not self._replayed:
            raise RuntimeError("replay() must be exhausted before the first append")
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
        """Return once all records appended before this call are durable."""
        if self._synced == self._appended:
            return
        if self._closed:
            raise self._error("sync", "the log is closed")
        done = self._waiters.add(self._appended)
        if not self._batch_running:
            self._attempts = 0
            self._start_batch()
        await done

    def unsynced_bytes(self) -> int:
        """Return how many bytes of records are not durable yet."""
        return self._unsynced_bytes

    def stalled(self, now: float) -> bool:
        """Return whether the running sync has lasted longer than `stall_s` at `now`."""
        return self._batch_running and now - self._batch_started > self._stall_s

    def _start_batch(self) -> None:
        """Submit all records that are not durable yet to the disk thread."""
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
                raise self._error("sync", "no segment file is free for the records of a failed sync")
            self._files.wanted -= 1
        write = Write(segment, part, part.file, offset, offset, [], [])
        if offset == part.base:
            header = SegmentHeader(segment.sequence, part.number, part.base, part.nonce, segment.previous_end)
            write.chunks.append(header.encode())
        return write

    def _replace_part(self, segment: Segment) -> None:
        """Continue a segment in another part after a failed sync, from the last durable offset."""
        last = segment.parts[-1]
        if last.base == segment.synced:
            segment.parts.pop()  # it holds no durable record, and its file was returned
        else:
            self._files.wanted += 1
        segment.parts.append(Part(last.number + 1, segment.synced, self._new_nonce()))
        segment.part_failed = False

    def _return_files(self, unwritten: list[Write]) -> None:
        """Return the files of parts without durable records; the next batch takes them in the same order."""
        for write in reversed(unwritten):
            if write.offset == write.part.base:
                self._files.give_back(write.file)
                write.part.file = None
                self._files.wanted += 1

    def _finish_batch(self, outcome: Outcome) -> None:
        """Process the result of a batch, complete waiting syncs, and start the next batch if needed."""
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
        """Process a failed write, which counts as unwritten.

        The next batch retries it at once, in another file unless a write failed on a full disk.  Waiting
        syncs fail at once on a full disk, otherwise after `ATTEMPTS_PER_SYNC` attempts.
        """
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
        """Prepare the next file once the active segment is half full."""
        active = self._active
        if active is not None and active.end * 2 >= active.capacity:
            self._files.prepare_next(self._segments_allowed)

    def read(self, position: Position) -> bytes:
        """Return the bytes of the record at `position`."""
        record = self._buffered.get(position)
        if record is None:
            record = self._writing.get(position)
        if record is None:
            record = self._read_durable(position)
        if record is None:
            raise self._error("read", f"the record at {position} has a wrong length or checksum")
        return record

    def _read_durable(self, position: Position) -> bytes | None:
        """Return a record from its file, None if its length or checksum is wrong."""
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
        """Mark a record as no longer needed."""
        segment = self._segments.get(position.segment)
        if segment is None or segment.live.pop(position.offset, None) is None:
            return
        self._live_bytes -= FRAME_BYTES + position.length
        if not segment.live:
            self._retire_empty()

    def set_move(self, move: MoveRecord) -> None:
        """Set the function that re-appends the live records of a segment before the segment is reused."""
        self._move = move

    def free_bytes(self) -> int:
        """Return how many bytes of further live records fit."""
        segments = self._segments_allowed - MIN_FREE_SEGMENTS - 1
        usable = int(segments * (self._segment_bytes - HEADER_BYTES) * MAX_LIVE_FRACTION)
        return max(0, usable - self._live_bytes)

    def _available_segments(self) -> int:
        """Return how many segments can still begin, including those that become free after a sync."""
        return self._files.available_files(self._segments_allowed) + self._files.retired

    def _retire_empty(self) -> None:
        """Retire the oldest segments up to the first one with live or unsynced records."""
        if not self._replayed:
            return
        while self._segments:
            oldest = next(iter(self._segments.values()))
            if oldest is self._active or oldest.live or oldest.synced < oldest.end:
                return
            del self._segments[oldest.sequence]
            self._files.retire([part.file for part in oldest.parts if part.file], self._appended)

    def _clean(self, budget: int) -> bool:
        """Move about `budget` bytes of live records out of the oldest segments; return whether any moved."""
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
            pass  # no space, or the file is unreadable now: the record stays where it is
        finally:
            self._moving = False
        return self._move_budget < before

    def _oldest_live(self) -> Position | None:
        """Return the position of the oldest live record, None if its segment is still being written."""
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
        """Continue to move records without further appends; a batch of their own writes them."""
        if self._available_segments() >= MIN_FREE_SEGMENTS or self._move_budget <= 0:
            return
        if self._clean(MOVED_PER_BATCH):
            self._start_batch()

    def _clean_in_background(self) -> None:
        """Move records to free a segment after an append was rejected."""
        self._move_budget = self._segments_allowed * self._segment_bytes
        self._clean(MOVED_PER_BATCH)
        if self._unsynced_bytes and not self._batch_running:
            self._start_batch()

    def close(self) -> None:
        """Close the files, after the running write has ended.  Unsynced records may be lost."""
        if self._closed:
            return
        self._closed = True
        self._waiters.fail_all(self._error("sync", "the log was closed"))
        if not self._batch_running:
            self._files.close()


def _storage_error(step: str, file: str, error: Exception) -> StorageError:
    reason = error.strerror if isinstance(error, OSError) else None
    return StorageError(step, file, reason or str(error))
