"""The files that a process keeps on disk: the same bytes are written, and what was written before is read.

`data/files.tar.xz` holds what `write_files` wrote with the code that stood before the renames.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest

from tests.contract import names
from tests.contract.disk_files import (
    DISK,
    NAME,
    SEED,
    SEGMENT_BYTES,
    SEGMENTS,
    WALL_MS,
    bytes_of,
    large_state,
    records,
    small_state,
    unpack,
    view,
    votes,
    write_files,
)

ARCHIVE = Path(__file__).parent / "data" / "files.tar.xz"
INCARNATION_RANDOM_BITS = 16
COUNTING_FILES = 12
SLOT_HEADER_BYTES = 28
IDENTITY = "b9096a04e7d80068"
INCARNATION = bytes.fromhex("018bcfe56800e7d8")


@pytest.fixture(scope="module")
def stored(tmp_path_factory: pytest.TempPathFactory) -> dict[str, bytes]:
    """The stored files' bytes."""
    return bytes_of(unpack(ARCHIVE, tmp_path_factory.mktemp("stored")))


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A copy of the stored files, for readers write to what they open."""
    return unpack(ARCHIVE, tmp_path)


def test_the_same_bytes_are_written(stored: dict[str, bytes], tmp_path: Path) -> None:
    asyncio.run(write_files(tmp_path))
    written = bytes_of(tmp_path)
    assert sorted(written) == sorted(stored)
    for path, data in stored.items():
        assert written[path] == data, path


def test_ring(folder: Path) -> None:
    assert len(list((folder / "ring").iterdir())) >= 3
    ring = names.open_ring(folder / "ring", SEGMENT_BYTES, SEGMENTS, Random(0))
    assert names.replayed_records(ring) == ([*records(), b"", b"last"], 0)


def test_slot(folder: Path) -> None:
    assert names.load_slot(folder / "slot") == b""
    (folder / "slot.0").unlink()
    assert names.load_slot(folder / "slot") == b"second value"


def test_slot_whose_newest_side_is_torn(folder: Path) -> None:
    side = folder / "slot.0"
    side.write_bytes(side.read_bytes()[: SLOT_HEADER_BYTES - 1])
    assert names.load_slot(folder / "slot") == b"second value"


def test_identity(folder: Path) -> None:
    assert names.identity_of(folder, SEED + 1) == (IDENTITY, False)


def test_incarnation(folder: Path) -> None:
    value = names.load_slot(folder / "life")
    assert value == INCARNATION
    number = int.from_bytes(value, "big")
    assert number >> INCARNATION_RANDOM_BITS == WALL_MS
    assert asyncio.run(names.claimed_incarnation(folder / "life", WALL_MS - 1, SEED)) == number + 1


def test_small_control_state(folder: Path) -> None:
    assert names.load_state(folder / "small") == (3, small_state(), True)


def test_large_control_state(folder: Path) -> None:
    assert names.load_state(folder / "large") == (4, large_state(3), True)


def test_large_control_state_without_its_record(folder: Path) -> None:
    for record in (folder / "large").glob("control-record-*"):
        record.unlink()
    loaded = names.load_state(folder / "large")
    assert loaded is not None
    assert loaded[0] == 4
    assert not loaded[2]


def test_votes(folder: Path) -> None:
    saved = names.load_slot(folder / "votes")
    assert saved == votes()[-1]
    assert names.votes_in(saved) == (view(5), (3, "edge-2"), (3, "edge-2"), view(6))
    assert names.votes_in(votes()[0]) == (view(5), (0, ""), (0, ""), None)
    assert names.votes_in(votes()[1]) == (view(5), (3, "edge-2"), (0, ""), None)
    assert view(5).voters[0] == type(view(5).voters[0])(NAME, DISK, "10.0.0.1:7780", "zone-1")


def test_kept_view(folder: Path) -> None:
    assert names.kept_view(folder) == view(7)


def test_a_flipped_byte_is_noticed(stored: dict[str, bytes], tmp_path: Path) -> None:
    """In each file, a byte of the header and one of the contents, on the side that counts."""
    assert _reads_as_stored(unpack(ARCHIVE, tmp_path / "untouched"))
    counting = _files_that_count(stored)
    assert len(counting) == COUNTING_FILES
    for number, path in enumerate(counting):
        end = _end_of_contents(path, stored[path])
        for place in (0, end // 2, end - 1):
            copy = unpack(ARCHIVE, tmp_path / f"{number}-{place}")
            data = bytearray(stored[path])
            data[place] ^= 0x01
            (copy / path).write_bytes(data)
            assert not _reads_as_stored(copy), (path, place)


def _files_that_count(stored: dict[str, bytes]) -> list[str]:
    """All files but the older sides of slots."""
    kept = []
    for path, data in stored.items():
        other = stored.get(f"{path[:-1]}{1 - int(path[-1])}") if path[-2:] in (".0", ".1") else None
        if data.strip(b"\0") and (other is None or _sequence(data) > _sequence(other)):
            kept.append(path)
    return [path for path in kept if "control-record" not in path or _named_record(path, stored)]


def _end_of_contents(path: str, data: bytes) -> int:
    """Where what counts ends: before what an older value has left, or the empty rest of a segment."""
    if path[-2:] in (".0", ".1"):
        return SLOT_HEADER_BYTES + int.from_bytes(data[16:20], "little")
    return len(data.rstrip(b"\0"))


def _sequence(data: bytes) -> int:
    """The number of a slot's save."""
    return int.from_bytes(data[8:16], "little")


def _named_record(path: str, stored: dict[str, bytes]) -> bool:
    """Whether this is the record that the newest large state names: the one saved last."""
    return large_state(3).document in stored[path]


def _reads_as_stored(folder: Path) -> bool:
    try:
        ring = names.open_ring(folder / "ring", SEGMENT_BYTES, SEGMENTS, Random(0))
        return (
            names.replayed_records(ring) == ([*records(), b"", b"last"], 0)
            and names.load_slot(folder / "slot") == b""
            and names.identity_of(folder, 0) == (IDENTITY, False)
            and names.load_slot(folder / "life") == INCARNATION
            and names.load_state(folder / "small") == (3, small_state(), True)
            and names.load_state(folder / "large") == (4, large_state(3), True)
            and names.load_slot(folder / "votes") == votes()[-1]
            and names.kept_view(folder) == view(7)
        )
    except (names.StorageError, names.DecodeError, ValueError):
        return False
