"""A lost store is replaced before the next disk is lost.

The deployment has to tolerate the loss of another disk from `CATCH_UP_S` after the start of the replacement.
The tests lose the disk at that time.
"""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.coordination.store_id import store_name
from tests.support.store_scenario import CATCH_UP_S, StoreScenario, run_scenario


async def lose_second_disk(system: StoreScenario, victim: str) -> None:
    """Lose the disk of another store; its machine returns with an empty disk."""
    await system.lose_disk_and_return(victim)


async def check_nothing_is_lost(system: StoreScenario, replicas: int) -> None:
    """Check that no accepted message is lost, that new ones are accepted, and that replication is complete.

    Each partition must again have the given number of running replicas, so that the next loss is tolerated.
    """
    assert await system.lost_messages() == []
    assert await system.put()
    await system.wait_until(lambda: set(system.running_replica_counts()) == {replicas}, CATCH_UP_S)


@pytest.mark.parametrize("victim", ["store-2", "store-3"])
@pytest.mark.parametrize("name", ["store-1", "store-9"])
@pytest.mark.parametrize("stores", [3, 4])
def test_a_lost_store_is_replaced_before_the_next_disk_is_lost(victim: str, name: str, stores: int) -> None:
    async def work(system: StoreScenario) -> None:
        await system.put_many(64)
        system.lose_permanently("store-1")
        await asyncio.sleep(1.0)
        successor = system.add_store(name, "10.0.1.1", "zone-a")
        started_at = system.loop.time()
        await system.start_after_delay(successor)
        await asyncio.sleep(started_at + CATCH_UP_S - system.loop.time())
        await lose_second_disk(system, victim)
        await check_nothing_is_lost(system, 3)

    run_scenario(work, stores=stores)


@pytest.mark.parametrize("victim", ["store-2", "store-3"])
@pytest.mark.parametrize("stores", [3, 4])
def test_a_planned_replacement_is_done_before_the_next_disk_is_lost(victim: str, stores: int) -> None:
    """The successor starts before the old store receives SIGTERM and is removed permanently."""

    async def work(system: StoreScenario) -> None:
        await system.put_many(64)
        successor = system.add_store("store-9", "10.0.1.1", "zone-a")
        started_at = system.loop.time()
        await system.start_after_delay(successor)
        await asyncio.sleep(0.5)
        await system.cluster.terminate(system.cluster.machines["store-1"], 6.0)
        system.lose_permanently("store-1")
        await asyncio.sleep(max(0.0, started_at + CATCH_UP_S - system.loop.time()))
        await lose_second_disk(system, victim)
        await check_nothing_is_lost(system, 3)

    run_scenario(work, stores=stores)


def test_large_replicas_are_copied_in_time() -> None:
    """Each store holds 20 MB of records, and new messages arrive while these records are copied."""

    async def work(system: StoreScenario) -> None:
        for _ in range(10):
            await system.put_many(160, size=12_500)
        system.lose_permanently("store-1")
        await asyncio.sleep(1.0)
        started_at = system.loop.time()
        await system.start_after_delay(system.add_store("store-9", "10.0.1.1", "zone-a"))
        while system.loop.time() < started_at + CATCH_UP_S:
            await system.put_many(10, size=2_500)
            await asyncio.sleep(0.1)
        assert system.replicas_of("store-9") == len(system.placement.partitions)
        await lose_second_disk(system, "store-2")
        await check_nothing_is_lost(system, 3)

    run_scenario(work)


LARGE_BODY_BYTES = 250_000  # `maxBodyBytes` is 262,144
STORE_LINK_MBPS = 480.0


async def fill_partition(system: StoreScenario, partition: int, total: int) -> None:
    """Put messages with large bodies into one partition, `total` bytes in all."""
    for _ in range(total // LARGE_BODY_BYTES // 4):
        await asyncio.gather(*(system.put(LARGE_BODY_BYTES, partition) for _ in range(4)))


async def lose_primaries(system: StoreScenario, partition: int, losses: int) -> None:
    """Lose the disk of the partition's primary repeatedly, as soon as `catchUpS` allows each time.

    Messages arrive all the time.
    """
    for _ in range(losses):
        entry = system.placement.partitions[partition]
        machine = system.cluster.machines[store_name(entry.primary)]
        system.cluster.lose_disk(machine)
        await asyncio.sleep(1.0)
        started_at = system.loop.time()
        await system.start_after_delay(machine)
        while system.loop.time() < started_at + CATCH_UP_S:
            await system.put_many(5, size=2_500)
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("stores", [3, 4])
@pytest.mark.parametrize("losses", [2, 3])
def test_a_large_partition_is_copied_before_its_next_primary_is_lost(stores: int, losses: int) -> None:
    """The copy of one partition had a pace of 3 MiB/s: with 30 MB in it a second loss took it (review/4)."""

    async def work(system: StoreScenario) -> None:
        await fill_partition(system, 5, 30_000_000)
        await lose_primaries(system, 5, losses)
        await check_nothing_is_lost(system, 3)

    run_scenario(work, stores=stores, link_mbps=STORE_LINK_MBPS)


def test_large_partitions_are_copied_beside_a_retirement() -> None:
    async def work(system: StoreScenario) -> None:
        for partition in (2, 5, 9):
            await fill_partition(system, partition, 10_000_000)
        retired = store_name(system.placement.partitions[2].primary)
        assert (await system.retire(retired, 10.0)).status == 200
        await asyncio.sleep(0.3)
        victim = next(name for name in ("store-1", "store-2") if name != retired)
        await system.lose_disk_and_return(victim, 1.0)
        await system.wait_until(lambda: system.replicas_of(retired) == 0, 10.0)
        await check_nothing_is_lost(system, 3)

    run_scenario(work, stores=5, link_mbps=STORE_LINK_MBPS)


def test_a_restart_within_1_5_seconds_moves_no_replicas() -> None:
    async def work(system: StoreScenario) -> None:
        await system.put_many(32)
        before = [(entry.partition, sorted(entry.replicas)) for entry in system.placement.partitions]
        machine = system.cluster.machines["store-1"]
        system.cluster.kill(machine)
        await system.start_after_delay(machine)
        for _ in range(40):
            await asyncio.sleep(0.1)
            assert all(entry.learners == [] for entry in system.placement.partitions)
        assert before == [(entry.partition, sorted(entry.replicas)) for entry in system.placement.partitions]

    run_scenario(work, stores=4)


def test_a_store_that_returns_after_its_replicas_were_replaced_gets_some_again() -> None:
    async def work(system: StoreScenario) -> None:
        await system.put_many(64)
        machine = system.cluster.machines["store-1"]
        replica_count_before = system.replicas_of("store-1")
        system.cluster.kill(machine)
        await asyncio.sleep(10.0)
        assert system.replicas_of("store-1") == 0
        assert system.running_replica_counts() == {3: 16}
        await system.start_after_delay(machine)
        fewest = 3
        for _ in range(450):
            await asyncio.sleep(0.1)
            fewest = min(fewest, *system.running_replica_counts())
        assert fewest == 3  # a move never reduces the number of running replicas
        assert system.replicas_of("store-1") >= replica_count_before - 2
        assert await system.lost_messages() == []

    run_scenario(work, stores=4)


def test_an_added_store_gets_replicas_in_a_steady_state() -> None:
    async def work(system: StoreScenario) -> None:
        await system.put_many(64)
        await system.start_after_delay(system.add_store("store-9", "10.0.1.1", "zone-a"))
        await asyncio.sleep(60.0)
        assert 6 <= system.replicas_of("store-9") <= 8  # store-9 and store-1 share the replicas in zone-a
        assert system.learners_of("store-9") == 0
        assert await system.lost_messages() == []

    run_scenario(work)
