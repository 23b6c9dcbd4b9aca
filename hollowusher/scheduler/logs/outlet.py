"""Writes log lines to a file descriptor through a bounded queue, without blocking.

A stalled reader (a full pipe, a suspended terminal process) blocks the writer, so a blocking write would stop
the whole scheduler until the reader continues.  Therefore the outlet polls the descriptor with no timeout
before each write, and writes at most PIPE_BUF bytes at a time, which a writable pipe accepts completely
(pipe(7)).  A writer thread is no alternative: a thread that is blocked in a write cannot be terminated, and a
running one competes with the event loop for the interpreter lock.
"""

from __future__ import annotations

import os
import select
import time
from collections import deque
from collections.abc import Callable

MOST_LINES, MOST_BYTES = 1_000, 128 * 1024  # limits of the queue; further lines are dropped and counted
RETRY_FIRST_S, RETRY_LAST_S = 0.02, 1.0  # delay before a write is retried, doubled each time
_POLL_MOST_S = 0.05  # the longest single poll while `close` waits for the reader

Later = Callable[[float, Callable[[], None]], object]


class Outlet:
    """Writes lines in order to one descriptor.  `put` never blocks; lines that exceed the queue are dropped.

    `dropped` formats the line that reports the number of dropped lines; the outlet writes it in their place.
    Queued lines are written at the next `put`, or by a callback that `later` (delay in seconds, callback)
    schedules on the event loop.
    """

    def __init__(
        self,
        descriptor: int,
        dropped: Callable[[int], str],
        most_lines: int = MOST_LINES,
        most_bytes: int = MOST_BYTES,
        later: Later | None = None,
    ) -> None:
        self._descriptor, self._dropped = descriptor, dropped
        self._most_lines, self._most_bytes = most_lines, most_bytes
        self._lines: deque[bytes] = deque()
        self._bytes = self._lost = 0
        self._closing = self._waiting = False
        self._retry_s = RETRY_FIRST_S
        self.later = later
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def put(self, line: str) -> bool:
        """Queue one line and write what the descriptor accepts; returns False if the line was dropped."""
        data = line.encode("utf-8", "replace") + b"\n"
        self._flush()
        has_capacity = len(self._lines) < self._most_lines and self._bytes + len(data) <= self._most_bytes
        if self._closing or not has_capacity:
            self._lost += 1
            return False
        self._queue(self._report_loss() + data)
        self._flush()
        return True

    def close(self, most_s: float) -> bool:
        """Reject further lines and write the queued ones for up to `most_s` seconds; returns whether all were
        written."""
        self._closing, until = True, time.monotonic() + most_s
        while self._lines or self._lost:
            if not self._lines:
                self._queue(self._report_loss())
            left_s = until - time.monotonic()
            if not self._write(max(0.0, min(left_s, _POLL_MOST_S))) and left_s <= 0:
                return False
        return True

    def _flush(self) -> None:
        """Write until the queue is empty; schedule a retry if the descriptor accepts no more."""
        while self._lines:
            if not self._write(0.0):
                if self.later is not None and not self._waiting:
                    self._waiting = True
                    self.later(self._retry_s, self._retry)
                    self._retry_s = min(RETRY_LAST_S, 2 * self._retry_s)
                return
            self._retry_s = RETRY_FIRST_S
            if not self._lines and self._lost:  # the reader continues, and no line is queued
                self._queue(self._report_loss())

    def _retry(self) -> None:
        self._waiting = False
        self._flush()

    def _queue(self, data: bytes) -> None:
        self._lines.append(data)
        self._bytes += len(data)

    def _report_loss(self) -> bytes:
        lost, self._lost = self._lost, 0
        return self._dropped(lost).encode("utf-8", "replace") + b"\n" if lost else b""

    def _write(self, wait_s: float) -> bool:
        """Write up to PIPE_BUF bytes if the descriptor is writable within `wait_s` seconds.

        Returns whether the queue became shorter."""
        reported = self._poll.poll(wait_s * 1000)
        if not reported:
            return False
        if not reported[0][1] & select.POLLOUT:  # closed or broken pipe: drops the queued lines
            self._lines.clear()
            self._bytes = 0
            return True
        head = self._lines[0]
        try:
            written = os.write(self._descriptor, head[: select.PIPE_BUF])
        except BlockingIOError:  # another process filled the pipe and made it non-blocking
            return False
        except OSError:  # a closed log must not terminate the scheduler
            written = len(head)
        self._bytes -= written
        if written < len(head):
            self._lines[0] = head[written:]
        else:
            self._lines.popleft()
        return True
