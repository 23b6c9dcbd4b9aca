"""The network between simulated processes: seeded delays, cuts, resets, silent and refusing peers.

It behaves like the TCP transport: one connection from a process to each address it calls, messages in order,
bytes held while a link is cut and delivered late when it is joined again, a reset when the peer's process is
gone, silence when its machine has no power.  Every message is encoded and decoded on its way.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hollowusher.protocol.codec import MAX_TAG, decode, encode, tag_of
from hollowusher.protocol.identity import Hello, Identity
from hollowusher.simulation.loop import SimulatedProcess, VirtualLoop
from hollowusher.transport.interface import Handler, PeerError, WrongPeer, fail_call
from hollowusher.transport.peers import PeerDirectory

CONNECT_TIMEOUT_S = 1.0
USER_TIMEOUT_S = 3.0
ONE_WAY, REQUEST, ANSWER, FAILURE, REFUSED = range(5)


@dataclass
class Delays:
    """One-way delays in seconds: between `least` and `most`, and with `slow_share` up to `slow_most`."""

    least: float = 0.0004
    most: float = 0.0015
    slow_share: float = 0.0
    slow_most: float = 0.05


def host_of(address: str) -> str:
    """The machine's address of "ip:port"."""
    return address.rpartition(":")[0]


class Network:
    """All machines' links.  Hosts are addresses without port."""

    def __init__(self, loop: VirtualLoop, chance: random.Random, delays: Delays | None = None) -> None:
        self.loop = loop
        self.chance = chance
        self.delays = delays or Delays()
        self.reset_share = 0.0  # how many frames reset their connection in place of arriving
        self.slow_hosts: dict[str, float] = {}  # host -> what its links add to each delay
        self.powered: set[str] = set()
        self.listeners: dict[str, SimulatedTransport] = {}
        self.connections: list[Connection] = []
        self.messages = 0
        self.handler_failures: list[str] = []
        self.watch: Callable[[str, str, Any], None] | None = None  # (from, to, message) of each arrival
        self._cut: set[tuple[str, str]] = set()
        self._refusing: set[tuple[str, str]] = set()  # cuts that answer with a reset in place of silence

    def cut(self, source: str, target: str, both: bool = True, refuse: bool = False) -> None:
        """Nothing gets from one host to another; with `refuse` connections break, new ones are refused."""
        pairs = {(source, target), (target, source)} if both else {(source, target)}
        self._cut |= pairs
        if not refuse:
            return
        self._refusing |= pairs
        for connection in list(self.connections):
            if {connection.client_host, connection.server_host} == {source, target}:
                connection.reset()

    def refuses(self, source: str, target: str) -> bool:
        """Whether bytes from one host to the other are answered with a reset."""
        return (source, target) in self._refusing or (target, source) in self._refusing

    def join(self, source: str, target: str, both: bool = True) -> None:
        """End a cut; what it held up goes on."""
        pairs = {(source, target), (target, source)} if both else {(source, target)}
        self._cut -= pairs
        self._refusing -= pairs
        self._flush()

    def join_all(self) -> None:
        """End all cuts."""
        self._cut.clear()
        self._refusing.clear()
        self._flush()

    def _flush(self) -> None:
        for connection in list(self.connections):
            connection.flush()

    def is_cut(self, source: str, target: str) -> bool:
        """Whether bytes from one host do not reach the other."""
        return source != target and (source, target) in self._cut

    def reaches(self, source: str, target: str) -> bool:
        """Whether both hosts have power and the way is open."""
        return target in self.powered and source in self.powered and not self.is_cut(source, target)

    def delay(self) -> float:
        """A one-way delay."""
        delays = self.delays
        if delays.slow_share and self.chance.random() < delays.slow_share:
            return self.chance.uniform(delays.most, delays.slow_most)
        return self.chance.uniform(delays.least, delays.most)

    def power_off(self, host: str) -> None:
        """The host falls silent; its connections are gone without a word."""
        self.powered.discard(host)
        for connection in list(self.connections):
            connection.host_lost_power(host)

    def power_on(self, host: str) -> None:
        """The host is there again (its processes are not yet)."""
        self.powered.add(host)

    def process_ended(self, process: SimulatedProcess) -> None:
        """The kernel closes what the process had open."""
        for address, listener in list(self.listeners.items()):
            if listener.process is process:
                del self.listeners[address]
        for connection in list(self.connections):
            connection.process_ended(process)

    def reset_connections(self, host: str) -> None:
        """Reset all connections of a host."""
        for connection in list(self.connections):
            if host in (connection.client_host, connection.server_host):
                connection.reset()

    def transport(self, process: SimulatedProcess, address: str) -> SimulatedTransport:
        """The transport of a process."""
        return SimulatedTransport(self, process, address)


class _Direction:
    """Frames on their way from one end of a connection to the other, in order."""

    def __init__(
        self, connection: Connection, source: str, target: str, deliver: Callable[[bytes], None]
    ) -> None:
        self.connection = connection
        self.source = source
        self.target = target
        self.deliver = deliver
        self.frames: deque[tuple[float, bytes]] = deque()
        self.last_arrival = 0.0
        self._waiting = False
        self._stalled_since: float | None = None

    def put(self, frame: bytes) -> None:
        """Send a frame."""
        network = self.connection.network
        added = network.slow_hosts.get(self.source, 0.0) + network.slow_hosts.get(self.target, 0.0)
        arrival = max(network.loop.time() + network.delay() + added, self.last_arrival)
        self.last_arrival = arrival
        self.frames.append((arrival, frame))
        self.schedule()

    def schedule(self) -> None:
        """Wait for the first frame's arrival, if that is not yet under way."""
        if self._waiting or not self.frames or self.connection.closed:
            return
        self._waiting = True
        loop = self.connection.network.loop
        loop.call_outside(max(self.frames[0][0] - loop.time(), 0.0), self._arrive)

    def _arrive(self) -> None:
        self._waiting = False
        if self.connection.closed or not self.frames:
            return
        network = self.connection.network
        if not network.reaches(self.source, self.target):
            self._stall()
            return
        self._stalled_since = None
        _, frame = self.frames.popleft()
        if network.reset_share and network.chance.random() < network.reset_share:
            self.connection.reset()
            return
        network.messages += 1
        self.deliver(frame)
        self.schedule()

    def _stall(self) -> None:
        """Unacknowledged bytes end a connection after the user timeout, unless the way opens again."""
        loop = self.connection.network.loop
        if self._stalled_since is None:
            self._stalled_since = loop.time()
            loop.call_outside(USER_TIMEOUT_S, self._give_up, self._stalled_since)

    def _give_up(self, since: float) -> None:
        if self._stalled_since == since and not self.connection.closed:
            self.connection.lose_end(self.source, "timed out")

    def flush(self) -> None:
        """The way may be open again: sent again after a while."""
        network = self.connection.network
        if self._stalled_since is not None and network.reaches(self.source, self.target):
            self._stalled_since = None
            again = network.loop.time() + network.chance.uniform(0.0, 0.4)
            self.frames[0] = (again, self.frames[0][1])
            self.schedule()


class Connection:
    """A connection from one process to the address of another."""

    def __init__(self, network: Network, client: SimulatedTransport, server: SimulatedTransport) -> None:
        self.network = network
        self.client = client
        self.server = server
        self.client_host = host_of(client.address)
        self.server_host = host_of(server.address)
        self.closed = False
        self.misdirected = False  # another process than the one meant is there
        self.bytes_received = 0
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self._there = _Direction(self, self.client_host, self.server_host, self._to_server)
        self._back = _Direction(self, self.server_host, self.client_host, self._to_client)
        network.connections.append(self)

    @property
    def usable(self) -> bool:
        """Whether the connection stands and leads to the process meant."""
        return not self.closed and not self.misdirected

    def request(self, number: int, kind: int, message: Any) -> None:
        """Send from the client's end, with the greeting that is in force on the connection."""
        peers = self.client.peers
        hello = Hello(peers.own, peers.meant(self.server.address, message))
        self._there.put(encode([number, kind, message, hello]))

    def _to_server(self, frame: bytes) -> None:
        if not self.server.process.alive or self.server.closed:
            self.reset()
            return
        number, kind, message, hello = decode(frame)
        reason = self.server.peers.refusal(hello, message)
        if reason:
            self.server.peers.refuse(hello, reason)
            self._back.put(encode([number, REFUSED, self.server.peers.own]))
            return
        if self.network.watch is not None:
            self.network.watch(self.client.address, self.server.address, message)
        self.server.process.run(self._handle(number, kind, message))

    async def _handle(self, number: int, kind: int, message: Any) -> None:
        handler = self.server.handler
        if handler is None:
            return
        try:
            answer = await handler(message)
        except Exception as error:
            text = f"{self.server.process} {type(message).__name__}: {type(error).__name__}: {error}"
            self.network.handler_failures.append(f"{self.network.loop.time():.3f} {text}")
            kind, answer = (FAILURE if kind == REQUEST else kind), f"{type(error).__name__}: {error}"
        else:
            kind = ANSWER if kind == REQUEST else kind
        if kind != ONE_WAY and not self.closed:
            self._back.put(encode([number, kind, answer]))

    def _to_client(self, frame: bytes) -> None:
        if not self.client.process.alive:
            return
        self.bytes_received += len(frame)
        number, kind, answer = decode(frame)
        if kind == REFUSED:
            self._refused(number, answer)
            return
        future = self.waiting.pop(number, None)
        if future is None or future.done():
            self.client.peers.figures.answers_dropped += 1
            return
        if kind == ANSWER:
            future.set_result(answer)
        else:
            fail_call(future, PeerError("call", self.server.address, f"peer failed: {answer}"))

    def _refused(self, number: int, found: Identity) -> None:
        """Another process is there; calls it has taken before may still be answered."""
        self.client.peers.figures.misdirected += 1
        self.misdirected = True
        future = self.waiting.pop(number, None)
        if future is not None:
            fail_call(future, WrongPeer("call", self.server.address, found))
        if not self.waiting:
            self.abort()

    def flush(self) -> None:
        """Go on with frames that a cut held up."""
        self._there.flush()
        self._back.flush()

    def reset(self) -> None:
        """The connection breaks: what has not arrived is lost, waiting calls fail."""
        self.abort()
        self.fail_waiting("connection reset")

    def abort(self) -> None:
        """Drop it without failing the client's calls (its own process does so)."""
        self.closed = True
        self._there.frames.clear()
        self._back.frames.clear()
        if self in self.network.connections:
            self.network.connections.remove(self)

    def lose_end(self, host: str, reason: str) -> None:
        """One end gives the connection up."""
        self.abort()
        if host == self.client_host:
            self.fail_waiting(reason)

    def fail_waiting(self, reason: str) -> None:
        """All calls that wait for an answer fail."""
        waiting, self.waiting = self.waiting, {}
        for future in waiting.values():
            fail_call(future, PeerError("call", self.server.address, reason))

    def host_lost_power(self, host: str) -> None:
        """Whatever that host had on the way or to be sent is gone; the other end hears nothing."""
        if host == self.client_host:
            self.abort()
        elif host == self.server_host:
            self._back.frames.clear()

    def process_ended(self, process: SimulatedProcess) -> None:
        """The kernel of that end closes the connection."""
        if process is self.client.process:
            self.abort()
        elif process is self.server.process and self.network.reaches(self.server_host, self.client_host):
            self.network.loop.call_outside(self.network.delay(), self._closed_by_server)

    def _closed_by_server(self) -> None:
        if not self.closed:
            self.reset()


class SimulatedTransport:
    """The `Transport` of one process."""

    def __init__(self, network: Network, process: SimulatedProcess, address: str) -> None:
        self.network = network
        self.process = process
        self.address = address
        self.peers = PeerDirectory()
        self.handler: Handler | None = None
        self.closed = False
        self._numbers = itertools.count(1)
        self._connections: dict[str, Connection] = {}
        self._connecting: dict[str, asyncio.Future[Connection]] = {}

    async def start(self, handler: Handler) -> None:
        """Listen, and give each message that comes to `handler`."""
        if self.address in self.network.listeners:
            raise OSError(f"address {self.address} is in use")
        self.handler = handler
        self.network.listeners[self.address] = self

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        self.closed = True
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
        for connection in list(self.network.connections):
            if connection.client is self or connection.server is self:
                connection.reset()

    def connected(self, address: str) -> bool:
        """Whether a connection to the peer stands."""
        connection = self._connections.get(address)
        return connection is not None and connection.usable

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """The answer of the process at `address`; `PeerError` where none came in time."""
        step = type(message).__name__
        loop = self.network.loop
        deadline = loop.time() + timeout
        connection = await self._connection(address, step, timeout)
        number = next(self._numbers) * (MAX_TAG + 1) + tag_of(message)
        future: asyncio.Future[Any] = loop.create_future()
        connection.waiting[number] = future
        received = connection.bytes_received
        connection.request(number, REQUEST, message)
        try:
            async with asyncio.timeout_at(deadline):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled() and future.exception() is None:
                return future.result()  # it was read in the moment in which the time ran out
            if connection.bytes_received == received and not connection.closed:
                connection.reset()
            raise PeerError(step, address, f"no answer in {timeout:.3g} s") from None
        except WrongPeer as error:
            raise WrongPeer(step, address, error.found) from None
        except PeerError as error:
            raise PeerError(step, address, error.reason) from None
        finally:
            connection.waiting.pop(number, None)

    def send(self, address: str, message: Any) -> None:
        """Send without an answer; lost where the peer cannot be reached."""
        encode(message)  # a message that cannot be encoded is the sender's fault, found here
        connection = self._connections.get(address)
        if connection is not None and connection.usable:
            connection.request(0, ONE_WAY, message)
            return
        self.process.run(self._send_later(address, message))

    async def _send_later(self, address: str, message: Any) -> None:
        try:
            connection = await self._connection(address, type(message).__name__, CONNECT_TIMEOUT_S)
        except PeerError:
            return
        connection.request(0, ONE_WAY, message)

    async def _connection(self, address: str, step: str, timeout: float) -> Connection:
        connection = self._connections.get(address)
        if connection is not None and connection.usable:
            return connection
        future = self._connecting.get(address)
        if future is None:
            future = self.network.loop.create_future()
            self._connecting[address] = future
            self._open(address, future)
        try:
            return await asyncio.wait_for(asyncio.shield(future), min(timeout, CONNECT_TIMEOUT_S))
        except TimeoutError:
            raise PeerError(step, address, "no connection in time", sent=False) from None
        except ConnectionError as error:
            raise PeerError(step, address, f"no connection: {error}", sent=False) from None

    def _open(self, address: str, future: asyncio.Future[Connection]) -> None:
        loop = self.network.loop
        loop.call_outside(self.network.delay(), self._at_peer, address, future)
        loop.call_outside(CONNECT_TIMEOUT_S, self._no_connection, address, future, "timed out")

    def _at_peer(self, address: str, future: asyncio.Future[Connection]) -> None:
        here, there = host_of(self.address), host_of(address)
        network = self.network
        if network.refuses(here, there):
            network.loop.call_outside(network.delay(), self._no_connection, address, future, "refused")
            return
        if not (network.reaches(here, there) and network.reaches(there, here)):
            return
        listener = network.listeners.get(address)
        if listener is None:
            network.loop.call_outside(network.delay(), self._no_connection, address, future, "refused")
            return
        network.loop.call_outside(network.delay(), self._opened, address, future, listener)

    def _opened(self, address: str, future: asyncio.Future[Connection], server: SimulatedTransport) -> None:
        if future.done() or not self.process.alive:
            return
        self._connecting.pop(address, None)
        connection = Connection(self.network, self, server)
        self._connections[address] = connection
        future.set_result(connection)

    def _no_connection(self, address: str, future: asyncio.Future[Connection], reason: str) -> None:
        if future.done():
            return
        self._connecting.pop(address, None)
        future.set_exception(ConnectionError(reason))
        future.exception()  # read: nobody may be waiting any more
