"""A day's troubles as a script: a TOML file of entries with a time and a kind.

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
    beside = false        # true: it does not wait for the troubles before it

An entry that loses a machine that counts waits until the deployment bears the loss.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hollowusher.simulation.faults.stage import KINDS, Wanted
from hollowusher.simulation.world import Size


class ScriptError(Exception):
    """A script that cannot be played; the text names the file and the entry."""


@dataclass(frozen=True)
class ScriptedTrouble:
    """One entry."""

    at: float  # seconds from the start of traffic
    wanted: Wanted
    beside: bool = False


@dataclass(frozen=True)
class Script:
    """A day of one's own."""

    name: str
    troubles: tuple[ScriptedTrouble, ...]
    seeds: tuple[int, ...] = (1,)
    traffic_s: float = 20.0
    calm_s: float = 20.0
    size: Size = field(default_factory=Size)
    changes: bool = True


def read_script(path: Path) -> Script:
    """The script in a file."""
    try:
        return parse_script(path.stem, path.read_text())
    except (OSError, tomllib.TOMLDecodeError, TypeError, KeyError) as error:
        raise ScriptError(f"{path}: {error}") from None


def parse_script(name: str, text: str) -> Script:
    """The script of a file's text."""
    document = tomllib.loads(text)
    troubles = tuple(_entry(entry) for entry in document.pop("trouble", []))
    size = Size(**document.pop("size", {}))
    seeds = tuple(document.pop("seeds", [1]))
    return Script(name, troubles, seeds, size=size, **document)


def _entry(entry: dict[str, Any]) -> ScriptedTrouble:
    words = dict(entry)
    at, beside = float(words.pop("at")), bool(words.pop("beside", False))
    wanted = Wanted(**words)
    if wanted.kind not in KINDS:
        raise KeyError(f"no trouble is called {wanted.kind}")
    return ScriptedTrouble(at, wanted, beside)
