"""What one store tells of itself, its disk and its partitions, as data.

Plain dataclasses: the store writes them with orjson as they are, the command line reads them with mashumaro.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hollowusher.messages.hosting import PartitionHost

MOST_PARTITIONS = 256
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
class KeptPartition:
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
    partitions: list[KeptPartition]
    figures: Mapping[str, int]


def kept_partitions(hosts: Iterable[PartitionHost], store_id: str) -> list[KeptPartition]:
    """How the partitions of a store stand, at most `MOST_PARTITIONS` of them."""
    kept = [_kept(host, store_id) for host in hosts]
    return kept[:MOST_PARTITIONS]


def _kept(host: PartitionHost, store_id: str) -> KeptPartition:
    epoch = host.placement.epoch if host.placement is not None else 0
    behind = [peer.partition("/")[0] for peer, link in host.links.items() if not link.complete]
    return KeptPartition(host.partition, epoch, _role(host, store_id), len(host.table.entries), behind)


def _role(host: PartitionHost, store_id: str) -> str:
    if host.primary is not None:
        return PRIMARY
    if host.epoch:
        return TAKING_OVER
    if store_id in host.replicas:
        return REPLICA
    placement = host.placement
    return LEARNER if placement is not None and store_id in placement.learners else FORMER
