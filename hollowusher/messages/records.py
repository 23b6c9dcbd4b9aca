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

from hollowusher.protocol.messages import NewMessage

RecordVersion = tuple[int, int]  # (epoch, sequence)
MessageKey = RecordVersion  # the version of the record that put the message

_HEADER = struct.Struct("<BHIQ")
_NEW_MESSAGE_FIELDS = tuple(field.name for field in attrs.fields(cast(Any, NewMessage)))


class RecordKind(IntEnum):
    """What a record is about."""

    PUT = 1  # a whole message
    STATE = 2  # the whole small state of a message
    EPOCH = 3  # the newest epoch that this replica has promised to a primary


class MessageStatus(IntEnum):
    """Where a message stands."""

    QUEUED = 0
    LEASED = 1
    COMPLETED = 2
    DEAD_LETTER = 3

    @property
    def has_ended(self) -> bool:
        """Whether the message will not run again."""
        return self >= MessageStatus.COMPLETED


class RecordHeader(NamedTuple):
    """The fixed part of a record."""

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
    """The content of a PUT record."""

    accepted_wall_ms: int  # wall clock of the primary that accepted it
    due_wall_ms: int  # wall clock: not to run earlier
    generation: int  # of the configuration that accepted it
    message: NewMessage


@attrs.define(slots=True)
class MessageState:
    """The content of a STATE record: everything about a message that changes.  `id` and `callback_url` are
    filled in once the message has ended, because the PUT record of a completed message is dropped."""

    version: RecordVersion
    status: MessageStatus = MessageStatus.QUEUED
    attempts: int = 0  # deliveries that the worker answered with a failure
    lease: int = 0  # number of the current lease
    dispatcher: str = ""
    incarnation: int = 0
    pull: bool = False
    visibility_ms: int = 0
    last_lease: int = 0  # the lease that finished last: a repeat of its end gets the same answer
    last_result: str = ""  # and what it ended with
    signature: str = ""
    callback_pending: bool = False
    ended_wall_ms: int = 0  # wall clock
    id: str = ""
    callback_url: str = ""
    earlier_results: list[list[Any]] = attrs.Factory(
        list
    )  # [lease, result] of those before the last, newest last


def unpack_header(record: bytes) -> RecordHeader:
    """The fixed part of a record; ValueError where the bytes are none."""
    if len(record) < _HEADER.size:
        raise ValueError(f"a record of {len(record)} bytes")
    return RecordHeader(*_HEADER.unpack_from(record))


def pack_put(partition: int, key: MessageKey, put: AcceptedMessage) -> bytes:
    """A PUT record; the message is named by the record's version."""
    message = put.message
    values = [getattr(message, name) for name in _NEW_MESSAGE_FIELDS]
    return _HEADER.pack(RecordKind.PUT, partition, *key) + ormsgpack.packb(
        [put.accepted_wall_ms, put.due_wall_ms, put.generation, values]
    )


def unpack_put(record: bytes) -> AcceptedMessage:
    """The content of a PUT record."""
    accepted_ms, due_ms, generation, values = ormsgpack.unpackb(memoryview(record)[_HEADER.size :])
    return AcceptedMessage(accepted_ms, due_ms, generation, NewMessage(*values))


def pack_state(partition: int, key: MessageKey, state: MessageState) -> bytes:
    """A STATE record of the message `key`."""
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
    """The message and the content of a STATE record with this version."""
    epoch, sequence, status, *values = ormsgpack.unpackb(memoryview(record)[_HEADER.size :])
    return (epoch, sequence), MessageState(version, MessageStatus(status), *values)


def pack_epoch(partition: int, epoch: int) -> bytes:
    """An EPOCH record."""
    return _HEADER.pack(RecordKind.EPOCH, partition, epoch, 0)


def format_reference(partition: int, key: MessageKey) -> str:
    """The public name of a message."""
    return f"{partition}-{key[0]}-{key[1]}"


def parse_reference(reference: str) -> tuple[int, MessageKey] | None:
    """Partition and key of a reference, None where it is none."""
    parts = reference.split("-")
    if len(parts) != 3 or not all(part.isascii() and part.isdigit() for part in parts):
        return None
    return int(parts[0]), (int(parts[1]), int(parts[2]))


CALLBACK_LEASE_MARKER = "c"  # stands before the number of a lease for a call-back


class LeaseId(NamedTuple):
    """A parsed lease id."""

    partition: int
    key: MessageKey
    number: int
    is_callback: bool


def format_lease_id(partition: int, key: MessageKey, number: int, is_callback: bool = False) -> str:
    """The public name of a lease."""
    return f"{partition}-{key[0]}-{key[1]}-{CALLBACK_LEASE_MARKER if is_callback else ''}{number}"


def parse_lease_id(lease: str) -> LeaseId | None:
    """The parts of a lease id, None where it is none."""
    reference, _, number = lease.rpartition("-")
    parsed = parse_reference(reference)
    callback = number.startswith(CALLBACK_LEASE_MARKER)
    digits = number[len(CALLBACK_LEASE_MARKER) :] if callback else number
    if parsed is None or not (digits.isascii() and digits.isdigit()):
        return None
    return LeaseId(parsed[0], parsed[1], int(digits), callback)
