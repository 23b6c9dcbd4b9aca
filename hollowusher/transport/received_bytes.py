"""Bytes that a connection has received and not parsed yet."""

from __future__ import annotations


class ReceivedBytes:
    """Bytes that were received and not parsed yet; parts are taken without a copy of the rest."""

    def __init__(self) -> None:
        self._data = b""
        self._taken = 0

    def __len__(self) -> int:
        """Return the number of bytes that wait."""
        return len(self._data) - self._taken

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._data = self._data[self._taken :] + data if len(self) else data
        self._taken = 0

    def take(self, size: int) -> bytes:
        """Remove and return the first `size` bytes, or all if there are fewer."""
        part = self._data[self._taken : self._taken + size]
        self._taken += len(part)
        if not len(self):
            self.clear()
        return part

    def clear(self) -> None:
        """Discard all bytes."""
        self._data = b""
        self._taken = 0
