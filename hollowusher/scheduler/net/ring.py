"""A ring buffer of fixed size: what a connection holds of one direction, and no more."""

from __future__ import annotations

MOST_BYTES, LEAST_BYTES = 16 * 1024, 2 * 1024
MEMORY_SHARE = 1 / 8  # of the scheduler's memory, for all rings of all its connections


def ring_bytes(memory_mb: float, sockets: int) -> int:
    """The size at which two rings for each of so many sockets keep to their share of the memory."""
    size, each = MOST_BYTES, memory_mb * 1024 * 1024 * MEMORY_SHARE / (2 * sockets)
    while size > LEAST_BYTES and size > each:
        size //= 2
    return size


class RingBuffer:
    """Bytes in order of arrival.  Each view is one contiguous piece, for use by one socket call.

    Its memory is taken at its first use and given back at `release`: a connection that came and went must not
    hold it until the garbage collector gets round to the tasks and parsers that refer to each other."""

    __slots__ = ("_head", "_view", "capacity", "size")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._view: memoryview | None = None
        self._head = 0
        self.size = 0

    def release(self) -> None:
        """Give the memory back, with all that is held."""
        self._view, self._head, self.size = None, 0, 0

    def writable(self) -> memoryview:
        """The free piece that follows what is held; empty only when the ring is full."""
        if self._view is None:
            self._view = memoryview(bytearray(self.capacity))
        if self.size == 0:
            self._head = 0
        tail = self._head + self.size
        if tail < self.capacity:
            return self._view[tail:]
        return self._view[tail - self.capacity : self._head]

    def filled(self, count: int) -> None:
        """So many bytes were written into `writable`."""
        self.size += count

    def pending(self) -> memoryview:
        """The oldest piece held; empty only when the ring is empty."""
        if self._view is None:
            return memoryview(b"")
        return self._view[self._head : min(self.capacity, self._head + self.size)]

    def taken(self, count: int) -> None:
        """So many bytes of `pending` are done with."""
        self._head = (self._head + count) % self.capacity
        self.size -= count

    def clear(self) -> None:
        """Drop all that is held."""
        self._head = self.size = 0

    def put(self, data: bytes | memoryview) -> int:
        """Copy in as much as fits; how much that was."""
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
