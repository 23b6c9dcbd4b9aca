"""Writes one of each file that a process keeps on disk, always the same bytes."""

from __future__ import annotations

import tarfile
from pathlib import Path
from random import Random
from typing import Any

from tests.contract import names
from tests.contract.examples import filled, type_of_tag
from tests.contract.test_records import KEY_OF_STATE, PARTITION, STATES, VERSION, put_content

SEED = 20
SEGMENT_BYTES = 4096
SEGMENTS = 12
WALL_MS = 1_700_000_000_000
LARGE_DOCUMENT = b'{"text":"' + b"0123456789" * 2_000 + b'"}'  # beyond what is saved inside the state
NAME, DISK = "edge-1", "00112233445566aa"
VOTER_TAG, VIEW_TAG, PREPARE_TAG, ACCEPT_TAG, STATE_TAG = 10, 11, 14, 16, 22


def view(epoch: int) -> Any:
    """A view whose first voter is `NAME` with `DISK`."""
    voters = [
        type_of_tag(VOTER_TAG)(name, disk, f"10.0.0.{number}:7780", f"zone-{number}")
        for number, (name, disk) in enumerate(((NAME, DISK), ("edge-2", "ab"), ("edge-3", "cd")), start=1)
    ]
    chain = [NAME, "edge-3"]
    return type_of_tag(VIEW_TAG)(epoch, voters, chain, {NAME: 1, "edge-3": epoch}, "cluster-x")


def small_state() -> Any:
    """A control state with every field set."""
    return filled(type_of_tag(STATE_TAG))


def large_state(generation: int) -> Any:
    """A control state whose document and history go to a slot of their own."""
    history = [[generation, b"d" * 16]]
    return type_of_tag(STATE_TAG)(9, generation, LARGE_DOCUMENT + b" " * generation, history)


def votes() -> list[bytes]:
    """What the voter `NAME` saves in one round."""
    voter = f"{NAME}/{DISK}"
    prepare = type_of_tag(PREPARE_TAG)(6, [3, "edge-2"], view(5), voter)
    accept = type_of_tag(ACCEPT_TAG)(6, [3, "edge-2"], view(6), voter)
    return names.voted(NAME, DISK, view(5), prepare, accept)


def records() -> list[bytes]:
    """Records of every kind, more than one segment holds."""
    one_each = [
        names.pack_epoch(PARTITION, 4),
        names.pack_put(PARTITION, VERSION, put_content()),
        *(names.pack_state(PARTITION, KEY_OF_STATE, state) for state in STATES.values()),
    ]
    return one_each * 20


async def write_files(folder: Path) -> None:
    """Write all of them below a folder."""
    ring = names.open_ring(folder / "ring", SEGMENT_BYTES, SEGMENTS, Random(SEED))
    for record in records():
        await names.append_records(ring, [record])
    await names.append_records(ring, [b"", b"last"])
    ring.close()
    await names.save_slot(folder / "slot", [b"first", b"second value", b""])
    names.identity_of(folder, SEED)
    await names.claimed_incarnation(folder / "life", WALL_MS, SEED)
    await names.save_states(folder / "small", [(3, small_state())])
    await names.save_states(folder / "large", [(3, large_state(1)), (4, large_state(2)), (4, large_state(3))])
    await names.save_slot(folder / "votes", votes())
    await names.keep_view(folder, view(7))


def pack(folder: Path, archive: Path) -> None:
    """All files of a folder, with neutral owners and times."""
    with tarfile.open(archive, "w:xz", preset=9) as out:
        for file in sorted(path for path in folder.rglob("*") if path.is_file()):
            entry = tarfile.TarInfo(str(file.relative_to(folder)))
            entry.size = file.stat().st_size
            with file.open("rb") as content:
                out.addfile(entry, content)


def unpack(archive: Path, folder: Path) -> Path:
    """The folder with an archive's files in it."""
    with tarfile.open(archive) as packed:
        packed.extractall(folder, filter="data")
    return folder


def bytes_of(folder: Path) -> dict[str, bytes]:
    """All files of a folder by their paths."""
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }
