"""Reading of a document's maps into dataclasses, without a library.

Every process does this before it serves: a library that compiles a reader for each class takes a quarter of a
start.  What is read here is either checked by its reader first (the settings file) or was checked by the
controller that took it (the operator's configuration, see `checks`).

A field's key is its metadata `alias`, or its name.  Types are those of the annotations: `str`, `int`,
`float`, `bool`, `list[...]`, or a dataclass of the `sections` that a class is read with.  Unknown keys are
ignored.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

Section = TypeVar("Section")
Sections = Mapping[str, type[Any]]  # annotation -> the class of a section, or of the items of a list
_NUMBERS: Mapping[str, Callable[[Any], Any]] = {"int": int, "float": float}


class SectionError(Exception):
    """A map that cannot be read; the text names the key and what is wanted."""


def key(alias: str) -> dict[str, Any]:
    """Return the metadata of a field that has another name in the document."""
    return {"alias": alias}


def key_of(field: dataclasses.Field[Any]) -> str:
    """Return the key of a field in the document."""
    return str(field.metadata.get("alias", field.name))


def read_section(kind: type[Section], values: Mapping[str, Any], sections: Sections) -> Section:
    """Return the dataclass of a map.

    Raises
    ------
    SectionError
        If a key is missing or a value has another type.
    """
    found: dict[str, Any] = {}
    for field in dataclasses.fields(kind):  # type: ignore[arg-type]  # a dataclass, by the callers
        name = key_of(field)
        if name in values:
            found[field.name] = _read_value(name, str(field.type), values[name], sections)
        elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
            raise SectionError(f"{name} is missing")
    return kind(**found)


def _read_value(name: str, annotation: str, value: Any, sections: Sections) -> Any:
    section = sections.get(annotation)
    if section is not None and annotation.startswith("list["):
        items = _expect(name, "list", isinstance(value, list), value)
        return [_read_nested(f"{name}[{place}]", section, item, sections) for place, item in enumerate(items)]
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
