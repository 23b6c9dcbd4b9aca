"""The command lines: commands, arguments, options, defaults and exit codes."""

from __future__ import annotations

import re
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import orjson
import pytest
from click.testing import CliRunner
from syrupy.assertion import SnapshotAssertion

from tests.contract import names
from tests.contract.test_configuration_document import COMPLETE

ROOT = Path(__file__).parent.parent.parent
HELP_WORDS = re.compile(r"--?[a-zA-Z][\w-]*")
NOT_SHOWN = ("name", "help")  # of a parameter's description: a name in the program, and prose


def _commands(command: click.Command, path: str) -> Iterator[tuple[str, click.Command]]:
    yield path, command
    if isinstance(command, click.Group):
        for name, inner in sorted(command.commands.items()):
            yield from _commands(inner, f"{path} {name}")


def _plain(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _plain(each) for key, each in value.items()}
    if isinstance(value, Path):
        return str(value.relative_to(ROOT))
    return value


def _parameter(parameter: click.Parameter, command: click.Command) -> dict[str, Any]:
    told = {key: value for key, value in parameter.to_info_dict().items() if key not in NOT_SHOWN}
    shown = {
        "metavar": parameter.make_metavar(click.Context(command)),
        "show_default": getattr(parameter, "show_default", None),
    }
    if isinstance(parameter, click.Argument):
        told.pop("opts")  # the metavar says it as users read it
    return {key: _plain(value) for key, value in (told | shown).items()}


@pytest.mark.parametrize("program", names.PROGRAMS)
def test_commands_and_parameters(program: str, snapshot: SnapshotAssertion) -> None:
    found = {
        path: [_parameter(parameter, command) for parameter in command.params]
        for path, command in _commands(names.PROGRAMS[program], program)
    }
    assert found == snapshot


def run(*words: str, **environment: str) -> subprocess.CompletedProcess[str]:
    """One run of `python -m WORDS`."""
    return subprocess.run(
        [sys.executable, "-m", *words],
        cwd=ROOT,
        env={"PATH": "/usr/bin:/bin", "COLUMNS": "120", **environment},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize(
    "words",
    [
        ("hollowusher",),
        ("hollowusher", "local"),
        ("hollowusher", "system"),
        ("hollowusher", "system", "config", "put"),
        ("hollowusher.simulation",),
        ("hollowusher.simulation.model_check",),
        ("hollowusher.simulation.model_check", "control"),
    ],
    ids=" ".join,
)
def test_help(words: tuple[str, ...], snapshot: SnapshotAssertion) -> None:
    told = run(*words, "--help")
    usage = told.stdout.splitlines()[0]
    commands = [line.split()[0] for line in told.stdout.partition("\nCommands:\n")[2].splitlines()]
    options = sorted(set(HELP_WORDS.findall(told.stdout.partition("\nOptions:\n")[2])))
    assert [told.returncode, usage, commands, options] == snapshot


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (("hollowusher",), 2),  # no configuration named
        (("hollowusher", "nosuch"), 2),
        (("hollowusher", "edge"), 2),  # no settings file
        (("hollowusher", "store"), 2),
        (("hollowusher", "local", "--edges", "2"), 2),
        (("hollowusher", "check", "README.md"), 1),
        (("hollowusher", "check", "deploy/hollowusher.conf"), 0),
        (("hollowusher", "check", "nosuch"), 2),
        (("hollowusher.simulation", "--nosuch"), 2),
        (("hollowusher.simulation", "--seeds", "1", "--traffic", "1", "--calm", "1", "--quiet-days"), 0),
        (("hollowusher.simulation.model_check", "nosuch"), 2),
        (("hollowusher.simulation.model_check", "control", "--part", "agreement", "--depth", "3"), 0),
        (("hollowusher.simulation.model_check", "control", "--planted", "nosuch"), 2),
        (("hollowusher.simulation.model_check", "control", "--planted", "commits-alone"), 1),
    ],
    ids=lambda value: " ".join(value) if isinstance(value, tuple) else "",
)
def test_exit_codes_of_processes(words: tuple[str, ...], code: int) -> None:
    environment = {"HOLLOWUSHER_CONFIG": "/nonexistent/boot.toml"}
    assert run(*words, **environment).returncode == code


def _closed_port() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["system", "status"], 2),
        (["system", "nosuch"], 2),
        (["system", "status", "--at", "nowhere"], 2),
        (["system", "status", "--at", "CLOSED"], 3),
        (["system", "members", "--at", "CLOSED"], 3),
        (["system", "config", "get", "--at", "CLOSED"], 3),
        (["system", "message", "show", "1-2-3", "--at", "CLOSED"], 3),
        (["system", "config", "check", "GOOD"], 0),
        (["system", "config", "check", "BAD"], 1),
        (["system", "config", "check", "NOSUCH"], 2),
        (["system", "recover-partition", "x", "--accept-loss", "a/b", "--at", "CLOSED"], 2),
        (["system", "recover-partition", "1", "--accept-loss", "a/b", "--at", "CLOSED"], 1),  # not confirmed
        (["system", "recover-partition", "1", "--accept-loss", "a/b", "--yes", "--at", "CLOSED"], 3),
    ],
    ids=lambda value: " ".join(value) if isinstance(value, list) else "",
)
def test_exit_codes_of_the_operators_commands(words: list[str], code: int, tmp_path: Path) -> None:
    (tmp_path / "good").write_bytes(orjson.dumps(COMPLETE))
    (tmp_path / "bad").write_bytes(orjson.dumps(COMPLETE | {"generation": 0}))
    places = {"CLOSED": _closed_port(), "GOOD": str(tmp_path / "good"), "BAD": str(tmp_path / "bad")}
    given = [places.get(word, word) for word in words]
    result = CliRunner().invoke(names.PROGRAMS["hollowusher (whole service)"], given)
    assert result.exit_code == code, result.output


def test_addresses_come_from_the_environment() -> None:
    result = CliRunner().invoke(
        names.PROGRAMS["hollowusher (whole service)"],
        ["system", "status"],
        env={"HOLLOWUSHER_AT": _closed_port()},
    )
    assert result.exit_code == 3
