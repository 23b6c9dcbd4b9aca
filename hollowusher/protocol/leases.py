"""Messages to lease jobs from a partition's primary to dispatchers, and to finish or extend the leases.

A lease id is "PARTITION-EPOCH-SEQUENCE-NUMBER": the reference of the message and the number of the lease.
Stores pass tokens of rate limits to one another, because one primary enforces the limit of a service.
"""

from __future__ import annotations

from hollowusher.protocol.codec import message
from hollowusher.protocol.messages import NewMessage


@message(53)
class LeaseRequest:
    """Request of a dispatcher to a store for up to `most` jobs of a service.

    The store may delay the response for up to `wait_ms` until there is a job.  A pull lease expires
    `visibility_ms` after the last call of its worker.  A push lease is valid while its dispatcher's process
    lives, but no longer than the timeout of the delivery.
    """

    dispatcher: str
    incarnation: int
    service: str
    most: int
    wait_ms: int
    pull: bool = False
    visibility_ms: int = 0
    number: int = 0  # increases with each request of the dispatcher; 0: it reports no lost responses
    lost: int = 0  # number of a request without a response: its leases were not started and are returned


@message(54)
class LeasedJob:
    """A leased job; `attempt` is the count of earlier deliveries of the message.

    In a push lease, `message.timeout_ms` is the longest timeout of the delivery that the lease covers.
    """

    lease: str
    message: NewMessage
    attempt: int
    start_within_ms: int  # the delivery must begin within this time, else the lease is returned unrun
    state: str = ""  # for call-backs: the final state to report
    signature: str = ""  # for call-backs: the signature to report


@message(55)
class LeaseResponse:
    """Response to `LeaseRequest`.

    `leased_after_ms` is the time from the arrival of the request to the grant.  The dispatcher derives from
    it an upper bound of the age of the leases, which holds even if one of the processes was suspended
    meanwhile.
    """

    jobs: list[LeasedJob]
    next_ms: int = 0  # time until a rate limit or a delay permits further jobs; 0: unknown
    leased_after_ms: int = 0


@message(56)
class FinishLease:
    """Report of the result of a lease; the dispatcher retries it until it gets a response.

    `result` is "success" (with signature), "failed" (the worker returned 500), "refused" (the worker returned
    422: no retry), "not_run" (lease returned, rejected by the worker as not run, or no connection) or
    "unknown" (connection reset, no response, timeout).
    """

    lease: str
    result: str
    signature: str = ""
    retry_ms: int = 0  # requested delay before the next lease of the job


@message(57)
class ExtendLease:
    """Request of a pull worker to extend its lease."""

    lease: str


@message(58)
class LeaseUpdateResponse:
    """Response to `FinishLease` and `ExtendLease`.

    "taken": the change is durable, and a retry gets the same response.  "gone": the lease is no longer valid.
    """

    status: str  # "taken" | "gone" | "not_primary" | "unavailable"


@message(61)
class JobsWaiting:
    """One-way notice of a store to dispatchers: jobs of `service` wait, and no lease request is pending."""

    service: str
    store: str


@message(67)
class BorrowTokens:
    """Request of a store to the primary of a service's home partition for tokens of the service's rate limit.

    A store sends it before it leases jobs of the service from another partition.  Such jobs were accepted
    before the service had a rate limit, or for a service that the configuration does not contain any more.
    """

    service: str
    most: int
    wait_ms: int  # the response may take this long if there are no tokens


@message(68)
class BorrowedTokens:
    """Response to `BorrowTokens`: each token permits one lease, now."""

    tokens: int  # 0: there were none in time, or the receiver is not the primary of the home partition
