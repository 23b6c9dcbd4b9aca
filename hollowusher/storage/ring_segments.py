"""The size of a ring on disk, and the in-memory state of its segments."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hollowusher.storage.interface import StorageError
from hollowusher.storage.segment_files import SegmentFile

MIN_SEGMENTS = 6
EXTRA_FILES = 3  # files beyond the segments, for moved records and for new parts after a failed sync
MEBIBYTE = 1024 * 1024
MIN_SEGMENT_BYTES = MEBIBYTE // 2


class RingSize(NamedTuple):
    """Size of a ring: the bytes of each segment, and the number of segments."""

    segment_bytes: int
    segments: int


def ring_size(disk_mb: int, share: float = 0.6) -> RingSize:
    """Return the size of a ring that takes `share` of a disk of `disk_mb` MiB, including its extra files."""
    total = int(disk_mb * MEBIBYTE * share)
    segment_bytes = min(16 * MEBIBYTE, max(MIN_SEGMENT_BYTES, total // 24))
    return RingSize(segment_bytes, max(MIN_SEGMENTS, total // segment_bytes - EXTRA_FILES))


@dataclass(slots=True)
class Part:
    """The range of a segment in one file, from the offset `base` of the segment on."""

    number: int
    base: int
    nonce: int
    file: SegmentFile | None = None  # assigned when its first write is planned


@dataclass(slots=True)
class Segment:
    """A contiguous range of the log, in one file or, after a failed sync, in several."""

    sequence: int
    capacity: int
    previous_end: int
    parts: list[Part]
    end: int = 0  # offset of the next record
    synced: int = 0  # offset up to which all records are durable
    live: dict[int, int] = field(default_factory=dict)  # offset -> length of the record
    part_failed: bool = False  # a write or sync failed: later records go to a new part

    def part_at(self, offset: int) -> Part:
        """Return the part that holds the record at `offset`."""
        for part in reversed(self.parts):
            if part.base <= offset:
                return part
        raise StorageError("read", f"segment {self.sequence}", f"no part holds offset {offset}")
