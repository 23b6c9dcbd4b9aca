"""MIXED and BUDGET: an end that was taken is taken again, and counts once, whatever has happened since."""

from __future__ import annotations

import pytest

from tests.messages.test_partition import Partition
from tests.support.message_store import message

ALL_RESULTS = ("success", "failed", "refused", "not_run", "unknown")


@pytest.mark.parametrize("result", ALL_RESULTS)
def test_a_taken_end_is_taken_again_at_once_and_at_the_next_primary(result: str) -> None:
    partition = Partition()
    partition.put(message("m"))
    (grant,) = partition.lease(pull=True)
    assert partition.finish(grant, result, "sig") == "taken"
    assert partition.finish(grant, result, "sig") == "taken"
    assert partition.taken_over().finish(grant, result, "sig") == "taken"


@pytest.mark.parametrize("result", ["failed", "not_run", "unknown"])
@pytest.mark.parametrize("later", ALL_RESULTS)
def test_a_taken_end_is_taken_again_after_the_next_lease_has_ended(result: str, later: str) -> None:
    """The first worker got no answer and repeats its end when the second one is done."""
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


def test_of_many_ends_the_newest_are_remembered() -> None:
    partition = Partition()
    partition.put(message("m", max_attempts=50))
    grants = []
    for _ in range(8):
        (grant,) = partition.lease(pull=True)
        assert partition.finish(grant, "failed") == "taken"
        grants.append(grant)
        partition.sleep(5.0)
    assert [partition.finish(grant, "failed") for grant in grants] == ["gone"] * 3 + ["taken"] * 5


def test_a_lease_that_ran_out_and_went_to_another_worker_is_gone() -> None:
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
def test_a_message_that_always_fails_runs_max_attempts_times(most: int, takeovers: bool) -> None:
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


def test_a_message_refused_for_good_never_runs_again() -> None:
    partition = Partition()
    key = partition.put(message("m", max_attempts=9))
    (grant,) = partition.lease()
    assert partition.finish(grant, "refused") == "taken"
    partition = partition.taken_over()
    partition.sleep(30.0)
    assert partition.lease() == []
    assert partition.status(key).state == "dead_letter"
