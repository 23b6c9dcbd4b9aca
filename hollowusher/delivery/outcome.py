"""What a delivery came to: for the store that keeps the message, and for the worker's controller."""

from __future__ import annotations

import enum

import attrs


class WorkerFeedback(enum.Enum):
    """How a hand-over ended, as a worker's controller tells them apart."""

    DONE = "done"  # answered: success, or the job itself is at fault
    FAILED = "failed"  # answered, but neither with success nor with a refusal
    FULL = "full"  # refused as not run: no slot and no place in its queue
    RATE = "rate"  # refused for the service's rate ceiling: says nothing about slots
    NEUTRAL = "neutral"  # says nothing about the worker: the message runs elsewhere, or is at fault
    UNREACHABLE = "unreachable"  # no connection
    LOST = "lost"  # reset, silence or an answer that is none
    GONE = "gone"  # another worker stands at the address


@attrs.frozen
class DeliveryOutcome:
    """`result` and `signature` are those of `FinishLease`; `retry_ms` is the wait wanted before the next
    lease.
    `started` is when the first byte was sent (None: nothing was), `elapsed_s` how long the delivery took."""

    result: str  # "success" | "failed" | "refused" | "not_run" | "unknown"
    feedback: WorkerFeedback
    signature: str = ""
    retry_ms: int = 0
    started: float | None = None
    elapsed_s: float = 0.0
    reason: str = ""
