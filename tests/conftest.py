"""The order of the tests, and the tests that are known to fail.

The longest come first, so that workers that run in parallel end at about one time.  The order changes nothing
in what is run.  `LONGEST` was taken from `pytest --durations`; a test that is not in it is run after them, in
the usual order.
"""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest

from tests.known_red import is_listed, read_known_red, unknown

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
WITHOUT, ONLY = "without", "only"
ALL_LISTED = pytest.StashKey[bool]()  # whether tests were found, and all of them left out

LONGEST = (  # the longest first; the first four play scripts in real time
    "test_shared_state_process.py::SharedStateProcesses::test_failures_reach_all_members_and_a_partition_marks_no_node_bad",
    "test_faults_process.py::ShortSet::test_they_hold_with_faults_between_processes",
    "test_log_replication_process.py::Copies::test_nothing_runs_twice_and_all_have_one_answer_while_processes_die",
    "test_log_replication_process.py::Copies::test_a_group_without_its_majority_refuses_and_says_so",
    "test_lab.py::Compare::test_the_same_is_a_tie_and_a_known_bad_set_point_is_worse",
    "test_log_replication.py::EveryOrder::",
    "test_log_replication.py::Storms::test_each_planted_fault_around_jobs_is_found",
    "test_emulator_model.py::Theory::test_mean_wait_of_m_m_",
    "test_http2_property.py::",
    "test_log_replication.py::Storms::test_each_planted_fault_of_the_protocol_is_found",
    "test_membership_check.py::ModelCheck::test_every_order_to_a_small_depth",
    "test_membership_check.py::ModelCheck::test_each_planted_fault_is_found",
    "test_parsers.py::NodeLists::test_registry_keeps_static_nodes_and_bounds_the_others",
    "test_http2_process.py::GoawayUnderLoad::test_no_unsafe_job_runs_twice_and_each_job_has_one_answer",
    "test_membership.py::HardCases::test_whatever_befalls_them_they_agree_once_messages_flow",
    "test_replacement.py::",
    "test_local_system.py::",
    "test_chain.py::test_no_commit_is_lost_in_random_runs",
    "test_faults.py::InVirtualTime::",
    "test_reload.py::",
    "test_properties.py::",
    "test_rehearsal.py::Suspicion::",
    "test_any_names.py::",
    "test_fleet.py::",
    "test_shared_state.py::BudgetLimits::",
)


def pytest_addoption(parser: pytest.Parser) -> None:
    """`--known-red`: leave the tests of KNOWN-RED.txt out, or run them alone."""
    parser.addoption("--known-red", choices=(WITHOUT, ONLY), help="the tests listed in KNOWN-RED.txt")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Choose by `--known-red`, then put the items in order."""
    wanted = config.getoption("--known-red")
    if wanted is not None:
        listed = read_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
        strangers = unknown(listed, (item.nodeid for item in items))
        if strangers and wanted == ONLY:  # the others are run in parts, which do not hold all entries
            raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(strangers)}")
        chosen = [item for item in items if is_listed(item.nodeid, listed) == (wanted == ONLY)]
        config.stash[ALL_LISTED] = wanted == WITHOUT and bool(items) and not chosen
        items[:] = chosen
    _put_in_order(items)


def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    """Let a run pass that was left without a test because every test it found is listed."""
    if exitstatus == pytest.ExitCode.NO_TESTS_COLLECTED and session.config.stash.get(ALL_LISTED, False):
        session.exitstatus = pytest.ExitCode.OK


def _put_in_order(items: list[pytest.Item]) -> None:
    """Put the longest tests first, each followed by a short one: a worker is always given its next test
    beside the one that it runs, and two long ones must not wait for each other."""
    longest = sorted((item for item in items if _rank(item) < len(LONGEST)), key=_rank)
    others = [item for item in items if _rank(item) == len(LONGEST)]
    pairs = itertools.zip_longest(longest, others[: len(longest)])
    items[:] = [item for pair in pairs for item in pair if item is not None] + others[len(longest) :]


def _rank(item: pytest.Item) -> int:
    name = item.nodeid
    return next((rank for rank, part in enumerate(LONGEST) if part in name), len(LONGEST))
