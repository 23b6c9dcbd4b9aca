"""The data folders of a small system that ran and was stopped before the renames, read by today's code."""

from __future__ import annotations

import hashlib
from collections import Counter
from pathlib import Path
from typing import Any

import orjson
import pytest
from syrupy.assertion import SnapshotAssertion

from tests.contract import names
from tests.contract.disk_files import unpack

ARCHIVE = Path(__file__).parent / "data" / "system.tar.xz"
ARCHIVE_DIGEST = "034eabfdbd3ec2398c11cf3e75c1a376d1534e09a7c60b1f128c00fc153c12e3"
STORE_DISK_MB = 1  # as `make_system_data` ran them
STORES = ("store-1", "store-2", "store-3")
EDGES = ("edge-1", "edge-2", "edge-3")
WALL_MS = 1_700_000_000_000
PUT, STATE = 1, 2
STORE_FILES = ("disk-id", "life.0", "view.0", "view.1")
FLIPS_IN_A_RING = 24


@pytest.fixture
def system(tmp_path: Path) -> Path:
    """A copy of the data folders, for readers write to what they open."""
    return unpack(ARCHIVE, tmp_path)


def digest(parts: list[bytes]) -> str:
    """A digest of some bytes in their order."""
    found = hashlib.sha256()
    for part in parts:
        found.update(len(part).to_bytes(8, "little") + part)
    return found.hexdigest()


def by_position(value: Any) -> Any:
    """A message as plain values, without names."""
    return names.encode(value).hex() if value is not None else None


def store_summary(folder: Path) -> dict[str, Any]:
    """All that today's code reads from a store's data folder."""
    records, damaged = names.store_records(folder, STORE_DISK_MB)
    kinds = Counter(names.header_of(record).kind for record in records)
    contents = [_content(record) for record in records]
    view = names.kept_view(folder)
    return {
        "records": len(records),
        "damaged": damaged,
        "kinds": dict(sorted(kinds.items())),
        "digest of the records": digest(records),
        "digest of their contents": digest([repr(content).encode() for content in contents]),
        "partitions": names.merged_messages(records, WALL_MS),
        "disk": names.identity_of(folder, 0),
        "life": _incarnation(folder),
        "epoch of the view": view.epoch,
        "view": by_position(view),
    }


def edge_summary(folder: Path) -> dict[str, Any]:
    """All that today's code reads from a controller's data folder."""
    loaded = names.load_state(folder)
    assert loaded is not None
    epoch, state, whole = loaded
    saved = names.load_slot(folder / "view")
    assert saved is not None
    decided, promised, accepted_ballot, accepted = names.votes_in(saved)
    document = names.state_document(state)
    return {
        "epoch of the state": epoch,
        "whole": whole,
        "generation": names.state_generation(state),
        "state": by_position(state),
        "document": orjson.loads(document),
        "configuration": repr(names.plain_configuration(document)),
        "placement": names.placed_partitions(state),
        "decided view": by_position(decided),
        "epoch of the view": decided.epoch,
        "promised": promised,
        "accepted": [accepted_ballot, by_position(accepted)],
        "disk": names.identity_of(folder, 0),
        "life": _incarnation(folder),
    }


def _incarnation(folder: Path) -> int:
    value = names.load_slot(folder / "life")
    assert value is not None
    return int.from_bytes(value, "big")


def _content(record: bytes) -> Any:
    """What a record says, by position."""
    header = names.header_of(record)
    if header.kind == PUT:
        return names.field_values(names.unpack_put(record))
    if header.kind == STATE:
        key, state = names.unpack_state(record, header.version)
        return key, names.field_values(state)
    return tuple(header)


def test_the_archive_is_the_one_that_was_made() -> None:
    assert hashlib.sha256(ARCHIVE.read_bytes()).hexdigest() == ARCHIVE_DIGEST


@pytest.mark.parametrize("store", STORES)
def test_store(store: str, system: Path, snapshot: SnapshotAssertion) -> None:
    assert store_summary(system / store / "data") == snapshot


@pytest.mark.parametrize("edge", EDGES)
def test_controller(edge: str, system: Path, snapshot: SnapshotAssertion) -> None:
    assert edge_summary(system / edge / "data") == snapshot


def test_a_second_reading_finds_the_same(system: Path) -> None:
    folder = system / STORES[0] / "data"
    assert store_summary(folder) == store_summary(folder)


def test_a_flipped_byte_in_a_ring_is_noticed(system: Path) -> None:
    folder = system / STORES[0] / "data"
    whole = store_summary(folder)
    for file in sorted((folder / "ring").iterdir()):
        data = file.read_bytes()
        end = len(data.rstrip(b"\0"))
        for place in range(0, end, max(1, end // FLIPS_IN_A_RING)):
            file.write_bytes(data[:place] + bytes([data[place] ^ 0x10]) + data[place + 1 :])
            assert _differs(store_summary, folder, whole), (file.name, place)
            for other in (folder / "ring").iterdir():
                other.unlink()
            unpack(ARCHIVE, system)


@pytest.mark.parametrize("name", STORE_FILES)
def test_a_flipped_byte_of_a_store_is_noticed(name: str, system: Path) -> None:
    _flip_and_compare(system / STORES[0] / "data", name, store_summary)


@pytest.mark.parametrize(
    "name", ["disk-id", "life.0", "view.0", "view.1", "control-state.0", "control-state.1"]
)
def test_a_flipped_byte_of_a_controller_is_noticed(name: str, system: Path) -> None:
    _flip_and_compare(system / EDGES[0] / "data", name, edge_summary)


def _flip_and_compare(folder: Path, name: str, summary: Any) -> None:
    """Of a slot's two sides only the newer one counts: a flip in the older one has to change nothing."""
    whole = summary(folder)
    file = folder / name
    data = file.read_bytes()
    place = len(data) // 2
    file.write_bytes(data[:place] + bytes([data[place] ^ 0x01]) + data[place + 1 :])
    assert _differs(summary, folder, whole) == _counts(file, data)


def _counts(file: Path, data: bytes) -> bool:
    if file.suffix not in (".0", ".1"):
        return True
    other = file.with_suffix(".1" if file.suffix == ".0" else ".0").read_bytes()
    return int.from_bytes(data[8:16], "little") > int.from_bytes(other[8:16], "little")


def _differs(summary: Any, folder: Path, whole: dict[str, Any]) -> bool:
    try:
        return bool(summary(folder) != whole)
    except (names.StorageError, names.DecodeError, ValueError, AssertionError, AttributeError):
        return True
