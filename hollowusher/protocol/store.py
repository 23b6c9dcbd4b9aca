"""Messages between edge processes and stores, and among stores.

A partition's primary keeps its queue, hands out leases and takes their ends; every record it makes is kept
by a quorum of the partition's replicas before anything is promised on its ground.

Identifiers: a message's reference is "PARTITION-EPOCH-SEQUENCE"; a lease id is
"PARTITION-EPOCH-SEQUENCE-NUMBER" (the message's reference and the number of the lease).
"""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message

CALLBACK_PREFIX = "callback:"  # the pseudo service of call-backs owed to one receiver: callback:HOST:PORT


@message(50)
class NewMessage:
    """A message as a client sent it."""

    id: str  # X-Attempt-Id
    route: str  # the route's name
    service: str  # upstream at the time it was accepted
    method: str
    path: str  # path and query, unchanged
    host: str
    body: bytes
    content_type: str = ""
    ordering_key: str = ""  # empty: unordered
    delay_ms: int = 0  # still to wait when the edge process sends it to the store
    callback_url: str = ""
    max_attempts: int = 1
    retention_ms: int = 0
    timeout_ms: int = 0
    priority: int = 0
    target_start_ms: int = 0
    headers: list[list[str]] = attrs.Factory(list)  # further headers that a delivery repeats
    generation: int = 0  # of the configuration that the edge process accepted it under, 0: unknown


@message(51)
class Put:
    """Keep a message in a partition.  The same id may be put again: it is kept once."""

    partition: int
    message: NewMessage


@message(52)
class PutAnswer:
    """`stored`: a quorum has it on disk.  `not_primary`: nothing was kept.  `unavailable`: nothing was kept
    and nothing will be; `unknown`: it may have been kept."""

    status: str  # "stored" | "not_primary" | "unavailable" | "unknown"
    reference: str = ""


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
class Job:
    """A leased job.  `attempt` counts earlier deliveries of the message."""

    lease: str
    message: NewMessage
    attempt: int
    start_within_ms: int  # the delivery is to begin by then, else the lease is to be given back unrun
    state: str = ""  # for call-backs: the end to report
    signature: str = ""  # for call-backs


@message(55)
class Leased:
    """Answer to `LeaseRequest`.  `next_ms`: when a ceiling or delay lets more jobs go, 0: unknown.
    `leased_after_ms`: how long after the request had come the jobs were leased; so the asker knows how old
    the leases are at most, whoever stood still meanwhile."""

    jobs: list[Job]
    next_ms: int = 0
    leased_after_ms: int = 0


@message(56)
class Finish:
    """The end of a lease.  Sent again until it is answered.

    `result`: "success" (with signature) | "failed" (the worker answered 500) | "refused" (422: never) |
    "not_run" (given back, refused as not run, could not connect) | "unknown" (reset, silence, timeout)."""

    lease: str
    result: str
    signature: str = ""
    retry_ms: int = 0  # wait asked for before the next lease


@message(57)
class Extend:
    """A pull worker needs longer."""

    lease: str


@message(58)
class LeaseAnswer:
    """`taken`: durable (a repeat gets the same).  `gone`: the lease is no longer valid.  `not_primary`."""

    status: str  # "taken" | "gone" | "not_primary" | "unavailable"


@message(59)
class StatusRequest:
    """State of a message, with its body if wanted."""

    reference: str
    want_body: bool = False


@message(60)
class StatusAnswer:
    """`state`: "queued" | "completed" | "dead_letter" | "unknown" (no such message) | "not_primary" |
    "unavailable"."""

    state: str
    signature: str = ""
    body: bytes | None = None


@message(61)
class JobsWaiting:
    """One-way, from a store to dispatchers: jobs of this service wait here and nobody asks for them."""

    service: str
    store: str


@message(62)
class Records:
    """Records of one partition from its primary, in the order it made them."""

    partition: int
    epoch: int
    records: list[bytes]


@message(63)
class Replicate:
    """A batch from a primary to a replica; answered once it is durable (`durable`) or in memory."""

    sender: str  # store id
    batches: list[Records]
    durable: bool


@message(64)
class Replicated:
    """Answer to `Replicate`: the partitions refused, with the newer epoch known for each."""

    refused: dict[int, int]


@message(65)
class Summary:
    """What a new primary, a learner or the scrubber compares: a digest for each bucket of a partition, or
    the versions held in some buckets.  Asking with an epoch fences all older epochs at the answerer."""

    partition: int
    epoch: int
    asker: str
    buckets: list[int]  # digests, one a bucket; empty: `versions` are meant
    versions: dict[int, dict[str, list[int]]] = attrs.Factory(dict)  # bucket -> reference -> version
    fence: bool = False


@message(66)
class Difference:
    """Answer to `Summary`: the buckets that differ, or the records that the asker lacks or has older."""

    status: str  # "ok" | "stale" (a newer epoch is known)
    epoch: int
    buckets: list[int] = attrs.Factory(list)
    records: list[bytes] = attrs.Factory(list)
    wanted: list[str] = attrs.Factory(list)  # references that the answerer lacks or has older
    extra: Any = None
