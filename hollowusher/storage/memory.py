"""A log and a slot in memory with the semantics of those on disk, for tests and simulations."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from hollowusher.storage.interface import MAX_UNSYNCED_BYTES, MoveRecord, Position, StorageError

FRAME_BYTES = 12  # overhead of each record, as on disk
MAX_LIVE_FRACTION = 0.75  # live fraction of the ring, as on disk
SPARE_SEGMENTS = 3  # with fewer free segments, live records of the oldest segment are moved


@dataclass(slots=True)
class _Segment:
    sequence: int
    records: dict[int, bytes] = field(default_factory=dict)  # offset -> record, in order
    live: dict[int, int] = field(default_factory=dict)  # offset -> length
    end: int = 0


class MemoryLog:
    """A `Log` in memory.  Syncs take `sync_s` seconds; a non-empty `failing` makes syncs and appends fail."""

    def __init__(
        self, segment_bytes: int = 64 * 1024, segments: int = 64, sync_s: float = 0.0, stall_s: float = 2.0
    ) -> None:
        self.sync_s = sync_s
        self.failing = ""  # reason of the injected failure; empty: no failure
        self.syncs = 0
        self._segment_bytes = segment_bytes
        self._segments_allowed = segments
        self._stall_s = stall_s
        self._segments: dict[int, _Segment] = {1: _Segment(1)}
        self._unsynced: dict[Position, bytes] = {}
        self._unsynced_bytes = 0
        self._appended = 0
        self._synced = 0
        self._live_bytes = 0
        self._sync_started: float | None = None
        self._sync_task: asyncio.Task[None] | None = None
        self._move: MoveRecord | None = None
        self._moving = False

    def replay(self) -> Iterator[tuple[Position, bytes]]:
        """Yield all records that survived, oldest first."""
        for segment in list(self._segments.values()):
            for offset, record in list(segment.records.items()):
                yield Position(segment.sequence, offset, len(record)), record

    def append(self, record: bytes) -> Position:
        """Add a record in memory and return its position."""
        size = FRAME_BYTES + len(record)
        if self.failing:
            raise StorageError("append", "memory", self.failing)
        if size > self._segment_bytes or (not self._moving and size > self.free_bytes()):
            raise StorageError("append", "memory", "the ring is full")
        if not self._moving and self._unsynced_bytes + size > MAX_UNSYNCED_BYTES:
            raise StorageError("append", "memory", "the limit of unsynced bytes is reached")
        segment = self._active()
        if segment.end + size > self._segment_bytes:
            segment = _Segment(segment.sequence + 1)
            self._segments[segment.sequence] = segment
        position = Position(segment.sequence, segment.end, len(record))
        segment.end += size
        segment.records[position.offset] = record
        segment.live[position.offset] = len(record)
        self._live_bytes += size
        self._unsynced[position] = record
        self._unsynced_bytes += size
        self._appended += 1
        self._reclaim()
        return position

    async def sync(self) -> None:
        """Return once all records appended before this call are durable."""
        target = self._appended
        while self._synced < target:
            if self._sync_task is None:
                self._sync_task = asyncio.get_running_loop().create_task(self._sync_batch())
            await asyncio.shield(self._sync_task)

    def read(self, position: Position) -> bytes:
        """Return the bytes of the record at `position`."""
        segment = self._segments.get(position.segment)
        record = segment.records.get(position.offset) if segment is not None else None
        if record is None:
            raise StorageError("read", "memory", f"no record at {position}")
        return record

    def release(self, position: Position) -> None:
        """Mark a record as no longer needed."""
        segment = self._segments.get(position.segment)
        if segment is None or segment.live.pop(position.offset, None) is None:
            return
        self._live_bytes -= FRAME_BYTES + position.length

    def set_move(self, move: MoveRecord) -> None:
        """Set the function that re-appends the live records of a segment before the segment is reused."""
        self._move = move

    def free_bytes(self) -> int:
        """Return how many bytes of further live records fit."""
        usable = (self._segments_allowed - SPARE_SEGMENTS - 1) * self._segment_bytes * MAX_LIVE_FRACTION
        return max(0, int(usable) - self._live_bytes)

    def unsynced_bytes(self) -> int:
        """Return how many bytes of records are not durable yet."""
        return self._unsynced_bytes

    def stalled(self, now: float) -> bool:
        """Return whether the running sync has lasted longer than `stall_s` at `now`."""
        return self._sync_started is not None and now - self._sync_started > self._stall_s

    def close(self) -> None:
        """Do nothing: a log in memory has no files to close."""

    def crash(self, rng: Random, in_order: bool = False) -> MemoryLog:
        """Return the log after a power loss: all synced records, and a random part of the unsynced ones.

        A torn record fails its checksum, so it is missing.  With `in_order` a prefix of the unsynced records
        survives, as in the ring log; otherwise a random subset survives.
        """
        after = MemoryLog(self._segment_bytes, self._segments_allowed, self.sync_s, self._stall_s)
        lost = self._lost_records(rng, in_order)
        after._segments = {}
        for segment in self._segments.values():
            records = {
                offset: record
                for offset, record in segment.records.items()
                if (segment.sequence, offset) not in lost
            }
            after._adopt(_Segment(segment.sequence, records, end=segment.end))
        after._adopt(_Segment(max(self._segments) + 1))  # as on disk, no record is appended after a torn one
        return after

    def _lost_records(self, rng: Random, in_order: bool) -> set[tuple[int, int]]:
        unsynced = [(position.segment, position.offset) for position in self._unsynced]
        if in_order:
            return set(unsynced[rng.randint(0, len(unsynced)) :])
        return {key for key in unsynced if rng.random() < 0.5}

    def _adopt(self, segment: _Segment) -> None:
        segment.live = {offset: len(record) for offset, record in segment.records.items()}
        self._segments[segment.sequence] = segment
        self._live_bytes += sum(FRAME_BYTES + length for length in segment.live.values())

    def _active(self) -> _Segment:
        return self._segments[max(self._segments)]

    async def _sync_batch(self) -> None:
        batch, target = list(self._unsynced), self._appended
        self._sync_started = asyncio.get_running_loop().time()
        try:
            await asyncio.sleep(self.sync_s)
            if self.failing:
                raise StorageError("sync", "memory", self.failing)
            for position in batch:
                if self._unsynced.pop(position, None) is not None:
                    self._unsynced_bytes -= FRAME_BYTES + position.length
            self._synced = target
            self.syncs += 1
        finally:
            self._sync_started = None
            self._sync_task = None
        self._drop_oldest()

    def _reclaim(self) -> None:
        """Move the live records of the oldest segment when few segments are free."""
        if self._moving or self._move is None:
            return
        if len(self._segments) <= self._segments_allowed - SPARE_SEGMENTS:
            return
        oldest = self._segments[min(self._segments)]
        self._moving = True
        try:
            for offset, length in list(oldest.live.items()):
                position = Position(oldest.sequence, offset, length)
                self._move(position, oldest.records[offset])
                self.release(position)
        finally:
            self._moving = False

    def _drop_oldest(self) -> None:
        """Delete the oldest segments without live records once all records are durable."""
        while len(self._segments) > self._segments_allowed - SPARE_SEGMENTS and not self._unsynced:
            oldest = self._segments[min(self._segments)]
            if oldest.live:
                return
            del self._segments[oldest.sequence]


class MemorySlot:
    """A `Slot` in memory.  A save takes `save_s` seconds; a non-empty `failing` makes saves fail."""

    def __init__(self, value: bytes | None = None, save_s: float = 0.0) -> None:
        self.save_s = save_s
        self.failing = ""
        self.saves = 0
        self._value = value
        self._saving: bytes | None = None
        self._lock = asyncio.Lock()

    def load(self) -> bytes | None:
        """Return the value saved last, None if there is none."""
        return self._value

    async def save(self, value: bytes) -> None:
        """Replace the value durably."""
        async with self._lock:
            self._saving = value
            await asyncio.sleep(self.save_s)
            self._saving = None
            if self.failing:
                raise StorageError("save", "memory", self.failing)
            self._value = value
            self.saves += 1

    def crash(self, rng: Random) -> MemorySlot:
        """Return the slot after a power loss: it holds the old value, or the one being saved."""
        value = self._value
        if self._saving is not None and rng.random() < 0.5:
            value = self._saving
        return MemorySlot(value, self.save_s)
