"""A ring buffer of fixed size, which bounds the bytes that a connection buffers in one direction."""

from __future__ import annotations

MOST_BYTES, LEAST_BYTES = 16 * 1024, 2 * 1024
MEMORY_SHARE = 1 / 8  # of the scheduler's memory, for the ring buffers of all connections


def ring_bytes(memory_mb: float, sockets: int) -> int:
    """Return the ring size in bytes at which two rings per socket fit into MEMORY_SHARE of the memory.

    The size is MOST_BYTES, halved as often as needed, but at least LEAST_BYTES."""
    size, each = MOST_BYTES, memory_mb * 1024 * 1024 * MEMORY_SHARE / (2 * sockets)
    while size > LEAST_BYTES and size > each:
        size //= 2
    return size


class RingBuffer:
    """Buffers bytes in order of arrival.  Each returned view is contiguous, for use by one socket call.

    The ring allocates its memory at the first use and frees it at `release`.  Without `release`, a closed
    connection would keep the memory until the garbage collector breaks the reference cycle between its tasks
    and parsers."""

    __slots__ = ("_head", "_view", "capacity", "size")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._view: memoryview | None = None
        self._head = 0
        self.size = 0

    def release(self) -> None:
        """Free the memory and drop all buffered bytes."""
        self._view, self._head, self.size = None, 0, 0

    def writable(self) -> memoryview:
        """Return the contiguous free space after the buffered bytes; empty only if the ring is full."""
        if self._view is None:
            self._view = memoryview(bytearray(self.capacity))
        if self.size == 0:
            self._head = 0
        tail = self._head + self.size
        if tail < self.capacity:
            return self._view[tail:]
        return self._view[tail - self.capacity : self._head]

    def filled(self, count: int) -> None:
        """Record that `count` bytes were written into the view from `writable`."""
        self.size += count

    def pending(self) -> memoryview:
        """Return the oldest contiguous buffered bytes; empty only if the ring is empty."""
        if self._view is None:
            return memoryview(b"")
        return self._view[self._head : min(self.capacity, self._head + self.size)]

    def taken(self, count: int) -> None:
        """Remove the first `count` bytes of the view from `pending`."""
        self._head = (self._head + count) % self.capacity
        self.size -= count

    def clear(self) -> None:
        """Drop all buffered bytes and keep the memory."""
        self._head = self.size = 0

    def put(self, data: bytes | memoryview) -> int:
        """Copy as much of `data` as fits into the ring; returns the number of bytes copied."""
        done = 0
        while done < len(data):
            writable = self.writable()
            if not writable:
                break
            count = min(len(writable), len(data) - done)
            writable[:count] = data[done : done + count]
            self.filled(count)
            done += count
        return done
