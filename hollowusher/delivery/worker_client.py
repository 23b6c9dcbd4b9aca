"""Delivery of a job to a pushed worker over HTTP/1.1: the request unchanged, and what its answer means."""

from __future__ import annotations

import asyncio
from typing import Protocol

import attrs

from hollowusher.delivery.connection_pool import ConnectionPool, NoFreeConnectionError
from hollowusher.delivery.http_connection import DeliveryResponse, ExchangeError
from hollowusher.delivery.outcome import DeliveryOutcome, WorkerFeedback
from hollowusher.protocol.leases import LeasedJob
from hollowusher.protocol.messages import NewMessage

LATE_RESPONSE_S = 0.4  # a worker's answer may be under way when the time of its message is over
RUNNING_RETRY_MS = 300  # the message is being run elsewhere
FULL_RETRY_MS = 50
RATE_RETRY_MS = 100
MALFORMED_RETRY_MS = 1_000
POOL_IDLE_TIMEOUT_S = 60.0  # pools without a request for so long are closed
DELIVERIES_PER_SWEEP = 500  # deliveries between two looks for such pools
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
    """Where a job is delivered.  `instance_id` is the id of a listed worker, empty for a fixed endpoint."""

    address: str
    instance_id: str = ""
    max_connections: int = 64
    idempotent: bool = False


class WorkerClient(Protocol):
    """Delivers jobs to workers."""

    async def deliver(self, endpoint: Endpoint, job: LeasedJob, timeout_s: float) -> DeliveryOutcome:
        """Hand a job over and wait for its end; never raises but for cancellation."""

    def retire(self, endpoint: Endpoint) -> None:
        """The worker is not to be used any more: its idle connections end."""

    async def close(self) -> None:
        """End all connections."""


class MalformedRequestError(ValueError):
    """A message that cannot be written as a request without changing it."""


class HttpWorkerClient:
    """The client over real connections, a pool for each worker."""

    def __init__(self) -> None:
        self._pools: dict[tuple[str, str], ConnectionPool] = {}
        self._deliveries = 0
        self._opened_before = 0  # connections of pools that are gone

    @property
    def connections_opened(self) -> int:
        """Connections opened since the start."""
        return self._opened_before + sum(pool.opened_count for pool in self._pools.values())

    @property
    def connections_open(self) -> int:
        """Connections that stand or are being opened."""
        return sum(pool.open_count for pool in self._pools.values())

    async def deliver(self, endpoint: Endpoint, job: LeasedJob, timeout_s: float) -> DeliveryOutcome:
        """Hand a job over and wait for its end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            request = encode_request(job.message, endpoint, timeout_s)
        except MalformedRequestError as error:
            return DeliveryOutcome(
                "not_run", WorkerFeedback.NEUTRAL, retry_ms=MALFORMED_RETRY_MS, reason=str(error)
            )
        identifier = job.message.id
        pool = self._pool(endpoint)
        try:
            answer = await pool.exchange(
                request,
                lambda answer: matches_message(answer, identifier),
                began + timeout_s + LATE_RESPONSE_S,
                endpoint.idempotent,
                start_deadline=began + job.start_within_ms / 1000,
                message_id=identifier,
            )
        except ExchangeError as error:
            elapsed_s = loop.time() - began
            if error.sent:
                return DeliveryOutcome(
                    "unknown", WorkerFeedback.LOST, started=began, elapsed_s=elapsed_s, reason=str(error)
                )
            feedback = (
                WorkerFeedback.NEUTRAL
                if isinstance(error, NoFreeConnectionError)
                else WorkerFeedback.UNREACHABLE
            )
            return DeliveryOutcome(
                "not_run", feedback, retry_ms=FULL_RETRY_MS, elapsed_s=elapsed_s, reason=str(error)
            )
        verdict = interpret_response(answer)
        unclear = answer.is_resend and verdict.result == "not_run"  # this time: the first may have run
        return DeliveryOutcome(
            "unknown" if unclear else verdict.result,
            verdict.feedback,
            verdict.signature,
            verdict.retry_ms,
            began,
            loop.time() - began,
            verdict.reason,
        )

    def retire(self, endpoint: Endpoint) -> None:
        """End the connections of a worker that is not to be used any more: now, or after their answer."""
        pool = self._pools.get((endpoint.address, endpoint.instance_id))
        if pool is not None:
            pool.retire()

    async def close(self) -> None:
        """End all connections."""
        for pool in self._pools.values():
            pool.close()

    def _pool(self, endpoint: Endpoint) -> ConnectionPool:
        self._deliveries += 1
        if self._deliveries % DELIVERIES_PER_SWEEP == 0:
            self._sweep()
        key = (endpoint.address, endpoint.instance_id)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ConnectionPool(endpoint.address, endpoint.max_connections)
        pool.limit, pool.is_retired = endpoint.max_connections, False
        return pool

    def _sweep(self) -> None:
        before = asyncio.get_running_loop().time() - POOL_IDLE_TIMEOUT_S
        for key, pool in list(self._pools.items()):
            if pool.last_used < before and not pool.is_busy:
                pool.close()
                self._opened_before += pool.opened_count
                del self._pools[key]


def encode_request(message: NewMessage, endpoint: Endpoint, timeout_s: float) -> bytes:
    """Head and body of a delivery."""
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
        raise MalformedRequestError("a line of the request holds a line end or a space")
    return (head + "\r\n\r\n").encode("utf-8", "surrogateescape") + message.body


def matches_message(answer: DeliveryResponse, identifier: str) -> bool:
    """Whether an answer is to the message with this id.  One without any id can only be a refusal of a
    request that the worker could not read; it is taken, and never as a success."""
    told = answer.headers.get("X-Attempt-Id")
    return told == identifier or (told is None and answer.status >= 400)


def interpret_response(answer: DeliveryResponse) -> DeliveryOutcome:
    """What an answer says about its message."""
    status, headers = answer.status, answer.headers
    if status == 421:
        return DeliveryOutcome("not_run", WorkerFeedback.GONE)
    if "X-Not-Executed" in headers or status == 409:
        return _not_run(status)
    if 200 <= status < 300:
        signature = headers.get("X-Server-Signature", "")
        if signature:
            return DeliveryOutcome("success", WorkerFeedback.DONE, signature)
        return DeliveryOutcome("unknown", WorkerFeedback.LOST, reason="success without a signature")
    if "X-Attempt-Id" not in headers:
        return DeliveryOutcome("unknown", WorkerFeedback.LOST, reason="answer without an id")
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
