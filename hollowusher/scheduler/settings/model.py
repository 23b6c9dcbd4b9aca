"""The types with which a subsystem declares its settings: sections, directives and value kinds.

A value kind parses the words that follow a directive, and has a phrase that describes valid input, so that an
error message can quote the invalid words and describe valid ones.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

_SPANS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_SIZES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
_WITH_UNIT = re.compile(r"([0-9]+(?:\.[0-9]+)?)([A-Za-z]*)")
_SWITCH = {"yes": True, "on": True, "no": False, "off": False}


class ConfigError(Exception):
    """An invalid configuration value; the message names the key, and the file and line if they are known."""


class SettingsFileError(ConfigError):
    """An error in the settings file, with file, line and the reason."""

    def __init__(self, file: str, line: int, why: str) -> None:
        super().__init__(f"{file}:{line}: {why}")
        self.file, self.line, self.why = file, line, why


@dataclass(frozen=True, slots=True)
class ValueKind:
    """Parses and formats one kind of value.

    `wants` describes valid input for error messages; `read` raises ValueError if the words are invalid."""

    wants: str
    read: Callable[[Sequence[str]], Any]
    show: Callable[[Any], str] = str
    gathers: bool = False  # whether the directive may be repeated, each line adding to the value


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`, with brackets around a host that contains colons; raises ValueError if malformed."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(text)
    return host.strip("[]"), int(port)


def show_span(seconds: float) -> str:
    """Format a duration in the largest unit that gives a whole number."""
    for unit in ("h", "m", "s"):
        if seconds >= _SPANS[unit] and math.isclose(seconds % _SPANS[unit], 0.0):
            return f"{seconds / _SPANS[unit]:.12g}{unit}"
    return f"{seconds * 1000:.12g}ms"


def show_size(size: float) -> str:
    """Format a size in bytes in the largest unit that gives a whole number."""
    for unit in ("MiB", "KiB"):
        if size >= _SIZES[unit] and size % _SIZES[unit] == 0:
            return f"{int(size) // _SIZES[unit]}{unit}"
    return f"{size:.0f}B"


def _single_word(words: Sequence[str]) -> str:
    if len(words) != 1:
        raise ValueError("exactly one word is expected")
    return words[0]


def _ranged(
    wants: str, parse: Callable[[str], float], show: Callable[[float], str], least: float, most: float
) -> ValueKind:
    def read(words: Sequence[str]) -> float:
        value = parse(_single_word(words))
        if not least <= value <= most:
            raise ValueError("out of range")
        return value

    return ValueKind(f"{wants} between {show(least)} and {show(most)}", read, show)


def _with_unit(units: dict[str, float] | dict[str, int]) -> Callable[[str], float]:
    def parse(text: str) -> float:
        match = _WITH_UNIT.fullmatch(text)
        if match is None or (match[2] not in units and float(match[1]) != 0):
            raise ValueError(text)
        return float(match[1]) * units.get(match[2], 0)

    return parse


def _integer(text: str) -> int:
    if not re.fullmatch(r"-?[0-9]{1,18}", text):
        raise ValueError(text)
    return int(text)


def _number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def switch() -> ValueKind:
    """A boolean, written yes or no, or on or off."""

    def read(words: Sequence[str]) -> bool:
        if (word := _single_word(words)) not in _SWITCH:
            raise ValueError(word)
        return _SWITCH[word]

    return ValueKind("yes or no", read, lambda value: "yes" if value else "no")


def count(least: int, most: int) -> ValueKind:
    """An integer from `least` to `most`."""
    return _ranged("a whole number", _integer, lambda value: f"{value:.0f}", least, most)


def number(least: float, most: float) -> ValueKind:
    """A decimal number from `least` to `most`."""
    return _ranged("a number", _number, lambda value: f"{value:.12g}", least, most)


def span(least_s: float, most_s: float) -> ValueKind:
    """A duration with a unit, such as 250ms, 10s, 2m or 1h; the value is in seconds."""
    return _ranged("a span such as 250ms, 10s or 2m", _with_unit(_SPANS), show_span, least_s, most_s)


def size(least: int, most: int) -> ValueKind:
    """A memory size with a unit, such as 512B, 64KiB or 16MiB; the value is in bytes."""
    kind = _ranged("a size such as 64KiB or 16MiB", _with_unit(_SIZES), show_size, least, most)
    return ValueKind(kind.wants, lambda words: int(kind.read(words)), show_size)


def address() -> ValueKind:
    """A network address `host:port`; the value is a (host, port) tuple."""
    return ValueKind(
        "host:port",
        lambda words: parse_address(_single_word(words)),
        lambda value: f"{value[0]}:{value[1]}" if value else "",
    )


def word(most: int = 128) -> ValueKind:
    """One word of at most `most` printable characters."""

    def read(words: Sequence[str]) -> str:
        text = _single_word(words)
        if not text or len(text) > most or not text.isprintable():
            raise ValueError(text)
        return text

    return ValueKind(f"one word of at most {most} characters", read)


def words(most: int = 64) -> ValueKind:
    """One to `most` words in each line; the directive may be repeated, and each line adds its words."""

    def read(given: Sequence[str]) -> tuple[str, ...]:
        if not 1 <= len(given) <= most:
            raise ValueError("too few or too many")
        return tuple(given)

    return ValueKind(f"one to {most} words", read, " ".join, gathers=True)


@dataclass(frozen=True, slots=True)
class Directive:
    """One directive: its name, value kind and default, one line of help, and whether it is required."""

    name: str
    kind: ValueKind
    default: Any
    help: str
    needed: bool = False


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the file.

    A `titled` section is written [name TITLE] and may be repeated with other titles; a section without a
    title may appear only once."""

    name: str
    help: str
    directives: tuple[Directive, ...]
    titled: bool = False
    by_name: dict[str, Directive] = field(default_factory=dict, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the directives by name."""
        self.by_name.update({d.name: d for d in self.directives})
