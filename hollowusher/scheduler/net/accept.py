"""Accepts connections from other schedulers and from operators, with one task for each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from hollowusher.scheduler.net.link import Link, listen
from hollowusher.scheduler.net.ring import MOST_BYTES

ACCEPT_RETRY_S = 0.2  # delay before the next accept after a failure, such as a lack of file descriptors


class ConnectionAcceptor:
    """Runs `serve` in a task for each accepted connection; `serve` closes the connection."""

    def __init__(
        self,
        address: tuple[str, int],
        serve: Callable[[Link], Coroutine[None, None, None]],
        most: int,
        ring: int = MOST_BYTES,
        free_connection: bool = False,
    ) -> None:
        """Serve at most `most` connections at a time, each with ring buffers of `ring` bytes.

        At that limit, the acceptor closes a new connection at once.  With `free_connection`, it cancels the
        task of the oldest connection instead and accepts the new one."""
        self._address, self._serve, self._most, self._ring = address, serve, most, ring
        self._free_connection = free_connection
        self._tasks: dict[asyncio.Task[None], None] = {}  # in order of acceptance, oldest first
        self._accepting: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen on the address; raises OSError if it is in use."""
        self._listener = listen(self._address)
        self._accepting = asyncio.create_task(self._accept())

    async def stop(self) -> None:
        """Stop listening and cancel the tasks of all open connections."""
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
                await asyncio.sleep(ACCEPT_RETRY_S)
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
