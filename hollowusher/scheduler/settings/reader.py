"""Reads a settings file against the declared sections.

One directive a line, then words; `#` begins a comment, quotes hold words together as in a shell; sections
begin with [name] or [name TITLE].  The first fault ends the reading: it names file and line, what was read,
and what is wanted there.
"""

from __future__ import annotations

import shlex
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hollowusher.scheduler.settings.model import ConfigError, Section, SettingsFileError

MOST_FILE = 1024 * 1024  # bytes; a larger one is some other file


@dataclass(slots=True)
class Block:
    """One section as it stands in the file; directives that do not stand there have their defaults."""

    section: Section
    title: str
    file: str
    line: int
    values: dict[str, Any] = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Any:
        """The value of a directive."""
        return self.values.get(name, self.section.by_name[name].default)

    def fault(self, name: str, why: str) -> SettingsFileError:
        """A fault of a directive that only shows beside others; raise it."""
        return SettingsFileError(self.file, self.lines.get(name, self.line), f"{self.label} {name}: {why}")

    @property
    def label(self) -> str:
        """The section's head."""
        return f"[{self.section.name} {self.title}]" if self.title else f"[{self.section.name}]"


@dataclass(slots=True)
class Sheet:
    """A whole file."""

    file: str
    blocks: list[Block] = field(default_factory=list)

    def one(self, section: Section) -> Block:
        """The section, or its defaults where it does not stand in the file."""
        return next((b for b in self.blocks if b.section is section), Block(section, "", self.file, 0))

    def all(self, section: Section) -> list[Block]:
        """All of a titled section, in the file's order."""
        return [b for b in self.blocks if b.section is section]


def read_file(path: Path, sections: Iterable[Section]) -> Sheet:
    """The file's settings; an absent file is an empty one.  SettingsError, ConfigError."""
    try:
        if path.stat().st_size > MOST_FILE:
            raise ConfigError(f"{path.name}: is larger than {MOST_FILE} bytes; is it a settings file?")
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return Sheet(path.name)
    except (OSError, UnicodeDecodeError) as wrong:
        raise ConfigError(f"{path.name}: cannot be read: {wrong}") from None
    return read_text(text, path.name, sections)


def read_text(text: str, file: str, sections: Iterable[Section]) -> Sheet:
    """The settings in a text; SettingsError at the first fault."""
    known = {section.name: section for section in sections}
    sheet = Sheet(file)
    block: Block | None = None
    for line, raw in enumerate(text.split("\n"), 1):
        try:
            given = shlex.split(raw, comments=True)
        except ValueError as wrong:
            raise SettingsFileError(file, line, f"cannot be split into words: {wrong}") from None
        if not given:
            continue
        if given[0].startswith("["):
            _ended(block)
            block = _head(" ".join(given), sheet, line, known)
            sheet.blocks.append(block)
        elif block is None:
            raise SettingsFileError(file, line, f"{given[0]}: stands before the first [section]")
        else:
            _directive(block, line, given[0], given[1:])
    _ended(block)
    return sheet


def _head(text: str, sheet: Sheet, line: int, known: Mapping[str, Section]) -> Block:
    if not text.endswith("]"):
        raise SettingsFileError(sheet.file, line, f"{text}: a section is written [name] or [name TITLE]")
    name, _, title = text[1:-1].strip().partition(" ")
    section, title = known.get(name), title.strip()
    if section is None:
        raise SettingsFileError(sheet.file, line, f"[{name}]: is no section{_meant(name, known)}")
    if section.titled and (not title or " " in title):
        raise SettingsFileError(
            sheet.file, line, f"[{name}]: needs a title of one word, as in [{name} TITLE]"
        )
    if title and not section.titled:
        raise SettingsFileError(sheet.file, line, f"[{name}]: takes no title, has {title!r}")
    for other in sheet.blocks:
        if other.section is section and other.title == title:
            raise SettingsFileError(sheet.file, line, f"{other.label}: stands on line {other.line} already")
    return Block(section, title, sheet.file, line)


def _directive(block: Block, line: int, name: str, given: list[str]) -> None:
    directive = block.section.by_name.get(name)
    where = f"{block.label} {name}"
    if directive is None:
        meant = _meant(name, block.section.by_name)
        raise SettingsFileError(block.file, line, f"{where}: is no directive of this section{meant}")
    if name in block.values and not directive.kind.gathers:
        raise SettingsFileError(block.file, line, f"{where}: stands on line {block.lines[name]} already")
    try:
        value = directive.kind.read(given)
    except ValueError:
        was = f"is {' '.join(given)!r}" if given else "nothing follows it"
        raise SettingsFileError(block.file, line, f"{where}: must be {directive.kind.wants}, {was}") from None
    block.values[name] = block.values[name] + value if name in block.values else value
    block.lines[name] = line


def _ended(block: Block | None) -> None:
    for directive in block.section.directives if block else ():
        if block is not None and directive.needed and directive.name not in block.values:
            raise SettingsFileError(block.file, block.line, f"{block.label}: {directive.name} is missing")


def _meant(name: str, known: Iterable[str]) -> str:
    import difflib  # only a fault needs it, and most starts have none

    close = difflib.get_close_matches(name, list(known), 1)
    return f"; is {close[0]!r} meant?" if close else f"; there are {', '.join(sorted(known))}"
