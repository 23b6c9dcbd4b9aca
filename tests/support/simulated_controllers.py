"""Simulated controllers with all their components in virtual time.

Unlike `tests.support.controller_cluster`, this simulation can freeze a process and cut a link in one
direction.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import orjson

from hollowusher.configuration.boot import Bind, BootSettings
from hollowusher.coordination.chain.state_store import StateStore
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.controller.controller import (
    Controller,
    ControllerCallbacks,
    ControllerResources,
)
from hollowusher.coordination.controller.head_context import HeadContext
from hollowusher.coordination.controller.head_roles import HeadRoles
from hollowusher.coordination.distribution.cluster_client import ClientResources, ClusterClient
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member
from hollowusher.protocol.operator_orders import ChangeConfiguration, OperatorResponse, ReadConfiguration
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.network import SimulatedNetwork
from hollowusher.storage.memory import MemorySlot

SYNC_S = 0.005
WORKER_LIST_READ_S = 0.02  # duration of a read of the platform's worker list


@attrs.frozen
class LeadershipClaim:
    """A moment at which a controller considered itself the head."""

    name: str
    epoch: int
    at: float


class FakeWorkerListSource:
    """A fake of the platform's worker list, which returns a different worker in each read."""

    def __init__(self) -> None:
        self.reads_begun = 0
        self.read_duration_s = WORKER_LIST_READ_S

    async def read(self) -> PlatformWorkerList | None:
        self.reads_begun += 1
        number = self.reads_begun
        await asyncio.sleep(self.read_duration_s)
        return PlatformWorkerList(
            [PlatformWorker(f"i-{number}", "s", f"10.9.0.1:{1000 + number}", "z", 1, "ready", 0)]
        )


class SimulatedController:
    """One controller's process."""

    def __init__(self, controllers: SimulatedControllers, name: str, number: int) -> None:
        self.controllers = controllers
        self.name = name
        self.host = f"10.0.0.{number}"
        self.address = f"{self.host}:7780"
        self.process = SimulatedProcess(name, 1)
        self.me = Member(name, "edge", self.address, f"z{number}", "r", 1, f"disk-{name}", True, True)
        self.worker_list_source = FakeWorkerListSource()
        self.state = ClusterState()
        self.feed = UpdateFeed(f"{name}/1")
        self.published: list[DistributedItem] = []
        self.controller: Controller
        self.head_roles: HeadRoles
        self.client: ClusterClient

    async def run(self) -> None:
        """Run the process until it is cancelled."""
        controllers, loop = self.controllers, self.controllers.loop
        settings = BootSettings(
            node_name=self.name,
            machine_class="edge",
            ip=self.host,
            internal_ports=[7780, 7795],
            seed_nodes=controllers.seeds,
            bootstrap=True,
            bind=Bind(),
        )
        transport = controllers.network.transport(self.process, self.address)
        self.feed.add_listener(self._note)
        resources = ControllerResources(
            transport,
            MemorySlot(save_s=SYNC_S),
            StateStore(MemorySlot(save_s=SYNC_S), [MemorySlot(save_s=SYNC_S), MemorySlot(save_s=SYNC_S)]),
            random.Random(f"{controllers.seed} {self.name}"),
        )
        callbacks = ControllerCallbacks(
            lambda view: self.head_roles.publish_view(view),
            lambda state: self.head_roles.publish_state(state),
        )
        self.controller = Controller(self.me, settings, resources, callbacks)
        context = HeadContext(
            self.me, self.controller, self.feed, MemberDirectory(loop.time()), transport, loop.time
        )
        self.head_roles = HeadRoles(
            context,
            settings.fault_tolerance,
            self.worker_list_source,
            has_newest_view=self.controller.has_newest_view,
        )
        self.client = ClusterClient(
            self.me,
            settings,
            ClientResources(transport, self.state, self.feed, random.Random(f"client {self.name}")),
        )
        await transport.start(self._handle)
        await self.controller.start()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.client.run())
            tasks.create_task(self.head_roles.run())

    def _note(self, item: DistributedItem) -> None:
        if item.origin == self.feed.origin:
            self.published.append(item)

    async def _handle(self, message: Any) -> Any:
        if isinstance(message, HeadRoles.MESSAGES):
            return await self.head_roles.handle(message)
        if isinstance(message, Controller.MESSAGES):
            return await self.controller.handle(message)
        return await self.client.handle(message)

    # Requests of an operator, whose own link to each controller is never cut

    async def put(self, generation: int, if_match: int) -> int:
        """Send a complete configuration to this controller; return the status of the response."""
        answer = await self._ask(ChangeConfiguration("PUT", if_match, orjson.dumps(document(generation))))
        return answer.status

    async def read(self) -> tuple[int, int]:
        """Read the configuration from this controller; return the status and the generation."""
        answer = await self._ask(ReadConfiguration())
        return answer.status, orjson.loads(answer.body)["generation"] if answer.status == 200 else 0

    async def _ask(self, message: Any) -> OperatorResponse:
        answer = await self.process.run(self.controller.handle(message))
        assert isinstance(answer, OperatorResponse)
        return answer


class SimulatedControllers:
    """All controllers of a cluster, and a record of when each of them considered itself the head."""

    def __init__(self, loop: VirtualTimeLoop, names: str, seed: int = 1) -> None:
        self.loop = loop
        self.seed = seed
        self.network = SimulatedNetwork(loop, random.Random(seed))
        self.nodes = {
            name: SimulatedController(self, name, number) for number, name in enumerate(names, start=1)
        }
        self.seeds = [f"{node.host}:8064" for node in self.nodes.values()][:3]
        self.leadership_claims: list[LeadershipClaim] = []
        self.acknowledged = 0
        self.generation = 1
        self._tasks: list[asyncio.Task[None]] = []

    def __getitem__(self, name: str) -> SimulatedController:
        return self.nodes[name]

    async def start(self) -> None:
        """Start all controllers and wait for the first head."""
        for node in self.nodes.values():
            self.network.power_on(node.host)
            self._tasks.append(node.process.run(node.run()))
        await self.until(lambda: self.head() is not None, 6.0)
        self._tasks.append(asyncio.get_running_loop().create_task(self._watch()))

    def head(self) -> SimulatedController | None:
        """Return the controller that considers itself the head, or None unless there is exactly one."""
        heads = [node for node in self.nodes.values() if hasattr(node, "client") and node.controller.is_head]
        return heads[0] if len(heads) == 1 else None

    def require_head(self) -> SimulatedController:
        """Return the head; fail if there is none."""
        head = self.head()
        assert head is not None
        return head

    async def until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait until a condition holds; fail after `seconds`."""
        deadline = self.loop.time() + seconds
        while not condition():
            assert self.loop.time() < deadline, f"the condition did not hold within {seconds} s"
            await asyncio.sleep(0.01)

    async def _watch(self) -> None:
        while True:
            for node in self.nodes.values():
                if not node.process.frozen and node.process.context.run(self._is_head, node):
                    self.leadership_claims.append(
                        LeadershipClaim(node.name, node.controller._chain_member.epoch, self.loop.time())
                    )
            await asyncio.sleep(0.005)

    @staticmethod
    def _is_head(node: SimulatedController) -> bool:
        return node.controller.is_head

    def cut(self, victim: str, shape: str) -> None:
        """Cut links of the controller `victim`.

        `shape` selects the links: `all` for both directions to all other controllers, `in` for the incoming
        direction, `out` for the outgoing direction, or `one` for both directions to one other controller.
        """
        others = [node for node in self.nodes.values() if node.name != victim]
        for other in others[:1] if shape == "one" else others:
            if shape in ("all", "one", "in"):
                self.network.block(other.host, self[victim].host, both=False)
            if shape in ("all", "one", "out"):
                self.network.block(self[victim].host, other.host, both=False)

    def overlap_s(self) -> float:
        """Return the longest time in seconds for which a head overlapped with the head of a later epoch."""
        began: dict[int, float] = {}
        for claim in self.leadership_claims:
            began.setdefault(claim.epoch, claim.at)
        longest = 0.0
        for claim in self.leadership_claims:
            later = [at for epoch, at in began.items() if epoch > claim.epoch and at <= claim.at]
            if later:
                longest = max(longest, claim.at - min(later))
        return longest

    # Operators

    async def change_continuously(self) -> None:
        """Send one change after the other; retry each at the next controller until it is acknowledged."""
        names = list(self.nodes)
        turn = 0
        while True:
            self.generation += 1
            wanted, based_on = self.generation, self.acknowledged
            while True:
                turn += 1
                status = await self._within_a_second(self[names[turn % len(names)]].put(wanted, based_on))
                if status == 200:
                    self.acknowledged = wanted
                    break
                assert status in (None, 503), f"order {wanted} on top of {based_on}: {status}"
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.05)

    async def read_continuously(self, name: str) -> None:
        """Read from one controller repeatedly; no read may miss a change acknowledged before it started."""
        while True:
            known = self.acknowledged
            found = await self._within_a_second(self[name].read())
            if found is not None and found[0] != 503:
                status, generation = found
                assert (status, generation >= known) in ((200, True), (404, known == 0)), (
                    f"{name} returned {found} after {known} had been acknowledged"
                )
            await asyncio.sleep(0.03)

    @staticmethod
    async def _within_a_second(question: Coroutine[Any, Any, Any]) -> Any:
        try:
            return await asyncio.wait_for(question, 1.0)
        except TimeoutError:
            return None


def document(generation: int) -> dict[str, Any]:
    """Return a small valid configuration."""
    route = {
        "name": "r",
        "hostname": "h.example",
        "pathPrefix": "/a/",
        "type": "async",
        "timeoutMs": 100 + generation,
        "upstream": "s",
    }
    return {"generation": generation, "routes": [route], "upstreams": [{"name": "s"}], "limits": {}}


def run_simulated_controllers(
    work: Callable[[SimulatedControllers], Coroutine[Any, Any, None]], names: str = "abc", seed: int = 1
) -> SimulatedControllers:
    """Run a scenario in virtual time; fail if a task or a message handler has raised an exception."""
    loop = VirtualTimeLoop()
    controllers = SimulatedControllers(loop, names, seed)
    try:
        loop.play(work(controllers))
        assert loop.failures == []
        assert controllers.network.handler_failures == []
    finally:
        loop.shut()
    return controllers
