"""What one store tells of itself, its disk and its partitions, as data.

Plain dataclasses: the store writes them with orjson as they are, the command line reads them with mashumaro.
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
FORMER = "former"  # moved away: its records are dropped soon


@dataclass(frozen=True, slots=True)
class DiskReport:
    """The log on a store's disk; the counts are since the process started."""

    disk_id: str
    free_bytes: int  # for further live records
    syncs: int
    failed_batches: int
    moved_records: int
    damaged_records: int
    stalled: bool  # the sync under way has lasted too long
    error: str = ""  # why no record is taken any more


@dataclass(frozen=True, slots=True)
class HostedPartition:
    """One partition at one store; `behind` are the peers that the primary still brings up to date."""

    partition: int
    epoch: int
    role: str
    messages: int
    behind: list[str]


@dataclass(frozen=True, slots=True)
class StoreReport:
    """The whole answer of a store.  `generation` is the configuration it works by, 0 for none."""

    name: str
    zone: str
    incarnation: int
    generation: int
    up_s: float
    disk: DiskReport
    partitions: list[HostedPartition]
    figures: Mapping[str, int]


def hosted_partitions(replicas: Iterable[PartitionReplica], store_id: str) -> list[HostedPartition]:
    """How the partitions of a store stand, at most `MAX_PARTITIONS` of them."""
    hosted = [_hosted(replica, store_id) for replica in replicas]
    return hosted[:MAX_PARTITIONS]


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
