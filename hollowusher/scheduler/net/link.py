"""A connection: one non-blocking socket with a ring buffer for each direction."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket
from collections.abc import Callable

from hollowusher.scheduler.net.ring import MOST_BYTES, RingBuffer

BACKLOG = 512  # connections that the kernel queues until the process accepts them
LINGER_PACE_S = 0.001  # delay after each receive of discarded bytes
_DISCARD_BUFFER = memoryview(
    bytearray(256 * 1024)
)  # receive buffer for discarded bytes, shared by all connections


class Link:
    """Receives and sends bytes on one socket.

    One task may receive while another sends.  A lock serializes concurrent sends."""

    def __init__(self, sock: socket.socket, ring: int = MOST_BYTES) -> None:
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self.inbound = RingBuffer(ring)
        self._outbound = RingBuffer(ring)
        self._sending = asyncio.Lock()
        self.closed = False
        self.used_at = self._loop.time()
        with contextlib.suppress(
            OSError
        ):  # Nagle's algorithm would delay small writes until an acknowledgement
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def fill(self) -> int:
        """Receive once into the inbound ring; returns the byte count, 0 once the peer has closed its side."""
        count = await self._loop.sock_recv_into(self._sock, self.inbound.writable())
        self.inbound.filled(count)
        return count

    async def skip(self) -> int:
        """Receive once and discard the bytes; returns their count, 0 once the peer has closed its side.

        A pause of LINGER_PACE_S follows each receive, so that a peer that keeps sending unwanted bytes uses
        little processor time."""
        count = await self._loop.sock_recv_into(self._sock, _DISCARD_BUFFER)
        await asyncio.sleep(LINGER_PACE_S)
        return count

    async def pass_on(self, feed: Callable[[memoryview], None]) -> None:
        """Receive once and pass the bytes to `feed`; raises ConnectionError if the peer has closed."""
        if await self.fill() == 0:
            raise ConnectionResetError("the peer closed the connection")
        while self.inbound.size:
            piece = self.inbound.pending()
            feed(piece)
            self.inbound.taken(len(piece))

    async def send(self, *parts: bytes) -> None:
        """Send all parts in order.  An OSError means that the last byte was not written."""
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
        """Whether an idle connection can be reused: it is open and the peer has sent no unexpected bytes."""
        if self.closed or self.inbound.size:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # the peer has closed the connection or sent unexpected bytes

    def ended(self) -> bool:
        """Whether the peer has closed or reset the connection, even if unread bytes precede the close."""
        if self.closed:
            return True
        try:
            if not self._sock.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False
        except OSError:
            return True
        poller = select.poll()
        poller.register(self._sock, select.POLLRDHUP)  # poll always reports POLLERR and POLLHUP as well
        return bool(poller.poll(0))

    def half_close(self) -> None:
        """Shut down the sending side.  The caller discards later input, because no reply can be sent."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    async def linger(self, most_s: float) -> None:
        """Shut down the sending side, then discard input until the peer closes, for at most `most_s` seconds.

        Closing a socket that has unread bytes resets the connection, and the reset can destroy a response
        that the peer has not read yet.  No other task may receive on this link at the same time."""
        self.half_close()
        self.inbound.clear()
        with contextlib.suppress(OSError):  # TimeoutError is an OSError
            async with asyncio.timeout(most_s):
                while await self.skip():
                    pass

    def close(self) -> None:
        """Close the socket and release the buffers; a second call has no effect."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self._sock.close()
            self.inbound.release()
            self._outbound.release()


def out_of_descriptors(error: OSError) -> bool:
    """Whether a connection failed for lack of local resources, which is no evidence against the peer."""
    return error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


async def connect(address: tuple[str, int], timeout_s: float, ring: int = MOST_BYTES) -> Link:
    """Open a connection within `timeout_s` seconds; raises OSError on failure, TimeoutError included."""
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
    """Return a non-blocking socket bound to exactly this address; the caller still has to call `listen`.

    With `shared`, another process of this scheduler can bind the same address (SO_REUSEPORT)."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(address)
    sock.setblocking(False)
    return sock


def listen(address: tuple[str, int]) -> socket.socket:
    """Return a listening socket bound to exactly this address."""
    sock = bind(address)
    sock.listen(BACKLOG)
    return sock
