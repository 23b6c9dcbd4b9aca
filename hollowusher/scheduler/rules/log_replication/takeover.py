"""What whoever takes a log over does about each of its open jobs."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from hollowusher.balancing.interface import Effect, Group, JobClass
from hollowusher.scheduler.rules.log_replication.records import LoggedJob

MIN_REMAINING_MS = 50  # less than this before its client gives up, nothing is begun


class Next(Enum):
    """What becomes of an open job."""

    SEND = "send"  # it goes to the desk again
    UNKNOWN = "unknown"  # it may have run and may not run twice: it is answered as failed
    LATE = "late"  # nobody waits any more: it is answered as failed, so that the book can forget it


@dataclass(frozen=True, slots=True)
class Bound:
    """Where a keyed job may go again: to the cell of its first attempt, and until when (wall clock)."""

    cell: str
    until_ms: int


def next_of(held: LoggedJob, classes: Mapping[str, JobClass], now_ms: int) -> tuple[Next, Bound | None]:
    """An attempt that was intended and is not proven never to have run counts as one that may have run.

    Safe: again.  Keyed: again within its group's window, counted from the first such attempt.  Else never."""
    cls = classes.get(held.taken.job_class)
    if held.taken.until_ms - now_ms < MIN_REMAINING_MS:
        return Next.LATE, None
    ran = held.may_have_run()
    if not ran or (cls is not None and cls.effect is Effect.SAFE):
        return Next.SEND, None
    if cls is None or cls.effect is Effect.UNSAFE:
        return Next.UNKNOWN, None
    until_ms = min(i.at_ms for i in ran) + cls.window_ns // 1_000_000
    if now_ms + MIN_REMAINING_MS >= until_ms:
        return Next.UNKNOWN, None
    return Next.SEND, Bound("" if cls.group is Group.ALL else ran[0].cell, until_ms)


def allowed(bound: Bound | None, cell: str, now_ms: int) -> bool:
    """Whether an attempt of a job taken over may go out: a veto, no choice of another node."""
    return bound is None or (now_ms < bound.until_ms and bound.cell in ("", cell))
