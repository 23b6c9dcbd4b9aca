"""Streams between schedulers: a header line with version and sender, then framed messages."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from collections import deque
from collections.abc import Callable

import msgspec
import xxhash

from hollowusher.scheduler.net.accept import ConnectionAcceptor
from hollowusher.scheduler.net.link import Link, connect
from hollowusher.scheduler.rules.log_replication.job_replication import FindJob, JobFound
from hollowusher.scheduler.rules.log_replication.messages import (
    Append,
    Appended,
    HandBack,
    LearnReply,
    LearnRequest,
    SnapshotChunk,
    SnapshotReceived,
    TakeOver,
    Vote,
    VoteRequest,
)

Address = tuple[str, int]
Message = (
    Append
    | Appended
    | VoteRequest
    | Vote
    | LearnRequest
    | LearnReply
    | SnapshotChunk
    | SnapshotReceived
    | TakeOver
    | HandBack
    | FindJob
    | JobFound
)
MAGIC = b"hollowusher copies wire 1 "
MAX_FRAME_BYTES = 8 * 1024 * 1024
# Bytes queued for one scheduler.  The stream drops further messages, and the protocol resends them.
MAX_QUEUED_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S, RECONNECT_S = 1.0, 0.2
MAX_INCOMING_STREAMS = 64  # number of streams accepted at a time
_HEAD = struct.Struct(">II")
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def frame(message: Message) -> bytes:
    """Encode a message with its length and checksum."""
    body = _encoder.encode(message)
    return _HEAD.pack(len(body), xxhash.xxh32_intdigest(body)) + body


class Frames:
    """Decodes a byte stream into messages."""

    def __init__(self) -> None:
        self._held = bytearray()

    def feed(self, piece: memoryview | bytes) -> list[Message]:
        """Add received bytes and return the complete messages; raises ValueError if a frame is invalid."""
        self._held += piece
        found: list[Message] = []
        at = 0
        while len(self._held) - at >= _HEAD.size:
            size, checksum = _HEAD.unpack_from(self._held, at)
            if size > MAX_FRAME_BYTES:
                raise ValueError(f"a frame of {size} bytes exceeds the maximum size")
            if len(self._held) - at - _HEAD.size < size:
                break
            body = bytes(self._held[at + _HEAD.size : at + _HEAD.size + size])
            if xxhash.xxh32_intdigest(body) != checksum:
                raise ValueError("a frame has an invalid checksum")
            try:
                found.append(_decoder.decode(body))
            except msgspec.DecodeError as error:
                raise ValueError(f"a frame cannot be decoded: {error}") from None
            at += _HEAD.size + size
        del self._held[:at]
        return found


class OutgoingStream:
    """Sends messages to one scheduler, with its own queue and task, so that a slow one delays no other."""

    def __init__(self, name: str, me: str, address: Address) -> None:
        self.name, self._me, self.address = name, me, address
        self._queue: deque[bytes] = deque()
        self._queued = 0
        self._available = asyncio.Event()
        self.dropped = 0
        self.connected = False
        self.task = asyncio.create_task(self._run())

    def put(self, data: bytes) -> None:
        """Queue a frame for sending; drops it if the queue is full, like a lossy network."""
        if self._queued + len(data) > MAX_QUEUED_BYTES:
            self.dropped += 1
            return
        self._queue.append(data)
        self._queued += len(data)
        self._available.set()

    async def _run(self) -> None:
        while True:
            link: Link | None = None
            try:
                link = await connect(self.address, CONNECT_TIMEOUT_S)
                await link.send(MAGIC + self._me.encode() + b"\n")
                self.connected = True
                await self._send_queued(link)
            except OSError:
                pass
            finally:
                self.connected = False
                if link is not None:
                    link.close()
            self._queue.clear()  # the frames would be outdated after the next connect
            self._queued = 0
            await asyncio.sleep(RECONNECT_S)

    async def _send_queued(self, link: Link) -> None:
        ended = asyncio.create_task(self._until_closed(link))
        try:
            while not ended.done():
                if not self._queue:
                    self._available.clear()
                    more = asyncio.create_task(self._available.wait())
                    await asyncio.wait({more, ended}, return_when=asyncio.FIRST_COMPLETED)
                    more.cancel()
                    continue
                pieces = list(self._queue)
                self._queue.clear()
                self._queued = 0
                await link.send(b"".join(pieces))
        finally:
            ended.cancel()

    async def _until_closed(self, link: Link) -> None:
        with contextlib.suppress(OSError):
            while await link.fill():
                link.inbound.clear()  # the receiver sends no data on this stream


class Incoming:
    """Accepts streams of other schedulers and passes each message with its sender to `reported`."""

    def __init__(
        self, address: Address, reported: Callable[[str, Message], None], bad: Callable[[str], None]
    ) -> None:
        self._reported, self._bad = reported, bad
        self._acceptor = ConnectionAcceptor(address, self._serve, MAX_INCOMING_STREAMS)
        self.start, self.stop = self._acceptor.start, self._acceptor.stop

    async def _serve(self, link: Link) -> None:
        frames, head = Frames(), bytearray()
        sender = ""

        def feed(piece: memoryview) -> None:
            nonlocal sender
            rest: memoryview | bytes = piece
            if not sender:
                head.extend(piece)
                line, found, after = head.partition(b"\n")
                if not found and len(head) < 256:
                    return
                if not line.startswith(MAGIC) or not found:
                    raise ValueError("the header is not that of this protocol version")
                sender, rest = line[len(MAGIC) :].decode("utf-8", "replace"), bytes(after)
            for message in frames.feed(rest):
                self._reported(sender, message)

        try:
            while True:
                await link.pass_on(feed)
        except ValueError as error:
            self._bad(f"{sender or 'somebody'}: {error}")
        except OSError:
            pass
        finally:
            link.close()
