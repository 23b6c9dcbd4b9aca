"""Orders are acknowledged and members catch up although one disk is stuck or full, for any document size."""

from __future__ import annotations

import asyncio

import pytest

from tests.coordination.chain.test_large_documents import (
    caught_up,
    large_body,
    send_until_acknowledged,
    sized_cluster,
    virtual,
)
from tests.support.controller_cluster import DISK_FULL, STALLED

FAULT_S = 10.0
SLOWEST_ORDER_S = 3.5  # the first call may go to the stuck head, which responds after 3 s
BACK_S = 4.0


@pytest.mark.parametrize("size", [100, 300_000, 1_000_000])
@pytest.mark.parametrize("victim", ["a", "b", "c"])
@pytest.mark.parametrize("kind", [STALLED, DISK_FULL])
@virtual
async def test_orders_are_acknowledged_while_one_disk_has_a_fault(kind: str, victim: str, size: int) -> None:
    cluster = await sized_cluster()
    await send_until_acknowledged(cluster, large_body(1, size), 0)
    loop = asyncio.get_running_loop()
    cluster[victim].files[kind] = b"yes"
    ends_at = loop.time() + FAULT_S
    generation, slowest = 1, 0.0
    while loop.time() < ends_at:
        took = await send_until_acknowledged(cluster, large_body(generation + 1, size), generation)
        slowest = max(slowest, took)
        generation += 1
        await asyncio.sleep(0.05)
    del cluster[victim].files[kind]
    assert slowest < SLOWEST_ORDER_S
    await cluster.until(lambda: all(caught_up(cluster, name) for name in "abc"), BACK_S)
