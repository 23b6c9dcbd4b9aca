"""Tests of a cluster of clients, feeds and head roles in virtual time, over a simulated network.

A fake replaces the control chain: all controllers share one committed state, and the tests choose the head.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from hollowusher.configuration.boot import BootSettings, FaultTolerance
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.controller.errors import WorkerListReadError
from hollowusher.coordination.controller.head_context import HeadContext
from hollowusher.coordination.controller.head_roles import HeadRoles
from hollowusher.coordination.distribution.cluster_client import ClientResources, ClusterClient
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.coordination.membership.monitor_assignment import choose_monitors
from hollowusher.coordination.placement.control_chain import StateUpdate
from hollowusher.coordination.placement.initial_placement import PARTITION_COUNT
from hollowusher.coordination.placement.placed_stores import is_store_placed
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState, ControlStateResponse, ReadControlState
from hollowusher.protocol.distribution import DistributedItem, PullUpdates, UpdatesResponse
from hollowusher.protocol.membership import CheckIncarnation, Heartbeat, Member, MemberDeparting
from hollowusher.protocol.operator_orders import OperatorResponse, RetireStore
from hollowusher.protocol.placement import LearnerReady, Placement
from hollowusher.protocol.view import ReadView, View, ViewResponse, Voter
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.network import SimulatedNetwork

DOCUMENT = b'{"generation":%d,"routes":[],"upstreams":[]}'


class Chain:
    """A fake of the control chain that consists of one shared view and state."""

    def __init__(self) -> None:
        self.view: View | None = None
        self.state = ControlState(0, 0, b"", [])
        self.head = ""
        self.confirms = True  # whether the chain answers reads
        self.nodes: list[Node] = []
        self.lists: list[PlatformWorkerList | None] = []
        self.read_times: list[float] = []

    def decide(self, view: View) -> None:
        self.view, self.head = view, view.head
        for node in self.nodes:
            if node.head_roles is not None and node.process.alive:
                node.head_roles.publish_view(view)

    def commit(self, state: ControlState) -> None:
        self.state = evolve(state, sequence=self.state.sequence + 1)
        for node in self.nodes:
            if node.head_roles is not None and node.process.alive:
                node.head_roles.publish_state(self.state)


class ChainAccess:
    """One controller's access to the chain."""

    def __init__(self, chain: Chain, name: str) -> None:
        self.chain, self.name = chain, name

    @property
    def is_head(self) -> bool:
        return self.chain.head == self.name

    @property
    def view(self) -> View | None:
        return self.chain.view

    @property
    def state(self) -> ControlState | None:
        return self.chain.state

    async def change(self, update: StateUpdate) -> bool:
        await asyncio.sleep(0.02)
        wanted = update(self.chain.state)
        if wanted is not None:
            self.chain.commit(wanted)
        return True

    async def read(self) -> PlatformWorkerList | None:
        """Return the platform's list, as a fake of the worker list reader."""
        self.chain.read_times.append(asyncio.get_running_loop().time())
        if not self.chain.lists:
            raise WorkerListReadError("read the list", "platform", "nothing to read")
        return self.chain.lists[0] if len(self.chain.lists) == 1 else self.chain.lists.pop(0)


class Node:
    """One process: its client and, if it is a controller, its feed and head roles."""

    def __init__(
        self,
        cluster: Cluster,
        name: str,
        role: str,
        host: str,
        zone: str,
        incarnation: int,
        controller: bool,
        disk_id: str,
    ) -> None:
        self.cluster, self.name = cluster, name
        self.host = host
        self.address = f"{host}:7780"
        self.process = SimulatedProcess(name, incarnation)
        self.me = Member(
            name,
            role,
            self.address,
            zone,
            "r",
            incarnation,
            disk_id,
            counts=bool(disk_id),
            controller=controller,
        )
        self.state = ClusterState()
        self.feed: UpdateFeed | None = None
        self.head_roles: HeadRoles | None = None
        self.transport = cluster.network.transport(self.process, self.address)
        self.client: ClusterClient
        self.controller = controller

    def build(self) -> None:
        settings = BootSettings(
            node_name=self.name,
            machine_class="edge",
            ip=self.host,
            internal_ports=[7780, 7795],
            seed_nodes=[f"{host}:8064" for host in self.cluster.seeds],
            fault_tolerance=FaultTolerance(machines=1),
        )
        clock = self.cluster.loop.time
        if self.controller:
            self.feed = UpdateFeed(f"{self.name}/{self.me.incarnation}")
            access = ChainAccess(self.cluster.chain, self.name)
            context = HeadContext(self.me, access, self.feed, MemberDirectory(clock()), self.transport, clock)
            self.head_roles = HeadRoles(context, settings.fault_tolerance, access)
        self.client = ClusterClient(
            self.me,
            settings,
            ClientResources(self.transport, self.state, self.feed, random.Random(self.name)),
        )
        if self.head_roles is not None and self.cluster.chain.view is not None:
            self.head_roles.publish_view(self.cluster.chain.view)
            self.head_roles.publish_state(self.cluster.chain.state)

    async def run(self) -> None:
        self.build()
        await self.transport.start(self.handle)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.client.run())
            if self.head_roles is not None:
                tasks.create_task(self.head_roles.run())

    async def handle(self, message: Any) -> Any:
        if isinstance(message, ReadControlState):
            return ControlStateResponse(self.cluster.chain.state if self.cluster.chain.confirms else None)
        if isinstance(message, ReadView) and self.controller:
            return ViewResponse(self.cluster.chain.view)
        if self.head_roles is not None and isinstance(message, HeadRoles.MESSAGES):
            return await self.head_roles.handle(message)
        if isinstance(message, ClusterClient.MESSAGES):
            return await self.client.handle(message)
        raise TypeError(f"{type(message).__name__} has no handler")

    def sees(self, name: str) -> tuple[int, int] | None:
        found = self.state.members.get(name)
        return None if found is None else (found.incarnation, found.status)


class Cluster:
    """Three zones, each with a controller, an edge process without a disk, and stores."""

    def __init__(self, loop: VirtualTimeLoop, stores: int = 3) -> None:
        self.loop = loop
        self.network = SimulatedNetwork(loop, random.Random(5))
        self.chain = Chain()
        self.tasks: list[asyncio.Task[None]] = []
        self.nodes: dict[str, Node] = {}
        self.seeds = tuple(f"10.{zone}.0.1" for zone in range(3))
        for zone in range(3):
            self.add(f"core{zone}", "edge", f"10.{zone}.0.1", f"z{zone}", 1, True, f"core-disk{zone}")
            self.add(f"edge{zone}", "edge", f"10.{zone}.0.2", f"z{zone}", 1, False, "")
        for number in range(stores):
            zone = number % 3
            self.add(
                f"store{number}", "store", f"10.{zone}.0.{10 + number}", f"z{zone}", 1, False, f"disk{number}"
            )

    def add(
        self, name: str, role: str, host: str, zone: str, incarnation: int, controller: bool, disk_id: str
    ) -> Node:
        node = Node(self, name, role, host, zone, incarnation, controller, disk_id)
        self.nodes[name] = node
        self.chain.nodes.append(node)
        self.network.power_on(host)
        self.tasks.append(node.process.run(node.run()))
        return node

    def view(self, epoch: int, chain: tuple[str, ...] = ("core0", "core1", "core2")) -> View:
        voters = [Voter(f"core{zone}", f"core-disk{zone}", f"10.{zone}.0.1:7780") for zone in range(3)]
        return View(epoch, voters, list(chain))

    def kill(self, name: str) -> None:
        self.nodes[name].process.kill()
        self.network.process_ended(self.nodes[name].process)

    def power_off(self, name: str) -> None:
        self.network.power_off(self.nodes[name].host)
        self.kill(name)

    def restart(self, name: str, disk_id: str | None = None, incarnation: int | None = None) -> Node:
        old = self.nodes[name].me
        if self.nodes[name].process.alive:
            self.kill(name)
        return self.add(
            name,
            old.role,
            self.nodes[name].host,
            old.zone,
            old.incarnation + 1 if incarnation is None else incarnation,
            old.controller,
            old.disk_id if disk_id is None else disk_id,
        )

    def living(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.process.alive]

    def all_see(self, name: str, version: tuple[int, int]) -> bool:
        return all(node.sees(name) == version for node in self.living())

    def all_have(self, what: Callable[[ClusterState], bool]) -> bool:
        return all(what(node.state) for node in self.living())

    async def until(self, condition: Callable[[], bool], within: float) -> float:
        """Wait until a condition holds; return the seconds waited, and fail after `within` seconds."""
        started = self.loop.time()
        while not condition():
            assert self.loop.time() - started < within, "the condition did not hold in time"
            await asyncio.sleep(0.01)
        return self.loop.time() - started

    async def bootstrap(self) -> None:
        """Decide the first view, and wait until every process has all members and the placement."""
        await asyncio.sleep(0.5)
        self.chain.decide(self.view(1))
        names = list(self.nodes)
        await self.until(lambda: all(self.all_see(name, (1, 0)) for name in names), 3.0)
        await self.until(lambda: self.all_have(lambda state: state.placement is not None), 10.0)


def play(work: Callable[[Cluster], Coroutine[Any, Any, None]], **options: Any) -> None:
    """Run a test in virtual time; fail if any task or message handler has raised an exception."""
    loop = VirtualTimeLoop()
    try:

        async def main() -> None:
            cluster = Cluster(loop, **options)
            await work(cluster)
            for task in cluster.tasks:
                if task.done() and not task.cancelled():
                    task.result()
            assert cluster.network.handler_failures == []
            assert loop.failures == []

        loop.play(main())
    finally:
        loop.shut()


# ---- start


def test_every_process_receives_all_members_and_the_first_placement() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        placement = cluster.chain.state.placement
        assert placement is not None
        assert len(placement.partitions) == PARTITION_COUNT
        assert {len(entry.replicas) for entry in placement.partitions} == {3}
        assert cluster.all_have(lambda state: state.placement == placement and state.view == cluster.view(1))
        now = cluster.loop.time()
        assert all(node.client.seconds_since_contact(now) < 2.0 for node in cluster.living())

    play(work)


def test_there_is_no_contact_before_the_first_response() -> None:
    async def work(cluster: Cluster) -> None:
        await asyncio.sleep(0.3)
        now = cluster.loop.time()
        assert all(node.client.seconds_since_contact(now) == math.inf for node in cluster.living())
        assert all(node.client.seconds_since_majority(now) == math.inf for node in cluster.living())

    play(work)


def test_seeds_without_a_disk_help_to_find_the_view() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.seeds = ("10.0.0.2",)
        late = cluster.add("late", "edge", "10.1.0.9", "z1", 1, False, "")
        await cluster.until(lambda: cluster.all_see("late", (1, 0)), 2.0)
        assert late.state.view == cluster.view(1)

    play(work)


def test_confirmed_start_waits_for_the_committed_state_and_applies_it() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.chain.confirms = False
        cluster.chain.commit(evolve(cluster.chain.state, generation=7, document=DOCUMENT % 7))
        for zone in range(3):
            cluster.network.block("10.1.0.2", f"10.{zone}.0.1")
        node = cluster.restart("edge1")
        await asyncio.sleep(0.1)
        task = node.process.run(node.client.wait_for_committed_state())
        await asyncio.sleep(2.0)
        assert not task.done()
        assert node.state.configuration is None
        cluster.network.heal_all()
        await asyncio.sleep(1.0)
        assert not task.done()  # the chain does not answer reads yet
        cluster.chain.confirms = True
        await asyncio.wait_for(task, 2.0)
        assert node.state.configuration is not None
        assert node.state.configuration.generation == 7
        assert node.state.placement == cluster.chain.state.placement

    play(work)


def test_confirmed_start_of_a_controller_publishes_the_state() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.chain.state = evolve(cluster.chain.state, generation=9, document=DOCUMENT % 9)
        core = cluster.nodes["core1"]
        await asyncio.wait_for(core.process.run(core.client.wait_for_committed_state()), 2.0)
        await cluster.until(
            lambda: cluster.all_have(
                lambda state: state.configuration is not None and state.configuration.generation == 9
            ),
            1.0,
        )

    play(work)


def test_a_restart_with_a_clock_set_back_takes_a_higher_incarnation() -> None:
    async def work(cluster: Cluster) -> None:
        cluster.nodes["edge0"].me = evolve(cluster.nodes["edge0"].me, incarnation=50)
        await asyncio.sleep(0.5)
        cluster.chain.decide(cluster.view(1))
        await cluster.until(lambda: cluster.all_see("edge0", (50, 0)), 3.0)
        node = cluster.restart("edge0", incarnation=20)
        await cluster.until(lambda: cluster.all_see("edge0", (51, 0)), 3.0)
        assert node.client.me.incarnation == 51

    play(work)


# ---- distribution


def test_a_configuration_reaches_every_process_within_100_ms() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.chain.commit(evolve(cluster.chain.state, generation=3, document=DOCUMENT % 3))
        took = await cluster.until(
            lambda: cluster.all_have(
                lambda state: state.configuration is not None and state.configuration.generation == 3
            ),
            1.0,
        )
        assert took < 0.1

    play(work)


def test_readers_choose_a_controller_in_their_zone() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        await asyncio.sleep(2.0)
        pulls: set[tuple[str, str]] = set()

        def watch(source: str, target: str, message: Any) -> None:
            if type(message).__name__ == "PullUpdates" and not source.endswith(".0.1:7780"):
                pulls.add((source, target))

        cluster.network.observer = watch
        await asyncio.sleep(3.0)
        assert pulls
        assert all(source.split(".")[1] == target.split(".")[1] for source, target in pulls)

    play(work)


def test_readers_of_a_failed_controller_switch_to_another() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        await asyncio.sleep(1.5)
        cluster.power_off("core1")
        await asyncio.sleep(2.5)
        cluster.chain.commit(evolve(cluster.chain.state, generation=4, document=DOCUMENT % 4))
        took = await cluster.until(
            lambda: cluster.all_have(
                lambda state: state.configuration is not None and state.configuration.generation == 4
            ),
            1.0,
        )
        assert took < 0.2

    play(work)


def test_readers_leave_a_controller_that_has_lost_the_others() -> None:
    """The controller of zone 1 loses the other two controllers, but not the processes of its zone."""

    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        await asyncio.sleep(1.5)
        for other in (0, 2):
            cluster.network.block("10.1.0.1", f"10.{other}.0.1")
        await asyncio.sleep(4.0)
        cluster.chain.state = evolve(cluster.chain.state, generation=5, document=DOCUMENT % 5)
        for name in ("core0", "core2"):
            head_roles = cluster.nodes[name].head_roles
            assert head_roles is not None
            head_roles.publish_state(cluster.chain.state)
        await cluster.until(
            lambda: all(
                node.state.configuration is not None and node.state.configuration.generation == 5
                for node in cluster.living()
                if node.name != "core1"
            ),
            0.3,
        )
        now = cluster.loop.time()
        assert cluster.nodes["core1"].client.seconds_since_contact(now) > 3.0
        assert cluster.nodes["core1"].client.seconds_since_majority(now) > 3.0
        assert cluster.nodes["edge1"].client.seconds_since_contact(now) < 2.0
        assert cluster.nodes["edge1"].client.seconds_since_majority(now) < 2.0
        cluster.network.heal_all()
        await cluster.until(lambda: cluster.nodes["core1"].state.configuration is not None, 3.0)

    play(work)


def test_processes_reconnect_after_all_controllers_restarted() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        for zone in range(3):
            cluster.kill(f"core{zone}")
        await asyncio.sleep(3.0)
        for zone in range(3):
            cluster.restart(f"core{zone}")
        await asyncio.sleep(0.1)
        cluster.chain.decide(cluster.view(2))
        names = [node.name for node in cluster.living()]
        await cluster.until(
            lambda: all(
                cluster.nodes[f"core{zone}"].sees(name) is not None for zone in range(3) for name in names
            ),
            3.0,
        )
        assert cluster.nodes["core0"].sees("store1") == (1, 0)

    play(work)


def test_a_controller_without_a_vote_is_registered_and_does_not_pull_in_a_tight_loop() -> None:
    """A controller that is not a voter holds items of the same versions as the voters' items.

    The voters do not pull from it.  The origin of the voters' items has no other items, so this controller
    prunes it from its version vector.  Its pulls must still wait instead of returning the same items at once.
    """

    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.chain.state = evolve(cluster.chain.state, generation=2, document=DOCUMENT % 2)
        for zone in range(3):
            feed = cluster.nodes[f"core{zone}"].feed
            assert feed is not None
            feed.merge(
                UpdatesResponse(
                    [DistributedItem("configuration", [2], "a-old/1", 5, DOCUMENT % 2)], {"a-old/1": 5}
                )
            )
        for name in ("a-core", "z-core"):
            node = cluster.add(name, "edge", f"10.0.1.{1 + len(cluster.nodes)}", "z0", 1, True, "new-disk")
            await cluster.until(lambda name=name: cluster.all_see(name, (1, 0)), 2.0)  # type: ignore[misc]
            await node.process.run(node.client.wait_for_committed_state())
        pulls: list[str] = []

        def watch(source: str, target: str, message: Any) -> None:
            if isinstance(message, PullUpdates):
                pulls.append(message.reader)

        await asyncio.sleep(2.0)
        cluster.network.observer = watch
        await asyncio.sleep(5.0)
        assert all(12 <= pulls.count(name) <= 18 for name in ("a-core", "z-core"))

    play(work)


def test_read_repair_restores_a_death_that_only_readers_hold() -> None:
    """The controller that published the death is lost before the other controllers have pulled it."""

    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        await asyncio.sleep(1.5)
        for other in (1, 2):
            cluster.network.block("10.0.0.1", f"10.{other}.0.1")
        head_roles = cluster.nodes["core0"].head_roles
        assert head_roles is not None
        cluster.loop.freeze(cluster.nodes["store2"].process)
        await head_roles.handle(MemberDeparting("store2", 1))
        await cluster.until(lambda: cluster.nodes["edge0"].sees("store2") == (1, 1), 0.5)
        assert cluster.nodes["core1"].sees("store2") == (1, 0)
        cluster.chain.head = ""  # without a head, nobody declares members dead
        await asyncio.sleep(4.0)  # connections over the cut have timed out
        cluster.power_off("core0")
        cluster.restart("core0")
        cluster.network.heal_all()
        others = [node for node in cluster.living() if node.name != "store2"]
        await cluster.until(lambda: all(node.sees("store2") == (1, 1) for node in others), 3.0)
        cluster.loop.thaw(cluster.nodes["store2"].process)
        await cluster.until(lambda: cluster.all_see("store2", (1, 2)), 3.0)

    play(work)


def test_the_only_restarted_controller_is_found_soon() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        for zone in range(3):
            cluster.power_off(f"core{zone}")
        await asyncio.sleep(20.0)
        cluster.restart("core2")
        readers = [node for node in cluster.living() if not node.controller]
        core = cluster.nodes["core2"]
        await cluster.until(lambda: all(core.sees(node.name) == (1, 0) for node in readers), 3.5)

    play(work)


def test_readers_use_the_last_controller_while_most_are_down() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        await asyncio.sleep(1.5)
        for name in ("core0", "core1"):
            cluster.power_off(name)
        await asyncio.sleep(6.0)
        head_roles = cluster.nodes["core2"].head_roles
        assert head_roles is not None
        await head_roles.handle(MemberDeparting("edge0", 1))
        await cluster.until(lambda: cluster.nodes["store0"].sees("edge0") == (1, 1), 2.0)
        now = cluster.loop.time()
        for node in cluster.living():
            assert node.client.seconds_since_majority(now) > 3.0
            assert node.controller or node.client.seconds_since_contact(now) < 2.5

    play(work)


# ---- members


def test_a_departure_is_distributed_at_once() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        for name in ("edge0", "store1", "core2"):
            node = cluster.nodes[name]
            await asyncio.wait_for(node.process.run(node.client.leave()), 1.0)
            await cluster.until(lambda name=name: cluster.all_see(name, (1, 1)), 0.3)  # type: ignore[misc]
        await asyncio.sleep(3.0)  # they still run but stay departed
        assert [cluster.nodes[name].client.me.status for name in ("edge0", "store1", "core2")] == [0, 0, 1]
        assert all(cluster.all_see(name, (1, 1)) for name in ("edge0", "store1", "core2"))

    play(work)


def test_a_killed_process_is_dead_soon_and_alive_after_its_restart() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.kill("store0")
        took = await cluster.until(lambda: cluster.all_see("store0", (1, 1)), 3.0)
        assert 0.8 < took < 2.0
        cluster.restart("store0")
        await cluster.until(lambda: cluster.all_see("store0", (2, 0)), 1.0)

    play(work)


def test_a_quick_restart_ends_the_old_incarnation_without_any_death() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.restart("store0")
        took = await cluster.until(lambda: cluster.all_see("store0", (2, 0)), 1.0)
        assert took < 0.5

    play(work)


def test_a_frozen_process_is_declared_dead_and_refutes_it_after_the_freeze() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        node = cluster.nodes["edge2"]
        cluster.loop.freeze(node.process)
        others = [other for other in cluster.living() if other is not node]
        await cluster.until(lambda: all(other.sees("edge2") == (1, 1) for other in others), 3.0)
        await asyncio.sleep(2.0)
        cluster.loop.thaw(node.process)
        await cluster.until(lambda: cluster.all_see("edge2", (1, 2)), 3.0)
        await asyncio.sleep(2.0)
        assert all(cluster.all_see(name, (1, 0)) for name in cluster.nodes if name != "edge2")

    play(work)


def test_all_members_of_a_lost_zone_are_declared_dead() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        for name in ("core1", "edge1", "store1"):
            cluster.power_off(name)
        await cluster.until(
            lambda: all(cluster.all_see(name, (1, 1)) for name in ("core1", "edge1", "store1")), 5.0
        )
        await asyncio.sleep(3.0)
        for name in ("core0", "edge0", "store0", "core2", "edge2", "store2"):
            assert cluster.all_see(name, (1, 0))

    play(work)


def test_a_member_suspected_by_one_monitor_stays_alive() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        edges = [name for name in cluster.nodes if not name.startswith("store")]
        isolated_monitor = next(
            name for name in choose_monitors("store1", edges) if not name.startswith("core0")
        )
        cluster.network.block(cluster.nodes["store1"].host, cluster.nodes[isolated_monitor].host, both=False)
        probes: list[str] = []

        def watch(source: str, target: str, message: Any) -> None:
            if isinstance(message, CheckIncarnation) and target == cluster.nodes["store1"].address:
                probes.append(source)

        cluster.network.observer = watch
        await asyncio.sleep(12.0)
        assert cluster.nodes["core0"].sees("store1") == (1, 0)
        assert 3 <= len(probes) <= 12
        assert set(probes) == {cluster.nodes["core0"].address}

    play(work)


def test_all_processes_converge_after_random_faults() -> None:
    for seed in range(3):
        play(partial(run_random_faults, seed))


async def run_random_faults(seed: int, cluster: Cluster) -> None:
    """Inject faults for half a minute; no version may decrease, and all processes converge afterwards."""
    random_source = random.Random(seed)
    await cluster.bootstrap()
    seen: dict[tuple[SimulatedProcess, str], list[int]] = {}
    for step in range(60):
        inject_random_fault(cluster, random_source, step)
        await asyncio.sleep(0.5)
        assert_no_value_went_back(cluster, seen, (seed, step))
    cluster.network.heal_all()
    for node in cluster.living():
        cluster.loop.thaw(node.process)
    for zone in range(3):
        if not cluster.nodes[f"core{zone}"].process.alive:
            cluster.restart(f"core{zone}")
    await asyncio.sleep(12.0)
    for node in cluster.living():
        assert_converged(cluster, node, seed)


def inject_random_fault(cluster: Cluster, random_source: random.Random, step: int) -> None:
    name = random_source.choice(list(cluster.nodes))
    node = cluster.nodes[name]
    event = random_source.choice(
        ["kill", "restart", "freeze", "thaw", "cut", "join", "configure", "view", "power", "disk"]
    )
    if event in ("kill", "power", "restart"):
        end_or_restart(cluster, name, event)
    elif event == "disk" and node.me.role == "store":
        cluster.restart(name, disk_id=f"disk-{step}")
    elif event == "freeze":
        cluster.loop.freeze(node.process)
    elif event == "thaw":
        cluster.loop.thaw(node.process)
    elif event == "cut":
        target = random_source.choice(list(cluster.nodes.values()))
        cluster.network.block(node.host, target.host, both=random_source.random() < 0.7)
    elif event == "join":
        cluster.network.heal_all()
    elif event in ("configure", "disk"):
        generation = cluster.chain.state.generation + 1
        document = DOCUMENT % generation
        cluster.chain.commit(evolve(cluster.chain.state, generation=generation, document=document))
    else:
        decide_random_view(cluster, random_source)


def end_or_restart(cluster: Cluster, name: str, event: str) -> None:
    """Kill a process or cut its power if more than five processes are alive; otherwise restart it."""
    if event == "restart" or len(cluster.living()) <= 5:
        cluster.restart(name)
    elif event == "kill":
        cluster.kill(name)
    else:
        cluster.power_off(name)


def decide_random_view(cluster: Cluster, random_source: random.Random) -> None:
    assert cluster.chain.view is not None
    chain = ["core0", "core1", "core2"]
    random_source.shuffle(chain)
    cluster.chain.decide(cluster.view(cluster.chain.view.epoch + 1, tuple(chain)))


def assert_no_value_went_back(
    cluster: Cluster, seen: dict[tuple[SimulatedProcess, str], list[int]], where: tuple[int, int]
) -> None:
    """Assert that no version that a live process holds has decreased since the last call."""
    for node in cluster.living():
        for key, version in node.state.versions.items():
            assert version >= seen.get((node.process, key), []), (where, node.name, key)
            seen[node.process, key] = list(version)


def assert_converged(cluster: Cluster, node: Node, seed: int) -> None:
    assert node.state.view == cluster.chain.view, (seed, node.name)
    generation = node.state.configuration.generation if node.state.configuration else 0
    assert generation == cluster.chain.state.generation, (seed, node.name)
    assert node.state.placement == cluster.chain.state.placement, (seed, node.name)
    assert node.client.seconds_since_contact(cluster.loop.time()) < 2.5, (seed, node.name)
    assert node.client.seconds_since_majority(cluster.loop.time()) < 2.5, (seed, node.name)
    for name, other in cluster.nodes.items():
        member = node.state.members.get(name)
        assert (member is not None and member.alive) == other.process.alive, (seed, node.name, name)


def test_without_faults_there_are_no_deaths_and_few_messages() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        heartbeats: list[str] = []

        def watch(source: str, target: str, message: Any) -> None:
            if isinstance(message, Heartbeat):
                heartbeats.append(message.name)

        before = cluster.network.messages
        cluster.network.observer = watch
        await asyncio.sleep(30.0)
        assert all(cluster.all_see(name, (1, 0)) for name in cluster.nodes)
        each = {name: heartbeats.count(name) for name in cluster.nodes}
        assert set(each) == set(cluster.nodes)
        assert all(405 <= count <= 453 for count in each.values())
        assert (cluster.network.messages - before) / 30 / len(cluster.nodes) < 20

    play(work)


# ---- placement


def primaries(cluster: Cluster) -> set[str]:
    placement = cluster.chain.state.placement
    assert placement is not None
    return {entry.primary for entry in placement.partitions}


def test_a_dead_stores_partitions_get_other_primaries_and_move_back_later() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.kill("store0")
        took = await cluster.until(lambda: "store0/disk0" not in primaries(cluster), 3.0)
        assert took < 2.0
        cluster.restart("store0")
        await asyncio.sleep(5.0)
        assert "store0/disk0" not in primaries(cluster)
        before = cluster.chain.state.placement
        await cluster.until(lambda: cluster.chain.state.placement != before, 3.0)
        await asyncio.sleep(1.5)
        assert before is not None
        assert cluster.chain.state.placement is not None
        assert 2 <= cluster.chain.state.placement.version - before.version <= 3  # one move a second
        await asyncio.sleep(8.0)
        placement = cluster.chain.state.placement
        assert placement is not None
        counts = [
            sum(entry.primary == f"store{number}/disk{number}" for entry in placement.partitions)
            for number in range(3)
        ]
        assert max(counts) - min(counts) <= 1
        assert cluster.all_have(lambda state: state.placement == placement)

    play(work)


def test_a_stopping_store_hands_over_at_once() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        node = cluster.nodes["store2"]
        await node.process.run(node.client.leave())
        await cluster.until(lambda: "store2/disk2" not in primaries(cluster), 0.4)

    play(work)


async def report_learners(cluster: Cluster) -> None:
    """Report each learner as caught up, as the primaries would."""
    placement = cluster.chain.state.placement
    head_roles = cluster.nodes[cluster.chain.head].head_roles
    assert placement is not None
    assert head_roles is not None
    for entry in placement.partitions:
        for learner in entry.learners:
            await head_roles.handle(LearnerReady(entry.partition, entry.epoch, learner))


def test_a_lost_disk_is_refilled_by_learning() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.restart("store1", disk_id="new")
        await asyncio.sleep(1.0)
        for _ in range(4):
            await report_learners(cluster)
            await asyncio.sleep(1.0)
        placement = cluster.chain.state.placement
        assert placement is not None
        assert all(
            sorted(entry.replicas) == ["store0/disk0", "store1/new", "store2/disk2"] and entry.learners == []
            for entry in placement.partitions
        )

    play(work)


def test_an_old_report_about_a_learner_does_not_count() -> None:
    """A report that arrived while too many replicas were dead must not count after they have returned."""

    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        cluster.restart("store1", disk_id="new")
        await asyncio.sleep(1.0)
        for name in ("store0", "store2"):
            cluster.kill(name)
        await cluster.until(
            lambda: all(cluster.nodes["core0"].sees(name) == (1, 1) for name in ("store0", "store2")), 3.0
        )
        await report_learners(cluster)
        await asyncio.sleep(4.0)
        cluster.restart("store0")
        await asyncio.sleep(2.0)
        placement = cluster.chain.state.placement
        assert placement is not None
        assert all("store1/new" not in entry.replicas for entry in placement.partitions)
        await report_learners(cluster)
        await asyncio.sleep(1.0)
        placement = cluster.chain.state.placement
        assert placement is not None
        assert all("store1/new" in entry.replicas for entry in placement.partitions)

    play(work)


async def retire(cluster: Cluster, name: str, duration_s: float | None = 10.0) -> tuple[int, bytes]:
    head_roles = cluster.nodes[cluster.chain.head].head_roles
    assert head_roles is not None
    answer = await head_roles.handle(RetireStore(name, duration_s))
    assert isinstance(answer, OperatorResponse)
    return answer.status, answer.body


def test_retirement_from_order_to_completion() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        assert (await retire(cluster, "store9"))[0] == 404
        assert (await retire(cluster, "edge0"))[0] == 404
        assert (await retire(cluster, "store0", None))[0] == 404
        for _ in range(2):  # idempotent
            assert await retire(cluster, "store0") == (200, b'{"state":"running"}')
        assert (await retire(cluster, "store1"))[0] == 409  # the three remaining stores are required
        unplaced_since = math.inf
        for _ in range(200):
            await asyncio.sleep(0.1)
            if not is_store_placed(cluster.chain.state.placement or Placement(0, []), "store0"):
                unplaced_since = min(unplaced_since, cluster.loop.time())
            if (await retire(cluster, "store0", None)) == (200, b'{"state":"completed"}'):
                break
            placement = cluster.chain.state.placement
            assert placement is not None
            await report_learners(cluster)
        else:
            raise AssertionError("the retirement did not complete")
        assert 0.9 <= cluster.loop.time() - unplaced_since <= 2.5
        placement = cluster.chain.state.placement
        assert placement is not None
        assert all(
            "store0/disk0" not in (*entry.replicas, *entry.learners) and len(entry.replicas) == 3
            for entry in placement.partitions
        )
        assert await retire(cluster, "store0") == (200, b'{"state":"completed"}')

    play(work, stores=4)


def test_only_the_head_accepts_orders() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        head_roles = cluster.nodes["core1"].head_roles
        assert head_roles is not None
        answer = await head_roles.handle(RetireStore("store0", 1.0))
        assert answer == OperatorResponse(503)
        assert cluster.chain.state.retiring == {}

    play(work, stores=4)


def test_none_of_three_stores_can_retire_if_one_loss_is_tolerated() -> None:
    async def work(cluster: Cluster) -> None:
        await cluster.bootstrap()
        assert (await retire(cluster, "store0"))[0] == 409

    play(work)


# ---- the platform's worker list


def worker(identifier: str, state: str = "ready", warm_in_ms: int = 0) -> PlatformWorker:
    return PlatformWorker(identifier, "service", "10.9.0.1:80", "z0", 4, state, warm_in_ms)


def listed(cluster: Cluster) -> list[PlatformWorker] | None:
    found = cluster.nodes["edge2"].state.workers
    return None if found is None else found.workers


def test_the_list_is_read_once_a_second_and_published_only_when_it_changed() -> None:
    async def work(cluster: Cluster) -> None:
        cluster.chain.lists = [PlatformWorkerList([worker("a", warm_in_ms=9000)])]
        await cluster.bootstrap()
        await cluster.until(lambda: listed(cluster) == [worker("a", warm_in_ms=9000)], 3.0)
        cluster.chain.read_times.clear()
        version = cluster.nodes["edge2"].state.versions["workers"]
        cluster.chain.lists = [PlatformWorkerList([worker("a", warm_in_ms=5000)])]
        await asyncio.sleep(10.0)
        assert 9 <= len(cluster.chain.read_times) <= 11
        assert cluster.nodes["edge2"].state.versions["workers"] == version
        cluster.chain.lists = [PlatformWorkerList([worker("a", "draining")])]
        await cluster.until(
            lambda: cluster.all_have(
                lambda state: state.workers == PlatformWorkerList([worker("a", "draining")])
            ),
            1.2,
        )
        cluster.chain.lists = []  # the platform is down, so the last list stays valid
        await asyncio.sleep(5.0)
        assert listed(cluster) == [worker("a", "draining")]

    play(work)


def test_a_new_head_reads_soon_and_its_list_replaces_the_old_one() -> None:
    async def work(cluster: Cluster) -> None:
        cluster.chain.lists = [PlatformWorkerList([worker("a")])]
        await cluster.bootstrap()
        await cluster.until(lambda: listed(cluster) == [worker("a")], 3.0)
        cluster.kill("core0")
        cluster.chain.lists = [PlatformWorkerList([worker("b")])]
        cluster.chain.read_times.clear()
        cluster.chain.decide(cluster.view(2, ("core1", "core2")))
        await cluster.until(lambda: listed(cluster) == [worker("b")], 0.6)
        assert len(cluster.chain.read_times) == 1

    play(work)


def test_a_list_of_a_head_restarted_in_its_epoch_replaces_the_old_one() -> None:
    async def work(cluster: Cluster) -> None:
        cluster.chain.lists = [PlatformWorkerList([worker("a")])]
        await cluster.bootstrap()
        for identifier in ("b", "c"):
            cluster.chain.lists = [PlatformWorkerList([worker(identifier)])]
            await cluster.until(lambda wanted=identifier: listed(cluster) == [worker(wanted)], 2.0)  # type: ignore[misc]
        cluster.restart("core0")
        cluster.chain.lists = [PlatformWorkerList([worker("d")])]
        await cluster.until(lambda: listed(cluster) == [worker("d")], 3.0)

    play(work)


def test_a_list_read_after_all_controllers_restarted_replaces_the_old_one() -> None:
    async def work(cluster: Cluster) -> None:
        cluster.chain.lists = [PlatformWorkerList([worker("a")])]
        await cluster.bootstrap()
        for identifier in ("b", "c"):
            cluster.chain.lists = [PlatformWorkerList([worker(identifier)])]
            await cluster.until(lambda wanted=identifier: listed(cluster) == [worker(wanted)], 2.0)  # type: ignore[misc]
        for zone in range(3):
            cluster.kill(f"core{zone}")
        for zone in range(3):
            cluster.restart(f"core{zone}")
        cluster.chain.lists = [PlatformWorkerList([worker("d")])]
        await cluster.until(lambda: listed(cluster) == [worker("d")], 3.0)

    play(work)
