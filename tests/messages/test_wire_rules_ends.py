"""Rules MIXED and BUDGET: a lease result that was accepted is accepted again, but counts only once."""

from __future__ import annotations

import pytest

from tests.messages.test_partition import Partition
from tests.support.message_store import message

ALL_RESULTS = ("success", "failed", "refused", "not_run", "unknown")


@pytest.mark.parametrize("result", ALL_RESULTS)
def test_repeated_result_is_accepted_by_same_and_next_primary(result: str) -> None:
    partition = Partition()
    partition.put(message("m"))
    (grant,) = partition.lease(pull=True)
    assert partition.finish(grant, result, "sig") == "taken"
    assert partition.finish(grant, result, "sig") == "taken"
    assert partition.taken_over().finish(grant, result, "sig") == "taken"


@pytest.mark.parametrize("result", ["failed", "not_run", "unknown"])
@pytest.mark.parametrize("later", ALL_RESULTS)
def test_repeated_result_is_accepted_after_next_lease_has_finished(result: str, later: str) -> None:
    """The first worker received no response and repeats its result after the second worker has finished."""
    partition = Partition()
    key = partition.put(message("m", max_attempts=5))
    (first,) = partition.lease(pull=True)
    assert partition.finish(first, result) == "taken"
    partition.sleep(3.0)
    (second,) = partition.lease(pull=True)
    assert partition.finish(second, later, "sig") == "taken"
    attempts = partition.table.entries[key].state
    for primary in (partition, partition.taken_over()):
        assert primary.finish(first, result) == "taken"
        assert primary.finish(second, later, "sig") == "taken"
        assert primary.table.entries[key].state == attempts, "a repeat changes nothing"
    assert partition.finish(first, "success", "sig") == "gone", "only the end that was taken is taken again"


def test_newest_results_are_remembered() -> None:
    partition = Partition()
    partition.put(message("m", max_attempts=50))
    grants = []
    for _ in range(8):
        (grant,) = partition.lease(pull=True)
        assert partition.finish(grant, "failed") == "taken"
        grants.append(grant)
        partition.sleep(5.0)
    assert [partition.finish(grant, "failed") for grant in grants] == ["gone"] * 3 + ["taken"] * 5


def test_expired_lease_is_gone_after_next_grant() -> None:
    partition = Partition()
    partition.put(message("m"))
    (first,) = partition.lease(pull=True)
    partition.sleep(4.0)
    (second,) = partition.lease(pull=True)
    assert partition.extend(first) == "gone"
    assert partition.finish(first, "success", "sig-1") == "gone"
    assert partition.extend(second) == "taken"
    assert partition.finish(second, "success", "sig-2") == "taken"
    assert partition.finish(first, "success", "sig-1") == "gone", "two leases do not both end with success"


@pytest.mark.parametrize("most", [1, 3])
@pytest.mark.parametrize("takeovers", [False, True])
def test_failing_message_runs_max_attempts_times(most: int, takeovers: bool) -> None:
    partition = Partition()
    key = partition.put(message("m", max_attempts=most))
    runs = 0
    for _ in range(4 * most):
        partition.sleep(5.0)
        for grant in partition.lease():
            runs += 1
            assert partition.finish(grant, "failed") == "taken"
            assert partition.finish(grant, "failed") == "taken", "repeated, it counts once"
        if takeovers:
            partition = partition.taken_over()
    assert runs == most
    assert partition.status(key).state == "dead_letter"


def test_refused_message_never_runs_again() -> None:
    partition = Partition()
    key = partition.put(message("m", max_attempts=9))
    (grant,) = partition.lease()
    assert partition.finish(grant, "refused") == "taken"
    partition = partition.taken_over()
    partition.sleep(30.0)
    assert partition.lease() == []
    assert partition.status(key).state == "dead_letter"
