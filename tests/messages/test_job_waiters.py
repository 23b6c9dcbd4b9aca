"""Which dispatchers a store notifies of jobs for a fixed endpoint, and when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import orjson

from hollowusher.coordination.cluster_state import CONFIGURATION, ClusterState
from hollowusher.coordination.rendezvous import rank
from hollowusher.messages.job_waiters import (
    NOTIFY_DELAY_S,
    NOTIFY_INTERVAL_S,
    PROBABLE_OWNERS,
    JobWaiters,
)
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.leases import JobsWaiting
from hollowusher.protocol.membership import Member
from hollowusher.simulation.event_loop import VirtualTimeLoop
from hollowusher.transport.interface import Transport

SERVICE, ENDPOINT = "fixed", "172.20.0.3:8066"
EDGES = [f"edge-{number}" for number in range(10)]
RANKING = rank(f"{SERVICE}/{ENDPOINT}", EDGES)


class Harness:
    """The waiters of a store with ready jobs for a fixed endpoint; records who is notified."""

    def __init__(self) -> None:
        self.notified: list[str] = []
        self.has_ready = True
        state = ClusterState()
        members = [Member(name, "edge", name, "z", "r", 1) for name in EDGES]
        document = {
            "generation": 1,
            "routes": [],
            "upstreams": [{"name": SERVICE, "fixed": ENDPOINT, "ratePerS": 5.0}],
        }
        items = [DistributedItem(f"member/{member.name}", [1, 0], "", 0, member) for member in members]
        items.append(DistributedItem(CONFIGURATION, [1], "c", 1, orjson.dumps(document)))
        state.apply(items, {})
        transport = cast(Transport, self)
        self.waiters = JobWaiters("store-1/d", transport, state, lambda _service: self.has_ready)

    def send(self, address: str, message: object) -> None:
        assert message == JobsWaiting(SERVICE, "store-1/d")
        self.notified.append(address)

    def take_notified(self) -> set[str]:
        notified, self.notified = self.notified, []
        return set(notified)


def play(work: Callable[[Harness], Coroutine[Any, Any, None]]) -> None:
    loop = VirtualTimeLoop()
    try:
        loop.play(work(Harness()))
    finally:
        loop.shut()


# Guards against: a notice to every process for each message of an ordering key outside its service's home.
def test_probable_owners_are_notified_first_and_all_processes_after_no_request() -> None:
    async def work(harness: Harness) -> None:
        harness.waiters.wake(SERVICE)
        await asyncio.sleep(0.001)
        assert harness.take_notified() == set(RANKING[:PROBABLE_OWNERS])
        await asyncio.sleep(NOTIFY_INTERVAL_S)
        assert harness.take_notified() == set(EDGES)

    play(work)


def test_process_that_requested_last_is_notified_first() -> None:
    async def work(harness: Harness) -> None:
        harness.waiters.record_request(SERVICE, RANKING[-1])
        await asyncio.sleep(1.0)
        harness.waiters.wake(SERVICE)
        await asyncio.sleep(0.001)
        assert harness.take_notified() == {RANKING[-1], *RANKING[:PROBABLE_OWNERS]}

    play(work)


def test_dispatcher_between_two_requests_is_not_notified() -> None:
    async def work(harness: Harness) -> None:
        harness.waiters.record_request(SERVICE, RANKING[0])
        harness.waiters.wake(SERVICE)
        await asyncio.sleep(NOTIFY_DELAY_S / 2)
        harness.waiters.record_request(SERVICE, RANKING[0])
        harness.has_ready = False
        await asyncio.sleep(1.0)
        assert harness.take_notified() == set()

    play(work)
