"""The record of one send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hollowusher.balancing.interface import Outcome

if TYPE_CHECKING:
    from hollowusher.balancing.balancer import QueuedRequest, WorkerState


class Attempt:
    """One send of a request."""

    def __init__(self, request: QueuedRequest, worker: WorkerState, now: int, expected: float) -> None:
        self.request, self.number, self.worker, self.sent = request, len(request.attempts), worker, now
        self.expected = max(1.0, expected)  # its running time on a usual worker
        self.started: int | None = None
        self.outcome: Outcome | None = None
