"""Leasing of jobs for the pull calls of workers that wait at this process."""

from __future__ import annotations

import asyncio
import math
from collections import deque

import attrs

from hollowusher.coordination.cluster_state import MEMBER_PREFIX, PLACEMENT
from hollowusher.delivery.lease_end_reporter import LeaseEndReporter
from hollowusher.delivery.lease_poller import JobDemand, LeasePoller, LeasingContext
from hollowusher.protocol.leases import JobsWaiting, LeasedJob

IDLE_SOURCE_TTL_S = 3.0
UNCLAIMED_JOB_TTL_S = 0.15  # how long a job without a waiting call is kept for the next call


@attrs.define(eq=False)
class _UnclaimedJob:
    """A leased job for which no call waits; it is kept until `until` (event loop time)."""

    job: LeasedJob
    until: float
    timer: asyncio.TimerHandle


@attrs.define(eq=False)
class _ServiceCalls:
    """The waiting pull calls of one service, in order of arrival, and its unclaimed jobs."""

    leases: LeasePoller
    calls: deque[asyncio.Future[LeasedJob | None]] = attrs.Factory(deque)
    unclaimed: deque[_UnclaimedJob] = attrs.Factory(deque)


class LeasingPullDispatcher:
    """A `PullDispatcher` that leases as many jobs as pull calls wait.

    `visibility_ms` is the duration of the leases after a worker's last call, in milliseconds."""

    def __init__(self, context: LeasingContext, reporter: LeaseEndReporter, visibility_ms: int) -> None:
        self._context = context
        self._reporter = reporter
        self._visibility_ms = visibility_ms
        self._services: dict[str, _ServiceCalls] = {}
        self._assigned: dict[str, float] = {}  # lease of an assigned job -> deadline for returning it
        self._stopping = False
        context.state.add_listener(self._on_state_change)

    async def pull(self, service: str, instance: str, wait_s: float) -> LeasedJob | None:
        """Return a leased job for one free slot of a worker, or None if none arrives in `wait_s` seconds."""
        if self._stopping:
            return None
        service_calls = self._service_calls(service)
        job = self._pop_unclaimed(service_calls)
        if job is not None or wait_s <= 0:
            return job
        loop = asyncio.get_running_loop()
        call: asyncio.Future[LeasedJob | None] = loop.create_future()
        service_calls.calls.append(call)
        timer = loop.call_later(wait_s, _complete_without_job, call)
        service_calls.leases.refresh()
        try:
            return self._accept(await call)
        except asyncio.CancelledError:
            self._return_job(service_calls, call)
            raise
        finally:
            timer.cancel()
            if call in service_calls.calls:
                service_calls.calls.remove(call)

    def _accept(self, job: LeasedJob | None) -> LeasedJob | None:
        """Return the job assigned to a call, or release it and return None if the process was frozen.

        After a freeze, the lease of the job may have expired."""
        if job is None:
            return None
        until = self._assigned.pop(job.lease, math.inf)
        if asyncio.get_running_loop().time() <= until:
            return job
        self._context.metrics.pulled -= 1
        self._release_jobs([job])
        return None

    def handle(self, waiting: JobsWaiting) -> None:
        """Start leasing from a store that has jobs of a service waiting, if pull calls wait for them here."""
        service_calls = self._services.get(waiting.service)
        if service_calls is not None and service_calls.calls and not self._stopping:
            service_calls.leases.add_store(waiting.store)

    def stop(self) -> list[asyncio.Task[None]]:
        """End all calls without a job and release the unclaimed jobs.

        Returns the tasks of the lease requests in progress."""
        self._stopping = True
        requests: list[asyncio.Task[None]] = []
        for service_calls in self._services.values():
            requests += service_calls.leases.stop()
            for call in service_calls.calls:
                _complete_without_job(call)
            while service_calls.unclaimed:
                self._expire_unclaimed(service_calls)
        return requests

    def _service_calls(self, service: str) -> _ServiceCalls:
        service_calls = self._services.get(service)
        if service_calls is None:
            demand = JobDemand(
                lambda: self._wanted_jobs(service),
                lambda jobs: self._accept_jobs(service, jobs),
                self._release_jobs,
                lambda: None,
            )
            leases = LeasePoller(
                service,
                self._context,
                demand,
                idle_source_ttl_s=IDLE_SOURCE_TTL_S,
                visibility_ms=self._visibility_ms,
            )
            service_calls = self._services[service] = _ServiceCalls(leases)
        return service_calls

    def _wanted_jobs(self, service: str) -> int:
        service_calls = self._services[service]
        return sum(not call.done() for call in service_calls.calls) - len(service_calls.unclaimed)

    def _accept_jobs(self, service: str, jobs: list[LeasedJob]) -> None:
        service_calls = self._services[service]
        until = asyncio.get_running_loop().time() + UNCLAIMED_JOB_TTL_S
        for job in jobs:
            self._offer(service_calls, job, until)

    def _offer(self, service_calls: _ServiceCalls, job: LeasedJob, until: float) -> None:
        """Assign a job to the call that has waited longest; without a waiting call, keep it unclaimed.

        The worker must get the job by `until` (event loop time), well before the lease expires."""
        loop = asyncio.get_running_loop()
        if until < loop.time():
            self._release_jobs([job])
            return
        while service_calls.calls:
            call = service_calls.calls.popleft()
            if not call.done():
                call.set_result(job)
                self._assigned[job.lease] = until
                self._context.metrics.pulled += 1
                return
        if self._stopping:
            self._release_jobs([job])
            return
        timer = loop.call_at(until, self._expire_unclaimed, service_calls)
        service_calls.unclaimed.append(_UnclaimedJob(job, until, timer))

    def _pop_unclaimed(self, service_calls: _ServiceCalls) -> LeasedJob | None:
        while (
            service_calls.unclaimed and service_calls.unclaimed[0].until < asyncio.get_running_loop().time()
        ):
            self._expire_unclaimed(service_calls)
        if not service_calls.unclaimed:
            return None
        unclaimed = service_calls.unclaimed.popleft()
        unclaimed.timer.cancel()
        self._context.metrics.pulled += 1
        return unclaimed.job

    def _return_job(self, service_calls: _ServiceCalls, call: asyncio.Future[LeasedJob | None]) -> None:
        """Offer the job of a cancelled call, if it was already assigned one, to the next call."""
        if call.done() and not call.cancelled():
            job = call.result()
            if job is not None:
                until = self._assigned.pop(job.lease, math.inf)
                self._context.metrics.pulled -= 1
                self._offer(service_calls, job, until)

    def _expire_unclaimed(self, service_calls: _ServiceCalls) -> None:
        """Release the oldest unclaimed job: unclaimed jobs expire in order of arrival."""
        unclaimed = service_calls.unclaimed.popleft()
        unclaimed.timer.cancel()
        self._release_jobs([unclaimed.job])

    def _release_jobs(self, jobs: list[LeasedJob]) -> None:
        for job in jobs:
            self._reporter.release(job.lease)

    def _on_state_change(self, key: str) -> None:
        if key == PLACEMENT or key.startswith(MEMBER_PREFIX):
            for service_calls in self._services.values():
                if service_calls.calls:
                    service_calls.leases.refresh()


def _complete_without_job(call: asyncio.Future[LeasedJob | None]) -> None:
    if not call.done():
        call.set_result(None)
