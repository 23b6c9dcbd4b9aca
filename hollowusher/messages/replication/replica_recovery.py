"""Recovery of peers that lack records, reports on learners, and the periodic scrub.

Replicas that were unreachable, new learners, and all replicas at a takeover need recovery.  A peer first
joins the stream of new records; then all older records are compared once, and the peer has caught up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import suppress

from hollowusher.messages.records import MessageKey
from hollowusher.messages.replication.anti_entropy import AntiEntropySession, ComparisonPace, Unpaced
from hollowusher.messages.replication.catch_up_pacing import CatchUpPacer
from hollowusher.messages.replication.outgoing_record import OutgoingRecord
from hollowusher.messages.replication.partition_replica import PartitionReplica, PeerProgress
from hollowusher.messages.replication.partition_replicator import PartitionReplicator
from hollowusher.protocol.placement import LearnerLost, LearnerReady
from hollowusher.protocol.replication import RecordBatch, ReplicateRequest, ReplicateResponse
from hollowusher.storage.interface import StorageError
from hollowusher.transport.fenced_transport import FencedError
from hollowusher.transport.interface import PeerError

CALL_TIMEOUT_S = 1.0
LEARNER_REPORT_INTERVAL_S = 2.0
LOST_LEARNER_TIMEOUT_S = 1.0  # a ready learner that is unreachable for this long is reported as lost
MAX_CONCURRENT_PARTITIONS = 4  # partitions that are compared with one peer at the same time
_LearnerKey = tuple[int, int, str]  # partition, epoch, the learner's store id


class _PeerPace(ComparisonPace):
    """The pace of comparisons with one peer, for which no request waits."""

    def __init__(self, peer: str, recovery: ReplicaRecovery) -> None:
        self.chunk_bytes = recovery.chunk_bytes(peer)
        self._peer = peer
        self._recovery = recovery

    async def pause(self, size: int) -> None:
        """Wait until the peer's next chunk may be sent."""
        await asyncio.sleep(self._recovery.wait_s(self._peer, size))


class ReplicaRecovery:
    """Brings the peers of one store up to date.

    `random_source` returns uniform numbers in [0, 1).
    """

    def __init__(self, replicator: PartitionReplicator, random_source: Callable[[], float]) -> None:
        self._replicator = replicator
        self._random_source = random_source
        self._lost_since: dict[_LearnerKey, float] = {}  # when each ready learner was first seen as lost
        self._recovering: set[str] = set()
        self._pacer = CatchUpPacer(replicator.catch_up_limits)
        self._reported_at: dict[_LearnerKey, float] = {}

    def chunk_bytes(self, peer: str) -> int:
        """Return the size of the chunks in which a peer receives records."""
        senders = self._replicator.sender_count(peer)
        return self._pacer.limits.chunk_bytes(senders, MAX_CONCURRENT_PARTITIONS)

    def wait_s(self, peer: str, size: int) -> float:
        """Return how long to wait after `size` bytes were exchanged with a peer."""
        replicator = self._replicator
        missing = replicator.bytes_missing_at(peer)
        return self._pacer.wait_s(peer, size, missing, replicator.now())

    def recover_all(self) -> None:
        """Start the recovery of each peer that lacks records and is not being recovered."""
        peers = {
            peer
            for replica in self._replicator.replicas.values()
            if replica.epoch and replica.is_epoch_durable
            for peer, progress in replica.peer_progress.items()
            if not progress.is_caught_up
        }
        for peer in sorted(peers - self._recovering):
            self._recovering.add(peer)
            self._replicator.start_task(self._recover(peer))

    async def _recover(self, peer: str) -> None:
        try:
            address = self._replicator.address_of(peer)
            if address is not None and await self._check_reachable(peer, address):
                replicas = iter(list(self._replicator.replicas.values()))
                async with asyncio.TaskGroup() as tasks:
                    for _ in range(MAX_CONCURRENT_PARTITIONS):
                        tasks.create_task(self._catch_up_each(replicas, peer, address))
        except* PeerError:
            self._replicator.on_peer_lost(peer)
        except* StorageError as errors:
            self._replicator.storage_error = _first_storage_error(errors)
        finally:
            self._recovering.discard(peer)
            self._pacer.end(peer)

    async def _catch_up_each(self, replicas: Iterator[PartitionReplica], peer: str, address: str) -> None:
        for replica in replicas:
            progress = replica.peer_progress.get(peer)
            while (
                progress is not None
                and replica.peer_progress.get(peer) is progress
                and not progress.is_caught_up
            ):
                if not (replica.is_epoch_durable and await self._catch_up(replica, peer, progress, address)):
                    break

    async def _check_reachable(self, peer: str, address: str) -> bool:
        """Return whether the peer answers empty batches, which also announce the epochs to it."""
        replicator = self._replicator
        batches = [
            RecordBatch(replica.partition, replica.epoch, [])
            for replica in replicator.replicas.values()
            if replica.epoch and replica.is_epoch_durable and peer in replica.peer_progress
        ]
        message = ReplicateRequest(replicator.store_id, batches, durable=True)
        answer = await replicator.transport.call(address, message, CALL_TIMEOUT_S)
        if not isinstance(answer, ReplicateResponse):
            return False
        for partition, epoch in answer.refused.items():
            replicator.on_rejected(peer, partition, epoch)
        return True

    async def _catch_up(
        self, replica: PartitionReplica, peer: str, progress: PeerProgress, address: str
    ) -> bool:
        """Exchange all records that the peer or this store lacks.

        Returns
        -------
        False if this store is no longer the primary or lost the peer, else True.  Even then the peer has not
        caught up if another peer supplied newer records in the meantime.
        """
        if not progress.is_streaming:
            progress.is_streaming = True
            for proposal in list(replica.outstanding):
                self._replicator.stream(peer).enqueue(OutgoingRecord(replica.partition, proposal))
        is_awaited = peer in replica.replica_ids and replica.primary is None
        pace = Unpaced() if is_awaited else _PeerPace(peer, self)
        progress.needs_comparison = False
        if not await self._compare(replica, peer, address, pace) or not progress.is_streaming:
            return False
        progress.is_caught_up = not progress.needs_comparison
        self._replicator.serve_if_ready(replica)
        return True

    async def _compare(
        self, replica: PartitionReplica, peer: str, address: str, pace: ComparisonPace
    ) -> bool:
        """Exchange all differences with a peer; return whether this store is still the primary."""
        replicator = self._replicator
        epoch = replica.epoch
        comparison = AntiEntropySession(replicator.dependencies, replica.table, epoch, address, pace)
        failure: BaseException | None = None
        try:
            await comparison.run()
        except (PeerError, StorageError, asyncio.CancelledError) as error:
            failure = error  # the records merged before the failure are still restored below
        if comparison.changed_keys:
            self._restore_changed(replica, peer, comparison.changed_keys)
        if isinstance(failure, FencedError):
            replicator.on_rejected(peer, replica.partition, failure.token.epoch)
            return False
        if failure is not None:
            raise failure
        return replica.epoch == epoch

    def _restore_changed(self, replica: PartitionReplica, source: str, changed: list[MessageKey]) -> None:
        """Restore messages with newer records from a peer, and mark the other peers for a new comparison."""
        for peer, progress in replica.peer_progress.items():
            if peer != source:
                progress.is_caught_up = False
                progress.needs_comparison = True
        if replica.primary is not None:
            for key in changed:
                replica.primary.restore(key, self._replicator.now(), self._replicator.wall_ms())
            self._replicator.on_primary_changed(replica)
        self.recover_all()

    async def scrub(self) -> None:
        """Compare one random partition with one of its caught-up peers, to repair any difference."""
        replicator = self._replicator
        pairs = [
            (replica, peer)
            for replica in replicator.serving_replicas()
            for peer, progress in replica.peer_progress.items()
            if progress.is_caught_up
        ]
        if not pairs:
            return
        replica, peer = pairs[int(self._random_source() * len(pairs)) % len(pairs)]
        address = replicator.address_of(peer)
        if address is not None:
            with suppress(PeerError, StorageError):
                await self._compare(replica, peer, address, _PeerPace(peer, self))

    # Learners

    def report_learners(self, now: float) -> None:
        """Report to the head controller which learners have caught up, and which of those are lost again.

        Until a newer placement is in force, commits require the acknowledgement of a learner that was
        reported ready, because the head may still act on that report.
        """
        lost_since: dict[_LearnerKey, float] = {}
        for replica in self._replicator.serving_replicas():
            assert replica.placement is not None
            for peer in replica.placement.learners:
                progress = replica.peer_progress.get(peer)
                if progress is not None and progress.is_caught_up:
                    if self._is_due(replica, peer, now):
                        self._replicator.start_task(self._report_caught_up(replica, peer))
                elif peer in replica.required_learners:
                    key = (replica.partition, replica.epoch, peer)
                    lost_since[key] = self._lost_since.get(key, now)
                    if now - lost_since[key] >= LOST_LEARNER_TIMEOUT_S and self._is_due(replica, peer, now):
                        self._replicator.start_task(
                            self._send_to_head(LearnerLost(replica.partition, replica.epoch, peer))
                        )
        self._lost_since = lost_since

    def _is_due(self, replica: PartitionReplica, peer: str, now: float) -> bool:
        """Return whether a learner is due for a report, and if so record the time of the report."""
        key = (replica.partition, replica.epoch, peer)
        if now - self._reported_at.get(key, -LEARNER_REPORT_INTERVAL_S) < LEARNER_REPORT_INTERVAL_S:
            return False
        self._reported_at = {
            learner: at for learner, at in self._reported_at.items() if now - at < LEARNER_REPORT_INTERVAL_S
        }
        self._reported_at[key] = now
        return True

    async def _report_caught_up(self, replica: PartitionReplica, peer: str) -> None:
        """Require the learner for each commit, compare once more, and report the learner ready.

        The second comparison covers the records that were committed before the learner was required, so the
        head can rely on the learner having all committed records.
        """
        replicator = self._replicator
        placement, address = replica.placement, replicator.address_of(peer)
        if placement is None or address is None or replica.primary is None:
            return
        epoch = replica.epoch
        try:
            if peer not in replica.required_learners:
                replica.required_learners.add(peer)
                if not await self._compare(replica, peer, address, _PeerPace(peer, self)):
                    self._report_again((replica.partition, epoch, peer))
                    return
        except (PeerError, StorageError):
            self._report_again((replica.partition, epoch, peer))
            return
        if replica.epoch == epoch and peer in replica.required_learners:
            await self._send_to_head(LearnerReady(replica.partition, epoch, peer))

    async def _send_to_head(self, report: LearnerReady | LearnerLost) -> None:
        replicator = self._replicator
        view = replicator.state.view
        voters = view.voters if view is not None else []
        head = next((voter.address for voter in voters if view and voter.name == view.head), None)
        if head is None:
            return
        try:
            await replicator.transport.call(head, report, CALL_TIMEOUT_S)
        except PeerError:
            self._report_again((report.partition, report.epoch, report.store_id))

    def _report_again(self, learner: _LearnerKey) -> None:
        """Make a learner due for a report at once, because the last one was not made or not received."""
        self._reported_at.pop(learner, None)


def _first_storage_error(errors: ExceptionGroup[StorageError]) -> StorageError:
    first: BaseException = errors
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    assert isinstance(first, StorageError)
    return first
