"""Reads the records that the segment files of a ring log contain, when a process starts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from hollowusher.storage.files import NO_SPACE, Files
from hollowusher.storage.interface import Position
from hollowusher.storage.ring_segments import Part, Segment
from hollowusher.storage.segment_files import SegmentFile
from hollowusher.storage.segment_format import HEADER_BYTES, UNKNOWN_END, RecordScan, SegmentHeader


def segments_of_files(found: Iterable[tuple[SegmentHeader, SegmentFile]]) -> dict[int, Segment]:
    """Return the segments by sequence number; `found` are their files in the order of their headers."""
    segments: dict[int, Segment] = {}
    for header, file in found:
        segment = segments.get(header.sequence)
        if segment is None:
            segment = segments[header.sequence] = Segment(header.sequence, 0, header.previous_end, [])
        segment.parts.append(Part(header.part, header.base, header.nonce, file))
    return segments


class RingReplay:
    """One replay of all segments, oldest first.

    It sets the end of each segment, and writes the last records of the newest segment to disk again.
    `damaged_records` counts the records with a wrong checksum.
    """

    def __init__(self, segments: dict[int, Segment], files: Files) -> None:
        self.damaged_records = 0
        self._segments = segments
        self._files = files

    def records(self) -> Iterator[tuple[Position, bytes]]:
        """Yield the records that survived, oldest first; raise `OSError` if a file fails."""
        for segment in list(self._segments.values()):
            yield from self._segment_records(segment)

    def _segment_records(self, segment: Segment) -> Iterator[tuple[Position, bytes]]:
        following = self._segments.get(segment.sequence + 1)
        known_end = following.previous_end if following is not None else UNKNOWN_END
        for index, part in enumerate(segment.parts):
            end = min((later.base for later in segment.parts[index + 1 :]), default=known_end)
            assert part.file is not None
            yield from self._part_records(segment, part, part.file, None if end == UNKNOWN_END else end)

    def _part_records(
        self, segment: Segment, part: Part, file: SegmentFile, end: int | None
    ) -> Iterator[tuple[Position, bytes]]:
        data = self._files.read(file.descriptor, file.size, 0)
        header = SegmentHeader(segment.sequence, part.number, part.base, part.nonce, segment.previous_end)
        scan = RecordScan(memoryview(data)[HEADER_BYTES:], header, end)
        for offset, record in scan.records():
            yield Position(segment.sequence, offset, len(record)), record
        self.damaged_records += scan.damaged
        segment.end = segment.synced = scan.position
        if end is None:
            self._write_again(file, data[: HEADER_BYTES + scan.position - part.base])

    def _write_again(self, file: SegmentFile, data: bytes) -> None:
        """Write and sync the bytes that were read, which may exist only in the page cache.

        A write that fails on a full disk is ignored.
        """
        try:
            self._files.write(file.descriptor, data, 0)
        except OSError as error:
            if error.errno not in NO_SPACE:
                raise
        self._files.sync(file.descriptor)
