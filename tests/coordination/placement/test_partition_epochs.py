"""Each incarnation of a primary needs its own epoch, and reports about learners count only in their epoch."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from tests.support.message_store import EPOCH_MS, StoreCluster, message, play
from tests.support.placement import plan


def test_a_restarted_primary_does_not_serve_in_the_epoch_of_its_previous_incarnation() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        first = attrs.evolve(cluster.entry(0, 2, 0), primary_incarnation=1)  # type: ignore[misc]
        cluster.place([first])
        await cluster.stored(message("m1"))
        cluster.stores[0].kill()
        await cluster.stores[0].start()
        await asyncio.sleep(2.0)
        assert (await cluster.put(message("m2"))).status == "not_primary"
        cluster.place([attrs.evolve(first, epoch=3, primary_incarnation=2)])  # type: ignore[misc]
        await asyncio.sleep(1.0)
        assert (await cluster.put(message("m2"))).status == "stored"

    play(work)


@pytest.mark.parametrize("seed", range(4))
def test_two_messages_never_get_the_same_key_after_a_fast_restart_of_their_primary(seed: int) -> None:
    """A restarted primary must not reuse the key of a record that it had not stored before the restart.

    Only one backup holds the record of the first message.  The wall clock of the primary is constant, which
    imitates a clock that was set back.  The restarted primary could therefore assign the same key to a second
    message and replicate it to the other backup.  If the primary is then lost permanently, the accepted
    second message is missing although the replicas compare as equal.
    """

    async def work(cluster: StoreCluster) -> None:
        cluster.wall_ms = lambda: EPOCH_MS  # type: ignore[method-assign]
        await cluster.start()
        first = attrs.evolve(cluster.entry(0, 2, 0), primary_incarnation=1)  # type: ignore[misc]
        cluster.place([first])
        await asyncio.sleep(0.5)
        primary, second, third = cluster.stores
        primary.cut(third)
        await asyncio.sleep(1.5)
        put = asyncio.create_task(cluster.put(message("m1")))
        while not second.service._replicas[0].table.entries:
            await asyncio.sleep(0.0005)
        primary.kill()  # before its own disk has stored the record
        put.cancel()
        primary.cut(second)
        cluster.network.heal("10.0.0.1", "10.0.0.3")
        await primary.start()
        await asyncio.sleep(1.5)
        accepted = (await cluster.put(message("m2"))).status == "stored"
        cluster.network.heal_all()
        primary.kill()
        cluster.place([attrs.evolve(first, epoch=3, primary="store-2/d1", primary_incarnation=1)])  # type: ignore[misc]
        await asyncio.sleep(3.0)
        leased_ids = {job.message.id for job in await cluster.lease(store=1, most=5)}
        assert not accepted or "m2" in leased_ids

    play(work, seed=seed)


def test_a_report_about_a_removed_learner_stays_invalid() -> None:
    def member(number: int, status: int = 0) -> Member:
        return Member(f"s{number}", "store", f"s{number}:1", f"z{number}", "r", 1, "d", status=status)

    def conditions(dead: set[int]) -> dict[str, StoreCondition]:
        return {f"s{n}": StoreCondition(member(n, int(n in dead)), 2.0) for n in range(4)}

    placement = Placement(1, [PartitionPlacement(0, 1, "s1/d", ["s0/d", "s1/d", "s2/d"], [], 1)])
    learning = plan(placement, conditions({0}))
    assert learning is not None
    assert learning.partitions[0].learners == ["s3/d"]
    removed = plan(learning, conditions({0, 3}))
    assert removed is not None
    assert removed.partitions[0].learners == []
    relearning = plan(removed, conditions({0}))
    assert relearning is not None
    assert relearning.partitions[0].learners == ["s3/d"]
    gone = {name: attrs.evolve(each, state_age_s=9.0) for name, each in conditions({0}).items()}
    assert plan(relearning, gone, ready={LearnerReport(0, 1, "s3/d")}) is None
    assert (
        plan(relearning, gone, ready={LearnerReport(0, relearning.partitions[0].epoch, "s3/d")}) is not None
    )


def test_a_learner_that_its_primary_cannot_reach_is_removed() -> None:
    conditions = {
        f"s{n}": StoreCondition(
            Member(f"s{n}", "store", f"s{n}:1", f"z{n}", "r", 1, "d", status=int(n == 0)), 2.0
        )
        for n in range(4)
    }
    entry = PartitionPlacement(0, 7, "s1/d", ["s0/d", "s1/d", "s2/d"], ["s3/d"], 1)
    removed = plan(Placement(1, [entry]), conditions, lost={LearnerReport(0, 7, "s3/d")})
    assert removed is not None
    assert (removed.partitions[0].epoch, removed.partitions[0].learners) == (8, [])
