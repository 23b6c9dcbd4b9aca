"""The service of one store, which answers the requests of edge processes and of other stores.

It is the asyncio layer around `PartitionPrimary`: it advances the primaries' timers, waits for commits, and
holds lease requests until jobs are ready.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import attrs

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import (
    CONFIGURATION,
    MEMBER_PREFIX,
    PLACEMENT,
)
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.messages import records
from hollowusher.messages.job_waiters import JobWaiters
from hollowusher.messages.lease_service import LeaseService
from hollowusher.messages.partition.lease_metrics import LeaseMetrics
from hollowusher.messages.partition.message_leases import LeaseOptions
from hollowusher.messages.partition.partition_primary import PartitionPrimary, PrimaryOptions
from hollowusher.messages.partition.queue_summary import QueueSummary
from hollowusher.messages.primary_access import PrimaryAccess
from hollowusher.messages.rate_limit_loans import HomePartitions, RateLimitLoans
from hollowusher.messages.replication.catch_up_pacing import (
    CatchUpLimits,
    CatchUpSizeMonitor,
    size_bytes,
)
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.replication.partition_replicator import (
    PartitionReplicator,
    ReplicationOptions,
    ignore_replica,
)
from hollowusher.messages.replication.replica_recovery import ReplicaRecovery
from hollowusher.messages.steady_wall_clock import SteadyWallClock
from hollowusher.messages.store_dependencies import StoreDependencies
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.leases import (
    BorrowTokens,
    ExtendLease,
    FinishLease,
    LeaseRequest,
)
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import MessageStatusRequest, MessageStatusResponse, PutRequest, PutResponse
from hollowusher.protocol.replication import ReplicaSummary, ReplicateRequest
from hollowusher.storage.interface import StorageError

TICK_S = 0.25
MAX_STEP_S = TICK_S + 0.15  # a longer gap between two clock readings means that this process was paused
COMMIT_TIMEOUT_S = 3.0
LEASE_COMMIT_TIMEOUT_S = 1.0
RECOVERY_INTERVAL_S = 0.5
FORGET_INTERVAL_S = 5.0
SCRUB_INTERVAL_S = 20.0
STOP_TIMEOUT_S = 4.0
STOP_POLL_S = 0.05
# The store rejects new messages while the free space of its log is below the reserve, so that the state
# records of stored messages still have space.
MAX_LOG_RESERVE_BYTES = 4 * 1024 * 1024

ENDED_STATES = ("completed", "dead_letter")


class StoreService:
    """Request handlers, timers and background tasks for all partitions of one store.

    `random_source` returns uniform numbers in [0, 1).
    """

    def __init__(
        self,
        member: Member,
        dependencies: StoreDependencies,
        settings: BootSettings,
        random_source: Callable[[], float],
    ) -> None:
        self.member = member
        self.store_id = dependencies.store_id
        self._log = log = dependencies.log
        self._state = state = dependencies.state
        self.lease_metrics = LeaseMetrics()
        self._lease_options = LeaseOptions(settings.bounds.visibility_ms, random_source, self.lease_metrics)
        self._wall_ms = SteadyWallClock(dependencies.wall_ms, self._now)
        dependencies = attrs.evolve(dependencies, wall_ms=self._wall_ms)
        self._log_reserve = min(MAX_LOG_RESERVE_BYTES, log.free_bytes() // 8)
        catch_up_limits = CatchUpLimits.from_settings(settings)
        self.catch_up_size = CatchUpSizeMonitor(catch_up_limits)
        self.on_catch_up_size_changed: Callable[[], None] = lambda: None
        options = ReplicationOptions(
            tolerated=settings.fault_tolerance.machines,
            ended_retention_ms=int(settings.bounds.status_s * 1000),
            catch_up=catch_up_limits,
            incarnation=member.incarnation,
        )
        self._replicator = PartitionReplicator(dependencies, options)
        self._recovery = ReplicaRecovery(self._replicator, random_source)
        self._replicator.on_primary_changed = self._process_effects
        self._replicator.on_takeover_ready = self._start_serving
        self._replicator.on_peers_behind = self._recovery.recover_all
        self.on_takeover_completed: Callable[[PartitionReplica], None] = ignore_replica
        self._access = PrimaryAccess(self._replicator, self._process_effects)
        self._waiters = JobWaiters(self.store_id, dependencies.transport, state, self._has_ready)
        self._home_partition = HomePartitions(state)
        self._loans = RateLimitLoans(
            self._replicator, self._access, state, dependencies.transport, self._home_partition
        )
        self._leases = LeaseService(
            self._replicator, self._access, self._waiters, self._loans, self._may_be_alive
        )
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._started = False
        self._pauses = PauseDetector(MAX_STEP_S)
        self._next_recover = self._next_forget = self._next_scrub = 0.0
        self._handlers = HandlerTable()
        self._handlers.add(PutRequest, self._put)
        self._handlers.add(LeaseRequest, self._leases.lease)
        self._handlers.add(FinishLease, self._leases.finish)
        self._handlers.add(ExtendLease, self._leases.extend)
        self._handlers.add(BorrowTokens, self._loans.lend)
        self._handlers.add(MessageStatusRequest, self._status)
        self._handlers.add(ReplicateRequest, self._replicator.replicate)
        self._handlers.add(ReplicaSummary, self._replicator.answer_summary)

    # Lifecycle

    async def start(self) -> None:
        """Replay the log, apply the placement and start the periodic tasks."""
        self._replicator.replay()
        now = self._now()
        self._pauses.tick(now)
        self._access.resumed_at = now
        self._next_forget, self._next_scrub = now + FORGET_INTERVAL_S, now + SCRUB_INTERVAL_S
        self._started = True
        self._state.add_listener(self._on_state_change)
        self._replicator.apply_placement()
        self._replicator.start_task(self._tick())

    def handles(self, message: object) -> bool:
        """Return whether this service has a handler for the message."""
        return self._handlers.handles(message)

    async def handle(self, message: object) -> object:
        """Handle a message for which `handles` returns True, and return the answer."""
        self._notice_pause(self._now())
        return await self._handlers.handle(message)

    async def stop(self) -> None:
        """Drain and stop.

        The store serves until the placement has moved all its primaries away, and all replicas that a learner
        is still replacing, but for `STOP_TIMEOUT_S` at most.
        """
        deadline = self._now() + STOP_TIMEOUT_S
        while self._now() < deadline and any(  # noqa: ASYNC110  # no event covers all placement changes
            replica.is_needed_here for replica in self._replicas.values()
        ):
            await asyncio.sleep(STOP_POLL_S)
        with suppress(StorageError, TimeoutError):
            async with asyncio.timeout(max(0.2, deadline - self._now())):
                await self._log.sync()
        self._started = False
        self._leases.stop()
        if self._timer is not None:
            self._timer.cancel()
        self._replicator.close()

    def replicas(self) -> list[PartitionReplica]:
        """Return the replicas of this store by partition number."""
        return [replica for _, replica in sorted(self._replicas.items())]

    def set_failure_handler(self, on_task_failed: Callable[[BaseException], None]) -> None:
        """Set the function to call with the error when a background task of this service fails."""
        self._replicator.on_task_failed = on_task_failed

    def queue_summary(self) -> QueueSummary:
        """Return the number of unfinished messages by stage, over all partitions that this store serves."""
        now, total = self._now(), QueueSummary()
        for replica in self._replicator.serving_replicas():
            if replica.primary is not None:
                total += replica.primary.queue_summary(now)
        return total

    @property
    def storage_error(self) -> StorageError | None:
        """The last error of the disk, or None while the disk works."""
        return self._replicator.storage_error

    @property
    def _replicas(self) -> dict[int, PartitionReplica]:
        return self._replicator.replicas

    # Requests of edge processes

    async def _put(self, put: PutRequest) -> PutResponse:
        primary = await self._access.wait_for_primary(put.partition)
        if primary is None:
            return PutResponse(self._access.unavailable_status(put.partition))
        if self.storage_error is not None or self._log.free_bytes() < self._log_reserve:
            return PutResponse("unavailable")
        try:
            outcome = primary.put(put.message, self._now(), self._wall_ms())
        except StorageError:
            return PutResponse("unavailable")
        self._process_effects(self._replicas[put.partition])
        if isinstance(outcome, PutResponse):
            return outcome
        if not await self._access.wait_for_commit(outcome):
            return PutResponse("unknown")
        return PutResponse("stored", records.format_reference(put.partition, outcome.key))

    async def _status(self, request: MessageStatusRequest) -> MessageStatusResponse:
        parsed = records.parse_reference(request.reference)
        if parsed is None:
            return MessageStatusResponse("unknown")
        partition, key = parsed
        primary = await self._access.wait_for_primary(partition)
        if primary is None:
            return MessageStatusResponse(self._access.unavailable_status(partition))
        answer = primary.status(key, want_body=request.want_body)
        if await self._is_certain(answer, partition, key, primary):
            return answer
        return MessageStatusResponse("unavailable")

    async def _is_certain(
        self,
        answer: MessageStatusResponse,
        partition: int,
        key: records.MessageKey,
        primary: PartitionPrimary,
    ) -> bool:
        """Return whether the store may send this answer about a message.

        The body of a message never changes, and a committed end is final.  To report that a message has not
        ended, this primary needs a recent confirmation by a quorum.  To report that a message is unknown, the
        primary needs a confirmation that starts after the request, because another primary may have accepted
        the message.
        """
        if answer.body is not None:
            return True
        replica = self._replicas[partition]
        if answer.state in ENDED_STATES:
            ending = primary.uncommitted_proposal(key)
            return ending is None or await self._access.wait_for_commit(ending)
        return await self._access.has_quorum(replica, primary, from_now=answer.state == "unknown")

    def _has_ready(self, service: str) -> bool:
        now = self._now()
        return any(
            replica.primary.has_ready(service, now) for replica in self._replicas.values() if replica.primary
        )

    # Transitions of the primaries

    def _start_serving(self, replica: PartitionReplica) -> None:
        """Create the primary of a partition, after this store has compared enough replicas."""
        now, wall_ms = self._now(), self._wall_ms()
        options = PrimaryOptions(self._state.configuration, self._lease_options, self._home_partition)
        replica.primary = PartitionPrimary(replica.table, replica.epoch, options, now, wall_ms)
        replica.primary.release_dispatchers(self._may_be_alive, now, wall_ms)
        self._process_effects(replica)
        self.on_takeover_completed(replica)
        self._access.announce_serving()

    def _process_effects(self, replica: PartitionReplica) -> None:
        """Replicate proposals, wake waiting requests and set the timer after a transition of a primary."""
        primary = replica.primary
        if primary is None:
            return
        if primary.outbox:
            proposals, primary.outbox = primary.outbox, []
            for proposal in proposals:
                self._replicator.propose(replica, proposal)
        if primary.queue.newly_ready_services:
            ready_services, primary.queue.newly_ready_services = primary.queue.newly_ready_services, set()
            for service in ready_services:
                self._waiters.wake(service)
        self._schedule_advance(primary.next_event_time())

    def _on_state_change(self, key: str) -> None:
        """Apply a change of one key of the cluster's state."""
        if not self._started:
            return
        now, wall_ms = self._now(), self._wall_ms()
        if key == PLACEMENT:
            self._replicator.apply_placement()
        elif key == CONFIGURATION and self._state.configuration is not None:
            for replica in self._replicator.serving_replicas():
                if replica.primary is not None:
                    replica.primary.configure(self._state.configuration, now, wall_ms)
                    self._process_effects(replica)
        elif key.startswith(MEMBER_PREFIX):
            for replica in self._replicator.serving_replicas():
                if replica.primary is not None:
                    replica.primary.release_dispatchers(self._may_be_alive, now, wall_ms)
                    self._process_effects(replica)

    def _may_be_alive(self, name: str, incarnation: int) -> bool:
        """Return whether this incarnation of a dispatcher may still finish its leases.

        A dispatcher may not finish them once a later incarnation has started or the cluster considers it
        dead.  A dispatcher that is leaving the cluster finishes its own deliveries.
        """
        member = self._state.members.get(name)
        if member is None or member.incarnation < incarnation:
            return True
        return member.incarnation == incarnation and (member.alive or member.leaving)

    # Time

    async def _tick(self) -> None:
        while self._started:
            await asyncio.sleep(TICK_S)
            now = self._now()
            self._notice_pause(now)
            self._replicator.time_out_waiters(now, COMMIT_TIMEOUT_S, LEASE_COMMIT_TIMEOUT_S)
            self._recovery.report_learners(now)
            for replica in self._replicas.values():
                self._replicator.serve_if_ready(replica)
            if now >= self._next_recover:
                self._next_recover = now + RECOVERY_INTERVAL_S
                self._replicator.retry_storage()
                self._recovery.recover_all()
                self._update_catch_up_size()
            if now >= self._next_forget:
                self._next_forget = now + FORGET_INTERVAL_S
                self._forget(now)
            if now >= self._next_scrub:
                self._next_scrub = now + SCRUB_INTERVAL_S
                self._replicator.start_task(self._recovery.scrub())

    def _update_catch_up_size(self) -> None:
        """Call `on_catch_up_size_changed` if this store has become too large to replace in time, or not."""
        tables = [replica.table for replica in self._replicas.values()]
        put_bytes = sum(table.put_bytes for table in tables)
        messages = sum(len(table.entries) for table in tables)
        if self.catch_up_size.update(size_bytes(put_bytes, messages)):
            self.on_catch_up_size_changed()

    def _notice_pause(self, now: float) -> None:
        """Postpone the expiry of leases if this process was paused.

        Requests that lease holders sent during the pause may still be unread.  Another primary may have taken
        over in the meantime, so confirmations by a quorum from before the pause no longer count.
        """
        pause_s = self._pauses.tick(now)
        if not pause_s:
            return
        self._access.resumed_at = now
        for replica in self._replicator.serving_replicas():
            if replica.primary is not None:
                replica.primary.postpone_leases(pause_s)

    def _forget(self, now: float) -> None:
        for replica in self._replicas.values():
            forgotten = replica.table.forget_expired(self._wall_ms())
            if replica.primary is not None and forgotten:
                replica.primary.forget(forgotten)
        self._replicator.drop_moved_partitions(now)

    def _schedule_advance(self, due: float | None) -> None:
        """Set the timer to the earliest due time of all primaries."""
        if due is None or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = asyncio.get_running_loop().call_at(due, self._advance)

    def _advance(self) -> None:
        self._timer = None
        now, wall_ms = self._now(), self._wall_ms()
        self._notice_pause(now)
        for replica in self._replicator.serving_replicas():
            if replica.primary is not None:
                replica.primary.advance(now, wall_ms)
                self._process_effects(replica)

    def _now(self) -> float:
        return self._replicator.clock()
