"""A bound on the requests and the bytes that a process holds at one time."""

from __future__ import annotations


class LoadLimiter:
    """Counts what is held, and refuses what would go over either bound."""

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._most_requests = max_requests
        self._most_bytes = max_bytes
        self.requests = 0
        self.bytes = 0

    def try_acquire(self, size: int) -> bool:
        """Take in one request of `size` bytes; False, and nothing counted, where there is no room."""
        if self.requests >= self._most_requests or self.bytes + size > self._most_bytes:
            return False
        self.requests += 1
        self.bytes += size
        return True

    def try_grow(self, size: int) -> bool:
        """Hold `size` more bytes for a request taken in before; False where there is no room."""
        if self.bytes + size > self._most_bytes:
            return False
        self.bytes += size
        return True

    def release(self, size: int) -> None:
        """A request that held `size` bytes has been answered."""
        self.requests -= 1
        self.bytes -= size
