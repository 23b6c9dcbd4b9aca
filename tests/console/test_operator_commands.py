"""Tests of the commands for failures: the control status in `system status`, and `recover-partition`."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import orjson
import pytest
from click.testing import CliRunner, Result

from hollowusher.console.admin_client import AdminCallError, AdminResponse
from hollowusher.console.commands import cli
from hollowusher.console.control_report import (
    control_problems,
    control_summary,
    format_voters,
    parse_control_status,
)
from hollowusher.console.status_report import ProcessReport, StatusReport
from hollowusher.console.status_tables import find_problems, format_system_status, system_status_document
from hollowusher.console.store_report import DiskReport, HostedPartition, StoreReport
from hollowusher.console.store_tables import format_stores, store_problems
from hollowusher.console.system_status import SystemStatus, parse_store_report
from hollowusher.protocol.codec import as_document, evolve
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus
from tests.console.test_console import Admin

PATH = "/recover-partition/2"

VOTERS = [
    VoterStatus("edge-1", "d1", True, True, True, [4, 12]),
    VoterStatus("edge-2", "d2", True, True, False, [4, 9]),
    VoterStatus("edge-3", "d3", False, False, False, [3, 7]),
]
PARTITIONS = [
    PartitionStatus(0, 2, "store-1/d1", 3, 3),
    PartitionStatus(1, 5, "store-2/d2", 2, 3, ["store-4/d4"]),
    PartitionStatus(2, 3, "store-3/d3", 1, 3, [], True),
]
STATUS = ControlStatus(
    "edge-1", 4, 12, 7, "edge-1", "edge-2", True, 2, VOTERS, ["edge-4"], 0, -1, PARTITIONS, 0.4
)
COMPLETE = evolve(
    STATUS,
    voters=[evolve(voter, heard=True, complete=True, state_version=[4, 12]) for voter in VOTERS],
    controller_losses_borne=1,
    store_losses_borne=1,
    partitions=PARTITIONS[:1],
)
MEBIBYTE = 1024 * 1024
DISK = DiskReport("d1", 40 * 1024 * 1024, 120, 0, 3, 0, False)
STORE = StoreReport("store-1", "zone-a", 17, 7, 33.0, DISK, [HostedPartition(0, 2, "primary", 5, [])], {})


def test_a_status_survives_encoding_and_decoding() -> None:
    body = orjson.dumps(as_document(STATUS) | {"of_a_newer_process": 1})
    assert parse_control_status(AdminResponse("edge-1:8064", 200, body)).ok == STATUS
    assert parse_control_status(AdminResponse("edge-1:8064", 200, b'{"voters": 1}')).is_error()
    assert parse_store_report(AdminResponse("store-1:7795", 200, orjson.dumps(STORE))).ok == STORE
    assert parse_store_report(AdminResponse("store-1:7795", 200, b"{}")).is_error()


def test_a_store_of_the_former_version_tells_no_catch_up_size_and_no_messages_behind_a_key() -> None:
    document = orjson.loads(orjson.dumps(STORE))
    del document["catch_up_size_bytes"], document["catch_up_limit_bytes"]
    del document["behind_key"], document["longest_behind_key_s"]
    assert parse_store_report(AdminResponse("store-1:7795", 200, orjson.dumps(document))).ok == STORE


def test_messages_behind_an_ordering_key_are_shown_with_the_longest_time() -> None:
    waiting = replace(STORE, behind_key=12, longest_behind_key_s=31.4)
    assert "12, 31 s" in format_stores({"store-1": waiting})


def test_voters_are_shown_with_their_role_and_lag() -> None:
    lines = [line.split() for line in format_voters(STATUS).splitlines()]
    assert lines[1:] == [
        ["edge-1", "d1", "yes", "head", "yes", "4/12", "0"],
        ["edge-2", "d2", "yes", "tail", "no", "4/9", "3"],
        ["edge-3", "d3", "no", "voter", "no", "3/7", "epoch", "3", "of", "4"],
    ]
    summary = dict(control_summary(STATUS))
    assert summary["voters"] == "3, 2 heard, 2 are a majority"
    assert summary["bears"] == "controllers: no further loss; stores: too many are lost already"
    assert summary["spares"] == "edge-4"


def test_each_problem_is_named() -> None:
    assert control_problems(COMPLETE) == []
    first, second = control_problems(STATUS)
    assert "not heard: edge-3" in first and "without the whole state: edge-2" in first
    assert second.startswith("partition 2 is lost: 1 of 3 replicas live")
    assert "no head answers" in control_problems(evolve(COMPLETE, leads=False))[0]
    stalled = StoreReport(
        "store-1",
        "z",
        1,
        7,
        1.0,
        DiskReport("d", 0, 0, 0, 0, 0, True),
        [HostedPartition(0, 1, "primary", 1, ["s"])],
        {},
    )
    silent = AdminCallError("GET /status", "store-2:7795", "no answer in time")
    large = replace(STORE, catch_up_size_bytes=90 * MEBIBYTE, catch_up_limit_bytes=80 * MEBIBYTE)
    assert store_problems({"store-1": large}) == [
        "store-1 has more records than a replacement receives within catchUpS: 90 of 80 MiB"
    ]
    assert store_problems({"store-1": replace(large, catch_up_size_bytes=80 * MEBIBYTE)}) == []
    assert [line.split(" ")[0] for line in store_problems({"store-1": stalled, "store-2": silent})] == [
        "the",
        "store-1",
        "store-2",
    ]


def test_the_full_status_contains_the_control_status_and_the_stores() -> None:
    report = StatusReport(ProcessReport("edge-1", "z", 1, True, True, 7, 1.0))
    full_status = SystemStatus(report, {"edge-1": report.process}, 0, STATUS, {"store-1": STORE})
    text = format_system_status(full_status)
    for part in ("2 are a majority", "epoch 3 of 4", "LOST", "catching up".upper(), "in order"):
        assert part in text, text
    assert any("partition 2 is lost" in line for line in find_problems(full_status))
    document = orjson.loads(orjson.dumps(system_status_document(full_status)))
    assert document["control"]["controller_losses_borne"] == 0
    assert document["stores"]["store-1"]["disk"]["syncs"] == 120


# ---- system recover-partition


class Edge:
    """The admin server of an edge process, which responds to orders to recover partition 2."""

    def __init__(self, admin: Admin) -> None:
        self.address = admin.address
        self._admin = admin
        self.answers(200, b'{"state":"recovered"}')

    def answers(self, status: int, body: bytes) -> None:
        """Set the response to all further orders."""
        self._admin.answers["POST", PATH] = [(status, body)]

    @property
    def orders(self) -> list[object]:
        """The bodies of the received orders."""
        return [orjson.loads(body) for method, path, _, body in self._admin.orders if path == PATH]


@pytest.fixture
def edge() -> Iterator[Edge]:
    admin = Admin()
    admin.start()
    yield Edge(admin)
    admin.stop()


@pytest.fixture
def recover(edge: Edge) -> Callable[..., Result]:
    def invoke(*words: str, at: str = "", typed: str = "") -> Result:
        order = ["system", "recover-partition", "2", *words]
        return CliRunner().invoke(cli, order, env={"HOLLOWUSHER_AT": at or edge.address}, input=typed)

    return invoke


def test_an_order_names_the_abandoned_replicas(edge: Edge, recover: Callable[..., Result]) -> None:
    done = recover("--accept-loss", "store-1/d1", "--accept-loss", "store-2/d2", "--yes")
    assert (done.exit_code, done.output) == (0, "partition 2: goes on with what is left\n")
    assert edge.orders == [{"acceptLossOf": ["store-1/d1", "store-2/d2"]}]


def test_the_command_asks_for_confirmation_and_changes_nothing_without_it(
    edge: Edge, recover: Callable[..., Result]
) -> None:
    refused = recover("--accept-loss", "store-1/d1", typed="n\n")
    assert refused.exit_code == 1 and "will be lost" in refused.output
    assert edge.orders == []
    assert recover("--accept-loss", "store-1/d1", typed="y\n").exit_code == 0
    assert len(edge.orders) == 1


def test_an_order_without_abandoned_replicas_is_wrong_usage(
    edge: Edge, recover: Callable[..., Result]
) -> None:
    assert recover("--yes").exit_code == 2
    assert edge.orders == []


def test_a_rejection_is_reported(edge: Edge, recover: Callable[..., Result]) -> None:
    edge.answers(409, b'{"error":"store-1/d1 lives"}')
    refused = recover("--accept-loss", "store-1/d1", "--yes")
    assert refused.exit_code == 1 and "store-1/d1 lives" in refused.output


def test_an_order_without_a_definite_response_is_not_retried(
    edge: Edge, recover: Callable[..., Result]
) -> None:
    edge.answers(503, b"")
    unknown = recover("--accept-loss", "store-1/d1", "--yes", at=f"{edge.address},{edge.address}")
    assert unknown.exit_code == 3 and "may have been done" in unknown.output
    assert len(edge.orders) == 1


def test_an_order_is_sent_to_the_next_address_if_a_connection_is_refused(
    edge: Edge, recover: Callable[..., Result]
) -> None:
    done = recover("--accept-loss", "store-1/d1", "--yes", at=f"127.0.0.1:1,{edge.address}")
    assert done.exit_code == 0
    nobody = recover("--accept-loss", "store-1/d1", "--yes", at="127.0.0.1:1")
    assert nobody.exit_code == 3 and "nothing was changed" in nobody.output
