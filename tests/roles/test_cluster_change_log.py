"""Tests of the log lines about cluster changes: which process logs which change."""

from __future__ import annotations

from typing import Any

import pytest

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.log_events import LogEvent
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.view import View, Voter
from hollowusher.roles import cluster_change_log as change_log
from hollowusher.roles.cluster_change_log import ClusterChangeLog


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """The logged events as dictionaries."""
    logged: list[dict[str, Any]] = []

    def log(event: LogEvent) -> None:
        logged.append({"event": event.name, **event.fields()})

    monkeypatch.setattr(change_log, "log", log)
    return logged


def member(status: int, leaving: bool = False) -> DistributedItem:
    value = Member("m", "store", "m:1", "z", "r", 7, "d", status=status, leaving=leaving)
    return DistributedItem("member/m", [7, status], "", 0, value)


def placement(version: int, primary: str) -> DistributedItem:
    value = Placement(version, [PartitionPlacement(3, version, primary, ["a/1", "b/1"])])
    return DistributedItem("placement", [version], "", 0, value)


def test_the_head_logs_changes_of_members_and_views(lines: list[dict[str, Any]]) -> None:
    state = ClusterState()
    ClusterChangeLog(state, "", lambda: True)
    view = View(4, [Voter("a", "1", "a:1")], ["a"])
    state.apply(
        [
            member(0),
            member(1),
            member(3, leaving=True),
            DistributedItem("view", [4], "", 0, view),
            placement(1, "a/1"),
            placement(2, "b/1"),
            placement(3, "b/1"),
        ],
        {},
    )
    assert [line["condition"] for line in lines if line["event"] == "member_changed"][-1] == "departing"
    assert [line["chain"] for line in lines if line["event"] == "view_decided"] == [["a"]]


def test_each_change_is_logged_as_it_is_applied(lines: list[dict[str, Any]]) -> None:
    state = ClusterState()
    ClusterChangeLog(state, "", lambda: True)
    for item in (member(0), member(1), placement(1, "a/1"), placement(2, "b/1")):
        state.apply([item], {})
    assert [line.get("condition") for line in lines[:2]] == ["alive", "dead"]
    assert [line["moved_primaries"] for line in lines[2:]] == [{"3": "a/1"}, {"3": "b/1"}]


def test_only_the_head_logs_changes_of_the_cluster(lines: list[dict[str, Any]]) -> None:
    state = ClusterState()
    ClusterChangeLog(state, "", lambda: False)
    state.apply([member(0), placement(1, "a/1")], {})
    assert lines == []


def test_a_store_logs_the_partitions_whose_primary_it_is(lines: list[dict[str, Any]]) -> None:
    state = ClusterState()
    ClusterChangeLog(state, "b/1", lambda: False)
    for item in (placement(1, "a/1"), placement(2, "b/1"), placement(3, "b/1"), placement(4, "a/1")):
        state.apply([item], {})
    assert [line["partitions"] for line in lines] == [[3], []]
