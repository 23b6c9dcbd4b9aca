"""Keys, defaults and refusals of what is read at a start: settings files, deploy files, environment."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

import hollowusher
from tests.contract import names
from tests.contract.environment import variables_read
from tests.contract.keys import key_rows, positions

ROOT = Path(__file__).parent.parent.parent
PLATFORM_SETTINGS = {  # as the platform writes them
    "grades": [{"name": "q", "effect": "fragile", "goal_time_ns": 10, "deadline_ns": 20}],
    "fleet_size": 1,
    "me": 0,
    "discovery": "ask",
    "granularity_ns": 2_000_000,
    "caps": {
        "cancel": True,
        "probes": True,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after_ns": 2_000_000_000,
        "max_attempts": 3,
        "connect_timeout_ns": 250_000_000,
        "idle_close_ns": 30_000_000_000,
    },
    "contract": {
        "drain_grace_ns": 250_000_000,
        "fall_multiple": 2.5,
        "tip_after_ns": 1_000_000_000,
        "cold_share": 0.12,
        "warm_after_ns": 24_000_000_000,
        "must_ask_in_ns": 10_000_000_000,
    },
}
LEAST = 'nodeName = "edge-1"\nmachineClass = "edge"\nip = "10.0.0.1"\n'
COMPLETE = """
nodeName = "edge-1"
role = "edge"
machineClass = "edge"
ip = "10.0.0.1"
zone = "zone-a"
region = "region-b"
serves = ["edge", "control_plane"]
internalPorts = [7001, 7015]
seedNodes = ["10.0.0.2:8064", "10.0.0.3:8064"]
bootstrap = true
countsForQuorum = true
dataDir = "/data"
unknownKey = 1

[bind]
frontend = "10.0.0.1:8001"
readiness = "10.0.0.1:8002"
admin = "10.0.0.1:8003"

[limits]
memoryMb = 301
maxFds = 302
diskMb = 303
cpuShare = 0.304

[faultTolerance]
machines = 11
zones = 12
regions = 13

[bounds]
seedLagS = 21.5
reuseAfterS = 22.5
contactMs = 23
ackMs = 24
catchUpS = 25.5
drainMs = 26
graceS = 27.5
configApplyMs = 28
statusS = 29.5
callbackTimeoutS = 30.5
visibilityMs = 31
earlyMs = 32
ceilingWindowS = 33.5
ceilingOvershoot = 34.5

[cloudApi]
address = "10.0.0.9:9000"
ratePerS = 41.5
maxLagMs = 42
"""
WRONG = {
    "not TOML": "nodeName",
    "no name": 'machineClass = "edge"\nip = "10.0.0.1"\n',
    "no class": 'nodeName = "edge-1"\nip = "10.0.0.1"\n',
    "no ip": 'nodeName = "edge-1"\nmachineClass = "edge"\n',
    "name is a number": LEAST.replace('"edge-1"', "1"),
    "seeds are a text": LEAST + 'seedNodes = "10.0.0.2:1"\n',
    "one port": LEAST + "internalPorts = [1]\n",
    "ports in the wrong order": LEAST + "internalPorts = [2, 1]\n",
    "port too great": LEAST + "internalPorts = [1, 65536]\n",
    "memory is a text": LEAST + '[limits]\nmemoryMb = "x"\n',
    "address is a number": LEAST + "[cloudApi]\naddress = 1\n",
    "section is a number": LEAST + "limits = 1\n",
    "negative tolerance": LEAST + "[faultTolerance]\nmachines = -1\n",
    "no visibility": LEAST + "[bounds]\nvisibilityMs = 0\n",
}


def test_boot_settings_keys(snapshot: SnapshotAssertion) -> None:
    assert key_rows(names.BootSettings) == snapshot


@pytest.mark.parametrize("text", [LEAST, COMPLETE], ids=["least", "whole"])
def test_boot_settings_values(text: str, snapshot: SnapshotAssertion) -> None:
    settings = names.parse_settings(text, "boot.toml")
    assert [positions(settings), names.boot_addresses(settings)] == snapshot


@pytest.mark.parametrize("which", WRONG)
def test_boot_settings_refusals(which: str, snapshot: SnapshotAssertion) -> None:
    with pytest.raises(names.SettingsError) as refused:
        names.parse_settings(WRONG[which], "boot.toml")
    assert str(refused.value) == snapshot


def _paths(values: Mapping[str, Any], above: str = "") -> Iterator[str]:
    for key, value in values.items():
        yield f"{above}{key}"
        if isinstance(value, dict):
            yield from _paths(value, f"{above}{key}.")


@pytest.mark.parametrize("name", ["system.toml", "balancer.toml"])
def test_deploy_file_keys(name: str, snapshot: SnapshotAssertion) -> None:
    document = tomllib.loads((ROOT / "deploy" / name).read_text())
    assert sorted(_paths(document)) == snapshot


def test_where_the_roles_run(snapshot: SnapshotAssertion) -> None:
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    assert {
        name: {key: role[key] for key in ("on", "share", "serves")} for name, role in roles.items()
    } == snapshot


def test_sections_and_directives(snapshot: SnapshotAssertion) -> None:
    assert names.settings_sections() == snapshot


def test_the_settings_file_of_deploy(snapshot: SnapshotAssertion) -> None:
    assert names.written_directives(ROOT / "deploy" / "hollowusher.conf") == snapshot


@pytest.mark.parametrize(
    "text",
    [
        "[nosuch]\n",
        "[stomp]\nnosuch 1\n",
        "[stomp]\nenabled perhaps\n",
        "enabled yes\n",
        "[stomp]\n[stomp]\n",
        "[stomp]\nenabled yes\nenabled yes\n",
        "[stomp-node]\n",
        "[stomp-node n]\n",
        "[http2]\nstreams many\n",
    ],
)
def test_settings_file_refusals(text: str, tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    file = tmp_path / "hollowusher.conf"
    file.write_text(text)
    with pytest.raises(names.ConfigError) as refused:
        names.written_directives(file)
    assert str(refused.value).replace(str(tmp_path), "FOLDER") == snapshot


def test_environment_variables_that_the_sources_name(snapshot: SnapshotAssertion) -> None:
    assert sorted(variables_read(Path(hollowusher.__file__).parent)) == snapshot


def _platform_file(folder: Path, **changes: Any) -> str:
    file = folder / "config.json"
    table = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": PLATFORM_SETTINGS,
        "name": "filed",
    }
    file.write_text(json.dumps(table | changes))
    return str(file)


def test_what_each_variable_sets(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    file, conf = _platform_file(tmp_path), tmp_path / "hollowusher.conf"
    conf.write_text("")
    settings = {"PROXY_CONFIG": file, "HOLLOWUSHER_CONF": str(conf)}
    given = {
        "PROXY_NAME": "named",
        "PROXY_LISTEN": "127.0.0.1:11",
        "PROXY_DISCOVERY": "127.0.0.1:12",
        "PROXY_ADMIN_ADDR": "127.0.0.1:13",
        "HOLLOWUSHER_SYSLOG": "127.0.0.1:14",
        "TMPDIR": "/shared",
    }
    read = {name: names.scheduler_addresses(settings | {name: value}) for name, value in given.items()}
    read["none of them"] = names.scheduler_addresses(settings)
    assert read == snapshot


def test_the_settings_file_that_a_variable_names_is_read(tmp_path: Path) -> None:
    conf = tmp_path / "other.conf"
    conf.write_text("[nosuch]\n")
    with pytest.raises(names.ConfigError, match=r"other\.conf:1"):
        names.scheduler_addresses({"PROXY_CONFIG": _platform_file(tmp_path), "HOLLOWUSHER_CONF": str(conf)})


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "here"},
        {"discovery": "127.0.0.1:0"},
        {"admin_addr": "x"},
        {"seed": "xyz"},
        {"limits": {"sockets": "many"}},
        {"limits": {"sockets": 3}},
        {"limits": {"memory_mb": 1}},
        {"known": []},
        {"name": 1},
        {"settings": 1},
        {"settings": {}},
        {"peers": ["here"]},
        {"peer_listen": 7},
        {"peers_all": "x"},
    ],
    ids=lambda changes: json.dumps(changes),
)
def test_scheduler_file_refusals(
    changes: dict[str, Any], tmp_path: Path, snapshot: SnapshotAssertion
) -> None:
    conf = tmp_path / "hollowusher.conf"
    conf.write_text("")
    with pytest.raises(names.ConfigError) as refused:
        names.scheduler_addresses({"PROXY_CONFIG": _platform_file(tmp_path, **changes)}, conf)
    assert str(refused.value) == snapshot


def test_a_role_reads_the_file_that_the_environment_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("HOLLOWUSHER_CONFIG", str(tmp_path / "named.toml"))
    assert names.start_program(["store"]) == 2
    assert "named.toml: cannot be read" in capsys.readouterr().err
