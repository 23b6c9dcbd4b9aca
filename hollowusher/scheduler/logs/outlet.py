"""The way of log lines to a descriptor: a bounded queue, and writes that cannot block.

A reader that stalls (a full pipe, a client that was stopped) blocks whoever writes, and nobody would be
answered until it goes on.  So the descriptor is asked first, without waiting, and no more is written at a
time than a pipe takes whole (PIPE_BUF, pipe(7)).  There is no second thread: a thread blocked in a write
cannot be ended, and hands the interpreter to and fro with the event loop while it is not.
"""

from __future__ import annotations

import os
import select
import time
from collections import deque
from collections.abc import Callable

MOST_LINES, MOST_BYTES = 1_000, 128 * 1024  # what may wait; later lines are dropped and counted
RETRY_FIRST_S, RETRY_LAST_S = 0.02, 1.0  # how soon a stalled reader is tried again, doubled each time
_POLL_MOST_S = 0.05  # the longest single wait of the end for its reader

Later = Callable[[float, Callable[[], None]], object]


class Outlet:
    """Lines in order to one descriptor.  `put` returns at once; what finds no room is counted and said later.

    `dropped` makes the line that tells of the count, put in where lines are missing.  What waits for its
    reader goes out at the next `put`, or by `later` (seconds, what to call) once an event loop runs.
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
        """Queue one line and write what the reader takes; False where it had to be dropped."""
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
        """Take no more and give the reader this long (seconds) for what waits; whether all went out."""
        self._closing, until = True, time.monotonic() + most_s
        while self._lines or self._lost:
            if not self._lines:
                self._queue(self._report_loss())
            left_s = until - time.monotonic()
            if not self._write(max(0.0, min(left_s, _POLL_MOST_S))) and left_s <= 0:
                return False
        return True

    def _flush(self) -> None:
        """Write until the reader takes no more; then try again later."""
        while self._lines:
            if not self._write(0.0):
                if self.later is not None and not self._waiting:
                    self._waiting = True
                    self.later(self._retry_s, self._again)
                    self._retry_s = min(RETRY_LAST_S, 2 * self._retry_s)
                return
            self._retry_s = RETRY_FIRST_S
            if not self._lines and self._lost:  # the reader is back, and nothing else is to be said
                self._queue(self._report_loss())

    def _again(self) -> None:
        self._waiting = False
        self._flush()

    def _queue(self, data: bytes) -> None:
        self._lines.append(data)
        self._bytes += len(data)

    def _report_loss(self) -> bytes:
        lost, self._lost = self._lost, 0
        return self._dropped(lost).encode("utf-8", "replace") + b"\n" if lost else b""

    def _write(self, wait_s: float) -> bool:
        """Write one piece if the descriptor takes it within this time; whether anything left the queue."""
        reported = self._poll.poll(wait_s * 1000)
        if not reported:
            return False
        if not reported[0][1] & select.POLLOUT:  # closed or broken: its lines are lost, the program goes on
            self._lines.clear()
            self._bytes = 0
            return True
        head = self._lines[0]
        try:
            written = os.write(self._descriptor, head[: select.PIPE_BUF])
        except BlockingIOError:  # whoever shares the pipe was quicker, and has made it non-blocking
            return False
        except OSError:  # a closed log must not end the program
            written = len(head)
        self._bytes -= written
        if written < len(head):
            self._lines[0] = head[written:]
        else:
            self._lines.popleft()
        return True
