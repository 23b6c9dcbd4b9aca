"""A stalled reader of the log causes dropped log lines, but does not delay jobs or the end of the process."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import sys
import threading
import unittest
from collections.abc import Callable

from hollowusher.scheduler.logs.outlet import Outlet
from tests.scheduler.test_reload import Process
from tests.support.standins import post, read_http


def stalled_pipe() -> tuple[int, int]:
    """Return a full pipe of 4 KiB: the next write to it blocks until its reader reads."""
    reads, writes = os.pipe()
    fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, 4096)
    os.set_blocking(writes, False)
    try:
        while True:
            os.write(writes, b"." * 512)
    except BlockingIOError:
        os.set_blocking(writes, True)
    return reads, writes


def reported(reads: int) -> bytes:
    """Read until the last writer has closed the pipe."""
    data = b""
    while piece := os.read(reads, 65536):
        data += piece
    return data.lstrip(b".")


class StalledReader(Process):
    async def test_jobs_are_served_and_sigterm_ends_while_nobody_reads_the_log(self) -> None:
        self.write()
        reads, writes = stalled_pipe()
        self.addCleanup(os.close, reads)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher",
            stderr=writes,
            env={**os.environ, "PROXY_CONFIG": str(self.path)},
        )
        os.close(writes)
        self.addAsyncCleanup(self.end, process)
        self.node.mode = "done"
        await self.within(self.list.asked.get())
        for n in range(40):  # each job causes a log line, and the pipe is full
            _, writer = await self.client()
            writer.write(b"nonsense %d\r\n\r\n" % n)
        self.assertEqual((await self.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0], "HTTP/1.1 200 OK")
        reader, writer = await self.client()
        writer.write(post("j", "settle-shift", "8"))
        self.assertEqual((await self.within(read_http(reader)))[2], b"r:j")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(await self.within(process.wait()), 0)


class OutletOrder(unittest.TestCase):
    def test_lines_come_in_order_and_what_is_missing_is_said_in_its_place(self) -> None:
        reads, writes = stalled_pipe()
        self.addCleanup(os.close, reads)
        outlet = Outlet(writes, lambda n: f"lost {n}", most_lines=3)
        self.assertEqual([outlet.put(f"line {n}") for n in range(6)], [True] * 3 + [False] * 3)
        self.assertFalse(outlet.close(0.01))  # without a reader, `close` returns after its time limit
        os.set_blocking(reads, False)
        seen = b""
        while b"line 2\nlost 3\n" not in seen:
            try:
                seen += os.read(reads, 65536)
            except BlockingIOError:
                outlet.close(0.01)
        self.assertEqual(seen.lstrip(b"."), b"line 0\nline 1\nline 2\nlost 3\n")
        self.assertTrue(outlet.close(5.0))
        os.close(writes)

    def test_bytes_are_bounded_too(self) -> None:
        reads, writes = stalled_pipe()
        outlet = Outlet(writes, str, most_bytes=100)
        self.assertEqual([outlet.put("x" * 40) for _ in range(3)], [True, True, False])
        os.close(reads)  # without a reader the outlet drops the lines and stops waiting
        self.assertTrue(outlet.close(5.0))
        os.close(writes)

    def test_what_waits_goes_out_by_the_loop_with_longer_waits_and_no_thread(self) -> None:
        others = set(threading.enumerate())  # threads of earlier tests in this process
        reads, writes = stalled_pipe()
        waits: list[float] = []
        calls: list[Callable[[], None]] = []

        def later(wait_s: float, call: Callable[[], None]) -> None:
            waits.append(wait_s)
            calls.append(call)

        outlet = Outlet(writes, str, later=later)
        outlet.put("x" * 9_000)  # longer than PIPE_BUF: the outlet writes it in pieces
        for _ in range(8):
            calls.pop()()
        self.assertEqual(waits[:3] + waits[-2:], [0.02, 0.04, 0.08, 1.0, 1.0])
        seen = b""
        while calls:
            seen += os.read(reads, 65536)
            calls.pop()()
        os.close(writes)
        self.assertEqual((seen + reported(reads)).lstrip(b"."), b"x" * 9_000 + b"\n")
        self.assertEqual(set(threading.enumerate()) - others, set())
        os.close(reads)

    def test_a_descriptor_that_does_not_block_is_waited_for(self) -> None:
        reads, writes = stalled_pipe()
        os.set_blocking(writes, False)
        outlet = Outlet(writes, str)
        outlet.put("a line")
        self.assertFalse(outlet.close(0.01))
        os.read(reads, 65536)
        self.assertTrue(outlet.close(5.0))
        os.close(writes)
        self.assertEqual(reported(reads), b"a line\n")
        os.close(reads)
