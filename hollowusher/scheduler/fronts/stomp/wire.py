"""A STOMP connection, whichever side it is of: frames in, frames out in order, heart-beats both ways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum

from hollowusher.scheduler.fronts.stomp.frames import Frame, FrameError, FrameReader, encode
from hollowusher.scheduler.net.link import Link

WRITE_S = 10.0  # how long the other side may take to read one frame
HEARTBEAT_GRACE = 2.0  # times the promised span that the other side may be silent: its beats may come late


class Fate(Enum):
    """What became of an outgoing frame."""

    WRITTEN = "written"  # its last byte is written
    WITHHELD = "withheld"  # no byte of it was written
    BROKEN = "broken"  # the connection broke before its last byte was written


@dataclass(slots=True)
class OutgoingFrame:
    """A frame on its way out; `may_go` is asked just before its first byte."""

    frame: Frame
    may_go: Callable[[], bool] | None = None
    tell: Callable[[Fate], None] | None = None

    def reported(self, fate: Fate) -> None:
        """Tell whoever waits, once."""
        if self.tell is not None:
            tell, self.tell = self.tell, None
            tell(fate)


def read_heartbeat(frame: Frame) -> tuple[int, int]:
    """The heart-beat header: what the other side can do and what it wants, in milliseconds."""
    text = frame.headers.get("heart-beat", "0,0")
    parts = text.split(",")
    if len(parts) != 2 or not all(p.isascii() and p.isdigit() and len(p) < 10 for p in parts):
        raise FrameError("heart-beat must be two numbers")
    return int(parts[0]), int(parts[1])


class StompLink:
    """Frames over one connection.  The writer is a task of its own, so a slow reader blocks nobody else."""

    def __init__(self, link: Link, commands: Collection[str], frame_s: float | None = None) -> None:
        self._link, self._frame_s = link, frame_s
        self._reader = FrameReader(commands)
        self._queue: asyncio.Queue[OutgoingFrame | None] = asyncio.Queue()
        self._heartbeat_s: float | None = None  # we promise to write something this often
        self._begun_at = asyncio.get_running_loop().time()
        self._idle_timeout_s: float | None = None  # and close when nothing comes for this long
        self.ended = False

    def agree(self, ours_ms: int, theirs: tuple[int, int]) -> None:
        """Settle the heart-beats by the specification: the larger of what one can and the other wants."""
        can, want = theirs
        self._heartbeat_s = max(ours_ms, want) / 1000 if ours_ms and want else None
        self._idle_timeout_s = HEARTBEAT_GRACE * max(can, ours_ms) / 1000 if can and ours_ms else None

    async def receive(self) -> Frame:
        """The next frame; an OSError where the other side ended or fell silent, FrameError where one that was
        begun does not come whole in time: half a frame must not hold a connection."""
        reader, loop = self._reader, asyncio.get_running_loop()
        while not reader.ready:
            patience, left, begun = self._idle_timeout_s, None, reader.begun
            if begun and self._frame_s is not None:
                left = self._begun_at + self._frame_s - loop.time()
                patience = left if patience is None else min(left, patience)
            try:
                async with asyncio.timeout(patience):
                    await self._link.pass_on(reader.feed)
            except TimeoutError:
                if left is not None and patience == left:
                    raise FrameError("the frame did not come in time") from None
                raise
            if not begun:
                self._begun_at = loop.time()
        self._begun_at = loop.time()  # what has come of the next one may have come just now
        return reader.ready.popleft()

    def left(self) -> bool:
        """Whether the other side has ended the connection, also behind frames that nobody has received."""
        return self._link.ended()

    async def linger(self, most_s: float) -> None:
        """End our sending, and give the other side time to read it."""
        await self._link.linger(most_s)

    def put(self, frame: Frame) -> None:
        """Write a frame after those before it."""
        self.put_out(OutgoingFrame(frame))

    def put_out(self, out: OutgoingFrame) -> None:
        """The same, for one whose fate matters."""
        if self.ended:
            out.reported(Fate.BROKEN)
        else:
            self._queue.put_nowait(out)

    def finish(self) -> None:
        """End the writer once all before this is written."""
        self._queue.put_nowait(None)

    async def write(self) -> None:
        """Write what is put until told to finish; an OSError where the connection breaks."""
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
                if out.may_go is not None and not out.may_go():
                    out.reported(Fate.WITHHELD)
                    continue
                await self._send(encode(out.frame), out.frame.body, b"\0")
                out.reported(Fate.WRITTEN)
        finally:
            self.ended = True
            if out is not None:
                out.reported(Fate.BROKEN)
            while not self._queue.empty():
                if (out := self._queue.get_nowait()) is not None:
                    out.reported(Fate.BROKEN)

    async def _send(self, *parts: bytes) -> None:
        async with asyncio.timeout(WRITE_S):
            await self._link.send(*parts)

    def close(self) -> None:
        """Close the connection."""
        self.ended = True
        self._link.close()
