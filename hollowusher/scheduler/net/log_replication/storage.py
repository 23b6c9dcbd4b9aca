"""Where a member keeps its logs: in memory, or in a folder.

One file a log: a head, then records of a length, a checksum and a body.  A record that the file's end cuts
off was never synced, so nobody was told of it: it goes.  Any other fault means that what was vouched for may
be gone: the file is set aside, and the member starts as one that must first learn.
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
MOST_RECORD = 256 * 1024 * 1024
REWRITE_BYTES = 8 * 1024 * 1024  # of records that an image has made void: then the file is written anew


class Meta(Struct, array_like=True, tag="m"):
    """Term, vote and starts."""

    term: int
    voted: str
    starts: int
    heard: dict[str, tuple[int, int]]


class Rows(Struct, array_like=True, tag="e"):
    """Entries from a number on, in the place of what stands there: the same ones twice do no harm."""

    first: int
    entries: tuple[LogEntry, ...]


class Cut(Struct, array_like=True, tag="c"):
    """Entries from this number on are void."""

    number: int


class Picture(Struct, array_like=True, tag="i"):
    """The state up to a number takes the place of the entries so far."""

    upto: int
    before: int
    group: tuple[str, ...]
    image: bytes


Piece = Meta | Rows | Cut | Picture
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Piece)


class Storage(Protocol):
    """Keeps logs over restarts."""

    def load(self) -> tuple[dict[str, PersistentState], list[str]]:
        """What is held, by owner, and what was wrong with it."""

    def write(self, owner: str, stores: Iterable[Store], kept: PersistentState) -> None:
        """Make them durable; OSError where that is not certain."""

    def close(self) -> None:
        """End."""


class Nowhere:
    """Memory only: a process that starts holds nothing."""

    def load(self) -> tuple[dict[str, PersistentState], list[str]]:
        return {}, []

    def write(self, owner: str, stores: Iterable[Store], kept: PersistentState) -> None:
        """What the replica holds is all there is."""

    def close(self) -> None:
        """Nothing is open."""


class MemberFiles:
    """What the storage asks of an operating system; a faulty one is passed in by tests."""

    def append(self, path: Path) -> int:
        """Open for appending."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """All of it."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Until it is on the disk."""
        os.fdatasync(descriptor)

    def replace(self, source: Path, target: Path) -> None:
        """Rename over, and until the folder knows it."""
        os.replace(source, target)
        folder = os.open(target.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self, descriptor: int) -> None:
        """Close."""
        os.close(descriptor)


class Folder:
    """Logs in a folder.  After an OSError nothing more is written by this one: it is opened anew."""

    def __init__(self, path: Path, files: MemberFiles | None = None) -> None:
        self._path, self._files = path, files or MemberFiles()
        self._open: dict[str, int] = {}
        self._void: dict[str, int] = {}
        self.broken = False

    def load(self) -> tuple[dict[str, PersistentState], list[str]]:
        """All logs; what is damaged is set aside and told."""
        self._path.mkdir(parents=True, exist_ok=True)
        found: dict[str, PersistentState] = {}
        reported: list[str] = []
        for path in sorted(self._path.glob("*.log")):
            data = path.read_bytes()
            try:
                kept, good = parse(data)
            except ValueError as wrong:
                reported.append(f"{path.name}: {wrong}; it is set aside, and this member learns anew")
                self._files.replace(path, path.with_suffix(".damaged"))
                continue
            if good < len(data):
                reported.append(f"{path.name}: {len(data) - good} bytes at its end were never whole: cut off")
                with path.open("r+b") as file:
                    file.truncate(good)
                    os.fsync(file.fileno())
            if kept.starts:
                found[path.stem] = kept
        return found, reported

    def write(self, owner: str, stores: Iterable[Store], kept: PersistentState) -> None:
        """One write and one sync for all of them."""
        if self.broken:
            raise OSError("the folder has failed before")
        try:
            self._write(owner, list(stores), kept)
        except OSError:
            self.broken = True
            raise

    def _write(self, owner: str, stores: list[Store], kept: PersistentState) -> None:
        void = self._void.get(owner, 0)
        data = bytearray()
        for store in stores:
            if store.image is not None:
                void += len(store.image) + REWRITE_BYTES // 8
                data += record(Picture(store.upto, kept.before, kept.image_group, store.image))
            if store.cut:
                data += record(Cut(store.cut))
            if store.entries:
                data += record(Rows(store.first, store.entries))
            if store.meta:
                data += record(meta_of(kept))
        self._void[owner] = void
        if void > REWRITE_BYTES:
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
                + record(Picture(kept.first - 1, kept.before, kept.image_group, kept.image))
                + record(Rows(kept.first, tuple(kept.entries)))
                + record(meta_of(kept)),
            )
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)
        self._files.replace(new, self._path / f"{owner}.log")
        if (old := self._open.pop(owner, None)) is not None:
            self._files.close(old)
        self._void[owner] = 0

    def close(self) -> None:
        """Close all files."""
        for descriptor in self._open.values():
            self._files.close(descriptor)
        self._open.clear()


def meta_of(kept: PersistentState) -> Meta:
    """The part that is no log."""
    return Meta(kept.term, kept.voted, kept.starts, dict(kept.heard))


def record(piece: Piece) -> bytes:
    """A record's bytes."""
    body = _encoder.encode(piece)
    return _HEAD.pack(len(body), xxhash.xxh64_intdigest(body)) + body


def parse(data: bytes) -> tuple[PersistentState, int]:
    """A log from its file, and how many of its bytes are whole; ValueError where one of them was changed."""
    kept = PersistentState()
    if len(data) < len(MAGIC):
        if not MAGIC.startswith(data):
            raise ValueError("its head is another's")
        return kept, 0
    if not data.startswith(MAGIC):
        raise ValueError("its head is another's, or another version's")
    at = len(MAGIC)
    while at < len(data):
        if at + _HEAD.size > len(data):
            break
        size, checksum = _HEAD.unpack_from(data, at)
        end = at + _HEAD.size + size
        if size > MOST_RECORD:
            raise ValueError(f"a record of {size} bytes at {at}")
        if end > len(data):
            break
        body = data[at + _HEAD.size : end]
        if xxhash.xxh64_intdigest(body) != checksum:
            raise ValueError(f"the checksum at {at} does not fit")
        try:
            _take(kept, _decoder.decode(body))
        except msgspec.DecodeError as wrong:
            raise ValueError(f"the record at {at} cannot be read: {wrong}") from None
        at = end
    return kept, at


def _take(kept: PersistentState, piece: Piece) -> None:
    match piece:
        case Meta():
            kept.term, kept.voted, kept.starts = piece.term, piece.voted, piece.starts
            kept.heard = dict(piece.heard)
        case Rows():
            if not kept.first <= piece.first <= kept.last + 1:
                raise ValueError(f"entries from {piece.first} on, after {kept.first} to {kept.last}")
            del kept.entries[piece.first - kept.first :]
            kept.entries += piece.entries
        case Cut():
            if not kept.first <= piece.number <= kept.last + 1:
                raise ValueError(f"a cut at {piece.number} of {kept.first} to {kept.last}")
            del kept.entries[piece.number - kept.first :]
        case Picture():
            keep = kept.entries[piece.upto - kept.first + 1 :] if piece.upto >= kept.first else kept.entries
            kept.entries = list(keep) if piece.upto < kept.last else []
            kept.first, kept.before = piece.upto + 1, piece.before
            kept.image, kept.image_group = piece.image, piece.group
