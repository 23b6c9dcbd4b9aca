"""The history of a play: what befell whom and what each scheduler told, by time.  One JSON line each."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from hollowusher.scheduler.emulator.faults.words import Mishap
from hollowusher.scheduler.settings.model import ConfigError

RIG = "rig"  # who is said to do what the script orders


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that happened, in seconds of the play.  `of`: whom or what it is about."""

    at: float
    who: str
    what: str
    of: str = ""
    why: str = ""
    view: int = 0


class Act(msgspec.Struct, frozen=True):
    """One thing to be done at a time: a mishap begins, or is over (`ends`).  `number` names the mishap."""

    at_s: float
    number: int
    mishap: Mishap
    ends: bool = False


def acts(mishaps: Iterable[Mishap], length_s: float) -> list[Act]:
    """All that a script orders, in order of time, its repetitions and ends among them."""
    found: list[Act] = []
    number = 0
    for mishap in mishaps:
        at = mishap.at_s
        while at <= mishap.until_s + 1e-9 and at < length_s:
            number += 1
            found.append(Act(at, number, mishap))
            if mishap.for_s:
                found.append(Act(min(at + mishap.for_s, length_s), number, mishap, ends=True))
            if not mishap.every_s:
                break
            at += mishap.every_s
    return sorted(found, key=lambda act: (act.at_s, not act.ends, act.number))


def told_of(act: Act) -> Entry:
    """The history's line for an act."""
    mishap = act.mishap
    of = ",".join(mishap.who)
    if mishap.to:
        of += (" <-> " if mishap.both else " -> ") + ",".join(mishap.to)
    return Entry(act.at_s, RIG, f"{mishap.what}-over" if act.ends else mishap.what, of)


def pairs(mishap: Mishap) -> frozenset[tuple[str, str]]:
    """The directed links that a mishap is about."""
    found = {(a, b) for a in mishap.who for b in mishap.to if a != b}
    return frozenset(found | {(b, a) for a, b in found}) if mishap.both else frozenset(found)


def write(path: Path, entries: Iterable[Entry]) -> None:
    """Keep a history."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(b"".join(encoder.encode(entry) + b"\n" for entry in entries))


def read(path: Path) -> list[Entry]:
    """A history that was kept; ConfigError where it cannot be read."""
    decoder = msgspec.json.Decoder(Entry)
    try:
        return [decoder.decode(line) for line in path.read_bytes().splitlines()]
    except (OSError, msgspec.DecodeError) as wrong:
        raise ConfigError(f"{path.name}: is no history: {wrong}") from None
