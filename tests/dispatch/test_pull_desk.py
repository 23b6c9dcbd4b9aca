"""Tests of the pull dispatcher with fake stores in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.configuration.model import Service
from hollowusher.delivery.pull_dispatcher import UNCLAIMED_JOB_TTL_S, LeasingPullDispatcher
from hollowusher.dispatch.dispatcher import Dispatcher
from hollowusher.intake.pull_dispatcher import PullDispatcher
from hollowusher.protocol.leases import JobsWaiting, LeasedJob
from hollowusher.simulation.event_loop import VirtualTimeLoop
from tests.support.dispatch import (
    ADDRESSES,
    SETTINGS,
    STORE_1,
    STORE_2,
    Cluster,
    LeasingStores,
    ModelWorkers,
    clock,
    dispatcher,
    edge,
    job,
    play,
    route,
)


def make_dispatcher() -> tuple[Cluster, LeasingStores, Dispatcher, LeasingPullDispatcher]:
    members = [edge("e1")]
    cluster = Cluster(members, [Service("svc", pull=True)], [route()], [])
    stores = LeasingStores()
    subject = dispatcher(cluster, stores, ModelWorkers({}))
    subject.start()
    return cluster, stores, subject, subject.pull_dispatcher


def start_calls(
    dispatcher: PullDispatcher, calls: int, wait_s: float = 1.0
) -> list[asyncio.Task[LeasedJob | None]]:
    return [asyncio.create_task(dispatcher.pull("svc", f"i-{n}", wait_s)) for n in range(calls)]


class TestPullDispatcher:
    def test_a_call_gets_a_job_that_waits_at_the_store(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, _, dispatcher = make_dispatcher()
            stores.add(STORE_1, [job(1)])
            assert await dispatcher.pull("svc", "i-1", 1.0) == job(1)
            assert clock() < 0.05
            request = stores.requests[0][2]
            assert request.pull and request.visibility_ms == SETTINGS.bounds.visibility_ms

        play(work)

    def test_a_waiting_call_gets_a_job_as_soon_as_it_arrives(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, _, dispatcher = make_dispatcher()
            call = asyncio.create_task(dispatcher.pull("svc", "i-1", 5.0))
            await asyncio.sleep(2.5)
            stores.add(STORE_1, [job(1)])
            assert await call == job(1)
            assert clock() < 2.52

        play(work)

    def test_a_call_ends_without_a_job_after_its_wait(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, _, _, dispatcher = make_dispatcher()
            assert await dispatcher.pull("svc", "i-1", 1.5) is None
            assert clock() == pytest.approx(1.5)
            assert await dispatcher.pull("svc", "i-1", 0.0) is None
            assert clock() == pytest.approx(1.5)

        play(work)

    def test_no_lease_is_requested_while_no_call_waits(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, _, dispatcher = make_dispatcher()
            await dispatcher.pull("svc", "i-1", 0.5)
            await asyncio.sleep(2)
            asked = len(stores.requests)
            await asyncio.sleep(60)
            assert len(stores.requests) == asked

        play(work)

    def test_calls_are_served_in_the_order_of_their_arrival(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, _, dispatcher = make_dispatcher()
            calls = start_calls(dispatcher, 4)
            await asyncio.sleep(0.1)
            for number in range(4):
                stores.add(STORE_1, [job(number)])
            assert await asyncio.gather(*calls) == [job(n) for n in range(4)]

        play(work)

    def test_one_lease_request_covers_all_waiting_calls(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, _, dispatcher = make_dispatcher()
            start_calls(dispatcher, 6, 3.0)
            await asyncio.sleep(1.5)
            assert stores.most_outstanding == 1
            assert stores.requests[-1][2].most == 6

        play(work)

    def test_an_unclaimed_job_is_offered_to_the_next_call(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, _, dispatcher = make_dispatcher()
            assert await dispatcher.pull("svc", "i-1", 0.5) is None  # the store's long poll continues
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(0.1)
            assert await dispatcher.pull("svc", "i-1", 0.5) == job(1)
            await asyncio.sleep(1)
            assert stores.results() == {}

        play(work)

    def test_an_unclaimed_job_is_released_after_its_ttl(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, _, dispatcher = make_dispatcher()
            assert await dispatcher.pull("svc", "i-1", 0.5) is None
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(UNCLAIMED_JOB_TTL_S + 0.05)
            assert stores.results() == {"not_run": 1}

        play(work)

    def test_the_job_of_a_cancelled_call_goes_to_the_next_call(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, _, _, dispatcher = make_dispatcher()
            first, second = start_calls(dispatcher, 2, 5.0)
            await asyncio.sleep(0.1)
            dispatcher._services["svc"].calls[0].set_result(job(1))
            first.cancel()
            assert await asyncio.wait_for(second, 1) == job(1)
            assert first.cancelled() or await asyncio.wait([first])

        play(work)

    def test_a_cancelled_call_is_not_counted(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, _, dispatcher = make_dispatcher()
            first, second = start_calls(dispatcher, 2, 5.0)
            await asyncio.sleep(0.1)
            first.cancel()
            await asyncio.sleep(0.1)
            stores.add(STORE_1, [job(1)])
            assert await second == job(1)
            assert stores.results() == {}

        play(work)

    def test_other_stores_with_jobs_are_polled_while_calls_wait(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, subject, dispatcher = make_dispatcher()
            subject.handle(JobsWaiting("svc", STORE_2))
            await asyncio.sleep(0.1)
            assert stores.requests == []  # no call waits
            stores.add(STORE_2, [job(1)])
            call = start_calls(dispatcher, 1)[0]
            await asyncio.sleep(0.1)
            subject.handle(JobsWaiting("svc", STORE_2))
            assert await call == job(1)

        play(work)

    def test_the_new_primary_is_polled_after_a_placement_change(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores, _, dispatcher = make_dispatcher()
            call = start_calls(dispatcher, 1, 5.0)[0]
            await asyncio.sleep(0.1)
            stores.down.add(ADDRESSES[STORE_1])
            cluster.place(STORE_2)
            stores.add(STORE_2, [job(1)])
            assert await call == job(1)
            assert clock() < 0.2

        play(work)

    def test_a_stop_ends_calls_and_releases_jobs_that_arrive_later(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            _, stores, subject, dispatcher = make_dispatcher()
            calls = start_calls(dispatcher, 2, 5.0)
            await asyncio.sleep(0.3)
            stop = asyncio.create_task(subject.stop(4))
            assert await asyncio.gather(*calls) == [None, None]
            stores.add(STORE_1, [job(1)])
            await stop
            assert stores.results() == {"not_run": 1}
            assert clock() < 2
            assert await dispatcher.pull("svc", "i-1", 1.0) is None

        play(work)
