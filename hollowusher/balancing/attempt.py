"""Record of one send of a request to a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hollowusher.balancing.interface import Outcome

if TYPE_CHECKING:
    from hollowusher.balancing.balancer import QueuedRequest, WorkerState


class Attempt:
    """One send of a request; its start and outcome are None until the worker reports them."""

    def __init__(self, request: QueuedRequest, worker: WorkerState, now: int, expected: float) -> None:
        self.request, self.number, self.worker, self.sent = request, len(request.attempts), worker, now
        self.expected = max(1.0, expected)  # expected running time on this worker in ns
        self.started: int | None = None
        self.outcome: Outcome | None = None
