"""The events that the processes of the service log, one class for each.

An event's name is its class name in snake case, its fields are the annotated attributes of the class.  The
doc string says what has happened; the part after `Action:` says what the on-call engineer does.
`docs/log-events.md` has the same as a table, and `tests/roles/test_log_events.py` holds the two together.

Every line also has the fields `node` and `role` of the process that writes it, so no event has those.
Another process is always `peer`, an error or the cause of a rejection always `reason`.

Packages below `hollowusher.roles` do not write lines themselves: they are given a `LogFunction`.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import StrEnum
from typing import ClassVar, dataclass_transform

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")

STORE = "store"
EDGE = "edge"
EDGE_OR_STORE = "edge, store"
HEAD = "edge (head of the control chain)"


@dataclass_transform(frozen_default=True, kw_only_default=True)
class LogEvent:
    """An event with its fields, which are given by keyword; those that are None are left out of the line.

    The classes are not attrs classes because generating 20 of those takes about 9 ms of each start.
    """

    name: ClassVar[str]
    written_by: ClassVar[str]

    def __init_subclass__(cls, *, written_by: str) -> None:
        """Name the event after its class."""
        cls.name = _WORD_START.sub("_", cls.__name__).lower()
        cls.written_by = written_by

    def __init__(self, **fields: object) -> None:
        self.__dict__.update(fields)

    def fields(self) -> dict[str, object]:
        """Return the fields to log by name."""
        return {name: value for name, value in vars(self).items() if value is not None}


LogFunction = Callable[[LogEvent], None]


def no_log(event: LogEvent) -> None:
    """Drop an event, where no log is wanted."""


class MemberCondition(StrEnum):
    """The condition of a process as the controllers have recorded it."""

    ALIVE = "alive"
    DEPARTING = "departing"
    DEAD = "dead"


class RedundantGroup(StrEnum):
    """The processes whose fault tolerance is judged together."""

    CONTROLLERS = "controllers"
    STORES = "stores"


# ---- start and end of a process


class StoreStarted(LogEvent, written_by=STORE):
    """A store has read its log and serves; `incarnation` is the number of this run of the process.

    Action: none.
    """

    incarnation: int
    disk_id: str


class EdgeStarted(LogEvent, written_by=EDGE):
    """An edge process accepts messages of clients; `controller` says whether it is a controller too.

    Action: none.
    """

    incarnation: int
    controller: bool


class ShutdownStarted(LogEvent, written_by=EDGE_OR_STORE):
    """SIGTERM or SIGINT came, or a task failed: the process hands its work over and ends.

    Action: none.
    """


class ShutdownTimedOut(LogEvent, written_by=STORE):
    """A store could not hand over everything within `grace_s`; its records stay on its disk.

    Action: none; if it repeats, compare `graceS` with the load of the store's disk and network.
    """

    grace_s: float


class ShutdownCompleted(LogEvent, written_by=EDGE_OR_STORE):
    """All tasks and connections of the process are closed.

    Action: none.
    """


# ---- settings and addresses


class SettingsReloaded(LogEvent, written_by=EDGE_OR_STORE):
    """The settings file has changed and its new values are in use.

    Action: none.
    """


class SettingsRejected(LogEvent, written_by=EDGE_OR_STORE):
    """The settings file cannot be used, the former values stay; `reason` names the key.

    Action: correct the key, then send SIGHUP.
    """

    reason: str


class StatusListenFailed(LogEvent, written_by=STORE):
    """A store could not listen on `address` for `GET /status`; it serves everything else.

    Action: free the last of its `internalPorts` and restart it when it suits.
    """

    address: str
    reason: str


class MetricsListenFailed(LogEvent, written_by=EDGE_OR_STORE):
    """A process could not listen on `address` for `GET /metrics`; it serves everything else.

    Action: free the port and restart the process when it suits.
    """

    address: str
    reason: str


# ---- changes of the cluster


class ViewDecided(LogEvent, written_by=HEAD):
    """The voters have decided a new view: its `epoch`, and its `chain` from head to tail.

    Action: none; if the epoch keeps growing, look at the controllers' links and disks.
    """

    epoch: int
    chain: list[str]


class ConfigurationCommitted(LogEvent, written_by=HEAD):
    """The configuration of this `generation` is committed and in force.

    Action: none.
    """

    generation: int


class MemberChanged(LogEvent, written_by=HEAD):
    """The process `peer` became `alive`, `departing` or `dead`.

    Action: none; if one dies again and again, look at its machine and its log.
    """

    peer: str
    condition: MemberCondition
    incarnation: int
    status_version: int


class PlacementCommitted(LogEvent, written_by=HEAD):
    """A new placement is committed: partitions with a new primary, and how many partitions have learners.

    Action: none.
    """

    version: int
    moved_primaries: dict[str, str]
    partitions_with_learners: int


class PrimariesAssigned(LogEvent, written_by=STORE):
    """A store is the primary of exactly these `partitions` from now on.

    Action: none.
    """

    partitions: list[int]
    version: int


class TakeoverCompleted(LogEvent, written_by=STORE):
    """A store serves `partition` in a new epoch; messages of its queue by stage, if there are any.

    Action: none; if `longest_wait_s` is beyond the longest delay or `without_put` is not 0, messages are held
    up: look at `GET /status` of the partition's stores.
    """

    partition: int
    epoch: int
    waiting: int
    ready: int
    leased: int
    suspended: int
    longest_wait_s: float
    without_put: int


# ---- fault tolerance


class FaultToleranceChange(LogEvent, written_by=HEAD):
    """The fields of the three events below; some are set for controllers, the others for stores."""

    group: RedundantGroup
    losses_borne: int
    epoch: int | None = None
    unreachable_voters: list[str] | None = None
    lost_partitions: list[int] | None = None
    degraded_partitions: int | None = None
    partitions_with_learners: int | None = None


class FaultToleranceExhausted(FaultToleranceChange, written_by=HEAD):
    """The next loss in `group` (`controllers` or `stores`) would end service.

    Action: at once: bring back or replace what the fields name. Stores with `partitions_with_learners`
    above 0 are catching up: look again after `catchUpS`.
    """


class FaultToleranceExceeded(FaultToleranceChange, written_by=HEAD):
    """More of `group` is lost than is tolerated: there is no majority, or a partition is lost.

    Action: at once: see "The five kinds of trouble" in system.md.
    """


class FaultToleranceRestored(FaultToleranceChange, written_by=HEAD):
    """A further loss in `group` is tolerated again.

    Action: none.
    """


class PartitionLost(LogEvent, written_by=HEAD):
    """A partition has fewer living replicas than it needs to serve.

    Action: bring the stores of `missing_replicas` back with their disks.
    """

    partition: int
    epoch: int
    missing_replicas: list[str]


class PartitionRestored(LogEvent, written_by=HEAD):
    """A lost partition has enough living replicas again.

    Action: none.
    """

    partition: int


class PartitionRecovered(LogEvent, written_by=HEAD):
    """An operator's order was carried out: the partition serves without `abandoned_replicas`.

    Action: none; what only those replicas held is lost.
    """

    partition: int
    abandoned_replicas: list[str]


# ---- messages between processes, and defects


class MessageRejected(LogEvent, written_by=EDGE_OR_STORE):
    """A message of `peer` was meant for the process `intended_for`, not for this one; once for each pair.

    Action: none, unless it goes on: then look for an address that two processes use in turn.
    """

    peer: str
    intended_for: str
    reason: str


class RequestFailed(LogEvent, written_by=EDGE):
    """A client's request met an error of this program; `reason` says where.

    Action: report it: it is a defect.
    """

    reason: str


class HandlerFailed(LogEvent, written_by=EDGE_OR_STORE):
    """Another process's `message` met an error of this program; `reason` says where.

    Action: report it: it is a defect.
    """

    message: str
    reason: str


class TaskFailed(LogEvent, written_by=EDGE_OR_STORE):
    """A task of the process failed; the process ends, and the platform starts it again.

    Action: report it: it is a defect.
    """

    reason: str
