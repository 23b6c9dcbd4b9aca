"""Replication of records from a partition's primary to its replicas, and the comparison of replicas.

A primary commits a record when a quorum of the partition's replicas has synced it, and only then acknowledges
it to the client.  Replicas merge records by version, so records may arrive in any order and more than once.
"""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message


@message(62)
class RecordBatch:
    """Records of one partition from its primary, in the order in which the primary created them."""

    partition: int
    epoch: int
    records: list[bytes]


@message(63)
class ReplicateRequest:
    """Request of a primary to a replica to store batches.

    The replica responds once the batches are synced if `durable` is set, otherwise once they are in memory.
    """

    sender: str  # store id
    batches: list[RecordBatch]
    durable: bool


@message(64)
class ReplicateResponse:
    """Response to `ReplicateRequest`: the rejected partitions, each with the newer epoch of the replica."""

    refused: dict[int, int]


@message(65)
class ReplicaSummary:
    """Summary of a replica, for a new primary, a learner or the scrub to compare (anti-entropy).

    The summary has either a digest for each bucket of the partition, or the record versions in some buckets.
    If `fence` is set, the receiving store rejects all older epochs from then on.
    """

    partition: int
    epoch: int
    asker: str
    buckets: list[int]  # one digest per bucket; empty: `versions` are compared
    versions: dict[int, dict[str, list[int]]] = attrs.Factory(dict)  # bucket -> reference -> version
    fence: bool = False


@message(66)
class ReplicaDifference:
    """Response to `ReplicaSummary`: the buckets that differ, or the records that the requester lacks."""

    status: str  # "ok" | "stale" (the store has a newer epoch)
    epoch: int
    buckets: list[int] = attrs.Factory(list)
    records: list[bytes] = attrs.Factory(list)
    wanted: list[str] = attrs.Factory(list)  # references that the responding store lacks or has older
    extra: Any = None  # unused; the wire format keeps this element of the array
