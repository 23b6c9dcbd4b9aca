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
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.transport.interface import Handler, PeerError, WrongPeer, fail_call
from hollowusher.transport.peers import PeerDirectory

CONNECT_TIMEOUT_S = 1.0
USER_TIMEOUT_S = 3.0
ONE_WAY, REQUEST, ANSWER, FAILURE, REFUSED = range(5)


@dataclass
class LinkDelays:
    """One-way delays: from `min_s` to `max_s`, with `slow_probability` up to `slow_max_s`."""

    min_s: float = 0.0004
    max_s: float = 0.0015
    slow_probability: float = 0.0
    slow_max_s: float = 0.05


def host_of(address: str) -> str:
    """The machine's address of "ip:port"."""
    return address.rpartition(":")[0]


class SimulatedNetwork:
    """All machines' links.  Hosts are addresses without port."""

    def __init__(
        self, loop: VirtualTimeLoop, random_source: random.Random, delays: LinkDelays | None = None
    ) -> None:
        self.loop = loop
        self.random_source = random_source
        self.delays = delays or LinkDelays()
        self.reset_probability = 0.0  # how many frames reset their connection in place of arriving
        self.added_delay_s: dict[str, float] = {}  # host -> what its links add to each delay
        self.powered: set[str] = set()
        self.listeners: dict[str, SimulatedTransport] = {}
        self.connections: list[SimulatedConnection] = []
        self.messages = 0
        self.handler_failures: list[str] = []
        self.observer: Callable[[str, str, Any], None] | None = None  # (from, to, message) of each arrival
        self._blocked: set[tuple[str, str]] = set()
        self._rejecting: set[tuple[str, str]] = set()  # cuts that answer with a reset in place of silence

    def block(self, source: str, target: str, both: bool = True, refuse: bool = False) -> None:
        """Nothing gets from one host to another; with `refuse` connections break, new ones are refused."""
        pairs = {(source, target), (target, source)} if both else {(source, target)}
        self._blocked |= pairs
        if not refuse:
            return
        self._rejecting |= pairs
        for connection in list(self.connections):
            if {connection.client_host, connection.server_host} == {source, target}:
                connection.reset()

    def rejects(self, source: str, target: str) -> bool:
        """Whether bytes from one host to the other are answered with a reset."""
        return (source, target) in self._rejecting or (target, source) in self._rejecting

    def heal(self, source: str, target: str, both: bool = True) -> None:
        """End a cut; what it held up goes on."""
        pairs = {(source, target), (target, source)} if both else {(source, target)}
        self._blocked -= pairs
        self._rejecting -= pairs
        self._flush()

    def heal_all(self) -> None:
        """End all cuts."""
        self._blocked.clear()
        self._rejecting.clear()
        self._flush()

    def _flush(self) -> None:
        for connection in list(self.connections):
            connection.flush()

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether bytes from one host do not reach the other."""
        return source != target and (source, target) in self._blocked

    def reaches(self, source: str, target: str) -> bool:
        """Whether both hosts have power and the way is open."""
        return target in self.powered and source in self.powered and not self.is_blocked(source, target)

    def delay(self) -> float:
        """A one-way delay."""
        delays = self.delays
        if delays.slow_probability and self.random_source.random() < delays.slow_probability:
            return self.random_source.uniform(delays.max_s, delays.slow_max_s)
        return self.random_source.uniform(delays.min_s, delays.max_s)

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
        self, connection: SimulatedConnection, source: str, target: str, deliver: Callable[[bytes], None]
    ) -> None:
        self.connection = connection
        self.source = source
        self.target = target
        self.deliver = deliver
        self.frames: deque[tuple[float, bytes]] = deque()
        self.last_arrival = 0.0
        self._is_scheduled = False
        self._stalled_since: float | None = None

    def send(self, frame: bytes) -> None:
        """Send a frame."""
        network = self.connection.network
        added = network.added_delay_s.get(self.source, 0.0) + network.added_delay_s.get(self.target, 0.0)
        arrival = max(network.loop.time() + network.delay() + added, self.last_arrival)
        self.last_arrival = arrival
        self.frames.append((arrival, frame))
        self.schedule()

    def schedule(self) -> None:
        """Wait for the first frame's arrival, if that is not yet under way."""
        if self._is_scheduled or not self.frames or self.connection.closed:
            return
        self._is_scheduled = True
        loop = self.connection.network.loop
        loop.call_outside(max(self.frames[0][0] - loop.time(), 0.0), self._arrive)

    def _arrive(self) -> None:
        self._is_scheduled = False
        if self.connection.closed or not self.frames:
            return
        network = self.connection.network
        if not network.reaches(self.source, self.target):
            self._stall()
            return
        self._stalled_since = None
        _, frame = self.frames.popleft()
        if network.reset_probability and network.random_source.random() < network.reset_probability:
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
            loop.call_outside(USER_TIMEOUT_S, self._time_out, self._stalled_since)

    def _time_out(self, since: float) -> None:
        if self._stalled_since == since and not self.connection.closed:
            self.connection.drop_end(self.source, "timed out")

    def flush(self) -> None:
        """The way may be open again: sent again after a while."""
        network = self.connection.network
        if self._stalled_since is not None and network.reaches(self.source, self.target):
            self._stalled_since = None
            again = network.loop.time() + network.random_source.uniform(0.0, 0.4)
            self.frames[0] = (again, self.frames[0][1])
            self.schedule()


class SimulatedConnection:
    """A connection from one process to the address of another."""

    def __init__(
        self, network: SimulatedNetwork, client: SimulatedTransport, server: SimulatedTransport
    ) -> None:
        self.network = network
        self.client = client
        self.server = server
        self.client_host = host_of(client.address)
        self.server_host = host_of(server.address)
        self.closed = False
        self.misdirected = False  # another process than the one meant is there
        self.bytes_received = 0
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self._outbound = _Direction(self, self.client_host, self.server_host, self._to_server)
        self._inbound = _Direction(self, self.server_host, self.client_host, self._to_client)
        network.connections.append(self)

    @property
    def is_usable(self) -> bool:
        """Whether the connection stands and leads to the process meant."""
        return not self.closed and not self.misdirected

    def send_request(self, number: int, kind: int, message: Any) -> None:
        """Send from the client's end, with the greeting that is in force on the connection."""
        peers = self.client.peers
        hello = Hello(peers.own, peers.meant(self.server.address, message))
        self._outbound.send(encode([number, kind, message, hello]))

    def _to_server(self, frame: bytes) -> None:
        if not self.server.process.alive or self.server.closed:
            self.reset()
            return
        number, kind, message, hello = decode(frame)
        reason = self.server.peers.refusal(hello, message)
        if reason:
            self.server.peers.refuse(hello, reason)
            self._inbound.send(encode([number, REFUSED, self.server.peers.own]))
            return
        if self.network.observer is not None:
            self.network.observer(self.client.address, self.server.address, message)
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
            self._inbound.send(encode([number, kind, answer]))

    def _to_client(self, frame: bytes) -> None:
        if not self.client.process.alive:
            return
        self.bytes_received += len(frame)
        number, kind, answer = decode(frame)
        if kind == REFUSED:
            self._refused(number, answer)
            return
        future = self.pending.pop(number, None)
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
        future = self.pending.pop(number, None)
        if future is not None:
            fail_call(future, WrongPeer("call", self.server.address, found))
        if not self.pending:
            self.abort()

    def flush(self) -> None:
        """Go on with frames that a cut held up."""
        self._outbound.flush()
        self._inbound.flush()

    def reset(self) -> None:
        """The connection breaks: what has not arrived is lost, waiting calls fail."""
        self.abort()
        self.fail_pending("connection reset")

    def abort(self) -> None:
        """Drop it without failing the client's calls (its own process does so)."""
        self.closed = True
        self._outbound.frames.clear()
        self._inbound.frames.clear()
        if self in self.network.connections:
            self.network.connections.remove(self)

    def drop_end(self, host: str, reason: str) -> None:
        """One end gives the connection up."""
        self.abort()
        if host == self.client_host:
            self.fail_pending(reason)

    def fail_pending(self, reason: str) -> None:
        """All calls that wait for an answer fail."""
        pending, self.pending = self.pending, {}
        for future in pending.values():
            fail_call(future, PeerError("call", self.server.address, reason))

    def host_lost_power(self, host: str) -> None:
        """Whatever that host had on the way or to be sent is gone; the other end hears nothing."""
        if host == self.client_host:
            self.abort()
        elif host == self.server_host:
            self._inbound.frames.clear()

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

    def __init__(self, network: SimulatedNetwork, process: SimulatedProcess, address: str) -> None:
        self.network = network
        self.process = process
        self.address = address
        self.peers = PeerDirectory()
        self.handler: Handler | None = None
        self.closed = False
        self._numbers = itertools.count(1)
        self._connections: dict[str, SimulatedConnection] = {}
        self._connecting: dict[str, asyncio.Future[SimulatedConnection]] = {}

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
        return connection is not None and connection.is_usable

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """The answer of the process at `address`; `PeerError` where none came in time."""
        step = type(message).__name__
        loop = self.network.loop
        deadline = loop.time() + timeout
        connection = await self._connection(address, step, timeout)
        number = next(self._numbers) * (MAX_TAG + 1) + tag_of(message)
        future: asyncio.Future[Any] = loop.create_future()
        connection.pending[number] = future
        received = connection.bytes_received
        connection.send_request(number, REQUEST, message)
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
            connection.pending.pop(number, None)

    def send(self, address: str, message: Any) -> None:
        """Send without an answer; lost where the peer cannot be reached."""
        encode(message)  # a message that cannot be encoded is the sender's fault, found here
        connection = self._connections.get(address)
        if connection is not None and connection.is_usable:
            connection.send_request(0, ONE_WAY, message)
            return
        self.process.run(self._send_later(address, message))

    async def _send_later(self, address: str, message: Any) -> None:
        try:
            connection = await self._connection(address, type(message).__name__, CONNECT_TIMEOUT_S)
        except PeerError:
            return
        connection.send_request(0, ONE_WAY, message)

    async def _connection(self, address: str, step: str, timeout: float) -> SimulatedConnection:
        connection = self._connections.get(address)
        if connection is not None and connection.is_usable:
            return connection
        future = self._connecting.get(address)
        if future is None:
            future = self.network.loop.create_future()
            self._connecting[address] = future
            self._begin_connect(address, future)
        try:
            return await asyncio.wait_for(asyncio.shield(future), min(timeout, CONNECT_TIMEOUT_S))
        except TimeoutError:
            raise PeerError(step, address, "no connection in time", sent=False) from None
        except ConnectionError as error:
            raise PeerError(step, address, f"no connection: {error}", sent=False) from None

    def _begin_connect(self, address: str, future: asyncio.Future[SimulatedConnection]) -> None:
        loop = self.network.loop
        loop.call_outside(self.network.delay(), self._reach_peer, address, future)
        loop.call_outside(CONNECT_TIMEOUT_S, self._fail_connect, address, future, "timed out")

    def _reach_peer(self, address: str, future: asyncio.Future[SimulatedConnection]) -> None:
        here, there = host_of(self.address), host_of(address)
        network = self.network
        if network.rejects(here, there):
            network.loop.call_outside(network.delay(), self._fail_connect, address, future, "refused")
            return
        if not (network.reaches(here, there) and network.reaches(there, here)):
            return
        listener = network.listeners.get(address)
        if listener is None:
            network.loop.call_outside(network.delay(), self._fail_connect, address, future, "refused")
            return
        network.loop.call_outside(network.delay(), self._complete_connect, address, future, listener)

    def _complete_connect(
        self, address: str, future: asyncio.Future[SimulatedConnection], server: SimulatedTransport
    ) -> None:
        if future.done() or not self.process.alive:
            return
        self._connecting.pop(address, None)
        connection = SimulatedConnection(self.network, self, server)
        self._connections[address] = connection
        future.set_result(connection)

    def _fail_connect(self, address: str, future: asyncio.Future[SimulatedConnection], reason: str) -> None:
        if future.done():
            return
        self._connecting.pop(address, None)
        future.set_exception(ConnectionError(reason))
        future.exception()  # read: nobody may be waiting any more
