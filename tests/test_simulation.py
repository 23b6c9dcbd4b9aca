"""The virtual-time loop, the network between simulated processes, and short plays of the whole system."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from hollowusher.protocol.control import Done, Heartbeat
from hollowusher.simulation.loop import DeadlockError, LivelockError, SimulatedProcess, VirtualLoop
from hollowusher.simulation.network import Network, SimulatedTransport
from hollowusher.transport.interface import PeerError

HERE, THERE = "10.0.0.1:7780", "10.0.0.2:7780"


def play(work: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:
    loop = VirtualLoop()
    try:
        return loop.play(work(loop))
    finally:
        loop.shut()


class TestVirtualLoop:
    def test_time_jumps_to_the_next_timer(self) -> None:
        async def work(loop: VirtualLoop) -> float:
            begun = loop.time()
            await asyncio.sleep(3_600)
            return loop.time() - begun

        assert play(work) == pytest.approx(3_600)

    def test_timeouts_run_on_virtual_time(self) -> None:
        async def work(loop: VirtualLoop) -> float:
            begun = loop.time()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2.5):
                    await loop.create_future()
            return loop.time() - begun

        assert play(work) == pytest.approx(2.5)

    def test_a_wait_that_nothing_can_end_is_a_deadlock(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            await loop.create_future()

        with pytest.raises(DeadlockError, match="work"):
            play(work)

    def test_standing_time_is_a_livelock(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            while True:
                await asyncio.sleep(0)

        with pytest.raises(LivelockError):
            play(work)

    def test_threads_are_refused(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            await loop.run_in_executor(None, lambda: None)

        with pytest.raises(RuntimeError):
            play(work)

    def test_a_killed_process_runs_no_more_code(self) -> None:
        seen: list[str] = []

        async def victim() -> None:
            try:
                await asyncio.sleep(10)
                seen.append("after")
            finally:
                seen.append("finally")

        async def work(loop: VirtualLoop) -> None:
            process = SimulatedProcess("a")
            process.run(victim())
            await asyncio.sleep(5)
            process.kill()
            await asyncio.sleep(10)
            assert seen == []

        play(work)

    def test_a_frozen_process_goes_on_later(self) -> None:
        seen: list[float] = []

        async def ticks(loop: VirtualLoop) -> None:
            while True:
                await asyncio.sleep(1)
                seen.append(loop.time() - 1000)

        async def work(loop: VirtualLoop) -> None:
            process = SimulatedProcess("a")
            process.run(ticks(loop))
            await asyncio.sleep(2.5)
            loop.freeze(process)
            await asyncio.sleep(5)
            loop.thaw(process)
            await asyncio.sleep(1.2)

        play(work)
        assert seen == pytest.approx([1, 2, 7.5, 8.5])

    def test_children_of_a_process_belong_to_it(self) -> None:
        seen: list[str] = []

        async def child() -> None:
            await asyncio.sleep(1)
            seen.append("child")

        async def parent() -> None:
            asyncio.get_running_loop().create_task(child())

        async def work(loop: VirtualLoop) -> None:
            process = SimulatedProcess("a")
            process.run(parent())
            await asyncio.sleep(0.5)
            process.kill()
            await asyncio.sleep(2)

        play(work)
        assert seen == []


class Pair:
    """Two processes on two hosts; the second answers after `work_s`."""

    def __init__(self, loop: VirtualLoop, seed: int = 1) -> None:
        self.loop = loop
        self.network = Network(loop, random.Random(seed))
        self.client, self.server = SimulatedProcess("client"), SimulatedProcess("server")
        self.here = self.network.transport(self.client, HERE)
        self.there = self.network.transport(self.server, THERE)
        self.work_s = 0.0
        self.received: list[Any] = []
        for host in ("10.0.0.1", "10.0.0.2"):
            self.network.power_on(host)

    async def handle(self, message: Any) -> Any:
        self.received.append(message)
        await asyncio.sleep(self.work_s)
        return Done()

    async def begin(self, transport: SimulatedTransport | None = None) -> None:
        await (transport or self.there).start(self.handle)

    async def call(self, number: int = 1, timeout: float = 1.0) -> Any:
        return await self.here.call(THERE, Heartbeat("client", number), timeout)

    async def failure(self, timeout: float = 1.0) -> tuple[PeerError, float]:
        begun = self.loop.time()
        with pytest.raises(PeerError) as caught:
            await self.call(timeout=timeout)
        return caught.value, self.loop.time() - begun


class TestNetwork:
    def test_a_call_is_answered_with_copies(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            sent = Heartbeat("client", 7)
            assert await pair.here.call(THERE, sent, 1.0) == Done()
            assert pair.received == [sent] and pair.received[0] is not sent

        play(work)

    def test_a_dead_process_refuses_at_once(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            error, took = await pair.failure()
            assert not error.sent and took < 0.1

        play(work)

    def test_a_machine_without_power_is_silent(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            pair.network.power_off("10.0.0.2")
            error, took = await pair.failure(timeout=0.7)
            assert not error.sent and took == pytest.approx(0.7)

        play(work)

    def test_a_process_killed_under_a_call_resets_it(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call()
            pair.work_s = 10
            loop.call_outside(0.2, pair.server.kill)
            loop.call_outside(0.2, pair.network.process_ended, pair.server)
            error, took = await pair.failure(timeout=5)
            assert error.sent and took < 0.3

        play(work)

    def test_a_cut_answer_leaves_the_call_done_but_unanswered(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call()
            pair.network.cut("10.0.0.2", "10.0.0.1", both=False)
            error, took = await pair.failure(timeout=0.5)
            assert error.sent and took == pytest.approx(0.5) and len(pair.received) == 2

        play(work)

    def test_what_a_short_cut_holds_arrives_later_and_in_order(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call(0)
            pair.network.cut("10.0.0.1", "10.0.0.2", both=False)
            for number in range(1, 6):
                pair.here.send(THERE, Heartbeat("client", number))
            await asyncio.sleep(1)
            assert len(pair.received) == 1
            pair.network.join_all()
            await asyncio.sleep(1)
            assert [message.incarnation for message in pair.received] == list(range(6))

        play(work)

    def test_a_long_cut_loses_what_it_held(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call(0)
            pair.network.cut("10.0.0.1", "10.0.0.2")
            pair.here.send(THERE, Heartbeat("client", 1))
            await asyncio.sleep(5)
            pair.network.join_all()
            await asyncio.sleep(1)
            assert len(pair.received) == 1 and await pair.call(2) == Done()

        play(work)

    def test_a_frozen_peer_takes_the_call_but_answers_after_the_thaw(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call(0)
            loop.freeze(pair.server)
            loop.call_outside(2.0, loop.thaw, pair.server)
            begun = loop.time()
            assert await pair.call(1, timeout=5) == Done()
            assert loop.time() - begun == pytest.approx(2.0, abs=0.1)

        play(work)

    def test_a_call_to_a_restarted_process_on_the_old_connection_fails_and_the_next_succeeds(self) -> None:
        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call(0)
            pair.network.power_off("10.0.0.2")
            pair.server.kill()
            pair.network.process_ended(pair.server)
            await asyncio.sleep(1)
            pair.network.power_on("10.0.0.2")
            again = pair.network.transport(SimulatedProcess("server", 2), THERE)
            await pair.begin(again)
            error, took = await pair.failure()
            assert took < 0.1 and error.reason == "connection reset"
            assert await pair.call(1) == Done()

        play(work)

    def test_a_failed_handler_is_told_and_recorded(self) -> None:
        async def fail(message: Any) -> Any:
            raise KeyError("x")

        async def work(loop: VirtualLoop) -> None:
            pair = Pair(loop)
            await pair.there.start(fail)
            error, _ = await pair.failure()
            assert "peer failed" in error.reason and len(pair.network.handler_failures) == 1

        play(work)

    def test_one_seed_gives_one_history(self) -> None:
        async def history(loop: VirtualLoop) -> list[float]:
            pair = Pair(loop, seed=5)
            await pair.begin()
            times = []
            for number in range(20):
                await pair.call(number)
                times.append(loop.time())
            return times

        assert play(history) == play(history)
