"""The data model of the status that one edge process reports about the system and itself.

The process serializes these dataclasses with orjson, and the command line decodes them with mashumaro.  The
JSON keys are the field names.  Lists are truncated to a maximum length; the totals always count all entries.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement
from hollowusher.protocol.worker_list import PlatformWorker

MAX_MEMBERS = 512
MAX_PARTITIONS = 256

PRESENT = "present"
DEAD = "dead"  # the store process is not alive
OTHER_DISK = "other disk"  # the store has a different disk than the one that holds the replica
UNKNOWN = "unknown"  # no such store is a member
READY = "ready"


@dataclass(frozen=True, slots=True)
class ProcessReport:
    """The reporting process.  `generation` is that of its configuration, 0 if it has none."""

    name: str
    zone: str
    incarnation: int
    controller: bool
    ready: bool
    generation: int
    up_s: float


@dataclass(frozen=True, slots=True)
class ViewReport:
    """The decided view: its epoch, its voters and the control chain from head to tail."""

    epoch: int
    chain: list[str]
    voters: list[str]


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """One replica of a partition: the name of its store, and whether the replica is available."""

    store: str
    state: str  # PRESENT | DEAD | OTHER_DISK | UNKNOWN


@dataclass(frozen=True, slots=True)
class PartitionReport:
    """One partition: its epoch, the name of its primary store, its replicas (`copies`) and its learners."""

    partition: int
    epoch: int
    primary: str
    copies: list[ReplicaReport]
    learners: list[ReplicaReport]

    @property
    def missing_replicas(self) -> int:
        """The number of replicas that are not available."""
        return sum(copy.state != PRESENT for copy in self.copies)


@dataclass(frozen=True, slots=True)
class PlacementReport:
    """The placement; `copies_lacking` and `without_primary` count over all partitions.

    If there are more than `MAX_PARTITIONS`, `partitions` holds those with the most missing replicas."""

    version: int
    total: int
    copies_lacking: int
    without_primary: int
    partitions: list[PartitionReport]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """One member of the cluster."""

    name: str
    role: str
    zone: str
    region: str
    alive: bool
    incarnation: int
    controller: bool
    counts: bool
    address: str
    admin: str


@dataclass(frozen=True, slots=True)
class MembersReport:
    """The members; `total` and `alive` count all members, even if `entries` is truncated."""

    total: int
    alive: int
    entries: list[MemberReport]


@dataclass(frozen=True, slots=True)
class ServiceWorkers:
    """The numbers of ready and draining workers of a service, and the slots of the ready workers."""

    service: str
    ready: int
    draining: int
    slots: int


@dataclass(frozen=True, slots=True)
class WorkersReport:
    """The platform's worker list in this process; `age_s` is the time since the list last changed here."""

    total: int
    age_s: float
    services: list[ServiceWorkers]


@dataclass(frozen=True, slots=True)
class StatusReport:
    """The complete status.  `figures` holds the counters since the process started, by component."""

    process: ProcessReport
    view: ViewReport | None = None
    placement: PlacementReport | None = None
    members: MembersReport = field(default_factory=lambda: MembersReport(0, 0, []))
    workers: WorkersReport | None = None
    figures: dict[str, dict[str, int]] = field(default_factory=dict)


def make_status_report(
    process: ProcessReport,
    state: ClusterState,
    workers_age_s: float,
    figures: Mapping[str, Mapping[str, int]],
) -> StatusReport:
    """Create the status report of a process from its cluster state.

    `workers_age_s` is the time in seconds since the worker list last changed in this process.
    """
    return StatusReport(
        process,
        _view(state),
        _placement(state),
        _members(state),
        _workers(state, workers_age_s),
        {part: dict(counters) for part, counters in figures.items()},
    )


def _view(state: ClusterState) -> ViewReport | None:
    view = state.view
    if view is None:
        return None
    return ViewReport(view.epoch, list(view.chain), [voter.name for voter in view.voters])


def _placement(state: ClusterState) -> PlacementReport | None:
    placement = state.placement
    if placement is None:
        return None
    reports = [_partition(entry, state.members) for entry in placement.partitions]
    shown = reports
    if len(reports) > MAX_PARTITIONS:
        shown = sorted(reports, key=lambda report: (-report.missing_replicas, report.partition))[
            :MAX_PARTITIONS
        ]
    return PlacementReport(
        placement.version,
        len(reports),
        sum(report.missing_replicas for report in reports),
        sum(_copy(entry.primary, state.members).state != PRESENT for entry in placement.partitions),
        shown,
    )


def _partition(entry: PartitionPlacement, members: Mapping[str, Member]) -> PartitionReport:
    return PartitionReport(
        entry.partition,
        entry.epoch,
        _store_name(entry.primary),
        [_copy(store_id, members) for store_id in entry.replicas],
        [_copy(store_id, members) for store_id in entry.learners],
    )


def _store_name(store_id: str) -> str:
    return store_id.partition("/")[0]


def _copy(store_id: str, members: Mapping[str, Member]) -> ReplicaReport:
    member = members.get(_store_name(store_id))
    if member is None:
        state = UNKNOWN
    elif member.store_id != store_id:
        state = OTHER_DISK
    else:
        state = PRESENT if member.alive else DEAD
    return ReplicaReport(_store_name(store_id), state)


def _members(state: ClusterState) -> MembersReport:
    members = [member for _, member in sorted(state.members.items())]
    alive = sum(member.alive for member in members)
    return MembersReport(len(members), alive, [_member(member) for member in members[:MAX_MEMBERS]])


def _member(member: Member) -> MemberReport:
    return MemberReport(
        member.name,
        member.role,
        member.zone,
        member.region,
        member.alive,
        member.incarnation,
        member.controller,
        member.counts,
        member.address,
        member.admin,
    )


def _workers(state: ClusterState, age_s: float) -> WorkersReport | None:
    if state.workers is None:
        return None
    workers = state.workers.workers
    return WorkersReport(len(workers), age_s, _by_service(workers))


def _by_service(workers: list[PlatformWorker]) -> list[ServiceWorkers]:
    ready: Counter[str] = Counter()
    slots: Counter[str] = Counter()
    draining: Counter[str] = Counter()
    for worker in workers:
        if worker.state == READY:
            ready[worker.service] += 1
            slots[worker.service] += worker.capacity
        else:
            draining[worker.service] += 1
    services = sorted({*ready, *draining})
    return [ServiceWorkers(name, ready[name], draining[name], slots[name]) for name in services]
