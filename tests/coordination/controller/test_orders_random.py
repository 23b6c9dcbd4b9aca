"""Randomized tests of orders during controller faults, checked against a model of the accepted orders."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.support.controller_cluster import (
    DISK_FULL,
    STALLED,
    ControllerCluster,
    ControllerNode,
    run_virtual,
)
from tests.support.order_model import RandomOperators, SentOrder

SEEDS = 12
MAX_FAULT_S = 2.5
CALM_S = 4.2  # `catchUpS`, the earliest time at which the next failure may follow
STABILIZE_S = 8.0
ORDER_TIMEOUT_S = 15.0


class RandomFaults:
    """Injects one fault after the other, each within the fault tolerance of the deployment."""

    def __init__(self, cluster: ControllerCluster, random_source: random.Random) -> None:
        self.cluster = cluster
        self.random_source = random_source
        self.kinds = (
            self.kill,
            self.wipe,
            self.cut,
            self.stall_disk,
            self.fill_disk,
            self.kill_all,
            self.slow_disk,
        )

    async def play(self, count: int) -> None:
        for _ in range(count):
            await self.random_source.choice(self.kinds)(
                self.cluster[self.random_source.choice(sorted(self.cluster.nodes))]
            )
            await self.wait_between_faults()

    async def wait_between_faults(self) -> None:
        """Wait between two faults until the next one may follow."""
        await asyncio.sleep(CALM_S)

    async def pause(self) -> None:
        await asyncio.sleep(self.random_source.uniform(0.05, MAX_FAULT_S))

    async def kill(self, node: ControllerNode) -> None:
        await node.kill()
        await self.pause()
        await node.start()

    async def wipe(self, node: ControllerNode) -> None:
        await node.kill()
        node.wipe()
        await self.pause()
        await node.start()

    async def cut(self, node: ControllerNode) -> None:
        self.cluster.isolate(node.name)
        await self.pause()
        self.cluster.join_all()

    async def stall_disk(self, node: ControllerNode) -> None:
        node.files[STALLED] = b"yes"
        await self.pause()
        del node.files[STALLED]

    async def fill_disk(self, node: ControllerNode) -> None:
        node.files[DISK_FULL] = b"yes"
        await self.pause()
        del node.files[DISK_FULL]

    async def kill_all(self, node: ControllerNode) -> None:
        for each in self.cluster.nodes.values():
            await each.kill()
        await asyncio.sleep(0.2)
        for each in self.cluster.nodes.values():
            await asyncio.sleep(self.random_source.uniform(0.0, 0.3))
            await each.start()

    async def slow_disk(self, node: ControllerNode) -> None:
        self.cluster.network.disk_slowness[node.name] = 30.0
        await self.pause()
        self.cluster.network.disk_slowness.clear()


async def play(seed: int, names: str, jitter: float, fault_count: int = 5) -> RandomOperators:
    """Run operators during random faults, check their responses against the final state and return them."""
    random_source = random.Random(f"orders {seed}")
    cluster = ControllerCluster(names, seed)
    await cluster.bootstrap_all()
    cluster.network.slowest_s = jitter
    operators = RandomOperators(cluster, random_source)
    tasks = [asyncio.ensure_future(operators.run()) for _ in range(3)]
    await RandomFaults(cluster, random_source).play(fault_count)
    operators.is_running = False
    await asyncio.gather(*tasks)
    await asyncio.sleep(STABILIZE_S)
    await finish(operators)
    return operators


async def finish(operators: RandomOperators) -> None:
    """Check all responses against the final state, without faults or jitter.

    One more order is committed first, which completes all orders that are still in progress.
    """
    operators.cluster.network.slowest_s = 0.0
    loop = asyncio.get_running_loop()
    started = loop.time()
    last = SentOrder("PUT", 0, b"")
    while last.acknowledged_at is None:
        assert loop.time() - started < ORDER_TIMEOUT_S, "no order is acknowledged"
        await asyncio.sleep(0.1)
        base = await operators.read()
        if base is not None:
            last = operators._new_order(base)
            await operators._send_until_definite(last)
    state = next(each.state for each in operators.controllers() if each.is_head)
    assert state is not None
    operators.check(state)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_responses_to_operators_match_the_order_history_model(seed: int) -> None:
    operators = run_virtual(play(seed, "abc" if seed % 3 else "abcd", (0.0, 0.02, 0.1, 0.3)[seed % 4]))
    assert sum(order.acknowledged_at is not None for order in operators.orders) > 5
