"""An answer that has been read is not thrown away because its time-out was due in the same moment."""

from __future__ import annotations

import asyncio
import gc
import random
from typing import Any

from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.view import ReadView
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.network import SimulatedNetwork
from hollowusher.transport.interface import PeerError, fail_call
from hollowusher.transport.tcp import TcpTransport
from tests.support.standins import free_port

TIMEOUT_S = 5.0
FROZEN_S = 8.0


class LeapingLoop(asyncio.SelectorEventLoop):
    """A loop whose clock can leap, as it does for a process that stood still."""

    leapt_s = 0.0

    def time(self) -> float:
        return super().time() + self.leapt_s


def test_an_answer_read_after_a_standstill_is_taken() -> None:
    loop = LeapingLoop()

    async def scene() -> None:
        server = TcpTransport(f"127.0.0.1:{free_port()}")
        client = TcpTransport(f"127.0.0.1:{free_port()}")

        async def handler(asked: Any) -> Any:
            loop.leapt_s = FROZEN_S  # the answer is written in this turn; the time-out is due in the next one
            return Acknowledgement()

        await server.start(handler)
        assert await client.call(server.address, ReadView(), TIMEOUT_S) == Acknowledgement()
        await client.close()
        await server.close()

    try:
        loop.run_until_complete(scene())
    finally:
        loop.close()


def test_an_answer_that_came_to_a_frozen_process_is_taken_when_it_goes_on() -> None:
    loop = VirtualTimeLoop()

    async def scene() -> None:
        network = SimulatedNetwork(loop, random.Random(3))
        caller = SimulatedProcess("edge-1")
        client = network.transport(caller, "10.0.0.1:7780")
        server = network.transport(SimulatedProcess("store-1"), "10.0.0.2:7780")
        for host in ("10.0.0.1", "10.0.0.2"):
            network.power_on(host)

        async def handler(asked: Any) -> Any:
            loop.freeze(caller)
            loop.call_outside(FROZEN_S, loop.thaw, caller)
            return Acknowledgement()

        await server.start(handler)
        assert await caller.run(client.call(server.address, ReadView(), TIMEOUT_S)) == Acknowledgement()

    try:
        loop.play(scene())
    finally:
        loop.shut()


def test_a_failed_call_that_nobody_waits_for_any_more_is_no_fault() -> None:
    """Its process may have been ended in the moment in which it failed."""
    loop = VirtualTimeLoop()

    async def scene() -> None:
        future: asyncio.Future[Any] = loop.create_future()
        fail_call(future, PeerError("call", "10.0.0.2:7780", "connection reset"))
        fail_call(future, PeerError("call", "10.0.0.2:7780", "again"))
        assert "connection reset" in str(future.exception())
        dropped: asyncio.Future[Any] = loop.create_future()
        fail_call(dropped, PeerError("call", "10.0.0.2:7780", "connection reset"))
        del dropped
        gc.collect()

    try:
        loop.play(scene())
        assert loop.failures == []
    finally:
        loop.shut()
