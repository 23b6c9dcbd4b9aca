"""The workers of a day and what happens to them: crashes, releases, addresses that are used again."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from hollowusher.simulation.actor_context import ActorContext
from hollowusher.simulation.addresses import WORKER_LIST_ADDRESS
from hollowusher.simulation.callback_receiver import SimulatedCallbackReceiver
from hollowusher.simulation.cluster import ADDRESS_REUSE_S, ZONES, SimulatedCluster
from hollowusher.simulation.deployment import (
    FIXED,
    FIXED_ADDRESS,
    FIXED_RATE,
    LIST_LAG_S,
    OTHER,
    PULL,
    PUSH,
    RECEIVERS,
    SECOND_FIXED,
    SECOND_FIXED_ADDRESS,
    VISIBILITY_S,
)
from hollowusher.simulation.observations import WorkerDrain, WorkerOutage
from hollowusher.simulation.pull_worker import PullWorkerOptions, SimulatedPullWorker
from hollowusher.simulation.push_worker import IdempotencyTable, PushWorkerOptions, SimulatedPushWorker
from hollowusher.simulation.worker_list_server import ListFailure, WorkerListing, WorkerListServer

FEWEST_LISTED = 3
OUTAGE_POLL_S = 0.01
DRAIN_S = 3.0  # `drainMs`
FIXED_CAPACITY = 40
PULL_SLOTS = 4
SLOTS = {PUSH: 3, OTHER: 2}


class WorkerFleet:
    """All workers, receivers, and the platform's list of them."""

    def __init__(
        self, cluster: SimulatedCluster, context: ActorContext, pull_address: Callable[[], str]
    ) -> None:
        self.cluster = cluster
        self.context = context
        self.push_workers: dict[str, SimulatedPushWorker] = {}
        self.pull_workers: list[SimulatedPullWorker] = []
        self._pull_address = pull_address
        self._list = WorkerListServer(cluster.http, WORKER_LIST_ADDRESS, LIST_LAG_S, 50.0)
        self._numbers = 0

    def start(self) -> None:
        """Have all workers and receivers there."""
        self._list.start()
        for number in range(4):
            self._start_push_worker(PUSH, f"10.128.0.{number + 1}:8080")
        self._start_push_worker(OTHER, "10.128.0.5:8080")
        for number in range(3):
            self._start_pull_worker(number)
        self._start_endpoint(FIXED, "fixed-1", FIXED_ADDRESS)
        for address in RECEIVERS:
            SimulatedCallbackReceiver(self.context, address).start()

    def start_second_endpoint(self) -> None:
        """Have the endpoint of the second fixed service there, which has no troubles of its own."""
        self._start_endpoint(SECOND_FIXED, "fixed-2", SECOND_FIXED_ADDRESS)

    def _start_endpoint(self, service: str, name: str, address: str) -> None:
        options = PushWorkerOptions(
            service, name, address, FIXED_CAPACITY, table=IdempotencyTable(), rate_per_s=FIXED_RATE
        )
        endpoint = SimulatedPushWorker(self.context, options)
        endpoint.start()
        self.push_workers[endpoint.name] = endpoint

    def _start_pull_worker(self, number: int) -> None:
        host = f"10.129.0.{number + 1}"
        options = PullWorkerOptions(PULL, f"pull-{number}", host, PULL_SLOTS, VISIBILITY_S)
        worker = SimulatedPullWorker(self.context, options, self._pull_address)
        worker.start()
        self.pull_workers.append(worker)

    def _start_push_worker(self, service: str, address: str) -> None:
        self._numbers += 1
        name = f"i-{self._numbers:04d}"
        worker = SimulatedPushWorker(self.context, PushWorkerOptions(service, name, address, SLOTS[service]))
        worker.start()
        self.push_workers[name] = worker
        zone = ZONES[self._numbers % len(ZONES)]
        self._list.put(WorkerListing(name, service, address, zone, SLOTS[service]))

    def _listed(self) -> list[SimulatedPushWorker]:
        return [
            worker
            for worker in self.push_workers.values()
            if worker.alive and worker.service in SLOTS and not worker.draining
        ]

    async def inject_worker_faults(self, until: float) -> None:
        """Crashes, releases, and losses of all at once."""
        random_source = self.cluster.random("worker troubles")
        while True:
            await asyncio.sleep(random_source.uniform(1.0, 6.0))
            if self.cluster.loop.time() >= until:
                return
            listed = self._listed()
            if len(listed) < FEWEST_LISTED:
                continue
            drawn = random_source.random()
            if drawn < 0.1:
                down_s = random_source.uniform(1.0, 12.0)
                await self._crash_listed(listed, random_source, down_s)
            elif drawn < 0.4:
                await self._crash(random_source.choice(listed), random_source)
            elif drawn < 0.6:
                await self._exchange_addresses(random_source)
            else:
                await self._release(random_source.choice(listed), random_source)

    async def _crash_listed(
        self, listed: list[SimulatedPushWorker], random_source: random.Random, down_s: float
    ) -> None:
        """All listed workers crash; note the time without any."""
        outage = WorkerOutage(frozenset(each.service for each in listed), self.cluster.loop.time())
        self.cluster.observations.worker_outages.append(outage)
        await asyncio.gather(*(self._crash(each, random_source, down_s) for each in listed))
        outage.ended_at = self.cluster.loop.time()

    async def crash_all(self, seconds: float) -> None:
        """All listed workers crash, and others come after so long."""
        random_source = self.cluster.random("workers down")
        await asyncio.gather(*(self._crash(worker, random_source, seconds) for worker in self._listed()))

    async def fail_list(self, failure: ListFailure, seconds: float) -> None:
        """Have the platform's list down for a while."""
        self._list.failure = failure
        await asyncio.sleep(seconds)
        self._list.failure = None

    async def inject_endpoint_faults(self, until: float) -> None:
        """Take the fixed endpoint down or slow it, again and again."""
        random_source = self.cluster.random("endpoint troubles")
        endpoint = self.push_workers["fixed-1"]
        while True:
            await asyncio.sleep(random_source.uniform(3.0, 15.0))
            if self.cluster.loop.time() >= until:
                return
            if random_source.random() < 0.4:
                endpoint.slow = random_source.uniform(2.0, 8.0)
            else:
                endpoint.crash()
            await asyncio.sleep(random_source.uniform(1.0, 8.0))
            endpoint.slow = 1.0
            if not endpoint.alive:
                endpoint.alive = True
                endpoint.start()

    async def stop_endpoint(self, after_s: float, for_s: float) -> None:
        """Stop the fixed endpoint for a while."""
        endpoint = self.push_workers["fixed-1"]
        await asyncio.sleep(after_s)
        endpoint.crash()
        await asyncio.sleep(for_s)
        endpoint.alive = True
        endpoint.start()

    async def _crash(
        self, worker: SimulatedPushWorker, random_source: random.Random, down_s: float = 0.0
    ) -> None:
        worker.crash()
        await asyncio.sleep(random_source.uniform(0.5, 3.0))
        self._list.remove(worker.name)
        await asyncio.sleep(down_s + random_source.uniform(0.0, 2.0))
        self._start_push_worker(worker.service, worker.address)

    async def _exchange_addresses(self, random_source: random.Random) -> None:
        """Crash a worker of each listed service and give its address to the other service.

        That happens as soon as it may, while the list may still name the old workers.
        """
        listed = self._listed()
        crashed = [
            random_source.choice(chosen)
            for service in (PUSH, OTHER)
            if (chosen := [worker for worker in listed if worker.service == service])
        ]
        for worker in crashed:
            worker.crash()
        await asyncio.sleep(ADDRESS_REUSE_S)
        for worker in crashed:
            self._start_push_worker(OTHER if worker.service == PUSH else PUSH, worker.address)
        await asyncio.sleep(random_source.uniform(0.0, 2.0))
        for worker in crashed:
            self._list.remove(worker.name)

    async def _release(self, worker: SimulatedPushWorker, random_source: random.Random) -> None:
        worker.draining = True
        self._list.drain(worker.name)
        await asyncio.sleep(LIST_LAG_S)
        while self._list.failure is not None:  # noqa: ASYNC110 - a platform that is back drains on
            await asyncio.sleep(OUTAGE_POLL_S)
        drain = WorkerDrain(worker.name, self.cluster.loop.time())
        self.cluster.observations.drains.append(drain)
        await asyncio.sleep(DRAIN_S + random_source.uniform(0.5, 3.0))
        worker.crash()
        self._list.remove(worker.name)
        await asyncio.sleep(ADDRESS_REUSE_S)
        self._start_push_worker(worker.service, worker.address)
