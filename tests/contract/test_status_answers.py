"""What processes tell operators as JSON: `GET /status`, `GET /control` and `GET /messages/REFERENCE`.

`data/status` holds the answers as they were before the renames; the command line has to read them, too.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from typing import Any

import orjson
import pytest
from click.testing import CliRunner, Result
from syrupy.assertion import SnapshotAssertion

from tests.contract import names
from tests.contract.examples import filled, type_of_tag
from tests.contract.test_configuration_document import COMPLETE
from tests.contract.test_operator_answers import asked

ROOT = Path(__file__).parent.parent.parent
ANSWERS = Path(__file__).parent / "data" / "status"
MEMBER_TAG, VOTER_TAG, VIEW_TAG, PLACED_TAG, PLACEMENT_TAG, ITEM_TAG = 1, 10, 11, 20, 21, 31
WORKER_TAG, WORKERS_TAG, MESSAGE_STATUS_TAG, CONTROL_STATUS_TAG = 34, 35, 60, 83
FIGURES = {"intake": {"accepted": 12, "no_route": 0}, "transport": {"failed_handlers": 1}}
EDGES = ("edge-1", "edge-2", "edge-3")
STORES = ("store-1", "store-2", "store-3")
START_WITHIN_S = 30.0


def member(name: str, number: int, alive: bool = True) -> Any:
    """A process as a member."""
    edge = name.startswith("edge")
    return type_of_tag(MEMBER_TAG)(
        name,
        "edge" if edge else "store",
        f"127.0.0.{number}:7780",
        f"zone-{number % 3}",
        "region",
        1000 + number,
        f"disk-{name}",
        True,
        edge,
        f"127.0.0.{number}:8064" if edge else "",
        int(not alive),
    )


def known() -> Any:
    """What a process knows of a whole system in which a store is dead and another has a new disk."""
    ids = [f"{name}/disk-{name}" for name in STORES]
    replicas = [ids[0], ids[1], "store-3/old-disk"]
    placed = [
        type_of_tag(PLACED_TAG)(0, 3, ids[0], replicas, [ids[2]]),
        type_of_tag(PLACED_TAG)(1, 1, ids[1], [*ids[:2], "store-9/d"]),
    ]
    voters = [type_of_tag(VOTER_TAG)(name, f"disk-{name}", "a:1") for name in EDGES]
    workers = [
        type_of_tag(WORKER_TAG)(f"w-{n}", "s-1", f"10.0.0.{n}:80", "z", 4, "ready" if n else "draining")
        for n in range(3)
    ]
    members = [member(name, n, name != "store-2") for n, name in enumerate((*EDGES, *STORES), start=1)]
    values = {
        "view": type_of_tag(VIEW_TAG)(2, voters, ["edge-2", "edge-1", "edge-3"]),
        "configuration": orjson.dumps(COMPLETE),
        "placement": type_of_tag(PLACEMENT_TAG)(3, placed),
        "workers": type_of_tag(WORKERS_TAG)(workers),
        **{f"member/{each.name}": each for each in members},
    }
    state = names.ClusterKnowledge()
    state.apply([type_of_tag(ITEM_TAG)(key, [1], "test", 1, value) for key, value in values.items()], {})
    return state


class Messages:
    """The states of some messages."""

    async def status(self, reference: str, want_body: bool, deadline: float) -> Any:
        """Read the state of a message."""
        states = {"0-1-17": ("completed", "w.1"), "1-1-1": ("unavailable",), "1-1-2": ("not_primary",)}
        states |= {"1-1-3": ("queued",), "1-1-4": ("dead_letter",), "9-1-1": ("queued",)}
        return type_of_tag(MESSAGE_STATUS_TAG)(*states.get(reference, ("unknown",)))


def told(path: str, knowledge: Any, control: Any) -> list[Any]:
    """The answer of an edge process."""
    application = names.status_application(member("edge-1", 1), knowledge, Messages(), FIGURES, control)
    return list(asked(application, ("GET", path, {}, b""))[0])


def control() -> Any:
    """A control status with every field set."""
    return filled(type_of_tag(CONTROL_STATUS_TAG))


def stored(name: str) -> str:
    """An answer's body as it was."""
    return (ANSWERS / f"{name}.json").read_text()


STORE_VALUES: list[Any] = ["store-1", "zone-a", 1004, 7, 61.5]
STORE_DISK: list[Any] = ["disk-1", 1_000_001, 22, 3, 44, 5, False, "why"]
STORE_PARTITIONS: list[list[Any]] = [[0, 3, "primary", 17, ["store-2"]], [1, 4, "taking over", 18, []]]
STORE_FIGURES = {"connections_accepted": 4, "failed_handlers": 0, "refused": 1}


def test_status_of_an_edge_process() -> None:
    assert told("/status", known(), control()) == [200, {"Content-Type": "application/json"}, stored("edge")]


def test_status_of_an_edge_process_that_knows_nothing() -> None:
    answer = told("/status", names.ClusterKnowledge(), None)
    assert answer == [200, {"Content-Type": "application/json"}, stored("edge-knows-nothing")]


def test_control() -> None:
    assert told("/control", known(), control()) == [
        200,
        {"Content-Type": "application/json"},
        stored("control"),
    ]


def test_control_without_controllers(snapshot: SnapshotAssertion) -> None:
    assert told("/control", known(), None) == snapshot


@pytest.mark.parametrize("reference", ["0-1-17", "1-1-1", "1-1-2", "1-1-3", "1-1-4", "9-1-1", "nosuch"])
def test_messages(reference: str, snapshot: SnapshotAssertion) -> None:
    assert told(f"/messages/{reference}", known(), None) == snapshot


def test_status_of_a_store() -> None:
    body = names.store_status_body(STORE_VALUES, STORE_DISK, STORE_PARTITIONS, STORE_FIGURES)
    assert body.decode() == stored("store")


def test_how_a_store_may_stand_to_a_partition(snapshot: SnapshotAssertion) -> None:
    assert names.store_roles() == snapshot


# ---- processes


def key_paths(value: Any, above: str = "") -> Iterator[str]:
    """The keys of a JSON value with the kinds of their values."""
    if isinstance(value, dict):
        for key, each in value.items():
            yield from key_paths(each, f"{above}.{key}")
    elif isinstance(value, list):
        yield f"{above}[]"
        for each in value[:1]:
            yield from key_paths(each, f"{above}[]")
    else:
        yield f"{above}: {type(value).__name__}"


@contextmanager
def process(role: str, settings: str, folder: Path) -> Iterator[subprocess.Popen[bytes]]:
    """One process of a role by itself."""
    file = folder / "boot.toml"
    file.write_text(settings)
    environment = os.environ | {"HOLLOWUSHER_CONFIG": str(file)}
    with (folder / "log").open("wb") as log:
        started = subprocess.Popen(
            [sys.executable, "-m", "hollowusher", role], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
    try:
        yield started
    finally:
        started.send_signal(signal.SIGTERM)
        try:
            started.wait(15)
        except subprocess.TimeoutExpired:
            started.kill()
            started.wait()


def fetched(url: str) -> Any:
    """The JSON that an address tells, once it does."""
    deadline = time.monotonic() + START_WITHIN_S
    while time.monotonic() < deadline:
        with suppress(OSError), urllib.request.urlopen(url, timeout=2) as answer:
            return json.loads(answer.read())
        time.sleep(0.1)
    raise AssertionError(f"no answer from {url}")


def free_ports(many: int) -> list[int]:
    """Ports in ascending order that were free a moment ago."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(many)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return sorted(probe.getsockname()[1] for probe in probes)


def settings_of(name: str, machine_class: str, first: int, last: int, more: str) -> str:
    """A settings file of a process that is alone."""
    return f"""
nodeName = "{name}"
machineClass = "{machine_class}"
ip = "127.0.0.1"
internalPorts = [{first}, {last}]
{more}
"""


def test_status_of_a_lone_edge_process(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    first, last, frontend, readiness, admin = free_ports(5)
    bind = "\n".join(
        f'{side} = "127.0.0.1:{port}"'
        for side, port in (("frontend", frontend), ("readiness", readiness), ("admin", admin))
    )
    with process("edge", settings_of("edge-1", "edge", first, last, f"[bind]\n{bind}"), tmp_path):
        answer = fetched(f"http://127.0.0.1:{admin}/status")
    assert sorted(set(key_paths(answer))) == snapshot


def test_status_of_a_lone_store(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    first, last = free_ports(2)
    more = f'dataDir = "{tmp_path / "data"}"\n[limits]\ndiskMb = 1'
    with process("store", settings_of("store-1", "storage", first, last, more), tmp_path):
        answer = fetched(f"http://127.0.0.1:{last}/status")
    assert sorted(set(key_paths(answer))) == snapshot


def test_a_store_needs_a_folder(tmp_path: Path) -> None:
    first, last = free_ports(2)
    with process("store", settings_of("store-1", "storage", first, last, ""), tmp_path) as started:
        assert started.wait(START_WITHIN_S) == 2


# ---- the command line reads what processes of before told


@pytest.fixture
def command() -> Iterator[Callable[..., Result]]:
    """`system` with the address of a server that gives the stored answers."""
    paths = {"/status": "edge", "/control": "control"}

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            body = stored(paths[self.path]).encode() if self.path in paths else b'{"error":"gone"}'
            self.send_response(200 if self.path in paths else 404)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *args: Any) -> None:
            """Say nothing."""

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    Thread(target=server.serve_forever, daemon=True).start()
    address = f"127.0.0.1:{server.server_address[1]}"

    def run(*words: str) -> Result:
        program = names.PROGRAMS["hollowusher (whole service)"]
        return CliRunner().invoke(program, ["system", *words], env={"HOLLOWUSHER_AT": address})

    yield run
    server.shutdown()
    server.server_close()


def test_members_as_json(command: Callable[..., Result], snapshot: SnapshotAssertion) -> None:
    result = command("members", "--json")
    assert [result.exit_code, json.loads(result.output)] == snapshot


def test_status_as_json(command: Callable[..., Result], snapshot: SnapshotAssertion) -> None:
    result = command("status", "--json")
    assert [result.exit_code, json.loads(result.output)] == snapshot


def test_check_of_a_system_that_lacks_something(command: Callable[..., Result]) -> None:
    assert command("status", "--check").exit_code == 4


def test_a_refusal_ends_a_command_with_1(command: Callable[..., Result]) -> None:
    result = command("message", "show", "1-2-3")
    assert result.exit_code == 1
    assert "gone" in result.output


def test_a_store_s_answer_is_read(snapshot: SnapshotAssertion) -> None:
    assert names.read_store_answer(stored("store").encode()) == snapshot
