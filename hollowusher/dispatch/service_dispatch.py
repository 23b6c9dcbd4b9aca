"""Dispatch of one service's jobs to the destinations that this process owns."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

import attrs

from hollowusher.configuration.model import Route, Service
from hollowusher.delivery.figures import DeliveryFigures
from hollowusher.delivery.leasing import Demand, LeaseGroup, LeaseNetwork
from hollowusher.delivery.outcome import DeliveryOutcome, Ending
from hollowusher.delivery.reports import EndReporter
from hollowusher.delivery.worker_client import Endpoint, WorkerClient
from hollowusher.dispatch.worker_control import WorkerControl
from hollowusher.protocol.leases import FinishLease, LeasedJob

SOURCE_KEPT_S = 3.0  # a store that is not the home is asked for so long after its last job
FROZEN_S = 1.0  # a timer this late means that the process stood still
RECHECK_S = 0.5  # at most between two looks at the queue or at demand
RECHECK_LEAST_S = 0.02
MOST_TRIES = 3  # hand-overs of one lease to different workers that refuse it
NEAR_END_S = 0.03  # a refused job is offered to another worker if so much of its time to begin is left
NOT_RUN = (Ending.FULL, Ending.UNREACHABLE, Ending.GONE)  # after which another worker may take the job


@attrs.frozen
class WorkerSpec:
    """A destination that is owned now, as the list or the configuration describes it."""

    key: str
    endpoint: Endpoint
    capacity: int = 0  # 0: not told
    warm_at: float = 0.0  # until when it is slow, in the loop's time


@attrs.define(eq=False)
class OwnedWorker:
    """A destination and its controller.  One that is not owned or listed any more gets nothing new."""

    key: str
    endpoint: Endpoint
    control: WorkerControl
    leaving: bool = False


@attrs.define(eq=False)
class WaitingJob:
    """A leased job that has not been begun."""

    job: LeasedJob
    begin_by: float
    refused_by: list[str] = attrs.Factory(list)  # the workers that it was handed to, by key


@attrs.frozen
class DispatchContext:
    """What every service's dispatch shares."""

    network: LeaseNetwork
    client: WorkerClient
    reporter: EndReporter
    figures: DeliveryFigures
    chance: random.Random
    route: Callable[[str], Route | None]  # the route of a name in the configuration of now


class ServiceDispatch:
    """Leases jobs of a service, as many as its workers may take, and hands them over."""

    def __init__(self, service: Service, context: DispatchContext) -> None:
        self.service = service
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._workers: dict[str, OwnedWorker] = {}
        self._queue: deque[WaitingJob] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._deliveries: set[asyncio.Task[None]] = set()
        self._stopping = False
        self._turn = 0  # so that equally busy workers take turns
        demand = Demand(self.wanted, self.take, self._give_back_jobs, self._recheck_s)
        self.leases = LeaseGroup(service.name, context.network, demand, keep_empty_s=SOURCE_KEPT_S)

    @property
    def idle(self) -> bool:
        """Whether nothing is left here: no worker, no job, no request."""
        return not (self._workers or self._queue or self._deliveries or self.leases.active)

    @property
    def deliveries(self) -> set[asyncio.Task[None]]:
        """The deliveries under way."""
        return self._deliveries

    def update(self, service: Service, specs: list[WorkerSpec]) -> None:
        """Follow the configuration and the list: these destinations are owned now."""
        self.service = service
        now = self._loop.time()
        named = {spec.key for spec in specs}
        for worker in list(self._workers.values()):
            if worker.key not in named:
                self._release(worker)
        for spec in specs:
            self._own(spec, now)
        if self._stopping:
            return
        if specs:
            self.leases.refresh()
            self.pump()
        else:
            self.leases.leave()
            self._give_back_all()

    def wanted(self) -> int:
        """How many more jobs are worth leasing now."""
        now = self._loop.time()
        isolate = self._isolate()
        room = sum(worker.control.soon(now, isolate) for worker in self._taking())
        return room - len(self._queue)

    def _recheck_s(self) -> float:
        """How long demand cannot grow but by an event: until a worker's pause or wait for a trial is over."""
        now = self._loop.time()
        isolate = self._isolate()
        resumes = [worker.control.resumes_at(now, isolate) for worker in self._taking()]
        return max(RECHECK_LEAST_S, min([now + RECHECK_S, *resumes]) - now)

    def take(self, jobs: list[LeasedJob]) -> None:
        """Leased jobs join the queue."""
        if not self._taking():
            self._give_back_jobs(jobs)
            return
        now = self._loop.time()
        self._queue.extend(WaitingJob(job, now + job.start_within_ms / 1000) for job in jobs)
        self.pump()

    def pump(self) -> None:
        """Hand queued jobs over as the controllers allow, and look again when they may allow more."""
        now = self._loop.time()
        self._check_freeze(now)
        self._give_back_late(now)
        isolate, taking = self._isolate(), self._taking()
        while self._queue:
            worker = self._choose(self._queue[0], taking, now, isolate)
            if worker is None:
                break
            self._hand_over(worker, self._queue.popleft(), now)
        self._arm(now)

    def stop(self) -> list[asyncio.Task[None]]:
        """Lease and begin nothing more; the lease requests still out."""
        self._stopping = True
        requests = self.leases.stop()
        self._give_back_all()
        return requests

    def _own(self, spec: WorkerSpec, now: float) -> None:
        worker = self._workers.get(spec.key)
        if worker is None:
            control = WorkerControl(now, spec.capacity, phase=self._context.chance.random())
            worker = self._workers[spec.key] = OwnedWorker(spec.key, spec.endpoint, control)
        worker.endpoint = spec.endpoint
        worker.leaving = False
        worker.control.told(spec.capacity, spec.warm_at)
        worker.control.bounded(spec.endpoint.max_connections)

    def _release(self, worker: OwnedWorker) -> None:
        """Nothing new goes to it; what is under way there goes on."""
        worker.leaving = True
        self._context.client.forget(worker.endpoint)
        if worker.control.out == 0:
            del self._workers[worker.key]

    def _taking(self) -> list[OwnedWorker]:
        return [worker for worker in self._workers.values() if not worker.leaving]

    def _isolate(self) -> bool:
        """Whether suspect workers only get trials: not where most look bad, as the cause is likely not
        theirs."""
        taking = self._taking()
        return 2 * sum(worker.control.suspect for worker in taking) <= len(taking)

    def _choose(
        self, waiting: WaitingJob, taking: list[OwnedWorker], now: float, isolate: bool
    ) -> OwnedWorker | None:
        """The least busy worker that may have a job now; one due for a trial goes first, one that has refused
        this job last."""
        ready = [worker for worker in taking if worker.control.allowed(now, isolate) > 0]
        if not ready:
            return None
        if len(ready) == 1:
            return ready[0]
        self._turn += 1
        ready = ready[self._turn % len(ready) :] + ready[: self._turn % len(ready)]
        return min(
            ready,
            key=lambda worker: (
                worker.key in waiting.refused_by,
                not worker.control.suspect,
                worker.control.busy_share(),
            ),
        )

    def _hand_over(self, worker: OwnedWorker, waiting: WaitingJob, now: float) -> None:
        message = waiting.job.message
        route = self._context.route(message.route)
        if route is None:
            self._context.reporter.give_back(waiting.job.lease)
            return
        waiting.refused_by.append(worker.key)
        worker.control.handed(now, waiting.job.lease)
        task = self._loop.create_task(self._deliver(worker, waiting, route.timeout_ms / 1000))
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)

    async def _deliver(self, worker: OwnedWorker, waiting: WaitingJob, timeout_s: float) -> None:
        context, job = self._context, waiting.job
        context.figures.in_flight += 1
        outcome = DeliveryOutcome("unknown", Ending.LOST)  # where the delivery is broken off
        try:
            if self._loop.time() > waiting.begin_by:  # this process stood still since the job was handed over
                outcome = DeliveryOutcome("not_run", Ending.NEUTRAL)
            else:
                outcome = await context.client.deliver(worker.endpoint, job, timeout_s)
        finally:
            context.figures.in_flight -= 1
            context.figures.count(outcome.result)
            self._ended(worker, job, outcome)
        if self._offer_again(waiting, outcome):
            return
        await context.reporter.report(
            FinishLease(job.lease, outcome.result, outcome.signature, outcome.retry_ms)
        )

    def _ended(self, worker: OwnedWorker, job: LeasedJob, outcome: DeliveryOutcome) -> None:
        now = self._loop.time()
        jitter = self._context.chance.uniform(0.8, 1.2)
        ending = outcome.ending
        if ending is Ending.GONE and not worker.endpoint.instance:
            ending = Ending.FULL  # a fixed endpoint has no id that could be another's
        if worker.control.ended(now, job.lease, ending, jitter):
            self._context.figures.suspected += 1
        if worker.leaving and worker.control.out == 0:
            self._workers.pop(worker.key, None)
        self.leases.wake()
        if self._queue:
            self._loop.call_soon(self.pump)

    def _offer_again(self, waiting: WaitingJob, outcome: DeliveryOutcome) -> bool:
        """Whether a refused job stays here for another worker.  Under a rate ceiling it goes back: the store
        counts what is sent."""
        if outcome.result != "not_run" or outcome.ending not in NOT_RUN or self._stopping:
            return False
        in_time = self._loop.time() < waiting.begin_by - NEAR_END_S
        if not in_time or len(waiting.refused_by) >= MOST_TRIES or self.service.rate_per_s > 0:
            return False
        self._context.figures.requeued += 1
        self._queue.appendleft(waiting)
        self.pump()
        return True

    def _check_freeze(self, now: float) -> None:
        """A job in hand always has a timer: one that is this late means that its lease may be old."""
        if self._timer is not None and now - self._timer_at > FROZEN_S:
            self._context.figures.frozen += 1
            self._give_back_all()

    def _give_back_late(self, now: float) -> None:
        late = [waiting for waiting in self._queue if waiting.begin_by <= now]
        for waiting in late:
            self._queue.remove(waiting)
            self._context.reporter.give_back(waiting.job.lease)

    def _give_back_all(self) -> None:
        self._give_back_jobs([waiting.job for waiting in self._queue])
        self._queue.clear()

    def _give_back_jobs(self, jobs: list[LeasedJob]) -> None:
        for job in jobs:
            self._context.reporter.give_back(job.lease)

    def _arm(self, now: float) -> None:
        """While jobs wait, look again at the next t_d timer or when the first must be given back."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._queue:
            return
        isolate = self._isolate()
        looks = [worker.control.next_look(now, isolate) for worker in self._taking()]
        begin_by = min(waiting.begin_by for waiting in self._queue)
        self._timer_at = min([begin_by, now + RECHECK_S, *looks])
        self._timer = self._loop.call_at(self._timer_at, self.pump)
