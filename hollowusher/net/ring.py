"""A ring buffer of fixed size: what a connection holds of one direction, and no more."""

from __future__ import annotations


class RingBuffer:
    """Bytes in order of arrival.  Each view is one contiguous piece, for use by one socket call."""

    __slots__ = ("_head", "_view", "size")

    def __init__(self, capacity: int) -> None:
        self._view = memoryview(bytearray(capacity))
        self._head = 0
        self.size = 0

    @property
    def capacity(self) -> int:
        """How much it can hold."""
        return len(self._view)

    def room(self) -> memoryview:
        """The free piece that follows what is held; empty only when the ring is full."""
        if self.size == 0:
            self._head = 0
        tail = self._head + self.size
        if tail < self.capacity:
            return self._view[tail:]
        return self._view[tail - self.capacity : self._head]

    def filled(self, count: int) -> None:
        """So many bytes were written into `room`."""
        self.size += count

    def pending(self) -> memoryview:
        """The oldest piece held; empty only when the ring is empty."""
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
            room = self.room()
            if not room:
                break
            count = min(len(room), len(data) - done)
            room[:count] = data[done : done + count]
            self.filled(count)
            done += count
        return done
