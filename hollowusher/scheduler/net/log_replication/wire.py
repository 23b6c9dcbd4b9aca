"""Streams between schedulers: a head that names version and sender, then framed messages."""

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
MOST_FRAME = 8 * 1024 * 1024
MOST_QUEUE = 16 * 1024 * 1024  # bytes that wait for a slow copy; what is beyond is said again later
CONNECT_S, AGAIN_S = 1.0, 0.2
MOST_STREAMS = 64  # from others, at a time
_HEAD = struct.Struct(">II")
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def frame(message: Message) -> bytes:
    """A message's bytes."""
    body = _encoder.encode(message)
    return _HEAD.pack(len(body), xxhash.xxh32_intdigest(body)) + body


class Frames:
    """Bytes in, messages out; ValueError at the first that is none."""

    def __init__(self) -> None:
        self._held = bytearray()

    def feed(self, piece: memoryview | bytes) -> list[Message]:
        """What is whole by now."""
        self._held += piece
        found: list[Message] = []
        at = 0
        while len(self._held) - at >= _HEAD.size:
            size, checksum = _HEAD.unpack_from(self._held, at)
            if size > MOST_FRAME:
                raise ValueError(f"a frame of {size} bytes")
            if len(self._held) - at - _HEAD.size < size:
                break
            body = bytes(self._held[at + _HEAD.size : at + _HEAD.size + size])
            if xxhash.xxh32_intdigest(body) != checksum:
                raise ValueError("a frame's checksum does not fit")
            try:
                found.append(_decoder.decode(body))
            except msgspec.DecodeError as wrong:
                raise ValueError(f"a frame cannot be read: {wrong}") from None
            at += _HEAD.size + size
        del self._held[:at]
        return found


class OutgoingStream:
    """What goes to one other scheduler: its own queue and task, so that a slow one holds up nobody else."""

    def __init__(self, name: str, me: str, address: Address) -> None:
        self.name, self._me, self.address = name, me, address
        self._queue: deque[bytes] = deque()
        self._queued = 0
        self._more = asyncio.Event()
        self.dropped = 0
        self.connected = False
        self.task = asyncio.create_task(self._run())

    def put(self, data: bytes) -> None:
        """Send it when there is a way; what finds no room is dropped, as by a network."""
        if self._queued + len(data) > MOST_QUEUE:
            self.dropped += 1
            return
        self._queue.append(data)
        self._queued += len(data)
        self._more.set()

    async def _run(self) -> None:
        while True:
            link: Link | None = None
            try:
                link = await connect(self.address, CONNECT_S)
                await link.send(MAGIC + self._me.encode() + b"\n")
                self.connected = True
                await self._pass(link)
            except OSError:
                pass
            finally:
                self.connected = False
                if link is not None:
                    link.close()
            self._queue.clear()  # it is old by the time there is a way again
            self._queued = 0
            await asyncio.sleep(AGAIN_S)

    async def _pass(self, link: Link) -> None:
        ended = asyncio.create_task(self._until_closed(link))
        try:
            while not ended.done():
                if not self._queue:
                    self._more.clear()
                    more = asyncio.create_task(self._more.wait())
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
                link.inbound.clear()  # nothing is said that way


class Incoming:
    """Accepts the others' streams."""

    def __init__(
        self, address: Address, reported: Callable[[str, Message], None], bad: Callable[[str], None]
    ) -> None:
        self._reported, self._bad = reported, bad
        self._acceptor = ConnectionAcceptor(address, self._serve, MOST_STREAMS)
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
                    raise ValueError("another program, or another version")
                sender, rest = line[len(MAGIC) :].decode("utf-8", "replace"), bytes(after)
            for message in frames.feed(rest):
                self._reported(sender, message)

        try:
            while True:
                await link.pass_on(feed)
        except ValueError as wrong:
            self._bad(f"{sender or 'somebody'}: {wrong}")
        except OSError:
            pass
        finally:
            link.close()
