"""Events that the frontends post to the dispatcher, and commands that the dispatcher returns.

A job is one client request; an attempt is one transmission of a job to a node.  Times are nanoseconds on the
caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from hollowusher.balancing.interface import Listed, ListKind, Outcome, Reading, Settings
from hollowusher.balancing.learned_state import LearnedState


class Verdict(Enum):
    """Final result of a job, as its client sees it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class JobAnswerBody:
    """Final answer of a job; `wait_ns` is the retry delay to suggest when the job is refused (0: none)."""

    verdict: Verdict
    result: bytes = b""
    wait_ns: int = 0


@dataclass(eq=False, slots=True)
class ClientJob:
    """A job that the scheduler has accepted.

    `subject`, `body` and `repeat_key` are forwarded to the node unchanged.  The client waits `left_ns` from
    `taken_ns` on.  `answer_to` is the callback for the final answer.
    """

    job_id: str
    job_class: str
    subject: str
    body: bytes
    taken_ns: int
    left_ns: int
    answer_to: Callable[[JobAnswerBody], None]
    repeat_key: str = ""
    about: str = ""
    tenant: str = ""  # the tenant whose share the job uses; "" for none
    hint_ns: int = 0  # the client's estimate of the run time; 0 for none
    slots: float = 1.0
    memory: float = 0.0
    retry: bool = False
    gone: Callable[[], bool] = lambda: False  # whether its client is known to have left
    ticket: str = field(default="", init=False)  # the dispatcher's job id; clients may reuse theirs

    @property
    def deadline_ns(self) -> int:
        """When the client stops waiting."""
        return self.taken_ns + self.left_ns


@dataclass(frozen=True, slots=True)
class JobAttempt:
    """Identity of an attempt: the job's ticket, the attempt's number within the job, and the node."""

    ticket: str
    number: int
    node: int


@dataclass(frozen=True, slots=True)
class JobTaken:
    """Event: the scheduler has accepted a job and must answer it exactly once."""

    job: ClientJob


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """Event: the client of this job has disconnected, so no new attempt starts.

    With `kept`, running attempts continue and the answer is stored for a client that reconnects.
    """

    job: ClientJob
    kept: bool = False


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Event: the node has started the job."""

    attempt: JobAttempt


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """Event: the node has completed this share of the job (0 to 1)."""

    attempt: JobAttempt
    share: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: the attempt has ended; `result` is the node's response body when the outcome is OK."""

    attempt: JobAttempt
    outcome: Outcome
    reading: Reading | None = None
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class NodeListReceived:
    """Event: a node list or changes to it have arrived, or the list request has failed; see `kind`."""

    kind: ListKind
    entries: tuple[Listed, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeProbed:
    """Event: a load probe has ended; `reading` is the node's load if it reported one."""

    node: int
    ok: bool
    reading: Reading | None = None


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Event: a timer that the dispatcher requested has expired."""


@dataclass(frozen=True, slots=True)
class ColdBudgetInUse:
    """Event: another process of this scheduler may be using the budget for cold workers at the same time."""


@dataclass(frozen=True, slots=True)
class NewSettings:
    """Event: new settings apply to jobs that arrive from now on."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class LearnedStateReceived:
    """Event: learned state of another process of this scheduler; it follows that process's node list."""

    memory: LearnedState


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
    """Command: send the job to the node.

    `timeout_ns` limits the attempt; 0 lets it run until the client gives up.  `write_by_ns` is the time by
    which the last byte of a retry must be written, while the node still recognizes its idempotency key;
    0 means no limit.
    """

    attempt: JobAttempt
    job: ClientJob
    timeout_ns: int
    write_by_ns: int = 0

    def may_begin(self, now: int) -> bool:
        """Return whether the attempt may still start.

        Every frontend checks this right before the first byte, because opening a connection can take long.
        """
        return not self.job.gone() and (not self.write_by_ns or now < self.write_by_ns)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Command: cancel an attempt."""

    attempt: JobAttempt


@dataclass(frozen=True, slots=True)
class ReplyToClient:
    """Command: send a job's final answer to its client."""

    job: ClientJob
    answer: JobAnswerBody


@dataclass(frozen=True, slots=True)
class ProbeNode:
    """Command: request a load report from a node."""

    node: int


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Command: request the node list and watch it for changes."""


@dataclass(frozen=True, slots=True)
class WakeDispatcher:
    """Command: post `TimerExpired` to the dispatcher after `in_ns`."""

    in_ns: int


@dataclass(frozen=True, slots=True)
class OperatorNotice:
    """Command: write a log line for operators."""

    text: str


DispatchCommand = (
    Dispatch | CancelAttempt | ReplyToClient | ProbeNode | WatchNodeList | WakeDispatcher | OperatorNotice
)
