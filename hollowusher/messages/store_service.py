"""The store's service: the calls of the edge processes, answered from the primaries of this store.

It is the asyncio shell around `PartitionPrimary`: it lets time pass there, waits for commits, and holds lease
requests until jobs are ready.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from typing import Any, NamedTuple

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import (
    CONFIGURATION,
    MEMBER_PREFIX,
    PLACEMENT,
    ClusterState,
)
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.messages import records
from hollowusher.messages.job_waiters import JobWaiters
from hollowusher.messages.partition.active_messages import LeaseGrant
from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.replication.partition_replicator import PartitionReplicator
from hollowusher.messages.replication.replica_recovery import ReplicaRecovery
from hollowusher.messages.steady_wall_clock import SteadyWallClock
from hollowusher.messages.unacknowledged_grants import UnacknowledgedGrants
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
from hollowusher.storage.interface import Log, StorageError
from hollowusher.transport.interface import Transport

TICK_S = 0.25
MAX_STEP_S = TICK_S + 0.15  # a longer one: this process did not run
COMMIT_TIMEOUT_S = 3.0
LEASE_COMMIT_TIMEOUT_S = 1.0
SERVING_WAIT_S = 1.0  # how long a call waits for a takeover to finish
RECOVERY_INTERVAL_S = 0.5
FORGET_INTERVAL_S = 5.0
SCRUB_INTERVAL_S = 20.0
CONFIRMATION_MAX_AGE_S = (
    0.5  # a lease is extended, a state told, only if a quorum has followed within so long
)
DEAD_DISPATCHER_PAUSE_S = 0.3  # a dispatcher that may lease nothing is answered so much later
STOP_TIMEOUT_S = 4.0
STOP_POLL_S = 0.05
MAX_LOG_RESERVE_BYTES = 4 * 1024 * 1024  # new messages are refused before states lack room

UNAVAILABLE = LeaseUpdateResponse("unavailable")
GONE = LeaseUpdateResponse("gone")
ENDED_STATES = ("completed", "dead_letter")


class LocalGrant(NamedTuple):
    """A grant and the partition that made it."""

    replica: PartitionReplica
    grant: LeaseGrant


class StoreService:
    """All partitions of one store, as the other processes see them."""

    def __init__(
        self,
        me: Member,
        store_id: str,
        transport: Transport,
        log: Log,
        state: ClusterState,
        settings: BootSettings,
        random_source: Callable[[], float],
        wall_ms: Callable[[], int],
    ) -> None:
        self.me = me
        self.store_id = store_id
        self._log = log
        self._state = state
        self._visibility_ms = settings.bounds.visibility_ms
        self._random_source = random_source
        self._wall_ms = time_of_day = SteadyWallClock(wall_ms, self._now)
        self._log_reserve = min(MAX_LOG_RESERVE_BYTES, log.free_bytes() // 8)
        status_ms = int(settings.bounds.status_s * 1000)
        self._replicator = PartitionReplicator(
            store_id,
            transport,
            log,
            state,
            settings.fault_tolerance.machines,
            status_ms,
            time_of_day,
            me.incarnation,
        )
        self._recovery = ReplicaRecovery(self._replicator, random_source)
        self._replicator.on_primary_changed = self._process_effects
        self._replicator.on_takeover_ready = self._start_serving
        self._replicator.on_peers_behind = self._recovery.recover_all
        self._grants = UnacknowledgedGrants()
        self._waiters = JobWaiters(store_id, transport, state, self._has_ready)
        self._serving_changed = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._started = False
        self._pauses = PauseDetector(MAX_STEP_S)
        self._resumed_at = 0.0  # steady clock; the end of the last pause
        self._next_recover = self._next_forget = self._next_scrub = 0.0
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {
            PutRequest: self._put,
            LeaseRequest: self._lease,
            FinishLease: self._finish,
            ExtendLease: self._extend,
            MessageStatusRequest: self._status,
            ReplicateRequest: self._replicator.replicate,
            ReplicaSummary: self._replicator.answer_summary,
        }

    # Life

    async def start(self) -> None:
        """Read the log, and take up what the placement says."""
        self._replicator.replay()
        now = self._now()
        self._pauses.tick(now)
        self._resumed_at = now
        self._next_forget, self._next_scrub = now + FORGET_INTERVAL_S, now + SCRUB_INTERVAL_S
        self._started = True
        self._state.add_listener(self._on_state_change)
        self._replicator.apply_placement()
        self._replicator.start_task(self._tick())

    def handles(self, message: Any) -> bool:
        """Whether a message is for this service."""
        return type(message) in self._handlers

    async def handle(self, message: Any) -> Any:
        """Answer one message; KeyError for a type that is not for stores."""
        self._notice_pause(self._now())
        return await self._handlers[type(message)](message)

    async def stop(self) -> None:
        """Planned end: serve until the placement has moved all primaries away, and every replica that another
        store is copying; at most a few seconds."""
        deadline = self._now() + STOP_TIMEOUT_S
        while self._now() < deadline and any(replica.is_needed_here for replica in self._replicas.values()):
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
        """The partitions kept here, by number."""
        return [replica for _, replica in sorted(self._replicas.items())]

    @property
    def storage_error(self) -> StorageError | None:
        """Why the disk has failed, None while it works."""
        return self._replicator.storage_error

    @property
    def _replicas(self) -> dict[int, PartitionReplica]:
        return self._replicator.replicas

    # Calls of edge processes

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
        """The answer once it is certain: what was proposed is committed, and a lease is gone only if this
        was the primary still when it was asked about it."""
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
        answer = primary.status(key, request.want_body)
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
        """Whether an answer about a message may be given.  The bytes of a message never change, a committed
        end stands for ever; that a message has not ended needs a quorum that followed lately, that there is
        none one that follows now."""
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
        self._waiters.wake(service)  # what woke this one may be for another
        return LeaseResponse([])

    def _return_lost_grants(self, request: LeaseRequest) -> None:
        """The answer to an earlier request never came to its dispatcher, which begins nothing of it."""
        self._return_unrun(self._grants.take_lost(request))
        self._waiters.wake_all(request.service)

    def _return_unrun(self, leases: list[str]) -> None:
        now, wall_ms = self._now(), self._wall_ms()
        for name in leases:
            lease = records.parse_lease_id(name)
            replica = None if lease is None else self._replicas.get(lease.partition)
            if lease is None or replica is None or replica.primary is None:
                continue
            with suppress(StorageError):  # then the lease runs out
                replica.primary.finish(lease, FinishLease(name, "not_run"), now, wall_ms)
            self._process_effects(replica)

    def _can_lease(self, request: LeaseRequest) -> bool:
        """Whether a dispatcher gets leases: those of one that is judged dead would be dealt out again at the
        next change of any member.  Pull leases outlive their dispatcher."""
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
        """The jobs whose leases a quorum knows; the others are given back."""
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
        """A grant that does not go out; a call-back is offered again after a pause."""
        now, wall_ms = self._now(), self._wall_ms()
        lease = records.parse_lease_id(grant.job.lease)
        if lease is not None and lease.is_callback:
            primary.finish(lease, FinishLease(grant.job.lease, "not_run"), now, wall_ms)
        else:
            primary.cancel_grant(grant, now, wall_ms)
        self._process_effects(replica)

    async def _is_committed(self, replica: PartitionReplica, grant: LeaseGrant) -> bool:
        """Whether a quorum knows a lease; for one without a record (a call-back's), follows its primary."""
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
        """Wait until a quorum has the record; False where that is not known in time."""
        if proposal.is_committed:
            return True
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        proposal.add_waiter(partial(_resolve, future))
        return await future

    async def _wait_for_primary(self, partition: int) -> PartitionPrimary | None:
        """The primary of a partition; a call waits a little for a takeover to finish."""
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
        """The status to answer with where no primary serves here."""
        replica = self._replicas.get(partition)
        taking_over = replica is not None and replica.is_placed_primary and replica.epoch > 0
        return "unavailable" if taking_over else "not_primary"

    # Steps of the primaries

    def _start_serving(self, replica: PartitionReplica) -> None:
        """Enough replicas have been compared: serve."""
        now, wall_ms = self._now(), self._wall_ms()
        replica.primary = PartitionPrimary(
            replica.table,
            replica.epoch,
            self._state.configuration,
            self._visibility_ms,
            self._random_source,
            now,
            wall_ms,
        )
        replica.primary.release_dispatchers(self._may_be_alive, now, wall_ms)
        self._process_effects(replica)
        self._serving_changed.set()
        self._serving_changed = asyncio.Event()

    def _process_effects(self, replica: PartitionReplica) -> None:
        """After any step of a primary: send what it proposed, wake who waits, watch the clock."""
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
        """The cluster's state has changed."""
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
        """Whether a dispatcher may still end its leases: not after a later life has begun, nor once it was
        judged dead.  One that leaves ends its deliveries itself."""
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
                self._recovery.recover_all()
            if now >= self._next_forget:
                self._next_forget = now + FORGET_INTERVAL_S
                self._forget(now)
            if now >= self._next_scrub:
                self._next_scrub = now + SCRUB_INTERVAL_S
                self._replicator.start_task(self._recovery.scrub())

    def _notice_pause(self, now: float) -> None:
        """While this process did not run, words of lease holders may have come that are still unread, and
        another primary may have begun."""
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
        """Let time pass at the primaries when the next thing falls due."""
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


def _resolve(future: asyncio.Future[bool], committed: bool) -> None:
    if not future.done():
        future.set_result(committed)
