"""The switchboard: every directed link between processes passes here, and does as the links' model says."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from typing import cast

from hollowusher.scheduler.emulator.faults.links import NS, Links, Pair

Address = tuple[str, int]
PIECE = 16 * 1024  # bytes of a stream that are under way in one direction of a link
_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: the close resets


class _Relay(asyncio.DatagramProtocol):
    """The datagrams of one directed link."""

    def __init__(self, board: Board, pair: Pair, target: Address) -> None:
        self._board, self._pair, self.target = board, pair, target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._board.passed += 1
        self._board.links.carry(self._pair, len(data), time.monotonic_ns(), lambda: self._deliver(data))

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there just now."""

    def _deliver(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.target)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection as a dying process does."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


class Board:
    """All links of a play.  An address is asked for once a link, and stays."""

    def __init__(self, seed: int) -> None:
        loop = asyncio.get_running_loop()
        self.links = Links(random.Random(seed), lambda delay, what: loop.call_later(delay / NS, what))
        self.links.changed = self._go_on
        self.passed = 0
        self._moved = asyncio.Event()
        self._relays: list[_Relay] = []
        self._servers: list[asyncio.Server] = []
        self._streams: dict[Pair, set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def datagrams(self, pair: Pair, target: Address) -> Address:
        """Where the first sends what is meant for the second."""
        relay = _Relay(self, pair, target)
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: relay, local_addr=("127.0.0.1", 0)
        )
        self._relays.append(relay)
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    async def streams(self, pair: Pair, target: Address) -> Address:
        """Where the first connects to reach the second."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                await self._relay(pair, target, reader, writer)
            except asyncio.CancelledError:
                pass  # the board closes
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    def reset(self, pair: Pair) -> None:
        """Break the streams that the first has to the second."""
        for writer in list(self._streams.get(pair, ())):
            _reset(writer)

    async def close(self) -> None:
        """End all."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for relay in self._relays:
            if relay.transport is not None:
                relay.transport.close()

    def _go_on(self) -> None:
        self._moved.set()
        self._moved = asyncio.Event()

    async def _open(self, pair: Pair) -> None:
        while self.links.blocked(pair):
            await self._moved.wait()

    async def _relay(
        self, pair: Pair, target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        back = (pair[1], pair[0])
        far: asyncio.StreamWriter | None = None
        self._streams.setdefault(pair, set()).add(writer)
        try:
            await self._open(pair)  # it was accepted, and nothing passes
            far_reader, far = await asyncio.open_connection(*target)
            ways = [
                asyncio.create_task(self._pump(pair, reader, far)),
                asyncio.create_task(self._pump(back, far_reader, writer)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
        except OSError:  # nobody listens: the other end hears of it as a reset
            _reset(writer)
        finally:
            self._streams[pair].discard(writer)
            for end in (writer, far):
                if end is not None:
                    end.close()

    async def _pump(self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Bytes one way, a bounded piece at a time, until either end closes."""
        with contextlib.suppress(OSError, RuntimeError):  # either end has been broken
            while data := await reader.read(PIECE):
                await self._open(pair)
                if wait := self.links.stream_wait(pair, len(data), time.monotonic_ns()):
                    await asyncio.sleep(wait / NS)
                    await self._open(pair)
                writer.write(data)
                await writer.drain()
