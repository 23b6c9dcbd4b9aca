"""A day's faults as a script: a TOML file of entries with a time and a kind.

    seeds = [1, 2]
    traffic_s = 20
    [size]
    stores = 4
    [[trouble]]
    at = 2.0
    kind = "replace"
    machine = "store-1"   # left out: drawn by lot
    how = "planned"
    for_s = 1.0
    beside = false        # true: it does not wait for the faults before it

An entry that loses a machine that counts waits until the deployment bears the loss.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hollowusher.simulation.cluster import DeploymentSize
from hollowusher.simulation.faults.context import FAULT_KINDS, FaultRequest


class ScriptError(Exception):
    """A script that cannot be played; the text names the file and the entry."""


@dataclass(frozen=True)
class ScriptedFault:
    """One entry."""

    at: float  # seconds from the start of traffic
    request: FaultRequest
    beside: bool = False


@dataclass(frozen=True)
class FaultScript:
    """A day of one's own."""

    name: str
    faults: tuple[ScriptedFault, ...]
    seeds: tuple[int, ...] = (1,)
    traffic_s: float = 20.0
    calm_s: float = 20.0
    size: DeploymentSize = field(default_factory=DeploymentSize)
    changes: bool = True


def read_script(path: Path) -> FaultScript:
    """Read the script in a file; `ScriptError` if it cannot be played."""
    try:
        return parse_script(path.stem, path.read_text())
    except (OSError, tomllib.TOMLDecodeError, TypeError, KeyError) as error:
        raise ScriptError(f"{path}: {error}") from None


def parse_script(name: str, text: str) -> FaultScript:
    """Parse the text of a script."""
    document = tomllib.loads(text)
    faults = tuple(_entry(entry) for entry in document.pop("trouble", []))
    size = DeploymentSize(**document.pop("size", {}))
    seeds = tuple(document.pop("seeds", [1]))
    return FaultScript(name, faults, seeds, size=size, **document)


def _entry(entry: dict[str, Any]) -> ScriptedFault:
    words = dict(entry)
    at, beside = float(words.pop("at")), bool(words.pop("beside", False))
    request = FaultRequest(**words)
    if request.kind not in FAULT_KINDS:
        raise KeyError(f"no fault is called {request.kind}")
    return ScriptedFault(at, request, beside)
