"""A small value on disk that is replaced atomically, in two files that are written in turn.

Each file holds a sequence number, a length, a checksum and the value.  A save overwrites the file with the
older value, so a torn write leaves the newer value intact.
"""

from __future__ import annotations

import asyncio
import struct
from functools import partial
from pathlib import Path

import xxhash

from hollowusher.storage.disk_thread import DiskWorker, shared_disk_thread
from hollowusher.storage.files import NO_SPACE, Files, SystemFiles
from hollowusher.storage.interface import StorageError

MAGIC = b"HWSLOT01"
_HEADER = struct.Struct("<8sQIQ")  # magic, sequence, length, checksum of sequence and value
SIDES = (".0", ".1")


def encode_value(sequence: int, value: bytes) -> bytes:
    """Return the contents of a slot file."""
    return _HEADER.pack(MAGIC, sequence, len(value), xxhash.xxh64_intdigest(value, sequence)) + value


def decode_value(data: bytes) -> tuple[int, bytes] | None:
    """Return the sequence number and value from the contents of a slot file, None if they are not valid."""
    if len(data) < _HEADER.size:
        return None
    magic, sequence, length, checksum = _HEADER.unpack_from(data)
    value = data[_HEADER.size : _HEADER.size + length]
    if magic != MAGIC or len(value) != length or xxhash.xxh64_intdigest(value, sequence) != checksum:
        return None
    return sequence, value


class SlotFile:
    """A `Slot` in the files `PATH.0` and `PATH.1`.

    Saves that wait during a running write are combined: only the newest value is written, and its result
    completes all of them.
    """

    def __init__(self, path: Path, files: Files | None = None, worker: DiskWorker | None = None) -> None:
        self._path = path
        self._io: Files = SystemFiles() if files is None else files
        self._worker: DiskWorker = shared_disk_thread() if worker is None else worker
        self._descriptors: list[int] = []
        self._sequence = 0  # sequence number of the newest value known to be durable
        self._newest_side = 1
        self._value: bytes | None = None
        self._waiting: tuple[bytes, asyncio.Future[None]] | None = None
        self._writing = False
        self._closed = False

    def load(self) -> bytes | None:
        """Return the value saved last, None if there is none."""
        try:
            self._open()
        except OSError as error:
            raise self._error("load", error) from error
        return self._value

    async def save(self, value: bytes) -> None:
        """Replace the value durably."""
        if self._closed:
            raise StorageError("save", str(self._path), "the slot is closed")
        if self._waiting is None:
            self._waiting = (value, asyncio.get_running_loop().create_future())
        else:
            self._waiting = (value, self._waiting[1])
        done = self._waiting[1]
        if not self._writing:
            self._start_write()
        await asyncio.shield(done)

    def close(self) -> None:
        """Close the files, after the running write has ended; saves that still wait fail."""
        if self._closed:
            return
        self._closed = True
        if self._waiting is not None:
            self._waiting[1].set_exception(StorageError("save", str(self._path), "the slot was closed"))
            self._waiting = None
        if not self._writing:
            self._close_files()

    def _open(self) -> None:
        """Open both files and read the newest value, unless this has been done."""
        if self._descriptors:
            return
        self._io.make_folder(self._path.parent)
        descriptors = [self._io.open(self._side_path(side), create=True) for side in SIDES]
        for descriptor in descriptors:
            self._io.sync(descriptor)
        self._io.sync_folder(self._path.parent)
        for side, descriptor in enumerate(descriptors):
            found = decode_value(self._io.read(descriptor, self._io.size(descriptor), 0))
            if found is not None and found[0] > self._sequence:
                self._sequence, self._value = found
                self._newest_side = side
        if self._value is not None:
            self._write_again(descriptors[self._newest_side], encode_value(self._sequence, self._value))
        self._descriptors = descriptors

    def _write_again(self, descriptor: int, data: bytes) -> None:
        """Write and sync the value that was read.

        After a kill or a failed sync the value may exist only in the page cache.  A write that fails on a
        full disk is ignored.
        """
        try:
            self._io.write(descriptor, data, 0)
        except OSError as error:
            if error.errno not in NO_SPACE:
                raise
        self._io.sync(descriptor)

    def _side_path(self, side: str) -> Path:
        return self._path.with_name(self._path.name + side)

    def _start_write(self) -> None:
        assert self._waiting is not None
        value, done = self._waiting
        self._waiting = None
        self._writing = True
        self._worker.submit(partial(self._write, value), partial(self._finish_write, value, done))

    def _write(self, value: bytes) -> None:
        """Overwrite the file with the older value.  The disk thread runs this method."""
        self._open()
        descriptor = self._descriptors[1 - self._newest_side]
        self._io.write(descriptor, encode_value(self._sequence + 1, value), 0)
        self._io.sync(descriptor)

    def _finish_write(self, value: bytes, done: asyncio.Future[None], error: Exception | None) -> None:
        self._writing = False
        if error is None:
            self._sequence += 1
            self._newest_side = 1 - self._newest_side
            self._value = value
        if not done.done():
            if error is None:
                done.set_result(None)
            else:
                done.set_exception(self._error("save", error))
        if self._closed:
            self._close_files()
        elif self._waiting is not None:
            self._start_write()

    def _close_files(self) -> None:
        for descriptor in self._descriptors:
            self._io.close(descriptor)
        self._descriptors = []

    def _error(self, step: str, error: Exception) -> StorageError:
        reason = error.strerror if isinstance(error, OSError) else None
        return StorageError(step, str(self._path), reason or str(error))
