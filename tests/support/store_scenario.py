"""A simulated cluster in virtual time, for tests that replace, add, retire and lose stores.

Messages are sent directly to the primaries.
"""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.messages import (
    MessageStatusRequest,
    MessageStatusResponse,
    NewMessage,
    PutRequest,
    PutResponse,
)
from hollowusher.protocol.operator_orders import OperatorResponse, RetireStore
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.simulation.cluster import DeploymentSize, SimulatedCluster
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.machine import SimulatedMachine
from hollowusher.simulation.machine_disk import MachineDisk
from hollowusher.simulation.programs import build_program
from hollowusher.transport.interface import PeerError

CLIENT_IP = "10.9.0.1"
START_S = 1.0  # from the start of a process until it registers
CATCH_UP_S = 4.2  # `catchUpS`: this long after a store starts, the next loss must be tolerated
RETENTION_MS = 600_000
INCARNATION_GAP = 1_000


SEGMENT_BYTES = 2 * 1024 * 1024  # so that a disk has room for 96 MB of records


class StoreScenario:
    """A simulated cluster with a client of the stores and the operator's orders about stores."""

    def __init__(self, loop: VirtualTimeLoop, stores: int, seed: int, link_mbps: float) -> None:
        self.loop = loop
        size = DeploymentSize(plain_edges=2, stores=stores, link_mbps=link_mbps, segment_bytes=SEGMENT_BYTES)
        self.cluster = SimulatedCluster(loop, seed, size, build_program)
        self.accepted: dict[str, str] = {}  # message id -> reference of the accepted message
        self._numbers = 0
        self._client = SimulatedProcess("client")
        self.cluster.network.power_on(CLIENT_IP)
        self.transport = self.cluster.network.transport(self._client, f"{CLIENT_IP}:7780")

    # -- cluster state

    @property
    def state(self) -> ClusterState:
        """The cluster state in an edge process on a machine without faults."""
        return self.cluster.machines["edge-4"].program._environment.role_process.state  # type: ignore[union-attr, no-any-return]

    @property
    def placement(self) -> Placement:
        """The current placement."""
        found = self.state.placement
        assert found is not None
        return found

    def replicas_of(self, machine: str) -> int:
        """Return how many partitions have a replica on a machine."""
        return self._count(machine, lambda entry: entry.replicas)

    def learners_of(self, machine: str) -> int:
        """Return how many partitions have a learner on a machine."""
        return self._count(machine, lambda entry: entry.learners)

    def _count(self, machine: str, listed: Callable[[PartitionPlacement], list[str]]) -> int:
        return sum(machine in map(store_name, listed(entry)) for entry in self.placement.partitions)

    # -- machines

    async def start(self) -> None:
        """Start all machines and wait for the initial placement."""
        for machine in self.cluster.machines.values():
            self.cluster.start(machine)
        await asyncio.sleep(1.0)
        await self.wait_until(lambda: self.state.placement is not None, 15.0)
        await asyncio.sleep(1.0)

    def add_store(self, name: str, ip: str, zone: str) -> SimulatedMachine:
        """Add a store machine with an empty disk; it is not started."""
        machine = SimulatedMachine(name, "store", ip, zone, self._disk(name, ip), started_once=True)
        # The unique incarnation gives the machine another disk id.
        machine.incarnation = len(self.cluster.machines) * INCARNATION_GAP
        self.cluster.machines[name] = machine
        return machine

    def _disk(self, name: str, ip: str) -> MachineDisk:
        random_source = self.cluster.random(f"disk {name} {ip}")
        return MachineDisk(random_source, self.cluster.size.sync_s, SEGMENT_BYTES)

    async def start_after_delay(self, machine: SimulatedMachine) -> None:
        """Start a machine after `START_S` seconds, the time that a process takes until it registers."""
        await asyncio.sleep(START_S)
        self.cluster.start(machine)

    def lose_permanently(self, name: str) -> SimulatedMachine:
        """Remove a machine and its disk permanently."""
        machine = self.cluster.machines.pop(name)
        self.cluster.lose_disk(machine)
        return machine

    async def lose_disk_and_return(self, name: str, after_s: float = 1.0) -> None:
        """Lose the disk of a machine and restart the machine with an empty disk `after_s + START_S` later."""
        machine = self.cluster.machines[name]
        self.cluster.lose_disk(machine)
        await asyncio.sleep(after_s)
        await self.start_after_delay(machine)

    async def wait_until(self, condition: Callable[[], bool], within_s: float) -> float:
        """Wait until a condition holds and return the elapsed seconds; fail after `within_s` seconds."""
        started = self.loop.time()
        while not condition():
            assert self.loop.time() - started < within_s, "the condition did not hold in time"
            await asyncio.sleep(0.02)
        return self.loop.time() - started

    # -- messages

    async def put_many(self, count: int, size: int = 100) -> None:
        """Put `count` messages of `size` bytes, spread over all partitions."""
        await asyncio.gather(*(self.put(size) for _ in range(count)))

    async def put(self, size: int = 100, partition: int | None = None) -> bool:
        """Put one message of `size` bytes, with retries for 6 seconds; return whether it was accepted.

        Without a `partition` the messages are put into all partitions by turns.
        """
        self._numbers += 1
        message_id = f"m{self._numbers}"
        if partition is None:
            partition = self._numbers % len(self.placement.partitions)
        message = NewMessage(
            id=message_id,
            route="r",
            service="s",
            method="POST",
            path="/x/1",
            host="a.example",
            body=b"x" * size,
            max_attempts=3,
            retention_ms=RETENTION_MS,
            timeout_ms=1_000,
        )
        deadline = self.loop.time() + 6.0
        while self.loop.time() < deadline:
            answer = await self._call(partition, PutRequest(partition, message))
            if isinstance(answer, PutResponse) and answer.status == "stored":
                self.accepted[message_id] = answer.reference
                return True
            await asyncio.sleep(0.1)
        return False

    async def lost_messages(self) -> list[str]:
        """Return the ids of the accepted messages that no store finds."""
        found = await asyncio.gather(*(self._is_stored(reference) for reference in self.accepted.values()))
        return [name for name, stands in zip(self.accepted, found, strict=True) if not stands]

    async def _is_stored(self, reference: str) -> bool:
        from hollowusher.messages.records import parse_reference

        parsed = parse_reference(reference)
        assert parsed is not None
        partition = parsed[0]
        for _ in range(40):
            answer = await self._call(partition, MessageStatusRequest(reference, False))
            if isinstance(answer, MessageStatusResponse) and answer.state not in (
                "unavailable",
                "not_primary",
            ):
                return answer.state == "queued"
            await asyncio.sleep(0.2)
        return False

    async def _call(self, partition: int, message: Any) -> Any:
        address = self.state.primary_address(partition)
        if address is None:
            return None
        try:
            return await self.transport.call(address, message, 2.0)
        except PeerError:
            return None

    # -- orders

    async def call_head(self, message: Any) -> OperatorResponse:
        """Send an operator's order to the head, with retries, and return the response."""
        for _ in range(20):
            view = self.state.view
            assert view is not None
            address = next(voter.address for voter in view.voters if voter.name == view.head)
            try:
                answer = await self.transport.call(address, message, 3.0)
            except PeerError:
                answer = None
            if isinstance(answer, OperatorResponse) and answer.status != 503:
                return answer
            await asyncio.sleep(0.1)
        raise AssertionError("the head did not answer within 20 attempts")

    async def retire(self, name: str, duration_s: float | None) -> OperatorResponse:
        """Order the retirement of a store, or request its progress if `duration_s` is None."""
        return await self.call_head(RetireStore(name, duration_s))

    def running_store_ids(self) -> set[str]:
        """Return the store ids of the members that are alive and whose machine is running."""
        return {
            member.store_id
            for member in self.state.members.values()
            if member.alive
            and member.name in self.cluster.machines
            and self.cluster.machines[member.name].running
        }

    def running_replica_counts(self) -> Counter[int]:
        """Return the number of partitions by the number of their replicas on running machines."""
        living = self.running_store_ids()
        return Counter(
            sum(replica in living for replica in entry.replicas) for entry in self.placement.partitions
        )


def run_scenario(
    work: Callable[[StoreScenario], Coroutine[Any, Any, None]],
    stores: int = 3,
    seed: int = 1,
    link_mbps: float = 0.0,
) -> None:
    """Run a scenario with a given number of stores; uncaught errors in any process fail it.

    `link_mbps` is the rate of each machine's link; with 0 the links carry anything at once.
    """
    loop = VirtualTimeLoop()
    try:

        async def main() -> None:
            system = StoreScenario(loop, stores, seed, link_mbps)
            await system.transport.start(_ignore)
            await system.start()
            await work(system)
            system.cluster.collect_failures()
            assert system.cluster.program_failures == []
            assert system.cluster.network.handler_failures == [] and loop.failures == []

        loop.play(main())
    finally:
        loop.shut()
        gc.collect()


async def _ignore(message: Any) -> None:
    return None
