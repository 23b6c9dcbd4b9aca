"""The identity of a disk, and the incarnation numbers of the process that uses it."""

from __future__ import annotations

from pathlib import Path
from random import Random

from hollowusher.storage.files import Files, SystemFiles, read_whole
from hollowusher.storage.interface import Slot, StorageError

IDENTITY_FILE = "disk-id"
TEMPORARY_FILE = "disk-id.new"
IDENTITY_BITS = 64
RANDOM_BITS = 16  # random low-order bits of an incarnation number


def disk_identity(folder: Path, rng: Random, files: Files | None = None) -> tuple[str, bool]:
    """Return the id of the disk that holds `folder`, and whether it was created now on a new disk.

    Raises
    ------
    StorageError
        If the folder cannot be used, or the file with the id is damaged.
    """
    system: Files = SystemFiles() if files is None else files
    try:
        system.make_folder(folder)
        known = read_whole(system, folder / IDENTITY_FILE)
        if known is not None:
            system.sync_folder(folder)  # the process that wrote the id may have crashed before this sync
            return _check_identity(folder, known), False
        identity = f"{rng.getrandbits(IDENTITY_BITS):016x}"
        _write_durably(system, folder, identity.encode())
    except OSError as error:
        raise StorageError("identity", str(folder), error.strerror or str(error)) from error
    return identity, True


def _check_identity(folder: Path, data: bytes) -> str:
    if len(data) != IDENTITY_BITS // 4:
        raise StorageError("identity", str(folder / IDENTITY_FILE), "the file does not hold a valid disk id")
    return data.decode()


def _write_durably(system: Files, folder: Path, data: bytes) -> None:
    descriptor = system.open(folder / TEMPORARY_FILE, create=True)
    try:
        system.set_size(descriptor, 0)
        system.write(descriptor, data, 0)
        system.sync(descriptor)
    finally:
        system.close(descriptor)
    system.rename(folder / TEMPORARY_FILE, folder / IDENTITY_FILE)
    system.sync_folder(folder)


def next_incarnation(now_wall_ms: int, stored: int | None, rng: Random) -> int:
    """Return the number of a new incarnation, greater than the number `stored` by the previous one.

    The number is the wall-clock time in milliseconds, followed by random low-order bits.  These bits make
    a collision unlikely between two incarnations that start in the same millisecond without a stored
    number.
    """
    by_time = now_wall_ms << RANDOM_BITS | rng.getrandbits(RANDOM_BITS)
    return by_time if stored is None else max(by_time, stored + 1)


async def claim_incarnation(slot: Slot, now_wall_ms: int, rng: Random) -> int:
    """Return the incarnation number of this process after it has been stored durably in `slot`."""
    value = slot.load()
    stored = int.from_bytes(value, "big") if value else None
    incarnation = next_incarnation(now_wall_ms, stored, rng)
    await slot.save(incarnation.to_bytes(8, "big"))
    return incarnation
