"""A simulated cluster of controllers: an event loop with a virtual clock, a network and disks."""

from __future__ import annotations

import asyncio
import random
import selectors
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

import orjson

from hollowusher.configuration.boot import Bind, BootSettings, FaultTolerance
from hollowusher.coordination.chain.state_store import StateStore
from hollowusher.coordination.consensus.seed_service import SeedService
from hollowusher.coordination.controller.controller import (
    Controller,
    ControllerCallbacks,
    ControllerResources,
)
from hollowusher.protocol.codec import decode, encode
from hollowusher.protocol.control_chain import ChainWrite, ChainWritten, ControlState
from hollowusher.protocol.identity import Hello, Identity
from hollowusher.protocol.membership import Member
from hollowusher.protocol.operator_orders import ChangeConfiguration, OperatorResponse, ReadConfiguration
from hollowusher.protocol.view import View
from hollowusher.storage.interface import StorageError
from hollowusher.transport.interface import Handler, PeerError, WrongPeer
from hollowusher.transport.peers import PeerDirectory

T = TypeVar("T")
LINK_DELAY_S = 0.001
SYNC_S = 0.005
STALLED = "stuck"  # while a virtual disk has a file of this name, its syncs do not complete
DISK_FULL = "full"  # while a virtual disk has a file of this name, its writes fail


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the loop's virtual clock to the next timer instead of waiting."""

    loop: JumpingClockLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise AssertionError("deadlock: no timer is pending")
        self.loop.now += timeout
        return []


class JumpingClockLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock."""

    def __init__(self) -> None:
        selector = _JumpingSelector()
        selector.loop = self
        self.now = 100.0
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in an event loop with a virtual clock; return its result."""
    with asyncio.Runner(loop_factory=JumpingClockLoop) as runner:
        return runner.run(work)


class ControllerNetwork:
    """A simulated network with link cuts, which also determines how long messages and disk syncs take."""

    def __init__(self, seed: int) -> None:
        self.slowest_s = 0.0  # maximum random delay added to each message and sync
        self.bytes_per_s = 0.0  # throughput of a link; 0 means unlimited
        self.disk_bytes_per_s = 0.0  # write throughput of a disk; 0 means unlimited
        self.disk_slowness: dict[str, float] = {}  # machine -> factor on its disk's latency
        self.sent_bytes: Counter[str] = Counter()  # message type -> bytes of requests and responses
        self.saved_bytes: Counter[str] = Counter()  # machine -> bytes written
        self._chance = random.Random(f"network {seed}")
        self.listening: dict[str, VirtualTransport] = {}
        self.cuts: set[frozenset[str]] = set()

    def cut(self, one: str, other: str) -> None:
        self.cuts.add(frozenset((one, other)))

    def join(self, one: str, other: str) -> None:
        self.cuts.discard(frozenset((one, other)))

    async def wait(self, usual_s: float) -> None:
        """Wait for `usual_s` seconds plus a random delay."""
        await asyncio.sleep(usual_s + self._chance.uniform(0.0, self.slowest_s))

    async def carry(self, step: str, data: bytes) -> None:
        """Wait for the transmission time of a message of type `step`, and count its bytes."""
        self.sent_bytes[step] += len(data)
        await self.wait(LINK_DELAY_S + (len(data) / self.bytes_per_s if self.bytes_per_s else 0.0))

    async def write(self, machine: str, value: bytes) -> None:
        """Wait for the duration of a synced write of `value`, and count its bytes."""
        self.saved_bytes[machine] += len(value)
        usual = SYNC_S + (len(value) / self.disk_bytes_per_s if self.disk_bytes_per_s else 0.0)
        await self.wait(usual * self.disk_slowness.get(machine, 1.0))

    def passes(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts


class VirtualTransport:
    """The `Transport` of one process of a `ControllerNetwork`."""

    def __init__(self, network: ControllerNetwork, address: str) -> None:
        self.network = network
        self.address = address
        self.tasks: set[asyncio.Task[Any]] = set()
        self.peers = PeerDirectory()
        self.view_of: Callable[[], View | None] = lambda: None  # the newest view of the process
        self._handler: Handler | None = None

    async def start(self, handler: Handler) -> None:
        self._handler = handler
        self.network.listening[self.address] = self

    async def close(self) -> None:
        if self.network.listening.get(self.address) is self:
            del self.network.listening[self.address]
        for task in list(self.tasks):
            task.cancel()

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        step = type(message).__name__
        data = encode(message)
        deadline = asyncio.get_running_loop().time() + timeout
        await self.network.carry(step, data)
        if not self.network.passes(self.address, address):
            await self._silence(deadline)
            raise PeerError(step, address, "no answer in time")
        peer = self.network.listening.get(address)
        if peer is None:
            raise PeerError(step, address, "no connection: refused", sent=False)
        if peer.refuses(self.greeting(address, message), message):
            raise WrongPeer(step, address, peer.peers.own)
        task = peer.take(data)
        await asyncio.wait({task}, timeout=deadline - asyncio.get_running_loop().time())
        if task.cancelled():
            raise PeerError(step, address, "connection lost")
        if not task.done() or not self.network.passes(self.address, address):
            await self._silence(deadline)
            raise PeerError(step, address, "no answer in time")
        if task.exception() is not None:
            raise PeerError(step, address, f"peer failed: {task.exception()}")
        answer = encode(task.result())
        if self.network.bytes_per_s:
            await self.network.carry(step, answer)
        if asyncio.get_running_loop().time() > deadline:
            raise PeerError(step, address, "no answer in time")
        return decode(answer)

    def send(self, address: str, message: Any) -> None:
        task = asyncio.get_running_loop().create_task(self._send(address, message, encode(message)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self, address: str, message: Any, data: bytes) -> None:
        await self.network.carry(type(message).__name__, data)
        peer = self.network.listening.get(address)
        if peer is not None and self.network.passes(self.address, address):
            peer.take(data)

    def greeting(self, address: str, message: Any) -> Hello:
        """Return the handshake with this process's identity and that of the intended receiver."""
        view = self.view_of()
        if view is not None:
            self.peers.learn_view(view)
        return Hello(self.peers.own, self.peers.intended_peer(address, message))

    def refuses(self, hello: Hello, message: Any) -> bool:
        """Return whether this process rejects a received message that is meant for another process."""
        reason = self.peers.rejection_reason(hello, message)
        if reason:
            self.peers.record_rejection(hello, reason)
        return bool(reason)

    def take(self, data: bytes) -> asyncio.Task[Any]:
        """Handle a received message in a new task; return the task."""
        assert self._handler is not None
        task = asyncio.get_running_loop().create_task(self._run(self._handler, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    @staticmethod
    async def _run(handler: Handler, data: bytes) -> Any:
        return await handler(decode(data))

    @staticmethod
    async def _silence(deadline: float) -> None:
        await asyncio.sleep(max(0.0, deadline - asyncio.get_running_loop().time()))


class VirtualSlot:
    """A `Slot` on a virtual disk."""

    def __init__(
        self, network: ControllerNetwork, files: dict[str, bytes], name: str, machine: str = ""
    ) -> None:
        self._network = network
        self._files = files
        self._name = name
        self._machine = machine

    def load(self) -> bytes | None:
        return self._files.get(self._name)

    async def save(self, value: bytes) -> None:
        await self._network.write(self._machine, value)
        while self._files.get(STALLED):
            await asyncio.sleep(SYNC_S)
        if self._files.get(DISK_FULL):
            raise StorageError("save", self._name, "no space left")
        self._files[self._name] = value


class ControllerNode:
    """One machine with a disk, on which a controller can be started and stopped."""

    def __init__(self, cluster: ControllerCluster, name: str, number: int, zone: str) -> None:
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.ip = f"10.0.0.{number}"
        self.address = f"{self.ip}:7780"
        self.seed = f"{self.ip}:8064"
        self.disk_id = f"disk-{name}"
        self.files: dict[str, bytes] = {}
        self.seeds: list[str] = []
        self.controller: Controller | None = None
        self.transport: VirtualTransport | None = None
        self.views: list[View] = []
        self.states: list[ControlState] = []

    @property
    def running(self) -> Controller:
        assert self.controller is not None
        return self.controller

    async def start(self, bootstrap: bool = False) -> None:
        self.seeds = self.cluster.seeds
        settings = BootSettings(
            node_name=self.name,
            machine_class="edge",
            ip=self.ip,
            seed_nodes=self.cluster.seeds,
            bootstrap=bootstrap,
            bind=Bind(),
            fault_tolerance=FaultTolerance(self.cluster.tolerated),
        )
        member = Member(self.name, "edge", self.address, self.zone, "r", 1, self.disk_id, True, True)
        self.transport = VirtualTransport(self.cluster.network, self.address)
        self.transport.peers.identify(Identity("", self.name, 1, self.disk_id))
        self.transport.view_of = lambda: None if self.controller is None else self.controller.view
        network = self.cluster.network
        resources = ControllerResources(
            self.transport,
            VirtualSlot(network, self.files, "view"),
            self.state_store(),
            random.Random(f"{self.cluster.seed} {self.name}"),
        )
        callbacks = ControllerCallbacks(self.views.append, self.states.append)
        self.controller = Controller(
            member, settings, resources, callbacks, lambda: [f"{seed[:-4]}7780" for seed in self.seeds]
        )
        await self.transport.start(self.controller.handle)
        await self.controller.start()

    def ask(self, message: Any) -> asyncio.Task[Any]:
        """Deliver a message to the process; return a task with the response."""
        return self.run(self.running.handle(message))

    def run(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine as a task of the process, which is cancelled when the process ends."""
        assert self.transport is not None
        task = asyncio.get_running_loop().create_task(work)
        self.transport.tasks.add(task)
        task.add_done_callback(self.transport.tasks.discard)
        return task

    async def receive_write(self, write: ChainWrite) -> ChainWritten:
        """Deliver a chain write to the process; return the response."""
        answer = await self.running.handle(write)
        assert isinstance(answer, ChainWritten)
        return answer

    def state_store(self) -> StateStore:
        """Return the store of the control state on this machine's disk."""
        slots = [
            VirtualSlot(self.cluster.network, self.files, name, self.name)
            for name in ("state", "record-a", "record-b")
        ]
        return StateStore(slots[0], slots[1:])

    def use_seeds(self, seeds: list[str]) -> None:
        """Change the seeds in the settings of this machine's running process."""
        self.seeds = seeds

    async def kill(self) -> None:
        """End the process immediately, as SIGKILL does."""
        if self.controller is None or self.transport is None:
            return
        await self.transport.close()
        tasks = self.controller._tasks | self.controller._consensus._tasks
        if self.controller._seed_service._task is not None:
            tasks = tasks | {self.controller._seed_service._task}
        for task in tasks:
            task.cancel()
        self.controller = None

    async def stop(self) -> None:
        """Shut the process down gracefully, as SIGTERM does."""
        await self.running.stop()
        assert self.transport is not None
        await self.transport.close()
        self.controller = None

    def wipe(self) -> None:
        """Replace the disk with an empty one."""
        self.files = {}
        self.disk_id += "'"

    async def put(self, generation: int, if_match: int) -> int:
        """Send a complete configuration to this machine; return the status of the response."""
        body = orjson.dumps(document(generation))
        answer = await self.running.handle(ChangeConfiguration("PUT", if_match, body))
        assert isinstance(answer, OperatorResponse)
        return answer.status

    async def read(self) -> tuple[int, int]:
        """Read the configuration from this machine; return the status and the generation."""
        answer = await self.running.handle(ReadConfiguration())
        assert isinstance(answer, OperatorResponse)
        return answer.status, orjson.loads(answer.body)["generation"] if answer.status == 200 else 0


class ControllerCluster:
    """A set of machines on one network.

    `tolerated` is the number of machines that may fail at the same time; by default, the largest number that
    leaves a majority.  `seeds` are the operator addresses of the seed machines.
    """

    def __init__(
        self, names: str = "abc", seed: int = 0, seeds: list[str] | None = None, tolerated: int | None = None
    ) -> None:
        self.seed = seed
        self.tolerated = max(1, (len(names) - 1) // 2) if tolerated is None else tolerated
        self.network = ControllerNetwork(seed)
        self.nodes: dict[str, ControllerNode] = {}
        self._added = 0
        for name in names:
            self.add(name)
        self.seeds = seeds if seeds is not None else [node.seed for node in self.nodes.values()][:3]

    def add(self, name: str, zone: str = "") -> ControllerNode:
        """Add a machine without starting it; by default the machines are spread over three zones."""
        self._added += 1
        self.nodes[name] = ControllerNode(self, name, self._added, zone or f"z{self._added % 3}")
        return self.nodes[name]

    def use_seeds(self, names: Iterable[str]) -> None:
        """Change the seeds in the settings of processes that start after this call."""
        self.seeds = [self[name].seed for name in names]

    def remove(self, name: str) -> None:
        """Remove a stopped machine for good."""
        del self.nodes[name]

    def __getitem__(self, name: str) -> ControllerNode:
        return self.nodes[name]

    async def bootstrap_all(self) -> None:
        """Start all machines within 0.3 s, and wait until each has a view and one is the head."""
        for number, node in enumerate(self.nodes.values()):
            await asyncio.sleep(0.3 * number / len(self.nodes))
            await node.start(bootstrap=True)
        await self.until(lambda: all(node.running.view is not None for node in self.nodes.values()), 4.0)
        await self.until(lambda: any(node.running.is_head for node in self.nodes.values()), 2.0)

    async def until(self, condition: Any, seconds: float) -> float:
        """Wait until a condition holds; return the seconds waited, and fail after `seconds`."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not condition():
            assert loop.time() - started < seconds, f"the condition did not hold within {seconds} s"
            await asyncio.sleep(0.01)
        return loop.time() - started

    async def put_at_any_node(self, generation: int, if_match: int, seconds: float = 5.0) -> float:
        """Send an order to one machine after the other until it is acknowledged; return the seconds taken."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            for node in self.nodes.values():
                if node.controller is None:
                    continue
                try:
                    status = await asyncio.wait_for(node.put(generation, if_match), 1.0)
                except TimeoutError:
                    continue
                if status == 200:
                    return loop.time() - started
                assert status == 503, status
            assert loop.time() - started < seconds, f"no acknowledgement within {seconds} s"
            await asyncio.sleep(0.1)

    def isolate(self, *names: str) -> None:
        """Cut all links between these machines and the others."""
        for name in names:
            for other in self.nodes.keys() - set(names):
                self.network.cut(self[name].address, self[other].address)

    def join_all(self) -> None:
        self.network.cuts.clear()

    def diskless_seed(self, ip: str) -> SeedService:
        """Return the seed service of an edge process without a disk."""
        settings = BootSettings(
            node_name=ip,
            machine_class="edge",
            ip=ip,
            seed_nodes=self.seeds,
            bootstrap=True,
            fault_tolerance=FaultTolerance(self.tolerated),
        )
        return SeedService(
            settings, VirtualTransport(self.network, f"{ip}:7780"), random.Random(f"{self.seed} {ip}")
        )


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
