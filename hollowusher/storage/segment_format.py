"""Format of a segment file: one header, then records framed by length and checksum.

A segment is a range of offsets, usually in one file.  If a sync fails, the segment continues in another
file, which holds a further part that begins at the offset `base`; bytes of an earlier part from that offset
on are ignored.

Each use of a file draws a new random `nonce`.  The checksum of every record includes the nonce and the offset
of the record, so bytes left from an earlier use of the file never pass as records.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

MAGIC = b"HWRINGLG"
FORMAT_VERSION = 1
UNKNOWN_END = 0xFFFFFFFF
MASK_64 = (1 << 64) - 1

_HEADER = struct.Struct("<8sIIQQII")  # magic, version, part, sequence, nonce, base, previous_end
_CHECKSUM = struct.Struct("<Q")
_FRAME = struct.Struct("<IQ")  # length, checksum
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
FRAME_BYTES = _FRAME.size


class SegmentHeader(NamedTuple):
    """Header at the start of a segment file."""

    sequence: int
    part: int
    base: int  # offset in the segment of the first record of this file
    nonce: int
    previous_end: int  # end offset of segment `sequence - 1`, whose records were all durable

    def encode(self) -> bytes:
        """Return the header as bytes, with a checksum."""
        data = _HEADER.pack(
            MAGIC, FORMAT_VERSION, self.part, self.sequence, self.nonce, self.base, self.previous_end
        )
        return data + _CHECKSUM.pack(xxhash.xxh64_intdigest(data))


def decode_header(data: bytes) -> SegmentHeader | None:
    """Return the header from the first bytes of a file, None if it is not valid."""
    if len(data) < HEADER_BYTES:
        return None
    fields = data[: _HEADER.size]
    (checksum,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    if xxhash.xxh64_intdigest(fields) != checksum:
        return None
    magic, version, part, sequence, nonce, base, previous_end = _HEADER.unpack(fields)
    if magic != MAGIC or version != FORMAT_VERSION:
        return None
    return SegmentHeader(sequence, part, base, nonce, previous_end)


def encode_frame(record: bytes, nonce: int, offset: int) -> bytes:
    """Return the frame header, length and checksum, of a record at `offset` of its segment."""
    return _FRAME.pack(len(record), xxhash.xxh64_intdigest(record, (nonce + offset) & MASK_64))


def decode_record(data: bytes, nonce: int, offset: int) -> bytes | None:
    """Return the record in a frame, None if its length or checksum is wrong."""
    if len(data) < FRAME_BYTES:
        return None
    length, checksum = _FRAME.unpack_from(data)
    record = data[FRAME_BYTES:]
    if length != len(record) or xxhash.xxh64_intdigest(record, (nonce + offset) & MASK_64) != checksum:
        return None
    return record


class RecordScan:
    """Reads the records of one part.

    `end` is the offset up to which the records are known to have been durable, None for the newest part.  In
    the newest part the first record with a wrong checksum ends the scan, because no sync has confirmed it.
    Before a known end such a record is damaged: the scan counts it in `damaged` and continues after it, or
    skips the rest of the part if the length of the record is not plausible.
    """

    def __init__(self, data: bytes | memoryview, header: SegmentHeader, end: int | None) -> None:
        self.damaged = 0
        self.position = header.base  # end offset of the records read so far
        self._data = data  # bytes of the part after its header
        self._header = header
        self._end = end

    def records(self) -> Iterator[tuple[int, bytes]]:
        """Yield the offsets and records in order."""
        view = memoryview(self._data)
        base, nonce = self._header.base, self._header.nonce
        limit = base + len(view)
        if self._end is not None:
            limit = min(limit, self._end)
        while self.position + FRAME_BYTES <= limit:
            offset = self.position
            start = offset - base + FRAME_BYTES
            length, checksum = _FRAME.unpack_from(view, offset - base)
            fits = offset + FRAME_BYTES + length <= limit
            payload = view[start : start + length] if fits else b""
            if fits and xxhash.xxh64_intdigest(payload, (nonce + offset) & MASK_64) == checksum:
                self.position = offset + FRAME_BYTES + length
                yield offset, bytes(payload)
            elif self._end is None:
                return
            else:
                self.damaged += 1
                self.position = offset + FRAME_BYTES + length if fits else self._end
        if self._end is not None:
            self.position = self._end
