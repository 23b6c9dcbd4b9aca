"""The files of a ring: the free files, the order of their reuse, and their preparation for writing.

Files are reused strictly in the order of the age of their contents.  A file is taken only for the next
write, and returned if none of its new contents became durable.  Its old header is erased durably before the
next file is written.  So old records disappear oldest first, even if a write or sync fails.
"""

from __future__ import annotations

import re
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from hollowusher.storage.disk_thread import DiskWorker
from hollowusher.storage.files import Files
from hollowusher.storage.segment_format import HEADER_BYTES, SegmentHeader, decode_header

FILE_NAME = re.compile(r"ring-(\d{4})\.log")


@dataclass(slots=True)
class SegmentFile:
    """One file of the ring, which the disk thread opens and prepares for writing."""

    path: Path
    descriptor: int = -1  # -1: not open yet
    size: int = 0
    listed: bool = False  # its directory entry is durable
    ready: bool = False  # it has its full length, and its old header is erased


class SegmentFiles:
    """All files `ring-NNNN.log` of a folder.  `wanted` counts the segment parts that still need a file."""

    def __init__(self, folder: Path, segment_bytes: int, files: Files, worker: DiskWorker) -> None:
        self.wanted = 0
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._io = files
        self._worker = worker
        self._all: list[SegmentFile] = []
        self._free: deque[SegmentFile] = deque()  # oldest contents first
        # Files of retired segments, with the count of durable records after which they are free.
        self._retired: deque[tuple[int, list[SegmentFile]]] = deque()
        self._preparing: SegmentFile | None = None  # the disk thread prepares it; not in `_free`
        self._prepare_running = False
        self._closing = False

    def open(self) -> list[tuple[SegmentHeader, SegmentFile]]:
        """Open all files of the folder; return those with a valid header, oldest first."""
        self._io.make_folder(self._folder)
        found: list[tuple[SegmentHeader, SegmentFile]] = []
        for name in sorted(self._io.names(self._folder)):
            if FILE_NAME.fullmatch(name) is None:
                continue
            file = SegmentFile(self._folder / name, listed=True)
            file.descriptor = self._io.open(file.path, create=False)
            file.size = self._io.size(file.descriptor)
            self._all.append(file)
            header = decode_header(self._io.read(file.descriptor, HEADER_BYTES, 0))
            if header is None:
                self._free.append(file)
            else:
                found.append((header, file))
        found.sort(key=lambda entry: entry[0][:2])
        return found

    def erase_free(self) -> None:
        """Erase the headers of free files again.

        If the process was killed or a sync failed, an earlier erasure may exist only in the page cache; a
        power loss would then bring old records back.
        """
        for file in self._free:
            with suppress(OSError):  # `make_ready` runs again before the file is written
                self.make_ready(file)

    def available_files(self, max_files: int) -> int:
        """Return how many further parts can get a file if the ring has at most `max_files` files."""
        prepared = 0 if self._preparing is None else 1
        to_create = max(0, max_files - len(self._all))
        return len(self._free) + prepared + to_create - self.wanted

    @property
    def retired(self) -> int:
        """The number of segments whose files become free after a later sync."""
        return len(self._retired)

    def take(self, max_files: int) -> SegmentFile | None:
        """Return the file for the next write: the free one with the oldest contents, or a new one.

        The result is None if no file is free and `max_files` files exist.
        """
        if self._preparing is not None:  # older than the free files; the disk thread finishes it first
            file, self._preparing = self._preparing, None
            return file
        if self._free:
            return self._free.popleft()
        if len(self._all) >= max_files:
            return None
        return self._new_file()

    def give_back(self, file: SegmentFile) -> None:
        """Return a file without durable contents to the free ones, in reverse order of `take`."""
        file.ready = False
        self._free.appendleft(file)

    def retire(self, files: list[SegmentFile], synced: int) -> None:
        """Schedule the files of the oldest segment to become free once `synced` records are durable."""
        self._retired.append((synced, files))

    def free_retired(self, synced: int) -> None:
        """Free the retired files that waited for at most `synced` records to become durable."""
        while self._retired and self._retired[0][0] <= synced:
            for file in self._retired.popleft()[1]:
                file.ready = False
                self._free.append(file)

    def make_ready(self, file: SegmentFile) -> None:
        """Open or create a file, set its full length, and erase its old header durably."""
        if file.ready:
            return
        if file.descriptor < 0:
            file.descriptor = self._io.open(file.path, create=True)
        if self._io.size(file.descriptor) != self._segment_bytes:
            self._io.set_size(file.descriptor, self._segment_bytes)
        file.size = self._segment_bytes
        self._io.write(file.descriptor, bytes(HEADER_BYTES), 0)
        self._io.sync(file.descriptor)
        if not file.listed:
            self._io.sync_folder(self._folder)
            file.listed = True
        file.ready = True

    def prepare_next(self, max_files: int) -> None:
        """Prepare the next file in the disk thread before it is needed."""
        if self._prepare_running or (self._free and self._free[0].ready):
            return
        file = self.take(max_files)
        if file is None:
            return
        self._preparing = file
        self._prepare_running = True
        self._worker.submit(partial(self.make_ready, file), self._finish_prepare)

    def close(self) -> None:
        """Close all files, after the disk thread has finished the running preparation."""
        self._closing = True
        if self._prepare_running:
            return
        for file in self._all:
            if file.descriptor >= 0:
                self._io.close(file.descriptor)
                file.descriptor = -1

    def _finish_prepare(self, _: Exception | None) -> None:
        """Return the prepared file to the free ones; a failed preparation is repeated before the write."""
        self._prepare_running = False
        if self._preparing is not None:
            self._free.appendleft(self._preparing)
            self._preparing = None
        if self._closing:
            self.close()

    def _new_file(self) -> SegmentFile:
        taken = {file.path.name for file in self._all}
        number = next(n for n in range(len(taken) + 1) if _file_name(n) not in taken)
        file = SegmentFile(self._folder / _file_name(number))
        self._all.append(file)
        return file


def _file_name(number: int) -> str:
    return f"ring-{number:04d}.log"
