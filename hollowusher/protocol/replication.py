"""Replication of records from a partition's primary to its replicas, and the comparison of replicas.

A primary commits a record when a quorum of the partition's replicas has synced it; nothing is acknowledged to
a client before.  Replicas merge records by version, so they may come in any order and more than once.
"""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message


@message(62)
class RecordBatch:
    """Records of one partition from its primary, in the order it made them."""

    partition: int
    epoch: int
    records: list[bytes]


@message(63)
class ReplicateRequest:
    """Request of a primary to a replica to store batches.

    It is answered once they are synced (`durable`) or in memory.
    """

    sender: str  # store id
    batches: list[RecordBatch]
    durable: bool


@message(64)
class ReplicateResponse:
    """Response to `ReplicateRequest`: the partitions rejected, with the newer epoch known for each."""

    refused: dict[int, int]


@message(65)
class ReplicaSummary:
    """Summary of a replica, for a new primary, a learner or the scrub to compare (anti-entropy).

    It holds a digest for each bucket of the partition, or the versions held in some buckets.  With `fence`
    set the answering store rejects all older epochs from then on.
    """

    partition: int
    epoch: int
    asker: str
    buckets: list[int]  # digests, one a bucket; empty: `versions` are meant
    versions: dict[int, dict[str, list[int]]] = attrs.Factory(dict)  # bucket -> reference -> version
    fence: bool = False


@message(66)
class ReplicaDifference:
    """Response to `ReplicaSummary`: the buckets that differ, or the records that the requester lacks."""

    status: str  # "ok" | "stale" (a newer epoch is known)
    epoch: int
    buckets: list[int] = attrs.Factory(list)
    records: list[bytes] = attrs.Factory(list)
    wanted: list[str] = attrs.Factory(list)  # references that the answerer lacks or has older
    extra: Any = None  # unused; it keeps the length of the array on the wire
