"""A simulated connection: frames in both directions, in order, with delays, stalls and resets.

Every message is encoded and decoded on its way, so that a message that cannot be encoded fails here too.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hollowusher.protocol.codec import decode, encode
from hollowusher.protocol.identity import Hello, Identity
from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.event_loop import SimulatedProcess
from hollowusher.transport.interface import PeerError, WrongPeer, fail_call

if TYPE_CHECKING:
    from hollowusher.simulation.network import SimulatedNetwork
    from hollowusher.simulation.transport import SimulatedTransport

USER_TIMEOUT_S = 3.0  # unacknowledged bytes end a connection after this, like TCP_USER_TIMEOUT
MIN_RETRANSMISSION_S = 0.4
ONE_WAY, REQUEST, ANSWER, FAILURE, REFUSED = range(5)  # kinds of frames


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
        network.count_bytes(self.source, self.target, len(frame))
        added = network.added_delay_s.get(self.source, 0.0) + network.added_delay_s.get(self.target, 0.0)
        carried_at = network.transmit(self.source, self.target, len(frame))
        arrival = max(carried_at + network.delay() + added, self.last_arrival)
        self.last_arrival = arrival
        self.frames.append((arrival, frame))
        self.schedule()

    def schedule(self) -> None:
        """Schedule the arrival of the first frame, unless it is scheduled already."""
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
        """End the connection after `USER_TIMEOUT_S` unless the link opens again."""
        loop = self.connection.network.loop
        if self._stalled_since is None:
            self._stalled_since = loop.time()
            loop.call_outside(USER_TIMEOUT_S, self._time_out, self._stalled_since)

    def _time_out(self, since: float) -> None:
        if self._stalled_since == since and not self.connection.closed:
            self.connection.drop_end(self.source, "timed out")

    def flush(self) -> None:
        """Send the first frame again after a while if the link is open again.

        TCP doubles the time between its retransmissions (RFC 6298, section 5.5): after a stall the next one
        may come as late as the stall was long.
        """
        network = self.connection.network
        if self._stalled_since is not None and network.reaches(self.source, self.target):
            now = network.loop.time()
            longest_s = max(MIN_RETRANSMISSION_S, now - self._stalled_since)
            self._stalled_since = None
            again = now + network.random_source.uniform(0.0, longest_s)
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

    def send_request(self, number: int, kind: int, message: object) -> None:
        """Send from the client's end, with the greeting that is in force on the connection."""
        peers = self.client.peers
        hello = Hello(peers.own, peers.intended_peer(self.server.address, message))
        self._outbound.send(encode([number, kind, message, hello]))

    def _to_server(self, frame: bytes) -> None:
        if not self.server.process.alive or self.server.closed:
            self.reset()
            return
        number, kind, message, hello = decode(frame)
        reason = self.server.peers.rejection_reason(hello, message)
        if reason:
            self.server.peers.record_rejection(hello, reason)
            self._inbound.send(encode([number, REFUSED, self.server.peers.own]))
            return
        if self.network.observer is not None:
            self.network.observer(self.client.address, self.server.address, message)
        self.server.process.run(self._handle(number, kind, message))

    async def _handle(self, number: int, kind: int, message: object) -> None:
        handler = self.server.handler
        if handler is None:
            return
        try:
            answer = await handler(message)
        except Exception as error:  # noqa: BLE001 - the outermost edge of a handler
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
        """Stop using a connection that leads to another process.

        Calls that were sent before may still be answered.
        """
        self.client.peers.figures.misdirected += 1
        self.misdirected = True
        future = self.pending.pop(number, None)
        if future is not None:
            fail_call(future, WrongPeer("call", self.server.address, found))
        if not self.pending:
            self.abort()

    def flush(self) -> None:
        """Go on with frames that waited for a blocked link."""
        self._outbound.flush()
        self._inbound.flush()

    def reset(self) -> None:
        """Break the connection: what has not arrived is lost, pending calls fail."""
        self.abort()
        self.fail_pending("connection reset")

    def abort(self) -> None:
        """Drop the connection without failing the calls of the client."""
        self.closed = True
        self._outbound.frames.clear()
        self._inbound.frames.clear()
        if self in self.network.connections:
            self.network.connections.remove(self)

    def drop_end(self, host: str, reason: str) -> None:
        """Give the connection up at one end."""
        self.abort()
        if host == self.client_host:
            self.fail_pending(reason)

    def fail_pending(self, reason: str) -> None:
        """Fail all calls that wait for an answer."""
        pending, self.pending = self.pending, {}
        for future in pending.values():
            fail_call(future, PeerError("call", self.server.address, reason))

    def host_lost_power(self, host: str) -> None:
        """Lose what a host without power had still to send; the other end hears nothing."""
        if host == self.client_host:
            self.abort()
        elif host == self.server_host:
            self._inbound.frames.clear()

    def process_ended(self, process: SimulatedProcess) -> None:
        """Close the connection as the kernel of the ended process would."""
        if process is self.client.process:
            self.abort()
        elif process is self.server.process and self.network.reaches(self.server_host, self.client_host):
            self.network.loop.call_outside(self.network.delay(), self._closed_by_server)

    def _closed_by_server(self) -> None:
        if not self.closed:
            self.reset()
