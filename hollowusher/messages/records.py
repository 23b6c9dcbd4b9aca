"""The records that stores keep and replicate, and their packing.

A record is a fixed header (kind, partition, version) and a MessagePack array.  A message is named, within
its partition, by the version of the record that put it: its `MessageKey`.  Versions are (epoch, sequence); of
two records about the same message the one with the greater version counts, so replicas merge records in any
order.
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
MessageKey = RecordVersion  # the version of the record that put the message

_HEADER = struct.Struct("<BHIQ")
_NEW_MESSAGE_FIELDS = tuple(field.name for field in attrs.fields(cast(Any, NewMessage)))


class RecordKind(IntEnum):
    """Kind of a record; the numbers are stored on disk."""

    PUT = 1  # a complete message
    STATE = 2  # the complete state of a message
    EPOCH = 3  # the oldest epoch whose records this replica still accepts


class TransientRecordKind(IntEnum):
    """Kind of a record that stores send to one another and never write down; older processes ignore it."""

    ACCEPTANCE_AGE = 128  # how long ago the message of the next PUT record was accepted


class MessageStatus(IntEnum):
    """State of a message; the numbers are stored on disk."""

    QUEUED = 0
    LEASED = 1
    COMPLETED = 2
    DEAD_LETTER = 3

    @property
    def has_ended(self) -> bool:
        """Whether the message is not delivered any more."""
        return self >= MessageStatus.COMPLETED


class RecordHeader(NamedTuple):
    """Header of a record."""

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
    """Content of a PUT record: a message as its primary accepted it."""

    accepted_wall_ms: int  # wall clock of the primary that accepted it
    due_wall_ms: int  # wall clock: not delivered earlier
    generation: int  # of the configuration that accepted it
    message: NewMessage


@attrs.define(slots=True)
class MessageState:
    """Content of a STATE record: everything about a message that changes.

    `id` and `callback_url` are set once the message has ended, because the PUT record of a completed message
    is dropped.
    """

    version: RecordVersion
    status: MessageStatus = MessageStatus.QUEUED
    attempts: int = 0  # deliveries that the worker answered with a failure
    lease: int = 0  # number of the current lease
    dispatcher: str = ""
    incarnation: int = 0
    pull: bool = False
    visibility_ms: int = 0
    last_lease: int = 0  # the lease that finished last: its outcome may be reported again
    last_result: str = ""  # and its outcome
    signature: str = ""
    callback_pending: bool = False
    ended_wall_ms: int = 0  # wall clock
    id: str = ""
    callback_url: str = ""
    earlier_results: list[list[Any]] = attrs.Factory(
        list
    )  # [lease, result] of those before the last, newest last


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
    """Return a PUT record; the key of the message is the version of the record."""
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
        state.visibility_ms,
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
    """Return the key of the message and the content of a STATE record with this version."""
    epoch, sequence, status, *values = ormsgpack.unpackb(memoryview(record)[_HEADER.size :])
    return (epoch, sequence), MessageState(version, MessageStatus(status), *values)


def pack_epoch(partition: int, epoch: int) -> bytes:
    """Return an EPOCH record."""
    return _HEADER.pack(RecordKind.EPOCH, partition, epoch, 0)


def pack_acceptance_age(partition: int, key: MessageKey, age_ms: int) -> bytes:
    """Return an ACCEPTANCE_AGE record of the message `key`."""
    return _HEADER.pack(TransientRecordKind.ACCEPTANCE_AGE, partition, *key) + ormsgpack.packb(age_ms)


def unpack_acceptance_age(record: bytes) -> int:
    """Return the age in milliseconds that an ACCEPTANCE_AGE record tells."""
    return int(ormsgpack.unpackb(memoryview(record)[_HEADER.size :]))


def format_reference(partition: int, key: MessageKey) -> str:
    """Return the public name of a message."""
    return f"{partition}-{key[0]}-{key[1]}"


def parse_reference(reference: str) -> tuple[int, MessageKey] | None:
    """Return partition and key of a reference, None if the text is not a reference."""
    parts = reference.split("-")
    if len(parts) != 3 or not all(part.isascii() and part.isdigit() for part in parts):
        return None
    return int(parts[0]), (int(parts[1]), int(parts[2]))


CALLBACK_LEASE_MARKER = "c"  # precedes the number of a lease for a call-back


class LeaseId(NamedTuple):
    """A parsed lease id."""

    partition: int
    key: MessageKey
    number: int
    is_callback: bool


def format_lease_id(partition: int, key: MessageKey, number: int, *, is_callback: bool = False) -> str:
    """Return the public name of a lease."""
    return f"{partition}-{key[0]}-{key[1]}-{CALLBACK_LEASE_MARKER if is_callback else ''}{number}"


def parse_lease_id(lease: str) -> LeaseId | None:
    """Return the parts of a lease id, None if the text is not a lease id."""
    reference, _, number = lease.rpartition("-")
    parsed = parse_reference(reference)
    callback = number.startswith(CALLBACK_LEASE_MARKER)
    digits = number[len(CALLBACK_LEASE_MARKER) :] if callback else number
    if parsed is None or not (digits.isascii() and digits.isdigit()):
        return None
    return LeaseId(parsed[0], parsed[1], int(digits), callback)
