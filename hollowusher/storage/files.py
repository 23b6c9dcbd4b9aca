"""The file operations that storage needs, as an interface, and the operating system's version of it."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Protocol

NO_SPACE = frozenset({errno.ENOSPC, errno.EFBIG, errno.EDQUOT})  # errors that end when room is made


class Files(Protocol):
    """File operations; each raises `OSError` on failure."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents unless they exist."""

    def names(self, folder: Path) -> list[str]:
        """Names of the entries of a folder."""

    def open(self, path: Path, create: bool) -> int:
        """Open a file to read and write; its descriptor."""

    def size(self, descriptor: int) -> int:
        """The length of an open file."""

    def set_size(self, descriptor: int, size: int) -> None:
        """Set the length of an open file."""

    def read(self, descriptor: int, length: int, offset: int) -> bytes:
        """Up to `length` bytes from `offset` on; fewer only at the end of the file."""

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        """Write all bytes at `offset`."""

    def sync(self, descriptor: int) -> None:
        """Return once the contents (and the length) are durable."""

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, replacing an existing one."""

    def sync_folder(self, folder: Path) -> None:
        """Return once the names in a folder are durable."""

    def close(self, descriptor: int) -> None:
        """Close a file."""


class SystemFiles:
    """The operating system's files.

    The length is set by `ftruncate`: `posix_fallocate` is emulated by one write for each block where the
    file system lacks it."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents unless they exist."""
        folder.mkdir(parents=True, exist_ok=True)

    def names(self, folder: Path) -> list[str]:
        """Names of the entries of a folder."""
        return os.listdir(folder)

    def open(self, path: Path, create: bool) -> int:
        """Open a file to read and write; its descriptor."""
        flags = os.O_RDWR | (os.O_CREAT if create else 0)
        return os.open(path, flags, 0o644)

    def size(self, descriptor: int) -> int:
        """The length of an open file."""
        return os.fstat(descriptor).st_size

    def set_size(self, descriptor: int, size: int) -> None:
        """Set the length of an open file."""
        os.ftruncate(descriptor, size)

    def read(self, descriptor: int, length: int, offset: int) -> bytes:
        """Up to `length` bytes from `offset` on; fewer only at the end of the file."""
        data = os.pread(descriptor, length, offset)
        while data and len(data) < length:
            more = os.pread(descriptor, length - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        """Write all bytes at `offset`."""
        written = os.pwrite(descriptor, data, offset)
        while written < len(data):
            written += os.pwrite(descriptor, memoryview(data)[written:], offset + written)

    def sync(self, descriptor: int) -> None:
        """Return once the contents (and the length) are durable."""
        os.fdatasync(descriptor)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, replacing an existing one."""
        os.rename(old, new)

    def sync_folder(self, folder: Path) -> None:
        """Return once the names in a folder are durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)


def read_whole(files: Files, path: Path) -> bytes | None:
    """All bytes of a file, None where it does not exist."""
    try:
        descriptor = files.open(path, create=False)
    except FileNotFoundError:
        return None
    try:
        return files.read(descriptor, files.size(descriptor), 0)
    finally:
        files.close(descriptor)
