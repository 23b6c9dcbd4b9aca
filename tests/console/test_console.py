"""Tests of the operators' command line: output and exit codes, and the status API of an edge process."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from aiohttp import web
from click.testing import CliRunner, Result
from syrupy.assertion import SnapshotAssertion

from hollowusher.console.admin_client import AdminCallError, AdminResponse
from hollowusher.console.commands import cli
from hollowusher.console.local import traffic
from hollowusher.console.local.stub_services import StubCallbackReceiver, StubWorkerHistory
from hollowusher.console.status_api import StatusApi
from hollowusher.console.status_report import (
    DEAD,
    MAX_MEMBERS,
    MAX_PARTITIONS,
    OTHER_DISK,
    PRESENT,
    UNKNOWN,
    ProcessReport,
    StatusReport,
    make_status_report,
)
from hollowusher.console.status_tables import (
    find_problems,
    format_configuration,
    format_members,
    format_message,
    format_system_status,
)
from hollowusher.console.system_status import SystemStatus, parse_status_report
from hollowusher.console.text_table import format_table
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import MessageStatusResponse
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.view import View, Voter
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList

CONFIGURATION = traffic.make_configuration("127.0.0.9:8080") | {"generation": 7}
DOCUMENT = orjson.dumps(CONFIGURATION)
ROOT = Path(__file__).parent.parent.parent
EDGES = ("edge-1", "edge-2", "edge-3")
STORES = ("store-1", "store-2", "store-3")


def member(name: str, number: int, **changes: Any) -> Member:
    role = name.partition("-")[0]
    facts: dict[str, Any] = {
        "disk_id": f"disk-{name}",
        "counts": True,
        "controller": role == "edge",
        "admin": f"127.0.0.{number}:8064" if role == "edge" else "",
    }
    zone = f"zone-{'abc'[number % 3]}"
    return Member(name, role, f"127.0.0.{number}:7780", zone, "region", 1000 + number, **(facts | changes))


def members(**changes: Any) -> list[Member]:
    names = EDGES + STORES
    return [member(name, number, **changes.get(name, {})) for number, name in enumerate(names, start=1)]


def store_id(name: str, disk: str = "") -> str:
    return f"{name}/{disk or f'disk-{name}'}"


def placement(partitions: int = 4) -> Placement:
    entries = []
    for number in range(partitions):
        primary = store_id(STORES[number % 3])
        entries.append(PartitionPlacement(number, 1, primary, [store_id(name) for name in STORES]))
    return Placement(3, entries)


def known(*items: tuple[str, Any]) -> ClusterState:
    state = ClusterState()
    state.apply([DistributedItem(key, [1], "test", 1, value) for key, value in items], {})
    return state


def complete_state(listed: list[Member], placed: Placement) -> ClusterState:
    view = View(2, [Voter(name, "d", "a") for name in EDGES], ["edge-2", "edge-1", "edge-3"])
    workers = [
        PlatformWorker(f"w-{n}", "confirmations", f"10.0.0.{n}:80", "z", 4, "ready" if n else "draining")
        for n in range(3)
    ]
    return known(
        ("view", view),
        ("configuration", DOCUMENT),
        ("placement", placed),
        ("workers", PlatformWorkerList(workers)),
        *((f"member/{each.name}", each) for each in listed),
    )


def process(name: str = "edge-1", **changes: Any) -> ProcessReport:
    facts = {"ready": True, "generation": 7, "up_s": 61.4} | changes
    return ProcessReport(name, "zone-b", 1001, True, **facts)


def report(state: ClusterState, own: ProcessReport | None = None) -> StatusReport:
    """Create a status report, and encode and decode it as between an edge process and the command line."""
    figures = {"intake": {"accepted": 12, "no_route": 0}, "transport": {"failed_handlers": 1}}
    made = make_status_report(own or process(), state, 4.2, figures)
    read = parse_status_report(AdminResponse("127.0.0.1:8064", 200, orjson.dumps(made)))
    assert read.is_ok(), read
    status_report: StatusReport = read.ok
    assert status_report == made
    return status_report


def make_system_status(status_report: StatusReport, **others: ProcessReport | AdminCallError) -> SystemStatus:
    processes: dict[str, ProcessReport | AdminCallError] = {status_report.process.name: status_report.process}
    return SystemStatus(
        status_report, processes | {name.replace("_", "-"): each for name, each in others.items()}
    )


def test_the_status_of_a_complete_system(snapshot: SnapshotAssertion) -> None:
    status_report = report(complete_state(members(), placement()))
    complete = make_system_status(status_report, edge_2=process("edge-2"), edge_3=process("edge-3"))
    assert find_problems(complete) == []
    assert format_system_status(complete) == snapshot


def test_the_status_names_everything_that_lacks(snapshot: SnapshotAssertion) -> None:
    listed = members(**{"store-2": {"status": 1}, "store-3": {"disk_id": "new"}})
    placed = placement()
    placed.partitions[1].learners.append(store_id("store-3", "new"))
    placed.partitions[2].replicas[2] = store_id("store-9")
    silent = AdminCallError("GET /status", "127.0.0.2:8064", "no answer in time")
    status_report = report(complete_state(listed, placed), process(generation=6))
    degraded = make_system_status(status_report, edge_2=silent, edge_3=process("edge-3", ready=False))
    text = format_system_status(degraded)
    assert text == snapshot
    for line in find_problems(degraded):
        assert line in text


def test_the_status_of_a_process_that_knows_nothing(snapshot: SnapshotAssertion) -> None:
    status_report = report(ClusterState(), process(ready=False, generation=0))
    assert format_system_status(make_system_status(status_report)) == snapshot


def test_the_state_of_each_replica_is_reported() -> None:
    listed = members(**{"store-2": {"status": 1}, "store-3": {"disk_id": "new"}})
    placed = Placement(1, [PartitionPlacement(0, 1, store_id("store-2"), [store_id(n) for n in STORES])])
    placed.partitions[0].replicas.append(store_id("store-4"))
    status_report = report(complete_state(listed, placed)).placement
    assert status_report is not None
    assert [copy.state for copy in status_report.partitions[0].copies] == [PRESENT, DEAD, OTHER_DISK, UNKNOWN]
    assert (status_report.copies_lacking, status_report.without_primary) == (3, 1)


def test_a_report_of_a_large_system_is_bounded_and_its_totals_are_complete() -> None:
    many = [member(f"edge-{n}", n, status=n % 2) for n in range(2 * MAX_MEMBERS)]
    placed = placement(2 * MAX_PARTITIONS)
    last = placed.partitions[-1]
    last.replicas.append(store_id("store-9"))
    status_report = report(complete_state([*many, *members()], placed))
    assert status_report.placement is not None
    assert len(status_report.members.entries) == MAX_MEMBERS
    assert status_report.members.total == 2 * MAX_MEMBERS + len(STORES)
    assert status_report.placement.total == 2 * MAX_PARTITIONS
    assert len(status_report.placement.partitions) == MAX_PARTITIONS
    assert status_report.placement.partitions[0].partition == last.partition  # missing replicas come first


def test_a_response_without_a_report_is_an_error_with_step_and_peer() -> None:
    for body in (b"", b"[]", b'{"process":{"name":3}}'):
        read = parse_status_report(AdminResponse("127.0.0.1:8064", 200, body))
        assert read.is_error()
        assert str(read.error).startswith("read the status at 127.0.0.1:8064: ")


def test_members(snapshot: SnapshotAssertion) -> None:
    listed = members(**{"store-2": {"status": 1}, "edge-3": {"controller": False, "counts": False}})
    assert format_members(report(complete_state(listed, placement()))) == snapshot


def test_a_configuration(snapshot: SnapshotAssertion) -> None:
    assert format_configuration(CONFIGURATION) == snapshot


def test_a_message(snapshot: SnapshotAssertion) -> None:
    document = {
        "reference": "3-1-17",
        "state": "queued",
        "signature": "",
        "partition": 3,
        "primary": "store-1",
    }
    assert format_message(document) == snapshot


def test_numeric_columns_are_aligned_to_the_right() -> None:
    lines = format_table(["name", "count"], [["a", 5], ["long name", 1234]]).splitlines()
    assert lines == ["NAME       COUNT", "a              5", "long name   1234"]
    assert format_table(["name"], []) == "NAME"


# ---- messages of a local system


def ended_messages() -> tuple[list[traffic.LocalMessage], StubWorkerHistory, StubCallbackReceiver]:
    messages = traffic.plan_messages(31, "127.0.0.9:9000")
    history, receiver = StubWorkerHistory(), StubCallbackReceiver("127.0.0.9")
    for message in messages:
        message.id, message.response_status, message.response_ms = (
            f"local-{message.number}-1",
            202,
            10.0 + message.number,
        )
        message.reference = f"{message.number % 4}-1-{message.number}"
        for _ in range(2):
            status, message.signature = history.run("worker-1", message.id, message.body)
            if status != 500:
                break
        message.state = "completed" if status == 200 else "dead_letter"
        if message.callback_url:
            message.callback_received = True
            receiver.received[message.id] = (message.state, message.signature)
    return messages, history, receiver


def test_messages_and_their_ends(snapshot: SnapshotAssertion) -> None:
    messages, history, receiver = ended_messages()
    assert traffic.find_failures(messages, history, receiver) == []
    assert {message.state for message in messages} == {"completed", "dead_letter"}
    assert max(history.deliveries.values()) == 2
    assert traffic.format_summary(messages) == snapshot
    assert traffic.format_messages(messages[:6], history) == snapshot


def test_every_wrong_end_is_found(snapshot: SnapshotAssertion) -> None:
    messages, history, receiver = ended_messages()
    messages[0].response_status = 504
    messages[1].state = "queued"
    messages[4].signature = "another's"
    del receiver.received[messages[5].id]
    receiver.received[messages[8].id] = ("dead_letter", "")
    assert traffic.find_failures(messages, history, receiver) == snapshot


# ---- commands


class Admin:
    """An admin server of an edge process: the real status handlers, and canned responses to orders."""

    def __init__(self) -> None:
        self.state = complete_state([member("edge-1", 1), *members()[3:]], placement())
        self.orders: list[tuple[str, str, str | None, bytes]] = []
        self.answers: dict[tuple[str, str], list[tuple[int, bytes]]] = {}
        self.address = ""
        self.now = 100.0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    async def status(self, reference: str, want_body: bool, deadline: float) -> MessageStatusResponse:
        """Return the state of a message."""
        known_states = {
            "3-1-17": MessageStatusResponse("completed", "w.1"),
            "2-1-1": MessageStatusResponse("unavailable"),
            "17": MessageStatusResponse("queued"),
        }
        return known_states.get(reference, MessageStatusResponse("unknown"))

    def last_order(self) -> tuple[str, str, str | None, bytes]:
        """Return the method, path, If-Match and body of the last order."""
        return self.orders[-1]

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.orders.append((request.method, request.path, request.headers.get("If-Match"), body))
        answers = self.answers.get((request.method, request.path), [(404, b"")])
        status, content = answers[0] if len(answers) == 1 else answers.pop(0)
        return web.Response(status=status, body=content, content_type="application/json")

    async def _serve(self) -> web.AppRunner:
        application = web.Application()
        own = member("edge-1", 1)
        StatusApi(
            lambda: own, self.state, self, lambda: True, lambda: {"intake": {"accepted": 3}}, lambda: self.now
        ).add_routes(application)
        application.router.add_route("*", "/{path:.*}", self._order)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return runner

    def start(self) -> None:
        """Serve in a separate thread, because the commands run their own event loops."""
        self._thread.start()
        self._runner = asyncio.run_coroutine_threadsafe(self._serve(), self._loop).result(10)
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop the server and its thread."""
        asyncio.run_coroutine_threadsafe(self._runner.cleanup(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
        self._loop.close()


@pytest.fixture
def admin() -> Iterator[Admin]:
    served = Admin()
    served.start()
    yield served
    served.stop()


@pytest.fixture
def run(admin: Admin) -> Callable[..., Result]:
    def invoke(*words: str) -> Result:
        return CliRunner().invoke(cli, ["system", *words], env={"HOLLOWUSHER_AT": admin.address})

    return invoke


def test_status_shows_the_process_asked_and_the_time_since_the_list_changed(
    admin: Admin, run: Callable[..., Result]
) -> None:
    admin.now = 130.0
    admin.state.apply([DistributedItem("workers", [2], "test", 2, PlatformWorkerList([]))], {})
    admin.now = 133.0
    shown = run("status", "--check")
    assert shown.exit_code == 0, shown.output
    assert "0 listed, last change 3 s ago" in shown.output
    assert "edge-1, up 33 s" in shown.output
    output_json = orjson.loads(run("status", "--json").output)
    assert output_json["report"]["process"]["generation"] == 7
    assert output_json["report"]["figures"] == {"intake": {"accepted": 3}}
    assert output_json["lacks"] == []


def test_status_check_fails_if_there_are_problems(admin: Admin, run: Callable[..., Result]) -> None:
    dead = member("store-2", 5, status=1)
    admin.state.apply([DistributedItem("member/store-2", [2], "test", 2, dead)], {})
    assert run("status").exit_code == 0
    checked = run("status", "--check")
    assert checked.exit_code == 4
    assert "store-2 is not there" in checked.output


def test_members_as_json(run: Callable[..., Result]) -> None:
    output_json = orjson.loads(run("members", "--json").output)
    assert output_json["total"] == output_json["alive"] == 4
    assert [entry["name"] for entry in output_json["entries"]] == ["edge-1", *STORES]


def test_a_message_is_shown_with_its_partition(run: Callable[..., Result]) -> None:
    output_json = orjson.loads(run("message", "show", "3-1-17", "--json").output)
    assert output_json == {
        "reference": "3-1-17",
        "state": "completed",
        "signature": "w.1",
        "partition": 3,
        "epoch": 1,
        "primary": "store-1",
    }
    assert "state      queued" in run("message", "show", "17").output
    absent = run("message", "show", "9/../9")
    assert absent.exit_code == 1
    assert "9/../9: no such message" in absent.output


def test_a_call_without_a_definite_response_is_retried_and_then_exits_with_3(
    admin: Admin, run: Callable[..., Result], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hollowusher.console.admin_client.FIRST_BACKOFF_S", 0.001)
    monkeypatch.setattr("hollowusher.console.admin_client.MAX_BACKOFF_S", 0.001)
    admin.answers["GET", "/config"] = [(503, b""), (429, b""), (200, DOCUMENT)]
    assert run("config", "get").exit_code == 0
    assert len(admin.orders) == 3
    monkeypatch.setattr("hollowusher.console.admin_client.FIRST_BACKOFF_S", 60.0)
    silent = run("message", "show", "2-1-1")
    assert silent.exit_code == 3
    assert f"GET /messages/2-1-1 at {admin.address}: status 503" in silent.output
    nobody = run("status", "--at", "127.0.0.1:1")
    assert nobody.exit_code == 3
    assert "GET /status at 127.0.0.1:1: no connection: Connection refused" in nobody.output


def test_another_address_is_tried(admin: Admin, run: Callable[..., Result]) -> None:
    shown = run("members", "--at", f"127.0.0.1:1,{admin.address}", "--json")
    assert shown.exit_code == 0


def test_config_get_prints_the_document_unchanged(admin: Admin, run: Callable[..., Result]) -> None:
    admin.answers["GET", "/config"] = [(200, DOCUMENT)]
    assert run("config", "get", "--json").output.strip().encode() == DOCUMENT
    assert run("config", "get").output.startswith("generation 7\n")


def test_config_put_changes_the_current_generation(
    admin: Admin, run: Callable[..., Result], tmp_path: Path
) -> None:
    file = tmp_path / "new.json"
    file.write_bytes(b'{"generation":9}')
    admin.answers["GET", "/config"] = [(200, DOCUMENT)]
    admin.answers["PUT", "/config"] = [(200, b'{"generation":9}')]
    assert run("config", "put", str(file)).output == "generation 9 is in force\n"
    assert admin.last_order() == ("PUT", "/config", "7", b'{"generation":9}')
    admin.answers["GET", "/config"] = [(404, b'{"error":"there is no configuration yet"}')]
    run("config", "put", str(file))
    assert admin.last_order()[2] == "0"
    admin.answers["PATCH", "/config"] = [(412, b'{"error":"If-Match: the current version is 8"}')]
    refused = run("config", "put", "--patch", "--if-match", "5", str(file))
    assert refused.exit_code == 1
    assert refused.output == (
        f"hollowusher: refused (412) by {admin.address}: If-Match: the current version is 8\n"
    )
    assert admin.last_order()[:3] == ("PATCH", "/config", "5")


def test_retire_waits_until_the_machine_is_empty(
    admin: Admin, run: Callable[..., Result], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hollowusher.console.system_commands.RETIRE_POLL_S", 0.001)
    admin.answers["POST", "/retire/store-1"] = [(200, b'{"state":"running"}')]
    admin.answers["GET", "/retire/store-1"] = [(200, b'{"state":"running"}'), (200, b'{"state":"completed"}')]
    assert run("retire", "store-1").output == "store-1: running\n"
    assert run("retire", "store-1", "--duration", "5", "--wait").output == "store-1: completed\n"
    assert admin.orders[1][3] == b'{"durationS":5.0}'
    admin.answers["POST", "/retire/store-1"] = [(409, b'{"error":"too few storage machines would remain"}')]
    refused = run("retire", "store-1", "--wait")
    assert refused.exit_code == 1
    assert "refused (409)" in refused.output


def test_wrong_usage(snapshot: SnapshotAssertion) -> None:
    results_by_words = {}
    for words in ("status", "status --at here", "status --at 127.0.0.1:99999", "config put nowhere.json"):
        result = CliRunner().invoke(cli, ["system", *words.split()], env={"HOLLOWUSHER_AT": ""})
        results_by_words[words] = (result.exit_code, result.output.splitlines()[-1])
    assert results_by_words == snapshot


def test_the_commands_import_neither_the_scheduler_nor_its_libraries() -> None:
    heavy = (
        "hollowusher.scheduler.cli",
        "hollowusher.scheduler.app",
        "matplotlib",
        "scipy",
        "numpy",
        "uvloop",
        "h2",
    )
    code = (
        "import sys\n"
        "from hollowusher.__main__ import main\n"
        "try:\n    main(['system', '--help'])\n"
        f"finally:\n    print('loaded', [name for name in {heavy!r} if name in sys.modules])"
    )
    finished = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert "retire" in finished.stdout
    assert finished.stdout.splitlines()[-1] == "loaded []"


def changed(section: str, number: int, **changes: Any) -> dict[str, Any]:
    document: dict[str, Any] = orjson.loads(DOCUMENT)
    document[section][number] |= changes
    return document


REFUSED: dict[str, Any] = {
    "no JSON": b"{",
    "a list": [],
    "no generation": {},
    "generation 0": CONFIGURATION | {"generation": 0},
    "no routes": {"generation": 1, "upstreams": [], "limits": {}},
    "unknown service": changed("routes", 0, upstream="nobody"),
    "time-out 0": changed("routes", 1, timeoutMs=0),
    "prefix twice": changed("routes", 1, pathPrefix="/confirm/"),
    "prefix without /": changed("routes", 1, pathPrefix="confirm"),
    "attempts as text": changed("routes", 2, maxAttempts="3"),
    "name twice": changed("routes", 2, name="r-confirmations"),
    "fixed without port": changed("upstreams", 2, fixed="127.0.0.1"),
    "negative rate": changed("upstreams", 2, ratePerS=-1),
    "limits as a list": CONFIGURATION | {"limits": []},
}


def test_config_check_needs_no_system_and_says_what_is_wrong(
    tmp_path: Path, snapshot: SnapshotAssertion
) -> None:
    file = tmp_path / "new.json"

    def check(content: Any) -> Result:
        file.write_bytes(content if isinstance(content, bytes) else orjson.dumps(content))
        return CliRunner().invoke(cli, ["system", "config", "check", str(file)])

    good = check(CONFIGURATION)
    assert (good.exit_code, good.output) == (
        0,
        "new.json: in order: generation 7, 3 routes, 3 services\n",
    )
    results = {name: check(content) for name, content in REFUSED.items()}
    assert {result.exit_code for result in results.values()} == {1}
    assert {name: result.output.strip() for name, result in results.items()} == snapshot
