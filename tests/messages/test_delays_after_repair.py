"""The delay of a message ends on time even if a store receives the message late and becomes its primary.

A store receives a message after its acceptance if it is a learner, was down, takes over, or was disconnected
from the primary.  If it becomes the primary, it must neither restart nor shorten the delay.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import pytest

from tests.support.message_store import StoreCluster, message, play

DELAY_S = 20.0
EARLY_S = 0.3
LATE_S = 0.5
DELAYED = message("m", delay_ms=int(DELAY_S * 1000), retention_ms=90_000)

Scenario = Callable[[StoreCluster], Awaitable[tuple[int, float]]]


async def sleep_until(cluster: StoreCluster, at: float) -> None:
    await asyncio.sleep(at - cluster.loop.time())


async def start_first_three_stores(cluster: StoreCluster) -> None:
    """Start with the first three stores as replicas; the other stores have no records and receive none."""
    await cluster.start()
    for epoch in (2, 3):
        cluster.place([cluster.entry(0, epoch, 0, replicas=[0, 1, 2])])
        await asyncio.sleep(1.5)


async def replace_primary(cluster: StoreCluster, epoch: int, old: int, new: int, others: list[int]) -> None:
    """Let the store `new` catch up as a learner, then make it the primary with these other replicas."""
    cluster.learners_ready.clear()
    cluster.place([cluster.entry(0, epoch, old, replicas=[old, *others], learners=[new])])
    await asyncio.sleep(1.5)
    assert cluster.learners_ready
    cluster.place([cluster.entry(0, epoch + 1, new, replicas=[new, *others])])


async def learner_becomes_primary(cluster: StoreCluster) -> tuple[int, float]:
    await start_first_three_stores(cluster)
    await cluster.stored(DELAYED)
    accepted_at = cluster.loop.time()
    await asyncio.sleep(12.0)
    await replace_primary(cluster, 4, old=0, new=3, others=[1, 2])
    return 3, accepted_at


async def several_replacements(cluster: StoreCluster) -> tuple[int, float]:
    await start_first_three_stores(cluster)
    await cluster.stored(DELAYED)
    accepted_at = cluster.loop.time()
    for epoch, old, new in ((4, 0, 3), (6, 3, 4), (8, 4, 5)):
        await asyncio.sleep(3.0)
        await replace_primary(cluster, epoch, old, new, others=[1, 2])
    return 5, accepted_at


async def replica_was_down(cluster: StoreCluster) -> tuple[int, float]:
    await cluster.start()
    cluster.stores[2].kill()
    await cluster.stored(DELAYED)
    accepted_at = cluster.loop.time()
    await asyncio.sleep(10.0)
    await cluster.stores[2].start()
    await asyncio.sleep(3.0)
    cluster.place([cluster.entry(0, 2, 2)])
    return 2, accepted_at


async def message_received_at_takeover(cluster: StoreCluster) -> tuple[int, float]:
    await cluster.start()
    cluster.stores[2].kill()
    await cluster.stored(DELAYED)
    accepted_at = cluster.loop.time()
    await asyncio.sleep(10.0)
    cluster.stores[0].kill()
    await cluster.stores[2].start()
    cluster.place([cluster.entry(0, 2, 2)])
    return 2, accepted_at


async def record_delayed_by_partition(cluster: StoreCluster) -> tuple[int, float]:
    await cluster.start()
    await asyncio.sleep(2.0)
    cluster.stores[0].cut(*cluster.stores[1:])
    accepted_at = cluster.loop.time()
    assert (await cluster.put(DELAYED)).status == "unknown"
    await sleep_until(cluster, accepted_at + 8.0)
    cluster.network.heal_all()
    await asyncio.sleep(3.0)
    cluster.place([cluster.entry(0, 2, 1)])
    return 1, accepted_at


async def replacement_after_power_loss(cluster: StoreCluster) -> tuple[int, float]:
    await start_first_three_stores(cluster)
    await cluster.stored(DELAYED)
    accepted_at = cluster.loop.time()
    await asyncio.sleep(5.0)
    for store in cluster.stores:
        store.kill()
    for store in cluster.stores:
        await store.start()
    cluster.place([cluster.entry(0, 4, 0, replicas=[0, 1, 2])])
    await asyncio.sleep(3.0)
    await replace_primary(cluster, 5, old=0, new=3, others=[1, 2])
    return 3, accepted_at


SCENARIOS: list[tuple[int, Scenario]] = [
    (4, learner_becomes_primary),
    (6, several_replacements),
    (3, replica_was_down),
    (3, message_received_at_takeover),
    (3, record_delayed_by_partition),
    (4, replacement_after_power_loss),
]


async def check_delay(scenario: Scenario, cluster: StoreCluster) -> None:
    """Check that the message can be leased shortly after its delay ends, and not before."""
    store, accepted_at = await scenario(cluster)
    await sleep_until(cluster, accepted_at + DELAY_S - EARLY_S)
    assert await cluster.lease(store) == []
    await sleep_until(cluster, accepted_at + DELAY_S + LATE_S)
    assert [job.message.id for job in await cluster.lease(store)] == ["m"]


@pytest.mark.parametrize(("stores", "scenario"), SCENARIOS, ids=lambda value: getattr(value, "__name__", ""))
def test_message_becomes_ready_when_its_delay_ends(stores: int, scenario: Scenario) -> None:
    play(partial(check_delay, scenario), stores=stores)
