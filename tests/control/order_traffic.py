"""Operators that send orders to any controller, and what their answers may never say."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from tests.controller_cluster import Cluster

PATIENCE_S = 1.0
TRIES = 4


class OrderTraffic:
    """One operator after the other reads the configuration and changes it.

    Checked at each answer: a read never goes back behind an acknowledged change, and no two changes on one
    version are both acknowledged."""

    def __init__(self, cluster: Cluster, chance: random.Random) -> None:
        self.cluster = cluster
        self.acknowledged: dict[int, int] = {}  # generation -> the version it built on
        self._chance = chance
        self._next_generation = 1
        self._running = True

    def stop(self) -> None:
        """Send no further order."""
        self._running = False

    async def run(self) -> None:
        """Send orders until stopped."""
        while self._running:
            await self._change_newest()
            await asyncio.sleep(self._chance.uniform(0.0, 0.3))

    async def put_newest(self, within_s: float) -> None:
        """Change the newest configuration; fails where no change is acknowledged in time."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not await self._change_newest():
            assert loop.time() - started < within_s, f"no acknowledgement within {within_s} s"
            await asyncio.sleep(0.1)

    async def _change_newest(self) -> bool:
        """Read, and send one change a few times; whether it was acknowledged."""
        answer = await self._ask("read")
        if answer is None or answer[0] not in (200, 404):
            return False
        current = answer[1]
        assert current >= max(self.acknowledged, default=0), "a read went back"
        generation, self._next_generation = self._next_generation, self._next_generation + 1
        for _ in range(TRIES):
            status = await self._ask("put", generation, current)
            if status == 200:
                built_on = [version for known, version in self.acknowledged.items() if known != generation]
                assert current not in built_on, "two changes on one version"
                self.acknowledged[generation] = current
                return True
            if status is not None and status != 503:
                return False
        return False

    async def _ask(self, method: str, *arguments: int) -> Any:
        """The answer of some controller, None where it gives none in time."""
        up = [node for node in self.cluster.nodes.values() if node.controller is not None]
        if not up:
            return None
        work = asyncio.ensure_future(getattr(self._chance.choice(up), method)(*arguments))
        done, _ = await asyncio.wait({work}, timeout=PATIENCE_S)
        if not done or work.cancelled():  # cancelled: the machine was killed meanwhile
            work.cancel()
            return None
        return work.result()
