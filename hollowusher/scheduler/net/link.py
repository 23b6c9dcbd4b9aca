"""A connection: one non-blocking socket with a ring buffer for each direction."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket
from collections.abc import Callable

from hollowusher.scheduler.net.ring import MOST_BYTES, RingBuffer

BACKLOG = 512  # connections that the kernel accepts ahead of us
LINGER_PACE_S = 0.001  # between two receives of bytes that nobody wants
_DROPPED = memoryview(bytearray(256 * 1024))  # where all connections receive what is thrown away


class Link:
    """Bytes in and out.  One task may receive while another sends; sends are kept in order by a lock."""

    def __init__(self, sock: socket.socket, ring: int = MOST_BYTES) -> None:
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self.inbound = RingBuffer(ring)
        self._outbound = RingBuffer(ring)
        self._sending = asyncio.Lock()
        self.closed = False
        self.used_at = self._loop.time()
        with contextlib.suppress(OSError):  # small writes must not wait here for an acknowledgement
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def fill(self) -> int:
        """Receive once into the inbound ring; 0 when the other side has ended."""
        count = await self._loop.sock_recv_into(self._sock, self.inbound.writable())
        self.inbound.filled(count)
        return count

    async def skip(self) -> int:
        """Receive once and drop it; 0 when the other side has ended.  Slowly: whoever sends what nobody wants
        is owed no share of the processor."""
        count = await self._loop.sock_recv_into(self._sock, _DROPPED)
        await asyncio.sleep(LINGER_PACE_S)
        return count

    async def pass_on(self, feed: Callable[[memoryview], None]) -> None:
        """Receive once and hand what has come to a parser; ConnectionError when the other side has ended."""
        if await self.fill() == 0:
            raise ConnectionResetError("the other side ended the connection")
        while self.inbound.size:
            piece = self.inbound.pending()
            feed(piece)
            self.inbound.taken(len(piece))

    async def send(self, *parts: bytes) -> None:
        """Write all of it.  An OSError means that the last byte has not been written."""
        async with self._sending:
            ring = self._outbound
            for index, part in enumerate(parts):
                rest = memoryview(part)
                while True:
                    rest = rest[ring.put(rest) :]
                    if not rest and index < len(parts) - 1:
                        break
                    while ring.size:
                        piece = ring.pending()
                        await self._loop.sock_sendall(self._sock, piece)
                        ring.taken(len(piece))
                    if not rest:
                        break

    def fresh(self) -> bool:
        """Whether an idle connection is still open and silent, as it has to be before it is used again."""
        if self.closed or self.inbound.size:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # ended, or spoke out of turn

    def ended(self) -> bool:
        """Whether the other side has ended or broken the connection, also behind bytes that nobody has
        received yet."""
        if self.closed:
            return True
        try:
            if not self._sock.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False
        except OSError:
            return True
        look = select.poll()
        look.register(self._sock, select.POLLRDHUP)  # a break shows unasked
        return bool(look.poll(0))

    def half_close(self) -> None:
        """End our sending.  What is received from now on is dropped: it can have no answer any more."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    async def linger(self, most_s: float) -> None:
        """The lingering close: end our sending and receive for a moment what still comes, until the other
        side ends as well.  To close on unread bytes resets the connection, which destroys an answer that the
        other side has not read yet.  Nothing else may be receiving."""
        self.half_close()
        self.inbound.clear()
        with contextlib.suppress(OSError):  # a TimeoutError is one
            async with asyncio.timeout(most_s):
                while await self.skip():
                    pass

    def close(self) -> None:
        """Close; again does nothing."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self._sock.close()
            self.inbound.release()
            self._outbound.release()


def out_of_descriptors(wrong: OSError) -> bool:
    """Whether a connection failed for want of something here: it tells nothing of the other side."""
    return wrong.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


async def connect(address: tuple[str, int], timeout_s: float, ring: int = MOST_BYTES) -> Link:
    """Open a connection; OSError, of which TimeoutError is one, where it does not come up in time."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().sock_connect(sock, address)
        return Link(sock, ring)
    except BaseException:
        sock.close()
        raise


def bind(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """A socket on this address and no other, on which `listen` is still to be called.  Another process of
    this scheduler may listen there as well where it is `shared`."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(address)
    sock.setblocking(False)
    return sock


def listen(address: tuple[str, int]) -> socket.socket:
    """A listening socket on this address and no other."""
    sock = bind(address)
    sock.listen(BACKLOG)
    return sock
