"""Defines the events that edge and store processes log, one class for each event.

The name of an event is its class name in snake case; its fields are the annotated attributes of the class.
The docstring describes the event; the part after `Action:` is the instruction for the on-call engineer.
`docs/log-events.md` contains the same text as a table, and `tests/roles/test_log_events.py` compares the two.

Every log line also contains the fields `node` and `role` of the process that writes it, so no event defines
them.  The field `peer` is always another process, and `reason` is an error or the cause of a rejection.

Packages that `hollowusher.roles` imports do not write log lines themselves; they receive a `LogFunction`.
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
    """Base class of events.  Fields are keyword arguments; a field that is None is omitted from the log line.

    The events are not attrs classes because generating 20 attrs classes adds about 9 ms to each start.
    """

    name: ClassVar[str]
    written_by: ClassVar[str]

    def __init_subclass__(cls, *, written_by: str) -> None:
        """Derive the event name from the class name."""
        cls.name = _WORD_START.sub("_", cls.__name__).lower()
        cls.written_by = written_by

    def __init__(self, **fields: object) -> None:
        self.__dict__.update(fields)

    def fields(self) -> dict[str, object]:
        """Return the names and values of the fields that are not None."""
        return {name: value for name, value in vars(self).items() if value is not None}


LogFunction = Callable[[LogEvent], None]


def no_log(event: LogEvent) -> None:
    """Discard an event; a `LogFunction` for callers without a log."""


class MemberCondition(StrEnum):
    """The state of a process in the membership that the controllers maintain."""

    ALIVE = "alive"
    DEPARTING = "departing"
    DEAD = "dead"


class RedundantGroup(StrEnum):
    """A group of processes for which the number of tolerated failures is computed."""

    CONTROLLERS = "controllers"
    STORES = "stores"


# ---- start and shutdown of a process


class StoreStarted(LogEvent, written_by=STORE):
    """A store has read its log and serves requests; `incarnation` identifies this run of the process.

    Action: none.
    """

    incarnation: int
    disk_id: str


class EdgeStarted(LogEvent, written_by=EDGE):
    """An edge process accepts messages from clients; `controller` is true if it is also a controller.

    Action: none.
    """

    incarnation: int
    controller: bool


class ShutdownStarted(LogEvent, written_by=EDGE_OR_STORE):
    """The process received SIGTERM or SIGINT, or a task failed; it hands over its work and exits.

    Action: none.
    """


class ShutdownTimedOut(LogEvent, written_by=STORE):
    """A store could not hand over all partitions within `grace_s`; its records remain on its disk.

    Action: none; if it repeats, compare `graceS` with the load of the store's disk and network.
    """

    grace_s: float


class ShutdownCompleted(LogEvent, written_by=EDGE_OR_STORE):
    """The process has ended its tasks and closed its connections.

    Action: none.
    """


# ---- settings and addresses


class SettingsReloaded(LogEvent, written_by=EDGE_OR_STORE):
    """The settings file has changed, and the process uses the new values.

    Action: none.
    """


class SettingsRejected(LogEvent, written_by=EDGE_OR_STORE):
    """The settings file is missing or invalid; the previous values stay in use and `reason` names the key.

    Action: correct the file, then send SIGHUP.
    """

    reason: str


class ConnectionsRefused(LogEvent, written_by=EDGE_OR_STORE):
    """A process has closed `total` connections since its start that exceeded limits, the last for `reason`.

    Action: none for single ones; if `total` keeps growing, look at its callers and at the figures `closed`.
    """

    addresses: str
    reason: str
    total: int


class StatusListenFailed(LogEvent, written_by=STORE):
    """A store could not listen on `address` for `GET /status`; its other endpoints work.

    Action: free the last port of the store's `internalPorts`, then restart the store; this is not urgent.
    """

    address: str
    reason: str


class MetricsListenFailed(LogEvent, written_by=EDGE_OR_STORE):
    """A process could not listen on `address` for `GET /metrics`; its other endpoints work.

    Action: free the port, then restart the process; this is not urgent.
    """

    address: str
    reason: str


# ---- cluster changes


class ViewDecided(LogEvent, written_by=HEAD):
    """The voters have decided a new view with this `epoch`; `chain` lists its controllers from head to tail.

    Action: none; if the epoch keeps growing, check the controllers' network links and disks.
    """

    epoch: int
    chain: list[str]


class ConfigurationCommitted(LogEvent, written_by=HEAD):
    """The configuration of this `generation` is committed and in force.

    Action: none.
    """

    generation: int


class MemberChanged(LogEvent, written_by=HEAD):
    """The controllers have recorded that the process `peer` is `alive`, `departing` or `dead`.

    Action: none; if a process dies repeatedly, check its machine and its log.
    """

    peer: str
    condition: MemberCondition
    incarnation: int
    status_version: int


class PlacementCommitted(LogEvent, written_by=HEAD):
    """A new placement is committed; `moved_primaries` maps each partition with a new primary to that primary.

    Action: none.
    """

    version: int
    moved_primaries: dict[str, str]
    partitions_with_learners: int


class PrimariesAssigned(LogEvent, written_by=STORE):
    """The set of partitions whose primary is this store has changed; it is now `partitions`.

    Action: none.
    """

    partitions: list[int]
    version: int


class TakeoverCompleted(LogEvent, written_by=STORE):
    """A store began to serve `partition` as primary with unfinished messages, counted here by stage.

    Action: none; if `longest_wait_s` exceeds the longest delay of a message or `without_put` is not 0,
    messages are stuck: check `GET /status` of the partition's stores.
    """

    partition: int
    epoch: int
    waiting: int
    ready: int
    leased: int
    suspended: int
    longest_wait_s: float
    without_put: int
    behind_key: int
    longest_behind_key_s: float


class CatchUpSizeExceeded(LogEvent, written_by=STORE):
    """A store has more records than can be copied to its replacement within `catchUpS`.

    Action: no message is lost yet, but if this store is lost, a second loss soon after may lose some; add
    stores, or let the waiting messages become fewer, before a store is stopped or replaced.
    """

    size_bytes: int
    limit_bytes: int


class CatchUpSizeRestored(LogEvent, written_by=STORE):
    """The records of a store can be copied to its replacement within `catchUpS` again.

    Action: none.
    """

    size_bytes: int
    limit_bytes: int


# ---- fault tolerance


class FaultToleranceChange(LogEvent, written_by=HEAD):
    """Base class of the three events below; some fields are only set for controllers, others for stores."""

    group: RedundantGroup
    losses_borne: int
    epoch: int | None = None
    unreachable_voters: list[str] | None = None
    lost_partitions: list[int] | None = None
    degraded_partitions: int | None = None
    partitions_with_learners: int | None = None


class FaultToleranceExhausted(FaultToleranceChange, written_by=HEAD):
    """The next failure in `group` (`controllers` or `stores`) would make the service unavailable.

    Action: immediately restart or replace the processes that the fields name. If `partitions_with_learners`
    is above 0, new replicas are catching up: check again after `catchUpS`.
    """


class FaultToleranceExceeded(FaultToleranceChange, written_by=HEAD):
    """More processes of `group` have failed than is tolerated: there is no majority, or a partition is lost.

    Action: act immediately; see "The five kinds of trouble" in system.md.
    """


class FaultToleranceRestored(FaultToleranceChange, written_by=HEAD):
    """The service tolerates a further failure in `group` again.

    Action: none.
    """


class PartitionLost(LogEvent, written_by=HEAD):
    """A partition has too few live replicas to serve requests.

    Action: restart the stores of `missing_replicas` with their disks.
    """

    partition: int
    epoch: int
    missing_replicas: list[str]


class PartitionRestored(LogEvent, written_by=HEAD):
    """A lost partition has enough live replicas again.

    Action: none.
    """

    partition: int


class PartitionRecovered(LogEvent, written_by=HEAD):
    """On an operator's order, the controllers removed `abandoned_replicas` from a lost partition.

    Action: none; messages that only those replicas stored are lost.
    """

    partition: int
    abandoned_replicas: list[str]


# ---- rejected messages and program errors


class MessageRejected(LogEvent, written_by=EDGE_OR_STORE):
    """`peer` sent this process a message intended for the process `intended_for`; logged once for each pair.

    Action: none; if the event keeps occurring, look for an address that two processes use alternately.
    """

    peer: str
    intended_for: str
    reason: str


class RequestFailed(LogEvent, written_by=EDGE):
    """An unexpected exception occurred while a client's request was handled; `reason` contains the location.

    Action: report the defect.
    """

    reason: str


class HandlerFailed(LogEvent, written_by=EDGE_OR_STORE):
    """An exception occurred while another process's `message` was handled; `reason` contains the location.

    Action: report the defect.
    """

    message: str
    reason: str


class TaskFailed(LogEvent, written_by=EDGE_OR_STORE):
    """A background task failed; the process exits and the platform restarts it.

    Action: report the defect.
    """

    reason: str
