"""The outcome of a delivery, for the store that holds the message and for the worker's flow control."""

from __future__ import annotations

import enum

import attrs


class WorkerFeedback(enum.Enum):
    """The outcome of a delivery as far as it concerns the worker's flow control."""

    DONE = "done"  # the worker responded with success, or with an error caused by the job itself
    FAILED = "failed"  # the worker responded with an error that is not a rejection
    FULL = "full"  # the worker rejected the job unrun: no free slot and no room in its queue
    RATE = "rate"  # the worker rejected the job because of the service's rate ceiling, not for lack of slots
    NEUTRAL = "neutral"  # no information about the worker, e.g. because the message runs elsewhere
    UNREACHABLE = "unreachable"  # no connection
    LOST = "lost"  # connection reset, timeout or invalid response
    GONE = "gone"  # another worker now uses the address


@attrs.frozen
class DeliveryOutcome:
    """The outcome of one delivery.

    `result` and `signature` are the fields of `FinishLease`.  `retry_ms` is the requested delay in
    milliseconds before the next lease of the job.  `started` is the event loop time at which the delivery
    began, or None if nothing was sent; `elapsed_s` is the duration of the delivery in seconds."""

    result: str  # "success" | "failed" | "refused" | "not_run" | "unknown"
    feedback: WorkerFeedback
    signature: str = ""
    retry_ms: int = 0
    started: float | None = None
    elapsed_s: float = 0.0
    reason: str = ""
