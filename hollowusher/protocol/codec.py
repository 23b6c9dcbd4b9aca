"""MessagePack encoding of registered message types.

Each message type is an attrs class with a tag, a number between 1 and 127.  A message is encoded as a
MessagePack extension of that number with the array of its fields, so messages may contain messages.  A new
field is added at the end of a class with a default, so that the shorter arrays of older processes decode.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar, cast, dataclass_transform

import attrs
import ormsgpack

MAX_TAG = 127
NO_TAG = 0  # the tag of values that are not messages
_OPTIONS = ormsgpack.OPT_NON_STR_KEYS
MessageType = TypeVar("MessageType", bound=type)
Value = TypeVar("Value")

_types: dict[int, type] = {}
_tags: dict[type, int] = {}
_fields: dict[type, tuple[str, ...]] = {}


class DecodeError(ValueError):
    """The bytes are not a valid message of this protocol."""


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
    """Return the tag of a message's type, `NO_TAG` for a value that is not a message."""
    return _tags.get(type(value), NO_TAG)


def registered_types() -> dict[int, type]:
    """Return all registered message types by tag."""
    return dict(_types)


def as_document(value: object) -> dict[str, object]:
    """Return a message, and the messages inside it, as dictionaries by field name for JSON.

    The field names are part of this JSON interface; the wire format does not contain them.
    """
    return attrs.asdict(cast("attrs.AttrsInstance", value))


def from_document(kind: type[Value], values: Mapping[str, object]) -> Value:
    """Return the message of type `kind` from a dictionary by field name; unknown keys are ignored."""
    return kind(**{name: value for name, value in values.items() if name in _fields[kind]})


def evolve(value: Value, **changes: object) -> Value:
    """Return a copy of a message with some fields changed."""
    changed: Value = attrs.evolve(value, **changes)  # type: ignore[misc]  # every message is an attrs class
    return changed


def _encode_message(value: object) -> ormsgpack.Ext:
    tag = _tags.get(type(value))
    if tag is None:
        raise TypeError(f"{type(value).__name__} is not a registered message type")
    values = [getattr(value, name) for name in _fields[type(value)]]
    return ormsgpack.Ext(tag, ormsgpack.packb(values, default=_encode_message, option=_OPTIONS))


def _decode_message(tag: int, data: bytes) -> object:
    cls = _types.get(tag)
    if cls is None:
        raise DecodeError(f"unknown message type {tag}")
    values = ormsgpack.unpackb(data, ext_hook=_decode_message, option=_OPTIONS)
    return cls(*values)


def encode(value: object) -> bytes:
    """Return the encoding of a message, or of a list or dictionary that contains messages."""
    return ormsgpack.packb(value, default=_encode_message, option=_OPTIONS)


def decode(data: bytes) -> Any:  # noqa: ANN401  # any registered type; the caller checks it
    """Return the value that `encode` has encoded.

    Raises
    ------
    DecodeError
        If the bytes are not a valid message of this protocol.
    """
    try:
        return ormsgpack.unpackb(data, ext_hook=_decode_message, option=_OPTIONS)
    except DecodeError:
        raise
    except Exception as error:  # errors of the decoder, and of a message class called with wrong fields
        raise DecodeError(str(error)) from error
