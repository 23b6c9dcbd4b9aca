"""The scheduler in service as operators meet it: admin paths, names of figures, the form of log lines."""

from __future__ import annotations

import http.client
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from tests.contract.test_settings_files import PLATFORM_SETTINGS
from tests.contract.test_status_answers import ROOT, free_ports, key_paths

START_WITHIN_S = 20.0
LOG_LINE = re.compile(
    r"<(\d+)>1 \d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z (\S+) hollowusher \d+ ready "
    r'\[job@32473 name="s1" listen="127\.0\.0\.1:\d+"\] taking jobs\n'
)
CALLS = [
    ("GET", "/_ready"),
    ("GET", "/_vars"),
    ("PUT", "/_vars"),
    ("PUT", "/_workers/detach?name=nobody"),
    ("PUT", "/_workers/attach?name=nobody"),
    ("GET", "/_workers/detach"),
    ("GET", "/_report?name=nosuch"),
    ("GET", "/nosuch"),
]


class Scheduler:
    """One running process; `log` is what it has written."""

    def __init__(self, folder: Path) -> None:
        listen, discovery, self._admin = free_ports(3)
        (folder / "hollowusher.conf").write_text("")
        table = {
            "name": "s1",
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{discovery}",
            "settings": PLATFORM_SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(table))
        environment = {name: value for name, value in os.environ.items() if name != "TMPDIR"} | {
            "PROXY_CONFIG": str(folder / "config.json"),
            "HOLLOWUSHER_CONF": str(folder / "hollowusher.conf"),
            "PROXY_ADMIN_ADDR": f"127.0.0.1:{self._admin}",
        }
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hollowusher"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def call(self, method: str, path: str) -> tuple[int, str, str]:
        """One call to the operators' address: status, content type, body."""
        connection = http.client.HTTPConnection("127.0.0.1", self._admin, timeout=3)
        try:
            connection.request(method, path)
            answer = connection.getresponse()
            return answer.status, answer.headers["Content-Type"], answer.read().decode()
        finally:
            connection.close()

    def wait_ready(self) -> None:
        """Wait until it takes clients."""
        deadline = time.monotonic() + START_WITHIN_S
        while time.monotonic() < deadline:
            with suppress(OSError):
                if self.call("GET", "/_ready")[0] == 200:
                    return
            time.sleep(0.05)
        raise AssertionError(f"not ready: {self.log.read_text()}")


@pytest.fixture
def scheduler(tmp_path: Path) -> Iterator[Scheduler]:
    started = Scheduler(tmp_path)
    try:
        started.wait_ready()
        yield started
    finally:
        started.process.send_signal(signal.SIGTERM)
        try:
            started.process.wait(15)
        except subprocess.TimeoutExpired:
            started.process.kill()
            started.process.wait()


def test_calls_figures_and_log_lines(scheduler: Scheduler, snapshot: SnapshotAssertion) -> None:
    answers = {f"{method} {path}": scheduler.call(method, path) for method, path in CALLS}
    assert answers == snapshot(name="calls")
    for part in ("operators", "list"):
        status, _, body = scheduler.call("GET", f"/_report?name={part}")
        assert [status, sorted(set(key_paths(json.loads(body))))] == snapshot(name=part)
    line = LOG_LINE.fullmatch(scheduler.log.read_text().splitlines(keepends=True)[0])
    assert line is not None
    assert line[1] == "133"
    assert line[2] == "s1"


def test_it_ends_with_0_on_sigterm(scheduler: Scheduler) -> None:
    scheduler.process.send_signal(signal.SIGTERM)
    assert scheduler.process.wait(15) == 0
