"""A cluster of stores with logs in memory and a simulated network in virtual time, for tests."""

from __future__ import annotations

import gc
import random
from collections.abc import Callable, Coroutine
from typing import Any, cast

import attrs
import orjson

from hollowusher.configuration.boot import BootSettings, Bounds, FaultTolerance
from hollowusher.coordination.cluster_state import CONFIGURATION, PLACEMENT, VIEW, ClusterState
from hollowusher.messages.store_dependencies import StoreDependencies
from hollowusher.messages.store_service import StoreService
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.leases import (
    FinishLease,
    JobsWaiting,
    LeasedJob,
    LeaseRequest,
    LeaseResponse,
    LeaseUpdateResponse,
)
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import (
    MessageStatusRequest,
    MessageStatusResponse,
    NewMessage,
    PutRequest,
    PutResponse,
)
from hollowusher.protocol.placement import LearnerLost, LearnerReady, PartitionPlacement, Placement
from hollowusher.protocol.view import View, Voter
from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.network import SimulatedNetwork
from hollowusher.simulation.transport import SimulatedTransport
from hollowusher.storage.memory import MemoryLog

EPOCH_MS = 1_700_000_000_000
SYNC_S = 0.005
EDGE_ADDRESS = "10.1.0.1:7780"
ROUTE = {"name": "r", "hostname": "a.example", "pathPrefix": "/x/", "upstream": "s"}


def message(message_id: str, **changes: Any) -> NewMessage:
    """Return a message with default test values and these changes."""
    plain = NewMessage(
        id=message_id,
        route="r",
        service="s",
        method="POST",
        path="/x/1",
        host="a.example",
        body=message_id.encode(),
        max_attempts=3,
        retention_ms=60_000,
        timeout_ms=1_000,
    )
    return attrs.evolve(cast(Any, plain), **changes)  # type: ignore[no-any-return]


def configuration(generation: int, routes: list[dict[str, Any]] | None = None, **rates: float) -> bytes:
    """Return a configuration document; `rates` are the rate limits of services."""
    routes = [ROUTE] if routes is None else routes
    names = {route["upstream"] for route in routes} | set(rates) | {"s"}
    services = [{"name": name, "ratePerS": rates.get(name, 0.0)} for name in sorted(names)]
    return orjson.dumps({"generation": generation, "routes": routes, "upstreams": services})


class Store:
    """One store machine, whose process can be started and killed repeatedly."""

    def __init__(self, cluster: StoreCluster, name: str, address: str) -> None:
        self.cluster = cluster
        self.name = name
        self.address = address
        self.store_id = f"{name}/d1"
        self.log = MemoryLog(segments=cluster.segments, sync_s=SYNC_S)
        self.incarnation = 0
        self.state = ClusterState()
        self.ignores_updates = False  # the store receives no updates from controllers
        self.process = SimulatedProcess(name, 0)
        self.service: StoreService

    def member(self) -> Member:
        return Member(self.name, "store", self.address, "z", "r", self.incarnation, "d1", True)

    async def start(self) -> None:
        """Start a process with the next incarnation."""
        self.incarnation += 1
        self.process = SimulatedProcess(self.name, self.incarnation)
        await self.process.run(self._start())

    async def _start(self) -> None:
        cluster = self.cluster
        cluster.network.power_on(host_of(self.address))
        transport = cluster.network.transport(self.process, self.address)
        self.state = ClusterState()
        cluster.load_state(self.state)
        settings = BootSettings(
            self.name,
            "storage",
            fault_tolerance=FaultTolerance(cluster.tolerated),
            bounds=Bounds(status_s=60),
        )
        dependencies = StoreDependencies(self.store_id, transport, self.log, self.state, cluster.wall_ms)
        self.service = StoreService(self.member(), dependencies, settings, cluster.random_source.random)
        await transport.start(self.service.handle)
        await self.service.start()

    def kill(self, power: bool = True) -> None:
        """End the process at once; records that were not synced may be lost.

        With `power` the machine loses power, too, and leaves the network.
        """
        self.process.kill()
        self.cluster.network.process_ended(self.process)
        if power:
            self.cluster.network.power_off(host_of(self.address))
        self.log = self.log.crash(self.cluster.random_source)

    def freeze(self) -> None:
        self.cluster.loop.freeze(self.process)

    def thaw(self) -> None:
        self.cluster.loop.thaw(self.process)

    def apply(self, item: DistributedItem) -> None:
        """Apply an update from a controller, within this store's process."""
        if self.process.alive and not self.ignores_updates:
            self.cluster.loop.call_soon(self.state.apply, [item], {}, context=self.process.context.copy())

    def cut(self, *others: Store) -> None:
        for other in others:
            self.cluster.network.block(host_of(self.address), host_of(other.address))


class StoreCluster:
    """Several stores, and an edge process that calls them."""

    def __init__(
        self, loop: VirtualTimeLoop, stores: int = 3, tolerated: int = 1, seed: int = 1, segments: int = 256
    ) -> None:
        self.loop = loop
        self.random_source = random.Random(seed)
        self.network = SimulatedNetwork(loop, random.Random(seed + 1))
        self.tolerated = tolerated
        self.segments = segments
        self.stores = [Store(self, f"store-{n}", f"10.0.0.{n}:7780") for n in range(1, stores + 1)]
        self.items: dict[str, DistributedItem] = {}
        self.job_notifications: list[JobsWaiting] = []
        self.learners_ready: list[LearnerReady] = []
        self.learners_lost: list[LearnerLost] = []
        self._version = 0
        self._edge = SimulatedProcess("edge-1")
        self.network.power_on(host_of(EDGE_ADDRESS))
        self.edge: SimulatedTransport = self.network.transport(self._edge, EDGE_ADDRESS)

    def wall_ms(self) -> int:
        return EPOCH_MS + int(self.loop.time() * 1000)

    async def start(self, partitions: int = 1, primary: int = 0) -> None:
        """Start the edge process and all stores; each store is a replica of all partitions."""
        await self.edge.start(self._handle_edge_message)
        for store in self.stores:
            self.publish(f"member/{store.name}", store.member())
        self.publish("member/edge-1", Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1))
        self.publish(CONFIGURATION, configuration(1))
        self.publish(VIEW, View(1, [Voter("edge-1", "d", EDGE_ADDRESS)], ["edge-1"]))
        self.place([self.entry(number, 1, primary) for number in range(partitions)])
        for store in self.stores:
            await store.start()

    def entry(
        self,
        partition: int,
        epoch: int,
        primary: int,
        replicas: list[int] | None = None,
        learners: list[int] | None = None,
    ) -> PartitionPlacement:
        """Return the placement of a partition; stores are given by their index."""
        ids = [store.store_id for store in self.stores]
        numbers = list(range(len(ids))) if replicas is None else replicas
        return PartitionPlacement(
            partition, epoch, ids[primary], [ids[n] for n in numbers], [ids[n] for n in learners or []]
        )

    def place(self, entries: list[PartitionPlacement]) -> None:
        """Publish a new placement of all partitions."""
        self.publish(PLACEMENT, Placement(self._version + 1, entries))

    def configure(self, document: bytes) -> None:
        self.publish(CONFIGURATION, document)

    def announce(self, member: Member) -> None:
        self.publish(f"member/{member.name}", member)

    def load_state(self, state: ClusterState) -> None:
        state.apply(list(self.items.values()), {})

    def publish(self, key: str, value: Any) -> None:
        """Publish an item of the cluster state."""
        self._version += 1
        item = self.items[key] = DistributedItem(key, [self._version], "head/1", self._version, value)
        for store in self.stores:
            store.apply(item)

    async def _handle_edge_message(self, incoming: Any) -> Any:
        if isinstance(incoming, JobsWaiting):
            self.job_notifications.append(incoming)
            return None
        if isinstance(incoming, LearnerReady):
            self.learners_ready.append(incoming)
        if isinstance(incoming, LearnerLost):
            self.learners_lost.append(incoming)
        return Acknowledgement()

    # Calls of the edge process

    async def call(self, store: int, request: Any, timeout: float = 10.0) -> Any:
        return await self.edge.call(self.stores[store].address, request, timeout)

    async def put(self, new: NewMessage, store: int = 0, partition: int = 0) -> PutResponse:
        answer = await self.call(store, PutRequest(partition, new))
        assert isinstance(answer, PutResponse)
        return answer

    async def stored(self, new: NewMessage, store: int = 0) -> str:
        """Put a message, check that it is stored, and return its reference."""
        answer = await self.put(new, store)
        assert answer.status == "stored", answer
        return answer.reference

    async def lease(
        self,
        store: int = 0,
        most: int = 1,
        wait_ms: int = 0,
        service: str = "s",
        pull: bool = False,
        visibility_ms: int = 0,
        incarnation: int = 1,
    ) -> list[LeasedJob]:
        request = LeaseRequest("edge-1", incarnation, service, most, wait_ms, pull, visibility_ms)
        answer = await self.call(store, request, timeout=wait_ms / 1000 + 10)
        assert isinstance(answer, LeaseResponse)
        return answer.jobs

    async def finish(
        self, lease: str, result: str, store: int = 0, signature: str = "", retry_ms: int = 0
    ) -> str:
        answer = await self.call(store, FinishLease(lease, result, signature, retry_ms))
        assert isinstance(answer, LeaseUpdateResponse)
        return answer.status

    async def status(self, reference: str, store: int = 0, body: bool = False) -> MessageStatusResponse:
        answer = await self.call(store, MessageStatusRequest(reference, body))
        assert isinstance(answer, MessageStatusResponse)
        return answer


def play(
    work: Callable[[StoreCluster], Coroutine[Any, Any, None]],
    stores: int = 3,
    tolerated: int = 1,
    seed: int = 1,
    segments: int = 256,
) -> StoreCluster:
    """Run a scenario on a new cluster; an uncaught error in any task or handler fails it."""
    loop = VirtualTimeLoop()
    cluster = StoreCluster(loop, stores, tolerated, seed, segments)
    try:
        loop.play(work(cluster))
        assert loop.failures == []
        assert cluster.network.handler_failures == []
    finally:
        loop.shut()
        gc.collect()  # closes unfinished tasks now instead of during the event loop of the next test
    return cluster
