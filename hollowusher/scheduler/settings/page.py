"""Generates the documentation tables of directives from the declarations that the reader uses."""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.scheduler.settings.model import Directive, Section


def tables(sections: Iterable[Section]) -> str:
    """Return one Markdown table for each section."""
    return "\n".join(_table(section) for section in sections)


def _table(section: Section) -> str:
    head = f"[{section.name} TITLE]" if section.titled else f"[{section.name}]"
    rows = [f"### `{head}`", "", section.help, ""]
    rows += ["| directive | takes | default | |", "| --- | --- | --- | --- |"]
    rows += [_row(directive) for directive in section.directives]
    return "\n".join([*rows, ""])


def _row(directive: Directive) -> str:
    shown = directive.kind.show(directive.default) if directive.default not in (None, "", ()) else ""
    default = "needed" if directive.needed else f"`{shown}`" if shown else "none"
    return f"| `{directive.name}` | {directive.kind.wants} | {default} | {directive.help} |"
