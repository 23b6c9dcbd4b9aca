"""One batch of writes to the files of a ring, and its execution in the disk thread."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from hollowusher.storage.files import Files
from hollowusher.storage.interface import Position
from hollowusher.storage.ring_segments import Part, Segment
from hollowusher.storage.segment_files import SegmentFile, SegmentFiles
from hollowusher.storage.segment_format import HEADER_BYTES


@dataclass(slots=True)
class Write:
    """One write of a batch: consecutive records in one file."""

    segment: Segment
    part: Part
    file: SegmentFile
    offset: int  # offset of the first record in the segment
    end: int  # offset in the segment after the last record
    positions: list[Position]
    chunks: list[bytes]


class Failure(NamedTuple):
    """The step that failed, the file, and the error."""

    step: str
    file: str
    error: Exception


class Outcome(NamedTuple):
    """Result of a batch: the first `written` writes are durable; `failure` is the error of the next one."""

    written: int
    failure: Failure | None


def perform_batch(writes: Sequence[Write], files: SegmentFiles, io: Files) -> Outcome:
    """Write and sync one file after the other.  The disk thread runs this function."""
    for index, write in enumerate(writes):
        step = "open"
        file = write.file
        try:
            files.make_ready(file)
            step = "write"
            start = write.offset - write.part.base
            start += HEADER_BYTES if start else 0  # the first write of a part begins with the header
            io.write(file.descriptor, b"".join(write.chunks), start)
            step = "sync"
            io.sync(file.descriptor)
        except Exception as error:  # after any error the write counts as not durable
            return Outcome(index, Failure(step, str(file.path), error))
    return Outcome(len(writes), None)
