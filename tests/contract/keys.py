"""The keys of files that dataclasses are read from: aliases, types and defaults, without names of fields."""

from __future__ import annotations

import dataclasses
import typing
from typing import Any, get_args, get_origin


def key_of(field: dataclasses.Field[Any]) -> str:
    """The key in the file."""
    return str(field.metadata.get("alias", field.name))


def _words(annotation: Any) -> str:
    if dataclasses.is_dataclass(annotation):
        return "section"
    if get_origin(annotation) is list:
        return f"list of {_words(get_args(annotation)[0])}"
    return (
        str(getattr(annotation, "__name__", annotation))
        if get_origin(annotation) is None
        else str(annotation)
    )


def _default(field: dataclasses.Field[Any]) -> str:
    if field.default is not dataclasses.MISSING:
        return repr(field.default)
    if field.default_factory is dataclasses.MISSING:
        return "needed"
    made = field.default_factory()
    return "of its keys" if dataclasses.is_dataclass(made) else repr(made)


def key_rows(model: Any, above: str = "") -> list[str]:
    """A row for each key: its path, type and default."""
    hints = typing.get_type_hints(model)
    rows = []
    for field in dataclasses.fields(model):
        path = f"{above}{key_of(field)}"
        rows.append(f"{path}: {_words(hints[field.name])} = {_default(field)}")
        inner = hints[field.name]
        if get_origin(inner) is list:
            path, inner = f"{path}[]", get_args(inner)[0]
        if dataclasses.is_dataclass(inner):
            rows += key_rows(inner, f"{path}.")
    return rows


def positions(value: Any) -> Any:
    """An object as plain values by position."""
    if dataclasses.is_dataclass(value):
        return [positions(getattr(value, field.name)) for field in dataclasses.fields(value)]
    return [positions(each) for each in value] if isinstance(value, list) else value
