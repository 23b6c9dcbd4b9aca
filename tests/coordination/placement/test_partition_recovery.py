"""A partition that lost its majority is reported as lost, and only an operator's order recovers it."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.errors import OrderRejectedError
from hollowusher.coordination.placement.partition_health import partition_statuses, store_losses_borne
from hollowusher.coordination.placement.partition_recovery import plan_recovery
from hollowusher.messages.replication.deferred_copies import MAX_DEFERRAL_S
from hollowusher.protocol.membership import Member
from hollowusher.protocol.operator_orders import RecoverPartition
from hollowusher.protocol.placement import PartitionPlacement, Placement
from tests.support.store_scenario import StoreScenario, run_scenario

PLACEMENT = Placement(
    7,
    [
        PartitionPlacement(0, 4, "s0/d", ["s0/d", "s1/d", "s2/d"], ["s3/d"], 1),
        PartitionPlacement(1, 2, "s3/d", ["s0/d", "s2/d", "s3/d"], [], 1),
    ],
)


def conditions(dead: set[int], new_disks: set[int] = frozenset()) -> dict[str, StoreCondition]:  # type: ignore[assignment]
    return {
        f"s{n}": StoreCondition(
            Member(
                f"s{n}",
                "store",
                f"s{n}:1",
                "z",
                "r",
                5,
                "new" if n in new_disks else "d",
                status=int(n in dead),
            ),
            9.0,
        )
        for n in range(4)
    }


def test_lost_partitions_and_tolerated_store_losses() -> None:
    def loss_summary(dead: set[int]) -> tuple[list[bool], int]:
        statuses = partition_statuses(PLACEMENT, conditions(dead), 1)
        return [status.lost for status in statuses], store_losses_borne(statuses, 1)

    assert loss_summary(set()) == ([False, False], 1)
    assert loss_summary({0}) == ([False, False], 0)
    assert loss_summary({0, 1}) == ([True, False], -1)
    assert loss_summary({0, 2}) == ([True, True], -1)


@pytest.mark.parametrize(
    ("dead", "named", "partition", "status"),
    [
        ({0}, ["s0/d"], 0, 409),  # the partition is not lost
        ({0, 1}, ["s0/d"], 0, 409),  # s1 is not live and is not named
        ({0, 1}, ["s0/d", "s1/d", "s2/d"], 0, 409),  # s2 is live
        ({0, 1}, ["s0/d", "s1/d", "s3/d"], 0, 409),  # s3 is not a replica
        ({0, 1, 2}, ["s0/d", "s1/d", "s2/d"], 0, 409),  # no replica is left
        ({0, 1}, ["s0/d", "s1/d"], 9, 404),
    ],
)
def test_a_recovery_order_that_conflicts_with_the_cluster_state_is_rejected(
    dead: set[int], named: list[str], partition: int, status: int
) -> None:
    with pytest.raises(OrderRejectedError) as rejected:
        plan_recovery(PLACEMENT, conditions(dead), 1, RecoverPartition(partition, named))
    assert rejected.value.status == status


@pytest.mark.parametrize(("dead", "new_disks"), [({0, 1}, set()), ({0}, {1}), (set(), {0, 1})])
def test_the_live_replicas_serve_in_the_next_epoch(dead: set[int], new_disks: set[int]) -> None:
    """A machine that has returned with another disk also counts as lost."""
    order = RecoverPartition(0, ["s1/d", "s0/d"])
    found = plan_recovery(PLACEMENT, conditions(dead, new_disks), 1, order)
    assert found.version == 8
    assert found.partitions == [
        PartitionPlacement(0, 5, "s2/d", ["s2/d"], [], 5),
        PLACEMENT.partitions[1],
    ]


def test_a_partition_without_majority_is_served_again_only_after_a_recovery_order() -> None:
    async def work(system: StoreScenario) -> None:
        await system.put_many(64)
        await asyncio.sleep(MAX_DEFERRAL_S + 0.5)
        lost = [system.lose_permanently(name) for name in ("store-1", "store-2")]
        await asyncio.sleep(1.0)
        for number, machine in enumerate(lost):
            await system.start_after_delay(
                system.add_store(machine.name, f"10.0.1.{number + 1}", machine.zone)
            )
        await asyncio.sleep(10.0)
        single_replica_partitions = [
            entry
            for entry in system.placement.partitions
            if sum(replica in system.running_store_ids() for replica in entry.replicas) == 1
        ]
        # Their primaries were lost; a live primary would add replicas without an order.
        assert single_replica_partitions
        for entry in single_replica_partitions:
            abandoned = [replica for replica in entry.replicas if not replica.startswith("store-3/")]
            refused = await system.call_head(RecoverPartition(entry.partition, abandoned[:1]))
            assert refused.status == 409
            assert b"not named" in refused.body
            answer = await system.call_head(RecoverPartition(entry.partition, abandoned))
            assert answer.status == 200, answer.body
            assert orjson.loads(answer.body) == {"state": "recovered"}
            repeated = await system.call_head(RecoverPartition(entry.partition, abandoned))
            assert repeated.status == 409
        await system.wait_until(lambda: set(system.running_replica_counts()) == {3}, 10.0)
        assert await system.put()
        assert await system.lost_messages() == []  # every message was on all three replicas before

    run_scenario(work)
