"""Storage interfaces of the state machines: an append-only log with space reclamation, and value slots."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol


class StorageError(Exception):
    """A storage operation failed, for example because the disk is full or a file is damaged.

    `step` is the operation, `file` its file or folder, `reason` the error of the operating system or of the
    check that failed.
    """

    def __init__(self, step: str, file: str, reason: str) -> None:
        super().__init__(f"{step} {file}: {reason}")
        self.step = step
        self.file = file
        self.reason = reason


class Position(NamedTuple):
    """Position of a record: the sequence number of its segment, its offset there, and its length in bytes."""

    segment: int
    offset: int
    length: int


MoveRecord = Callable[[Position, bytes], None]
MAX_UNSYNCED_BYTES = 8 * 1024 * 1024


class Log(Protocol):
    """A log over a ring of preallocated files.

    The owner of the log releases records that it no longer needs.  Before the log reuses a segment, it calls
    `move` with each record of the segment that is still live, and the owner appends these records again.

    The log reuses segments strictly from the oldest on, and only after all records appended up to then are
    durable.  So a record outlives the record that it replaces, if the owner appends it before it releases
    the replaced one.  A replay may yield released records until their segment is reused.
    """

    def replay(self) -> Iterator[tuple[Position, bytes]]:
        """Yield all records that survived, oldest first.

        The iterator must be exhausted before the first append.  Each record is live until it is released,
        which is allowed during the replay.
        """

    def append(self, record: bytes) -> Position:
        """Add a record in memory and return its position; the next `sync` makes it durable.

        Raises
        ------
        StorageError
            If there is no space for the record.
        """

    async def sync(self) -> None:
        """Return once all records appended before this call are durable; concurrent calls share one sync.

        After a `StorageError` the records stay in memory in their order, and a later sync writes them.  Until
        then it is unknown whether they survive a crash.
        """

    def read(self, position: Position) -> bytes:
        """Return the bytes of the record at `position`."""

    def release(self, position: Position) -> None:
        """Mark a record as no longer needed; a second release or one after a move is ignored."""

    def set_move(self, move: MoveRecord) -> None:
        """Set the function that re-appends the live records of a segment before the segment is reused.

        The log calls `move` from within `append` or from the event loop, and releases the old position when
        `move` returns.
        """

    def free_bytes(self) -> int:
        """Return how many bytes of further live records fit."""

    def unsynced_bytes(self) -> int:
        """Return how many bytes of records are not durable yet; the limit is `MAX_UNSYNCED_BYTES`."""

    def stalled(self, now: float) -> bool:
        """Return whether the running sync takes too long at `now`, the event loop's time in seconds."""

    def close(self) -> None:
        """Close the files."""


class Slot(Protocol):
    """One small value that is replaced atomically: a crash leaves either the old or the new value."""

    def load(self) -> bytes | None:
        """Return the value saved last, None if there is none."""

    async def save(self, value: bytes) -> None:
        """Replace the value durably."""
