"""Formats plain-text tables for terminals: columns fit the widest cell, numeric columns align right."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

GAP = "  "
Cell = str | int | float


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Cell]]) -> str:
    """Format a table; a column that contains only numbers is aligned to the right."""
    cells = [list(row) for row in rows]
    texts = [[_text(cell) for cell in row] for row in cells]
    widths = [max([len(head), *(len(row[column]) for row in texts)]) for column, head in enumerate(headers)]
    right = [
        bool(cells) and all(isinstance(row[column], int | float) for row in cells)
        for column in range(len(headers))
    ]
    lines = [_line([head.upper() for head in headers], widths, right)]
    lines += [_line(row, widths, right) for row in texts]
    return "\n".join(lines)


def _text(cell: Cell) -> str:
    return f"{cell:.1f}" if isinstance(cell, float) else str(cell)


def _line(row: Sequence[str], widths: Sequence[int], right: Sequence[bool]) -> str:
    padded = [
        text.rjust(width) if to_right else text.ljust(width)
        for text, width, to_right in zip(row, widths, right, strict=True)
    ]
    return GAP.join(padded).rstrip()
