"""After a freeze, an edge process must not use leases that may have expired.

It must not start deliveries, return jobs to pull workers or send callbacks for such leases.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from hollowusher.configuration.model import Service
from hollowusher.coordination.rendezvous import rank_partitions
from hollowusher.delivery.callback_delivery import MAX_CONNECTIONS, CallbackDelivery
from hollowusher.delivery.connection_pool import ConnectionPool
from hollowusher.delivery.http_connection import DeliveryResponse
from hollowusher.delivery.lease_end_reporter import LeaseEndReporter
from hollowusher.delivery.lease_poller import LeasingContext
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.delivery.outcome import WorkerFeedback
from hollowusher.delivery.pull_dispatcher import LeasingPullDispatcher
from hollowusher.delivery.worker_client import Endpoint, HttpWorkerClient
from hollowusher.dispatch.dispatcher import Dispatcher
from hollowusher.dispatch.worker_flow_control import WorkerFlowControl
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.leases import JobsWaiting, LeasedJob
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from tests.support.dispatch import (
    STORE_1,
    STORE_2,
    Cluster,
    LeasingStores,
    ModelWorkers,
    dispatcher,
    edge,
    job,
    listed_worker,
    play,
    route,
)

RECEIVER = "callback:10.20.0.4:8080"


def make_push_cluster() -> tuple[Cluster, LeasingStores, ModelWorkers]:
    cluster = Cluster([edge("e1")], [Service("svc")], [route()], [listed_worker(1)])
    return cluster, LeasingStores(), ModelWorkers({"10.2.0.1:8080": 4})


async def start(
    process: SimulatedProcess, cluster: Cluster, stores: LeasingStores, workers: ModelWorkers
) -> Dispatcher:
    async def begin() -> Dispatcher:
        subject = dispatcher(cluster, stores, workers)
        subject.start()
        return subject

    return await process.run(begin())


async def freeze_for(loop: VirtualTimeLoop, process: SimulatedProcess, seconds: float) -> None:
    loop.freeze(process)
    await asyncio.sleep(seconds)
    loop.thaw(process)


class TestLeases:
    @pytest.mark.parametrize("frozen_s", [0.9, 1.5, 5.0, 20.0])
    def test_jobs_of_a_response_that_was_read_after_a_freeze_are_released(self, frozen_s: float) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores, workers = make_push_cluster()
            process = SimulatedProcess("e1")
            await start(process, cluster, stores, workers)
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(0.001)  # the lease request is in transit
            assert stores.requests and not workers.begun
            await freeze_for(loop, process, frozen_s)
            await asyncio.sleep(1.0)
            assert workers.begun == []
            assert stores.results() in ({}, {"not_run": 1})  # the grant is lost, or released

        play(work)

    def test_jobs_leased_late_in_a_long_poll_are_started(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores, workers = make_push_cluster()
            await start(SimulatedProcess("e1"), cluster, stores, workers)
            await asyncio.sleep(0.95)
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(0.1)
            assert [message for _, _, message in workers.begun] == ["m1"]

        play(work)

    def test_a_job_whose_delivery_was_frozen_is_not_started(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The process freezes after it has chosen the worker and before the delivery task starts."""

        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores, workers = make_push_cluster()
            process = SimulatedProcess("e1")
            real = WorkerFlowControl.record_sent

            def delivered(control: WorkerFlowControl, *arguments: Any) -> None:
                real(control, *arguments)
                loop.freeze(process)

            await start(process, cluster, stores, workers)
            stores.add(STORE_1, [job(1)])
            monkeypatch.setattr(WorkerFlowControl, "record_sent", delivered)
            await asyncio.sleep(0.6)
            assert process.frozen
            monkeypatch.undo()
            loop.thaw(process)
            await asyncio.sleep(0.2)
            assert workers.begun == []
            assert stores.results() == {"not_run": 1}

        play(work)


class _SilentConnection:
    """A connection that opens while its process is frozen; it must not get a request."""

    is_usable = True

    def __init__(self) -> None:
        self.requests: list[bytes] = []

    async def exchange(self, request: bytes, accepts: Any, deadline: float) -> DeliveryResponse:
        self.requests.append(request)
        raise AssertionError("request sent after the start deadline")


class TestWorkerClient:
    def test_nothing_is_sent_on_a_connection_that_opened_only_after_a_freeze(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            opened = _SilentConnection()

            async def connect(pool: ConnectionPool, deadline: float, may_have_run: bool = False) -> Any:
                await asyncio.sleep(0.7)
                return opened

            monkeypatch.setattr(ConnectionPool, "_connect", connect)
            client = HttpWorkerClient()
            outcome = await client.deliver(Endpoint("10.2.0.1:8080", "i-1"), job(1), 5.0)
            assert (outcome.result, outcome.feedback) == ("not_run", WorkerFeedback.UNREACHABLE)
            assert opened.requests == []

        play(work)


async def start_pull_dispatcher() -> tuple[LeasingStores, SimulatedProcess, LeasingPullDispatcher]:
    """Start the dispatcher of a pull service in a process of its own."""
    cluster = Cluster([edge("e1")], [Service("svc", pull=True)], [route()], [])
    stores, process = LeasingStores(), SimulatedProcess("e1")
    subject = await start(process, cluster, stores, ModelWorkers({}))
    return stores, process, subject.pull_dispatcher


def freeze_after_first_offer(
    loop: VirtualTimeLoop, process: SimulatedProcess, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Freeze the process as soon as it has assigned a job to a call, and only once."""
    real = LeasingPullDispatcher._offer

    def offer(desk: LeasingPullDispatcher, *arguments: Any) -> None:
        real(desk, *arguments)
        monkeypatch.setattr(LeasingPullDispatcher, "_offer", real)
        loop.freeze(process)

    monkeypatch.setattr(LeasingPullDispatcher, "_offer", offer)


class TestPullWorkers:
    @pytest.mark.parametrize("frozen_s", [0.5, 5.0, 20.0])
    def test_an_unclaimed_job_is_released_after_a_freeze(self, frozen_s: float) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            stores, process, desk = await start_pull_dispatcher()
            gone = process.run(desk.pull("svc", "i-1", 1.0))
            await asyncio.sleep(0.01)
            gone.cancel()
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(0.05)
            loop.freeze(process)
            call = process.run(desk.pull("svc", "i-2", 0.0))  # read only after the thaw
            await asyncio.sleep(frozen_s)
            loop.thaw(process)
            assert await call is None
            await asyncio.sleep(0.1)
            assert stores.results() == {"not_run": 1}

        play(work)

    @pytest.mark.parametrize("frozen_s", [0.5, 5.0, 20.0])
    def test_a_job_assigned_to_a_call_before_a_freeze_is_released(
        self, frozen_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            stores, process, desk = await start_pull_dispatcher()
            freeze_after_first_offer(loop, process, monkeypatch)
            call = process.run(desk.pull("svc", "i-1", 30.0))
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(frozen_s)
            assert process.frozen
            loop.thaw(process)
            assert await call is None
            await asyncio.sleep(0.1)
            assert stores.results() == {"not_run": 1}

        play(work)

    # Guards against: a job whose lease has expired, passed by a cancelled call to the next one.
    @pytest.mark.parametrize("frozen_s", [0.5, 5.0, 20.0])
    def test_a_job_that_a_call_returns_after_a_freeze_is_released(
        self, frozen_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            stores, process, desk = await start_pull_dispatcher()
            freeze_after_first_offer(loop, process, monkeypatch)
            first, second = (
                process.run(desk.pull("svc", worker, frozen_s + 30.0)) for worker in ("i-1", "i-2")
            )
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(frozen_s)
            assert process.frozen
            first.cancel()  # the worker has closed its connection meanwhile
            loop.thaw(process)
            await asyncio.sleep(1.0)
            assert not second.done()
            assert stores.results() == {"not_run": 1}

        play(work)


def callback_job(number: int) -> LeasedJob:
    return evolve(
        job(number, service=RECEIVER, callback_url="http://10.20.0.4:8080/done"),
        state="completed",
        signature="sig",
    )


class _SlowReceiver:
    """A callback receiver that takes one second for each callback."""

    def __init__(self) -> None:
        self.received: list[str] = []

    async def post(self, job_to_report: LeasedJob) -> str:
        self.received.append(job_to_report.message.id)
        await asyncio.sleep(1.0)
        return "success"

    def close(self) -> None:
        """Do nothing: there are no connections."""


class TestCallbacks:
    def test_callbacks_leased_before_a_long_freeze_are_released(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores, metrics = Cluster([edge("e1")], [], [], []), LeasingStores(), DeliveryMetrics()
            network = LeasingContext(
                cluster.state.members["e1"], stores, cluster.state, rank_partitions, metrics
            )
            receiver, process = _SlowReceiver(), SimulatedProcess("e1")
            stores.add(STORE_1, [callback_job(n) for n in range(4)])
            stores.add(STORE_2, [callback_job(n) for n in range(4, 8)])

            async def begin() -> CallbackDelivery:
                subject = CallbackDelivery(
                    network, LeaseEndReporter(stores, metrics), lambda service: True, lambda address: receiver
                )
                subject.handle(JobsWaiting(RECEIVER, STORE_1))
                subject.handle(JobsWaiting(RECEIVER, STORE_2))
                return subject

            await process.run(begin())
            await asyncio.sleep(0.5)
            begun = list(receiver.received)
            assert len(begun) == MAX_CONNECTIONS
            waiting = 8 - sum(len(queue) for queue in stores.queues.values()) - len(begun)
            assert waiting > 0
            await freeze_for(loop, process, 20.0)
            await asyncio.sleep(0.5)
            assert stores.results()["not_run"] == waiting

        play(work)
