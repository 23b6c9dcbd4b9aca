"""The transport over TCP.  A frame is a length and a MessagePack array [call number, kind, message].

A process opens one connection to each peer that it calls and receives the responses on the same connection.
If a call times out and no byte has arrived on its connection since the call was sent, the caller drops the
connection, so that the next call opens a new one.

The first frame on a connection is a `Hello` with the identities of the caller and of the intended receiver.
The caller sends another `Hello` before the next message when it has learnt another identity for the address.
If the `Hello` is addressed to another process, the receiver rejects the messages after it with a `REFUSED`
frame, except messages that any process may accept, and the caller stops using the connection.

A response is matched to the pending call with its number on its connection.  The low bits of the number are
the tag of the request's type, so a response to a request of another type matches no call.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import socket
import struct
from contextlib import suppress
from typing import Any, NamedTuple, cast

from hollowusher.protocol.codec import MAX_TAG, DecodeError, decode, encode, tag_of
from hollowusher.protocol.identity import Hello, Identity
from hollowusher.transport.accepted_connections import MAX_FIRST_FRAME_BYTES, AcceptedConnections
from hollowusher.transport.connection_table import ServerLimits, peer_limits
from hollowusher.transport.interface import Handler, PeerError, WrongPeer, fail_call
from hollowusher.transport.peers import PeerDirectory, matches_exactly

ONE_WAY, REQUEST, ANSWER, FAILURE, HELLO, REFUSED = range(6)
LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_UNSENT_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
UNREAD_HIGH_WATER_BYTES = 1024 * 1024  # of responses to one caller; its requests wait from here on
MAX_HANDLED_OF_MEMBER = 4096  # messages of one connection that are handled at a time
MAX_HANDLED_OF_STRANGER = 64  # the same for a caller that does not name this process's cluster
FRAMES_PER_PART = 16  # frames of such a caller that are processed at a time
MAX_HELLOS_IN_A_ROW = 16  # callers send one before a message, when an identity has changed
DEFAULT_MEMORY_MB = 256
DEFAULT_MAX_FDS = 4096
USER_TIMEOUT_MS = 3_000


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address "host:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class _FrameProtocol(asyncio.Protocol):
    """Splits the byte stream into frames and decodes them; a malformed frame closes the connection."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.bytes_received = 0
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # the transport class of uvloop is not a subclass
        self.transport.set_write_buffer_limits(high=UNREAD_HIGH_WATER_BYTES)
        _set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        self.bytes_received += len(data)
        is_new = not self._buffer
        self._buffer += data
        self.process_frames(is_new)

    def process_frames(self, is_new: bool, max_frames: float = math.inf) -> bool:
        """Process received frames, and return whether there may be more that can be processed now.

        `is_new`: the bytes of the first one have just begun to arrive."""
        buffer = self._buffer
        start = 0
        frames = 0
        while self.may_process and frames < max_frames and len(buffer) - start >= LENGTH.size:
            frames += 1
            (length,) = LENGTH.unpack_from(buffer, start)
            if length > self.max_frame_bytes:
                self.refuse_frame()
                return False
            end = start + LENGTH.size + length
            if len(buffer) < end:
                break
            try:
                number, kind, message = decode(bytes(buffer[start + LENGTH.size : end]))
            except (DecodeError, TypeError, ValueError):
                self.refuse_frame()
                return False
            start = end
            self.frame_received(number, kind, message)
        del buffer[:start]
        self.frame_begun(len(buffer), is_new or start > 0)
        return frames == max_frames and self.may_process

    @property
    def may_process(self) -> bool:
        """Whether the next frame may be processed now."""
        return True

    @property
    def max_frame_bytes(self) -> int:
        """The length of the longest frame that the connection accepts now."""
        return MAX_FRAME_BYTES

    def refuse_frame(self) -> None:
        """Close the connection, whose peer has sent a malformed frame."""
        self._drop()

    def frame_begun(self, size: int, is_new: bool) -> None:
        """Note that `size` bytes of an incomplete frame are held; `is_new`: it has just begun."""

    def frame_received(self, number: int, kind: int, message: Any) -> None:
        """Process one received frame."""
        raise NotImplementedError

    def write_frame(self, number: int, kind: int, message: Any) -> None:
        """Send one frame if the connection is open."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        data = encode([number, kind, message])
        transport.write(LENGTH.pack(len(data)) + data)

    @property
    def usable(self) -> bool:
        """Whether the connection is open and not closing."""
        return self.transport is not None and not self.transport.is_closing()

    def _drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _ServerConnection(_FrameProtocol):
    """A connection that a peer opened."""

    def __init__(self, owner: TcpTransport) -> None:
        super().__init__()
        self._owner = owner
        self._has_frame = False  # the first frame has arrived
        self._is_introduced = False  # the first frame was noted
        self._held_bytes = 0  # of an incomplete frame
        self._is_unread = False  # the caller does not read its responses
        self._is_held_back = False  # reading is paused
        self._handled = 0  # messages that are being handled
        self._max_handled = MAX_HANDLED_OF_STRANGER
        self._is_member = False  # the caller names this process's cluster
        self._hellos_in_a_row = 0
        self._hello: Hello | None = None  # None: the caller accepts any process
        self._exact_identity: Identity | None = None  # own identity if `Hello.meant` matches it, else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._owner.accepted.add(self)
        self._owner.inbound.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.accepted.discard(self)
        self._owner.inbound.closed(self)
        self._buffer.clear()

    def data_received(self, data: bytes) -> None:
        self.bytes_received += len(data)
        is_new = not self._buffer
        self._buffer += data
        if self._is_member:
            self.process_frames(is_new)
            self._hold_back()
        else:
            self.frame_begun(len(self._buffer), is_new)
            self._continue()

    def process_part(self) -> bool:
        """Process a few frames, or all of them if the caller is a member by now; see `FairQueue`."""
        has_more = self.process_frames(is_new=False, max_frames=FRAMES_PER_PART)
        if has_more and self._is_member:
            has_more = self.process_frames(is_new=False)
        if not has_more:
            self._hold_back()
        return has_more

    def fail(self, error: Exception) -> None:
        """Report an exception of `process_part`, and close the connection."""
        context = {"message": "a received frame was not processed", "exception": error, "protocol": self}
        asyncio.get_running_loop().call_exception_handler(context)
        self.abort()

    def pause_writing(self) -> None:
        """Process no more requests until the caller has read its responses."""
        self._is_unread = True
        self._note_unsent()

    def resume_writing(self) -> None:
        """Process the requests that have waited."""
        self._is_unread = False
        self._owner.inbound.sent(self)
        self._continue()

    @property
    def may_process(self) -> bool:
        """Whether the caller reads its responses and has not too many messages that are being handled."""
        return not self._is_unread and self._handled < self._max_handled and self.usable

    def _continue(self) -> None:
        """Process waiting frames, those of strangers in turn, and read on if none wait."""
        if not self.usable:
            return
        if self._is_member:
            self.process_part()
        else:
            self._owner.inbound.frame_queue.add(self)
            self._hold_back()

    def _hold_back(self) -> None:
        """Pause or resume reading."""
        is_held_back = not self.may_process or self in self._owner.inbound.frame_queue
        if self.transport is None or self._is_held_back == is_held_back:
            return
        self._is_held_back = is_held_back
        if self._is_held_back:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    @property
    def max_frame_bytes(self) -> int:
        """The length of the longest frame; the first one, which introduces the caller, is short."""
        limit = self._owner.inbound.limits.max_received_bytes
        return min(MAX_FRAME_BYTES, limit) if self._has_frame else MAX_FIRST_FRAME_BYTES

    def refuse_frame(self) -> None:
        """Close the connection, whose peer has sent a malformed frame."""
        self._owner.inbound.refuse_frame(self)

    def frame_begun(self, size: int, is_new: bool) -> None:
        """Note the bytes of an incomplete frame; the first one keeps the time limit of the connection."""
        if size or self._held_bytes or not self._is_introduced:
            self._held_bytes = size
            self._is_introduced = self._has_frame
            self._owner.inbound.hold_frame(self, size, is_new and self._has_frame)

    def abort(self) -> None:
        """Close the connection without sending what is unsent."""
        self._drop()

    def write_frame(self, number: int, kind: int, message: Any) -> None:
        """Send one frame if the connection is open."""
        super().write_frame(number, kind, message)
        if self._is_unread:
            self._note_unsent()

    def _note_unsent(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._owner.inbound.hold_unsent(self, self.transport.get_write_buffer_size())

    def frame_received(self, number: int, kind: int, message: Any) -> None:
        self._has_frame = True
        if kind == HELLO:
            self._introduce(message)
            return
        self._hellos_in_a_row = 0
        if kind in (ONE_WAY, REQUEST) and not self._reject_misdirected(number, message):
            self._handled += 1
            self._owner.run(self._handle(number, kind, message))

    def _introduce(self, message: Any) -> None:
        """Note the identities of the caller and of the intended receiver."""
        self._hellos_in_a_row += 1
        if not isinstance(message, Hello) or self._hellos_in_a_row > MAX_HELLOS_IN_A_ROW:
            self.refuse_frame()
            return
        self._hello = message
        own = self._owner.peers.own
        self._exact_identity = own if matches_exactly(message.meant, own) else None
        if self._owner.inbound.introduced(self, message, own):
            self._is_member = True
            self._max_handled = MAX_HANDLED_OF_MEMBER

    def _reject_misdirected(self, number: int, message: Any) -> bool:
        """Reject a message that is intended for another process; return whether it was rejected."""
        hello, peers = self._hello, self._owner.peers
        if hello is None or self._exact_identity is peers.own:
            return False
        reason = peers.rejection_reason(hello, message)
        if not reason:
            return False
        peers.record_rejection(hello, reason)
        self.write_frame(number, REFUSED, peers.own)
        return True

    async def _handle(self, number: int, kind: int, message: Any) -> None:
        try:
            await self._respond(number, kind, message)
        finally:
            self._handled -= 1
            if self._is_held_back and self._handled == self._max_handled // 2:
                self._continue()

    async def _respond(self, number: int, kind: int, message: Any) -> None:
        handler = self._owner.handler
        if handler is None:
            return
        try:
            answer = await handler(message)
        except Exception as error:
            self._owner.failed_handlers += 1
            self._owner.report_failure(message, error)
            if kind == REQUEST:
                self.write_frame(number, FAILURE, f"{type(error).__name__}: {error}")
            return
        if kind == REQUEST:
            self.write_frame(number, ANSWER, answer)


class _ClientConnection(_FrameProtocol):
    """A connection to a peer, with the pending calls on it."""

    def __init__(self, peer: str, directory: PeerDirectory) -> None:
        super().__init__()
        self.peer = peer
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.misdirected = False  # the peer is not the intended process
        self._directory = directory
        self._greeted: tuple[Identity, Identity] | None = None  # caller and intended peer of the last `Hello`

    @property
    def usable(self) -> bool:
        """Whether the connection is open, not closing, and leads to the intended process."""
        return super().usable and not self.misdirected

    def send_message(self, number: int, kind: int, message: Any) -> None:
        """Send a message, preceded by a `Hello` if an identity has changed since the last `Hello`."""
        directory = self._directory
        meant = directory.intended_peer(self.peer, message)
        greeted = self._greeted
        if greeted is None or greeted[1] is not meant or greeted[0] is not directory.own:
            self._greeted = (directory.own, meant)
            self.write_frame(0, HELLO, Hello(directory.own, meant))
        self.write_frame(number, kind, message)

    def give_up(self) -> None:
        """Abort the connection because the peer is silent; further calls open a new one."""
        self._drop()

    def call_ended(self, number: int) -> None:
        """Remove a call that has ended; close a misdirected connection after its last call."""
        self.waiting.pop(number, None)
        if self.misdirected and not self.waiting:
            self._drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        for future in self.waiting.values():
            fail_call(future, PeerError("call", self.peer, "connection lost"))
        self.waiting.clear()

    def frame_received(self, number: int, kind: int, message: Any) -> None:
        if kind == REFUSED and isinstance(message, Identity):
            self._handle_rejection(number, message)
            return
        future = self.waiting.pop(number, None)
        if future is None or future.done():
            self._directory.figures.answers_dropped += 1
        elif kind == ANSWER:
            future.set_result(message)
        else:
            fail_call(future, PeerError("call", self.peer, f"peer failed: {message}"))

    def _handle_rejection(self, number: int, found: Identity) -> None:
        """Fail a call that the peer rejected.

        The connection stays open until the calls that the peer accepted before have ended.
        """
        self._directory.figures.misdirected += 1
        self.misdirected = True
        future = self.waiting.pop(number, None)
        if future is not None:
            fail_call(future, WrongPeer("call", self.peer, found))
        if not self.waiting:
            self._drop()


class _ConnectionAttempt(NamedTuple):
    """An attempt to connect, and the member at the address when it began."""

    task: asyncio.Task[_ClientConnection]
    member: Identity | None


class TcpTransport:
    """The transport of one process, which listens on `address` ("ip:port")."""

    def __init__(self, address: str, limits: ServerLimits | None = None) -> None:
        self.address = address
        self.peers = PeerDirectory()
        self.handler: Handler | None = None
        self.inbound = AcceptedConnections(limits or peer_limits(DEFAULT_MEMORY_MB, DEFAULT_MAX_FDS))
        self.accepted: set[_ServerConnection] = set()
        self.failed_handlers = 0
        self.on_failure: Any = None  # called with (message, error) when a handler fails
        self._numbers = itertools.count(1)
        self._connections: dict[str, _ClientConnection] = {}
        self._connecting: dict[str, _ConnectionAttempt] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, handler: Handler) -> None:
        """Listen, and pass each received message to `handler`."""
        self.handler = handler
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, port, backlog=self.inbound.limits.backlog
        )

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for accepted in list(self.accepted):
            if accepted.transport is not None:
                accepted.transport.close()
        for connection in list(self._connections.values()):
            if connection.transport is not None:
                connection.transport.close()
        for task in list(self._tasks):
            task.cancel()

    def run(self, work: Any) -> None:
        """Run a coroutine as a task; the reference held here keeps it from being garbage-collected."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def report_failure(self, message: Any, error: Exception) -> None:
        """Call `on_failure` with the exception that a handler raised."""
        if self.on_failure is not None:
            self.on_failure(message, error)

    def connected(self, address: str) -> bool:
        """Return whether a usable connection to the peer is open."""
        connection = self._connections.get(address)
        return connection is not None and connection.usable

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Send a request to the process at `address` and return its response.

        Raises
        ------
        WrongPeer
            If another process than the intended one is at the address.
        PeerError
            If no response arrived within `timeout` seconds or the handler failed.
        """
        step = type(message).__name__
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection = self._connections.get(address)
        if connection is None or not connection.usable:
            connection = await self._connect(address, step, timeout)
        if connection.transport is None:
            raise PeerError(step, address, "connection lost", sent=False)
        if connection.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise PeerError(step, address, "too many unsent bytes", sent=False)
        number = next(self._numbers) * (MAX_TAG + 1) + tag_of(message)
        future: asyncio.Future[Any] = loop.create_future()
        connection.waiting[number] = future
        received = connection.bytes_received
        connection.send_message(number, REQUEST, message)
        try:
            async with asyncio.timeout_at(deadline):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled() and future.exception() is None:
                return future.result()  # the response arrived in the same event loop turn as the timeout
            if connection.bytes_received == received:
                connection.give_up()
            raise PeerError(step, address, f"no answer in {timeout:.3g} s") from None
        except WrongPeer as error:
            raise WrongPeer(step, address, error.found) from None
        except PeerError as error:
            raise PeerError(step, address, error.reason) from None
        finally:
            connection.call_ended(number)

    def send(self, address: str, message: Any) -> None:
        """Send a one-way message; it is lost if the peer cannot be reached."""
        connection = self._connections.get(address)
        if connection is not None and connection.usable:
            connection.send_message(0, ONE_WAY, message)
            return
        self.run(self._send_later(address, message))

    async def _send_later(self, address: str, message: Any) -> None:
        with suppress(PeerError):
            connection = await self._connect(address, type(message).__name__, CONNECT_TIMEOUT_S)
            connection.send_message(0, ONE_WAY, message)

    async def _connect(self, address: str, step: str, timeout: float) -> _ClientConnection:
        attempt = self._attempt(address)
        try:
            connection = await asyncio.wait_for(asyncio.shield(attempt.task), timeout)
        except TimeoutError:
            raise PeerError(step, address, "no connection in time", sent=False) from None
        except OSError as error:
            raise PeerError(step, address, f"no connection: {error}", sent=False) from None
        return self._connections[address] if self.connected(address) else connection

    def _attempt(self, address: str) -> _ConnectionAttempt:
        """Return the attempt to connect that is under way, or begin one.

        An attempt that began before the present member registered may wait for a machine without power until
        it times out, so it is not waited for.
        """
        member = self.peers.member_at(address)
        attempt = self._connecting.get(address)
        if attempt is None or attempt.member != member:
            task = asyncio.get_running_loop().create_task(self._open(address))
            attempt = self._connecting[address] = _ConnectionAttempt(task, member)
            task.add_done_callback(lambda done: self._connected(address, done))
        return attempt

    def _connected(self, address: str, task: asyncio.Task[_ClientConnection]) -> None:
        attempt = self._connecting.get(address)
        if attempt is not None and attempt.task is task:
            del self._connecting[address]
        if task.cancelled() or task.exception() is not None:
            return
        connection = task.result()
        if self.connected(address):
            connection.give_up()  # a later attempt was faster
        else:
            self._connections[address] = connection

    async def _open(self, address: str) -> _ClientConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        opening = loop.create_connection(lambda: _ClientConnection(address, self.peers), host, port)
        _, connection = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        return connection


def _set_socket_options(sock: socket.socket | None) -> None:
    """Disable Nagle's algorithm, and bound the time that sent bytes may stay unacknowledged."""
    if sock is None:
        return
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
