"""The records that stores write to disk and replicate, and their binary encoding.

A record consists of a fixed header (kind, partition, version) and a MessagePack value.  The `MessageKey` that
identifies a message within its partition is the version of the message's PUT record.  A version is a pair
(epoch, sequence).  The STATE record with the greatest version replaces the older states of its message, so
replicas can merge records in any order.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any, NamedTuple, cast

import attrs
import ormsgpack

from hollowusher.messages.errors import InvalidRecordError
from hollowusher.protocol.messages import NewMessage

RecordVersion = tuple[int, int]  # (epoch, sequence)
MessageKey = RecordVersion  # the version of the message's PUT record

MAX_DIGITS = 19  # of a number in a reference or lease id
_HEADER = struct.Struct("<BHIQ")
_NEW_MESSAGE_FIELDS = tuple(field.name for field in attrs.fields(cast(Any, NewMessage)))


class RecordKind(IntEnum):
    """Kind of a record; the numbers are stored on disk."""

    PUT = 1  # a complete message
    STATE = 2  # the complete state of a message
    EPOCH = 3  # the oldest epoch whose records this replica still accepts


class TransientRecordKind(IntEnum):
    """Kind of a record that stores send to one another and never write to disk.

    Processes of older versions ignore these records.
    """

    ACCEPTANCE_AGE = 128  # milliseconds since the primary accepted the message of the next PUT record


class MessageStatus(IntEnum):
    """State of a message; the numbers are stored on disk."""

    QUEUED = 0
    LEASED = 1
    COMPLETED = 2
    DEAD_LETTER = 3

    @property
    def has_ended(self) -> bool:
        """Whether the message is completed or a dead letter, and so is not delivered any more."""
        return self >= MessageStatus.COMPLETED


class RecordHeader(NamedTuple):
    """Header of a record; `epoch` and `sequence` form its version."""

    kind: int
    partition: int
    epoch: int
    sequence: int

    @property
    def version(self) -> RecordVersion:
        """The version of the record."""
        return self.epoch, self.sequence


@attrs.define(slots=True)
class AcceptedMessage:
    """Content of a PUT record: a message and when its primary accepted it."""

    accepted_wall_ms: int  # wall clock of the primary that accepted the message
    due_wall_ms: int  # wall clock of the same primary; the message is not delivered earlier
    generation: int  # generation of the configuration under which the message was accepted
    message: NewMessage


@attrs.define(slots=True)
class MessageState:
    """Content of a STATE record: all mutable properties of a message.

    `id` and `callback_url` are set when the message ends, because replicas drop the PUT record of a completed
    message.
    """

    version: RecordVersion
    status: MessageStatus = MessageStatus.QUEUED
    attempts: int = 0  # number of deliveries for which the worker reported a failure
    lease: int = 0  # number of the current lease; 0 if the message is not leased
    dispatcher: str = ""
    incarnation: int = 0
    pull: bool = False
    # How long the lease holder may work: the visibility timeout of a pull lease, or the delivery timeout of a
    # push lease.  0: there is no lease, or an older version wrote the record of a push lease.
    holder_timeout_ms: int = 0
    last_lease: int = 0  # number of the lease that finished last; its holder may report the result again
    last_result: str = ""  # result of the lease `last_lease`
    signature: str = ""
    callback_pending: bool = False
    ended_wall_ms: int = 0  # wall clock of the primary that ended the message
    id: str = ""
    callback_url: str = ""
    earlier_results: list[list[Any]] = attrs.Factory(
        list
    )  # [lease, result] of the leases that finished before `last_lease`, newest last


def unpack_header(record: bytes) -> RecordHeader:
    """Return the header of a record.

    Raises
    ------
    InvalidRecordError
        If the bytes are too short for a header.
    """
    if len(record) < _HEADER.size:
        raise InvalidRecordError(len(record), _HEADER.size)
    return RecordHeader(*_HEADER.unpack_from(record))


def pack_put(partition: int, key: MessageKey, accepted: AcceptedMessage) -> bytes:
    """Return the PUT record of a message; the record's version is the key of the message."""
    message = accepted.message
    values = [getattr(message, name) for name in _NEW_MESSAGE_FIELDS]
    return _HEADER.pack(RecordKind.PUT, partition, *key) + ormsgpack.packb(
        [accepted.accepted_wall_ms, accepted.due_wall_ms, accepted.generation, values]
    )


def unpack_put(record: bytes) -> AcceptedMessage:
    """Return the content of a PUT record."""
    accepted_ms, due_ms, generation, values = ormsgpack.unpackb(memoryview(record)[_HEADER.size :])
    return AcceptedMessage(accepted_ms, due_ms, generation, NewMessage(*values))


def pack_state(partition: int, key: MessageKey, state: MessageState) -> bytes:
    """Return a STATE record of the message `key`."""
    values: list[Any] = [
        state.status.value,
        state.attempts,
        state.lease,
        state.dispatcher,
        state.incarnation,
        state.pull,
        state.holder_timeout_ms,
        state.last_lease,
        state.last_result,
        state.signature,
        state.callback_pending,
        state.ended_wall_ms,
        state.id,
        state.callback_url,
    ]
    if state.earlier_results:
        values.append(state.earlier_results)
    return _HEADER.pack(RecordKind.STATE, partition, *state.version) + ormsgpack.packb([*key, *values])


def unpack_state(record: bytes, version: RecordVersion) -> tuple[MessageKey, MessageState]:
    """Return the key of the message and the content of a STATE record whose header has this version."""
    epoch, sequence, status, *values = ormsgpack.unpackb(memoryview(record)[_HEADER.size :])
    return (epoch, sequence), MessageState(version, MessageStatus(status), *values)


def pack_epoch(partition: int, epoch: int) -> bytes:
    """Return an EPOCH record, which fences the epochs before `epoch`."""
    return _HEADER.pack(RecordKind.EPOCH, partition, epoch, 0)


def pack_acceptance_age(partition: int, key: MessageKey, age_ms: int) -> bytes:
    """Return an ACCEPTANCE_AGE record: `age_ms` milliseconds have passed since message `key` was accepted."""
    return _HEADER.pack(TransientRecordKind.ACCEPTANCE_AGE, partition, *key) + ormsgpack.packb(age_ms)


def unpack_acceptance_age(record: bytes) -> int:
    """Return the age in milliseconds from an ACCEPTANCE_AGE record."""
    return int(ormsgpack.unpackb(memoryview(record)[_HEADER.size :]))


def format_reference(partition: int, key: MessageKey) -> str:
    """Return the public reference of a message."""
    return f"{partition}-{key[0]}-{key[1]}"


def parse_reference(reference: str) -> tuple[int, MessageKey] | None:
    """Return the partition and the message key of a reference, or None if the text is not a reference.

    Only the text that `format_reference` returns is a reference, so that no message has two of them.
    """
    parts = reference.split("-")
    if len(parts) != 3 or not all(map(_is_number, parts)):
        return None
    return int(parts[0]), (int(parts[1]), int(parts[2]))


def _is_number(text: str) -> bool:
    """Return whether a text is a number as it is formatted: digits without leading zeros, not too many."""
    is_digits = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return is_digits and (text[0] != "0" or len(text) == 1)


CALLBACK_LEASE_MARKER = "c"  # precedes the lease number in the id of a call-back lease


class LeaseId(NamedTuple):
    """A parsed lease id."""

    partition: int
    key: MessageKey
    number: int
    is_callback: bool


def format_lease_id(partition: int, key: MessageKey, number: int, *, is_callback: bool = False) -> str:
    """Return the public id of a lease."""
    return f"{partition}-{key[0]}-{key[1]}-{CALLBACK_LEASE_MARKER if is_callback else ''}{number}"


def parse_lease_id(lease: str) -> LeaseId | None:
    """Return the parts of a lease id, or None if the text is not a lease id."""
    reference, _, number = lease.rpartition("-")
    parsed = parse_reference(reference)
    callback = number.startswith(CALLBACK_LEASE_MARKER)
    digits = number[len(CALLBACK_LEASE_MARKER) :] if callback else number
    if parsed is None or not _is_number(digits):
        return None
    return LeaseId(parsed[0], parsed[1], int(digits), callback)
