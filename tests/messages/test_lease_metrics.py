"""The metrics of leases: they tell an expired lease, a dead dispatcher and a late result apart."""

from __future__ import annotations

from hollowusher.messages.partition.lease_metrics import LeaseMetrics
from hollowusher.storage.memory import MemoryLog
from tests.messages.test_partition import Partition
from tests.support.message_store import message


def test_result_in_time_counts_as_grant_only() -> None:
    partition = Partition()
    partition.put(message("m1"))
    [grant] = partition.lease()
    partition.finish(grant, "success", "sig")
    assert partition.lease_metrics == LeaseMetrics(granted=1)


def test_expired_lease_and_its_late_result_are_counted() -> None:
    partition = Partition()
    partition.put(message("m1"))
    [first] = partition.lease()
    partition.sleep(6.0)
    [second] = partition.lease()
    assert partition.finish(first, "success", "sig") == "gone"
    assert partition.finish(second, "success", "sig") == "taken"
    assert partition.lease_metrics == LeaseMetrics(granted=2, expired=1, late_results=1)


def test_lease_of_dead_dispatcher_is_counted_as_reclaimed() -> None:
    partition = Partition()
    partition.put(message("m1"))
    partition.lease()
    partition.release_dispatchers(lambda _name, _incarnation: False)
    assert partition.lease_metrics == LeaseMetrics(granted=1, reclaimed=1)


def test_lease_that_the_full_disk_kept_is_not_counted_as_reclaimed() -> None:
    partition = Partition()
    log = partition.table._log
    assert isinstance(log, MemoryLog)
    partition.put(message("m1"))
    partition.lease()
    log.failing = "full"
    partition.release_dispatchers(lambda _name, _incarnation: False)
    assert partition.lease_metrics == LeaseMetrics(granted=1)
