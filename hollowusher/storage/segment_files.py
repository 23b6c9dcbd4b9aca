"""The files of a ring: which are free, in what order they are used again, and how one is made ready.

Files go round strictly by the age of their contents.  A file is handed out only for the next write, and
given back if nothing in it became durable; its old header is erased durably before the next file is
touched.  So old records vanish oldest first, whatever fails.
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
    """One file of the ring.  The disk thread opens it and makes it ready."""

    path: Path
    descriptor: int = -1  # -1: not open yet
    size: int = 0
    listed: bool = False  # its name is durable
    ready: bool = False  # of full length, and without the header of an earlier use


class SegmentFiles:
    """All files `ring-NNNN.log` of a folder.  `wanted` counts parts of segments that still need a file."""

    def __init__(self, folder: Path, segment_bytes: int, files: Files, worker: DiskWorker) -> None:
        self.wanted = 0
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._io = files
        self._worker = worker
        self._all: list[SegmentFile] = []
        self._free: deque[SegmentFile] = deque()  # oldest contents first
        self._retired: deque[tuple[int, list[SegmentFile]]] = deque()  # free once so much is synced
        self._preparing: SegmentFile | None = None  # not among the free ones meanwhile
        self._prepare_running = False
        self._closing = False

    def open(self) -> list[tuple[SegmentHeader, SegmentFile]]:
        """Open what the folder holds; the files with a valid header, oldest first."""
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
        """Erase the headers of free files again: after a kill, or after a failed sync, that may stand in the
        system's cache alone, and old records would come back when the power goes."""
        for file in self._free:
            with suppress(OSError):  # it is done before the file is written
                self.make_ready(file)

    def available_files(self, max_files: int) -> int:
        """How many further parts can get a file while there may be `most_files` in all."""
        prepared = 0 if self._preparing is None else 1
        to_create = max(0, max_files - len(self._all))
        return len(self._free) + prepared + to_create - self.wanted

    @property
    def retired(self) -> int:
        """How many segments' files wait to become free."""
        return len(self._retired)

    def take(self, max_files: int) -> SegmentFile | None:
        """The file for the next write: the free one with the oldest contents, or a new one."""
        if self._preparing is not None:  # older than the free ones; the thread makes it ready first
            file, self._preparing = self._preparing, None
            return file
        if self._free:
            return self._free.popleft()
        if len(self._all) >= max_files:
            return None
        return self._new_file()

    def give_back(self, file: SegmentFile) -> None:
        """Take back a file in which nothing is durable; the one handed out last comes back first."""
        file.ready = False
        self._free.appendleft(file)

    def retire(self, files: list[SegmentFile], synced: int) -> None:
        """Free the files of the oldest segment as soon as `synced` records are durable."""
        self._retired.append((synced, files))

    def free_retired(self, synced: int) -> None:
        """Free what was retired, now that `synced` records are durable."""
        while self._retired and self._retired[0][0] <= synced:
            for file in self._retired.popleft()[1]:
                file.ready = False
                self._free.append(file)

    def make_ready(self, file: SegmentFile) -> None:
        """Open a file, creating it if it is new, give it its full length, and erase its old header."""
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
        """Have the disk thread make the next file ready ahead of its use."""
        if self._prepare_running or (self._free and self._free[0].ready):
            return
        file = self.take(max_files)
        if file is None:
            return
        self._preparing = file
        self._prepare_running = True
        self._worker.submit(partial(self.make_ready, file), self._finish_prepare)

    def close(self) -> None:
        """Close all files, once the thread has done with them."""
        self._closing = True
        if self._prepare_running:
            return
        for file in self._all:
            if file.descriptor >= 0:
                self._io.close(file.descriptor)
                file.descriptor = -1

    def _finish_prepare(self, _: Exception | None) -> None:
        """A file that could not be made ready is so before it is written."""
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
