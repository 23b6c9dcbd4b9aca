"""Dispatch of one service's jobs to the destinations that this process owns."""

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

IDLE_SOURCE_TTL_S = 3.0  # a store that is not the home is asked for so long after its last job
FREEZE_THRESHOLD_S = 1.0  # a timer this late means that the process stood still
MAX_RECHECK_S = 0.5  # at most between two looks at the queue or at demand
MIN_RECHECK_S = 0.02
MAX_WORKERS_PER_LEASE = 3  # hand-overs of one lease to different workers that refuse it
MIN_TIME_TO_START_S = (
    0.03  # a refused job is offered to another worker if so much of its time to begin is left
)
RETRIABLE_FEEDBACK = (
    WorkerFeedback.FULL,
    WorkerFeedback.UNREACHABLE,
    WorkerFeedback.GONE,
)  # after which another worker may take the job


@attrs.frozen
class OwnedDestination:
    """A destination that is owned now, as the list or the configuration describes it."""

    key: str
    endpoint: Endpoint
    capacity: int = 0  # 0: not told
    slow_start_until: float = 0.0  # until when it is slow, in the loop's time


@attrs.define(eq=False)
class OwnedWorker:
    """A destination and its controller.  One that is not owned or listed any more gets nothing new."""

    key: str
    endpoint: Endpoint
    control: WorkerFlowControl
    is_draining: bool = False


@attrs.define(eq=False)
class PendingJob:
    """A leased job that has not been begun."""

    job: LeasedJob
    start_deadline: float
    attempted_workers: list[str] = attrs.Factory(list)  # the workers that it was handed to, by key


@attrs.frozen
class DispatchContext:
    """What every service's dispatch shares."""

    network: LeasingContext
    client: WorkerClient
    reporter: LeaseEndReporter
    metrics: DeliveryMetrics
    chance: random.Random
    route: Callable[[str], Route | None]  # the route of a name in the configuration of now


class ServiceDispatcher:
    """Leases jobs of a service, as many as its workers may take, and hands them over."""

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
        self._rotation = 0  # so that equally busy workers take turns
        demand = JobDemand(self.wanted_jobs, self.accept_jobs, self._release_jobs, self._recheck_s)
        self.leases = LeasePoller(service.name, context.network, demand, idle_source_ttl_s=IDLE_SOURCE_TTL_S)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left here: no worker, no job, no request."""
        return not (self._workers or self._queue or self._deliveries or self.leases.is_active)

    @property
    def deliveries(self) -> set[asyncio.Task[None]]:
        """The deliveries under way."""
        return self._deliveries

    def update(self, service: Service, destinations: list[OwnedDestination]) -> None:
        """Follow the configuration and the list: these destinations are owned now."""
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
            self.leases.drop_home()
            self._release_all()

    def wanted_jobs(self) -> int:
        """How many more jobs are worth leasing now."""
        now = self._loop.time()
        isolates_suspects = self._isolates_suspects()
        free_slots = sum(
            worker.control.jobs_allowed_soon(now, isolates_suspects) for worker in self._active_workers()
        )
        return free_slots - len(self._queue)

    def _recheck_s(self) -> float:
        """How long demand cannot grow but by an event: until a worker's pause or wait for a trial is over."""
        now = self._loop.time()
        isolates_suspects = self._isolates_suspects()
        resumes = [worker.control.resumes_at(now, isolates_suspects) for worker in self._active_workers()]
        return max(MIN_RECHECK_S, min([now + MAX_RECHECK_S, *resumes]) - now)

    def accept_jobs(self, jobs: list[LeasedJob]) -> None:
        """Leased jobs join the queue."""
        if not self._active_workers():
            self._release_jobs(jobs)
            return
        now = self._loop.time()
        self._queue.extend(PendingJob(job, now + job.start_within_ms / 1000) for job in jobs)
        self.dispatch_pending()

    def dispatch_pending(self) -> None:
        """Hand queued jobs over as the controllers allow, and look again when they may allow more."""
        now = self._loop.time()
        self._check_freeze(now)
        self._release_expired(now)
        isolates_suspects, active = self._isolates_suspects(), self._active_workers()
        while self._queue:
            worker = self._choose(self._queue[0], active, now, isolates_suspects)
            if worker is None:
                break
            self._send(worker, self._queue.popleft(), now)
        self._schedule_check(now)

    def stop(self) -> list[asyncio.Task[None]]:
        """Lease and begin nothing more; the lease requests still out."""
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
        """Nothing new goes to it; what is under way there goes on."""
        worker.is_draining = True
        self._context.client.retire(worker.endpoint)
        if worker.control.in_flight == 0:
            del self._workers[worker.key]

    def _active_workers(self) -> list[OwnedWorker]:
        return [worker for worker in self._workers.values() if not worker.is_draining]

    def _isolates_suspects(self) -> bool:
        """Whether suspect workers only get trials: not where most look bad, as the cause is likely not
        theirs."""
        active = self._active_workers()
        return 2 * sum(worker.control.is_suspect for worker in active) <= len(active)

    def _choose(
        self, pending: PendingJob, active: list[OwnedWorker], now: float, isolates_suspects: bool
    ) -> OwnedWorker | None:
        """The least busy worker that may have a job now; one due for a trial goes first, one that has refused
        this job last."""
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

    def _send(self, worker: OwnedWorker, pending: PendingJob, now: float) -> None:
        message = pending.job.message
        route = self._context.route(message.route)
        if route is None:
            self._context.reporter.release(pending.job.lease)
            return
        pending.attempted_workers.append(worker.key)
        worker.control.record_sent(now, pending.job.lease)
        task = self._loop.create_task(self._deliver(worker, pending, route.timeout_ms / 1000))
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)

    async def _deliver(self, worker: OwnedWorker, pending: PendingJob, timeout_s: float) -> None:
        context, job = self._context, pending.job
        context.metrics.in_flight += 1
        outcome = DeliveryOutcome("unknown", WorkerFeedback.LOST)  # where the delivery is broken off
        try:
            if (
                self._loop.time() > pending.start_deadline
            ):  # this process stood still since the job was handed over
                outcome = DeliveryOutcome("not_run", WorkerFeedback.NEUTRAL)
            else:
                outcome = await context.client.deliver(worker.endpoint, job, timeout_s)
        finally:
            context.metrics.in_flight -= 1
            context.metrics.count(outcome.result)
            self._ended(worker, job, outcome)
        if self._requeue(pending, outcome):
            return
        await context.reporter.report(
            FinishLease(job.lease, outcome.result, outcome.signature, outcome.retry_ms)
        )

    def _ended(self, worker: OwnedWorker, job: LeasedJob, outcome: DeliveryOutcome) -> None:
        now = self._loop.time()
        jitter = self._context.chance.uniform(0.8, 1.2)
        feedback = outcome.feedback
        if feedback is WorkerFeedback.GONE and not worker.endpoint.instance_id:
            feedback = WorkerFeedback.FULL  # a fixed endpoint has no id that could be another's
        if worker.control.record_feedback(now, job.lease, feedback, jitter):
            self._context.metrics.suspected += 1
        if worker.is_draining and worker.control.in_flight == 0:
            self._workers.pop(worker.key, None)
        self.leases.wake()
        if self._queue:
            self._loop.call_soon(self.dispatch_pending)

    def _requeue(self, pending: PendingJob, outcome: DeliveryOutcome) -> bool:
        """Whether a refused job stays here for another worker.  Under a rate ceiling it goes back: the store
        counts what is sent."""
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
        """A job in hand always has a timer: one that is this late means that its lease may be old."""
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
        """While jobs wait, look again at the next t_d timer or when the first must be given back."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._queue:
            return
        isolates_suspects = self._isolates_suspects()
        check_times = [
            worker.control.next_check_at(now, isolates_suspects) for worker in self._active_workers()
        ]
        start_deadline = min(pending.start_deadline for pending in self._queue)
        self._timer_at = min([start_deadline, now + MAX_RECHECK_S, *check_times])
        self._timer = self._loop.call_at(self._timer_at, self.dispatch_pending)
