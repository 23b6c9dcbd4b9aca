"""The data model of the status that a store reports about itself, its disk and its partitions.

The store serializes these dataclasses with orjson, and the command line decodes them with mashumaro.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hollowusher.messages.replication.partition_replica import PartitionReplica

MAX_PARTITIONS = 256
PRIMARY = "primary"
TAKING_OVER = "taking over"
REPLICA = "replica"
LEARNER = "learner"
FORMER = "former"  # the partition has moved to other stores; its records here will be dropped


@dataclass(frozen=True, slots=True)
class DiskReport:
    """The log on a store's disk; the counters start at the start of the process."""

    disk_id: str
    free_bytes: int  # space left for live records
    syncs: int
    failed_batches: int
    moved_records: int
    damaged_records: int
    stalled: bool  # the current sync takes too long
    error: str = ""  # the error after which the store accepts no more records; empty if there is none


@dataclass(frozen=True, slots=True)
class HostedPartition:
    """One partition on one store; `behind` lists the peers that have not caught up with this primary."""

    partition: int
    epoch: int
    role: str
    messages: int
    behind: list[str]


@dataclass(frozen=True, slots=True)
class StoreReport:
    """The complete status of a store.  `generation` is that of its configuration, 0 if it has none."""

    name: str
    zone: str
    incarnation: int
    generation: int
    up_s: float
    disk: DiskReport
    partitions: list[HostedPartition]
    figures: Mapping[str, int]
    catch_up_size_bytes: int = 0  # size of the records that a replacement has to receive
    catch_up_limit_bytes: int = 0  # the greatest size that is received within catchUpS; 0 if unknown
    behind_key: int = 0  # messages that wait for the end of an earlier one of their ordering key
    longest_behind_key_s: float = 0.0  # longest time since one of these was due


def hosted_partitions(replicas: Iterable[PartitionReplica], store_id: str) -> list[HostedPartition]:
    """Return the states of a store's partitions, at most `MAX_PARTITIONS` of them."""
    hosted_list = [_hosted(replica, store_id) for replica in replicas]
    return hosted_list[:MAX_PARTITIONS]


def _hosted(replica: PartitionReplica, store_id: str) -> HostedPartition:
    epoch = replica.placement.epoch if replica.placement is not None else 0
    behind = [
        peer.partition("/")[0]
        for peer, progress in replica.peer_progress.items()
        if not progress.is_caught_up
    ]
    return HostedPartition(
        replica.partition, epoch, _role(replica, store_id), len(replica.table.entries), behind
    )


def _role(replica: PartitionReplica, store_id: str) -> str:
    if replica.primary is not None:
        return PRIMARY
    if replica.epoch:
        return TAKING_OVER
    if store_id in replica.replica_ids:
        return REPLICA
    placement = replica.placement
    return LEARNER if placement is not None and store_id in placement.learners else FORMER
