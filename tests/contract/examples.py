"""Example values that are made of types and positions alone, so that no rename changes them."""

from __future__ import annotations

import types
import typing
from typing import Any, Union, get_args, get_origin

import attrs

from tests.contract import names

SCALARS = {str: "text", int: "int", bool: "bool", float: "float", bytes: "bytes", Any: "any"}


def type_of_tag(tag: int) -> Any:
    """The registered message type of a number."""
    return names.registered_types()[tag]


def field_types(kind: Any) -> list[Any]:
    """The resolved types of a class's fields, in their order."""
    hints = typing.get_type_hints(kind)
    return [hints[field.name] for field in attrs.fields(kind)]


def shape(annotation: Any) -> str:
    """A type in words that name no class of the program: messages stand as their numbers."""
    if annotation is type(None):
        return "none"
    if annotation in SCALARS:
        return SCALARS[annotation]
    origin = get_origin(annotation)
    if origin in (Union, types.UnionType):
        return " or ".join(shape(choice) for choice in get_args(annotation))
    if origin in (list, dict, tuple):
        inside = ", ".join(shape(part) for part in get_args(annotation))
        return f"{origin.__name__}[{inside}]"
    for tag, kind in names.registered_types().items():
        if kind is annotation:
            return f"message {tag}"
    raise AssertionError(f"no shape for {annotation}")


def example(annotation: Any, path: str, number: int) -> Any:
    """A value of a type; `path` and `number` make it another one at each place."""
    if annotation is str:
        return f"t{path}é"
    if annotation is bool:
        return number % 2 == 0
    if annotation is int:
        return 1_000 * number + len(path)
    if annotation is float:
        return number + 0.5
    if annotation is bytes:
        return b"\x00\xff" + path.encode()
    if annotation is Any:
        return [f"any{path}", number, b"\x01"]
    origin, inside = get_origin(annotation), get_args(annotation)
    if origin in (Union, types.UnionType):
        return example(next(choice for choice in inside if choice is not type(None)), path, number)
    if origin is list:
        return [example(inside[0], f"{path}.{place}", number + place) for place in range(2)]
    if origin is dict:
        return {
            example(inside[0], f"{path}.k{place}", number + place): example(
                inside[1], f"{path}.v{place}", number + place
            )
            for place in range(2)
        }
    return filled(annotation, path)


def filled(kind: Any, path: str = "") -> Any:
    """An object of a class with every field set, by position."""
    values = [
        example(annotation, f"{path}.{position}", position + 1)
        for position, annotation in enumerate(field_types(kind))
    ]
    return kind(*values)


def default_of(field: Any) -> str:
    """A field's default as text; "needed" where there is none."""
    if field.default is attrs.NOTHING:
        return "needed"
    if hasattr(field.default, "factory"):
        return f"made: {field.default.factory()!r}"
    return repr(field.default)
