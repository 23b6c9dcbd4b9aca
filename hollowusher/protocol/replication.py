"""Replication of records from the primary of a partition to its replicas, and their comparison."""

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
    """A batch from a primary to a replica; answered once it is durable (`durable`) or in memory."""

    sender: str  # store id
    batches: list[RecordBatch]
    durable: bool


@message(64)
class ReplicateResponse:
    """Answer to `ReplicateRequest`: the partitions refused, with the newer epoch known for each."""

    refused: dict[int, int]


@message(65)
class ReplicaSummary:
    """What a new primary, a learner or the scrubber compares: a digest for each bucket of a partition, or
    the versions held in some buckets.  Asking with an epoch fences all older epochs at the answerer."""

    partition: int
    epoch: int
    asker: str
    buckets: list[int]  # digests, one a bucket; empty: `versions` are meant
    versions: dict[int, dict[str, list[int]]] = attrs.Factory(dict)  # bucket -> reference -> version
    fence: bool = False


@message(66)
class ReplicaDifference:
    """Answer to `ReplicaSummary`: the buckets that differ, or the records that the asker lacks."""

    status: str  # "ok" | "stale" (a newer epoch is known)
    epoch: int
    buckets: list[int] = attrs.Factory(list)
    records: list[bytes] = attrs.Factory(list)
    wanted: list[str] = attrs.Factory(list)  # references that the answerer lacks or has older
    extra: Any = None
