"""Encoding and decoding of messages between processes."""

from __future__ import annotations

import inspect
from types import ModuleType
from typing import Any

import attrs
import ormsgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowusher.protocol import (
    acknowledgement,
    codec,
    consensus,
    control_chain,
    control_status,
    distribution,
    identity,
    leases,
    membership,
    messages,
    operator_orders,
    placement,
    replication,
    view,
    worker_list,
)
from hollowusher.protocol.codec import DecodeError, decode, encode, evolve, message
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.membership import Member, MemberRegistered
from hollowusher.protocol.messages import NewMessage
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.replication import ReplicateResponse
from hollowusher.protocol.view import View, Voter

TAGS: dict[ModuleType, set[int]] = {  # the tags of the messages that each module defines
    acknowledgement: {7},
    consensus: {14, 15, 16, 17, 18, 39, 40, 41, 42},
    control_chain: {22, 23, 24, 29, 30, 108, 109},
    control_status: {80, 81, 82, 83},
    distribution: {31, 32, 33, 46},
    identity: {90, 116},
    leases: {53, 54, 55, 56, 57, 58, 61, 67, 68},
    membership: {1, 2, 3, 4, 5, 6, 117},
    messages: {50, 51, 52, 59, 60},
    operator_orders: {25, 26, 27, 28, 84},
    placement: {20, 21, 45, 104},
    replication: {62, 63, 64, 65, 66},
    view: {10, 11, 12, 13, 36, 100},
    worker_list: {34, 35},
}


def messages_of(module: ModuleType) -> list[type]:
    """Return the message types that a module defines."""
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
    "Member": Member("n", "edge", "a:1", "z", "r", 5),
    "Voter": Voter("n", "d", "a:1"),
    "View": View(1, [Voter("n", "d", "a:1")], ["n"], {"n": 1}),
    "ControlState": ControlState(3, 7, b"{}", [[7, b"digest"]]),
    "NewMessage": NewMessage("id", "r", "s", "POST", "/p", "h", b"body", headers=[["A", "b"]]),
    "Placement": Placement(2, [PartitionPlacement(0, 1, "s/d", ["s/d"])]),
}


def sample(annotation: str) -> Any:
    """Return a sample value for the annotation of a field."""
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
    return make_message(nested)


def make_message(kind: type) -> Any:
    """Return a message of the given type with all fields set."""
    return kind(*(sample(str(field.type)) for field in attrs.fields(kind)))


@pytest.mark.parametrize("kind", ALL, ids=lambda kind: str(kind.__name__))
def test_every_message_is_decoded_as_it_was_encoded(kind: type) -> None:
    made = make_message(kind)
    assert decode(encode(made)) == made
    assert decode(encode([1, 0, made])) == [1, 0, made]


@pytest.mark.parametrize("kind", ALL, ids=lambda kind: str(kind.__name__))
def test_an_older_process_may_omit_fields_with_defaults(kind: type) -> None:
    fields = attrs.fields(kind)
    needed = [field for field in fields if field.default is attrs.NOTHING]
    assert list(fields[: len(needed)]) == needed, "fields with defaults come last"
    made = kind(*(sample(str(field.type)) for field in needed))
    tag = codec._tags[kind]
    values = [getattr(made, field.name) for field in needed]
    short = ormsgpack.Ext(tag, encode(values))
    assert decode(ormsgpack.packb(short)) == made


def test_each_module_defines_exactly_the_messages_of_its_tags() -> None:
    for module, tags in TAGS.items():
        assert {codec._tags[kind] for kind in messages_of(module)} == tags, module.__name__
    assert sum(len(tags) for tags in TAGS.values()) == len({tag for tags in TAGS.values() for tag in tags})


def test_a_tag_is_registered_only_once() -> None:
    class Another:
        value: int

    for number in (1, 0, 128):
        with pytest.raises(ValueError, match=f"message tag {number} of Another"):
            message(number)(Another)


def test_messages_are_immutable() -> None:
    done = MemberRegistered(3)
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        done.epoch = 4  # type: ignore[misc]
    assert evolve(done, epoch=4) == MemberRegistered(4)
    assert done == MemberRegistered(3)


def test_only_registered_types_are_encoded() -> None:
    with pytest.raises(TypeError):
        encode(object())


def test_dictionary_keys_may_be_numbers() -> None:
    assert decode(encode(ReplicateResponse({3: 9}))) == ReplicateResponse({3: 9})


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
def test_invalid_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(DecodeError):
        decode(data)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    try:
        decode(data)
    except DecodeError:
        return


@given(st.sampled_from(ALL), st.integers(0, 400), st.integers(0, 255))
def test_a_damaged_message_is_decoded_or_rejected(kind: type, place: int, byte: int) -> None:
    data = bytearray(encode([1, 1, make_message(kind)]))
    data[place % len(data)] = byte
    try:
        decode(bytes(data))
    except DecodeError:
        return
