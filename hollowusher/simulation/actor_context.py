"""What workers and receivers outside the system share: the context, the behaviour, the outcome of a run."""

from __future__ import annotations

import random
from dataclasses import dataclass

from hollowusher.simulation.http_network import HttpNetwork
from hollowusher.simulation.observations import Observations, WorkerRun

NOT_EXECUTED = "X-Not-Executed"
ATTEMPT = "X-Attempt-Id"
SIGNATURE = "X-Server-Signature"
POISON = b"poison"  # a body that begins so is refused for good
ALWAYS_FAILS = b"always-fails"


@dataclass
class WorkerBehaviour:
    """How workers of a service act.  Shares are of the runs."""

    work_s: tuple[float, float] = (0.02, 0.2)
    failed_share: float = 0.05
    lost_answer_share: float = 0.02  # ran, but the connection breaks in place of the answer
    silent_share: float = 0.005  # ran, and nothing is ever heard
    reset_share: float = 0.01  # broken off under work
    garbled_share: float = 0.01  # ran, and the answer is another message's, or lacks its stamp
    repeated_end_share: float = 0.05  # of the job ends that were taken: sent again at once


class SignatureSource:
    """A source of signatures, each of which is used once."""

    def __init__(self) -> None:
        self._given = 0

    def next(self) -> str:
        """Create a new signature."""
        self._given += 1
        return f"{self._given:x}.stamp"


@dataclass
class ActorContext:
    """What all actors outside the system need.  Their observations go into `observations`."""

    http: HttpNetwork
    observations: Observations
    signatures: SignatureSource
    random_source: random.Random

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.http.network.loop.time()


def draw_outcome(context: ActorContext, behaviour: WorkerBehaviour, run: WorkerRun) -> int:
    """Decide how a run ends, record that in it, and return the HTTP status."""
    if run.body.startswith(POISON):
        run.result = "refused"
        return 422
    if run.body.startswith(ALWAYS_FAILS) or context.random_source.random() < behaviour.failed_share:
        run.result = "failed"
        return 500
    run.result, run.signature = "success", context.signatures.next()
    return 200
