"""The store's service: answers the requests of edge processes from the primaries of this store.

It is the asyncio shell around `PartitionPrimary`: it advances time there, waits for commits, and keeps lease
requests waiting until jobs are ready.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import NamedTuple

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
from hollowusher.messages.partition.active_messages import LeaseGrant
from hollowusher.messages.partition.message_leases import LeaseOptions
from hollowusher.messages.partition.partition_primary import PartitionPrimary, PrimaryOptions
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.partition.queue_summary import QueueSummary
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.replication.partition_replicator import (
    PartitionReplicator,
    ReplicationOptions,
    ignore_replica,
)
from hollowusher.messages.replication.replica_recovery import ReplicaRecovery
from hollowusher.messages.steady_wall_clock import SteadyWallClock
from hollowusher.messages.store_dependencies import StoreDependencies
from hollowusher.messages.unacknowledged_grants import UnacknowledgedGrants
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.leases import (
    ExtendLease,
    FinishLease,
    LeasedJob,
    LeaseRequest,
    LeaseResponse,
    LeaseUpdateResponse,
)
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import MessageStatusRequest, MessageStatusResponse, PutRequest, PutResponse
from hollowusher.protocol.replication import ReplicaSummary, ReplicateRequest
from hollowusher.storage.interface import StorageError

TICK_S = 0.25
MAX_STEP_S = TICK_S + 0.15  # longer steps mean that this process did not run
COMMIT_TIMEOUT_S = 3.0
LEASE_COMMIT_TIMEOUT_S = 1.0
SERVING_WAIT_S = 1.0  # how long a call waits for a takeover to finish
RECOVERY_INTERVAL_S = 0.5
FORGET_INTERVAL_S = 5.0
SCRUB_INTERVAL_S = 20.0
# A lease is extended, and a state reported, only if a quorum has followed the primary within so long.
CONFIRMATION_MAX_AGE_S = 0.5
DEAD_DISPATCHER_PAUSE_S = 0.3  # before an empty answer to a dispatcher that may not lease
STOP_TIMEOUT_S = 4.0
STOP_POLL_S = 0.05
MAX_LOG_RESERVE_BYTES = 4 * 1024 * 1024  # new messages are rejected before states lack space

UNAVAILABLE = LeaseUpdateResponse("unavailable")
GONE = LeaseUpdateResponse("gone")
ENDED_STATES = ("completed", "dead_letter")


class LocalGrant(NamedTuple):
    """A grant and the partition that granted it."""

    replica: PartitionReplica
    grant: LeaseGrant


class StoreService:
    """The service of one store: all its partitions, as other processes see them."""

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
        self._lease_options = LeaseOptions(settings.bounds.visibility_ms, random_source)
        self._wall_ms = SteadyWallClock(dependencies.wall_ms, self._now)
        dependencies = attrs.evolve(dependencies, wall_ms=self._wall_ms)
        self._log_reserve = min(MAX_LOG_RESERVE_BYTES, log.free_bytes() // 8)
        options = ReplicationOptions(
            tolerated=settings.fault_tolerance.machines,
            ended_retention_ms=int(settings.bounds.status_s * 1000),
            incarnation=member.incarnation,
        )
        self._replicator = PartitionReplicator(dependencies, options)
        self._recovery = ReplicaRecovery(self._replicator, random_source)
        self._replicator.on_primary_changed = self._process_effects
        self._replicator.on_takeover_ready = self._start_serving
        self._replicator.on_peers_behind = self._recovery.recover_all
        self.on_takeover_completed: Callable[[PartitionReplica], None] = ignore_replica
        self._grants = UnacknowledgedGrants()
        self._waiters = JobWaiters(self.store_id, dependencies.transport, state, self._has_ready)
        self._serving_changed = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._started = False
        self._pauses = PauseDetector(MAX_STEP_S)
        self._resumed_at = 0.0  # monotonic clock; the end of the last pause
        self._next_recover = self._next_forget = self._next_scrub = 0.0
        self._handlers = HandlerTable()
        self._handlers.add(PutRequest, self._put)
        self._handlers.add(LeaseRequest, self._lease)
        self._handlers.add(FinishLease, self._finish)
        self._handlers.add(ExtendLease, self._extend)
        self._handlers.add(MessageStatusRequest, self._status)
        self._handlers.add(ReplicateRequest, self._replicator.replicate)
        self._handlers.add(ReplicaSummary, self._replicator.answer_summary)

    # Lifecycle

    async def start(self) -> None:
        """Read the log and apply the placement."""
        self._replicator.replay()
        now = self._now()
        self._pauses.tick(now)
        self._resumed_at = now
        self._next_forget, self._next_scrub = now + FORGET_INTERVAL_S, now + SCRUB_INTERVAL_S
        self._started = True
        self._state.add_listener(self._on_state_change)
        self._replicator.apply_placement()
        self._replicator.start_task(self._tick())

    def handles(self, message: object) -> bool:
        """Return whether a message is for this service."""
        return self._handlers.handles(message)

    async def handle(self, message: object) -> object:
        """Return the answer to a message for which `handles` is true."""
        self._notice_pause(self._now())
        return await self._handlers.handle(message)

    async def stop(self) -> None:
        """Drain and stop.

        Serve until the placement has moved all primaries away, and every replica that another store is still
        copying; at most `STOP_TIMEOUT_S`.
        """
        deadline = self._now() + STOP_TIMEOUT_S
        while self._now() < deadline and any(  # noqa: ASYNC110  # no event tells of all placements
            replica.is_needed_here for replica in self._replicas.values()
        ):
            await asyncio.sleep(STOP_POLL_S)
        with suppress(StorageError, TimeoutError):
            async with asyncio.timeout(max(0.2, deadline - self._now())):
                await self._log.sync()
        self._started = False
        self._waiters.close()
        if self._timer is not None:
            self._timer.cancel()
        self._replicator.close()

    def replicas(self) -> list[PartitionReplica]:
        """Return the replicas of this store by partition number."""
        return [replica for _, replica in sorted(self._replicas.items())]

    def set_failure_handler(self, on_task_failed: Callable[[BaseException], None]) -> None:
        """Set what is called when a defect has ended a task of this service."""
        self._replicator.on_task_failed = on_task_failed

    def queue_summary(self) -> QueueSummary:
        """Return how many messages of the partitions served here have not ended, by stage."""
        now, total = self._now(), QueueSummary()
        for replica in self._replicator.serving_replicas():
            if replica.primary is not None:
                total += replica.primary.queue_summary(now)
        return total

    @property
    def storage_error(self) -> StorageError | None:
        """The error of the disk, None while it works."""
        return self._replicator.storage_error

    @property
    def _replicas(self) -> dict[int, PartitionReplica]:
        return self._replicator.replicas

    # Requests of edge processes

    async def _put(self, put: PutRequest) -> PutResponse:
        primary = await self._wait_for_primary(put.partition)
        if primary is None:
            return PutResponse(self._unavailable_status(put.partition))
        if self.storage_error is not None or self._log.free_bytes() < self._log_reserve:
            return PutResponse("unavailable")
        try:
            kept = primary.put(put.message, self._now(), self._wall_ms())
        except StorageError:
            return PutResponse("unavailable")
        self._process_effects(self._replicas[put.partition])
        if isinstance(kept, PutResponse):
            return kept
        if not await self._wait_for_commit(kept):
            return PutResponse("unknown")
        return PutResponse("stored", records.format_reference(put.partition, kept.key))

    async def _finish(self, finish: FinishLease) -> LeaseUpdateResponse:
        lease = records.parse_lease_id(finish.lease)
        if lease is None:
            return GONE
        primary = await self._wait_for_primary(lease.partition)
        if primary is None:
            return LeaseUpdateResponse(self._unavailable_status(lease.partition))
        replica = self._replicas[lease.partition]
        try:
            outcome = primary.finish(lease, finish, self._now(), self._wall_ms())
        except StorageError:
            return UNAVAILABLE
        self._process_effects(replica)
        return await self._lease_answer(replica, primary, outcome)

    async def _extend(self, extend: ExtendLease) -> LeaseUpdateResponse:
        lease = records.parse_lease_id(extend.lease)
        if lease is None:
            return GONE
        primary = await self._wait_for_primary(lease.partition)
        if primary is None:
            return LeaseUpdateResponse(self._unavailable_status(lease.partition))
        replica = self._replicas[lease.partition]
        try:
            outcome = primary.extend(lease, self._now(), self._wall_ms())
        except StorageError:
            return UNAVAILABLE
        self._process_effects(replica)
        if not await self._has_quorum(replica, primary):
            return UNAVAILABLE
        return await self._lease_answer(replica, primary, outcome)

    async def _lease_answer(
        self, replica: PartitionReplica, primary: PartitionPrimary, outcome: Proposal | LeaseUpdateResponse
    ) -> LeaseUpdateResponse:
        """Return the answer once it is certain.

        A proposal has to be committed; a lease is gone only if this store was still the primary when it was
        asked.
        """
        if isinstance(outcome, Proposal):
            return LeaseUpdateResponse("taken") if await self._wait_for_commit(outcome) else UNAVAILABLE
        if outcome.status == GONE.status and not await self._has_quorum(replica, primary, from_now=True):
            return UNAVAILABLE
        return outcome

    async def _status(self, request: MessageStatusRequest) -> MessageStatusResponse:
        parsed = records.parse_reference(request.reference)
        if parsed is None:
            return MessageStatusResponse("unknown")
        partition, key = parsed
        primary = await self._wait_for_primary(partition)
        if primary is None:
            return MessageStatusResponse(self._unavailable_status(partition))
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
        """Return whether an answer about a message is certain.

        The body of a message never changes, and a committed end is final.  That a message has not ended needs
        a quorum that followed this primary recently; that there is no such message, one that follows it now.
        """
        if answer.body is not None:
            return True
        replica = self._replicas[partition]
        if answer.state in ENDED_STATES:
            ending = primary.uncommitted_proposal(key)
            return ending is None or await self._wait_for_commit(ending)
        return await self._has_quorum(replica, primary, from_now=answer.state == "unknown")

    async def _has_quorum(
        self, replica: PartitionReplica, primary: PartitionPrimary, *, from_now: bool = False
    ) -> bool:
        """Return whether a quorum still follows this primary.

        It must have done so within `CONFIRMATION_MAX_AGE_S` and since the last pause of this process; with
        `from_now`, after this call.
        """
        now = self._now()
        within_s = min(CONFIRMATION_MAX_AGE_S, now - self._resumed_at)
        if not from_now and replica.has_recent_quorum(now, within_s):
            return True
        confirmation = primary.propose_confirmation(now)
        self._process_effects(replica)
        return await self._wait_for_commit(confirmation)

    async def _lease(self, request: LeaseRequest) -> LeaseResponse:
        service = request.service
        asked_at = self._now()
        deadline = asked_at + request.wait_ms / 1000
        if request.lost:
            self._return_lost_grants(request)
        while request.most > 0 and not self._grants.is_abandoned(request):
            self._waiters.record_request(service)
            leased_after_ms = round((self._now() - asked_at) * 1000)
            jobs = await self._confirmed_jobs(self._lease_from_primaries(request))
            if self._grants.is_abandoned(request):
                self._return_unrun([job.lease for job in jobs])
                break
            now = self._now()
            token_at = self._next_token_time(service, now)
            if jobs or now >= deadline or not self._started:
                next_ms = 0 if token_at is None else max(1, round((token_at - now) * 1000))
                self._grants.record(request, jobs)
                return LeaseResponse(jobs, next_ms, leased_after_ms)
            if not self._can_lease(request):
                await asyncio.sleep(min(DEAD_DISPATCHER_PAUSE_S, deadline - now))
                return LeaseResponse([])
            await self._waiters.wait(service, deadline if token_at is None else min(deadline, token_at))
        self._waiters.wake(service)  # the event that woke this request may be for another one
        return LeaseResponse([])

    def _return_lost_grants(self, request: LeaseRequest) -> None:
        """Return the leases of an answer that its dispatcher has not received and will not start."""
        self._return_unrun(self._grants.take_lost(request))
        self._waiters.wake_all(request.service)

    def _return_unrun(self, leases: list[str]) -> None:
        now, wall_ms = self._now(), self._wall_ms()
        for name in leases:
            lease = records.parse_lease_id(name)
            replica = None if lease is None else self._replicas.get(lease.partition)
            if lease is None or replica is None or replica.primary is None:
                continue
            with suppress(StorageError):  # then the lease expires
                replica.primary.finish(lease, FinishLease(name, "not_run"), now, wall_ms)
            self._process_effects(replica)

    def _can_lease(self, request: LeaseRequest) -> bool:
        """Return whether a dispatcher may lease.

        The leases of a dispatcher that is considered dead would be requeued at the next change of any member.
        Pull leases outlive their dispatcher.
        """
        return request.pull or self._may_be_alive(request.dispatcher, request.incarnation)

    def _lease_from_primaries(self, request: LeaseRequest) -> list[LocalGrant]:
        """Lease ready jobs from the partitions served here."""
        now, wall_ms = self._now(), self._wall_ms()
        outcome: list[LocalGrant] = []
        if not self._can_lease(request):
            return outcome
        for replica in self._replicator.serving_replicas():
            primary = replica.primary
            if primary is None or len(outcome) >= request.most or primary.queue.peek(request.service) is None:
                continue
            with suppress(StorageError):
                grants = primary.lease(request, request.most - len(outcome), now, wall_ms)
                outcome += [LocalGrant(replica, grant) for grant in grants]
            self._process_effects(replica)
        self._waiters.wake(request.service)
        return outcome

    async def _confirmed_jobs(self, outcome: list[LocalGrant]) -> list[LeasedJob]:
        """Return the jobs whose leases are committed; the other leases are cancelled."""
        jobs = []
        for replica, grant in outcome:
            committed = await self._is_committed(replica, grant)
            if replica.primary is None:
                continue
            if committed and replica.primary.is_grant_valid(grant):
                jobs.append(grant.job)
            else:
                self._cancel_grant(replica, replica.primary, grant)
        return jobs

    def _cancel_grant(self, replica: PartitionReplica, primary: PartitionPrimary, grant: LeaseGrant) -> None:
        """Cancel a grant that is not sent; a call-back is queued again after a backoff."""
        now, wall_ms = self._now(), self._wall_ms()
        lease = records.parse_lease_id(grant.job.lease)
        if lease is not None and lease.is_callback:
            primary.finish(lease, FinishLease(grant.job.lease, "not_run"), now, wall_ms)
        else:
            primary.cancel_grant(grant, now, wall_ms)
        self._process_effects(replica)

    async def _is_committed(self, replica: PartitionReplica, grant: LeaseGrant) -> bool:
        """Return whether a lease is committed; for a call-back's, whether a quorum follows the primary."""
        if grant.proposal is not None:
            return await self._wait_for_commit(grant.proposal)
        return replica.primary is not None and await self._has_quorum(replica, replica.primary)

    def _has_ready(self, service: str) -> bool:
        now = self._now()
        return any(
            replica.primary.has_ready(service, now) for replica in self._replicas.values() if replica.primary
        )

    def _next_token_time(self, service: str, now: float) -> float | None:
        times = [
            replica.primary.next_token_time(service, now)
            for replica in self._replicas.values()
            if replica.primary
        ]
        return min((time for time in times if time is not None), default=None)

    async def _wait_for_commit(self, proposal: Proposal) -> bool:
        """Wait for the commit of a proposal; False if it is unknown in time."""
        if proposal.is_committed:
            return True
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        proposal.add_waiter(partial(_resolve, future))
        return await future

    async def _wait_for_primary(self, partition: int) -> PartitionPrimary | None:
        """Return the primary of a partition; wait a short time for a takeover to finish."""
        replica = self._replicas.get(partition)
        if replica is not None and replica.primary is not None:
            return replica.primary
        deadline = self._now() + SERVING_WAIT_S
        while replica is not None and replica.is_placed_primary and replica.epoch:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._serving_changed.wait()
            except TimeoutError:
                return None
            if replica.primary is not None:
                return replica.primary
        return None

    def _unavailable_status(self, partition: int) -> str:
        """Return the status to answer with while no primary serves here."""
        replica = self._replicas.get(partition)
        taking_over = replica is not None and replica.is_placed_primary and replica.epoch > 0
        return "unavailable" if taking_over else "not_primary"

    # Transitions of the primaries

    def _start_serving(self, replica: PartitionReplica) -> None:
        """Start the primary of a partition, after enough replicas have been compared."""
        now, wall_ms = self._now(), self._wall_ms()
        options = PrimaryOptions(self._state.configuration, self._lease_options)
        replica.primary = PartitionPrimary(replica.table, replica.epoch, options, now, wall_ms)
        replica.primary.release_dispatchers(self._may_be_alive, now, wall_ms)
        self._process_effects(replica)
        self.on_takeover_completed(replica)
        self._serving_changed.set()
        self._serving_changed = asyncio.Event()

    def _process_effects(self, replica: PartitionReplica) -> None:
        """Send proposals, wake waiting requests and set the timer, after any transition of a primary."""
        primary = replica.primary
        if primary is None:
            return
        if primary.outbox:
            proposals, primary.outbox = primary.outbox, []
            for proposal in proposals:
                self._replicator.propose(replica, proposal)
        if primary.queue.newly_ready_services:
            gained, primary.queue.newly_ready_services = primary.queue.newly_ready_services, set()
            for service in gained:
                self._waiters.wake(service)
        self._schedule_advance(primary.next_event_time())

    def _on_state_change(self, key: str) -> None:
        """Apply a change of the cluster's state."""
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
        """Return whether a dispatcher may still finish its leases.

        It may not once a later incarnation has started or it is considered dead.  A departing one finishes
        its deliveries itself.
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
            if now >= self._next_forget:
                self._next_forget = now + FORGET_INTERVAL_S
                self._forget(now)
            if now >= self._next_scrub:
                self._next_scrub = now + SCRUB_INTERVAL_S
                self._replicator.start_task(self._recovery.scrub())

    def _notice_pause(self, now: float) -> None:
        """Postpone leases after a pause of this process.

        Requests of lease holders may have arrived that are still unread, and another primary may serve now.
        """
        pause_s = self._pauses.tick(now)
        if not pause_s:
            return
        self._resumed_at = now
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


def _resolve(future: asyncio.Future[bool], committed: bool) -> None:  # noqa: FBT001  # as waiters are called
    if not future.done():
        future.set_result(committed)
