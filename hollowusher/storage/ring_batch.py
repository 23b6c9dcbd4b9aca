"""One batch of writes to a ring's files, and what the writing thread does with it."""

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
    offset: int  # the segment's offset of the first record
    end: int
    positions: list[Position]
    chunks: list[bytes]


class Failure(NamedTuple):
    """The step that failed, and at which file."""

    step: str
    file: str
    error: Exception


class Outcome(NamedTuple):
    """What the writing thread achieved: the first `written` writes are durable."""

    written: int
    failure: Failure | None


def perform_batch(writes: Sequence[Write], files: SegmentFiles, io: Files) -> Outcome:
    """In the writing thread: write and sync, one file after the other."""
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
        except Exception as error:  # whatever it was: nothing may be taken for written
            return Outcome(index, Failure(step, str(file.path), error))
    return Outcome(len(writes), None)
