"""Replication of all partitions of one store: quorums, streams to the peers, epochs and placements.

For the primaries of this store, the replicator sends their proposals to the replicas and commits those that a
quorum has acknowledged.  For the other replicas of this store, it accepts records from the primaries of other
stores and rejects records of older epochs (fencing).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import attrs

from hollowusher.coordination.store_id import store_name
from hollowusher.messages import records
from hollowusher.messages.partition.partition_table import PartitionTable, RecordCache
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.replication.acceptance_age import with_ages
from hollowusher.messages.replication.anti_entropy import compare_with_summary
from hollowusher.messages.replication.catch_up_pacing import CatchUpLimits
from hollowusher.messages.replication.outgoing_record import OutgoingRecord
from hollowusher.messages.replication.partition_replica import PartitionReplica, PeerProgress
from hollowusher.messages.replication.replication_stream import (
    BATCH_DELAY_S,
    ReplicationStream,
    StreamOwner,
)
from hollowusher.messages.store_dependencies import StoreDependencies
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.fencing import STALE, FencingToken
from hollowusher.protocol.placement import PartitionPlacement
from hollowusher.protocol.replication import (
    ReplicaDifference,
    ReplicaSummary,
    ReplicateRequest,
    ReplicateResponse,
)
from hollowusher.storage.interface import MAX_UNSYNCED_BYTES, Position, StorageError
from hollowusher.transport.fenced_transport import FencedTransport

MOVED_PARTITION_RETENTION_S = 30.0  # how long a store keeps a partition that moved away, for takeovers
CACHE_BYTES = 48 * 1024 * 1024
MAX_RECEIVED_UNSYNCED_BYTES = MAX_UNSYNCED_BYTES // 2  # the rest is left to the puts of this store
# Added to the latency of stores in other zones when the primary chooses its commit quorum.  It prefers a
# store of its own zone unless that store is slower by more than this, which is the time of one slow sync.
OTHER_ZONE_PENALTY_S = 0.02


@attrs.frozen
class ReplicationOptions:
    """Settings of replication, and the incarnation of the process."""

    tolerated: int  # number of failed machines that the deployment tolerates
    ended_retention_ms: int  # retention of messages that have ended
    catch_up: CatchUpLimits
    incarnation: int = 0


def ignore_replica(_replica: PartitionReplica) -> None:
    """Do nothing; the default handler of replica events."""


def report_to_event_loop(error: BaseException) -> None:
    """Report the error of a background task to the exception handler of the event loop."""
    asyncio.get_running_loop().call_exception_handler({"message": "task failed", "exception": error})


class PartitionReplicator(StreamOwner):
    """The replicas of one store and their replication.

    The owner sets these event handlers:

    - `on_primary_changed`, called after the state of a primary has changed;
    - `on_takeover_ready`, called when a replica has compared enough peers and needs a primary;
    - `on_peers_behind`, called when peers lack records;
    - `on_task_failed`, called with the error of a failed background task, which is not restarted.
    """

    def __init__(self, dependencies: StoreDependencies, options: ReplicationOptions) -> None:
        self.transport = FencedTransport(dependencies.transport, self._on_fenced)
        self.dependencies = attrs.evolve(dependencies, transport=self.transport)
        self.store_id = dependencies.store_id
        self.log = dependencies.log
        self.state = dependencies.state
        self.wall_ms = dependencies.wall_ms
        self.replicas: dict[int, PartitionReplica] = {}
        self.storage_error: StorageError | None = None  # the last error; None while the disk works
        self.on_primary_changed: Callable[[PartitionReplica], None] = ignore_replica
        self.on_takeover_ready: Callable[[PartitionReplica], None] = ignore_replica
        self.on_peers_behind: Callable[[], None] = lambda: None
        self.on_task_failed: Callable[[BaseException], None] = report_to_event_loop
        self.clock: Callable[[], float] = lambda: asyncio.get_running_loop().time()
        self.catch_up_limits = options.catch_up
        self._options = options
        self._cache = RecordCache(CACHE_BYTES)
        self._streams: dict[str, ReplicationStream] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._unsynced: list[OutgoingRecord] = []
        self._syncing = False

    # Lifecycle

    def replay(self) -> None:
        """Rebuild the tables of all partitions from the log."""
        self.clock = asyncio.get_running_loop().time
        self.log.set_move(self._move)
        wall_ms = self.wall_ms()
        for position, record in self.log.replay():
            header = records.unpack_header(record)
            self.replica(header.partition).table.replay(record, header, position, wall_ms)
        for replica in self.replicas.values():
            replica.table.drop_outdated_messages(wall_ms)

    def close(self) -> None:
        """Resign from all partitions, close all streams and cancel all tasks."""
        for replica in self.replicas.values():
            replica.resign()
        for stream in self._streams.values():
            stream.close()
        for task in list(self._tasks):
            task.cancel()

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task that `close` cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.on_task_failed(error)

    def now(self) -> float:
        """Return the monotonic time of the event loop in seconds."""
        return self.clock()

    def replica(self, partition: int) -> PartitionReplica:
        """Return the local replica of a partition, and create it if there is none yet."""
        replica = self.replicas.get(partition)
        if replica is None:
            table = PartitionTable(partition, self.log, self._cache, self._options.ended_retention_ms)
            replica = self.replicas[partition] = PartitionReplica(self.store_id, table)
        return replica

    def serving_replicas(self) -> list[PartitionReplica]:
        """Return the local replicas that have a serving primary."""
        return [replica for replica in self.replicas.values() if replica.primary is not None]

    def bytes_missing_at(self, peer: str) -> int:
        """Return up to how many bytes of the partitions that this store leads a peer may lack."""
        return sum(
            replica.table.put_bytes
            for replica in self.replicas.values()
            if (progress := replica.peer_progress.get(peer)) is not None and not progress.is_caught_up
        )

    def sender_count(self, peer: str) -> int:
        """Return how many stores lead a partition that has a replica or learner at a peer."""
        placement = self.state.placement
        entries = placement.partitions if placement is not None else []
        return len({entry.primary for entry in entries if peer in (*entry.replicas, *entry.learners)})

    def drop_moved_partitions(self, now: float) -> None:
        """Drop the partitions that moved away at least `MOVED_PARTITION_RETENTION_S` ago."""
        for replica in list(self.replicas.values()):
            if replica.drop_at and now >= replica.drop_at and not replica.epoch:
                replica.table.release_all()
                del self.replicas[replica.partition]

    def _move(self, position: Position, record: bytes) -> None:
        self.replica(records.unpack_header(record).partition).table.relocate(position, record)

    # Proposing and committing

    def propose(self, replica: PartitionReplica, proposal: Proposal) -> None:
        """Send a proposal to the replicas of its partition.

        The record must already be in the log of this store.  The preferred peers receive it at once, the
        others later.
        """
        replica.outstanding[proposal] = None
        outgoing = OutgoingRecord(replica.partition, proposal)
        streaming = replica.streaming_peers()
        preferred = self._preferred_peers(replica, streaming)
        for peer in streaming:
            if peer in preferred:
                self.stream(peer).send_newest(outgoing)
            else:
                self.stream(peer).defer(outgoing)
        if proposal.needs_sync:
            self._unsynced.append(outgoing)
            self._start_sync()
        elif replica.acknowledge(proposal, self.store_id):
            self._commit(replica, proposal)

    def _preferred_peers(self, replica: PartitionReplica, streaming: list[str]) -> list[str]:
        """Return the peers that receive new records at once: a commit quorum and the required learners.

        The quorum consists of the peers with the lowest expected latency.  To save traffic between zones,
        `OTHER_ZONE_PENALTY_S` is added to the latency of peers in other zones.
        """
        needed = replica.commit_quorum - 1
        counting = [peer for peer in streaming if peer in replica.replica_ids]
        if len(counting) > needed:
            now = self.now()
            counting.sort(
                key=lambda peer: (
                    not replica.peer_progress[peer].is_caught_up,
                    self.stream(peer).expected_latency_s(now)
                    + (0.0 if self._is_in_own_zone(peer) else OTHER_ZONE_PENALTY_S),
                )
            )
        return [*counting[:needed], *replica.required_learners]

    def _is_in_own_zone(self, peer: str) -> bool:
        """Return whether another store is in the zone of this store; False if either zone is unknown."""
        members = self.state.members
        mine, other = members.get(store_name(self.store_id)), members.get(store_name(peer))
        return mine is not None and other is not None and mine.zone == other.zone

    def _commit(self, replica: PartitionReplica, proposal: Proposal) -> None:
        if replica.primary is not None:
            replica.primary.commit(proposal, self.now(), self.wall_ms())
            self.on_primary_changed(replica)

    async def _sync(self) -> None:
        """Sync the log until no unsynced proposal is left; after a disk error `retry_storage` resumes."""
        synced: list[OutgoingRecord] = []
        try:
            while self._unsynced or self.storage_error is not None:
                await asyncio.sleep(BATCH_DELAY_S)
                synced, self._unsynced = self._unsynced, []
                await self.log.sync()
                self.storage_error = None
                self._acknowledge(self.store_id, synced)
        except StorageError as error:
            self._unsynced = synced + self._unsynced
            self.storage_error = error
        finally:
            self._syncing = False

    def _start_sync(self) -> None:
        if not self._syncing:
            self._syncing = True
            self.start_task(self._sync())

    def retry_storage(self) -> None:
        """Retry syncs that failed, and takeovers whose epoch the disk failed to store."""
        if self.storage_error is not None:
            self._start_sync()
        for replica in self.replicas.values():
            if replica.has_takeover_failed and replica.epoch:
                replica.has_takeover_failed = False
                self.start_task(self._take_over(replica, replica.epoch))

    def _acknowledge(self, store_id: str, acknowledged: Iterable[OutgoingRecord]) -> None:
        for partition, proposal in acknowledged:
            replica = self.replicas.get(partition)
            if replica is not None and replica.acknowledge(proposal, store_id):
                self._commit(replica, proposal)

    def commit_replicated(self, replica: PartitionReplica) -> None:
        """Commit the proposals that have enough acknowledgements under the current placement."""
        for proposal in replica.take_committed():
            self._commit(replica, proposal)

    def time_out_waiters(self, now: float, durable_s: float, memory_s: float) -> None:
        """Resolve the waiters of old proposals as not committed; the proposals may still commit later.

        `durable_s` is the timeout of proposals that need a sync, `memory_s` that of the others.
        """
        for replica in self.replicas.values():
            for proposal in list(replica.outstanding):
                allowed_s = durable_s if proposal.needs_sync else memory_s
                if proposal.waiters and now - proposal.created_at > allowed_s:
                    proposal.resolve_waiters(committed=False)

    # Streams

    def stream(self, peer: str) -> ReplicationStream:
        """Return the stream to another store, and create it if there is none yet."""
        stream = self._streams.get(peer)
        if stream is None:
            stream = ReplicationStream(self.store_id, peer, self, self.transport, self.start_task)
            self._streams[peer] = stream
        return stream

    def address_of(self, store_id: str) -> str | None:
        """Return the internal address of another store, or None if it is unknown."""
        return self.state.store_address(store_id)

    def epoch_of(self, partition: int) -> int:
        """Return the epoch of the partition that this store leads, or 0 if it is not the primary."""
        replica = self.replicas.get(partition)
        return replica.epoch if replica is not None else 0

    def on_acknowledged(self, store_id: str, sent: Iterable[OutgoingRecord], sent_at: float) -> None:
        """Record that a peer has acknowledged these records, which were sent at `sent_at`."""
        sent = list(sent)
        for partition in {outgoing.partition for outgoing in sent}:
            progress = self._progress(partition, store_id)
            if progress is not None:
                progress.confirmed_at = max(progress.confirmed_at, sent_at)
        self._acknowledge(store_id, sent)

    def on_rejected(self, store_id: str, partition: int, epoch: int) -> None:
        """Handle the rejection of records by a peer that follows `epoch`.

        Either this store is no longer the primary, or it sent the records for an epoch before its current one
        and has to send them again.
        """
        replica = self.replicas.get(partition)
        if replica is None or not replica.epoch:
            return
        if replica.epoch < epoch:
            replica.resign()
        elif store_id in replica.peer_progress:
            replica.peer_progress[store_id].is_streaming = replica.peer_progress[store_id].is_caught_up = (
                False
            )
            self.on_peers_behind()

    def _on_fenced(self, token: FencingToken, _address: str) -> None:
        """Resign, because a peer follows a higher epoch of a partition than this store."""
        replica = self.replicas.get(token.matter.partition)
        if replica is not None:
            replica.on_fenced(token.epoch)

    def on_peer_lost(self, store_id: str) -> None:
        """Mark a peer that did not answer as lost; it has to catch up by anti-entropy."""
        for replica in self.replicas.values():
            progress = replica.peer_progress.get(store_id)
            if progress is not None and progress.is_streaming:
                progress.is_streaming = progress.is_caught_up = False
                progress.lost_at = self.now()

    def _progress(self, partition: int, store_id: str) -> PeerProgress | None:
        replica = self.replicas.get(partition)
        return replica.peer_progress.get(store_id) if replica is not None else None

    # Requests of other primaries

    async def replicate(self, replicate: ReplicateRequest) -> ReplicateResponse:
        """Merge records of another primary.

        If the request is durable, or starts a new epoch, the records are on disk before this method returns.
        """
        await self._wait_for_log(sum(len(record) for batch in replicate.batches for record in batch.records))
        refused: dict[int, int] = {}
        durable = replicate.durable
        wall_ms = self.wall_ms()
        for batch in replicate.batches:
            replica = self.replica(batch.partition)
            if batch.epoch < replica.table.minimum_epoch:
                refused[batch.partition] = replica.table.minimum_epoch
                continue
            if batch.epoch > replica.table.minimum_epoch:
                self._fence_older_epochs(replica, batch.epoch)
                durable = True
            for record in batch.records:
                replica.table.apply(record, wall_ms)
        if durable:
            await self.log.sync()
        return ReplicateResponse(refused)

    async def _wait_for_log(self, size: int) -> None:
        """Wait until the log takes `size` bytes and as much again, which other requests may append."""
        while self.log.unsynced_bytes() and self.log.unsynced_bytes() + size > MAX_RECEIVED_UNSYNCED_BYTES:
            await self.log.sync()

    async def answer_summary(self, summary: ReplicaSummary) -> ReplicaDifference:
        """Compare a peer's summary with the local table; a newer epoch of the peer is made durable first."""
        replica = self.replica(summary.partition)
        if summary.fence and summary.epoch > replica.table.minimum_epoch:
            self._fence_older_epochs(replica, summary.epoch)
            await self.log.sync()
        if summary.epoch < replica.table.minimum_epoch:
            return ReplicaDifference(STALE, replica.table.minimum_epoch)
        difference = compare_with_summary(replica.table, summary)
        return evolve(difference, records=list(with_ages(replica.table, difference.records, self.wall_ms)))

    @staticmethod
    def _fence_older_epochs(replica: PartitionReplica, epoch: int) -> None:
        replica.table.fence_older_epochs(epoch)
        if 0 < replica.epoch < epoch:
            replica.resign()

    # Placement

    def apply_placement(self) -> None:
        """Apply the current placement to all partitions."""
        placement = self.state.placement
        if placement is None:
            return
        for entry in placement.partitions:
            involved = self.store_id in entry.replicas or self.store_id in entry.learners
            replica = self.replica(entry.partition) if involved else self.replicas.get(entry.partition)
            if replica is not None:
                self._apply_partition_placement(replica, entry, involved=involved)
        self.on_peers_behind()

    def _apply_partition_placement(
        self, replica: PartitionReplica, entry: PartitionPlacement, *, involved: bool
    ) -> None:
        if not replica.is_current(entry):
            return
        replica.drop_at = 0.0 if involved else replica.drop_at or self.now() + MOVED_PARTITION_RETENTION_S
        try:
            begins = replica.apply_placement(
                entry, self._options.tolerated, self._options.incarnation, self.now()
            )
        except StorageError as error:  # the disk failed to store the epoch in which the primary continues
            self.storage_error = error
            replica.start_leading(entry.epoch, self.now())
            replica.has_takeover_failed = True
            return
        if begins:
            self.start_task(self._take_over(replica, entry.epoch))
        elif replica.primary is not None:
            self.commit_replicated(replica)

    async def _take_over(self, replica: PartitionReplica, epoch: int) -> None:
        """Make the new epoch durable on this store before the comparison with other replicas starts."""
        try:
            replica.table.fence_older_epochs(epoch)
            await self.log.sync()
        except StorageError as error:
            self.storage_error = error
            replica.has_takeover_failed = replica.epoch == epoch
            return
        if replica.epoch == epoch:
            replica.is_epoch_durable = True
            self.serve_if_ready(replica)
            self.on_peers_behind()

    def serve_if_ready(self, replica: PartitionReplica) -> None:
        """Call `on_takeover_ready` if a takeover has compared enough replicas."""
        if replica.primary is None and replica.epoch:
            replica.former_replicas = [
                store_id for store_id in replica.former_replicas if self._is_alive(store_id)
            ]
            if replica.may_serve(self.now()):
                self.on_takeover_ready(replica)

    def _is_alive(self, store_id: str) -> bool:
        """Return whether a store is alive and has this disk, according to the local cluster state."""
        member = self.state.members.get(store_id.partition("/")[0])
        return member is not None and member.alive and member.store_id == store_id
