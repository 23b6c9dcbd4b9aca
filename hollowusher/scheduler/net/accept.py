"""Accepts connections of other programs of ours and of people: a task each, some at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from hollowusher.scheduler.net.link import Link, listen
from hollowusher.scheduler.net.ring import MOST_BYTES

AGAIN_S = 0.2  # where no descriptor is left: those who wait are served when there is one


class ConnectionAcceptor:
    """`serve` is called with each connection, and closes it."""

    def __init__(
        self,
        address: tuple[str, int],
        serve: Callable[[Link], Coroutine[None, None, None]],
        most: int,
        ring: int = MOST_BYTES,
        free_connection: bool = False,
    ) -> None:
        """At most so many at a time; more are closed at once, or the oldest is, to `free_connection`."""
        self._address, self._serve, self._most, self._ring = address, serve, most, ring
        self._free_connection = free_connection
        self._tasks: dict[asyncio.Task[None], None] = {}  # the oldest first
        self._accepting: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen; OSError where the address is taken."""
        self._listener = listen(self._address)
        self._accepting = asyncio.create_task(self._accept())

    async def stop(self) -> None:
        """End, whoever is served."""
        if self._accepting is not None:
            self._accepting.cancel()
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await asyncio.get_running_loop().sock_accept(self._listener)
            except OSError:
                await asyncio.sleep(AGAIN_S)
                continue
            if len(self._tasks) >= self._most:
                if not self._free_connection:
                    sock.close()
                    continue
                oldest = next(iter(self._tasks))
                oldest.cancel()
                self._tasks.pop(oldest)
            sock.setblocking(False)
            task = asyncio.create_task(self._serve(Link(sock, self._ring)))
            self._tasks[task] = None
            task.add_done_callback(lambda done: self._tasks.pop(done, None))
