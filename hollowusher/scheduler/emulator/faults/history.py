"""The history of a play: what befell whom and what each scheduler told, by time.  One JSON line each."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from hollowusher.scheduler.emulator.faults.script_words import ScheduledFault
from hollowusher.scheduler.settings.model import ConfigError

RIG = "rig"  # who is said to do what the script orders


class HistoryEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that happened, in seconds of the play.  `of`: whom or what it is about."""

    at: float
    who: str
    what: str
    of: str = ""
    why: str = ""
    view: int = 0


class HistoryAction(msgspec.Struct, frozen=True):
    """One thing to be done at a time: a mishap begins, or is over (`ends`).  `number` names the mishap."""

    at_s: float
    number: int
    fault: ScheduledFault
    ends: bool = False


def acts(mishaps: Iterable[ScheduledFault], length_s: float) -> list[HistoryAction]:
    """All that a script orders, in order of time, its repetitions and ends among them."""
    found: list[HistoryAction] = []
    number = 0
    for fault in mishaps:
        at = fault.at_s
        while at <= fault.until_s + 1e-9 and at < length_s:
            number += 1
            found.append(HistoryAction(at, number, fault))
            if fault.for_s:
                found.append(HistoryAction(min(at + fault.for_s, length_s), number, fault, ends=True))
            if not fault.every_s:
                break
            at += fault.every_s
    return sorted(found, key=lambda act: (act.at_s, not act.ends, act.number))


def reports_of(act: HistoryAction) -> HistoryEntry:
    """The history's line for an act."""
    fault = act.fault
    of = ",".join(fault.who)
    if fault.to:
        of += (" <-> " if fault.both else " -> ") + ",".join(fault.to)
    return HistoryEntry(act.at_s, RIG, f"{fault.what}-over" if act.ends else fault.what, of)


def pairs(fault: ScheduledFault) -> frozenset[tuple[str, str]]:
    """The directed links that a mishap is about."""
    found = {(a, b) for a in fault.who for b in fault.to if a != b}
    return frozenset(found | {(b, a) for a, b in found}) if fault.both else frozenset(found)


def write(path: Path, entries: Iterable[HistoryEntry]) -> None:
    """Keep a history."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(b"".join(encoder.encode(entry) + b"\n" for entry in entries))


def read(path: Path) -> list[HistoryEntry]:
    """A history that was kept; ConfigError where it cannot be read."""
    decoder = msgspec.json.Decoder(HistoryEntry)
    try:
        return [decoder.decode(line) for line in path.read_bytes().splitlines()]
    except (OSError, msgspec.DecodeError) as wrong:
        raise ConfigError(f"{path.name}: is no history: {wrong}") from None
