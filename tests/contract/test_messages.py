"""Every message on the wire: its number, its fields by position, and the bytes of one example.

No class or field name enters the snapshots: renames leave them as they are, and every other change breaks
them.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import orjson
import ormsgpack
import pytest
from syrupy.assertion import SnapshotAssertion

from tests.contract import names
from tests.contract.examples import default_of, field_types, filled, shape, type_of_tag

TAGS = sorted(names.registered_types())
MESSAGES_FILE = Path(__file__).parent / "data" / "messages.json"  # number -> bytes of the filled message, hex
STORED = {int(tag): text for tag, text in orjson.loads(MESSAGES_FILE.read_bytes()).items()}


def test_the_numbers_of_all_messages(snapshot: SnapshotAssertion) -> None:
    assert snapshot == TAGS


@pytest.mark.parametrize("tag", TAGS)
def test_structure(tag: int, snapshot: SnapshotAssertion) -> None:
    kind = type_of_tag(tag)
    rows = [
        f"{position}: {shape(annotation)}, {default_of(field)}"
        for position, (field, annotation) in enumerate(
            zip(attrs.fields(kind), field_types(kind), strict=True)
        )
    ]
    assert rows == snapshot


@pytest.mark.parametrize("tag", TAGS)
def test_fields_stand_where_they_stood(tag: int) -> None:
    assert tuple(field.name for field in attrs.fields(type_of_tag(tag))) == names.MESSAGE_FIELDS[tag]


def test_every_message_has_its_fields_listed() -> None:
    assert sorted(names.MESSAGE_FIELDS) == TAGS


@pytest.mark.parametrize("tag", TAGS)
def test_bytes_of_a_filled_message(tag: int) -> None:
    assert names.encode(filled(type_of_tag(tag))).hex() == STORED[tag]


@pytest.mark.parametrize("tag", TAGS)
def test_stored_bytes_decode_to_an_equal_message(tag: int) -> None:
    decoded = names.decode(bytes.fromhex(STORED[tag]))
    assert type(decoded) is type_of_tag(tag)
    assert decoded == filled(type_of_tag(tag))


def test_each_message_has_stored_bytes() -> None:
    assert sorted(STORED) == TAGS


@pytest.mark.parametrize("tag", TAGS)
def test_a_message_without_its_optional_fields_takes_the_defaults(
    tag: int, snapshot: SnapshotAssertion
) -> None:
    """An older process sends shorter arrays: what it leaves out is the default."""
    kind = type_of_tag(tag)
    needed = [
        annotation
        for field, annotation in zip(attrs.fields(kind), field_types(kind), strict=True)
        if field.default is attrs.NOTHING
    ]
    complete = filled(kind)
    values = [getattr(complete, field.name) for field in attrs.fields(kind)][: len(needed)]
    short = kind(*values)
    assert names.encode(short).hex() == snapshot
    assert names.decode(_cut(names.encode(complete), len(needed))) == short


def _cut(encoded: bytes, fields: int) -> bytes:
    """The same message from an older process, which sends its first fields alone."""
    tag, values = ormsgpack.unpackb(encoded, ext_hook=_open)
    packed = ormsgpack.packb(values[:fields], option=ormsgpack.OPT_NON_STR_KEYS)
    return ormsgpack.packb(ormsgpack.Ext(tag, packed))


def _open(tag: int, data: bytes) -> tuple[int, list[Any]]:
    """The number of a message and its fields; messages in it stay as they came."""
    options = ormsgpack.OPT_NON_STR_KEYS
    return tag, ormsgpack.unpackb(data, ext_hook=ormsgpack.Ext, option=options)


@pytest.mark.parametrize("tag", TAGS)
def test_whom_a_message_is_meant_for_and_whether_it_may_be_repeated(
    tag: int, snapshot: SnapshotAssertion
) -> None:
    addressee, repeatable = names.call_rule(filled(type_of_tag(tag)))
    assert [addressee, repeatable] == snapshot


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\xc7\x01\x7f\x90", b"\xd4\x01\xc0", b"\x92\x01"])
def test_bytes_that_are_no_message_are_refused(data: bytes) -> None:
    with pytest.raises(names.DecodeError):
        names.decode(data)
