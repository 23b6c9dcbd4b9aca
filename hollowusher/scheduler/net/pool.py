"""Pools of idle connections to route nodes."""

from __future__ import annotations

import asyncio

from hollowusher.scheduler.net.link import Link, connect, out_of_descriptors
from hollowusher.scheduler.net.ring import MOST_BYTES

IDLE_SHARE = 0.7  # of the node's idle timeout; a request sent after the node has closed would end in a reset


class PoolFull(OSError):
    """The connection limit is reached, or the process lacks a resource such as a file descriptor."""


class Pool:
    """Keeps idle connections by node; the most recently used one is reused first, so that others expire."""

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
        """The number of connections in use, idle or being opened."""
        return self._held

    async def take(self, node: int, address: tuple[str, int]) -> Link:
        """Return a reusable idle connection or a new one; raises OSError if no connection can be opened."""
        idle = self._idle.get(node, [])
        while idle:
            link = idle.pop()
            if self._is_within_idle_time(link) and link.fresh():
                return link
            self.drop(link)
        return await self.open(address)

    async def open(self, address: tuple[str, int]) -> Link:
        """Open a new connection, which counts towards the limit until `drop`.

        Raises PoolFull for lack of local resources and another OSError if the connection fails."""
        if self._held >= self._most:
            self.sweep(everything=True)
        if self._held >= self._most:
            raise PoolFull("the connection limit of the pool is reached")
        self._held += 1
        try:
            return await connect(address, self._connect_timeout_s, self._ring)
        except OSError as error:
            self._held -= 1
            if out_of_descriptors(error):
                raise PoolFull(str(error)) from None
            raise
        except BaseException:
            self._held -= 1
            raise

    def give_back(self, node: int, link: Link) -> None:
        """Return a connection to the pool for reuse."""
        link.used_at = asyncio.get_running_loop().time()
        self._idle.setdefault(node, []).append(link)

    def drop(self, link: Link) -> None:
        """Close a connection and remove it from the count."""
        if not link.closed:
            link.close()
            self._held -= 1

    @property
    def idle_s(self) -> float:
        """Seconds that a connection may stay idle: IDLE_SHARE of the node's own idle timeout."""
        return self._idle_s

    def limit(self, most: int) -> None:
        """Set the connection limit to `most`.

        If the pool holds more, it closes all idle connections; those in use stay open."""
        self._most = most
        if self._held > most:
            self.sweep(everything=True)

    def forget(self, node: int) -> None:
        """Close the idle connections to a node that has left or restarted as a new process."""
        for link in self._idle.pop(node, []):
            self.drop(link)

    def sweep(self, everything: bool = False) -> None:
        """Close idle connections that have expired or broken, and with `everything` all idle ones."""
        for node, links in list(self._idle.items()):
            keep = [] if everything else [k for k in links if self._is_within_idle_time(k) and k.fresh()]
            for link in links:
                if link not in keep:
                    self.drop(link)
            if keep:
                self._idle[node] = keep
            else:
                del self._idle[node]

    def _is_within_idle_time(self, link: Link) -> bool:
        return asyncio.get_running_loop().time() - link.used_at < self._idle_s
