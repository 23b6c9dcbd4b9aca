"""Pools of idle connections to route nodes."""

from __future__ import annotations

import asyncio

from hollowusher.scheduler.net.link import Link, connect, out_of_descriptors
from hollowusher.scheduler.net.ring import MOST_BYTES

IDLE_SHARE = 0.7  # of the node's idle time: a request written once the node has closed ends as a reset


class PoolFull(OSError):
    """All the connections that this scheduler may hold to nodes are in use, or all its descriptors are."""


class Pool:
    """Connections to all nodes, by node; the newest idle one is used first so that others can age out."""

    def __init__(
        self, connect_timeout_s: float, idle_close_s: float, most: int, ring: int = MOST_BYTES
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_close_s * IDLE_SHARE
        self._most, self._ring = most, ring
        self._idle: dict[int, list[Link]] = {}
        self._held = 0

    @property
    def held(self) -> int:
        """Connections open, coming up and idle."""
        return self._held

    async def take(self, node: int, address: tuple[str, int]) -> Link:
        """An idle connection that is still good, or a new one; OSError where none comes up."""
        idle = self._idle.get(node, [])
        while idle:
            link = idle.pop()
            if self._young(link) and link.fresh():
                return link
            self.drop(link)
        return await self.open(address)

    async def open(self, address: tuple[str, int]) -> Link:
        """A new connection, which counts until it is dropped, whoever uses it; OSError where none comes
        up."""
        if self._held >= self._most:
            self.sweep(everything=True)
        if self._held >= self._most:
            raise PoolFull("no connection to spare")
        self._held += 1
        try:
            return await connect(address, self._connect_timeout_s, self._ring)
        except OSError as wrong:
            self._held -= 1
            if out_of_descriptors(wrong):
                raise PoolFull(str(wrong)) from None
            raise
        except BaseException:
            self._held -= 1
            raise

    def give_back(self, node: int, link: Link) -> None:
        """The connection may be used again."""
        link.used_at = asyncio.get_running_loop().time()
        self._idle.setdefault(node, []).append(link)

    def drop(self, link: Link) -> None:
        """The connection is of no more use."""
        if not link.closed:
            link.close()
            self._held -= 1

    @property
    def idle_s(self) -> float:
        """How long a connection may stand idle: well less than the node gives it."""
        return self._idle_s

    def limit(self, most: int) -> None:
        """Hold no more than so many from now on; those in use beyond it end in their own time."""
        self._most = most
        if self._held > most:
            self.sweep(everything=True)

    def forget(self, node: int) -> None:
        """Close what is idle towards a node: it is gone, or came back as a new process."""
        for link in self._idle.pop(node, []):
            self.drop(link)

    def sweep(self, everything: bool = False) -> None:
        """Close what has been idle for too long, well before the node would."""
        for node, links in list(self._idle.items()):
            keep = [] if everything else [k for k in links if self._young(k) and k.fresh()]
            for link in links:
                if link not in keep:
                    self.drop(link)
            if keep:
                self._idle[node] = keep
            else:
                del self._idle[node]

    def _young(self, link: Link) -> bool:
        return asyncio.get_running_loop().time() - link.used_at < self._idle_s
