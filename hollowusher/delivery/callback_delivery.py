"""Callback delivery: POST requests that report the final state of a message to its receiver."""

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
from hollowusher.transport.fair_queue import FairQueue

MAX_CONNECTIONS = 4  # per receiver; receivers accept only a few connections
MIN_CONNECTIONS_OF_ALL = 8
DEFAULT_CONNECTIONS_OF_ALL = 256
FORGET_INTERVAL_S = 0.5
MAX_PROVEN = 1024  # receivers
RESPONSE_TIMEOUT_S = 3.0
IDLE_SOURCE_TTL_S = 10.0
DEFAULT_PORT = 80
FIRST_BACKOFF_S = 0.1  # pause of a receiver after a failure; doubles with each consecutive failure
MAX_BACKOFF_S = 1.0
RECHECK_S = 0.25
START_WITHIN_S = 5.0  # a callback not started this long after its lease is released, well before expiry


def max_callback_connections(max_fds: int) -> int:
    """Return how many connections to receivers a process may have, of `max_fds` descriptors."""
    return max(MIN_CONNECTIONS_OF_ALL, max_fds // 16)


class CallbackClient(Protocol):
    """Sends callbacks to one receiver."""

    async def post(self, job: LeasedJob) -> str:
        """Send the callback and return the result for `FinishLease`."""

    def close(self) -> None:
        """Close all connections."""


class HttpCallbackClient:
    """A `CallbackClient` over HTTP/1.1, with at most `MAX_CONNECTIONS` connections."""

    def __init__(self, address: str, clients: HttpCallbackClients) -> None:
        self.pool = ConnectionPool(address, MAX_CONNECTIONS, clients.parse_queue)
        self._clients = clients

    async def post(self, job: LeasedJob) -> str:
        """Send the callback; return "success" only if the receiver responds with status 200."""
        deadline = asyncio.get_running_loop().time() + RESPONSE_TIMEOUT_S
        self._clients.make_room(self)
        try:
            response = await self.pool.exchange(
                encode_callback_request(job), lambda response: True, deadline, True
            )
        except ExchangeError:
            return "unknown"
        return "success" if response.status == 200 else "failed"

    def close(self) -> None:
        """Close all connections."""
        self._clients.forget(self)
        self.pool.close()


class HttpCallbackClients:
    """The clients of all receivers, with at most `max_connections` connections that are open.

    They parse their responses in turn."""

    def __init__(self, max_connections: int) -> None:
        self.parse_queue = FairQueue.on_running_loop()
        self._max_connections = max_connections
        self._clients: dict[HttpCallbackClient, None] = {}  # the one that was used last comes last

    def open(self, address: str) -> HttpCallbackClient:
        """Return a client of the receiver at an address ("ip:port")."""
        return HttpCallbackClient(address, self)

    def forget(self, client: HttpCallbackClient) -> None:
        """Remove a client that is being closed."""
        self._clients.pop(client, None)

    def make_room(self, client: HttpCallbackClient) -> None:
        """Close idle connections of other receivers if `client` could not open another one."""
        self._clients.pop(client, None)
        self._clients[client] = None
        open_count = sum(each.pool.open_count for each in self._clients)
        for each in list(self._clients):
            if open_count < self._max_connections:
                return
            if each is client:
                continue
            open_count -= each.pool.open_count
            each.pool.close_idle()
            open_count += each.pool.open_count
            if not each.pool.open_count:
                del self._clients[each]


def encode_callback_request(job: LeasedJob) -> bytes:
    """Return the head and the body of a callback's HTTP request."""
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
    """A leased callback that has not been sent.  `start_deadline` is in event loop time."""

    job: LeasedJob
    start_deadline: float


@attrs.define(eq=False)
class _Receiver:
    """One receiver: its lease requests, its queued callbacks and its POST requests in progress."""

    service: str
    leases: LeasePoller
    client: CallbackClient
    queue: deque[_PendingCallback] = attrs.Factory(deque)
    posts: set[asyncio.Task[None]] = attrs.Factory(set)
    failures: int = 0
    backoff_until: float = 0.0


class CallbackDelivery:
    """Leases and sends the callbacks for the receivers that this process owns.

    `owns` returns whether the process owns a receiver, given by its service name.  `client_of` creates the
    client for a receiver's address.  Callers name the receivers, so there may be many that do not answer: at
    most `max_connections` callbacks are sent at a time, and half as many to unproven receivers, which are
    those that have not accepted the last callback."""

    def __init__(
        self,
        context: LeasingContext,
        reporter: LeaseEndReporter,
        owns: Callable[[str], bool],
        client_of: Callable[[str], CallbackClient] | None = None,
        max_connections: int = DEFAULT_CONNECTIONS_OF_ALL,
    ) -> None:
        self._context = context
        self._reporter = reporter
        self._owns = owns
        self._client_of = client_of or HttpCallbackClients(max_connections).open
        self._max_posts = max_connections
        self._posts = 0  # of all receivers
        self._unproven_posts = 0
        self._proven: dict[str, None] = {}  # services of receivers that accepted the last callback
        self._blocked: dict[_Receiver, None] = {}  # those with queued callbacks that wait for others to end
        self._receivers: dict[str, _Receiver] = {}
        self._next_search = 0.0  # for idle receivers, in event loop time
        self._stopping = False

    def handle(self, waiting: JobsWaiting) -> None:
        """Start leasing from a store that has callbacks waiting, if this process owns the receiver."""
        if self._stopping or not self._owns(waiting.service):
            return
        receiver = self._receivers.get(waiting.service)
        if receiver is None:
            receiver = self._receivers[waiting.service] = self._open(waiting.service)
        receiver.leases.add_store(waiting.store)

    def stop(self) -> list[asyncio.Task[None]]:
        """Stop leasing and release the queued callbacks; return the tasks that are still running."""
        self._stopping = True
        tasks: list[asyncio.Task[None]] = []
        for receiver in self._receivers.values():
            tasks += receiver.leases.stop()
            tasks += receiver.posts
            self._release_jobs([pending.job for pending in receiver.queue])
            receiver.queue.clear()
        return tasks

    async def close(self) -> None:
        """Close all connections."""
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
        return _Receiver(service, leases, self._client_of(address))

    def _wanted_jobs(self, service: str) -> int:
        self._forget_idle(service)
        receiver = self._receivers.get(service)
        if receiver is None or not self._owns(service):
            return 0
        if asyncio.get_running_loop().time() < receiver.backoff_until or not self._may_post(receiver):
            return 0
        return MAX_CONNECTIONS - len(receiver.posts) - len(receiver.queue)

    def _forget_idle(self, service: str) -> None:
        """Remove and close the idle receivers other than `service`.

        A receiver is idle if no store is polled for it and it has no POST in progress or queued callback."""
        now = asyncio.get_running_loop().time()
        if now < self._next_search:
            return
        self._next_search = now + FORGET_INTERVAL_S
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

    def _may_post(self, receiver: _Receiver) -> bool:
        """Return whether one more callback may be sent; half of all are kept for proven receivers.

        Unproven ones get more than one connection only while few of them are called."""
        if receiver.service in self._proven:
            return self._posts < self._max_posts
        limit = self._max_posts // 4 if receiver.posts else self._max_posts // 2
        return self._unproven_posts < limit

    def _send_pending(self, receiver: _Receiver) -> None:
        loop = asyncio.get_running_loop()
        while receiver.queue and len(receiver.posts) < MAX_CONNECTIONS and not self._stopping:
            if receiver.queue[0].start_deadline < loop.time():
                self._release_jobs([receiver.queue.popleft().job])
                continue
            if not self._may_post(receiver):
                self._blocked[receiver] = None
                return
            self._start_post(receiver, receiver.queue.popleft())

    def _start_post(self, receiver: _Receiver, pending: _PendingCallback) -> None:
        is_unproven = receiver.service not in self._proven
        self._posts += 1
        self._unproven_posts += is_unproven
        task = asyncio.get_running_loop().create_task(self._post(receiver, pending))
        receiver.posts.add(task)
        task.add_done_callback(lambda done: self._on_posted(receiver, done, is_unproven))

    def _on_posted(self, receiver: _Receiver, task: asyncio.Task[None], is_unproven: bool) -> None:
        receiver.posts.discard(task)
        self._posts -= 1
        self._unproven_posts -= is_unproven
        self._blocked[receiver] = None
        blocked, self._blocked = self._blocked, {}
        for each in blocked:
            self._send_pending(each)
        receiver.leases.wake()

    async def _post(self, receiver: _Receiver, pending: _PendingCallback) -> None:
        metrics: DeliveryMetrics = self._context.metrics
        job = pending.job
        if pending.start_deadline < asyncio.get_running_loop().time():  # the process was frozen meanwhile
            self._release_jobs([job])
            return
        result = await receiver.client.post(job)
        if result == "success":
            metrics.callbacks_accepted += 1
            receiver.failures = 0
            self._note_proven(receiver.service)
        else:
            metrics.callbacks_failed += 1
            pause = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(receiver.failures, 8))
            receiver.failures += 1
            self._proven.pop(receiver.service, None)
            receiver.backoff_until = asyncio.get_running_loop().time() + pause
        self._reporter.report_in_background(FinishLease(job.lease, result))

    def _note_proven(self, service: str) -> None:
        self._proven.pop(service, None)
        self._proven[service] = None
        if len(self._proven) > MAX_PROVEN:
            del self._proven[next(iter(self._proven))]

    def _release_jobs(self, jobs: list[LeasedJob]) -> None:
        for job in jobs:
            self._reporter.release(job.lease)
