"""The dimensions of a ring on disk, and its segments in memory."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hollowusher.storage.interface import StorageError
from hollowusher.storage.segment_files import SegmentFile

MIN_SEGMENTS = 6
EXTRA_FILES = 3  # beyond the ring: for moved records and for parts after a failed sync
MEBIBYTE = 1024 * 1024
MIN_SEGMENT_BYTES = MEBIBYTE // 2


class RingSize(NamedTuple):
    """Dimensions of a ring."""

    segment_bytes: int
    segments: int


def ring_size(disk_mb: int, share: float = 0.6) -> RingSize:
    """A ring that takes `share` of a disk, its extra files included."""
    total = int(disk_mb * MEBIBYTE * share)
    segment_bytes = min(16 * MEBIBYTE, max(MIN_SEGMENT_BYTES, total // 24))
    return RingSize(segment_bytes, max(MIN_SEGMENTS, total // segment_bytes - EXTRA_FILES))


@dataclass(slots=True)
class Part:
    """A stretch of a segment in one file, from the segment's offset `base` on."""

    number: int
    base: int
    nonce: int
    file: SegmentFile | None = None  # taken when its first write is planned


@dataclass(slots=True)
class Segment:
    """A stretch of the log, in one file or, after a failed sync, in several."""

    sequence: int
    capacity: int
    previous_end: int
    parts: list[Part]
    end: int = 0  # offset where the next record goes
    synced: int = 0  # offset up to which all is durable
    live: dict[int, int] = field(default_factory=dict)  # offset -> length of the record
    part_failed: bool = False  # the last part must not be written any more

    def part_at(self, offset: int) -> Part:
        """The part that holds the record at `offset`."""
        for part in reversed(self.parts):
            if part.base <= offset:
                return part
        raise StorageError("read", f"segment {self.sequence}", f"no part holds offset {offset}")
