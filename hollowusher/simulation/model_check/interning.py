"""Values folded by their contents: equal ones get one number, so that a global state is a few numbers.

The step of one process depends on its own state and on what reaches it alone: it is computed once and kept.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from typing import Any, Generic, TypeVar

import attrs

from hollowusher.protocol.codec import encode

Value = TypeVar("Value")

_PLAIN = (int, str, bytes, float, type(None))


_prints: dict[int, tuple[Any, bytes]] = {}  # messages by identity, kept alive here, and their encodings


def is_message(value: Any) -> bool:
    """Whether a value is a message of the protocol, which never changes."""
    return type(value).__module__.startswith("hollowusher.protocol.")


def fingerprint(value: Any) -> Hashable:
    """A hashable value that is equal for values of equal contents: plain values, containers, messages, and
    objects with their attributes."""
    if isinstance(value, _PLAIN):
        return value
    if is_message(value):
        known = _prints.get(id(value))
        if known is None:
            known = _prints[id(value)] = (value, encode(value))
        return known[1]
    if isinstance(value, type):
        return value.__name__
    if isinstance(value, list | tuple):
        return tuple([fingerprint(item) for item in value])
    if isinstance(value, set | frozenset):
        return frozenset([fingerprint(item) for item in value])
    if isinstance(value, dict):
        return frozenset([(fingerprint(key), fingerprint(item)) for key, item in value.items()])
    return (type(value).__name__, *[fingerprint(getattr(value, name)) for name in _attributes(value)])


def clone(value: Any) -> Any:
    """A copy that may change without the original; messages are shared."""
    if isinstance(value, (*_PLAIN, frozenset, type)) or is_message(value):
        return value
    if isinstance(value, list | tuple | set):
        return type(value)([clone(item) for item in value])
    if isinstance(value, dict):
        return {key: clone(item) for key, item in value.items()}
    copy = object.__new__(type(value))
    for name in _attributes(value):
        object.__setattr__(copy, name, clone(getattr(value, name)))
    return copy


def _attributes(value: Any) -> list[str]:
    if attrs.has(type(value)):
        return [field.name for field in attrs.fields(type(value))]
    return list(vars(value))


class Interner(Generic[Value]):
    """Numbers for values; `key` gives what makes two of them equal."""

    def __init__(self, key: Callable[[Value], Hashable]) -> None:
        self._key = key
        self._numbers: dict[Hashable, int] = {}
        self._values: list[Value] = []

    def number(self, value: Value) -> int:
        """The number of a value, a new one for a value not seen before."""
        key = self._key(value)
        known = self._numbers.get(key)
        if known is None:
            known = self._numbers[key] = len(self._values)
            self._values.append(value)
        return known

    def __getitem__(self, number: int) -> Value:
        return self._values[number]

    def __len__(self) -> int:
        return len(self._values)


def set_bits(number: int) -> Iterator[int]:
    """Yield the positions of the bits that are set, lowest first."""
    while number:
        low = number & -number
        yield low.bit_length() - 1
        number ^= low
