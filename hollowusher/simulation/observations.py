"""What the outside saw in one play: clients, workers, receivers, the operator and the platform.

Times are virtual seconds.  Nothing here is learned from inside the system.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hollowusher.simulation.fencing_judge import CallAfterFencing


@dataclass(frozen=True)
class ClientRequest:
    """What a client wants: a message that it sends in one or more tries."""

    number: int
    sent_at: float  # its first try


@dataclass
class SentMessage:
    """One try of a client: a message with an id of its own."""

    id: str
    route: str
    service: str
    body: bytes
    ordering_key: str
    delay_s: float
    callback_url: str
    edge: str
    edge_incarnation: int
    sent_at: float
    status: int | None = None  # None: no answer
    answered_at: float | None = None
    reference: str = ""  # X-Message-Ref, else the id
    request: ClientRequest | None = None  # None: sent outside the day's traffic

    @property
    def accepted(self) -> bool:
        """Whether a 202 reached the client."""
        return self.status == 202


@dataclass
class WorkerRun:
    """A worker's work on a message.

    `result` is "success", "failed" (500), "refused" (422), "broken" (no answer was made), or empty
    while the worker is busy.
    """

    id: str
    service: str
    worker: str
    started_at: float
    body: bytes
    ended_at: float | None = None
    result: str = ""
    signature: str = ""
    read_at: float | None = None  # when the complete answer was read by the sender
    ordering_key: str | None = None  # as the worker saw it; None where it is not told
    arrived_at: float = 0.0


@dataclass
class WorkerDrain:
    """A worker that the platform's list shows as draining, from `shown_at` on."""

    worker: str
    shown_at: float


@dataclass
class DeliveryArrival:
    """A delivery that reached a service with a ceiling, run or not."""

    service: str
    id: str
    at: float


@dataclass
class AcceptedLeaseEnd:
    """A pull worker's end that was accepted with 200."""

    id: str
    lease: str
    result: int
    at: float


@dataclass
class RepeatedLeaseEnd:
    """An end that was taken with 200 and came again at once; `status` is the second answer, None for none."""

    id: str
    lease: str
    status: int | None
    at: float


@dataclass
class ObservedShutdown:
    """An edge process that was ready was asked to stop; whether it still counted as ready seconds later."""

    edge: str
    requested_at: float
    still_ready: bool


@dataclass
class StoreRetirement:
    """An order to empty a store."""

    store: str
    asked_at: float
    ended_at: float
    completed: bool
    duration_s: float
    wiped: bool  # another store lost its disk meanwhile


@dataclass
class LivenessFailure:
    """Something that is not in order though all has been calm for a while."""

    subject: str
    text: str
    at: float


@dataclass
class MessageStateResponse:
    """Answer to `GET /message` and, with `body`, `GET /message-body`."""

    id: str
    at: float
    status: int | None
    state: str = ""
    signature: str = ""
    body: bytes | None = None
    final: bool = False


@dataclass
class ReceivedCallback:
    """A call-back as its receiver saw it."""

    id: str
    url: str
    state: str
    signature: str
    at: float
    status: int | None


@dataclass
class ConfigurationOrder:
    """An operator's change: what it builds on and what it makes, with the answers it got."""

    number: int
    if_match: int
    generation: int
    document: dict[str, Any]  # the complete configuration that it makes
    valid: bool
    first_sent_at: float = 0.0
    acknowledged_at: float | None = None
    rejected_at: float | None = None
    answers: list[tuple[float, int | None]] = field(default_factory=list)


@dataclass
class ConfigurationRead:
    """The answer to `GET /config`."""

    at: float
    asked_at: float
    edge: str
    document: dict[str, Any]
    final: bool = False


@dataclass
class ObservedGeneration:
    """Which configuration an edge process worked with when it answered a request."""

    edge: str
    incarnation: int
    generation: int
    at: float


@dataclass
class InjectedFault:
    """A disturbance by the cluster.  `planned`: SIGTERM only."""

    kind: str
    host: str
    begun_at: float
    ended_at: float | None = None
    planned: bool = False


@dataclass
class WorkerOutage:
    """A time in which no listed worker of some services was there."""

    services: frozenset[str]
    begun_at: float
    ended_at: float | None = None  # None: it lasts


@dataclass
class Observations:
    """Everything that was seen."""

    messages: dict[str, SentMessage] = field(default_factory=dict)
    runs: list[WorkerRun] = field(default_factory=list)
    drains: list[WorkerDrain] = field(default_factory=list)
    arrivals: list[DeliveryArrival] = field(default_factory=list)
    lease_ends: list[AcceptedLeaseEnd] = field(default_factory=list)
    states: list[MessageStateResponse] = field(default_factory=list)
    callbacks: list[ReceivedCallback] = field(default_factory=list)
    orders: list[ConfigurationOrder] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    generations: list[ObservedGeneration] = field(default_factory=list)
    faults: list[InjectedFault] = field(default_factory=list)
    repeated_ends: list[RepeatedLeaseEnd] = field(default_factory=list)
    shutdowns: list[ObservedShutdown] = field(default_factory=list)
    retirements: list[StoreRetirement] = field(default_factory=list)
    liveness_failures: list[LivenessFailure] = field(default_factory=list)
    worker_outages: list[WorkerOutage] = field(default_factory=list)
    calls_after_fencing: list[CallAfterFencing] = field(default_factory=list)
    calm_since: float = 0.0  # no disturbance after this
    traffic_ended_at: float = 0.0
    ended_at: float = 0.0
