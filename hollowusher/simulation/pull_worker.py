"""A worker that asks the edge machines for jobs, one loop for each of its slots."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from hollowusher.simulation.actor_context import (
    ATTEMPT,
    SIGNATURE,
    ActorContext,
    WorkerBehaviour,
    draw_outcome,
)
from hollowusher.simulation.http_network import HttpExchangeError, HttpRequest, HttpResponse
from hollowusher.simulation.observations import AcceptedLeaseEnd, RepeatedLeaseEnd, WorkerRun

EMPTY_PULL_PAUSE_S = 0.02
END_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class PullWorkerOptions:
    """What distinguishes one worker from others of its kind."""

    service: str
    name: str
    host: str
    slots: int  # jobs at a time
    visibility_s: float  # a lease lapses after this unless it is extended
    behaviour: WorkerBehaviour = field(default_factory=WorkerBehaviour)


class SimulatedPullWorker:
    """A worker that asks an edge machine for jobs, one loop for each slot."""

    def __init__(
        self, context: ActorContext, options: PullWorkerOptions, choose_edge: Callable[[], str]
    ) -> None:
        self.context = context
        self.service = options.service
        self.name = options.name
        self.host = options.host
        self.behaviour = options.behaviour
        self.alive = True
        self.slow = 1.0
        self._slots = options.slots
        self._choose_edge = choose_edge
        self._visibility_s = options.visibility_s
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to pull."""
        self.context.http.network.power_on(self.host)
        self._tasks = [asyncio.get_running_loop().create_task(self._slot()) for _ in range(self._slots)]

    def crash(self) -> None:
        """End at once; its runs are broken off."""
        self.alive = False
        for task in self._tasks:
            task.cancel()

    async def _call(self, target: str, headers: dict[str, str], timeout_s: float) -> HttpResponse | None:
        address = self._choose_edge()
        request = HttpRequest("POST", target, headers)
        try:
            return await self.context.http.exchange(self.host, address, request, timeout_s)
        except HttpExchangeError:
            return None

    async def _slot(self) -> None:
        while self.alive:
            headers = {"X-Instance-Id": self.name, "X-Wait-Ms": "1000", "Host": "pull.example"}
            answer = await self._call(f"/pull/{self.service}", headers, 2.0)
            if answer is None or answer.status != 200:
                await asyncio.sleep(EMPTY_PULL_PAUSE_S if answer is not None else 0.2)
                continue
            await self._work(answer)

    async def _work(self, job: HttpResponse) -> None:
        context, behaviour, random_source = self.context, self.behaviour, self.context.random_source
        identifier, lease = job.header(ATTEMPT), job.header("X-Lease-Id")
        if random_source.random() < 0.02:
            await self._end(identifier, lease, 503, "")
            return
        run = WorkerRun(identifier, self.service, self.name, context.now(), job.body)
        context.observations.runs.append(run)
        extender = asyncio.get_running_loop().create_task(self._extend(identifier, lease))
        try:
            await asyncio.sleep(random_source.uniform(*behaviour.work_s) * self.slow)
            if random_source.random() < behaviour.reset_share:
                run.result = "broken"
                return
            status = draw_outcome(context, behaviour, run)
            run.ended_at = context.now()
        finally:
            extender.cancel()
            if not run.result:
                run.result = "broken"
        if await self._end(identifier, lease, status, run.signature):
            run.read_at = context.now()

    async def _extend(self, identifier: str, lease: str) -> None:
        while True:
            await asyncio.sleep(self._visibility_s / 3)
            await self._call(f"/job-extend/{identifier}", {"X-Lease-Id": lease, "Host": "pull.example"}, 1.0)

    async def _end(self, identifier: str, lease: str, status: int, signature: str) -> bool:
        headers = {"X-Lease-Id": lease, "X-Job-Result": str(status), "Host": "pull.example"}
        if signature:
            headers[SIGNATURE] = signature
        for _ in range(40):
            answer = await self._call(f"/job-end/{identifier}", headers, END_TIMEOUT_S)
            if answer is not None and answer.status in (200, 409):
                if answer.status == 200:
                    seen = AcceptedLeaseEnd(identifier, lease, status, self.context.now())
                    self.context.observations.lease_ends.append(seen)
                    await self._repeat_end(identifier, lease, headers)
                return answer.status == 200
            await asyncio.sleep(0.25)
        return False

    async def _repeat_end(self, identifier: str, lease: str, headers: dict[str, str]) -> None:
        if self.context.random_source.random() >= self.behaviour.repeated_end_share:
            return
        answer = await self._call(f"/job-end/{identifier}", headers, END_TIMEOUT_S)
        status = None if answer is None else answer.status
        self.context.observations.repeated_ends.append(
            RepeatedLeaseEnd(identifier, lease, status, self.context.now())
        )
