"""A worker that takes deliveries: one of the listed ones, or a fixed endpoint."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from hollowusher.simulation.actor_context import (
    ATTEMPT,
    NOT_EXECUTED,
    SIGNATURE,
    ActorContext,
    WorkerBehaviour,
    draw_outcome,
)
from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.http_network import HttpExchange, HttpResponse, UnresponsiveServerError
from hollowusher.simulation.observations import DeliveryArrival, WorkerRun


class IdempotencyTable:
    """The ids that the workers of an idempotent service share: "" while running, else the first success."""

    def __init__(self) -> None:
        self.known: dict[str, str] = {}


@dataclass(frozen=True)
class PushWorkerOptions:
    """What distinguishes one worker from others of its kind."""

    service: str
    name: str
    address: str
    capacity: int  # requests at a time
    behaviour: WorkerBehaviour = field(default_factory=WorkerBehaviour)
    table: IdempotencyTable | None = None  # None: the service is not idempotent
    rate_per_s: float = 0.0  # 0: no rate limit


class SimulatedPushWorker:
    """One incarnation of a worker that is pushed to: listed, or a fixed endpoint with a rate limit."""

    process = None

    def __init__(self, context: ActorContext, options: PushWorkerOptions) -> None:
        self.context = context
        self.service = options.service
        self.name = options.name
        self.address = options.address
        self.capacity = options.capacity
        self.behaviour = options.behaviour
        self.alive = True
        self.slow = 1.0
        self.draining = False
        self._table = options.table
        self._rate = options.rate_per_s
        self._busy = 0
        self._queued = 0
        self._slots = asyncio.Semaphore(options.capacity)
        self._allowance = options.rate_per_s
        self._allowed_at = context.now()
        self._last_answer: HttpResponse | None = None

    def start(self) -> None:
        """Listen."""
        self.context.http.network.power_on(host_of(self.address))
        self.context.http.listen(self.address, self)

    def crash(self) -> None:
        """End at once."""
        self.alive = False
        self.context.http.stop_listening(self.address)
        self.context.http.server_ended(self, host_of(self.address))

    async def serve(self, exchange: HttpExchange) -> HttpResponse | None:
        """Take a delivery."""
        request = exchange.request
        identifier = request.header(ATTEMPT)
        target = request.header("X-Target-Instance")
        if target and target != self.name:
            return HttpResponse(421, {ATTEMPT: identifier})
        if request.method == "GET":
            return HttpResponse(200, {"X-Instance-Id": self.name})
        if self._rate:
            self.context.observations.arrivals.append(
                DeliveryArrival(self.service, identifier, self.context.now())
            )
            if not self._within_rate():
                return self._not_run(429, identifier)
        if self._busy + self._queued >= self.capacity + 2:
            return self._not_run(503, identifier)
        if self._table is not None and identifier in self._table.known:
            return self._repeat(identifier)
        return await self._work(exchange, identifier, self.context.now())

    def _within_rate(self) -> bool:
        now = self.context.now()
        self._allowance = min(self._allowance + (now - self._allowed_at) * self._rate, 2 * self._rate)
        self._allowed_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _not_run(self, status: int, identifier: str) -> HttpResponse:
        return HttpResponse(status, {NOT_EXECUTED: "1", ATTEMPT: identifier})

    def _repeat(self, identifier: str) -> HttpResponse:
        assert self._table is not None
        stamp = self._table.known[identifier]
        if not stamp:
            return self._not_run(409, identifier)
        return HttpResponse(200, {ATTEMPT: identifier, SIGNATURE: stamp})

    async def _work(self, exchange: HttpExchange, identifier: str, arrived_at: float) -> HttpResponse | None:
        self._queued += 1
        await self._slots.acquire()
        self._queued -= 1
        self._busy += 1
        try:
            if exchange.closed.is_set() or not self.alive:
                return None
            if self._table is not None:
                if identifier in self._table.known:
                    return self._repeat(identifier)
                self._table.known[identifier] = ""
            return await self._run(exchange, identifier, arrived_at)
        finally:
            self._busy -= 1
            self._slots.release()
            if self._table is not None and self._table.known.get(identifier) == "":
                del self._table.known[identifier]

    async def _run(self, exchange: HttpExchange, identifier: str, arrived_at: float) -> HttpResponse | None:
        context, random_source, behaviour = self.context, self.context.random_source, self.behaviour
        run = WorkerRun(identifier, self.service, self.name, context.now(), exchange.request.body)
        run.ordering_key = exchange.request.header("X-Ordering-Key")
        run.arrived_at = arrived_at
        context.observations.runs.append(run)
        await asyncio.sleep(random_source.uniform(*behaviour.work_s) * self.slow)
        if not self.alive or exchange.closed.is_set() or random_source.random() < behaviour.reset_share:
            run.result = "broken"
            return None
        status = draw_outcome(context, behaviour, run)
        if self._table is not None and run.signature:
            self._table.known[run.id] = run.signature
        run.ended_at = context.now()
        headers = {ATTEMPT: identifier}
        if status == 200:
            headers[SIGNATURE] = run.signature
        drawn = random_source.random()
        if drawn > 1 - behaviour.garbled_share and self._last_answer is not None:
            return self._last_answer  # of another message
        exchange.on_read = lambda: setattr(run, "read_at", context.now())
        self._last_answer = HttpResponse(status, headers)
        if drawn < behaviour.lost_answer_share:
            return None
        if drawn < behaviour.lost_answer_share + behaviour.silent_share:
            raise UnresponsiveServerError
        return HttpResponse(status, headers)
