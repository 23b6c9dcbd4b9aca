"""The virtual-time loop, the network between simulated processes, and short plays of the whole system."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

import pytest

from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.membership import Heartbeat
from hollowusher.simulation.checks.rules import DeploymentRules
from hollowusher.simulation.event_loop import DeadlockError, LivelockError, SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.invariants import find_violations
from hollowusher.simulation.network import SimulatedNetwork
from hollowusher.simulation.observations import (
    AcceptedLeaseEnd,
    ConfigurationOrder,
    ConfigurationRead,
    DeliveryArrival,
    InjectedFault,
    MessageStateResponse,
    Observations,
    ObservedGeneration,
    ReceivedCallback,
    SentMessage,
    WorkerRun,
)
from hollowusher.simulation.reference_model import RouteRules
from hollowusher.simulation.transport import SimulatedTransport
from hollowusher.transport.interface import PeerError

HERE, THERE = "10.0.0.1:7780", "10.0.0.2:7780"


def play(work: Callable[[VirtualTimeLoop], Coroutine[Any, Any, Any]]) -> Any:
    loop = VirtualTimeLoop()
    try:
        return loop.play(work(loop))
    finally:
        loop.shut()


class TestVirtualLoop:
    def test_time_jumps_to_the_next_timer(self) -> None:
        async def work(loop: VirtualTimeLoop) -> float:
            begun = loop.time()
            await asyncio.sleep(3_600)
            return loop.time() - begun

        assert play(work) == pytest.approx(3_600)

    def test_timeouts_run_on_virtual_time(self) -> None:
        async def work(loop: VirtualTimeLoop) -> float:
            begun = loop.time()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2.5):
                    await loop.create_future()
            return loop.time() - begun

        assert play(work) == pytest.approx(2.5)

    def test_a_wait_that_nothing_can_end_is_a_deadlock(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            await loop.create_future()

        with pytest.raises(DeadlockError, match="work"):
            play(work)

    def test_standing_time_is_a_livelock(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr("hollowusher.simulation.event_loop.MAX_CALLBACKS_PER_INSTANT", 1_000)

        async def work(loop: VirtualTimeLoop) -> None:
            while True:
                await asyncio.sleep(0)

        with pytest.raises(LivelockError):
            play(work)

    def test_threads_are_refused(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
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

        async def work(loop: VirtualTimeLoop) -> None:
            process = SimulatedProcess("a")
            process.run(victim())
            await asyncio.sleep(5)
            process.kill()
            await asyncio.sleep(10)
            assert seen == []

        play(work)

    def test_a_frozen_process_goes_on_later(self) -> None:
        seen: list[float] = []

        async def ticks(loop: VirtualTimeLoop) -> None:
            while True:
                await asyncio.sleep(1)
                seen.append(loop.time() - 1000)

        async def work(loop: VirtualTimeLoop) -> None:
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

        async def work(loop: VirtualTimeLoop) -> None:
            process = SimulatedProcess("a")
            process.run(parent())
            await asyncio.sleep(0.5)
            process.kill()
            await asyncio.sleep(2)

        play(work)
        assert seen == []


class Pair:
    """Two processes on two hosts; the second answers after `work_s`."""

    def __init__(self, loop: VirtualTimeLoop, seed: int = 1) -> None:
        self.loop = loop
        self.network = SimulatedNetwork(loop, random.Random(seed))
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
        return Acknowledgement()

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
        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            sent = Heartbeat("client", 7)
            assert await pair.here.call(THERE, sent, 1.0) == Acknowledgement()
            assert pair.received == [sent]
            assert pair.received[0] is not sent

        play(work)

    def test_a_dead_process_refuses_at_once(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            error, took = await pair.failure()
            assert not error.sent
            assert took < 0.1

        play(work)

    def test_a_machine_without_power_is_silent(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            pair.network.power_off("10.0.0.2")
            error, took = await pair.failure(timeout=0.7)
            assert not error.sent
            assert took == pytest.approx(0.7)

        play(work)

    def test_a_process_killed_under_a_call_resets_it(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call()
            pair.work_s = 10
            loop.call_outside(0.2, pair.server.kill)
            loop.call_outside(0.2, pair.network.process_ended, pair.server)
            error, took = await pair.failure(timeout=5)
            assert error.sent
            assert took < 0.3

        play(work)

    def test_a_cut_answer_leaves_the_call_done_but_unanswered(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call()
            pair.network.block("10.0.0.2", "10.0.0.1", both=False)
            error, took = await pair.failure(timeout=0.5)
            assert error.sent
            assert took == pytest.approx(0.5)
            assert len(pair.received) == 2

        play(work)

    def test_what_a_short_cut_holds_arrives_later_and_in_order(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call(0)
            pair.network.block("10.0.0.1", "10.0.0.2", both=False)
            for number in range(1, 6):
                pair.here.send(THERE, Heartbeat("client", number))
            await asyncio.sleep(1)
            assert len(pair.received) == 1
            pair.network.heal_all()
            await asyncio.sleep(1)
            assert [message.incarnation for message in pair.received] == list(range(6))

        play(work)

    def test_a_long_cut_loses_what_it_held(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call(0)
            pair.network.block("10.0.0.1", "10.0.0.2")
            pair.here.send(THERE, Heartbeat("client", 1))
            await asyncio.sleep(5)
            pair.network.heal_all()
            await asyncio.sleep(1)
            assert len(pair.received) == 1
            assert await pair.call(2) == Acknowledgement()

        play(work)

    def test_a_frozen_peer_takes_the_call_but_answers_after_the_thaw(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            await pair.begin()
            await pair.call(0)
            loop.freeze(pair.server)
            loop.call_outside(2.0, loop.thaw, pair.server)
            begun = loop.time()
            assert await pair.call(1, timeout=5) == Acknowledgement()
            assert loop.time() - begun == pytest.approx(2.0, abs=0.1)

        play(work)

    def test_a_call_to_a_restarted_process_on_the_old_connection_fails_and_the_next_succeeds(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
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
            assert took < 0.1
            assert error.reason == "connection reset"
            assert await pair.call(1) == Acknowledgement()

        play(work)

    def test_a_failed_handler_is_reported_and_recorded(self) -> None:
        async def fail(message: Any) -> Any:
            raise KeyError("x")

        async def work(loop: VirtualTimeLoop) -> None:
            pair = Pair(loop)
            await pair.there.start(fail)
            error, _ = await pair.failure()
            assert "peer failed" in error.reason
            assert len(pair.network.handler_failures) == 1

        play(work)

    def test_one_seed_gives_one_history(self) -> None:
        async def history(loop: VirtualTimeLoop) -> list[float]:
            pair = Pair(loop, seed=5)
            await pair.begin()
            times = []
            for number in range(20):
                await pair.call(number)
                times.append(loop.time())
            return times

        assert play(history) == play(history)


class TestInvariants:
    """Each check finds a small history that breaks its rule, and passes one that keeps it."""

    ROUTES: ClassVar = {
        "r": RouteRules("r", "push", 2, 100.0, 2.0, ordered=False),
        "o": RouteRules("o", "fixed", 2, 100.0, 2.0, ordered=True),
    }
    RULES: ClassVar = DeploymentRules(ROUTES, {"fixed": 10.0})

    @staticmethod
    def observations(end: float = 50.0) -> Observations:
        return Observations(calm_since=30.0, ended_at=end)

    @staticmethod
    def sent(
        seen: Observations,
        identifier: str,
        route: str = "r",
        at: float = 1.0,
        status: int | None = 202,
        key: str = "",
        delay_s: float = 0.0,
        callback: str = "",
    ) -> SentMessage:
        service = TestInvariants.ROUTES[route].service
        message = SentMessage(
            identifier,
            route,
            service,
            b"body",
            key,
            delay_s,
            callback,
            "edge-1",
            1,
            at,
            status,
            at + 0.1,
            identifier,
        )
        seen.messages[identifier] = message
        return message

    @staticmethod
    def ran(
        seen: Observations,
        identifier: str,
        at: float,
        result: str = "success",
        stamp: str = "s1",
        read: bool = True,
        service: str = "push",
    ) -> None:
        signature = stamp if result == "success" else ""
        run = WorkerRun(identifier, service, "w", at, b"body", at + 0.2, result, signature, at + 0.21)
        run.read_at = run.read_at if read else None
        seen.runs.append(run)

    def violated_rules(self, seen: Observations, rules: DeploymentRules | None = None) -> list[str]:
        if not seen.reads and seen.orders:
            raise AssertionError("a history with orders needs a final read")
        return sorted({found.rule for found in find_violations(seen, rules or self.RULES)})

    def test_a_served_message_breaks_nothing(self) -> None:
        seen = self.observations()
        self.sent(seen, "a", callback="http://h/done")
        self.ran(seen, "a", 2.0)
        seen.states.append(MessageStateResponse("a", 40.0, 200, "completed", "s1", final=True))
        seen.callbacks.append(ReceivedCallback("a", "http://h/done", "completed", "s1", 3.0, 200))
        assert self.violated_rules(seen) == []

    def test_lost(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        seen.states.append(MessageStateResponse("a", 40.0, 404, final=True))
        assert "LOST" in self.violated_rules(seen)

    def test_lost_when_reported_as_dead_without_an_end(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        seen.states.append(MessageStateResponse("a", 40.0, 200, "dead_letter", body=b"body", final=True))
        assert {"LOST", "MIXED"} <= set(self.violated_rules(seen))

    def test_a_queued_message_with_its_body_is_not_lost(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        seen.states.append(MessageStateResponse("a", 40.0, 200, "queued", body=b"body", final=True))
        assert self.violated_rules(seen) == ["UNSERVED"]

    def test_order(self) -> None:
        seen = self.observations()
        self.sent(seen, "a", "o", 1.0, key="k")
        self.sent(seen, "b", "o", 2.0, key="k")
        self.ran(seen, "b", 3.0, service="fixed")
        self.ran(seen, "a", 3.1, service="fixed")
        assert self.violated_rules(seen) == ["ORDER"]

    def test_messages_sent_at_once_have_no_order(self) -> None:
        seen = self.observations()
        self.sent(seen, "a", "o", 1.0, key="k")
        self.sent(seen, "b", "o", 1.05, key="k")
        self.ran(seen, "b", 3.0, service="fixed")
        self.ran(seen, "a", 3.1, service="fixed")
        assert self.violated_rules(seen) == []

    def test_twice_in_calm_times_only(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        self.ran(seen, "a", 2.0)
        self.ran(seen, "a", 4.0, stamp="s2")
        assert self.violated_rules(seen) == ["TWICE"]
        seen.faults.append(InjectedFault("kill", "store-1", 3.0, 3.5))
        assert self.violated_rules(seen) == []

    def test_a_success_that_was_not_read_may_run_again(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        self.ran(seen, "a", 2.0, read=False)
        self.ran(seen, "a", 4.0, stamp="s2")
        assert self.violated_rules(seen) == []

    def test_two_lease_ends(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        self.ran(seen, "a", 2.0)
        seen.lease_ends += [AcceptedLeaseEnd("a", "l1", 500, 1.0), AcceptedLeaseEnd("a", "l2", 200, 2.0)]
        assert self.violated_rules(seen) == []
        seen.lease_ends.append(AcceptedLeaseEnd("a", "l3", 200, 3.0))
        assert self.violated_rules(seen) == ["TWICE"]

    def test_refused(self) -> None:
        seen = self.observations()
        self.sent(seen, "a", status=503)
        assert self.violated_rules(seen) == []
        self.ran(seen, "a", 2.0)
        assert self.violated_rules(seen) == ["REFUSED"]

    def test_unasked_and_route(self) -> None:
        seen = self.observations()
        self.ran(seen, "never-sent", 2.0)
        self.sent(seen, "a")
        self.ran(seen, "a", 2.0, service="fixed")
        assert self.violated_rules(seen) == ["ROUTE", "UNASKED"]

    def test_mixed_stamp_and_state(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        self.ran(seen, "a", 2.0)
        seen.states.append(MessageStateResponse("a", 5.0, 200, "completed", "another"))
        assert self.violated_rules(seen) == ["MIXED"]

    def test_an_end_does_not_change(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        self.ran(seen, "a", 2.0)
        seen.states += [
            MessageStateResponse("a", 5.0, 200, "completed", "s1"),
            MessageStateResponse("a", 6.0, 200, "queued"),
        ]
        assert self.violated_rules(seen) == ["MIXED"]

    def test_dead_after_all_attempts(self) -> None:
        seen = self.observations()
        self.sent(seen, "a")
        self.ran(seen, "a", 2.0, "failed")
        seen.states.append(MessageStateResponse("a", 5.0, 200, "dead_letter", body=b"body"))
        assert "MIXED" in self.violated_rules(seen)
        self.ran(seen, "a", 3.0, "failed")
        assert self.violated_rules(seen) == []

    def test_ceiling(self) -> None:
        seen = self.observations()
        seen.arrivals += [DeliveryArrival("fixed", f"m{number}", 1.0 + number / 20) for number in range(60)]
        assert self.violated_rules(seen) == []
        seen.arrivals += [DeliveryArrival("fixed", f"n{number}", 1.0 + number / 20) for number in range(60)]
        assert self.violated_rules(seen) == ["CEILING"]

    def test_early(self) -> None:
        seen = self.observations()
        self.sent(seen, "a", delay_s=3.0)
        self.ran(seen, "a", 3.8)
        assert self.violated_rules(seen) == ["EARLY"]

    def test_run_after_its_retention(self) -> None:
        seen = self.observations(end=150.0)
        self.sent(seen, "a")
        self.ran(seen, "a", 105.0)
        assert self.violated_rules(seen) == []
        self.ran(seen, "a", 110.0)
        assert "EXPIRED" in self.violated_rules(seen)

    def test_stale_and_untold(self) -> None:
        seen = self.observations()
        self.sent(seen, "a", callback="http://h/done")
        self.ran(seen, "a", 2.0)
        seen.states.append(MessageStateResponse("a", 45.0, 200, "queued", body=b"body", final=True))
        assert self.violated_rules(seen) == ["STALE", "UNTOLD"]

    @staticmethod
    def order(
        number: int,
        base: int,
        generation: int,
        acknowledged: float | None,
        refused: float | None = None,
        routes: tuple[str, ...] = ("r",),
    ) -> ConfigurationOrder:
        document = {
            "generation": generation,
            "limits": {},
            "upstreams": [],
            "routes": [{"name": name, "upstream": "push"} for name in routes],
        }
        return ConfigurationOrder(
            number, base, generation, document, True, 1.0 + number, acknowledged, refused
        )

    def read(self, seen: Observations, order: ConfigurationOrder, at: float = 45.0) -> None:
        seen.reads.append(ConfigurationRead(at, at - 0.1, "edge-1", order.document, final=True))

    def test_configuration_kept(self) -> None:
        seen = self.observations()
        seen.orders += [self.order(1, 0, 2, 3.0), self.order(2, 2, 4, 5.0)]
        self.read(seen, seen.orders[1])
        assert self.violated_rules(seen) == []

    def test_acknowledged_configuration_lost(self) -> None:
        seen = self.observations()
        seen.orders += [self.order(1, 0, 2, 3.0), self.order(2, 2, 4, 5.0)]
        self.read(seen, seen.orders[0])
        assert self.violated_rules(seen) == ["CONFIG", "LOST"]

    def test_two_changes_on_one_version(self) -> None:
        seen = self.observations()
        seen.orders += [self.order(1, 0, 2, 3.0), self.order(2, 0, 2, 4.0, routes=("r", "o"))]
        self.read(seen, seen.orders[1])
        assert self.violated_rules(seen) == ["CONFIG"]

    def test_refused_configuration_in_force(self) -> None:
        seen = self.observations()
        seen.orders.append(self.order(1, 0, 2, None, refused=3.0))
        self.read(seen, seen.orders[0])
        assert self.violated_rules(seen) == ["CONFIG"]

    def test_acknowledged_change_refused_later(self) -> None:
        seen = self.observations()
        seen.orders.append(self.order(1, 0, 2, 3.0, refused=4.0))
        self.read(seen, seen.orders[0])
        assert self.violated_rules(seen) == ["CONFIG"]

    def test_a_message_ends_when_its_route_is_dropped(self) -> None:
        seen = self.observations()
        self.sent(seen, "a", at=4.2)
        seen.states.append(MessageStateResponse("a", 40.0, 200, "dead_letter", body=b"body", final=True))
        seen.orders += [self.order(1, 0, 2, 3.0), self.order(2, 2, 4, None, routes=())]
        self.read(seen, seen.orders[1])
        assert self.violated_rules(seen) == []
        seen.orders[1].rejected_at = 6.0
        self.read(seen, seen.orders[0])
        assert {"LOST", "MIXED"} <= set(self.violated_rules(seen))

    def test_configuration_never_goes_back_in_an_incarnation(self) -> None:
        seen = self.observations()
        seen.generations += [ObservedGeneration("edge-1", 1, 4, 5.0), ObservedGeneration("edge-1", 2, 2, 6.0)]
        assert self.violated_rules(seen) == []
        seen.generations.append(ObservedGeneration("edge-1", 2, 1, 7.0))
        assert self.violated_rules(seen) == ["CONFIG"]

    def test_configuration_reaches_calm_processes_in_time(self) -> None:
        seen = self.observations()
        seen.orders += [self.order(1, 0, 2, 3.0), self.order(2, 2, 4, 5.0)]
        self.read(seen, seen.orders[1])
        seen.generations.append(ObservedGeneration("edge-1", 1, 2, 7.0))
        assert self.violated_rules(seen) == []
        seen.generations.append(ObservedGeneration("edge-1", 1, 2, 9.0))
        assert self.violated_rules(seen) == ["CONFIG"]


class TestWholeDays:
    """Short days of the real roles, as the command plays them."""

    @staticmethod
    def play(*words: str) -> subprocess.CompletedProcess[str]:
        command = [
            sys.executable,
            "-m",
            "hollowusher.simulation",
            "--traffic",
            "4",
            "--calm",
            "5",
            "--rate",
            "10",
            *words,
        ]
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        return subprocess.run(command, capture_output=True, text=True, env=environment, timeout=60)

    def test_a_quiet_day_keeps_all_rules(self) -> None:
        done = self.play("--seeds", "1", "--quiet-days")
        assert "all rules kept" in done.stdout, done.stdout + done.stderr
        assert done.returncode == 0, done.stdout + done.stderr

    def test_a_day_with_killed_stores_keeps_all_rules(self) -> None:
        done = self.play("--seeds", "2", "--kinds", "kill,power", "--calm", "12")
        assert "all rules kept" in done.stdout, done.stdout + done.stderr
        assert done.returncode == 0, done.stdout + done.stderr

    def test_a_planted_fault_is_found(self) -> None:
        done = self.play("--seeds", "1-2", "--planted", "ordering-key-ignored")
        assert "1 of 1 planted faults found" in done.stdout, done.stdout + done.stderr
        assert done.returncode == 0
