"""The records that stores keep and replicate, and the public names of messages and leases, byte by byte."""

from __future__ import annotations

from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from tests.contract import names
from tests.contract.examples import filled

KEY_OF_STATE = (0x0A0A, 0x0102030405060708)
VERSION = (0x0A0B, 0x0C0D0E0F1011)
PARTITION = 0x1234


def put_content() -> Any:
    """The content of a PUT record with every field set."""
    return names.PutContent(1_700_000_000_001, 1_700_000_000_502, 77, filled(names.STORED_MESSAGE))


def state_content(status: int, earlier: list[list[Any]]) -> Any:
    """The content of a STATE record with every field set, by position."""
    return names.StateContent(
        VERSION,
        names.MessageStatus(status),
        3,  # attempts
        9,  # lease
        "edge-7",
        1_234_567_890_123,
        True,
        4_321,
        8,
        "success",
        "c2lnbmF0dXJl",
        False,
        1_700_000_009_999,
        "attempt-é",
        "http://127.0.0.1:9/x",
        earlier,
    )


STATES = {
    "queued": state_content(0, []),
    "leased": state_content(1, []),
    "completed": state_content(2, [[5, "failed"], [7, "not_run"]]),
    "dead letter": state_content(3, [[1, "refused"]]),
}


def test_kinds_and_statuses_keep_their_numbers(snapshot: SnapshotAssertion) -> None:
    numbers = [
        sorted(kind.value for kind in names.RecordKind),
        sorted(each.value for each in names.MessageStatus),
    ]
    assert numbers == snapshot
    assert [names.MessageStatus(number).has_ended for number in numbers[1]] == [False, False, True, True]


def test_fields_of_stored_contents_stand_where_they_stood() -> None:
    assert names.field_names(names.PutContent) == names.PUT_FIELDS
    assert names.field_names(names.StateContent) == names.STATE_FIELDS


def test_put_record(snapshot: SnapshotAssertion) -> None:
    record = names.pack_put(PARTITION, VERSION, put_content())
    assert record.hex() == snapshot
    assert names.unpack_put(record) == put_content()
    assert tuple(names.header_of(record)) == (1, PARTITION, *VERSION)


@pytest.mark.parametrize("which", STATES)
def test_state_record(which: str, snapshot: SnapshotAssertion) -> None:
    record = names.pack_state(PARTITION, KEY_OF_STATE, STATES[which])
    assert record.hex() == snapshot
    assert names.unpack_state(record, VERSION) == (KEY_OF_STATE, STATES[which])
    assert tuple(names.header_of(record)) == (2, PARTITION, *VERSION)


def test_epoch_record(snapshot: SnapshotAssertion) -> None:
    record = names.pack_epoch(PARTITION, 0x01020304)
    assert record.hex() == snapshot
    assert tuple(names.header_of(record)) == (3, PARTITION, 0x01020304, 0)


def test_a_new_state_has_its_defaults(snapshot: SnapshotAssertion) -> None:
    assert names.pack_state(PARTITION, KEY_OF_STATE, names.StateContent(VERSION)).hex() == snapshot


def test_bytes_too_short_for_a_record_are_refused() -> None:
    with pytest.raises(ValueError, match="14 bytes"):
        names.header_of(b"\x01" * 14)


def test_public_names_of_messages_and_leases() -> None:
    key = (7, 1_000_001)
    assert names.reference_of(12, key) == "12-7-1000001"
    assert names.parse_reference("12-7-1000001") == (12, key)
    assert names.lease_id_of(12, key, 3) == "12-7-1000001-3"
    assert names.lease_id_of(12, key, 3, is_callback=True) == "12-7-1000001-c3"
    assert tuple(names.parse_lease_id("12-7-1000001-3") or ()) == (12, key, 3, False)
    assert tuple(names.parse_lease_id("12-7-1000001-c3") or ()) == (12, key, 3, True)


@pytest.mark.parametrize("text", ["", "1-2", "1-2-x", "1-2-3-4", "-1-2-3", "1-2-3-", "1-2-3-d4", "١-2-3"])
def test_what_is_no_reference_is_none(text: str) -> None:
    assert names.parse_reference(text) is None


@pytest.mark.parametrize("text", ["", "1-2-3", "1-2-3-", "1-2-3-d4", "1-2-3-cc4", "1-2-3-4-5"])
def test_what_is_no_lease_id_is_none(text: str) -> None:
    assert names.parse_lease_id(text) is None
