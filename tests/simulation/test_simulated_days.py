"""Days of our own for control under losses, as scripts, and the planted faults that the simulation finds."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from hollowusher.simulation.faults import injector
from hollowusher.simulation.faults.context import FAULT_KINDS, FaultRequest
from hollowusher.simulation.faults.script import ScriptError, parse_script, read_script
from hollowusher.simulation.planted import PLANTED_FAULTS

DAYS = sorted((Path(__file__).parent / "days").glob("*.toml"))
PLAYED_HERE = ("2-two-operators", "4-many-changes")  # the others by command: `--script FILE`


def run_simulation(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "hollowusher.simulation", *words]
    environment = {**os.environ, "PYTHONHASHSEED": "0"}
    return subprocess.run(command, capture_output=True, text=True, env=environment, timeout=120)


class TestScripts:
    """Reading scripts."""

    def test_an_entry(self) -> None:
        script = parse_script(
            "x",
            'seeds = [4]\n[size]\nstores = 4\n[[trouble]]\nat = 2\nkind = "replace"\nhow = "planned"\n',
        )
        assert script.seeds == (4,)
        assert script.size.stores == 4
        assert script.faults[0].at == 2.0
        assert script.faults[0].request == FaultRequest("replace", how="planned")

    def test_a_misspelt_key_is_named(self, tmp_path: Path) -> None:
        file = tmp_path / "bad.toml"
        file.write_text('[[trouble]]\nat = 2\nkindd = "kill"\n')
        with pytest.raises(ScriptError, match="kindd"):
            read_script(file)

    def test_an_unknown_kind_is_named(self, tmp_path: Path) -> None:
        file = tmp_path / "bad.toml"
        file.write_text('[[trouble]]\nat = 2\nkind = "killl"\n')
        with pytest.raises(ScriptError, match="killl"):
            read_script(file)

    def test_there_is_a_day_for_each_point(self) -> None:
        assert injector.MODULES
        assert {day.name[0] for day in DAYS} >= set("12345")
        for day in DAYS:
            assert all(entry.request.kind in FAULT_KINDS for entry in read_script(day).faults)


class TestDays:
    """Short plays of the days."""

    @pytest.mark.parametrize("name", PLAYED_HERE)
    def test_a_day_keeps_all_rules(self, name: str) -> None:
        day = next(day for day in DAYS if day.stem == name)
        done = run_simulation("--script", str(day), "--seeds", "1", "--rate", "6")
        assert "all rules kept" in done.stdout, done.stdout + done.stderr
        assert done.returncode == 0, done.stdout + done.stderr

    def test_a_successor_at_the_address_of_a_voter_that_is_gone_votes(self) -> None:
        day = next(day for day in DAYS if day.stem == "5-wrong-caller")
        done = run_simulation("--script", str(day), "--seeds", "2", "--rate", "12")
        assert "all rules kept" in done.stdout, done.stdout + done.stderr
        assert done.returncode == 0, done.stdout + done.stderr


class TestPlantedFaults:
    """The register of planted faults; all of them are looked for by `--planted all`."""

    def test_there_are_enough_of_control(self) -> None:
        control = [
            fault
            for fault in PLANTED_FAULTS.values()
            if fault.plant.__module__.rpartition(".")[2] in ("control", "membership", "calls")
        ]
        assert len(control) >= 30

    def test_each_names_kinds_that_there_are(self) -> None:
        for fault in PLANTED_FAULTS.values():
            named = {entry.request.kind for entry in fault.script or ()} | set(fault.fault_kinds or ())
            assert named <= FAULT_KINDS.keys(), fault.name

    def test_a_fault_of_control_is_found(self) -> None:
        done = run_simulation("--planted", "history-not-passed-on", "--seeds", "1-2", "--rate", "6")
        assert "1 of 1 planted faults found" in done.stdout, done.stdout + done.stderr
