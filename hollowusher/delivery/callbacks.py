"""Call-backs: POSTs that tell a receiver how its message ended, over few connections."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol
from urllib.parse import urlsplit

import attrs
import orjson

from hollowusher.delivery.connection import ExchangeError
from hollowusher.delivery.figures import DeliveryFigures
from hollowusher.delivery.leasing import Demand, LeaseGroup, LeaseNetwork
from hollowusher.delivery.pool import ConnectionPool
from hollowusher.delivery.reports import EndReporter
from hollowusher.protocol.leases import FinishLease, JobsWaiting, LeasedJob

MOST_CONNECTIONS = 4  # of one receiver: they accept few
TIMEOUT_S = 3.0
SOURCE_KEPT_S = 10.0
DEFAULT_PORT = 80
PAUSE_S = 0.1  # after a failure the receiver rests, doubled with each further one
LONGEST_PAUSE_S = 1.0
RECHECK_S = 0.25
BEGIN_WITHIN_S = 5.0  # a leased call-back is begun by then, well before its lease runs out, or given back


class CallbackClient(Protocol):
    """Sends call-backs to one receiver."""

    async def post(self, job: LeasedJob) -> str:
        """Tell the end; the result for `FinishLease`."""

    def close(self) -> None:
        """End all connections."""


class HttpCallbackClient:
    """Call-backs over real connections."""

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address, MOST_CONNECTIONS)

    async def post(self, job: LeasedJob) -> str:
        """Tell the end; only a 200 means that it was heard."""
        deadline = asyncio.get_running_loop().time() + TIMEOUT_S
        try:
            answer = await self._pool.exchange(callback_request(job), lambda answer: True, deadline, True)
        except ExchangeError:
            return "unknown"
        return "success" if answer.status == 200 else "failed"

    def close(self) -> None:
        """End all connections."""
        self._pool.close()


def callback_request(job: LeasedJob) -> bytes:
    """Head and body of a call-back."""
    parts = urlsplit(job.message.callback_url)
    path = parts.path or "/"
    if parts.query:
        path += f"?{parts.query}"
    content = {"id": job.message.id, "state": job.state, "signature": job.signature or None}
    body = orjson.dumps(content)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {parts.netloc}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("utf-8", "surrogateescape") + body


@attrs.frozen
class _WaitingCallback:
    """A leased call-back that has not been begun; `begin_by` in the loop's time."""

    job: LeasedJob
    begin_by: float


@attrs.define(eq=False)
class _Receiver:
    """One receiver: its lease requests, the jobs in hand and the posts under way."""

    leases: LeaseGroup
    client: CallbackClient
    queue: deque[_WaitingCallback] = attrs.Factory(deque)
    posts: set[asyncio.Task[None]] = attrs.Factory(set)
    failures: int = 0
    rest_until: float = 0.0


class CallbackDelivery:
    """Leases the call-backs owed to receivers that this process owns, and sends them."""

    def __init__(
        self,
        network: LeaseNetwork,
        reporter: EndReporter,
        owns: Callable[[str], bool],
        client_of: Callable[[str], CallbackClient] = HttpCallbackClient,
    ) -> None:
        self._network = network
        self._reporter = reporter
        self._owns = owns
        self._client_of = client_of
        self._receivers: dict[str, _Receiver] = {}
        self._stopping = False

    def handle(self, waiting: JobsWaiting) -> None:
        """Call-backs wait at a store."""
        if self._stopping or not self._owns(waiting.service):
            return
        receiver = self._receivers.get(waiting.service)
        if receiver is None:
            receiver = self._receivers[waiting.service] = self._open(waiting.service)
        receiver.leases.add(waiting.store)

    def stop(self) -> list[asyncio.Task[None]]:
        """Lease nothing more; what is still under way."""
        self._stopping = True
        waiting: list[asyncio.Task[None]] = []
        for receiver in self._receivers.values():
            waiting += receiver.leases.stop()
            waiting += receiver.posts
            self._give_back([waiting.job for waiting in receiver.queue])
            receiver.queue.clear()
        return waiting

    async def close(self) -> None:
        """End all connections."""
        for receiver in self._receivers.values():
            receiver.client.close()

    def _open(self, service: str) -> _Receiver:
        address = service.partition(":")[2]
        if ":" not in address:
            address = f"{address}:{DEFAULT_PORT}"
        demand = Demand(
            lambda: self._wanted(service),
            lambda jobs: self._take(service, jobs),
            self._give_back,
            lambda: RECHECK_S,
        )
        leases = LeaseGroup(service, self._network, demand, keep_empty_s=SOURCE_KEPT_S, has_home=False)
        return _Receiver(leases, self._client_of(address))

    def _wanted(self, service: str) -> int:
        self._forget_idle(service)
        receiver = self._receivers.get(service)
        if receiver is None or not self._owns(service):
            return 0
        if asyncio.get_running_loop().time() < receiver.rest_until:
            return 0
        return MOST_CONNECTIONS - len(receiver.posts) - len(receiver.queue)

    def _forget_idle(self, service: str) -> None:
        """Receivers that nothing has been asked for lately are forgotten with their connections."""
        for name, receiver in list(self._receivers.items()):
            if name != service and not (receiver.leases.active or receiver.posts or receiver.queue):
                receiver.client.close()
                del self._receivers[name]

    def _take(self, service: str, jobs: list[LeasedJob]) -> None:
        receiver = self._receivers.get(service)
        if receiver is None:
            self._give_back(jobs)
            return
        begin_by = asyncio.get_running_loop().time() + BEGIN_WITHIN_S
        receiver.queue.extend(_WaitingCallback(job, begin_by) for job in jobs)
        self._pump(receiver)

    def _pump(self, receiver: _Receiver) -> None:
        loop = asyncio.get_running_loop()
        while receiver.queue and len(receiver.posts) < MOST_CONNECTIONS and not self._stopping:
            waiting = receiver.queue.popleft()
            if waiting.begin_by < loop.time():
                self._give_back([waiting.job])
                continue
            task = loop.create_task(self._post(receiver, waiting))
            receiver.posts.add(task)
            task.add_done_callback(lambda done: self._posted(receiver, done))

    def _posted(self, receiver: _Receiver, task: asyncio.Task[None]) -> None:
        receiver.posts.discard(task)
        self._pump(receiver)
        receiver.leases.wake()

    async def _post(self, receiver: _Receiver, waiting: _WaitingCallback) -> None:
        figures: DeliveryFigures = self._network.figures
        job = waiting.job
        if waiting.begin_by < asyncio.get_running_loop().time():  # this process stood still meanwhile
            self._give_back([job])
            return
        result = await receiver.client.post(job)
        if result == "success":
            figures.callbacks_accepted += 1
            receiver.failures = 0
        else:
            figures.callbacks_failed += 1
            pause = min(LONGEST_PAUSE_S, PAUSE_S * 2 ** min(receiver.failures, 8))
            receiver.failures += 1
            receiver.rest_until = asyncio.get_running_loop().time() + pause
        self._reporter.report_later(FinishLease(job.lease, result))

    def _give_back(self, jobs: list[LeasedJob]) -> None:
        for job in jobs:
            self._reporter.give_back(job.lease)
