"""A STOMP connection for client or server: receives frames, writes a queue of frames, keeps heart-beats."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum

from hollowusher.scheduler.fronts.stomp.frames import Frame, FrameError, FrameReader, encode
from hollowusher.scheduler.net.link import Link

WRITE_TIMEOUT_S = 10.0  # timeout for writing one frame to a peer that reads slowly
# A peer times out after this multiple of its heart-beat interval, because heart-beats may arrive late.
HEARTBEAT_GRACE = 2.0


class WriteResult(Enum):
    """The final state of an outgoing frame."""

    WRITTEN = "written"  # its last byte is written
    WITHHELD = "withheld"  # no byte of it was written
    BROKEN = "broken"  # the connection broke before its last byte was written


@dataclass(slots=True)
class OutgoingFrame:
    """A frame in the write queue.

    `may_write` is called just before the first byte; if it returns False, the frame is dropped.
    `on_result` is called once with the frame's final state."""

    frame: Frame
    may_write: Callable[[], bool] | None = None
    on_result: Callable[[WriteResult], None] | None = None

    def report(self, result: WriteResult) -> None:
        """Pass the final state to the callback, once."""
        if self.on_result is not None:
            on_result, self.on_result = self.on_result, None
            on_result(result)


def read_heartbeat(frame: Frame) -> tuple[int, int]:
    """Parse the heart-beat header of CONNECT or CONNECTED.

    Returns the intervals in milliseconds at which the peer can send heart-beats and wants to receive them.
    Raises FrameError if the header is malformed."""
    text = frame.headers.get("heart-beat", "0,0")
    parts = text.split(",")
    if len(parts) != 2 or not all(p.isascii() and p.isdigit() and len(p) < 10 for p in parts):
        raise FrameError("heart-beat must be two integers")
    return int(parts[0]), int(parts[1])


class StompLink:
    """Reads and writes frames on one connection.

    `frame_timeout_s` is the timeout in seconds for receiving one frame.  `write` runs as a separate task, so
    that a peer that reads slowly delays only its own connection."""

    def __init__(self, link: Link, commands: Collection[str], frame_timeout_s: float | None = None) -> None:
        self._link, self._frame_timeout_s = link, frame_timeout_s
        self._reader = FrameReader(commands)
        self._queue: asyncio.Queue[OutgoingFrame | None] = asyncio.Queue()
        self._heartbeat_s: float | None = None  # interval of the heart-beats that this side sends
        self._begun_at = asyncio.get_running_loop().time()
        self._idle_timeout_s: float | None = None  # the connection times out after this time without data
        self.ended = False

    def negotiate_heartbeats(self, ours_ms: int, theirs: tuple[int, int]) -> None:
        """Set the heart-beat intervals by the specification.

        Each direction uses the larger of the interval that the sender offers and the interval that the
        receiver wants.  `ours_ms` is both for this side; `theirs` comes from `read_heartbeat`."""
        can, want = theirs
        self._heartbeat_s = max(ours_ms, want) / 1000 if ours_ms and want else None
        self._idle_timeout_s = HEARTBEAT_GRACE * max(can, ours_ms) / 1000 if can and ours_ms else None

    async def receive(self) -> Frame:
        """Return the next frame.

        Raises OSError if the peer closed the connection or its heart-beats timed out.  Raises FrameError if
        a frame is invalid or is not completed in time; a partial frame must not keep a connection open."""
        reader, loop = self._reader, asyncio.get_running_loop()
        while not reader.ready:
            timeout_s, left, begun = self._idle_timeout_s, None, reader.begun
            if begun and self._frame_timeout_s is not None:
                left = self._begun_at + self._frame_timeout_s - loop.time()
                timeout_s = left if timeout_s is None else min(left, timeout_s)
            try:
                async with asyncio.timeout(timeout_s):
                    await self._link.pass_on(reader.feed)
            except TimeoutError:
                if left is not None and timeout_s == left:
                    raise FrameError("the frame was not received in time") from None
                raise
            if not begun:
                self._begun_at = loop.time()
        self._begun_at = loop.time()  # a part of the next frame may just have arrived with this one
        return reader.ready.popleft()

    def peer_closed(self) -> bool:
        """Return whether the peer has closed the connection, even if frames before the close are unread."""
        return self._link.ended()

    async def linger(self, most_s: float) -> None:
        """Close the sending direction and give the peer up to `most_s` seconds to read the last frames."""
        await self._link.linger(most_s)

    def put(self, frame: Frame) -> None:
        """Add a frame to the write queue."""
        self.put_outgoing(OutgoingFrame(frame))

    def put_outgoing(self, out: OutgoingFrame) -> None:
        """Add a frame with callbacks to the write queue."""
        if self.ended:
            out.report(WriteResult.BROKEN)
        else:
            self._queue.put_nowait(out)

    def finish(self) -> None:
        """End `write` after all frames in the queue are written."""
        self._queue.put_nowait(None)

    async def write(self) -> None:
        """Write queued frames and heart-beats until `finish`.  Raises OSError if the connection breaks."""
        out: OutgoingFrame | None = None
        try:
            while True:
                try:
                    async with asyncio.timeout(self._heartbeat_s):
                        out = await self._queue.get()
                except TimeoutError:
                    await self._send(b"\n")
                    continue
                if out is None:
                    return
                if out.may_write is not None and not out.may_write():
                    out.report(WriteResult.WITHHELD)
                    continue
                await self._send(encode(out.frame), out.frame.body, b"\0")
                out.report(WriteResult.WRITTEN)
        finally:
            self.ended = True
            if out is not None:
                out.report(WriteResult.BROKEN)
            while not self._queue.empty():
                if (out := self._queue.get_nowait()) is not None:
                    out.report(WriteResult.BROKEN)

    async def _send(self, *parts: bytes) -> None:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self._link.send(*parts)

    def close(self) -> None:
        """Close the connection."""
        self.ended = True
        self._link.close()
