"""What the fronts tell the desk, and what the desk orders.

A job is what a client asks for; each time it is sent to a route node is an attempt.  Times are
nanoseconds of the caller's one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from hollowusher.balancing.interface import Listed, ListKind, Outcome, Reading, Settings
from hollowusher.balancing.learned_state import Memory


class Verdict(Enum):
    """The three final answers."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class JobAnswerBody:
    """The one final answer of a job; `wait_ns` is advice that goes with a refusal."""

    verdict: Verdict
    result: bytes = b""
    wait_ns: int = 0


@dataclass(eq=False, slots=True)
class ClientJob:
    """A taken job.  `subject`, `body` and `repeat_key` pass to the route node as they came."""

    job_id: str
    job_class: str
    subject: str
    body: bytes
    taken_ns: int
    left_ns: int
    answer_to: Callable[[JobAnswerBody], None]
    repeat_key: str = ""
    about: str = ""
    tenant: str = ""  # whose share it counts on; "" where nobody's
    hint_ns: int = 0  # the client's guess at the work, 0: none
    slots: float = 1.0
    memory: float = 0.0
    retry: bool = False
    gone: Callable[[], bool] = lambda: False  # whether its client can be seen to have left, at this moment
    ticket: str = field(default="", init=False)  # the desk's own name for it: clients may reuse theirs

    @property
    def deadline_ns(self) -> int:
        """When the client stops waiting."""
        return self.taken_ns + self.left_ns


@dataclass(frozen=True, slots=True)
class JobAttempt:
    """Which send of which job to which node."""

    ticket: str
    number: int
    node: int


@dataclass(frozen=True, slots=True)
class JobTaken:
    """Event: a job is ours now and is owed one answer."""

    job: ClientJob


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """Event: nobody waits for this job any more.  Where its answer is `kept` for a client that comes back,
    what may run already ends as it does; either way nothing new begins."""

    job: ClientJob
    kept: bool = False


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Event: the node has begun the job."""

    attempt: JobAttempt


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """Event: the node has done this share of the job."""

    attempt: JobAttempt
    share: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: the attempt is over; `result` is the node's where the outcome is OK."""

    attempt: JobAttempt
    outcome: Outcome
    reading: Reading | None = None
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class NodeListReceived:
    """Event: the node list, or what changed in it, or that asking for it failed."""

    kind: ListKind
    entries: tuple[Listed, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeProbed:
    """Event: a probe's result."""

    node: int
    ok: bool
    reading: Reading | None = None


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Event: a time that the desk asked for has come."""


@dataclass(frozen=True, slots=True)
class ColdBudgetInUse:
    """Event: another process of this scheduler may be sending to cold workers just now."""


@dataclass(frozen=True, slots=True)
class NewSettings:
    """Event: these settings hold from now on, for jobs that are not open yet."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class LearnedStateReceived:
    """Event: what another process of this scheduler has learnt; after the list that it held."""

    memory: Memory


DispatchEvent = (
    JobTaken
    | ClientLeft
    | AttemptStarted
    | AttemptProgress
    | AttemptEnded
    | NodeListReceived
    | NodeProbed
    | TimerExpired
    | ColdBudgetInUse
    | NewSettings
    | LearnedStateReceived
)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Order: send the job to the node; `timeout_ns` 0 is until the client gives up.  The last byte of a
    repeat that its key must still cover has to be written by `write_by_ns`; 0: whenever."""

    attempt: JobAttempt
    job: ClientJob
    timeout_ns: int
    write_by_ns: int = 0

    def may_begin(self, now: int) -> bool:
        """Asked by every front right before the first byte: a connection may have been long in coming up."""
        return not self.job.gone() and (not self.write_by_ns or now < self.write_by_ns)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Order: stop waiting for an attempt."""

    attempt: JobAttempt


@dataclass(frozen=True, slots=True)
class ReplyToClient:
    """Order: give the job its final answer."""

    job: ClientJob
    answer: JobAnswerBody


@dataclass(frozen=True, slots=True)
class ProbeNode:
    """Order: ask a node for its load."""

    node: int


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Order: ask for the node list and its changes."""


@dataclass(frozen=True, slots=True)
class WakeDispatcher:
    """Order: tell the desk `TimerExpired` after this span."""

    in_ns: int


@dataclass(frozen=True, slots=True)
class OperatorNotice:
    """Order: a line for the people on call."""

    text: str


DispatchCommand = (
    Dispatch | CancelAttempt | ReplyToClient | ProbeNode | WatchNodeList | WakeDispatcher | OperatorNotice
)
