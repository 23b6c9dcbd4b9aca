"""The socket of an HTTP/2 connection: a task that reads and a task that writes for one session."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

from h2.exceptions import ProtocolError

from hollowusher.scheduler.net.http2.session import Http2Session, SessionOwner
from hollowusher.scheduler.net.http2.settings import Http2Config
from hollowusher.scheduler.net.link import Link

STUCK_S = 0.14  # a write that takes longer could carry a new job past the 250 ms after its node's drain
PARTING_S = 0.2  # how long our own GOAWAY may take


class Http2Socket:
    """A session on a link.  `drop` closes the link and counts it out."""

    def __init__(
        self, number: int, link: Link, drop: Callable[[Link], None], config: Http2Config, owner: SessionOwner
    ) -> None:
        self._link, self._drop = link, drop
        self._wake = asyncio.Event()
        self.session = Http2Session(number, config, owner, time.monotonic_ns, self._wake.set)
        self._tasks: list[asyncio.Task[None]] = []
        self._writing_ns = 0  # since when a write is under way

    def start(self) -> None:
        """Greet the node and serve the connection."""
        self.session.greet()
        self._tasks = [asyncio.create_task(self._write()), asyncio.create_task(self._read())]

    async def _write(self) -> None:
        session = self.session
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while data := session.make():
                    self._writing_ns = time.monotonic_ns()
                    await self._link.send(data)
                    self._writing_ns = 0
        except OSError as wrong:
            session.broke()
            self.end(str(wrong) or type(wrong).__name__)
        except Exception as wrong:  # a defect here or in the library: its streams must not hang
            self.end(f"cannot go on: {wrong!r}")

    async def _read(self) -> None:
        session = self.session
        try:
            while await self._link.fill():
                while self._link.inbound.size:
                    piece = self._link.inbound.pending()
                    session.receive(piece)
                    self._link.inbound.taken(len(piece))
            # One that ends without a word has not understood the greeting.
            self.end("the node ended the connection", spoken=session.greeted)
        except ProtocolError as wrong:
            session.end(f"{type(wrong).__name__}: {wrong}", session.greeted)
            self._tasks[0].cancel()
            await self._say(session.parting())
            self._drop(self._link)
        except OSError as wrong:
            self.end(str(wrong) or type(wrong).__name__)
        except Exception as wrong:  # what hostile bytes do to a library must end the connection, and no more
            self.end(f"cannot be read: {wrong!r}")

    async def _say(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            async with asyncio.timeout(PARTING_S):
                await self._link.send(data)

    def end(self, why: str, spoken: bool = True) -> None:
        """End the connection at once, with all that is open on it."""
        current = asyncio.current_task()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        self._drop(self._link)
        self.session.end(why, spoken)

    async def part(self) -> None:
        """End a connection that has nothing on it: GOAWAY, then close."""
        self.session.over = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._say(self.session.parting())
        self._drop(self._link)

    def heartbeat(self, now: int) -> None:
        """Time has passed."""
        if self._writing_ns and now - self._writing_ns >= STUCK_S * 1e9:
            self.end("the node does not read")
            return
        self.session.heartbeat(now)
        if self.session.over:
            self.end("")
