"""Planted faults that short days of the simulation do not reach: the tests of the part find them."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from hollowusher.simulation.planted import PLANTED_FAULTS, planting

REPOSITORY = Path(__file__).parent.parent.parent
FOUND_BY = {
    "delay-lost-at-takeover": (
        "tests/messages/test_partition.py::test_matches_reference_partition_without_faults"
    ),
    "emptied-too-early": "tests/coordination/placement/test_store_retirement.py",
    "learner-promoted-early": "tests/coordination/placement/test_planner_replicas.py",
    "moved-primary-serves-on": "tests/messages/test_replication.py::test_random_faults_lose_no_message",
    "order-answered-for-the-state-held": "tests/coordination/controller/test_orders_of_deposed_head.py",
    "seed-forgets-the-view": "tests/coordination/distribution/test_cluster_client.py",
    "unknown-put-answered-503": "tests/intake/test_store_client.py",
}
RUN_WITH_FAULT = """
import sys, pytest
from hollowusher.simulation.planted import planting
with planting(sys.argv[1]):
    sys.exit(pytest.main(["-q", "-x", "-n", "0", "-p", "no:cacheprovider", sys.argv[2]]))
"""


@pytest.mark.parametrize("fault", sorted(FOUND_BY))
def test_the_tests_of_the_part_find_it(fault: str) -> None:
    command = [sys.executable, "-c", RUN_WITH_FAULT, fault, FOUND_BY[fault]]
    done = subprocess.run(command, capture_output=True, text=True, cwd=REPOSITORY, timeout=120)
    assert done.returncode == pytest.ExitCode.TESTS_FAILED, done.stdout + done.stderr
    assert "FAILED tests/" in done.stdout, done.stderr  # a fault that cannot be planted ends with 1, too


@pytest.mark.parametrize("fault", sorted(PLANTED_FAULTS))
def test_it_can_be_planted_and_taken_back(fault: str) -> None:
    """A name that no longer exists ends the planting, and not a check that finds the fault."""
    with planting(fault):
        pass
