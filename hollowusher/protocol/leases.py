"""Leases of jobs that a store grants to dispatchers."""

from __future__ import annotations

from hollowusher.protocol.codec import message
from hollowusher.protocol.messages import NewMessage


@message(53)
class LeaseRequest:
    """A dispatcher asks a store for up to `most` jobs of a service; the store may wait for one to come.
    Pull leases last `visibility_ms` after the last word of the worker; push leases as long as their
    dispatcher lives, bounded by the delivery's timeout."""

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
    """A leased job.  `attempt` counts earlier deliveries of the message."""

    lease: str
    message: NewMessage
    attempt: int
    start_within_ms: int  # the delivery is to begin by then, else the lease is to be given back unrun
    state: str = ""  # for call-backs: the end to report
    signature: str = ""  # for call-backs


@message(55)
class LeaseResponse:
    """Answer to `LeaseRequest`.  `next_ms`: when a ceiling or delay lets more jobs go, 0: unknown.
    `leased_after_ms`: how long after the request had come the jobs were leased; so the asker knows how old
    the leases are at most, whoever stood still meanwhile."""

    jobs: list[LeasedJob]
    next_ms: int = 0
    leased_after_ms: int = 0


@message(56)
class FinishLease:
    """The end of a lease.  Sent again until it is answered.

    `result`: "success" (with signature) | "failed" (the worker answered 500) | "refused" (422: never) |
    "not_run" (given back, refused as not run, could not connect) | "unknown" (reset, silence, timeout)."""

    lease: str
    result: str
    signature: str = ""
    retry_ms: int = 0  # wait asked for before the next lease


@message(57)
class ExtendLease:
    """A pull worker needs longer."""

    lease: str


@message(58)
class LeaseUpdateResponse:
    """`taken`: durable (a repeat gets the same).  `gone`: the lease is no longer valid.  `not_primary`."""

    status: str  # "taken" | "gone" | "not_primary" | "unavailable"


@message(61)
class JobsWaiting:
    """One-way, from a store to dispatchers: jobs of this service wait here and nobody asks for them."""

    service: str
    store: str
