"""The request handling of an edge process for clients and pull workers, without sockets.

`IntakeService.handle` takes a complete request and returns its response; `hollowusher.intake.server` provides
the HTTP server.  The response to a message is 503 only if no store has stored the message, and 504 if a store
may have stored it.

Retry-After is in whole seconds.  It is 1, or 0 if less than `SHORT_WAIT_S` is left until the client's
deadline, because a pause of one second would then leave no time for a retry.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs
import orjson

from hollowusher.configuration.model import Configuration, RequestLimits
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.rendezvous import ordering_partition
from hollowusher.intake.admission import (
    ATTEMPT_ID,
    ORDERING_KEY,
    Admission,
    ClientRequest,
    Rejection,
    RejectionReason,
    RouteIndex,
    admit,
    parse_milliseconds,
    reject_head,
)
from hollowusher.intake.load_limiter import LoadLimiter
from hollowusher.intake.metrics import IntakeMetrics
from hollowusher.intake.pull_dispatcher import PullDispatcher
from hollowusher.intake.pull_worker_headers import (
    INSTANCE_ID,
    JOB_METHOD,
    JOB_PATH,
    JOB_RESULT,
    LEASE_ID,
    SIGNATURE,
    WAIT,
    decoded_name,
    finish_result,
    store_lease_id,
    worker_lease_id,
)
from hollowusher.intake.store_client import MessageStore
from hollowusher.protocol.leases import ExtendLease, FinishLease, LeasedJob, LeaseUpdateResponse
from hollowusher.protocol.placement import Placement

RESPONSE_MARGIN_S = 0.05  # time from a put's deadline to the client's deadline; less if the wait is short
REJECT_AFTER_SHARE = 0.4  # share of the client's time after which an unsent message is rejected
STATUS_TIMEOUT_S = 1.8
LEASE_CALL_TIMEOUT_S = 1.8
MAX_PULL_WAIT_S = 30.0
DRAINING_PULL_WAIT_S = 0.1
SHORT_WAIT_S = 1.5
MAX_CANDIDATES = 8
MIB = 1024 * 1024
MAX_BYTES = 16 * MIB
MAX_PULLS = 2048
BODY_READ_WAIT_S = 1.0  # how long a GET /message-body waits for others to end; clients wait two seconds

STATE_PREFIX = "/message/"
BODY_PREFIX = "/message-body/"
PULL_PREFIX = "/pull/"
EXTEND_PREFIX = "/job-extend/"
END_PREFIX = "/job-end/"
WORKER_PREFIXES = (PULL_PREFIX, EXTEND_PREFIX, END_PREFIX)
KNOWN_STATES = ("queued", "completed", "dead_letter")

JSON = "application/json"
BYTES = "application/octet-stream"
TEXT = "text/plain"
PartitionRanking = Callable[[str, Sequence[int]], list[int]]  # service, partitions -> partitions, best first


@attrs.frozen
class IntakeLimits:
    """Limits on the concurrent work of an intake."""

    max_puts: int = 512
    max_bytes: int = MAX_BYTES  # total size of the messages being received or stored
    max_pulls: int = MAX_PULLS
    max_body_reads: int = 16  # bodies that are being read from the stores for GET /message-body

    @classmethod
    def of_process(cls, memory_mb: int, max_connections: int) -> IntakeLimits:
        """Return the limits of a process with this much memory and this many connections of clients."""
        return cls(
            max_bytes=min(MAX_BYTES, memory_mb * MIB // 12),
            max_pulls=min(MAX_PULLS, max_connections * 3 // 4),
        )


@attrs.frozen
class ClientResponse:
    """An HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = TEXT
    headers: tuple[tuple[str, str], ...] = ()


NOT_FOUND = ClientResponse(404, b"not found")
UNCERTAIN = ClientResponse(504, b"not known whether the message was kept")
UNAVAILABLE = ClientResponse(503, b"not available", headers=(("Retry-After", "1"),))
NO_JOB = ClientResponse(204)
LEASE_EXPIRED = ClientResponse(409, b"the lease is gone")
ACCEPTED = ClientResponse(200)


def _never_disconnected() -> bool:
    return False


class IntakeService:
    """Handles the requests of clients and pull workers in one edge process.

    `clock` returns the event loop time.  `is_current` returns whether the configuration is recent enough to
    respond with 404 for a route or service that it does not contain."""

    def __init__(
        self,
        state: ClusterState,
        store: MessageStore,
        pull_dispatcher: PullDispatcher | None,
        rank_partitions: PartitionRanking,
        clock: Callable[[], float],
        limits: IntakeLimits | None = None,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        limits = limits or IntakeLimits()
        self._is_current = is_current
        self.metrics = IntakeMetrics()
        self.load_limiter = LoadLimiter(limits.max_puts, limits.max_bytes)
        self._limits = limits
        self._state = state
        self._store = store
        self._pull_dispatcher = pull_dispatcher
        self._rank_partitions = rank_partitions
        self._clock = clock
        self._pulls = 0
        self._body_reads = asyncio.Semaphore(limits.max_body_reads)
        self._draining = False
        self._index: RouteIndex | None = None
        self._candidates: dict[str, list[int]] = {}
        self._partitions: list[int] = []
        # The placement and the configuration from which these two were computed.
        self._candidate_inputs: tuple[Placement | None, Configuration | None] = (None, None)
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def request_limits(self) -> RequestLimits:
        """The request limits of the current configuration."""
        configuration = self._state.configuration
        return RequestLimits() if configuration is None else configuration.limits

    def reject_head(self, request: ClientRequest, declared_length: int | None) -> ClientResponse | None:
        """Return the response to a request that is rejected by its head, or None if the body is needed.

        `declared_length` is the value of Content-Length, or None if the request has none."""
        if request.method == "GET" and request.target.startswith((STATE_PREFIX, BODY_PREFIX)):
            return None
        index = self._route_index()
        if index is None or self._is_worker_call(request, index):
            return None
        rejection = reject_head(request, index, declared_length)
        return None if rejection is None else self._rejection_response(rejection)

    def _absence_response(self, text: str) -> ClientResponse:
        """Return the response if the configuration does not contain the route or service.

        A process that has lost contact with the controllers, or was frozen, may have an outdated
        configuration.  It responds with 503 instead of 404."""
        if not self._is_current():
            self.metrics.refused_unready += 1
            return UNAVAILABLE
        self.metrics.no_route += 1
        return ClientResponse(404, text.encode())

    async def handle(
        self, request: ClientRequest, is_disconnected: Callable[[], bool] = _never_disconnected
    ) -> ClientResponse:
        """Return the response to a complete request.

        `is_disconnected` returns whether the client's connection is closed."""
        target = request.target
        if request.method == "GET":
            if target.startswith(STATE_PREFIX):
                return await self._state_response(target.removeprefix(STATE_PREFIX))
            if target.startswith(BODY_PREFIX):
                return await self._body_response(target.removeprefix(BODY_PREFIX))
        index = self._route_index()
        if index is None:
            self.metrics.refused_unready += 1
            return UNAVAILABLE
        if self._is_worker_call(request, index):
            return await self._worker_call(request, index, is_disconnected)
        admission = admit(request, index)
        if isinstance(admission, Rejection):
            return self._rejection_response(admission)
        return await self._store_message(admission)

    def reject_overload(self, client_wait_s: float = 1.0) -> ClientResponse:
        """Return the response if a load limit is reached."""
        self.metrics.refused_load += 1
        return _retry_later(client_wait_s)

    def drain(self) -> None:
        """Prepare for a stop: from now on a pull call waits at most `DRAINING_PULL_WAIT_S`."""
        self._draining = True

    async def wait_for_background_calls(self) -> None:
        """Wait for the background calls that release jobs."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    # ---- messages

    async def _store_message(self, admission: Admission) -> ClientResponse:
        wait_s = admission.remaining_client_wait_s
        size = len(admission.message.body)
        if not self.load_limiter.try_acquire(size):
            return self.reject_overload(wait_s)
        try:
            now = self._clock()
            candidates = self._candidates_for(admission)
            put_response = await self._store.put(
                admission.message,
                candidates,
                deadline=now + max(wait_s - RESPONSE_MARGIN_S, wait_s / 2),
                reject_at=now + wait_s * REJECT_AFTER_SHARE,
            )
        finally:
            self.load_limiter.release(size)
        if put_response.status == "stored":
            self.metrics.accepted += 1
            return ClientResponse(202, headers=(("X-Message-Ref", put_response.reference),))
        if put_response.status == "unavailable":
            self.metrics.refused_unavailable += 1
            return _retry_later(wait_s * (1 - REJECT_AFTER_SHARE))
        self.metrics.unknown += 1
        return UNCERTAIN

    def _rejection_response(self, rejection: Rejection) -> ClientResponse:
        metrics = self.metrics
        if rejection.reason is RejectionReason.NO_ROUTE:
            return self._absence_response(rejection.text)
        if rejection.reason is RejectionReason.TOO_LARGE:
            metrics.too_large += 1
        elif rejection.reason is RejectionReason.NOT_READY:
            metrics.refused_unready += 1
        else:
            metrics.malformed += 1
        headers = (("Retry-After", "1"),) if rejection.status == 503 else ()
        return ClientResponse(rejection.status, rejection.text.encode(), headers=headers)

    def _candidates_for(self, admission: Admission) -> list[int]:
        placement, configuration = self._candidate_inputs
        if self._state.placement is not placement or self._state.configuration is not configuration:
            self._candidates.clear()
            self._candidate_inputs = (self._state.placement, self._state.configuration)
            self._partitions = self._state.partition_numbers()
        if admission.message.ordering_key:
            partition = ordering_partition(admission.message.route, self._partitions)
            return [] if partition is None else [partition]
        service = admission.message.service
        ranking = self._candidates.get(service)
        if ranking is None:
            ranking = self._rank_partitions(service, self._partitions)[:MAX_CANDIDATES]
            self._candidates[service] = ranking
        return ranking[:1] if admission.requires_home else ranking

    def _route_index(self) -> RouteIndex | None:
        configuration = self._state.configuration
        if configuration is None:
            return None
        index = self._index
        if index is None or index.configuration is not configuration:
            index = self._index = RouteIndex(configuration)
        return index

    # ---- message status and bodies

    async def _state_response(self, reference: str) -> ClientResponse:
        answer = await self._store.status(reference, False, self._clock() + STATUS_TIMEOUT_S)
        if answer.state not in KNOWN_STATES:
            return self._no_state_response(answer.state)
        self.metrics.states_told += 1
        document = {"state": answer.state}
        if answer.state == "completed":
            document["signature"] = answer.signature
        return ClientResponse(200, orjson.dumps(document), JSON)

    async def _body_response(self, reference: str) -> ClientResponse:
        deadline = self._clock() + STATUS_TIMEOUT_S
        try:
            async with asyncio.timeout(BODY_READ_WAIT_S):
                await self._body_reads.acquire()
        except TimeoutError:
            return self._no_state_response("unavailable")
        try:
            answer = await self._store.status(reference, True, deadline)
        finally:
            self._body_reads.release()
        if answer.state not in KNOWN_STATES:
            return self._no_state_response(answer.state)
        if answer.body is None:
            return self._no_state_response("unknown" if answer.state == "completed" else "unavailable")
        self.metrics.states_told += 1
        return ClientResponse(200, answer.body, BYTES)

    def _no_state_response(self, state: str) -> ClientResponse:
        if state == "unknown":
            self.metrics.states_unknown += 1
            return NOT_FOUND
        self.metrics.states_unavailable += 1
        return UNAVAILABLE

    # ---- pull workers

    def _is_worker_call(self, request: ClientRequest, index: RouteIndex) -> bool:
        """Return whether a request is a pull worker's call.

        It is one if its path has a prefix of the worker calls and no route of its host matches the path."""
        if request.method != "POST" or not request.target.startswith(WORKER_PREFIXES):
            return False
        return index.find_route(request.headers.get("Host", ""), request.target) is None

    async def _worker_call(
        self, request: ClientRequest, index: RouteIndex, is_disconnected: Callable[[], bool]
    ) -> ClientResponse:
        target = request.target
        if target.startswith(PULL_PREFIX):
            return await self._pull(request, target.removeprefix(PULL_PREFIX), index, is_disconnected)
        if target.startswith(EXTEND_PREFIX):
            return await self._extend(request, target.removeprefix(EXTEND_PREFIX))
        return await self._end(request, target.removeprefix(END_PREFIX))

    async def _pull(
        self, request: ClientRequest, name: str, index: RouteIndex, is_disconnected: Callable[[], bool]
    ) -> ClientResponse:
        service = index.services.get(name) or index.services.get(decoded_name(name))
        if service is None or not service.pull:
            return self._absence_response("no such service")
        instance = request.headers.get(INSTANCE_ID, "")
        wait_ms = parse_milliseconds(request.headers.get(WAIT, "0"))
        if not instance or wait_ms is None:
            self.metrics.malformed += 1
            return ClientResponse(400, b"X-Instance-Id or X-Wait-Ms is missing or malformed")
        if self._pull_dispatcher is None or self._pulls >= self._limits.max_pulls:
            self.metrics.pulls_refused += 1
            return UNAVAILABLE
        self._pulls += 1
        try:
            longest_s = DRAINING_PULL_WAIT_S if self._draining else MAX_PULL_WAIT_S
            job = await self._pull_dispatcher.pull(service.name, instance, min(wait_ms / 1000, longest_s))
        finally:
            self._pulls -= 1
        if job is None:
            self.metrics.pulls_empty += 1
            return NO_JOB
        if is_disconnected():
            self.release(job)
            return NO_JOB
        self.metrics.pulls_served += 1
        return _job_response(job)

    def release(self, job: LeasedJob) -> None:
        """Release, in the background, a leased job whose worker has disconnected."""
        self.metrics.jobs_given_back += 1
        request = FinishLease(job.lease, "not_run")
        self._run_in_background(self._store.finish(request, self._clock() + LEASE_CALL_TIMEOUT_S))

    async def _extend(self, request: ClientRequest, message_id: str) -> ClientResponse:
        metrics = self.metrics
        lease = _lease_of(request, message_id)
        answer = LeaseUpdateResponse("gone")
        if lease is not None:
            answer = await self._store.extend(ExtendLease(lease), self._clock() + LEASE_CALL_TIMEOUT_S)
        if answer.status == "taken":
            metrics.extensions_taken += 1
            return ACCEPTED
        if answer.status == "gone":
            metrics.extensions_gone += 1
            return LEASE_EXPIRED
        metrics.extensions_unavailable += 1
        return UNAVAILABLE

    async def _end(self, request: ClientRequest, message_id: str) -> ClientResponse:
        metrics = self.metrics
        headers = request.headers
        signature = headers.get(SIGNATURE, "")
        result = finish_result(headers.get(JOB_RESULT, ""), signature)
        lease = _lease_of(request, message_id)
        answer = LeaseUpdateResponse("gone")
        if lease is not None:
            finish = FinishLease(lease, result, signature if result == "success" else "")
            answer = await self._store.finish(finish, self._clock() + LEASE_CALL_TIMEOUT_S)
        if answer.status == "taken":
            metrics.ends_taken += 1
            return ACCEPTED
        if answer.status == "gone":
            metrics.ends_gone += 1
            return LEASE_EXPIRED
        metrics.ends_unavailable += 1
        return UNAVAILABLE

    def _run_in_background(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _lease_of(request: ClientRequest, message_id: str) -> str | None:
    """Return the store's lease id in a worker's call, whose path may have the message id percent-encoded."""
    worker_lease = request.headers.get(LEASE_ID, "")
    lease = store_lease_id(worker_lease, message_id)
    return lease or store_lease_id(worker_lease, decoded_name(message_id))


def _retry_later(client_wait_s: float) -> ClientResponse:
    seconds = "1" if client_wait_s >= SHORT_WAIT_S else "0"
    return ClientResponse(503, b"not available", headers=(("Retry-After", seconds),))


def _job_response(job: LeasedJob) -> ClientResponse:
    message = job.message
    headers = [
        (ATTEMPT_ID, message.id),
        (JOB_METHOD, message.method),
        (JOB_PATH, message.path),
        (LEASE_ID, worker_lease_id(job.lease, message.id)),
    ]
    if message.ordering_key:
        headers.append((ORDERING_KEY, message.ordering_key))
    headers += [(name, value) for name, value in message.headers if name == ORDERING_KEY]
    return ClientResponse(200, message.body, message.content_type or BYTES, tuple(headers))
