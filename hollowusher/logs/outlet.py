"""The way of log lines to a descriptor: a bounded queue and a thread that alone may block on the reader.

A reader that stalls (a full pipe, a terminal that was stopped) blocks whoever writes.  The event loop must
never be that writer: nobody would be answered until the reader goes on.
"""

from __future__ import annotations

import contextlib
import os
import select
import threading
from collections import deque
from collections.abc import Callable

MOST_LINES, MOST_BYTES = 1_000, 128 * 1024  # what may wait; later lines are dropped and counted
_WRITABLE_S = 1.0


class Outlet:
    """Lines in order to one descriptor.  `put` returns at once; what finds no room is counted and said later.

    `dropped` makes the line that tells of the count, put in where lines are missing.
    """

    def __init__(
        self, descriptor: int, dropped: Callable[[int], str],
        most_lines: int = MOST_LINES, most_bytes: int = MOST_BYTES,
    ) -> None:
        self._descriptor, self._dropped = descriptor, dropped
        self._most_lines, self._most_bytes = most_lines, most_bytes
        self._lines: deque[bytes] = deque()
        self._bytes = self._lost = 0
        self._closing = False
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    def put(self, line: str) -> bool:
        """Queue one line; False where it had to be dropped."""
        data = line.encode("utf-8", "replace") + b"\n"
        with self._changed:
            if len(self._lines) >= self._most_lines or self._bytes + len(data) > self._most_bytes:
                self._lost += 1
                return False
            data = self._told_loss() + data
            self._lines.append(data)
            self._bytes += len(data)
            if self._thread is None and not self._closing:  # daemonic: no reader holds up the end
                self._thread = threading.Thread(target=self._run, name="log-outlet", daemon=True)
                self._thread.start()
            self._changed.notify()
        return True

    def close(self, most_s: float) -> bool:
        """Take no more and give the reader this long (seconds) for what waits; whether all went out."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(most_s)
        return not self._lines

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._lines and not self._lost and not self._closing:
                    self._changed.wait()
                if not self._lines and self._lost:  # the reader is back, and nothing else is to be said
                    self._lines.append(self._told_loss())
                    self._bytes += len(self._lines[0])
                if not self._lines:
                    return
                data = self._lines[0]
            with contextlib.suppress(OSError):  # a closed log must not end the lines' order or the program
                self._write(data)
            with self._changed:  # only now: what is being written counts as waiting
                self._bytes -= len(self._lines.popleft())

    def _told_loss(self) -> bytes:
        lost, self._lost = self._lost, 0
        return self._dropped(lost).encode("utf-8", "replace") + b"\n" if lost else b""

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest) :]
            except BlockingIOError:  # whoever shares the descriptor has made it non-blocking
                select.select((), (self._descriptor,), (), _WRITABLE_S)
