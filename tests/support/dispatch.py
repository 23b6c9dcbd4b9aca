"""Fakes for tests of dispatch and delivery: stores that lease jobs, workers, and a cluster state."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

import orjson

from hollowusher.configuration.boot import BootSettings
from hollowusher.configuration.model import Configuration, Route, Service
from hollowusher.configuration.section_reader import key_of
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.delivery.outcome import DeliveryOutcome, WorkerFeedback
from hollowusher.delivery.worker_client import Endpoint
from hollowusher.dispatch.dispatcher import Dispatcher
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.leases import (
    FinishLease,
    LeasedJob,
    LeaseRequest,
    LeaseResponse,
    LeaseUpdateResponse,
)
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import NewMessage
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList
from hollowusher.simulation.event_loop import VirtualTimeLoop
from hollowusher.transport.interface import PeerError

STORE_1, STORE_2 = "store-1/d1", "store-2/d2"
ADDRESSES = {STORE_1: "10.0.1.1:7780", STORE_2: "10.0.1.2:7780"}
LATENCY_S = 0.002
LOOP_START_S = 1_000.0  # the time at which the virtual event loop starts


def play(work: Callable[[VirtualTimeLoop], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.play(work(loop))
    finally:
        loop.shut()


def clock() -> float:
    """Return the seconds since the virtual event loop started."""
    return asyncio.get_running_loop().time() - LOOP_START_S


def edge(name: str, zone: str = "z1", status: int = 0) -> Member:
    """Return an edge process as a member of the cluster."""
    return Member(name, "edge", f"10.0.0.{len(name)}:7780", zone, "r", 1, status=status)


def store(store_id: str) -> Member:
    """Return the store with this id as a member of the cluster."""
    name, _, disk = store_id.partition("/")
    return Member(name, "store", ADDRESSES[store_id], "z1", "r", 1, disk_id=disk)


def listed_worker(
    number: int,
    service: str = "svc",
    capacity: int = 4,
    state: str = "ready",
    warm_in_ms: int = 0,
    zone: str = "z1",
) -> PlatformWorker:
    """Return an entry of the platform's worker list."""
    return PlatformWorker(f"i-{number}", service, f"10.2.0.{number}:8080", zone, capacity, state, warm_in_ms)


def route(name: str = "r1", upstream: str = "svc", timeout_ms: int = 1000) -> Route:
    """Return a route for the host name `name`.example."""
    return Route(name, f"{name}.example", "/", upstream, timeout_ms=timeout_ms)


def job(
    number: int,
    service: str = "svc",
    route_name: str = "r1",
    start_within_ms: int = 500,
    body: bytes = b"x",
    **fields: Any,
) -> LeasedJob:
    """Return a leased job with message id `m<number>`; `fields` sets further fields of the message."""
    message = NewMessage(f"m{number}", route_name, service, "POST", "/p", "r1.example", body, **fields)
    return LeasedJob(f"0-1-{number}-1", message, 0, start_within_ms)


class Cluster:
    """A cluster state whose item versions increase with each change."""

    def __init__(
        self,
        members: list[Member],
        services: list[Service],
        routes: list[Route],
        workers: list[PlatformWorker],
        primary: str = STORE_1,
    ) -> None:
        self.state = ClusterState()
        self._version = 0
        for member in [*members, store(STORE_1), store(STORE_2)]:
            self.put(f"member/{member.name}", member)
        self.place(primary)
        self.configure(services, routes)
        self.list_workers(workers)

    def put(self, key: str, value: Any) -> None:
        """Set an item of the cluster state."""
        self._version += 1
        self.state.apply([DistributedItem(key, [self._version], "c/1", self._version, value)], {})

    def place(self, primary: str) -> None:
        """Make a store the primary of partition 0."""
        entry = PartitionPlacement(0, self._version + 1, primary, [STORE_1, STORE_2])
        self.put("placement", Placement(self._version + 1, [entry]))

    def configure(self, services: list[Service], routes: list[Route]) -> None:
        """Set the configuration."""
        document = Configuration(self._version + 1, routes, services)
        self.put("configuration", orjson.dumps(document_of(document)))

    def list_workers(self, workers: list[PlatformWorker]) -> None:
        """Set the platform's worker list."""
        self.put("workers", PlatformWorkerList(workers))


def document_of(section: Any) -> dict[str, Any]:
    """Return a configuration section in the form of the operator's JSON document."""
    found: dict[str, Any] = {}
    for field in dataclasses.fields(section):
        value = getattr(section, field.name)
        if isinstance(value, list):
            value = [document_of(item) for item in value]
        found[key_of(field)] = document_of(value) if dataclasses.is_dataclass(value) else value
    return found


class LeasingStores:
    """A fake transport and store client of one process; its stores lease jobs from in-memory queues."""

    def __init__(self) -> None:
        self.address = "10.0.0.9:7780"
        self.queues: dict[tuple[str, str], deque[LeasedJob]] = {}
        self.requests: list[tuple[float, str, LeaseRequest]] = []
        self.outstanding: dict[tuple[str, str], int] = {}
        self.most_outstanding = 0
        self.finished: dict[str, FinishLease] = {}
        self.finish_times: dict[str, float] = {}
        self.finish_calls = 0
        self.refuse_finishes = 0  # number of `finish` calls that get "unavailable" first
        self.down: set[str] = set()
        self._changed = asyncio.Event()

    def add(self, store_id: str, jobs: list[LeasedJob]) -> None:
        """Queue jobs at a store."""
        for each in jobs:
            self.queues.setdefault((ADDRESSES[store_id], each.message.service), deque()).append(each)
        self._changed.set()
        self._changed = asyncio.Event()

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Handle a lease request, with a long poll if the queue is empty."""
        assert isinstance(message, LeaseRequest)
        self.requests.append((clock(), address, message))
        key = (address, message.service)
        self.outstanding[key] = self.outstanding.get(key, 0) + 1
        self.most_outstanding = max(self.most_outstanding, self.outstanding[key])
        try:
            await asyncio.sleep(LATENCY_S)
            if address in self.down:
                raise PeerError("LeaseRequest", address, "down")
            return await self._lease(key, message)
        finally:
            self.outstanding[key] -= 1

    async def _lease(self, key: tuple[str, str], request: LeaseRequest) -> LeaseResponse:
        loop = asyncio.get_running_loop()
        asked = loop.time()
        until = asked + request.wait_ms / 1000
        while not self.queues.get(key):
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                return LeaseResponse([])
        queue = self.queues[key]
        jobs = [queue.popleft() for _ in range(min(request.most, len(queue)))]
        return LeaseResponse(jobs, leased_after_ms=round((loop.time() - asked) * 1000))

    def send(self, address: str, message: Any) -> None:
        """Fail: the code under test sends no one-way messages."""
        raise AssertionError("unexpected one-way message")

    async def start(self, handler: Any) -> None:
        """Fail: the code under test must not start the transport."""
        raise AssertionError

    async def close(self) -> None:
        """Fail: the code under test must not close the transport."""
        raise AssertionError

    async def finish(self, request: FinishLease, deadline: float) -> LeaseUpdateResponse:
        """Record the end of a lease; fail if the end was already taken."""
        self.finish_calls += 1
        await asyncio.sleep(LATENCY_S)
        if self.refuse_finishes > 0:
            self.refuse_finishes -= 1
            return LeaseUpdateResponse("unavailable")
        assert request.lease not in self.finished, "a lease end was reported again after it was taken"
        self.finished[request.lease] = request
        self.finish_times[request.lease] = clock()
        return LeaseUpdateResponse("taken")

    def results(self) -> dict[str, int]:
        """Return the number of ended leases by result."""
        counts: dict[str, int] = {}
        for finish in self.finished.values():
            counts[finish.result] = counts.get(finish.result, 0) + 1
        return counts


class ModelWorkers:
    """A `WorkerClient` for fake workers, each with slots and a short queue."""

    def __init__(self, slots: dict[str, int], run_s: float = 0.2, queue_size: int = 2) -> None:
        self.slots = slots  # number of slots by address
        self.run_s = run_s
        self.queue_size = queue_size
        self.in_flight: dict[str, int] = {}
        self.max_in_flight: dict[str, int] = {}
        self.begun: list[tuple[float, str, str]] = []  # deliveries: time, address, message id
        self.endpoints: list[Endpoint] = []
        self.timeouts: list[float] = []
        self.answers: dict[str, DeliveryOutcome] = {}  # address -> outcome to return at once without a run
        self.retired: list[Endpoint] = []
        self._gates: dict[str, asyncio.Semaphore] = {}

    async def deliver(self, endpoint: Endpoint, job: LeasedJob, timeout_s: float) -> DeliveryOutcome:
        """Run a job on the worker's slots, or reject it if its queue is full."""
        loop, address = asyncio.get_running_loop(), endpoint.address
        self.endpoints.append(endpoint)
        self.timeouts.append(timeout_s)
        began = loop.time()
        self.begun.append((clock(), address, job.message.id))
        await asyncio.sleep(LATENCY_S)
        if address in self.answers:
            return self.answers[address]
        if self.in_flight.get(address, 0) >= self.slots[address] + self.queue_size:
            return DeliveryOutcome("not_run", WorkerFeedback.FULL, retry_ms=50)
        self.in_flight[address] = self.in_flight.get(address, 0) + 1
        self.max_in_flight[address] = max(self.max_in_flight.get(address, 0), self.in_flight[address])
        gate = self._gates.setdefault(address, asyncio.Semaphore(self.slots[address]))
        try:
            async with gate:
                await asyncio.sleep(self.run_s)
        finally:
            self.in_flight[address] -= 1
        return DeliveryOutcome(
            "success",
            WorkerFeedback.DONE,
            f"s-{job.message.id}",
            started=began,
            elapsed_s=loop.time() - began,
        )

    def retire(self, endpoint: Endpoint) -> None:
        """Record that a worker was retired."""
        self.retired.append(endpoint)

    async def close(self) -> None:
        return None


SETTINGS = BootSettings(node_name="e1", machine_class="edge", ip="10.0.0.1")


def dispatcher(
    cluster: Cluster, stores: LeasingStores, workers: ModelWorkers, name: str = "e1"
) -> Dispatcher:
    """Return a dispatcher for the edge process `name`."""
    me = cluster.state.members[name]
    return Dispatcher(me, stores, cluster.state, stores, SETTINGS, workers, random.Random(1))
