"""Starts, monitors and stops the processes of a local system."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path

import hollowusher
from hollowusher.console.local.layout import GRACE_S, LocalLayout

SETTINGS_VARIABLE = "HOLLOWUSHER_CONFIG"
END_MARGIN_S = 3.0  # time after the grace period before a process is killed
LOG_LINES_SHOWN = 5
ROOT = Path(hollowusher.__file__).resolve().parent.parent


class ProcessEnded(Exception):
    """A process exited unexpectedly; the text contains its last log lines."""


class LocalProcesses:
    """The processes of one layout; the log of the process NAME is the file `NAME/log` in `folder`."""

    def __init__(self, layout: LocalLayout, folder: Path, settings: Mapping[str, Path]) -> None:
        self._layout = layout
        self._folder = folder
        self._settings = settings
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        """Start all processes."""
        for machine in self._layout.machines:
            environment = dict(os.environ, PYTHONPATH=str(ROOT))
            environment[SETTINGS_VARIABLE] = str(self._settings[machine.name])
            with self._log(machine.name).open("wb") as log:
                self.running[machine.name] = subprocess.Popen(
                    [sys.executable, "-m", "hollowusher", machine.role],
                    cwd=self._folder,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )

    def check(self) -> None:
        """Raise `ProcessEnded` if a process has exited."""
        for name, process in self.running.items():
            code = process.poll()
            if code is not None:
                raise ProcessEnded(f"{name} has ended with code {code}:\n{self._last_lines(name)}")

    def stop(self) -> list[str]:
        """Terminate all processes; return the names of those that were killed or exited with an error."""
        for process in self.running.values():
            with suppress(ProcessLookupError):
                process.terminate()
        deadline = time.monotonic() + GRACE_S + END_MARGIN_S
        failed = [name for name, process in self.running.items() if not _wait_or_kill(process, deadline)]
        self.running.clear()
        return failed

    def _log(self, name: str) -> Path:
        return self._folder / name / "log"

    def _last_lines(self, name: str) -> str:
        return "\n".join(self._log(name).read_text(errors="replace").splitlines()[-LOG_LINES_SHOWN:])


def _wait_or_kill(process: subprocess.Popen[bytes], deadline: float) -> bool:
    """Wait for a process until the deadline, then kill it; return whether it exited with code 0 in time."""
    try:
        return process.wait(max(0.0, deadline - time.monotonic())) == 0
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return False
