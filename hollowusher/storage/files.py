"""Interface of the file operations that the storage uses, and its implementation on the operating system."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Protocol

NO_SPACE = frozenset({errno.ENOSPC, errno.EFBIG, errno.EDQUOT})  # errors that end once space is freed


class Files(Protocol):
    """File operations; each raises `OSError` on failure."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents unless they exist."""

    def names(self, folder: Path) -> list[str]:
        """Return the names of the entries of a folder."""

    def open(self, path: Path, create: bool) -> int:
        """Open a file for reading and writing; return its descriptor."""

    def size(self, descriptor: int) -> int:
        """Return the length of an open file in bytes."""

    def set_size(self, descriptor: int, size: int) -> None:
        """Set the length of an open file."""

    def read(self, descriptor: int, length: int, offset: int) -> bytes:
        """Return `length` bytes from `offset` on, fewer only at the end of the file."""

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        """Write all bytes at `offset`."""

    def sync(self, descriptor: int) -> None:
        """Return once the contents and the length are durable."""

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, replacing an existing one."""

    def sync_folder(self, folder: Path) -> None:
        """Return once the entries of a folder are durable."""

    def close(self, descriptor: int) -> None:
        """Close a file."""


class SystemFiles:
    """`Files` on the file system of the operating system.

    `set_size` uses `ftruncate` instead of `posix_fallocate`, because `posix_fallocate` writes to each block
    on file systems that do not support it.
    """

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents unless they exist."""
        folder.mkdir(parents=True, exist_ok=True)

    def names(self, folder: Path) -> list[str]:
        """Return the names of the entries of a folder."""
        return os.listdir(folder)

    def open(self, path: Path, create: bool) -> int:
        """Open a file for reading and writing; return its descriptor."""
        flags = os.O_RDWR | (os.O_CREAT if create else 0)
        return os.open(path, flags, 0o644)

    def size(self, descriptor: int) -> int:
        """Return the length of an open file in bytes."""
        return os.fstat(descriptor).st_size

    def set_size(self, descriptor: int, size: int) -> None:
        """Set the length of an open file."""
        os.ftruncate(descriptor, size)

    def read(self, descriptor: int, length: int, offset: int) -> bytes:
        """Return `length` bytes from `offset` on, fewer only at the end of the file."""
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
        """Return once the contents and the length are durable."""
        os.fdatasync(descriptor)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, replacing an existing one."""
        os.rename(old, new)

    def sync_folder(self, folder: Path) -> None:
        """Return once the entries of a folder are durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)


def read_whole(files: Files, path: Path) -> bytes | None:
    """Return all bytes of a file, None if it does not exist."""
    try:
        descriptor = files.open(path, create=False)
    except FileNotFoundError:
        return None
    try:
        return files.read(descriptor, files.size(descriptor), 0)
    finally:
        files.close(descriptor)
