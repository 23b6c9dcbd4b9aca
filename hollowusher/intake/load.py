"""A bound on the requests and the bytes that a process holds at one time."""

from __future__ import annotations


class LoadGate:
    """Counts what is held, and refuses what would go over either bound."""

    def __init__(self, most_requests: int, most_bytes: int) -> None:
        self._most_requests = most_requests
        self._most_bytes = most_bytes
        self.requests = 0
        self.bytes = 0

    def enter(self, size: int) -> bool:
        """Take in one request of `size` bytes; False, and nothing counted, where there is no room."""
        if self.requests >= self._most_requests or self.bytes + size > self._most_bytes:
            return False
        self.requests += 1
        self.bytes += size
        return True

    def grow(self, size: int) -> bool:
        """Hold `size` more bytes for a request taken in before; False where there is no room."""
        if self.bytes + size > self._most_bytes:
            return False
        self.bytes += size
        return True

    def leave(self, size: int) -> None:
        """A request that held `size` bytes has been answered."""
        self.requests -= 1
        self.bytes -= size
