"""What one edge process tells of the system and of itself, as data.

Plain dataclasses: the process writes them with orjson as they are, the command line reads them with
mashumaro.
The JSON's keys are the fields' names.  Lists are bounded; where one was cut, the totals beside it are whole.
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
DEAD = "dead"  # its process is not there
OTHER_DISK = "other disk"  # the machine is there with another disk than the one that held the copy
UNKNOWN = "unknown"  # no such machine is known
READY = "ready"


@dataclass(frozen=True, slots=True)
class ProcessReport:
    """The process that answers.  `generation` is the configuration it serves, 0 for none."""

    name: str
    zone: str
    incarnation: int
    controller: bool
    ready: bool
    generation: int
    up_s: float


@dataclass(frozen=True, slots=True)
class ViewReport:
    """The agreed view of the controllers, the chain from head to tail."""

    epoch: int
    chain: list[str]
    voters: list[str]


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """One copy of a partition, by the name of its machine."""

    store: str
    state: str  # PRESENT | DEAD | OTHER_DISK | UNKNOWN


@dataclass(frozen=True, slots=True)
class PartitionReport:
    """One partition: its epoch, its primary's machine and its copies."""

    partition: int
    epoch: int
    primary: str
    copies: list[ReplicaReport]
    learners: list[ReplicaReport]

    @property
    def missing_replicas(self) -> int:
        """How many of its copies are not there."""
        return sum(copy.state != PRESENT for copy in self.copies)


@dataclass(frozen=True, slots=True)
class PlacementReport:
    """The placement; `copies_lacking` and `without_primary` count over all partitions.  `partitions` holds
    those that lack most first when not all of them fit."""

    version: int
    total: int
    copies_lacking: int
    without_primary: int
    partitions: list[PartitionReport]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """One process of the system."""

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
    """The processes; `total` and `alive` count all of them."""

    total: int
    alive: int
    entries: list[MemberReport]


@dataclass(frozen=True, slots=True)
class ServiceWorkers:
    """How many workers of a service are listed, and how many slots those that are ready have."""

    service: str
    ready: int
    draining: int
    slots: int


@dataclass(frozen=True, slots=True)
class WorkersReport:
    """The platform's list as this process knows it.  `age_s` is the time since it last changed here."""

    total: int
    age_s: float
    services: list[ServiceWorkers]


@dataclass(frozen=True, slots=True)
class StatusReport:
    """The whole answer.  `figures` holds counters since the process started, by part."""

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
    """The report of a process that knows `state`."""
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
