"""The outside: workers that are pushed to, fixed endpoints, pull workers, and receivers of call-backs."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import orjson

from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.http_network import (
    HttpExchange,
    HttpExchangeError,
    HttpNetwork,
    HttpRequest,
    HttpResponse,
    UnresponsiveServerError,
)
from hollowusher.simulation.observations import (
    AcceptedLeaseEnd,
    DeliveryArrival,
    Observations,
    ReceivedCallback,
    RepeatedLeaseEnd,
    WorkerRun,
)

NOT_EXECUTED = "X-Not-Executed"
ATTEMPT = "X-Attempt-Id"
SIGNATURE = "X-Server-Signature"
POISON = b"poison"
ALWAYS_FAILS = b"always-fails"
EMPTY_PULL_PAUSE_S = 0.02
END_TIMEOUT_S = 1.0


@dataclass
class WorkerBehaviour:
    """How workers of a service act.  Shares are of the runs."""

    work_s: tuple[float, float] = (0.02, 0.2)
    failed_share: float = 0.05
    lost_answer_share: float = 0.02  # ran, but the connection breaks in place of the answer
    silent_share: float = 0.005  # ran, and nothing is ever heard
    reset_share: float = 0.01  # broken off under work
    garbled_share: float = 0.01  # ran, and the answer is another message's, or lacks its stamp
    repeated_end_share: float = 0.05  # of the job ends that were taken: sent again at once


class SignatureSource:
    """Signatures, each given once."""

    def __init__(self) -> None:
        self._given = 0

    def next(self) -> str:
        """A new signature."""
        self._given += 1
        return f"{self._given:x}.stamp"


class IdempotencyTable:
    """The ids that the workers of an idempotent service share: "" while running, else the first success."""

    def __init__(self) -> None:
        self.known: dict[str, str] = {}


@dataclass
class ActorContext:
    """What all actors need."""

    http: HttpNetwork
    observations: Observations
    signatures: SignatureSource
    random_source: random.Random

    def now(self) -> float:
        """The virtual time."""
        return self.http.network.loop.time()


class SimulatedPushWorker:
    """One incarnation of a worker that is pushed to: listed, or a fixed endpoint with a rate limit."""

    process = None

    def __init__(
        self,
        context: ActorContext,
        service: str,
        name: str,
        address: str,
        capacity: int,
        behaviour: WorkerBehaviour,
        table: IdempotencyTable | None = None,
        rate: float = 0.0,
    ) -> None:
        self.context = context
        self.service = service
        self.name = name
        self.address = address
        self.capacity = capacity
        self.behaviour = behaviour
        self.alive = True
        self.slow = 1.0
        self.draining = False
        self._table = table
        self._rate = rate
        self._busy = 0
        self._queued = 0
        self._slots = asyncio.Semaphore(capacity)
        self._allowance = rate
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
        return await self._work(exchange, identifier)

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

    async def _work(self, exchange: HttpExchange, identifier: str) -> HttpResponse | None:
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
            return await self._run(exchange, identifier)
        finally:
            self._busy -= 1
            self._slots.release()
            if self._table is not None and self._table.known.get(identifier) == "":
                del self._table.known[identifier]

    async def _run(self, exchange: HttpExchange, identifier: str) -> HttpResponse | None:
        context, random_source, behaviour = self.context, self.context.random_source, self.behaviour
        run = WorkerRun(identifier, self.service, self.name, context.now(), exchange.request.body)
        run.ordering_key = exchange.request.header("X-Ordering-Key")
        context.observations.runs.append(run)
        await asyncio.sleep(random_source.uniform(*behaviour.work_s) * self.slow)
        if not self.alive or exchange.closed.is_set() or random_source.random() < behaviour.reset_share:
            run.result = "broken"
            return None
        status = self._outcome(run)
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

    def _outcome(self, run: WorkerRun) -> int:
        if run.body.startswith(POISON):
            run.result = "refused"
            return 422
        if (
            run.body.startswith(ALWAYS_FAILS)
            or self.context.random_source.random() < self.behaviour.failed_share
        ):
            run.result = "failed"
            return 500
        run.result, run.signature = "success", self.context.signatures.next()
        if self._table is not None:
            self._table.known[run.id] = run.signature
        return 200


class SimulatedPullWorker:
    """A worker that asks for jobs through the entry, a loop for each slot."""

    def __init__(
        self,
        context: ActorContext,
        service: str,
        name: str,
        host: str,
        slots: int,
        behaviour: WorkerBehaviour,
        choose_edge: object,
        visibility_s: float,
    ) -> None:
        self.context = context
        self.service = service
        self.name = name
        self.host = host
        self.behaviour = behaviour
        self.alive = True
        self.slow = 1.0
        self._slots = slots
        self._choose_edge = choose_edge
        self._visibility_s = visibility_s
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

    async def _call(self, target: str, headers: dict[str, str], timeout: float) -> HttpResponse | None:
        address = self._choose_edge()  # type: ignore[operator]
        request = HttpRequest("POST", target, headers)
        try:
            return await self.context.http.exchange(self.host, address, request, timeout)
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
            status = self._outcome(run)
            run.ended_at = context.now()
        finally:
            extender.cancel()
            if not run.result:
                run.result = "broken"
        if await self._end(identifier, lease, status, run.signature):
            run.read_at = context.now()

    def _outcome(self, run: WorkerRun) -> int:
        if run.body.startswith(POISON):
            run.result = "refused"
            return 422
        if (
            run.body.startswith(ALWAYS_FAILS)
            or self.context.random_source.random() < self.behaviour.failed_share
        ):
            run.result = "failed"
            return 500
        run.result, run.signature = "success", self.context.signatures.next()
        return 200

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


class SimulatedCallbackReceiver:
    """A receiver of call-backs: few at a time, sometimes slow or failing."""

    process = None

    def __init__(self, context: ActorContext, address: str, most: int = 4) -> None:
        self.context = context
        self.address = address
        self.failing = False
        self._most = most
        self._busy = 0

    def start(self) -> None:
        """Listen."""
        self.context.http.network.power_on(host_of(self.address))
        self.context.http.listen(self.address, self)

    async def serve(self, exchange: HttpExchange) -> HttpResponse | None:
        """Take a call-back."""
        request, random_source = exchange.request, self.context.random_source
        if self._busy >= self._most:
            return None
        self._busy += 1
        try:
            await asyncio.sleep(random_source.uniform(0.002, 0.05))
        finally:
            self._busy -= 1
        callback = orjson.loads(request.body)
        status = 503 if self.failing or random_source.random() < 0.05 else 200
        url = f"http://{self.address}{request.target}"
        call = ReceivedCallback(
            callback.get("id", ""),
            url,
            callback.get("state", ""),
            callback.get("signature", ""),
            self.context.now(),
            status,
        )
        self.context.observations.callbacks.append(call)
        if random_source.random() < 0.02:
            return None
        return HttpResponse(status)
