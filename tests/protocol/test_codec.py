"""The encoding of messages between processes."""

from __future__ import annotations

import inspect
from types import ModuleType
from typing import Any

import attrs
import ormsgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowusher.protocol import codec, control, identity, status, store
from hollowusher.protocol.codec import DecodeError, decode, encode, evolve, message

TAGS = {  # the numbers that each module may give to its messages
    control: [*range(1, 50), *range(100, 128)],
    store: list(range(50, 80)),
    status: list(range(80, 90)),
    identity: list(range(90, 100)),
}


def messages_of(module: ModuleType) -> list[type]:
    """The message types that a module defines."""
    return [
        each
        for _, each in inspect.getmembers(module, inspect.isclass)
        if each.__module__ == module.__name__ and attrs.has(each)
    ]


ALL = [kind for module in TAGS for kind in messages_of(module)]
VALUES: dict[str, Any] = {
    "str": "text é",
    "int": 2**40,
    "bool": True,
    "float": 1.5,
    "bytes": b"\x00\xff",
    "Any": None,
    "Member": control.Member("n", "edge", "a:1", "z", "r", 5),
    "Voter": control.Voter("n", "d", "a:1"),
    "View": control.View(1, [control.Voter("n", "d", "a:1")], ["n"], {"n": 1}),
    "ControlState": control.ControlState(3, 7, b"{}", [[7, b"digest"]]),
    "NewMessage": store.NewMessage("id", "r", "s", "POST", "/p", "h", b"body", headers=[["A", "b"]]),
    "Placement": control.Placement(2, [control.PartitionPlacement(0, 1, "s/d", ["s/d"])]),
}


def sample(annotation: str) -> Any:
    """A value of a field's annotation."""
    choice = annotation.removesuffix(" | None")
    outer, _, inner = choice.partition("[")
    inner = inner.removesuffix("]")
    if outer == "list":
        return [sample(inner), sample(inner)]
    if outer == "dict":
        key, _, value = inner.partition(", ")
        return {sample(key): sample(value)}
    if outer in VALUES:
        return VALUES[outer]
    nested = next(each for each in ALL if each.__name__ == outer)
    return built(nested)


def built(kind: type) -> Any:
    """A message of this type with all fields set."""
    return kind(*(sample(str(field.type)) for field in attrs.fields(kind)))


@pytest.mark.parametrize("kind", ALL, ids=lambda kind: str(kind.__name__))
def test_every_message_comes_back_as_it_was(kind: type) -> None:
    made = built(kind)
    assert decode(encode(made)) == made
    assert decode(encode([1, 0, made])) == [1, 0, made]


@pytest.mark.parametrize("kind", ALL, ids=lambda kind: str(kind.__name__))
def test_an_older_process_may_leave_out_fields_with_defaults(kind: type) -> None:
    fields = attrs.fields(kind)
    needed = [field for field in fields if field.default is attrs.NOTHING]
    assert list(fields[: len(needed)]) == needed, "fields with defaults come last"
    made = kind(*(sample(str(field.type)) for field in needed))
    tag = codec._tags[kind]
    values = [getattr(made, field.name) for field in needed]
    short = ormsgpack.Ext(tag, encode(values))
    assert decode(ormsgpack.packb(short)) == made


def test_numbers_of_messages_are_those_of_their_part() -> None:
    for module, tags in TAGS.items():
        for kind in messages_of(module):
            assert codec._tags[kind] in tags, kind.__name__
    assert sum(len(tags) for tags in TAGS.values()) == len({tag for tags in TAGS.values() for tag in tags})


def test_a_number_is_given_once() -> None:
    class Another:
        value: int

    for number in (1, 0, 128):
        with pytest.raises(ValueError, match=f"message tag {number} of Another"):
            message(number)(Another)


def test_messages_do_not_change() -> None:
    done = control.Registered(3)
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        done.epoch = 4  # type: ignore[misc]
    assert evolve(done, epoch=4) == control.Registered(4)
    assert done == control.Registered(3)


def test_only_registered_types_are_sent() -> None:
    with pytest.raises(TypeError):
        encode(object())


def test_keys_of_maps_may_be_numbers() -> None:
    assert decode(encode(store.Replicated({3: 9}))) == store.Replicated({3: 9})


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        encode([1, 2, 3])[:-1],
        ormsgpack.packb(ormsgpack.Ext(126, b"\x90")),
        ormsgpack.packb(ormsgpack.Ext(3, b"\x90")),
        ormsgpack.packb(ormsgpack.Ext(3, ormsgpack.packb([1, 2, 3, 4]))),
        ormsgpack.packb(ormsgpack.Ext(3, b"\xc1")),
        ormsgpack.packb(ormsgpack.Ext(3, ormsgpack.packb(5))),
    ],
    ids=["empty", "unused byte", "cut", "unknown", "too few", "too many", "broken", "no list"],
)
def test_what_is_no_message_is_refused(data: bytes) -> None:
    with pytest.raises(DecodeError):
        decode(data)


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    try:
        decode(data)
    except DecodeError:
        return


@given(st.sampled_from(ALL), st.integers(0, 400), st.integers(0, 255))
def test_a_damaged_message_is_read_or_refused(kind: type, place: int, byte: int) -> None:
    data = bytearray(encode([1, 1, built(kind)]))
    data[place % len(data)] = byte
    try:
        decode(bytes(data))
    except DecodeError:
        return
