"""The transport of one simulated process, with the interface of `hollowusher.transport`."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

from hollowusher.protocol.codec import MAX_TAG, encode, tag_of
from hollowusher.protocol.identity import Identity
from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.connection import ONE_WAY, REQUEST, SimulatedConnection
from hollowusher.simulation.event_loop import SimulatedProcess
from hollowusher.transport.interface import Handler, PeerError, WrongPeer
from hollowusher.transport.peers import PeerDirectory

if TYPE_CHECKING:
    from hollowusher.simulation.network import SimulatedNetwork

CONNECT_TIMEOUT_S = 1.0


class _ConnectionAttempt(NamedTuple):
    """An attempt to connect, and the member at the address when it began."""

    future: asyncio.Future[SimulatedConnection]
    member: Identity | None


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
        self._connecting: dict[str, _ConnectionAttempt] = {}

    async def start(self, handler: Handler) -> None:
        """Listen, and pass each message that arrives to `handler`."""
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

    async def call(self, address: str, message: object, timeout: float) -> Any:
        """Send a request and return the answer.

        Raises
        ------
        PeerError
            If no answer came within `timeout` seconds; `WrongPeer` if another process is at the address.
        """
        step = type(message).__name__
        loop = self.network.loop
        deadline = loop.time() + timeout
        connection = await self._connection(address, step, timeout)
        number = next(self._numbers) * (MAX_TAG + 1) + tag_of(message)
        future: asyncio.Future[Any] = loop.create_future()
        connection.pending[number] = future
        received = connection.bytes_received
        judge, caller = self.network.fencing_judge, repr(self.process)
        judge.on_request(caller, message, loop.time())
        connection.send_request(number, REQUEST, message)
        try:
            async with asyncio.timeout_at(deadline):
                answer = await future
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
        judge.on_answer(caller, message, answer, loop.time())
        return answer

    def send(self, address: str, message: object) -> None:
        """Send without an answer; lost where the peer cannot be reached."""
        encode(message)  # a message that cannot be encoded is the sender's fault, found here
        connection = self._connections.get(address)
        if connection is not None and connection.is_usable:
            connection.send_request(0, ONE_WAY, message)
            return
        self.process.run(self._send_later(address, message))

    async def _send_later(self, address: str, message: object) -> None:
        try:
            connection = await self._connection(address, type(message).__name__, CONNECT_TIMEOUT_S)
        except PeerError:
            return
        connection.send_request(0, ONE_WAY, message)

    async def _connection(self, address: str, step: str, timeout: float) -> SimulatedConnection:
        connection = self._connections.get(address)
        if connection is not None and connection.is_usable:
            return connection
        member = self.peers.member_at(address)
        attempt = self._connecting.get(address)
        if attempt is None or attempt.member != member:
            attempt = _ConnectionAttempt(self.network.loop.create_future(), member)
            self._connecting[address] = attempt
            self._begin_connect(address, attempt.future)
        try:
            return await asyncio.wait_for(asyncio.shield(attempt.future), min(timeout, CONNECT_TIMEOUT_S))
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
        self._end_attempt(address, future)
        if not self.connected(address):
            self._connections[address] = SimulatedConnection(self.network, self, server)
        future.set_result(self._connections[address])

    def _end_attempt(self, address: str, future: asyncio.Future[SimulatedConnection]) -> None:
        attempt = self._connecting.get(address)
        if attempt is not None and attempt.future is future:
            del self._connecting[address]

    def _fail_connect(self, address: str, future: asyncio.Future[SimulatedConnection], reason: str) -> None:
        if future.done():
            return
        self._end_attempt(address, future)
        future.set_exception(ConnectionError(reason))
        future.exception()  # read: nobody may be waiting any more
