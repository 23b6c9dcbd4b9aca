"""Decides what a scheduler that takes over a log does with each open job."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from hollowusher.balancing.interface import Effect, Group, JobClass
from hollowusher.scheduler.rules.log_replication.records import LoggedJob

MIN_REMAINING_MS = 50  # an attempt starts only if this much time is left until its deadline


class NextStep(Enum):
    """The next step of an open job."""

    SEND = "send"  # pass it to the dispatcher again
    UNKNOWN = "unknown"  # it may have run and must not run twice: answer it as failed
    LATE = "late"  # its client no longer waits: answer it as failed, so that its state can expire


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """The limits of a keyed job's next attempt: the cell of its first attempt (empty: any) and a deadline."""

    cell: str
    until_ms: int


def next_step(
    held: LoggedJob, classes: Mapping[str, JobClass], now_ms: int
) -> tuple[NextStep, AttemptLimits | None]:
    """Returns the next step of an open job, and the limits of its next attempt if there are any.

    An attempt with an intent counts as one that may have run unless it is proven not to have run.  After such
    an attempt, a safe job is sent again; a keyed job is sent again within the deduplication window of its
    class, counted from the first such attempt; any other job is never sent again.
    """
    cls = classes.get(held.taken.job_class)
    if held.taken.until_ms - now_ms < MIN_REMAINING_MS:
        return NextStep.LATE, None
    ran = held.may_have_run()
    if not ran or (cls is not None and cls.effect is Effect.SAFE):
        return NextStep.SEND, None
    if cls is None or cls.effect is Effect.UNSAFE:
        return NextStep.UNKNOWN, None
    until_ms = min(i.at_ms for i in ran) + cls.window_ns // 1_000_000
    if now_ms + MIN_REMAINING_MS >= until_ms:
        return NextStep.UNKNOWN, None
    return NextStep.SEND, AttemptLimits("" if cls.group is Group.ALL else ran[0].cell, until_ms)


def allowed(bound: AttemptLimits | None, cell: str, now_ms: int) -> bool:
    """Whether an attempt of an adopted job may be sent to `cell`.  A rejection chooses no other node."""
    return bound is None or (now_ms < bound.until_ms and bound.cell in ("", cell))
