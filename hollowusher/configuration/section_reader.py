"""Decodes the maps of a TOML or JSON document into dataclasses, without a library.

Every process decodes its settings and the configuration before it serves.  A library that compiles a decoder
for each class would take a quarter of the start time.  This module checks only keys and types: `boot`
validates the values of a settings file, and the controller that accepts a configuration validates it (see
`checks`).

The key of a field is its metadata `alias`, or its name.  Supported annotations are `str`, `int`, `float`,
`bool`, `str | None`, `list[...]`, and the dataclasses that the caller passes as `sections`.  Unknown keys
are ignored.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

Section = TypeVar("Section")
Sections = Mapping[str, type[Any]]  # annotation -> the dataclass of the value, or of the list's items
_NUMBERS: Mapping[str, Callable[[Any], Any]] = {"int": int, "float": float}


class SectionError(Exception):
    """A map cannot be decoded; the text names the key and the expected type."""


def key(alias: str) -> dict[str, Any]:
    """Return the metadata of a field whose key in the document differs from the field's name."""
    return {"alias": alias}


def key_of(field: dataclasses.Field[Any]) -> str:
    """Return the key of a field in the document."""
    return str(field.metadata.get("alias", field.name))


def read_section(dataclass_type: type[Section], values: Mapping[str, Any], sections: Sections) -> Section:
    """Decode a map into an instance of a dataclass.

    Raises
    ------
    SectionError
        If a key is missing or a value has a wrong type.
    """
    values_by_field: dict[str, Any] = {}
    for field in dataclasses.fields(dataclass_type):  # type: ignore[arg-type]  # callers pass dataclasses only
        name = key_of(field)
        if name in values:
            values_by_field[field.name] = _read_value(name, str(field.type), values[name], sections)
        elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
            raise SectionError(f"{name} is missing")
    return dataclass_type(**values_by_field)


def _read_value(name: str, annotation: str, value: Any, sections: Sections) -> Any:
    section = sections.get(annotation)
    if section is not None and annotation.startswith("list["):
        items = _expect(name, "list", isinstance(value, list), value)
        return [_read_nested(f"{name}[{index}]", section, item, sections) for index, item in enumerate(items)]
    if section is not None:
        return _read_nested(name, section, value, sections)
    if annotation in _NUMBERS:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return _NUMBERS[annotation](_expect(name, annotation, is_number, value))
    if annotation.startswith("list["):
        return list(_expect(name, annotation, isinstance(value, list), value))
    kinds: dict[str, type[Any] | tuple[type[Any], ...]] = {
        "str": str,
        "bool": bool,
        "str | None": (str, type(None)),
    }
    return _expect(name, annotation, isinstance(value, kinds[annotation]), value)


def _read_nested(name: str, section: type[Any], value: Any, sections: Sections) -> Any:
    _expect(name, section.__name__, isinstance(value, Mapping), value)
    try:
        return read_section(section, value, sections)
    except SectionError as error:
        raise SectionError(f"{name}.{error}") from None


def _expect(name: str, wanted: str, is_wanted: bool, value: Any) -> Any:  # noqa: FBT001
    if not is_wanted:
        raise SectionError(f"{name}: {value!r} is not {wanted}")
    return value
