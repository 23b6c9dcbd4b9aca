"""Call-backs: POSTs that tell a receiver how its message ended, over few connections."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol
from urllib.parse import urlsplit

import attrs
import orjson

from hollowusher.delivery.connection_pool import ConnectionPool
from hollowusher.delivery.http_connection import ExchangeError
from hollowusher.delivery.lease_end_reporter import LeaseEndReporter
from hollowusher.delivery.lease_poller import JobDemand, LeasePoller, LeasingContext
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.protocol.leases import FinishLease, JobsWaiting, LeasedJob

MAX_CONNECTIONS = 4  # of one receiver: they accept few
RESPONSE_TIMEOUT_S = 3.0
IDLE_SOURCE_TTL_S = 10.0
DEFAULT_PORT = 80
FIRST_BACKOFF_S = 0.1  # after a failure the receiver rests, doubled with each further one
MAX_BACKOFF_S = 1.0
RECHECK_S = 0.25
START_WITHIN_S = 5.0  # a leased call-back is begun by then, well before its lease runs out, or given back


class CallbackClient(Protocol):
    """Sends call-backs to one receiver."""

    async def post(self, job: LeasedJob) -> str:
        """Tell the end; the result for `FinishLease`."""

    def close(self) -> None:
        """End all connections."""


class HttpCallbackClient:
    """Call-backs over real connections."""

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address, MAX_CONNECTIONS)

    async def post(self, job: LeasedJob) -> str:
        """Tell the end; only a 200 means that it was heard."""
        deadline = asyncio.get_running_loop().time() + RESPONSE_TIMEOUT_S
        try:
            answer = await self._pool.exchange(
                encode_callback_request(job), lambda answer: True, deadline, True
            )
        except ExchangeError:
            return "unknown"
        return "success" if answer.status == 200 else "failed"

    def close(self) -> None:
        """End all connections."""
        self._pool.close()


def encode_callback_request(job: LeasedJob) -> bytes:
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
class _PendingCallback:
    """A leased call-back that has not been begun; `start_deadline` in the loop's time."""

    job: LeasedJob
    start_deadline: float


@attrs.define(eq=False)
class _Receiver:
    """One receiver: its lease requests, the jobs in hand and the posts under way."""

    leases: LeasePoller
    client: CallbackClient
    queue: deque[_PendingCallback] = attrs.Factory(deque)
    posts: set[asyncio.Task[None]] = attrs.Factory(set)
    failures: int = 0
    backoff_until: float = 0.0


class CallbackDelivery:
    """Leases the call-backs owed to receivers that this process owns, and sends them."""

    def __init__(
        self,
        context: LeasingContext,
        reporter: LeaseEndReporter,
        owns: Callable[[str], bool],
        client_of: Callable[[str], CallbackClient] = HttpCallbackClient,
    ) -> None:
        self._context = context
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
        receiver.leases.add_store(waiting.store)

    def stop(self) -> list[asyncio.Task[None]]:
        """Lease nothing more; what is still under way."""
        self._stopping = True
        waiting: list[asyncio.Task[None]] = []
        for receiver in self._receivers.values():
            waiting += receiver.leases.stop()
            waiting += receiver.posts
            self._release_jobs([waiting.job for waiting in receiver.queue])
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
        demand = JobDemand(
            lambda: self._wanted_jobs(service),
            lambda jobs: self._accept_jobs(service, jobs),
            self._release_jobs,
            lambda: RECHECK_S,
        )
        leases = LeasePoller(
            service, self._context, demand, idle_source_ttl_s=IDLE_SOURCE_TTL_S, has_home=False
        )
        return _Receiver(leases, self._client_of(address))

    def _wanted_jobs(self, service: str) -> int:
        self._forget_idle(service)
        receiver = self._receivers.get(service)
        if receiver is None or not self._owns(service):
            return 0
        if asyncio.get_running_loop().time() < receiver.backoff_until:
            return 0
        return MAX_CONNECTIONS - len(receiver.posts) - len(receiver.queue)

    def _forget_idle(self, service: str) -> None:
        """Receivers that nothing has been asked for lately are forgotten with their connections."""
        for name, receiver in list(self._receivers.items()):
            if name != service and not (receiver.leases.is_active or receiver.posts or receiver.queue):
                receiver.client.close()
                del self._receivers[name]

    def _accept_jobs(self, service: str, jobs: list[LeasedJob]) -> None:
        receiver = self._receivers.get(service)
        if receiver is None:
            self._release_jobs(jobs)
            return
        start_deadline = asyncio.get_running_loop().time() + START_WITHIN_S
        receiver.queue.extend(_PendingCallback(job, start_deadline) for job in jobs)
        self._send_pending(receiver)

    def _send_pending(self, receiver: _Receiver) -> None:
        loop = asyncio.get_running_loop()
        while receiver.queue and len(receiver.posts) < MAX_CONNECTIONS and not self._stopping:
            waiting = receiver.queue.popleft()
            if waiting.start_deadline < loop.time():
                self._release_jobs([waiting.job])
                continue
            task = loop.create_task(self._post(receiver, waiting))
            receiver.posts.add(task)
            task.add_done_callback(lambda done: self._posted(receiver, done))

    def _posted(self, receiver: _Receiver, task: asyncio.Task[None]) -> None:
        receiver.posts.discard(task)
        self._send_pending(receiver)
        receiver.leases.wake()

    async def _post(self, receiver: _Receiver, waiting: _PendingCallback) -> None:
        metrics: DeliveryMetrics = self._context.metrics
        job = waiting.job
        if waiting.start_deadline < asyncio.get_running_loop().time():  # this process stood still meanwhile
            self._release_jobs([job])
            return
        result = await receiver.client.post(job)
        if result == "success":
            metrics.callbacks_accepted += 1
            receiver.failures = 0
        else:
            metrics.callbacks_failed += 1
            pause = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(receiver.failures, 8))
            receiver.failures += 1
            receiver.backoff_until = asyncio.get_running_loop().time() + pause
        self._reporter.report_in_background(FinishLease(job.lease, result))

    def _release_jobs(self, jobs: list[LeasedJob]) -> None:
        for job in jobs:
            self._reporter.release(job.lease)
