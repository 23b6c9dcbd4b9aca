"""Delivery of jobs to pushed workers over HTTP/1.1: the encoding of requests and the meaning of responses."""

from __future__ import annotations

import asyncio
from typing import Protocol

import attrs

from hollowusher.delivery.connection_pool import ConnectionPool, NoFreeConnectionError
from hollowusher.delivery.http_connection import DeliveryResponse, ExchangeError
from hollowusher.delivery.outcome import DeliveryOutcome, WorkerFeedback
from hollowusher.protocol.leases import LeasedJob
from hollowusher.protocol.messages import NewMessage
from hollowusher.transport.fair_queue import FairQueue

LATE_RESPONSE_S = 0.4  # grace after the message's timeout for a response that is still in transit
RUNNING_RETRY_MS = 300  # retry delay of a message that is running elsewhere
FULL_RETRY_MS = 50
RATE_RETRY_MS = 100
MALFORMED_RETRY_MS = 1_000
POOL_IDLE_TIMEOUT_S = 60.0  # a pool without a request for this long is closed
DELIVERIES_PER_SWEEP = 500  # number of deliveries between two searches for idle pools
# Headers that `encode_request` sets itself and does not copy from the message.
OWN_HEADERS = frozenset(
    (
        "host",
        "content-length",
        "content-type",
        "transfer-encoding",
        "connection",
        "x-attempt-id",
        "x-deadline-ms",
        "x-target-instance",
    )
)


@attrs.frozen
class Endpoint:
    """The address and the properties of a delivery target.

    `instance_id` is the id of a listed worker, or empty for a fixed endpoint.  `idempotent` means that the
    endpoint may get the same request twice."""

    address: str
    instance_id: str = ""
    max_connections: int = 64
    idempotent: bool = False


class WorkerClient(Protocol):
    """Delivers jobs to workers."""

    async def deliver(self, endpoint: Endpoint, job: LeasedJob, timeout_s: float) -> DeliveryOutcome:
        """Deliver a job and return its outcome.  Raises nothing except `CancelledError`."""

    def retire(self, endpoint: Endpoint) -> None:
        """Close a worker's connections after their current requests, because the worker gets no new jobs."""

    async def close(self) -> None:
        """Close all connections."""


class MalformedRequestError(ValueError):
    """Raised for a message that cannot be encoded as an HTTP request without a change."""


class HttpWorkerClient:
    """A `WorkerClient` over HTTP/1.1, with one connection pool for each worker."""

    def __init__(self) -> None:
        self._pools: dict[tuple[str, str], ConnectionPool] = {}
        self._parse_queue = FairQueue.on_running_loop()
        self._deliveries = 0
        self._opened_before = 0  # connections opened by pools that have since been removed

    @property
    def connections_opened(self) -> int:
        """The number of connections opened since the start."""
        return self._opened_before + sum(pool.opened_count for pool in self._pools.values())

    @property
    def connections_open(self) -> int:
        """The number of connections that are open or being opened."""
        return sum(pool.open_count for pool in self._pools.values())

    async def deliver(self, endpoint: Endpoint, job: LeasedJob, timeout_s: float) -> DeliveryOutcome:
        """Deliver a job and return its outcome; `timeout_s` is the worker's time limit for the message."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            request = encode_request(job.message, endpoint, timeout_s)
        except MalformedRequestError as error:
            return DeliveryOutcome(
                "not_run", WorkerFeedback.NEUTRAL, retry_ms=MALFORMED_RETRY_MS, reason=str(error)
            )
        identifier = job.message.id
        pool = self._pool(endpoint)
        try:
            response = await pool.exchange(
                request,
                lambda response: matches_message(response, identifier),
                started_at + timeout_s + LATE_RESPONSE_S,
                endpoint.idempotent,
                start_deadline=started_at + job.start_within_ms / 1000,
                message_id=identifier,
            )
        except ExchangeError as error:
            elapsed_s = loop.time() - started_at
            if error.sent:
                return DeliveryOutcome(
                    "unknown", WorkerFeedback.LOST, started=started_at, elapsed_s=elapsed_s, reason=str(error)
                )
            feedback = (
                WorkerFeedback.NEUTRAL
                if isinstance(error, NoFreeConnectionError)
                else WorkerFeedback.UNREACHABLE
            )
            return DeliveryOutcome(
                "not_run", feedback, retry_ms=FULL_RETRY_MS, elapsed_s=elapsed_s, reason=str(error)
            )
        outcome = interpret_response(response)
        # A rejection of the resent request says nothing about the first attempt, which may have run.
        may_have_run = response.is_resend and outcome.result == "not_run"
        return DeliveryOutcome(
            "unknown" if may_have_run else outcome.result,
            outcome.feedback,
            outcome.signature,
            outcome.retry_ms,
            started_at,
            loop.time() - started_at,
            outcome.reason,
        )

    def retire(self, endpoint: Endpoint) -> None:
        """Close a worker's idle connections now, and its other connections after their current request."""
        pool = self._pools.get((endpoint.address, endpoint.instance_id))
        if pool is not None:
            pool.retire()

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def _pool(self, endpoint: Endpoint) -> ConnectionPool:
        self._deliveries += 1
        if self._deliveries % DELIVERIES_PER_SWEEP == 0:
            self._sweep()
        key = (endpoint.address, endpoint.instance_id)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ConnectionPool(
                endpoint.address, endpoint.max_connections, self._parse_queue
            )
        pool.limit, pool.is_retired = endpoint.max_connections, False
        return pool

    def _sweep(self) -> None:
        idle_since = asyncio.get_running_loop().time() - POOL_IDLE_TIMEOUT_S
        for key, pool in list(self._pools.items()):
            if pool.last_used < idle_since and not pool.is_busy:
                pool.close()
                self._opened_before += pool.opened_count
                del self._pools[key]


def encode_request(message: NewMessage, endpoint: Endpoint, timeout_s: float) -> bytes:
    """Return the HTTP request of a delivery: its head and its body.

    Raises `MalformedRequestError` if a field of the message would break the request line or a header line."""
    lines = [
        f"{message.method} {message.path} HTTP/1.1",
        f"Host: {message.host}",
        f"X-Attempt-Id: {message.id}",
        f"X-Deadline-Ms: {round(timeout_s * 1000)}",
    ]
    if message.ordering_key:
        lines.append(f"X-Ordering-Key: {message.ordering_key}")
    if endpoint.instance_id:
        lines.append(f"X-Target-Instance: {endpoint.instance_id}")
    if message.content_type:
        lines.append(f"Content-Type: {message.content_type}")
    lines += [f"{name}: {value}" for name, value in message.headers if name.lower() not in OWN_HEADERS]
    if message.body or message.method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(message.body)}")
    head = "\r\n".join(lines)
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1 or lines[0].count(" ") != 2:
        raise MalformedRequestError("the request line or a header contains a line break or an extra space")
    return (head + "\r\n\r\n").encode("utf-8", "surrogateescape") + message.body


def matches_message(response: DeliveryResponse, identifier: str) -> bool:
    """Return whether a response belongs to the message with this id.

    A response without an id matches only if it is an error: a worker that could not parse a request rejects
    it without repeating the id.  Such a response never counts as a success."""
    attempt_id = response.headers.get("X-Attempt-Id")
    return attempt_id == identifier or (attempt_id is None and response.status >= 400)


def interpret_response(response: DeliveryResponse) -> DeliveryOutcome:
    """Return the outcome of a delivery from the worker's response."""
    status, headers = response.status, response.headers
    if status == 421:
        return DeliveryOutcome("not_run", WorkerFeedback.GONE)
    if "X-Not-Executed" in headers or status == 409:
        return _not_run(status)
    if 200 <= status < 300:
        signature = headers.get("X-Server-Signature", "")
        if signature:
            return DeliveryOutcome("success", WorkerFeedback.DONE, signature)
        return DeliveryOutcome("unknown", WorkerFeedback.LOST, reason="success response without a signature")
    if "X-Attempt-Id" not in headers:
        return DeliveryOutcome("unknown", WorkerFeedback.LOST, reason="response without an attempt id")
    if status == 500:
        return DeliveryOutcome("failed", WorkerFeedback.FAILED)
    if status == 422:
        return DeliveryOutcome("refused", WorkerFeedback.DONE)
    feedback = WorkerFeedback.FULL if status in (429, 503) else WorkerFeedback.FAILED
    return DeliveryOutcome("unknown", feedback, reason=f"status {status}")


def _not_run(status: int) -> DeliveryOutcome:
    if status == 409:
        return DeliveryOutcome("not_run", WorkerFeedback.NEUTRAL, retry_ms=RUNNING_RETRY_MS)
    if status == 400:
        return DeliveryOutcome("not_run", WorkerFeedback.NEUTRAL, retry_ms=MALFORMED_RETRY_MS)
    if status == 429:
        return DeliveryOutcome("not_run", WorkerFeedback.RATE, retry_ms=RATE_RETRY_MS)
    return DeliveryOutcome("not_run", WorkerFeedback.FULL, retry_ms=FULL_RETRY_MS)
