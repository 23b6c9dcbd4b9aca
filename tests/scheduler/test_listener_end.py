"""A scheduler that stops after a replacement still serves each connection in its kernel accept queue.

Without this, a connection that arrives a few event loop iterations before the stop would be reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest
import uvloop

from hollowusher.scheduler.dispatch.model import DispatchEvent, JobTaken
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.fronts.platform.clients import PlatformClients
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import listen
from tests.support.standins import CLASSES, free_port, post

MOST_TURNS = 6  # event loop iterations between the connection and the stop
PATIENCE_S = 5.0

LoopFactory = Callable[[], asyncio.AbstractEventLoop]


class Front:
    """The HTTP client front end; the test takes the place of the dispatcher."""

    def __init__(self) -> None:
        self.reported: asyncio.Queue[DispatchEvent] = asyncio.Queue()
        self.listener = listen(("127.0.0.1", free_port()))
        classes = {job_class.name: job_class for job_class in CLASSES}
        log = LogWriter("test", per_s=0, burst=0)
        self.clients = PlatformClients(self.listener, classes, 8, JobIds(), self.reported.put_nowait, log)
        self.clients.replaced.set()  # a replacement process is serving
        self.accepting = asyncio.create_task(self.clients.accept())
        self.draining: asyncio.Task[None] | None = None

    def stop(self) -> None:
        self.draining = asyncio.create_task(self.clients.drain(self.accepting))

    async def taken(self) -> bool:
        """Whether the front end reports a job within PATIENCE_S."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                return isinstance(await self.reported.get(), JobTaken)
        except TimeoutError:
            return False

    async def close(self) -> None:
        for task in (self.accepting, self.draining):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        self.listener.close()


def after_turns(turns: int, act: Callable[[], None]) -> None:
    """Call `act` after `turns` iterations of the event loop."""
    if turns == 0:
        act()
    else:
        asyncio.get_running_loop().call_soon(after_turns, turns - 1, act)


async def is_served(turns: int) -> bool:
    """Whether a request is served if its connection arrives `turns` event loop iterations before the stop."""
    front = Front()
    await asyncio.sleep(0.01)
    # The connection is in the kernel's accept queue once this call returns.
    client = socket.create_connection(front.listener.getsockname(), PATIENCE_S)
    try:
        client.sendall(post("a"))
        after_turns(turns, front.stop)
        return await front.taken()
    finally:
        client.close()
        await front.close()


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("turns", range(MOST_TURNS))
def test_a_connection_that_comes_just_before_the_stop_is_served(turns: int, new_loop: LoopFactory) -> None:
    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(is_served(turns))
