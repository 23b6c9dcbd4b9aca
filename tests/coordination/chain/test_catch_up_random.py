"""Random runs: members catch up with large documents despite faults, slow links and steady changes."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.coordination.chain.test_large_documents import (
    DISK_BYTES_PER_S,
    LINK_BYTES_PER_S,
    caught_up,
    change_placement,
)
from tests.coordination.controller.test_orders_random import RandomFaults, finish
from tests.support.controller_cluster import ControllerCluster, run_virtual
from tests.support.order_model import RandomOperators

SEEDS = 6
SIZES = (0, 0, 20_000, 300_000, 2_000_000)
JITTERS_S = (0.0, 0.005, 0.02, 0.05)
CAUGHT_UP_S = 15.0


class CatchUpFaults(RandomFaults):
    """After each fault every member has to catch up in time, while changes continue."""

    def __init__(self, cluster: ControllerCluster, chance: random.Random) -> None:
        super().__init__(cluster, chance)
        self.max_catch_up_s = 0.0

    async def wait_between_faults(self) -> None:
        """Wait until every member has saved the state of the head, then one second longer."""
        took = await self.cluster.until(self._all_caught_up, CAUGHT_UP_S)
        self.max_catch_up_s = max(self.max_catch_up_s, took)
        await asyncio.sleep(1.0)

    def _all_caught_up(self) -> bool:
        heads = [each for each in self.cluster.nodes.values() if each.controller and each.controller.is_head]
        view = heads[0].running.view if heads else None
        return view is not None and all(caught_up(self.cluster, voter.name) for voter in view.voters)


async def play(seed: int, names: str, count: int = 5) -> tuple[RandomOperators, float]:
    """Play one run; return the operators and the longest catch-up time in seconds.

    The catch-up time is the time from the end of a fault until all members have caught up.
    """
    chance = random.Random(f"snapshots {seed}")
    cluster = ControllerCluster(names, seed)
    cluster.network.bytes_per_s = LINK_BYTES_PER_S
    cluster.network.disk_bytes_per_s = DISK_BYTES_PER_S
    await cluster.bootstrap_all()
    cluster.network.slowest_s = JITTERS_S[seed % len(JITTERS_S)]
    operators = RandomOperators(cluster, chance, SIZES)
    working = [asyncio.ensure_future(operators.run()) for _ in range(2)]
    placing = asyncio.ensure_future(change_until_cancelled(cluster))
    faults = CatchUpFaults(cluster, chance)
    await faults.play(count)
    operators.is_running = False
    await asyncio.gather(*working)
    placing.cancel()
    await finish(operators)
    return operators, faults.max_catch_up_s


async def change_until_cancelled(cluster: ControllerCluster) -> None:
    """Change the placement repeatedly."""
    version = 0
    while True:
        version += 1
        await change_placement(cluster, version)
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_every_member_catches_up_during_changes(seed: int) -> None:
    operators, _ = run_virtual(play(seed, "abc" if seed % 3 else "abcd"))
    assert sum(order.acknowledged_at is not None for order in operators.orders) > 5
