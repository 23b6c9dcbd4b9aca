"""One store with one partition, as the model check of a partition sees it: the real host and table over a
log whose syncs are steps of the model."""

from __future__ import annotations

import pickle
from collections.abc import Iterator

import attrs

from hollowusher.messages import records
from hollowusher.messages.partition.partition_table import PartitionTable, RecordCache
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import MessageKey, RecordKind
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.protocol.messages import NewMessage
from hollowusher.storage.interface import Log, MoveRecord, Position

PARTITION = 0
TOLERANCE = 1
STATUS_MS = 60_000
CACHE_BYTES = 1 << 20


class ModelLog:
    """A log in memory; what was appended is durable after `flush`."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.durable = 0  # so many of them are

    def replay(self) -> Iterator[tuple[Position, bytes]]:
        """All records, oldest first; released ones may come back."""
        for number, record in enumerate(self.records):
            yield Position(0, number, len(record)), record

    def append(self, record: bytes) -> Position:
        """Add a record in memory."""
        self.records.append(record)
        return Position(0, len(self.records) - 1, len(record))

    async def sync(self) -> None:
        """Not used: the model flushes."""
        self.flush()

    def flush(self) -> None:
        """Have everything on the disk."""
        self.durable = len(self.records)

    def crash(self, keep: bool) -> None:
        """Lose what was not durable, or keep it by chance."""
        if not keep:
            del self.records[self.durable :]
        self.flush()

    def read(self, position: Position) -> bytes:
        """A record's bytes again."""
        return self.records[position.offset]

    def release(self, position: Position) -> None:
        """Nothing is ever used again."""

    def set_move(self, move: MoveRecord) -> None:
        """Nothing is ever moved."""

    def free_bytes(self) -> int:
        """There is always room."""
        return 1 << 30

    def unsynced_bytes(self) -> int:
        """A sync comes in time."""
        return 0

    def stalled(self, now: float) -> bool:
        """The disk never stalls."""
        return False

    def close(self) -> None:
        """There is nothing to release."""

    def durable_keys(self) -> set[MessageKey]:
        """The messages that a loss of power leaves here."""
        headers = (records.unpack_header(record) for record in self.records[: self.durable])
        return {header.version for header in headers if header.kind == RecordKind.PUT}


@attrs.define(eq=False)
class PrimaryStandIn:
    """Stands for the primary of a partition that has been taken over."""

    epoch: int


@attrs.define(eq=False)
class PendingComparison:
    """The answer of a peer that is still to be taken in."""

    epoch: int
    newer: list[bytes]
    wanted: list[str]
    incomplete: list[str]
    for_report: bool


@attrs.define(eq=False)
class StoreModel:
    """One machine with one disk, and the present incarnation of its process."""

    name: str
    disk: str
    log: ModelLog = attrs.Factory(ModelLog)
    incarnation: int = 0
    alive: bool = False
    departing: bool = False
    known: int = -1  # version of the placement that this life has taken up
    outage_until: int = 0  # learns no placement before this tick
    replica: PartitionReplica | None = None
    comparisons: dict[str, PendingComparison] = attrs.Factory(dict)  # peer -> its answer
    pending_acknowledgements: list[tuple[MessageKey, str]] = attrs.Factory(
        list
    )  # answers of peers that are under way
    reported: set[tuple[int, str, bool]] = attrs.Factory(set)  # reports made: epoch, learner, ready or lost
    _key: tuple[object, ...] | None = None
    _kept: set[MessageKey] | None = None

    @property
    def store_id(self) -> str:
        """Name and disk."""
        return f"{self.name}/{self.disk}"

    @property
    def running(self) -> PartitionReplica:
        """The host of the present life."""
        assert self.replica is not None
        return self.replica

    def start(self) -> None:
        """Begin a life: read the log."""
        table = PartitionTable(PARTITION, _as_log(self.log), RecordCache(CACHE_BYTES), STATUS_MS)
        for position, record in self.log.replay():
            table.replay(record, records.unpack_header(record), position, 0)
        self.replica = PartitionReplica(self.store_id, table)
        self.incarnation += 1
        self.alive, self.departing, self.known = True, False, -1

    def end(self, keep: bool) -> None:
        """The process ends; of what was not synced nothing or everything stays."""
        self.log.crash(keep)
        self.replica = None
        self.alive = False
        self.comparisons, self.pending_acknowledgements, self.reported = {}, [], set()

    def promise(self, epoch: int) -> None:
        """As a replica: follow a newer primary, durably."""
        replica = self.running
        replica.table.fence_older_epochs(epoch)
        if 0 < replica.epoch < epoch:
            replica.resign()
        self.log.flush()

    def receive(self, epoch: int, found: list[bytes]) -> int:
        """Take records durably; the epoch promised instead where theirs is old, else 0."""
        replica = self.running
        if epoch < replica.table.minimum_epoch:
            return replica.table.minimum_epoch
        if epoch > replica.table.minimum_epoch:
            self.promise(epoch)
        for record in found:
            replica.table.apply(record, 0)
        self.log.flush()
        return 0

    def put(self, message_id: str) -> MessageKey:
        """As the primary: keep a message here and propose it; its key."""
        replica = self.running
        key = (replica.epoch, replica.table.greatest_sequence + 1)
        record = records.pack_put(PARTITION, key, records.AcceptedMessage(0, 0, 1, _message(message_id)))
        replica.table.apply(record, 0)
        replica.outstanding[Proposal(key, record, True, 0.0)] = None
        return key

    @property
    def awaits_sync(self) -> bool:
        """Whether a sync would let something go on."""
        replica = self.replica
        if replica is None:
            return False
        unproposed = any(self.store_id not in proposal.acknowledged_by for proposal in replica.outstanding)
        return unproposed or bool(replica.epoch and not replica.is_epoch_durable)

    def copy(self) -> StoreModel:
        """One that may be changed."""
        key, kept = self._key, self._kept
        self._key, self._kept = None, None
        copied: StoreModel = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        self._key, self._kept = key, kept
        return copied

    def durable_keys(self) -> set[MessageKey]:
        """The messages that a loss of power leaves here."""
        if self._kept is None:
            self._kept = self.log.durable_keys()
        return self._kept

    def key(self) -> tuple[object, ...]:
        """All that distinguishes this store from itself in another state.  A store that belongs to a state
        is not changed any more."""
        if self._key is None:
            self._key = self._make_key()
        return self._key

    def _make_key(self) -> tuple[object, ...]:
        replica = self.replica
        return (
            self.name,
            self.disk,
            self.incarnation,
            self.alive,
            self.departing,
            self.known,
            self.outage_until,
            tuple(self.log.records),
            self.log.durable,
            None if replica is None else _replica_key(replica),
            tuple((peer, _comparison_key(each)) for peer, each in sorted(self.comparisons.items())),
            tuple(sorted(self.pending_acknowledgements)),
            tuple(sorted(self.reported)),
        )


def _as_log(log: ModelLog) -> Log:
    return log


def _message(message_id: str) -> NewMessage:
    return NewMessage(
        id=message_id, route="r", service="s", method="POST", path="/", host="h", body=b"", max_attempts=1,
        retention_ms=0, timeout_ms=0,
    )  # fmt: skip


def _comparison_key(comparison: PendingComparison) -> tuple[object, ...]:
    return (
        comparison.epoch,
        tuple(comparison.newer),
        tuple(comparison.wanted),
        tuple(comparison.incomplete),
        comparison.for_report,
    )


def _replica_key(replica: PartitionReplica) -> tuple[object, ...]:
    placement = replica.placement
    return (
        None if placement is None else placement.epoch,
        tuple(replica.former_replicas),
        replica.epoch,
        replica.last_led_epoch,
        replica.is_epoch_durable,
        replica.primary is not None,
        replica._leading_since if replica.epoch and replica.primary is None else 0.0,
        replica.table.minimum_epoch,
        tuple(sorted(replica.table.entries)),
        tuple(
            (peer, progress.is_streaming, progress.is_caught_up, progress.needs_comparison)
            for peer, progress in sorted(replica.peer_progress.items())
        ),
        tuple((each.key, tuple(sorted(each.acknowledged_by))) for each in replica.outstanding),
        tuple(sorted(replica.required_learners)),
    )
