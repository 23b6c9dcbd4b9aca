"""Operators that send orders to random controllers and check the consistency of the responses."""

from __future__ import annotations

import asyncio
import random

import orjson

from hollowusher.protocol.codec import encode
from hollowusher.protocol.operator_orders import ChangeConfiguration, OperatorResponse, ReadConfiguration
from tests.support.controller_cluster import ControllerCluster, document

CALL_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 4


class OrderTraffic:
    """An operator that repeatedly reads the configuration and changes it.

    The operator checks each response.  A read must not return an older generation than an acknowledged one,
    and two changes that are based on the same generation must not both be acknowledged.
    """

    def __init__(self, cluster: ControllerCluster, random_source: random.Random) -> None:
        self.cluster = cluster
        self.acknowledged: dict[int, int] = {}  # generation -> generation that the change was based on
        self._random = random_source
        self._next_generation = 1
        self._running = True

    def stop(self) -> None:
        """Stop sending orders."""
        self._running = False

    async def run(self) -> None:
        """Send orders until `stop` is called."""
        while self._running:
            await self._change_newest()
            await asyncio.sleep(self._random.uniform(0.0, 0.3))

    async def put_newest(self, within_s: float) -> None:
        """Change the newest configuration; fail if no change is acknowledged within `within_s` seconds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not await self._change_newest():
            assert loop.time() - started < within_s, f"no acknowledgement within {within_s} s"
            await asyncio.sleep(0.1)

    async def _change_newest(self) -> bool:
        """Read the configuration, send one change with retries and return whether it was acknowledged."""
        answer = await self._ask(ReadConfiguration())
        if answer is None or answer.status not in (200, 404):
            return False
        current = orjson.loads(answer.body)["generation"] if answer.status == 200 else 0
        assert current >= max(self.acknowledged, default=0), (
            "a read returned an older generation than an acknowledged one"
        )
        generation, self._next_generation = self._next_generation, self._next_generation + 1
        order = ChangeConfiguration("PUT", current, orjson.dumps(document(generation)))
        for _ in range(MAX_ATTEMPTS):
            answer = await self._ask(order)
            if answer is not None and answer.status == 200:
                built_on = [version for known, version in self.acknowledged.items() if known != generation]
                assert current not in built_on, "two acknowledged changes share a base generation"
                self.acknowledged[generation] = current
                return True
            if answer is not None and answer.status != 503:
                return False
        return False

    async def _ask(self, message: ReadConfiguration | ChangeConfiguration) -> OperatorResponse | None:
        """Return the response of a random controller, or None if there is none before the timeout.

        The call is a task of the controller's process and is cancelled when that process is killed.
        """
        up = [node.transport for node in self.cluster.nodes.values() if node.controller is not None]
        transport = self._random.choice(up) if up else None
        if transport is None:
            return None
        work = transport.take(encode(message))
        done, _ = await asyncio.wait({work}, timeout=CALL_TIMEOUT_S)
        if not done or work.cancelled():
            return None
        answer = work.result()
        assert isinstance(answer, OperatorResponse)
        return answer
