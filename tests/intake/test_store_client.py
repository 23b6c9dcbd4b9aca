"""Tests of the store client in virtual time: choice of partition, retries and failure detection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import pytest

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.intake.peer_health import HEALTH_CHECK_INTERVAL_S, SUSPECT_AFTER_S, PeerHealth
from hollowusher.intake.store_client import CALL_TIMEOUT_S, StoreClient, partition_of
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.leases import ExtendLease, FinishLease, LeaseUpdateResponse
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import (
    MessageStatusRequest,
    MessageStatusResponse,
    NewMessage,
    PutRequest,
    PutResponse,
)
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.simulation.event_loop import VirtualTimeLoop
from hollowusher.transport.interface import Handler, PeerError

ONE, TWO, THREE = "10.0.0.1:7780", "10.0.0.2:7780", "10.0.0.3:7780"
MESSAGE = NewMessage("id1", "r", "s", "POST", "/x/", "a.example", b"body")
STORED = PutResponse("stored", "0-1-1")


class SilentStore:
    """A script entry: the call gets no response and times out."""


@attrs.define
class SlowAnswer:
    """A script entry: the response arrives after a delay in seconds."""

    seconds: float
    answer: Any


class ScriptedTransport:
    """A transport with a script of responses for each address; the last response repeats forever."""

    def __init__(self, scripts: dict[str, list[Any]]) -> None:
        self.address = "10.0.0.9:7780"
        self.scripts = scripts
        self.calls: list[tuple[float, str, Any]] = []

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        self.calls.append((asyncio.get_running_loop().time() - 1000, address, message))
        script = self.scripts[address]
        answer = script.pop(0) if len(script) > 1 else script[0]
        await asyncio.sleep(0.001)
        if isinstance(answer, SilentStore):
            await asyncio.sleep(timeout)
            raise PeerError("call", address, "no answer")
        if isinstance(answer, SlowAnswer):
            await asyncio.sleep(answer.seconds)
            return answer.answer
        if isinstance(answer, Exception):
            raise answer
        return answer

    def send(self, address: str, message: Any) -> None:
        raise AssertionError("unexpected one-way message")

    async def start(self, handler: Handler) -> None:
        raise AssertionError("the store client must not start the transport")

    async def close(self) -> None:
        raise AssertionError("the store client must not close the transport")

    def puts(self) -> list[tuple[str, int]]:
        """Return the address and the partition of each put."""
        return [
            (address, message.partition)
            for _, address, message in self.calls
            if isinstance(message, PutRequest)
        ]

    def probes(self) -> list[str]:
        return [address for _, address, message in self.calls if isinstance(message, MessageStatusRequest)]


def refused(address: str) -> PeerError:
    return PeerError("call", address, "no connection", sent=False)


def lost(address: str) -> PeerError:
    return PeerError("call", address, "connection lost")


def place(state: ClusterState, version: int, primaries: dict[int, str], epoch: int = 1) -> None:
    """Apply a placement; `primaries` maps partitions to store names."""
    entries = [
        PartitionPlacement(number, epoch, f"{name}/d", [f"{name}/d"]) for number, name in primaries.items()
    ]
    state.apply([DistributedItem("placement", [version], "c/1", version, Placement(version, entries))], {})


def announce(state: ClusterState, name: str, address: str, incarnation: int = 1) -> None:
    member = Member(name, "store", address, "z", "r", incarnation, "d")
    state.apply([DistributedItem(f"member/{name}", [incarnation], "c/1", incarnation, member)], {})


def cluster() -> ClusterState:
    """Return a cluster state in which the primaries of partitions 0, 1, 2 are the stores one, two, three."""
    state = ClusterState()
    for name, address in (("one", ONE), ("two", TWO), ("three", THREE)):
        announce(state, name, address)
    place(state, 1, {0: "one", 1: "two", 2: "three"})
    return state


class StoreClientHarness:
    """A store client over a scripted transport; its times are seconds since the start of the test."""

    def __init__(self, loop: VirtualTimeLoop, scripts: dict[str, list[Any]]) -> None:
        self.loop = loop
        self.state = cluster()
        self.transport = ScriptedTransport(scripts)
        self.client = StoreClient(self.transport, self.state, loop.time)

    def at(self, seconds: float) -> float:
        return 1000 + seconds

    def now(self) -> float:
        return self.loop.time() - 1000

    async def put(
        self, candidates: list[int], deadline: float = 1.0, reject_at: float | None = None
    ) -> PutResponse:
        return await self.client.put(
            MESSAGE, candidates, self.at(deadline), None if reject_at is None else self.at(reject_at)
        )


def play(
    scripts: dict[str, list[Any]], work: Callable[[StoreClientHarness], Coroutine[Any, Any, Any]]
) -> None:
    loop = VirtualTimeLoop()
    try:
        loop.play(work(StoreClientHarness(loop, scripts)))
    finally:
        loop.shut()


class TestPut:
    def test_the_first_candidate_stores_the_message(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            assert await harness.put([1, 0]) == STORED
            assert harness.transport.puts() == [(TWO, 1)]

        play({TWO: [STORED]}, work)

    @pytest.mark.parametrize(
        "answer",
        [
            PutResponse("not_primary"),
            PutResponse("unavailable"),
            refused(ONE),
        ],
        ids=["not_primary", "unavailable", "refused"],
    )
    def test_after_a_certain_rejection_another_candidate_stores_the_message(self, answer: Any) -> None:
        async def work(harness: StoreClientHarness) -> None:
            assert await harness.put([0, 1]) == STORED
            assert harness.transport.puts() == [(ONE, 0), (TWO, 1)]

        play({ONE: [answer], TWO: [STORED]}, work)

    @pytest.mark.parametrize(
        "answer", [PutResponse("unknown"), lost(ONE), SilentStore()], ids=["unknown", "lost", "silent"]
    )
    def test_an_uncertain_put_is_retried_only_at_the_same_partition(self, answer: Any) -> None:
        async def work(harness: StoreClientHarness) -> None:
            assert await harness.put([0, 1]) == STORED
            assert harness.transport.puts() == [(ONE, 0), (ONE, 0)]

        play({ONE: [answer, STORED], TWO: [STORED]}, work)

    def test_certain_rejections_after_an_uncertain_put_leave_its_outcome_unknown(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            assert (await harness.put([0, 1])).status == "unknown"
            assert harness.now() == pytest.approx(1.0, abs=0.01)
            assert {address for address, _ in harness.transport.puts()} == {ONE}

        play(
            {
                ONE: [lost(ONE), PutResponse("unavailable"), refused(ONE), PutResponse("not_primary")],
                TWO: [STORED],
            },
            work,
        )

    def test_a_put_that_was_never_sent_is_unavailable_at_the_deadline(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            assert (await harness.put([0])).status == "unavailable"
            assert harness.now() == pytest.approx(1.0, abs=0.01)

        play({ONE: [refused(ONE)]}, work)

    def test_reject_at_applies_only_while_no_put_was_sent(self) -> None:
        async def certain(harness: StoreClientHarness) -> None:
            assert (await harness.put([0], reject_at=0.4)).status == "unavailable"
            assert harness.now() == pytest.approx(0.4, abs=0.01)

        async def uncertain(harness: StoreClientHarness) -> None:
            assert (await harness.put([0], reject_at=0.4)).status == "unknown"
            assert harness.now() == pytest.approx(1.0, abs=0.01)

        play({ONE: [refused(ONE)]}, certain)
        play({ONE: [lost(ONE)]}, uncertain)

    def test_a_partition_without_a_known_primary_is_skipped(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            place(harness.state, 2, {0: "nobody", 1: "two"})
            assert await harness.put([0, 1]) == STORED
            assert harness.transport.puts() == [(TWO, 1)]

        play({TWO: [STORED]}, work)

    def test_a_put_waits_for_a_placement_and_then_continues_at_once(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            place(harness.state, 2, {0: "nobody"})
            waiting = asyncio.create_task(harness.put([0]))
            await asyncio.sleep(0.5)
            place(harness.state, 3, {0: "three"}, epoch=2)
            assert await waiting == STORED
            assert harness.now() == pytest.approx(0.501)

        play({THREE: [STORED]}, work)

    def test_a_put_in_progress_follows_its_partition_to_the_next_primary(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            waiting = asyncio.create_task(harness.put([0, 1]))
            await asyncio.sleep(0.1)
            place(harness.state, 2, {0: "three", 1: "two"}, epoch=2)
            assert await waiting == STORED
            assert harness.now() == pytest.approx(0.101)
            assert harness.transport.puts() == [(ONE, 0), (THREE, 0)]

        play({ONE: [SilentStore()], TWO: [STORED], THREE: [STORED]}, work)

    def test_two_placement_changes_at_the_same_time_are_followed(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            waiting = asyncio.create_task(harness.put([0]))
            await asyncio.sleep(0.1)
            place(harness.state, 2, {0: "three"}, epoch=2)
            place(harness.state, 3, {0: "two"}, epoch=3)
            await asyncio.sleep(0)
            place(harness.state, 4, {0: "three"}, epoch=4)
            assert await waiting == STORED
            assert harness.transport.puts()[0] == (ONE, 0)

        play({ONE: [SilentStore()], TWO: [STORED], THREE: [STORED]}, work)

    def test_a_put_whose_primary_moved_stays_uncertain(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            waiting = asyncio.create_task(harness.put([0, 1]))
            await asyncio.sleep(0.1)
            place(harness.state, 2, {0: "three", 1: "two"}, epoch=2)
            assert (await waiting).status == "unknown"

        play({ONE: [SilentStore()], TWO: [STORED], THREE: [PutResponse("unavailable")]}, work)

    def test_the_delay_is_reduced_by_the_time_waited(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            message = attrs.evolve(MESSAGE, delay_ms=600)  # type: ignore[misc, unused-ignore]
            place(harness.state, 2, {0: "nobody"})
            waiting = asyncio.create_task(harness.client.put(message, [0], harness.at(5)))
            await asyncio.sleep(0.25)
            place(harness.state, 3, {0: "one"}, epoch=2)
            assert await waiting == STORED
            sent = [put.message.delay_ms for _, _, put in harness.transport.calls]
            assert sent[0] == pytest.approx(350, abs=1)
            assert sent[1] < sent[0] - 20

        play({ONE: [lost(ONE), STORED]}, work)


class TestSuspicion:
    def test_after_a_refused_connection_other_puts_avoid_the_store_until_a_probe_succeeds(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            await harness.put([0, 1])
            await harness.put([0, 1])
            assert harness.transport.puts() == [(ONE, 0), (TWO, 1), (TWO, 1)]
            assert harness.transport.probes() == []
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
            await harness.put([0, 1])
            await asyncio.sleep(0.01)
            assert harness.transport.probes() == [ONE]
            await harness.put([0, 1])
            assert harness.transport.puts()[3:] == [(TWO, 1), (ONE, 0)]

        play({ONE: [refused(ONE), MessageStatusResponse("unknown"), STORED], TWO: [STORED]}, work)

    def test_an_ordered_message_waits_for_the_probe(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            assert await harness.put([0]) == STORED
            assert harness.transport.puts() == [(ONE, 0), (ONE, 0)]
            assert HEALTH_CHECK_INTERVAL_S < harness.now() < HEALTH_CHECK_INTERVAL_S + 0.25

        play({ONE: [refused(ONE), MessageStatusResponse("unknown"), STORED]}, work)

    def test_a_new_epoch_in_the_placement_ends_the_suspicion(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            await harness.put([0, 1])
            assert harness.client.is_suspect(ONE)
            place(harness.state, 2, {0: "one", 1: "two"}, epoch=2)
            assert not harness.client.is_suspect(ONE)
            await harness.put([0, 1])
            assert harness.transport.puts()[-1] == (ONE, 0)

        play({ONE: [refused(ONE), STORED], TWO: [STORED]}, work)

    def test_a_placement_without_a_new_epoch_does_not_end_the_suspicion(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            await harness.put([0, 1])
            place(harness.state, 2, {0: "one", 1: "two"})
            assert harness.client.is_suspect(ONE)

        play({ONE: [refused(ONE)], TWO: [STORED]}, work)

    def test_a_restart_ends_the_suspicion(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            await harness.put([0, 1])
            announce(harness.state, "one", ONE, incarnation=2)
            assert not harness.client.is_suspect(ONE)

        play({ONE: [refused(ONE)], TWO: [STORED]}, work)

    def test_a_call_without_a_response_makes_later_puts_avoid_the_store(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            first = asyncio.create_task(harness.put([0, 1]))
            await asyncio.sleep(SUSPECT_AFTER_S / 2)
            assert not harness.client.is_suspect(ONE)
            await asyncio.sleep(SUSPECT_AFTER_S / 2 + 0.01)
            assert harness.client.is_suspect(ONE)
            assert await harness.put([0, 1]) == STORED
            assert harness.transport.puts() == [(ONE, 0), (TWO, 1)]
            assert await first == STORED
            assert not harness.client.is_suspect(ONE)

        play(
            {
                ONE: [SlowAnswer(0.4, STORED), SlowAnswer(0.4, MessageStatusResponse("unknown"))],
                TWO: [STORED],
            },
            work,
        )

    def test_a_response_to_another_call_prevents_the_suspicion(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            slow = asyncio.create_task(harness.put([0]))
            await asyncio.sleep(0.2)
            await harness.client.status("0-1-1", False, harness.at(1))
            await asyncio.sleep(0.1)
            assert not harness.client.is_suspect(ONE)
            await slow

        play({ONE: [SlowAnswer(0.4, STORED), MessageStatusResponse("queued")]}, work)

    def test_probes_are_rate_limited(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            for _ in range(100):
                await harness.put([0, 1])
                await asyncio.sleep(0.01)
            assert 2 <= len(harness.transport.probes()) <= 4
            assert harness.transport.puts().count((ONE, 0)) == 1

        play({ONE: [refused(ONE)], TWO: [STORED]}, work)


class TestPeerHealth:
    def test_the_timeout_starts_at_the_later_of_the_oldest_call_and_the_last_response(self) -> None:
        health = PeerHealth()
        first = health.call_started(10.0)
        second = health.call_started(10.1)
        assert not health.is_suspect(10.0 + SUSPECT_AFTER_S)
        assert health.is_suspect(10.01 + SUSPECT_AFTER_S)
        health.call_answered(second, 10.2)
        assert not health.is_suspect(10.2 + SUSPECT_AFTER_S)
        assert health.is_suspect(10.21 + SUSPECT_AFTER_S)
        health.call_abandoned(first)
        assert not health.is_suspect(11.0)

    def test_a_failure_lasts_until_a_response(self) -> None:
        health = PeerHealth()
        health.call_failed(health.call_started(1.0), 1.0)
        assert health.is_suspect(100.0)
        health.call_answered(health.call_started(100.0), 100.0)
        assert not health.is_suspect(100.0)


class TestLeasesAndStatus:
    def test_a_lease_end_is_retried_until_it_is_taken(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            answer = await harness.client.finish(FinishLease("0-1-1-1", "success", "s"), harness.at(1))
            assert answer == LeaseUpdateResponse("taken")
            assert len(harness.transport.calls) == 5

        play(
            {
                ONE: [
                    LeaseUpdateResponse("not_primary"),
                    LeaseUpdateResponse("unavailable"),
                    lost(ONE),
                    refused(ONE),
                    LeaseUpdateResponse("taken"),
                ]
            },
            work,
        )

    def test_gone_is_a_final_response(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            assert await harness.client.extend(ExtendLease("0-1-1-1"), harness.at(1)) == LeaseUpdateResponse(
                "gone"
            )
            assert len(harness.transport.calls) == 1

        play({ONE: [LeaseUpdateResponse("gone")]}, work)

    def test_the_deadline_ends_the_retries(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            answer = await harness.client.finish(FinishLease("0-1-1-1", "success"), harness.at(0.7))
            assert answer == LeaseUpdateResponse("unavailable")
            assert harness.now() == pytest.approx(0.7, abs=0.01)
            assert len(harness.transport.calls) < 12

        play({ONE: [LeaseUpdateResponse("not_primary")]}, work)

    def test_a_status_request_follows_its_partition(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            waiting = asyncio.create_task(harness.client.status("0-1-1", True, harness.at(1)))
            await asyncio.sleep(0.1)
            place(harness.state, 2, {0: "three"}, epoch=2)
            assert await waiting == MessageStatusResponse("queued", body=b"x")
            assert harness.now() == pytest.approx(0.101)

        play({ONE: [SilentStore()], THREE: [MessageStatusResponse("queued", body=b"x")]}, work)

    def test_a_call_without_a_response_is_retried_before_the_deadline(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            answer = await harness.client.status("0-1-1", False, harness.at(1.8))
            assert answer.state == "completed"
            assert harness.now() < CALL_TIMEOUT_S + 0.1

        play({ONE: [SilentStore(), MessageStatusResponse("completed", "s")]}, work)

    def test_invalid_references_do_not_exist(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            for reference in ("", "abc", "7", "x-1-1", "-1-1", "77-1-1", "9999999999-1-1", "٣-1-1"):
                assert (await harness.client.status(reference, False, harness.at(1))).state == "unknown"
                assert (
                    await harness.client.finish(FinishLease(reference, "failed"), harness.at(1))
                ).status == "gone"
            assert harness.transport.calls == []

        play({}, work)

    def test_without_a_placement_the_status_is_unavailable(self) -> None:
        async def work(harness: StoreClientHarness) -> None:
            client = StoreClient(harness.transport, ClusterState(), harness.loop.time)
            assert (await client.status("0-1-1", False, harness.at(0.3))).state == "unavailable"

        play({}, work)

    def test_partition_of(self) -> None:
        assert partition_of("12-3-4") == 12
        assert partition_of("12-3-4-5") == 12
        assert partition_of("12") is None
