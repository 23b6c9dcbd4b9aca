"""Reads a settings file against the declared sections.

Each line has one directive and its words.  `#` starts a comment, quotes group words as in a shell, and a
section starts with [name] or [name TITLE].  Reading stops at the first error, which names the file, the line,
the invalid words and the valid input.
"""

from __future__ import annotations

import shlex
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hollowusher.scheduler.settings.model import ConfigError, Section, SettingsFileError

MOST_FILE = 1024 * 1024  # bytes; a larger file is probably not a settings file


@dataclass(slots=True)
class Block:
    """One section of the file with its values; an absent directive has its default."""

    section: Section
    title: str
    file: str
    line: int
    values: dict[str, Any] = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Any:
        """Return the value of a directive, or its default if the file does not set it."""
        return self.values.get(name, self.section.by_name[name].default)

    def fault(self, name: str, why: str) -> SettingsFileError:
        """Return the error to raise for a directive that conflicts with other directives."""
        return SettingsFileError(self.file, self.lines.get(name, self.line), f"{self.label} {name}: {why}")

    @property
    def label(self) -> str:
        """The header of the section as the file spells it."""
        return f"[{self.section.name} {self.title}]" if self.title else f"[{self.section.name}]"


@dataclass(slots=True)
class Sheet:
    """The parsed settings file."""

    file: str
    blocks: list[Block] = field(default_factory=list)

    def one(self, section: Section) -> Block:
        """Return the section, or a block of its defaults if the file does not contain it."""
        return next((b for b in self.blocks if b.section is section), Block(section, "", self.file, 0))

    def all(self, section: Section) -> list[Block]:
        """Return all blocks of a titled section in file order."""
        return [b for b in self.blocks if b.section is section]


def read_file(path: Path, sections: Iterable[Section]) -> Sheet:
    """Parse a settings file; a missing file counts as empty.

    Raises SettingsFileError at the first invalid line, and ConfigError if the file cannot be read."""
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
    """Parse settings from a text; raises SettingsFileError at the first invalid line."""
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
            _check_required(block)
            block = _parse_header(" ".join(given), sheet, line, known)
            sheet.blocks.append(block)
        elif block is None:
            raise SettingsFileError(file, line, f"{given[0]}: stands before the first [section]")
        else:
            _parse_directive(block, line, given[0], given[1:])
    _check_required(block)
    return sheet


def _parse_header(text: str, sheet: Sheet, line: int, known: Mapping[str, Section]) -> Block:
    if not text.endswith("]"):
        raise SettingsFileError(sheet.file, line, f"{text}: a section is written [name] or [name TITLE]")
    name, _, title = text[1:-1].strip().partition(" ")
    section, title = known.get(name), title.strip()
    if section is None:
        raise SettingsFileError(sheet.file, line, f"[{name}]: is no section{_suggest(name, known)}")
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


def _parse_directive(block: Block, line: int, name: str, given: list[str]) -> None:
    directive = block.section.by_name.get(name)
    where = f"{block.label} {name}"
    if directive is None:
        meant = _suggest(name, block.section.by_name)
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


def _check_required(block: Block | None) -> None:
    for directive in block.section.directives if block else ():
        if block is not None and directive.needed and directive.name not in block.values:
            raise SettingsFileError(block.file, block.line, f"{block.label}: {directive.name} is missing")


def _suggest(name: str, known: Iterable[str]) -> str:
    import difflib  # imported here because only error messages need it

    close = difflib.get_close_matches(name, list(known), 1)
    return f"; is {close[0]!r} meant?" if close else f"; there are {', '.join(sorted(known))}"
