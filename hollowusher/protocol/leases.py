"""Leases of jobs that a partition's primary grants to dispatchers, and the ends of these leases.

A lease id is "PARTITION-EPOCH-SEQUENCE-NUMBER": the message's reference and the number of the lease.
"""

from __future__ import annotations

from hollowusher.protocol.codec import message
from hollowusher.protocol.messages import NewMessage


@message(53)
class LeaseRequest:
    """Request of a dispatcher to a store for up to `most` jobs of a service.

    The store may wait up to `wait_ms` for one to come.  Pull leases last `visibility_ms` after the worker's
    last call; push leases as long as their dispatcher lives, bounded by the delivery's timeout.
    """

    dispatcher: str
    incarnation: int
    service: str
    most: int
    wait_ms: int
    pull: bool = False
    visibility_ms: int = 0
    number: int = 0  # grows with each request of the dispatcher; 0: it declares none lost
    lost: int = 0  # the request whose answer never came: what it granted is not begun and goes back


@message(54)
class LeasedJob:
    """A leased job; `attempt` counts earlier deliveries of the message."""

    lease: str
    message: NewMessage
    attempt: int
    start_within_ms: int  # the delivery has to begin within this time, else the lease goes back unrun
    state: str = ""  # for call-backs: the end to report
    signature: str = ""  # for call-backs


@message(55)
class LeaseResponse:
    """Response to `LeaseRequest`.

    `leased_after_ms` is the time from the request's arrival to the grant, so that the dispatcher knows the
    greatest age of the leases, whichever process stood still meanwhile.
    """

    jobs: list[LeasedJob]
    next_ms: int = 0  # until a rate limit or delay lets more jobs go, 0: unknown
    leased_after_ms: int = 0


@message(56)
class FinishLease:
    """The end of a lease; it is sent again until it is answered.

    `result` is "success" (with signature), "failed" (the worker answered 500), "refused" (422: never again),
    "not_run" (given back, rejected as not run, or no connection) or "unknown" (reset, silence, timeout).
    """

    lease: str
    result: str
    signature: str = ""
    retry_ms: int = 0  # wait asked for before the next lease


@message(57)
class ExtendLease:
    """Request of a pull worker for more time."""

    lease: str


@message(58)
class LeaseUpdateResponse:
    """Response to `FinishLease` and `ExtendLease`.

    "taken": the change is durable, and a repeated request gets the same answer.  "gone": the lease is not
    valid any more.
    """

    status: str  # "taken" | "gone" | "not_primary" | "unavailable"


@message(61)
class JobsWaiting:
    """One-way notice of a store to dispatchers: jobs of this service wait here and nobody asks for them."""

    service: str
    store: str
