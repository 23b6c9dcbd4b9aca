"""Records that processes of one scheduler leave for each other: versioned, checksummed, replaced whole."""

from __future__ import annotations

import os
import struct
from enum import StrEnum
from pathlib import Path
from typing import TypeVar

import msgspec
import xxhash

from hollowusher.balancing.learned_state import LearnedState

VERSION = 1
MOST_BYTES = 8 * 1024 * 1024
_MAGIC = b"hwop"
_HEAD = struct.Struct(">4sHQ")  # magic, version, checksum of the body
_encoder = msgspec.msgpack.Encoder()
R = TypeVar("R", bound=msgspec.Struct)


class RecordError(ValueError):
    """A record that cannot be used: missing, torn, of another version or of another scheduler."""


class Phase(StrEnum):
    """What a process does."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    UNKNOWN = "unknown"  # it lives, and its record cannot be read


class ProcessRecord(msgspec.Struct, frozen=True):
    """What a process tells of itself."""

    listen: str
    phase: Phase


class WorkerRecord(msgspec.Struct, frozen=True):
    """A worker of the list that is handed over.  `started_ns` is on the machine's monotonic clock."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: str
    size: float
    started_ns: int
    front: str


class Handover(msgspec.Struct, frozen=True):
    """What an older process hands to a younger one."""

    listen: str
    job_ids: list[str]
    list_version: int
    workers: list[WorkerRecord]
    memory: LearnedState | None = None


def write_record(path: Path, record: msgspec.Struct) -> None:
    """Put a record in place, whole; OSError where that fails."""
    body = _encoder.encode(record)
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    temporary.write_bytes(_HEAD.pack(_MAGIC, VERSION, xxhash.xxh64_intdigest(body)) + body)
    temporary.replace(path)


def read_record(path: Path, kind: type[R]) -> R:
    """The record there; RecordError where there is none that can be used."""
    try:
        with path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as wrong:
        raise RecordError(f"{path.name}: {wrong.strerror}") from None
    if len(data) < _HEAD.size or len(data) > MOST_BYTES:
        raise RecordError(f"{path.name}: not a record of this program")
    magic, version, checksum = _HEAD.unpack_from(data)
    body = data[_HEAD.size :]
    if magic != _MAGIC or version != VERSION:
        raise RecordError(f"{path.name}: a record of another program or version")
    if xxhash.xxh64_intdigest(body) != checksum:
        raise RecordError(f"{path.name}: the checksum is wrong")
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as wrong:
        raise RecordError(f"{path.name}: {wrong}") from None
