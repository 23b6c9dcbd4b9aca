"""What the state machines need of a disk: an append-only log with reclaiming, and small replaced values."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol


class StorageError(Exception):
    """A disk that failed, is full or answers nothing: the step, the file, and the reason."""

    def __init__(self, step: str, file: str, reason: str) -> None:
        super().__init__(f"{step} {file}: {reason}")
        self.step = step
        self.file = file
        self.reason = reason


class Position(NamedTuple):
    """Where a record stands: the sequence number of its segment, the offset in it, its length."""

    segment: int
    offset: int
    length: int


MoveRecord = Callable[[Position, bytes], None]


class Log(Protocol):
    """A log over a ring of preallocated files.  Records that are no longer needed are released; when a
    segment is to be used again, `move` is called with each of its records that are still live, and the
    owner appends them anew.

    Segments are used again strictly from the oldest on, and only after everything appended up to then is
    durable.  So a record that replaces another may be relied on to outlive it, if it is appended before
    the other is released.  Released records may come back at a replay until their segment is used again."""

    def replay(self) -> Iterator[tuple[Position, bytes]]:
        """All records that survived, oldest first.  To be used up before the first append.  Each one counts
        as live until it is released (this may be done during the replay)."""

    def append(self, record: bytes) -> Position:
        """Add a record in memory; durable after a later `sync`.  `StorageError` where there is no room."""

    async def sync(self) -> None:
        """Return once all that was appended before is durable; calls at the same time share one sync.

        After a `StorageError` the records stay in memory, in order: a later sync writes them, so whether
        they survive a crash is unknown."""

    def read(self, position: Position) -> bytes:
        """A record's bytes again."""

    def release(self, position: Position) -> None:
        """This record is no longer needed.  Released twice, or after it was moved, it is ignored."""

    def set_move(self, move: MoveRecord) -> None:
        """Who re-appends live records of a segment that is to be used again.  `move` is called within
        `append` or from the event loop; when it returns, the old position is released."""

    def free_bytes(self) -> int:
        """Room for further live records."""

    def stalled(self, now: float) -> bool:
        """Whether a sync has been under way too long at `now`, in the event loop's time."""

    def close(self) -> None:
        """Release the files."""


class Slot(Protocol):
    """One small value that is replaced as a whole: after a crash the old or the new one is there."""

    def load(self) -> bytes | None:
        """The value saved last, None where there is none."""

    async def save(self, value: bytes) -> None:
        """Replace the value durably."""
