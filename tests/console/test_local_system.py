"""Tests of `python -m hollowusher local`, which runs a small system of real processes on loopback."""

from __future__ import annotations

import random
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from hollowusher.configuration.boot import parse_settings
from hollowusher.console.local.layout import EDGE, STORE, make_layout, settings_text, write_settings
from hollowusher.console.local.processes import LocalProcesses, ProcessEnded

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 110.0  # the command takes about 10 s on an idle machine
MESSAGES = 12


@pytest.fixture(scope="module")
def result() -> subprocess.CompletedProcess[str]:
    """Run the command once for all tests of this module."""
    words = [sys.executable, "-m", "hollowusher", "local", "--messages", str(MESSAGES), "--each"]
    return subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)


def test_real_processes_complete_all_messages(result: subprocess.CompletedProcess[str]) -> None:
    assert result.returncode == 0, result.stdout + result.stderr
    rows = [line.split() for line in result.stdout.splitlines()]
    ends = [row for row in rows if row and row[0].startswith("local-")]
    assert len(ends) == MESSAGES
    assert {row[3] for row in ends} == {"completed"}
    by_service = {row[0]: row for row in rows[len(ends) + 1 :] if row}
    share = str(MESSAGES // 3)
    assert by_service["confirmations"][3:9] == [share, share, share, "0", "0", share]
    assert by_service["reassignments"][3:9] == [share, share, share, "0", "0", "0"]
    assert by_service["bookings"][3:9] == [share, share, share, "0", "0", share]
    assert "all processes have ended" in result.stderr
    (folder,) = {Path(word) for word in result.stderr.split() if "hollowusher-local-" in word}
    assert not folder.exists()


def test_processes_that_are_all_stopped_at_once_exit_without_errors(
    result: subprocess.CompletedProcess[str],
) -> None:
    assert "all processes have ended" in result.stderr
    assert "in disorder" not in result.stderr


def test_each_process_has_its_own_valid_settings(tmp_path: Path) -> None:
    layout = make_layout(3, 4, random.Random(1))
    files = write_settings(layout, tmp_path, "127.0.0.250:9000")
    read = {name: parse_settings(file.read_text(), str(file)) for name, file in files.items()}
    assert len({settings.internal_address for settings in read.values()}) == 7
    assert len({settings.data_dir for settings in read.values()}) == 7
    for machine in layout.machines:
        settings = read[machine.name]
        assert settings.node_name == machine.name
        assert settings.seed_addresses() == [edge.address("internal") for edge in layout.of_role(EDGE)]
        assert settings.serves == (["edge", "control_plane"] if machine.role == EDGE else ["storage"])
        assert Path(settings.data_dir).is_dir()
    assert {machine.zone for machine in layout.of_role(STORE)} == {"zone-a", "zone-b", "zone-c"}


def test_a_layout_contains_no_address_in_use() -> None:
    first_layout = make_layout(3, 3, random.Random(5))
    taken = first_layout.machines[4].address("internal")
    host, _, port = taken.rpartition(":")
    with socket.socket() as other:
        other.bind((host, int(port)))
        other.listen()
        second_layout = make_layout(3, 3, random.Random(5))
    assert taken not in {machine.address("internal") for machine in second_layout.machines}


def test_a_path_with_quotes_is_escaped() -> None:
    layout = make_layout(3, 3, random.Random(2))
    folder = Path('/tmp/a "quoted" folder\\')
    text = settings_text(layout.machines[0], folder, [], "127.0.0.250:9000")
    assert tomllib.loads(text)["dataDir"] == str(folder)


def test_a_process_that_cannot_start_is_reported_with_its_last_line(tmp_path: Path) -> None:
    layout = make_layout(3, 3, random.Random(3))
    files = write_settings(layout, tmp_path, "127.0.0.250:9000")
    for file in files.values():
        file.write_text('nodeName = "alone"')
    processes = LocalProcesses(layout, tmp_path, files)
    processes.start()
    for process in processes.running.values():
        process.wait(TIMEOUT_S)
    with pytest.raises(ProcessEnded, match=r"(?s)edge-1 has ended with code 2:.*machineClass is missing"):
        processes.check()
    assert len(processes.stop()) == 6
