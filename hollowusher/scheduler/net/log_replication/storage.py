"""Storage of replicated logs: in memory only, or in a folder.

Each log is one file: a header, then records with a length, a checksum and a body.  A record that is cut off
by the end of the file was never synced and never acknowledged, so the storage truncates it.  Any other damage
means that acknowledged records may be lost: the storage renames the file, and the replica starts as a
learner.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

import msgspec
import xxhash
from msgspec import Struct

from hollowusher.scheduler.rules.log_replication.messages import LogEntry
from hollowusher.scheduler.rules.log_replication.replica import PersistentState, Store

MAGIC = b"hollowusher copies 1\n"
_HEAD = struct.Struct(">IQ")
MAX_RECORD_BYTES = 256 * 1024 * 1024
REWRITE_BYTES = 8 * 1024 * 1024  # size of the records replaced by snapshots above which the file is rewritten


class MetaRecord(Struct, array_like=True, tag="m"):
    """A record of the term, the vote and the recovery counters."""

    term: int
    voted: str
    starts: int
    heard: dict[str, tuple[int, int]]


class EntriesRecord(Struct, array_like=True, tag="e"):
    """A record of entries from number `first` on, which replace existing ones; replaying it twice is safe."""

    first: int
    entries: tuple[LogEntry, ...]


class TruncateRecord(Struct, array_like=True, tag="c"):
    """A record that removes all entries from `number` on."""

    number: int


class SnapshotRecord(Struct, array_like=True, tag="i"):
    """A record of a snapshot that replaces the entries up to number `upto`."""

    upto: int
    before: int
    group: tuple[str, ...]
    image: bytes


Record = MetaRecord | EntriesRecord | TruncateRecord | SnapshotRecord
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Record)


class Storage(Protocol):
    """Stores logs across restarts."""

    def load(self) -> tuple[dict[str, PersistentState], list[str]]:
        """Return the stored logs by owner, and a description of each fault found."""

    def write(self, owner: str, stores: Iterable[Store], kept: PersistentState) -> None:
        """Make the writes durable; raises OSError if that is not certain."""

    def close(self) -> None:
        """Close the storage."""


class MemoryStorage:
    """Storage that keeps nothing: after a restart all logs are empty."""

    def load(self) -> tuple[dict[str, PersistentState], list[str]]:
        """Return no logs."""
        return {}, []

    def write(self, owner: str, stores: Iterable[Store], kept: PersistentState) -> None:
        """Do nothing: the replica itself holds the log."""

    def close(self) -> None:
        """Do nothing: no file is open."""


class MemberFiles:
    """The file operations of the storage; tests replace them to inject faults."""

    def append(self, path: Path) -> int:
        """Open a file for appending and return its descriptor."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Wait until the written data are on the disk."""
        os.fdatasync(descriptor)

    def replace(self, source: Path, target: Path) -> None:
        """Rename `source` to `target` and sync the folder."""
        os.replace(source, target)
        folder = os.open(target.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)


class FolderStorage:
    """Stores logs in a folder.  After an OSError this object rejects writes and must be replaced."""

    def __init__(self, path: Path, files: MemberFiles | None = None) -> None:
        self._path, self._files = path, files or MemberFiles()
        self._open: dict[str, int] = {}
        self._replaced_bytes: dict[str, int] = {}
        self.broken = False

    def load(self) -> tuple[dict[str, PersistentState], list[str]]:
        """Read all logs; renames damaged files, truncates incomplete records and reports both."""
        self._path.mkdir(parents=True, exist_ok=True)
        found: dict[str, PersistentState] = {}
        reported: list[str] = []
        for path in sorted(self._path.glob("*.log")):
            data = path.read_bytes()
            try:
                kept, good = parse(data)
            except ValueError as error:
                reported.append(f"{path.name}: {error}; the file is set aside, and this member learns anew")
                self._files.replace(path, path.with_suffix(".damaged"))
                continue
            if good < len(data):
                reported.append(
                    f"{path.name}: truncated an incomplete record of {len(data) - good} bytes at the end"
                )
                with path.open("r+b") as file:
                    file.truncate(good)
                    os.fsync(file.fileno())
            if kept.starts:
                found[path.stem] = kept
        return found, reported

    def write(self, owner: str, stores: Iterable[Store], kept: PersistentState) -> None:
        """Append all writes with one write and one sync, or rewrite the file."""
        if self.broken:
            raise OSError("an earlier write to this folder failed")
        try:
            self._write(owner, list(stores), kept)
        except OSError:
            self.broken = True
            raise

    def _write(self, owner: str, stores: list[Store], kept: PersistentState) -> None:
        replaced_bytes = self._replaced_bytes.get(owner, 0)
        data = bytearray()
        for store in stores:
            if store.image is not None:
                replaced_bytes += len(store.image) + REWRITE_BYTES // 8
                data += record(SnapshotRecord(store.upto, kept.before, kept.image_group, store.image))
            if store.cut:
                data += record(TruncateRecord(store.cut))
            if store.entries:
                data += record(EntriesRecord(store.first, store.entries))
            if store.meta:
                data += record(meta_record(kept))
        self._replaced_bytes[owner] = replaced_bytes
        if replaced_bytes > REWRITE_BYTES:
            self._rewrite(owner, kept)
            return
        if owner not in self._open:
            path = self._path / f"{owner}.log"
            fresh = not path.exists()
            self._open[owner] = self._files.append(path)
            if fresh:
                data[:0] = MAGIC
        self._files.write(self._open[owner], bytes(data))
        self._files.sync(self._open[owner])

    def _rewrite(self, owner: str, kept: PersistentState) -> None:
        new = self._path / f"{owner}.new"
        new.unlink(missing_ok=True)
        descriptor = self._files.append(new)
        try:
            self._files.write(
                descriptor,
                MAGIC
                + record(SnapshotRecord(kept.first - 1, kept.before, kept.image_group, kept.image))
                + record(EntriesRecord(kept.first, tuple(kept.entries)))
                + record(meta_record(kept)),
            )
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)
        self._files.replace(new, self._path / f"{owner}.log")
        if (old := self._open.pop(owner, None)) is not None:
            self._files.close(old)
        self._replaced_bytes[owner] = 0

    def close(self) -> None:
        """Close all open files."""
        for descriptor in self._open.values():
            self._files.close(descriptor)
        self._open.clear()


def meta_record(kept: PersistentState) -> MetaRecord:
    """Return the record of the state other than entries and snapshot."""
    return MetaRecord(kept.term, kept.voted, kept.starts, dict(kept.heard))


def record(item: Record) -> bytes:
    """Encode a record with its length and checksum."""
    body = _encoder.encode(item)
    return _HEAD.pack(len(body), xxhash.xxh64_intdigest(body)) + body


def parse(data: bytes) -> tuple[PersistentState, int]:
    """Decode a log file; returns its state and the size in bytes of the complete records.

    Raises ValueError if the header or a record is damaged."""
    kept = PersistentState()
    if len(data) < len(MAGIC):
        if not MAGIC.startswith(data):
            raise ValueError("the header is not that of a log file")
        return kept, 0
    if not data.startswith(MAGIC):
        raise ValueError("the header is not that of a log file of this version")
    at = len(MAGIC)
    while at < len(data):
        if at + _HEAD.size > len(data):
            break
        size, checksum = _HEAD.unpack_from(data, at)
        end = at + _HEAD.size + size
        if size > MAX_RECORD_BYTES:
            raise ValueError(f"oversized record of {size} bytes at offset {at}")
        if end > len(data):
            break
        body = data[at + _HEAD.size : end]
        if xxhash.xxh64_intdigest(body) != checksum:
            raise ValueError(f"the record at {at} has an invalid checksum")
        try:
            _replay(kept, _decoder.decode(body))
        except msgspec.DecodeError as error:
            raise ValueError(f"the record at {at} cannot be decoded: {error}") from None
        at = end
    return kept, at


def _replay(kept: PersistentState, item: Record) -> None:
    match item:
        case MetaRecord():
            kept.term, kept.voted, kept.starts = item.term, item.voted, item.starts
            kept.heard = dict(item.heard)
        case EntriesRecord():
            if not kept.first <= item.first <= kept.last + 1:
                raise ValueError(
                    f"entries from {item.first} on do not follow the entries {kept.first} to {kept.last}"
                )
            del kept.entries[item.first - kept.first :]
            kept.entries += item.entries
        case TruncateRecord():
            if not kept.first <= item.number <= kept.last + 1:
                raise ValueError(
                    f"a truncation at {item.number} is outside the entries {kept.first} to {kept.last}"
                )
            del kept.entries[item.number - kept.first :]
        case SnapshotRecord():
            keep = kept.entries[item.upto - kept.first + 1 :] if item.upto >= kept.first else kept.entries
            kept.entries = list(keep) if item.upto < kept.last else []
            kept.first, kept.before = item.upto + 1, item.before
            kept.image, kept.image_group = item.image, item.group
