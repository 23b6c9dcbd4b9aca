"""Dispatch of one service's jobs to the destinations that the edge process owns."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

import attrs

from hollowusher.configuration.model import Route, Service
from hollowusher.delivery.lease_end_reporter import LeaseEndReporter
from hollowusher.delivery.lease_poller import JobDemand, LeasePoller, LeasingContext
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.delivery.outcome import DeliveryOutcome, WorkerFeedback
from hollowusher.delivery.worker_client import Endpoint, WorkerClient
from hollowusher.dispatch.worker_flow_control import WorkerFlowControl
from hollowusher.protocol.leases import FinishLease, LeasedJob
from hollowusher.protocol.messages import NewMessage

IDLE_SOURCE_TTL_S = 3.0  # polling of a store other than the home store ends this long after its last job
FREEZE_THRESHOLD_S = 1.0  # a timer that fires this late shows that the process was frozen
MAX_RECHECK_S = 0.5  # maximum interval between two checks of the queue, or of the demand
MIN_RECHECK_S = 0.02
MAX_WORKERS_PER_LEASE = 3  # maximum number of delivery attempts for one leased job
# A rejected job goes to another worker only if at least this much time is left until its start deadline.
MIN_TIME_TO_START_S = 0.03
# Feedback after which the dispatcher may offer the job to another worker.
RETRIABLE_FEEDBACK = (
    WorkerFeedback.FULL,
    WorkerFeedback.UNREACHABLE,
    WorkerFeedback.GONE,
)


@attrs.frozen
class OwnedDestination:
    """A destination that this process owns, as described by the worker list or the configuration."""

    key: str
    endpoint: Endpoint
    capacity: int = 0  # slots of the worker; 0 if unknown
    slow_start_until: float = 0.0  # end of the worker's warm-up, in event loop time


@attrs.define(eq=False)
class OwnedWorker:
    """A destination and its flow control.

    `is_draining` is set when this process no longer owns the destination; a draining worker gets no new
    jobs."""

    key: str
    endpoint: Endpoint
    control: WorkerFlowControl
    is_draining: bool = False


@attrs.define(eq=False)
class PendingJob:
    """A leased job that no worker has started.  `start_deadline` is in event loop time."""

    job: LeasedJob
    start_deadline: float
    attempted_workers: list[str] = attrs.Factory(list)  # keys of the workers to which it was sent


@attrs.frozen
class DispatchContext:
    """Dependencies that the dispatchers of all services share."""

    network: LeasingContext
    client: WorkerClient
    reporter: LeaseEndReporter
    metrics: DeliveryMetrics
    chance: random.Random
    route: Callable[[str], Route | None]  # looks up a route by name in the current configuration


class ServiceDispatcher:
    """Leases as many jobs of a service as its workers can take, and delivers them."""

    def __init__(self, service: Service, context: DispatchContext) -> None:
        self.service = service
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._workers: dict[str, OwnedWorker] = {}
        self._queue: deque[PendingJob] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._deliveries: set[asyncio.Task[None]] = set()
        self._stopping = False
        self._rotation = 0  # rotates the order of the workers, so that equally busy workers take turns
        demand = JobDemand(self.wanted_jobs, self.accept_jobs, self._release_jobs, self._recheck_s)
        self.leases = LeasePoller(service.name, context.network, demand, idle_source_ttl_s=IDLE_SOURCE_TTL_S)

    @property
    def is_idle(self) -> bool:
        """Whether the dispatcher has no workers, queued jobs, deliveries or lease requests."""
        return not (self._workers or self._queue or self._deliveries or self.leases.is_active)

    @property
    def deliveries(self) -> set[asyncio.Task[None]]:
        """The tasks of the deliveries in progress."""
        return self._deliveries

    def update(self, service: Service, destinations: list[OwnedDestination]) -> None:
        """Replace the service's settings and the set of owned destinations.

        Workers that are not in `destinations` are drained."""
        self.service = service
        now = self._loop.time()
        named = {destination.key for destination in destinations}
        for worker in list(self._workers.values()):
            if worker.key not in named:
                self._drain_worker(worker)
        for destination in destinations:
            self._add_worker(destination, now)
        if self._stopping:
            return
        if destinations:
            self.leases.refresh()
            self.dispatch_pending()
        else:
            self.leases.drop_homes()
            self._release_all()

    def wanted_jobs(self) -> int:
        """Return how many more jobs to lease: the jobs that the workers can take soon, less the queued jobs.

        The result may be negative."""
        now = self._loop.time()
        isolates_suspects = self._should_isolate_suspects()
        free_slots = sum(
            worker.control.jobs_allowed_soon(now, isolates_suspects) for worker in self._active_workers()
        )
        return free_slots - len(self._queue)

    def _recheck_s(self) -> float:
        """Return the seconds until the demand may grow without an event.

        The demand grows by time alone when a worker's pause ends or its next trial is due."""
        now = self._loop.time()
        isolates_suspects = self._should_isolate_suspects()
        resumes = [worker.control.resumes_at(now, isolates_suspects) for worker in self._active_workers()]
        return max(MIN_RECHECK_S, min([now + MAX_RECHECK_S, *resumes]) - now)

    def accept_jobs(self, jobs: list[LeasedJob]) -> None:
        """Queue leased jobs and dispatch them; release them all if there is no active worker."""
        if not self._active_workers():
            self._release_jobs(jobs)
            return
        now = self._loop.time()
        self._queue.extend(PendingJob(job, now + job.start_within_ms / 1000) for job in jobs)
        self.dispatch_pending()

    def dispatch_pending(self) -> None:
        """Send queued jobs to workers as far as flow control allows, and schedule the next check."""
        now = self._loop.time()
        self._check_freeze(now)
        self._release_expired(now)
        isolates_suspects, active = self._should_isolate_suspects(), self._active_workers()
        while self._queue:
            worker = self._choose_worker(self._queue[0], active, now, isolates_suspects)
            if worker is None:
                break
            self._start_delivery(worker, self._queue.popleft(), now)
        self._schedule_check(now)

    def stop(self) -> list[asyncio.Task[None]]:
        """Stop leasing and release the queued jobs; return the tasks of the lease requests in progress."""
        self._stopping = True
        requests = self.leases.stop()
        self._release_all()
        return requests

    def _add_worker(self, destination: OwnedDestination, now: float) -> None:
        worker = self._workers.get(destination.key)
        if worker is None:
            control = WorkerFlowControl(now, destination.capacity, phase=self._context.chance.random())
            worker = self._workers[destination.key] = OwnedWorker(
                destination.key, destination.endpoint, control
            )
        worker.endpoint = destination.endpoint
        worker.is_draining = False
        worker.control.update_listing(destination.capacity, destination.slow_start_until)
        worker.control.limit_slots(destination.endpoint.max_connections)

    def _drain_worker(self, worker: OwnedWorker) -> None:
        """Send no new jobs to the worker; its deliveries in progress continue."""
        worker.is_draining = True
        self._context.client.retire(worker.endpoint)
        if worker.control.in_flight == 0:
            del self._workers[worker.key]

    def _active_workers(self) -> list[OwnedWorker]:
        return [worker for worker in self._workers.values() if not worker.is_draining]

    def _should_isolate_suspects(self) -> bool:
        """Whether suspect workers get only trial jobs.

        False if more than half of the active workers are suspect: the cause is then probably not in the
        workers."""
        active = self._active_workers()
        return 2 * sum(worker.control.is_suspect for worker in active) <= len(active)

    def _choose_worker(
        self, pending: PendingJob, active: list[OwnedWorker], now: float, isolates_suspects: bool
    ) -> OwnedWorker | None:
        """Return the least busy worker that may take a job now, or None.

        A suspect worker goes before other workers, so that it gets its trial job.  A worker to which this job
        was already sent goes last."""
        ready = [worker for worker in active if worker.control.jobs_allowed(now, isolates_suspects) > 0]
        if not ready:
            return None
        if len(ready) == 1:
            return ready[0]
        self._rotation += 1
        ready = ready[self._rotation % len(ready) :] + ready[: self._rotation % len(ready)]
        return min(
            ready,
            key=lambda worker: (
                worker.key in pending.attempted_workers,
                not worker.control.is_suspect,
                worker.control.busy_share(),
            ),
        )

    def _start_delivery(self, worker: OwnedWorker, pending: PendingJob, now: float) -> None:
        message = pending.job.message
        route = self._context.route(message.route)
        if route is None:
            self._context.reporter.release(pending.job.lease)
            return
        pending.attempted_workers.append(worker.key)
        worker.control.record_sent(now, pending.job.lease)
        task = self._loop.create_task(self._deliver(worker, pending, delivery_timeout_s(route, message)))
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)

    async def _deliver(self, worker: OwnedWorker, pending: PendingJob, timeout_s: float) -> None:
        context, job = self._context, pending.job
        context.metrics.in_flight += 1
        outcome = DeliveryOutcome("unknown", WorkerFeedback.LOST)  # applies if this task is cancelled
        try:
            # The process may have been frozen since it chose the worker.
            if self._loop.time() > pending.start_deadline:
                outcome = DeliveryOutcome("not_run", WorkerFeedback.NEUTRAL)
            else:
                outcome = await context.client.deliver(worker.endpoint, job, timeout_s)
        finally:
            context.metrics.in_flight -= 1
            context.metrics.count(outcome.result)
            self._record_outcome(worker, job, outcome)
        if self._requeue(pending, outcome):
            return
        await context.reporter.report(
            FinishLease(job.lease, outcome.result, outcome.signature, outcome.retry_ms)
        )

    def _record_outcome(self, worker: OwnedWorker, job: LeasedJob, outcome: DeliveryOutcome) -> None:
        now = self._loop.time()
        jitter = self._context.chance.uniform(0.8, 1.2)
        feedback = outcome.feedback
        if feedback is WorkerFeedback.GONE and not worker.endpoint.instance_id:
            feedback = WorkerFeedback.FULL  # a fixed endpoint has no instance id that could mismatch
        if worker.control.record_feedback(now, job.lease, feedback, jitter):
            self._context.metrics.suspected += 1
        if worker.is_draining and worker.control.in_flight == 0:
            self._workers.pop(worker.key, None)
        self.leases.wake()
        if self._queue:
            self._loop.call_soon(self.dispatch_pending)

    def _requeue(self, pending: PendingJob, outcome: DeliveryOutcome) -> bool:
        """Queue a rejected job again for another worker; return whether it was queued.

        If the service has a rate ceiling, the job goes back to the store instead, because the store counts
        every job that it leases against the ceiling."""
        if outcome.result != "not_run" or outcome.feedback not in RETRIABLE_FEEDBACK or self._stopping:
            return False
        in_time = self._loop.time() < pending.start_deadline - MIN_TIME_TO_START_S
        if (
            not in_time
            or len(pending.attempted_workers) >= MAX_WORKERS_PER_LEASE
            or self.service.rate_per_s > 0
        ):
            return False
        self._context.metrics.requeued += 1
        self._queue.appendleft(pending)
        self.dispatch_pending()
        return True

    def _check_freeze(self, now: float) -> None:
        """Release all queued jobs if the timer is overdue by more than `FREEZE_THRESHOLD_S`.

        A timer always runs while jobs are queued.  If it is this late, the process was frozen and the leases
        of the queued jobs may have expired."""
        if self._timer is not None and now - self._timer_at > FREEZE_THRESHOLD_S:
            self._context.metrics.frozen += 1
            self._release_all()

    def _release_expired(self, now: float) -> None:
        late = [pending for pending in self._queue if pending.start_deadline <= now]
        for pending in late:
            self._queue.remove(pending)
            self._context.reporter.release(pending.job.lease)

    def _release_all(self) -> None:
        self._release_jobs([pending.job for pending in self._queue])
        self._queue.clear()

    def _release_jobs(self, jobs: list[LeasedJob]) -> None:
        for job in jobs:
            self._context.reporter.release(job.lease)

    def _schedule_check(self, now: float) -> None:
        """While jobs are queued, schedule the next dispatch.

        It runs at the next control period of a worker, at the earliest start deadline of a queued job, or
        after `MAX_RECHECK_S`, whichever comes first."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._queue:
            return
        isolates_suspects = self._should_isolate_suspects()
        check_times = [
            worker.control.next_check_at(now, isolates_suspects) for worker in self._active_workers()
        ]
        start_deadline = min(pending.start_deadline for pending in self._queue)
        self._timer_at = min([start_deadline, now + MAX_RECHECK_S, *check_times])
        self._timer = self._loop.call_at(self._timer_at, self.dispatch_pending)


def delivery_timeout_s(route: Route, leased: NewMessage) -> float:
    """Return the timeout of a delivery in seconds: that of the route, but no longer than the lease covers.

    The store that granted the lease may have another configuration than this process."""
    timeout_ms = min(route.timeout_ms, leased.timeout_ms or route.timeout_ms)
    return timeout_ms / 1000
