"""Files that processes of one scheduler exchange: versioned, checksummed and replaced atomically."""

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
    """A record is missing, torn, of another version, or of another scheduler."""


class Phase(StrEnum):
    """The phase in the life of a process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    UNKNOWN = "unknown"  # the process is alive, but its record is unreadable


class ProcessRecord(msgspec.Struct, frozen=True):
    """The state that a process publishes: its listen address and phase."""

    listen: str
    phase: Phase


class WorkerRecord(msgspec.Struct, frozen=True):
    """A worker of the handed-over list; `started_ns` is a time of the machine's monotonic clock."""

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
    """The state that an older process hands over to a newer one."""

    listen: str
    job_ids: list[str]
    list_version: int
    workers: list[WorkerRecord]
    memory: LearnedState | None = None


def write_record(path: Path, record: msgspec.Struct) -> None:
    """Write a record atomically; raises OSError if that fails."""
    body = _encoder.encode(record)
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    temporary.write_bytes(_HEAD.pack(_MAGIC, VERSION, xxhash.xxh64_intdigest(body)) + body)
    temporary.replace(path)


def read_record(path: Path, kind: type[R]) -> R:
    """Read a record; raises RecordError if it is missing or invalid."""
    try:
        with path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as wrong:
        raise RecordError(f"{path.name}: {wrong.strerror}") from None
    if len(data) < _HEAD.size or len(data) > MOST_BYTES:
        raise RecordError(f"{path.name}: is not a record of this program")
    magic, version, checksum = _HEAD.unpack_from(data)
    body = data[_HEAD.size :]
    if magic != _MAGIC or version != VERSION:
        raise RecordError(f"{path.name}: is a record of another program or version")
    if xxhash.xxh64_intdigest(body) != checksum:
        raise RecordError(f"{path.name}: the checksum does not match")
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as wrong:
        raise RecordError(f"{path.name}: {wrong}") from None
