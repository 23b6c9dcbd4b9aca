"""Recovery of a store after a temporary disk failure; it must retry all operations that failed."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.messages.partition.message_lifecycle import STORAGE_RETRY_S
from hollowusher.storage.memory import MemoryLog
from tests.messages.test_duplicate_puts import put_at_deposed_primary
from tests.messages.test_partition import Partition, new_table
from tests.support.message_store import StoreCluster, message, play

FULL = "no space is left"


@pytest.mark.parametrize("failed_s", [0.2, 3.0])
def test_takeover_is_retried_after_disk_error(failed_s: float) -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        await cluster.stored(message("m1"))
        cluster.stores[1].log.failing = FULL
        cluster.place([cluster.entry(0, 2, 1)])
        await asyncio.sleep(failed_s)
        cluster.stores[1].log.failing = ""
        await asyncio.sleep(2.0)
        assert [job.message.id for job in await cluster.lease(1)] == ["m1"]

    play(work)


def test_takeover_is_retried_after_failed_sync() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        await cluster.stored(message("m1"))
        cluster.place([cluster.entry(0, 2, 1)])
        await asyncio.sleep(0.001)  # the epoch is appended, but its sync has not finished
        cluster.stores[1].log.failing = FULL
        await asyncio.sleep(1.0)
        cluster.stores[1].log.failing = ""
        await asyncio.sleep(2.0)
        assert [job.message.id for job in await cluster.lease(1)] == ["m1"]

    play(work)


def test_takeover_is_not_retried_after_partition_moved() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        await cluster.stored(message("m1"))
        cluster.stores[1].log.failing = FULL
        cluster.place([cluster.entry(0, 2, 1)])
        await asyncio.sleep(1.0)
        cluster.stores[1].log.failing = ""
        cluster.place([cluster.entry(0, 3, 2)])
        await asyncio.sleep(2.0)
        assert (await cluster.put(message("m2"), store=1)).status == "not_primary"
        assert [job.message.id for job in await cluster.lease(2)] == ["m1"]

    play(work)


def test_puts_are_accepted_again_after_disk_error() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        await cluster.stored(message("m1"))
        cluster.stores[0].log.failing = FULL
        assert (await cluster.put(message("m2"))).status != "stored"
        assert (await cluster.put(message("m3"))).status == "unavailable"
        cluster.stores[0].log.failing = ""
        await asyncio.sleep(2.0)
        assert (await cluster.put(message("m4"))).status == "stored"
        assert cluster.stores[0].service.storage_error is None

    play(work)


def test_put_with_failed_sync_commits_later() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        await cluster.stored(message("m1"))
        cluster.stores[1].kill()  # from now on each commit needs a sync of the primary's own disk
        put = asyncio.create_task(cluster.put(message("m2")))
        await asyncio.sleep(0.004)  # m2 is appended, but its sync has not finished
        cluster.stores[0].log.failing = FULL
        assert (await put).status == "unknown"
        assert cluster.stores[0].service.storage_error is not None
        cluster.stores[0].log.failing = ""
        await asyncio.sleep(3.0)
        assert cluster.stores[0].service.storage_error is None
        assert (await cluster.put(message("m3"))).status == "stored"
        names = {job.message.id for job in await cluster.lease(most=5)}
        assert names == {"m1", "m2", "m3"}

    play(work)


def test_primary_serves_next_epoch_after_disk_error() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start(partitions=2)
        await cluster.stored(message("m1"))
        cluster.stores[0].log.failing = FULL
        cluster.place([cluster.entry(number, 2, 0) for number in range(2)])
        await asyncio.sleep(1.0)
        cluster.stores[0].log.failing = ""
        await asyncio.sleep(2.0)
        assert (await cluster.put(message("m2"), partition=1)).status == "stored"
        assert {job.message.id for job in await cluster.lease(most=5)} == {"m1", "m2"}

    play(work)


def test_message_restoring_is_retried_after_disk_error() -> None:
    """A repeated put needs a record that ends the first put; a disk error must not block other messages."""
    _, record = put_at_deposed_primary()
    successor = Partition(new_table(), epoch=2, now=101.0)
    later = successor.put(message("m0"))
    other = successor.put(message("m1"))
    successor.table.apply(record, successor.wall_ms)
    log = successor.table._log
    assert isinstance(log, MemoryLog)
    log.failing = FULL
    third = Partition(successor.table, epoch=3, now=110.0)
    log.failing = ""
    third.sleep(2 * STORAGE_RETRY_S)
    ids = {grant.job.message.id for grant in third.lease(most=5)}
    assert ids == {"m0", "m1"}
    assert {later, other} <= set(third.table.entries)


def test_failed_background_task_is_reported_once(monkeypatch: pytest.MonkeyPatch) -> None:
    failures: list[BaseException] = []

    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        service = cluster.stores[0].service
        service.set_failure_handler(failures.append)

        def broken(_now: float) -> None:
            raise RuntimeError("a defect")

        monkeypatch.setattr(service, "_forget", broken)
        await asyncio.sleep(12.0)

    play(work)
    assert [str(failure) for failure in failures] == ["a defect"]
