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

WRITE_TIMEOUT_S = 0.14  # a longer write could send a new job more than 250 ms after the node started to drain
GOAWAY_TIMEOUT_S = 0.2  # time limit for sending the scheduler's own GOAWAY


class Http2Socket:
    """Connects a session with a link.  `drop` closes the link and removes it from the pool's count."""

    def __init__(
        self, number: int, link: Link, drop: Callable[[Link], None], config: Http2Config, owner: SessionOwner
    ) -> None:
        self._link, self._drop = link, drop
        self._wake = asyncio.Event()
        self.session = Http2Session(number, config, owner, time.monotonic_ns, self._wake.set)
        self._tasks: list[asyncio.Task[None]] = []
        self._write_started_ns = 0  # start of the write in progress; 0: none

    def start(self) -> None:
        """Queue the connection preface and start the reading and writing tasks."""
        self.session.greet()
        self._tasks = [asyncio.create_task(self._write()), asyncio.create_task(self._read())]

    async def _write(self) -> None:
        session = self.session
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while data := session.make():
                    self._write_started_ns = time.monotonic_ns()
                    await self._link.send(data)
                    self._write_started_ns = 0
        except OSError as error:
            session.broke()
            self.end(str(error) or type(error).__name__)
        except Exception as error:  # a defect here or in h2 must not leave the streams open
            self.end(f"cannot write: {error!r}")

    async def _read(self) -> None:
        session = self.session
        try:
            while await self._link.fill():
                while self._link.inbound.size:
                    piece = self._link.inbound.pending()
                    session.receive(piece)
                    self._link.inbound.taken(len(piece))
            # A node that closes without sending SETTINGS does not speak HTTP/2.
            self.end("the node closed the connection", spoken=session.greeted)
        except ProtocolError as error:
            session.end(f"{type(error).__name__}: {error}", session.greeted)
            self._tasks[0].cancel()
            await self._send_final(session.parting())
            self._drop(self._link)
        except OSError as error:
            self.end(str(error) or type(error).__name__)
        except Exception as error:  # hostile input that fails in h2 must end only this connection
            self.end(f"cannot read: {error!r}")

    async def _send_final(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            async with asyncio.timeout(GOAWAY_TIMEOUT_S):
                await self._link.send(data)

    def end(self, why: str, spoken: bool = True) -> None:
        """Close the connection at once and end all its streams; see `SessionOwner.lost` for `spoken`."""
        current = asyncio.current_task()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        self._drop(self._link)
        self.session.end(why, spoken)

    async def part(self) -> None:
        """Close a connection that has no open streams, after a GOAWAY."""
        self.session.over = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._send_final(self.session.parting())
        self._drop(self._link)

    def heartbeat(self, now: int) -> None:
        """Close the connection if a write is stuck; otherwise run the periodic checks of the session."""
        if self._write_started_ns and now - self._write_started_ns >= WRITE_TIMEOUT_S * 1e9:
            self.end("the node does not read")
            return
        self.session.heartbeat(now)
        if self.session.over:
            self.end("")
