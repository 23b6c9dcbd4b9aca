"""Calls whose response, timeout or connection comes late.

A response that has been received is returned even if the timeout of its call is due at the same time.
"""

from __future__ import annotations

import asyncio
import gc
import random
from typing import Any

import pytest

from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import ReadView
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.network import SimulatedNetwork
from hollowusher.transport.interface import PeerError, fail_call
from hollowusher.transport.tcp import TcpTransport
from tests.support.standins import free_port

TIMEOUT_S = 5.0
SUSPENSION_S = 8.0


class JumpingClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock can jump forward, as after a suspension of the process."""

    jumped_s = 0.0

    def time(self) -> float:
        return super().time() + self.jumped_s


def test_a_response_read_after_a_suspension_is_returned() -> None:
    loop = JumpingClockLoop()

    async def scenario() -> None:
        server = TcpTransport(f"127.0.0.1:{free_port()}")
        client = TcpTransport(f"127.0.0.1:{free_port()}")

        async def handler(request: Any) -> Any:
            loop.jumped_s = SUSPENSION_S  # the response is sent in this turn, the timeout is due in the next
            return Acknowledgement()

        await server.start(handler)
        assert await client.call(server.address, ReadView(), TIMEOUT_S) == Acknowledgement()
        await client.close()
        await server.close()

    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


def test_a_response_to_a_suspended_process_is_returned_when_it_resumes() -> None:
    loop = VirtualTimeLoop()

    async def scenario() -> None:
        network = SimulatedNetwork(loop, random.Random(3))
        caller = SimulatedProcess("edge-1")
        client = network.transport(caller, "10.0.0.1:7780")
        server = network.transport(SimulatedProcess("store-1"), "10.0.0.2:7780")
        for host in ("10.0.0.1", "10.0.0.2"):
            network.power_on(host)

        async def handler(request: Any) -> Any:
            loop.freeze(caller)
            loop.call_outside(SUSPENSION_S, loop.thaw, caller)
            return Acknowledgement()

        await server.start(handler)
        assert await caller.run(client.call(server.address, ReadView(), TIMEOUT_S)) == Acknowledgement()

    try:
        loop.play(scenario())
    finally:
        loop.shut()


def test_a_call_to_a_new_member_does_not_wait_for_the_attempt_to_reach_its_predecessor() -> None:
    """A machine without power answers no attempt to connect; a new process at its address does (review/4)."""
    loop = VirtualTimeLoop()

    async def scenario() -> None:
        network = SimulatedNetwork(loop, random.Random(3))
        caller = SimulatedProcess("store-2")
        client = network.transport(caller, "10.0.0.1:7780")
        network.power_on("10.0.0.1")
        address = "10.0.0.2:7780"
        lost = caller.run(_failed_call(client, address))
        await asyncio.sleep(0.1)
        server = network.transport(SimulatedProcess("store-1", 2), address)
        network.power_on("10.0.0.2")
        await server.start(_acknowledge)
        client.peers.learn_member(Member("store-1", "store", address, "z", "r", 2, "d2", True))
        started = loop.time()
        assert await caller.run(client.call(address, ReadView(), TIMEOUT_S)) == Acknowledgement()
        assert loop.time() - started < 0.05
        await lost

    try:
        loop.play(scenario())
    finally:
        loop.shut()


def test_over_tcp_a_new_member_gets_a_new_attempt_to_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        server = TcpTransport(f"127.0.0.1:{free_port()}")
        client = TcpTransport(f"127.0.0.1:{free_port()}")
        await server.start(_acknowledge)
        open_connection = TcpTransport._open
        began, silent = asyncio.Event(), asyncio.Event()

        async def open_after_silence(transport: TcpTransport, address: str) -> Any:
            if not began.is_set():
                began.set()
                await silent.wait()
            return await open_connection(transport, address)

        monkeypatch.setattr(TcpTransport, "_open", open_after_silence)
        first = asyncio.create_task(client.call(server.address, ReadView(), 5.0))
        await began.wait()
        client.peers.learn_member(Member("store-1", "store", server.address, "z", "r", 2, "d2", True))
        async with asyncio.timeout(4.0):
            assert await client.call(server.address, ReadView(), 5.0) == Acknowledgement()
            assert not first.done()
            silent.set()
            assert await first == Acknowledgement()  # over the connection that there is already
        assert len(server.accepted) <= 2
        await client.close()
        await server.close()

    asyncio.run(scenario())


async def _acknowledge(_request: Any) -> Any:
    return Acknowledgement()


async def _failed_call(client: Any, address: str) -> None:
    with pytest.raises(PeerError):
        await client.call(address, ReadView(), TIMEOUT_S)


def test_a_failed_call_without_a_waiting_caller_logs_no_error() -> None:
    """The calling process may end at the same time as the call fails."""
    loop = VirtualTimeLoop()

    async def scenario() -> None:
        future: asyncio.Future[Any] = loop.create_future()
        fail_call(future, PeerError("call", "10.0.0.2:7780", "connection reset"))
        fail_call(future, PeerError("call", "10.0.0.2:7780", "again"))
        assert "connection reset" in str(future.exception())
        dropped: asyncio.Future[Any] = loop.create_future()
        fail_call(dropped, PeerError("call", "10.0.0.2:7780", "connection reset"))
        del dropped
        gc.collect()

    try:
        loop.play(scenario())
        assert loop.failures == []
    finally:
        loop.shut()
