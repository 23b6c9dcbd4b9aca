"""A limit on the number of requests and bytes that a process holds at one time."""

from __future__ import annotations


class LoadLimiter:
    """Counts the requests and bytes held, and rejects a request that would exceed either limit."""

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self.requests = 0
        self.bytes = 0

    def try_acquire(self, size: int) -> bool:
        """Count one request of `size` bytes; return False and count nothing if it would exceed a limit."""
        if self.requests >= self._max_requests or self.bytes + size > self._max_bytes:
            return False
        self.requests += 1
        self.bytes += size
        return True

    def try_grow(self, size: int) -> bool:
        """Count `size` more bytes for an acquired request; return False if they would exceed the limit."""
        if self.bytes + size > self._max_bytes:
            return False
        self.bytes += size
        return True

    def release(self, size: int) -> None:
        """Stop counting one request, which held `size` bytes in total."""
        self.requests -= 1
        self.bytes -= size
