"""A store is retired on an operator's order while other stores lose their disks."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from hollowusher.coordination.placement.placed_stores import is_store_placed
from hollowusher.coordination.placement.store_retirement import can_retire
from tests.support.placement import all_live, dead_store, with_store
from tests.support.store_scenario import StoreScenario, run_scenario

DURATION_S = 10.0


def test_retirement_needs_2f_plus_1_other_live_stores() -> None:
    assert not can_retire("s0", all_live(3), [], 1)
    assert can_retire("s0", all_live(4), [], 1)
    assert not can_retire("s0", all_live(4), ["s1"], 1)
    assert not can_retire("s0", with_store(all_live(4), dead_store(2)), [], 1)
    assert can_retire("s0", with_store(all_live(4), dead_store(0)), [], 1)


async def wait_until_retired(system: StoreScenario, name: str, within_s: float) -> float:
    """Wait until the store is retired and return the elapsed seconds; fail after `within_s` seconds."""
    started = system.loop.time()
    while True:
        answer = await system.retire(name, None)
        assert answer.status == 200
        if orjson.loads(answer.body)["state"] == "completed":
            return system.loop.time() - started
        assert system.loop.time() - started < within_s, "the store was not retired in time"
        await asyncio.sleep(0.1)


async def check_retired(system: StoreScenario, name: str) -> None:
    """Check that the placement no longer names a store, remove the store permanently, and check the messages.

    No accepted message may be lost, and every partition must still have three running replicas.
    """
    await system.wait_until(lambda: not is_store_placed(system.placement, name), 1.0)
    system.lose_permanently(name)
    assert await system.lost_messages() == []
    assert await system.put()
    await system.wait_until(lambda: set(system.running_replica_counts()) == {3}, 6.0)


@pytest.mark.parametrize("victim", ["store-2", "store-3", "store-4"])
@pytest.mark.parametrize("delay_s", [0.0, 0.3, 1.0, 2.0])
def test_a_machine_is_retired_though_another_loses_its_disk(victim: str, delay_s: float) -> None:
    async def work(system: StoreScenario) -> None:
        for _ in range(4):
            await system.put_many(160, size=12_500)
        answer = await system.retire("store-1", DURATION_S)
        assert answer.status == 200
        await asyncio.sleep(delay_s)
        disturbed = asyncio.ensure_future(system.lose_disk_and_return(victim))
        await wait_until_retired(system, "store-1", DURATION_S)
        await disturbed
        await check_retired(system, "store-1")

    run_scenario(work, stores=4)


def test_two_disks_are_lost_one_after_the_other_while_a_machine_is_retiring() -> None:
    """The second disk is lost as soon as the machine that lost the first one has caught up."""

    async def work(system: StoreScenario) -> None:
        await system.put_many(160, size=2_500)
        assert (await system.retire("store-1", DURATION_S)).status == 200
        await system.lose_disk_and_return("store-2", 0.5)
        await asyncio.sleep(4.2)
        await system.lose_disk_and_return("store-3", 0.5)
        await wait_until_retired(system, "store-1", DURATION_S)
        await check_retired(system, "store-1")

    run_scenario(work, stores=4)


def test_learners_still_copy_from_a_retiring_machine() -> None:
    """The retiring store holds the last copy of some records after another store has lost its disk."""

    async def work(system: StoreScenario) -> None:
        await system.put_many(64)
        assert (await system.retire("store-1", DURATION_S)).status == 200
        await asyncio.sleep(0.1)
        assert any(entry.learners for entry in system.placement.partitions)
        await system.lose_disk_and_return("store-2", 0.3)
        await wait_until_retired(system, "store-1", DURATION_S)
        assert await system.lost_messages() == []

    run_scenario(work, stores=4)


def test_rejected_orders_change_nothing() -> None:
    async def work(system: StoreScenario) -> None:
        before = system.placement
        assert (await system.retire("store-9", DURATION_S)).status == 404
        assert (await system.retire("edge-1", DURATION_S)).status == 404
        assert (await system.retire("store-1", DURATION_S)).status == 409  # three other stores are required
        await asyncio.sleep(1.0)
        assert system.placement == before

    run_scenario(work)
