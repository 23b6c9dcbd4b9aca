"""MessagePack encoding of registered message types.

Each message type is an attrs class registered with a number between 1 and 127.  A message travels as a
MessagePack extension of that number which holds the array of its fields, so messages may contain messages.
Fields may be added at the end of a class if they have a default: shorter arrays from older processes decode.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar, cast, dataclass_transform

import attrs
import ormsgpack

MAX_TAG = 127
NO_TAG = 0  # of plain values
_OPTIONS = ormsgpack.OPT_NON_STR_KEYS
MessageType = TypeVar("MessageType", bound=type)
Value = TypeVar("Value")

_types: dict[int, type] = {}
_tags: dict[type, int] = {}
_fields: dict[type, tuple[str, ...]] = {}


class DecodeError(ValueError):
    """The bytes are no message of this protocol."""


@dataclass_transform(frozen_default=True, field_specifiers=(attrs.field,))
def message(tag: int) -> Callable[[MessageType], MessageType]:
    """Register a class as the message type `tag`; it becomes an immutable attrs class with slots."""

    def register(cls: MessageType) -> MessageType:
        made = attrs.frozen(cls)
        if tag in _types or not 1 <= tag <= MAX_TAG:
            raise ValueError(f"message tag {tag} of {cls.__name__} is taken or out of range")
        _types[tag] = made
        _tags[made] = tag
        _fields[made] = tuple(field.name for field in attrs.fields(made))
        return made

    return register


def tag_of(value: object) -> int:
    """Return the tag number of a message's type, `NO_TAG` for a plain value."""
    return _tags.get(type(value), NO_TAG)


def registered_types() -> dict[int, type]:
    """Return all registered message types by tag number."""
    return dict(_types)


def as_document(value: object) -> dict[str, object]:
    """Return a message, and those inside it, as maps by field name, for JSON.

    Field names are part of that interface, unlike on the wire.
    """
    return attrs.asdict(cast("attrs.AttrsInstance", value))


def from_document(kind: type[Value], values: Mapping[str, object]) -> Value:
    """Return the message of such a map; keys that are no fields of it are left out."""
    return kind(**{name: value for name, value in values.items() if name in _fields[kind]})


def evolve(value: Value, **changes: object) -> Value:
    """Return a copy of a message with some fields changed."""
    changed: Value = attrs.evolve(value, **changes)  # type: ignore[misc]  # any message is an attrs class
    return changed


def _encode_message(value: object) -> ormsgpack.Ext:
    tag = _tags.get(type(value))
    if tag is None:
        raise TypeError(f"{type(value).__name__} is no registered message")
    values = [getattr(value, name) for name in _fields[type(value)]]
    return ormsgpack.Ext(tag, ormsgpack.packb(values, default=_encode_message, option=_OPTIONS))


def _decode_message(tag: int, data: bytes) -> object:
    cls = _types.get(tag)
    if cls is None:
        raise DecodeError(f"unknown message type {tag}")
    values = ormsgpack.unpackb(data, ext_hook=_decode_message, option=_OPTIONS)
    return cls(*values)


def encode(value: object) -> bytes:
    """Return the bytes of a message, or of plain values that contain messages."""
    return ormsgpack.packb(value, default=_encode_message, option=_OPTIONS)


def decode(data: bytes) -> Any:  # noqa: ANN401  # of any registered type: the caller checks it
    """Return the value of such bytes.

    Raises
    ------
    DecodeError
        If the bytes are no message of this protocol.
    """
    try:
        return ormsgpack.unpackb(data, ext_hook=_decode_message, option=_OPTIONS)
    except DecodeError:
        raise
    except Exception as error:  # the decoder's own errors, and a type called with the wrong fields
        raise DecodeError(str(error)) from error
