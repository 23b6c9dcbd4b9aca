"""Handlers of the lease requests of dispatchers: long polls for jobs, lease results and lease extensions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from hollowusher.messages import records
from hollowusher.messages.job_waiters import JobWaiters
from hollowusher.messages.partition.active_messages import LeaseGrant
from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.primary_access import PrimaryAccess
from hollowusher.messages.rate_limit_loans import RateLimitLoans
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.replication.partition_replicator import PartitionReplicator
from hollowusher.messages.unacknowledged_grants import UnacknowledgedGrants
from hollowusher.protocol.leases import (
    ExtendLease,
    FinishLease,
    LeasedJob,
    LeaseRequest,
    LeaseResponse,
    LeaseUpdateResponse,
)
from hollowusher.storage.interface import StorageError

DEAD_DISPATCHER_PAUSE_S = 0.3  # delay of the empty response to a dispatcher that may not lease jobs

UNAVAILABLE = LeaseUpdateResponse("unavailable")
GONE = LeaseUpdateResponse("gone")


class LocalGrant(NamedTuple):
    """A grant and the local replica whose primary made it."""

    replica: PartitionReplica
    grant: LeaseGrant


class LeaseService:
    """Grants, finishes and extends leases over all partitions that one store serves.

    `may_be_alive` takes the name and the incarnation of a dispatcher and returns whether it may still finish
    its leases.
    """

    def __init__(
        self,
        replicator: PartitionReplicator,
        access: PrimaryAccess,
        waiters: JobWaiters,
        loans: RateLimitLoans,
        may_be_alive: Callable[[str, int], bool],
    ) -> None:
        self._replicator = replicator
        self._access = access
        self._waiters = waiters
        self._loans = loans
        self._may_be_alive = may_be_alive
        self._wall_ms = replicator.wall_ms
        self._grants = UnacknowledgedGrants()
        self._is_stopped = False

    def stop(self) -> None:
        """Answer all waiting requests at once, and later requests without waiting."""
        self._is_stopped = True
        self._waiters.close()

    # Granting

    async def lease(self, request: LeaseRequest) -> LeaseResponse:
        """Return leases on ready jobs, or an empty response once the request's `wait_ms` have passed."""
        service = request.service
        requested_at = self._replicator.now()
        deadline = requested_at + request.wait_ms / 1000
        if request.lost:
            self._return_lost_grants(request)
        while request.most > 0 and not self._grants.is_abandoned(request):
            self._waiters.record_request(service, request.dispatcher)
            borrowed_tokens = await self._borrow_tokens(request, deadline)
            leased_after_ms = round((self._replicator.now() - requested_at) * 1000)
            jobs = await self._confirmed_jobs(self._lease_from_primaries(request, borrowed_tokens))
            if self._grants.is_abandoned(request):
                self._return_unrun([job.lease for job in jobs])
                break
            now = self._replicator.now()
            token_at = self._next_token_time(service, now)
            if jobs or now >= deadline or self._is_stopped:
                next_ms = 0 if token_at is None else max(1, round((token_at - now) * 1000))
                self._grants.record(request, jobs)
                return LeaseResponse(jobs, next_ms, leased_after_ms)
            if not self._can_lease(request):
                await asyncio.sleep(min(DEAD_DISPATCHER_PAUSE_S, deadline - now))
                return LeaseResponse([])
            await self._waiters.wait(service, deadline if token_at is None else min(deadline, token_at))
        self._waiters.wake(service)  # the wake-up may have been meant for another waiting request
        return LeaseResponse([])

    def _return_lost_grants(self, request: LeaseRequest) -> None:
        """Requeue the jobs of a response that the dispatcher has not received and so will not start."""
        self._return_unrun(self._grants.take_lost(request))
        self._waiters.wake_all(request.service)

    def _return_unrun(self, leases: list[str]) -> None:
        now, wall_ms = self._replicator.now(), self._wall_ms()
        for name in leases:
            lease = records.parse_lease_id(name)
            replica = None if lease is None else self._replicator.replicas.get(lease.partition)
            if lease is None or replica is None or replica.primary is None:
                continue
            with suppress(StorageError):  # on a disk error the job stays leased until the lease expires
                replica.primary.finish(lease, FinishLease(name, "not_run"), now, wall_ms)
            self._access.process_effects(replica)

    def _can_lease(self, request: LeaseRequest) -> bool:
        """Return whether the requesting dispatcher may lease jobs.

        A dispatcher that the cluster considers dead gets no push leases, because the primaries would requeue
        its jobs at the next change of any cluster member.  Pull leases outlive their dispatcher.
        """
        return request.pull or self._may_be_alive(request.dispatcher, request.incarnation)

    async def _borrow_tokens(self, request: LeaseRequest, deadline: float) -> int:
        """Return the number of jobs that may be leased although another primary enforces the rate limit."""
        needed = self._loans.needed_tokens(request.service)
        if not needed or not self._can_lease(request):
            return 0
        return await self._loans.borrow(request.service, min(request.most, needed), deadline)

    def _lease_from_primaries(self, request: LeaseRequest, borrowed_tokens: int) -> list[LocalGrant]:
        """Lease ready jobs from the primaries of this store, the most urgent job of all of them first."""
        outcome: list[LocalGrant] = []
        if not self._can_lease(request):
            return outcome
        candidates = [replica for replica in self._replicator.serving_replicas() if replica.primary]
        while len(outcome) < request.most:
            replica = _most_urgent(candidates, request.service)
            if replica is None:
                break
            grant = self._lease_one(replica, request, borrowed_tokens)
            if grant is None:
                candidates.remove(replica)
                continue
            outcome.append(LocalGrant(replica, grant))
            borrowed_tokens -= replica.primary is not None and replica.primary.must_borrow(request.service)
        self._waiters.wake(request.service)
        return outcome

    def _lease_one(
        self, replica: PartitionReplica, request: LeaseRequest, borrowed_tokens: int
    ) -> LeaseGrant | None:
        """Lease the first ready job of a primary; None if its rate limit or its disk does not permit it."""
        grants: list[LeaseGrant] = []
        if replica.primary is not None:
            with suppress(StorageError):
                now, wall_ms = self._replicator.now(), self._wall_ms()
                grants = replica.primary.lease(request, 1, now, wall_ms, borrowed_tokens)
            self._access.process_effects(replica)
        return grants[0] if grants else None

    async def _confirmed_jobs(self, outcome: list[LocalGrant]) -> list[LeasedJob]:
        """Return the jobs whose leases are committed, and cancel the other leases."""
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
        """Cancel a grant that was not sent; a call-back is requeued with a backoff."""
        now, wall_ms = self._replicator.now(), self._wall_ms()
        lease = records.parse_lease_id(grant.job.lease)
        if lease is not None and lease.is_callback:
            primary.finish(lease, FinishLease(grant.job.lease, "not_run"), now, wall_ms)
        else:
            primary.cancel_grant(grant, now, wall_ms)
        self._access.process_effects(replica)

    async def _is_committed(self, replica: PartitionReplica, grant: LeaseGrant) -> bool:
        """Return whether a grant may be sent.

        The lease of a message must be committed.  The lease of a call-back has no record; for that one, a
        quorum must still follow the primary.
        """
        if grant.proposal is not None:
            return await self._access.wait_for_commit(grant.proposal)
        return replica.primary is not None and await self._access.has_quorum(replica, replica.primary)

    async def finish(self, finish: FinishLease) -> LeaseUpdateResponse:
        """Finish a lease with the result that its holder reports."""
        lease = records.parse_lease_id(finish.lease)
        if lease is None:
            return GONE
        primary = await self._access.wait_for_primary(lease.partition)
        if primary is None:
            return LeaseUpdateResponse(self._access.unavailable_status(lease.partition))
        replica = self._replicator.replicas[lease.partition]
        try:
            outcome = primary.finish(lease, finish, self._replicator.now(), self._wall_ms())
        except StorageError:
            return UNAVAILABLE
        self._access.process_effects(replica)
        return await self._lease_answer(replica, primary, outcome)

    async def extend(self, extend: ExtendLease) -> LeaseUpdateResponse:
        """Extend a pull lease."""
        lease = records.parse_lease_id(extend.lease)
        if lease is None:
            return GONE
        primary = await self._access.wait_for_primary(lease.partition)
        if primary is None:
            return LeaseUpdateResponse(self._access.unavailable_status(lease.partition))
        replica = self._replicator.replicas[lease.partition]
        try:
            outcome = primary.extend(lease, self._replicator.now(), self._wall_ms())
        except StorageError:
            return UNAVAILABLE
        self._access.process_effects(replica)
        if not await self._access.has_quorum(replica, primary):
            return UNAVAILABLE
        return await self._lease_answer(replica, primary, outcome)

    async def _lease_answer(
        self, replica: PartitionReplica, primary: PartitionPrimary, outcome: Proposal | LeaseUpdateResponse
    ) -> LeaseUpdateResponse:
        """Return the response to a lease holder once this store may send it.

        A proposal must be committed first.  The response "gone" requires a confirmation by a quorum, made
        after the request arrived, that this store is still the primary.
        """
        if isinstance(outcome, Proposal):
            return (
                LeaseUpdateResponse("taken") if await self._access.wait_for_commit(outcome) else UNAVAILABLE
            )
        if outcome.status == GONE.status and not await self._access.has_quorum(
            replica, primary, from_now=True
        ):
            return UNAVAILABLE
        return outcome

    def _next_token_time(self, service: str, now: float) -> float | None:
        times = [
            replica.primary.next_token_time(service, now)
            for replica in self._replicator.replicas.values()
            if replica.primary
        ]
        return min((time for time in times if time is not None), default=None)


def _most_urgent(replicas: list[PartitionReplica], service: str) -> PartitionReplica | None:
    """Return the replica whose primary has the most urgent ready job of a service, or None without a job."""
    urgencies = [
        (urgency, number)
        for number, replica in enumerate(replicas)
        if replica.primary is not None and (urgency := replica.primary.urgency(service)) is not None
    ]
    return replicas[min(urgencies)[1]] if urgencies else None
