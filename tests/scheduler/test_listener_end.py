"""A scheduler that stops beside another serves each connection that the kernel had accepted for it."""

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

MOST_TURNS = 6  # of the loop, between a connection and the stop
PATIENCE_S = 5.0

LoopFactory = Callable[[], asyncio.AbstractEventLoop]


class Front:
    """The front of HTTP clients as it serves; the test is the desk."""

    def __init__(self) -> None:
        self.reported: asyncio.Queue[DispatchEvent] = asyncio.Queue()
        self.listener = listen(("127.0.0.1", free_port()))
        classes = {job_class.name: job_class for job_class in CLASSES}
        log = LogWriter("test", per_s=0, burst=0)
        self.clients = PlatformClients(self.listener, classes, 8, JobIds(), self.reported.put_nowait, log)
        self.clients.replaced.set()  # another process serves
        self.accepting = asyncio.create_task(self.clients.accept())
        self.draining: asyncio.Task[None] | None = None

    def stop(self) -> None:
        self.draining = asyncio.create_task(self.clients.drain(self.accepting))

    async def taken(self) -> bool:
        """Whether a job reaches the desk."""
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
    """Act after so many turns of the loop."""
    if turns == 0:
        act()
    else:
        asyncio.get_running_loop().call_soon(after_turns, turns - 1, act)


async def is_served(turns: int) -> bool:
    """Whether a request is served whose connection comes so many turns before the stop."""
    front = Front()
    await asyncio.sleep(0.01)
    client = socket.create_connection(front.listener.getsockname(), PATIENCE_S)  # accepted by the kernel now
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
