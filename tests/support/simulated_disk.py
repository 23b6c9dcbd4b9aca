"""A disk in memory that simulates power loss: an unsynced write is then present, missing or torn.

It replaces `hollowusher.storage.files.SystemFiles` in tests.  Tests inject faults by setting its attributes.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from pathlib import Path
from random import Random

from hollowusher.storage.disk_thread import Done, Job, run_job


class SimulatedFile:
    """One file: its current content, its durable content, and the changes that are not synced yet."""

    def __init__(self) -> None:
        self.current = bytearray()
        self.durable = bytearray()
        self.pending: list[tuple[int, bytes]] = []  # offset and data; offset -1 for a change of the size
        self.has_durable_name = False  # whether the file's name survives a power loss

    def write(self, data: bytes, offset: int) -> None:
        overwrite(self.current, data, offset)
        self.pending.append((offset, bytes(data)))

    def set_size(self, size: int) -> None:
        resize(self.current, size)
        self.pending.append((-1, size.to_bytes(8, "big")))

    def sync(self) -> None:
        for offset, data in self.pending:
            apply_change(self.durable, offset, data)
        self.pending.clear()
        self.has_durable_name = True

    def after_power_loss(self, random_source: Random) -> SimulatedFile | None:
        """Return the file as it is after a power loss, or None if the file itself is lost."""
        if not self.has_durable_name and random_source.random() < 0.5:
            return None
        left = SimulatedFile()
        left.durable = bytearray(self.durable)
        left.has_durable_name = True
        loses_all = random_source.random() < 0.25
        for offset, data in self.pending:
            outcome = 2 if loses_all else random_source.randrange(3)
            if outcome == 0:
                apply_change(left.durable, offset, data)
            elif outcome == 1 and offset >= 0:
                tear(left.durable, data, offset, random_source)
        left.current = bytearray(left.durable)
        return left


def resize(content: bytearray, size: int) -> None:
    del content[size:]
    content.extend(bytes(size - len(content)))


def overwrite(content: bytearray, data: bytes, offset: int) -> None:
    if len(content) < offset:
        resize(content, offset)
    content[offset : offset + len(data)] = data


def apply_change(content: bytearray, offset: int, data: bytes) -> None:
    if offset < 0:
        resize(content, int.from_bytes(data, "big"))
    else:
        overwrite(content, data, offset)


def tear(content: bytearray, data: bytes, offset: int, random_source: Random) -> None:
    """Write random parts of the data and omit the others."""
    start = 0
    while start < len(data):
        end = start + random_source.randint(1, max(1, len(data) // 2))
        if random_source.random() < 0.5:
            overwrite(content, data[start:end], offset + start)
        start = end


class SimulatedDisk:
    """All files of one machine; `on_change` is called after each change, including syncs."""

    def __init__(self) -> None:
        self.files: dict[Path, SimulatedFile] = {}
        self.open_files: dict[int, SimulatedFile] = {}
        self.removed: dict[Path, SimulatedFile] = {}  # old names that may reappear after a power loss
        self.renamed: set[Path] = set()  # new names that may be lost by a power loss
        self.on_change: Callable[[], None] | None = None
        self.passing_syncs = 0  # number of the next syncs that succeed before the failing ones
        self.failing_syncs = 0  # number of syncs that fail after those
        self.failing_writes = 0
        self.full = False
        self.syncs = 0
        self._next_descriptor = 100

    def power_loss(self, random_source: Random) -> SimulatedDisk:
        """Return the disk as it is after a power loss at this moment."""
        left = SimulatedDisk()
        names = [(path, file, True) for path, file in self.removed.items()]
        names += [(path, file, path in self.renamed) for path, file in self.files.items()]
        for path, file, uncertain in names:
            survivor = file.after_power_loss(random_source)
            if survivor is not None and not (uncertain and random_source.random() < 0.5):
                left.files[path] = survivor
        return left

    def kill(self) -> None:
        """Reset the state of the process; the files keep their content."""
        self.open_files.clear()
        self.on_change = None
        self.passing_syncs = self.failing_syncs = self.failing_writes = 0

    def make_folder(self, folder: Path) -> None:
        return None

    def names(self, folder: Path) -> list[str]:
        return [path.name for path in self.files if path.parent == folder]

    def open(self, path: Path, create: bool) -> int:
        if path not in self.files:
            if not create:
                raise FileNotFoundError(errno.ENOENT, "No such file", str(path))
            self.files[path] = SimulatedFile()
            self._changed()
        self._next_descriptor += 1
        self.open_files[self._next_descriptor] = self.files[path]
        return self._next_descriptor

    def size(self, descriptor: int) -> int:
        return len(self.open_files[descriptor].current)

    def set_size(self, descriptor: int, size: int) -> None:
        self._check_space()
        self.open_files[descriptor].set_size(size)
        self._changed()

    def read(self, descriptor: int, length: int, offset: int) -> bytes:
        return bytes(self.open_files[descriptor].current[offset : offset + length])

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        self._check_space()
        if self.failing_writes:
            self.failing_writes -= 1
            self.open_files[descriptor].write(data[: len(data) // 2], offset)
            raise OSError(errno.EIO, "Input/output error")
        self.open_files[descriptor].write(data, offset)
        self._changed()

    def sync(self, descriptor: int) -> None:
        file = self.open_files[descriptor]
        if self.failing_syncs and self.passing_syncs:
            self.passing_syncs -= 1
        elif self.failing_syncs:
            self.failing_syncs -= 1
            file.pending.clear()  # the data stays readable, but no later sync makes it durable
            raise OSError(errno.EIO, "Input/output error")
        file.sync()
        self.syncs += 1
        self._changed()

    def rename(self, old: Path, new: Path) -> None:
        self.removed[old] = self.files[old]
        if new in self.files:
            self.removed[new] = self.files[new]
        self.files[new] = self.files.pop(old)
        self.renamed.add(new)
        self._changed()

    def sync_folder(self, folder: Path) -> None:
        self.removed = {path: file for path, file in self.removed.items() if path.parent != folder}
        self.renamed = {path for path in self.renamed if path.parent != folder}
        self._changed()

    def close(self, descriptor: int) -> None:
        del self.open_files[descriptor]

    def _check_space(self) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")

    def _changed(self) -> None:
        if self.on_change is not None:
            self.on_change()


class InlineWorker:
    """Replacement of the disk thread that runs each job at once, or at `run_next` while `held` is set."""

    def __init__(self) -> None:
        self.held = False
        self.waiting: list[Callable[[], None]] = []

    def submit(self, job: Job, done: Done) -> None:
        loop = asyncio.get_running_loop()

        def run() -> None:
            loop.call_soon(done, run_job(job))

        if self.held:
            self.waiting.append(run)
        else:
            run()

    def run_next(self) -> None:
        """Run the oldest waiting job."""
        self.waiting.pop(0)()
