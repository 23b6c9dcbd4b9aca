"""The answers of an edge process to clients and pull workers, apart from sockets.

`Intake.accept` takes a whole request and returns its answer; `hollowusher.intake.server` is the HTTP around
it.  Truthfulness: a 503 is given only where the message is certainly not kept; 504 where it may have been.

Retry-After, in whole seconds: 1, or 0 where the client's own deadline leaves less than `SHORT_WAIT_S`, since
a pause of a second would then end its last chance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs
import orjson

from hollowusher.configuration.model import Configuration, RequestLimits
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.intake.admission import (
    ATTEMPT_ID,
    ORDERING_KEY,
    Admission,
    IntakeRequest,
    Reason,
    Refusal,
    RouteIndex,
    admit,
    admit_head,
    host_name,
    milliseconds,
)
from hollowusher.intake.figures import IntakeFigures
from hollowusher.intake.load import LoadGate
from hollowusher.intake.pull_desk import PullDesk
from hollowusher.intake.store_client import MessageStore
from hollowusher.intake.worker_calls import (
    INSTANCE_ID,
    JOB_METHOD,
    JOB_PATH,
    JOB_RESULT,
    LEASE_ID,
    SIGNATURE,
    WAIT,
    finish_result,
    store_lease_id,
    worker_lease_id,
)
from hollowusher.protocol.leases import ExtendLease, FinishLease, LeasedJob, LeaseUpdateResponse
from hollowusher.protocol.placement import Placement

SPARE_S = 0.05  # an answer leaves this long before its client gives up
REFUSE_AFTER_SHARE = 0.4  # of the client's time: then a message that was sent nowhere is refused
STATUS_TIMEOUT_S = 1.8
LEASE_CALL_TIMEOUT_S = 1.8
LONGEST_PULL_S = 30.0
DRAINING_PULL_S = 0.1
SHORT_WAIT_S = 1.5
MOST_CANDIDATES = 8

STATE_PREFIX = "/message/"
BODY_PREFIX = "/message-body/"
PULL_PREFIX = "/pull/"
EXTEND_PREFIX = "/job-extend/"
END_PREFIX = "/job-end/"
WORKER_PREFIXES = (PULL_PREFIX, EXTEND_PREFIX, END_PREFIX)
ENDED_OR_QUEUED = ("queued", "completed", "dead_letter")

JSON = "application/json"
BYTES = "application/octet-stream"
TEXT = "text/plain"
Homes = Callable[[str, Sequence[int]], list[int]]  # service, partitions -> partitions, best first


@attrs.frozen
class IntakeLimits:
    """How much may be under way at one time."""

    most_puts: int = 512
    most_bytes: int = 16 * 1024 * 1024  # of messages being received or kept
    most_pulls: int = 2048


@attrs.frozen
class IntakeAnswer:
    """An HTTP answer."""

    status: int
    body: bytes = b""
    content_type: str = TEXT
    headers: tuple[tuple[str, str], ...] = ()


NOT_FOUND = IntakeAnswer(404, b"not found")
UNCERTAIN = IntakeAnswer(504, b"not known whether the message was kept")
UNAVAILABLE = IntakeAnswer(503, b"not available", headers=(("Retry-After", "1"),))
NO_JOB = IntakeAnswer(204)
GONE = IntakeAnswer(409, b"the lease is gone")
TAKEN = IntakeAnswer(200)


def _present() -> bool:
    return False


class Intake:
    """The clients' side of one process.  `clock` is the event loop's time; `is_current` tells whether the
    configuration known here is so young that what it lacks is not there."""

    def __init__(
        self,
        state: ClusterState,
        store: MessageStore,
        pull_desk: PullDesk | None,
        homes: Homes,
        clock: Callable[[], float],
        limits: IntakeLimits | None = None,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        limits = limits or IntakeLimits()
        self._is_current = is_current
        self.figures = IntakeFigures()
        self.gate = LoadGate(limits.most_puts, limits.most_bytes)
        self._limits = limits
        self._state = state
        self._store = store
        self._pull_desk = pull_desk
        self._homes = homes
        self._clock = clock
        self._pulls = 0
        self._draining = False
        self._index: RouteIndex | None = None
        self._candidates: dict[str, list[int]] = {}
        # the placement and configuration that `_candidates` were computed for
        self._candidates_of: tuple[Placement | None, Configuration | None] = (None, None)
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def request_limits(self) -> RequestLimits:
        """What clients may send, by the configuration in force."""
        configuration = self._state.configuration
        return RequestLimits() if configuration is None else configuration.limits

    def refuse_head(self, request: IntakeRequest, declared_length: int | None) -> IntakeAnswer | None:
        """The answer to a request that need not be read further, None where its body is wanted."""
        if request.method == "GET" and request.target.startswith((STATE_PREFIX, BODY_PREFIX)):
            return None
        index = self._route_index()
        if index is None or self._is_worker_call(request, index):
            return None
        refusal = admit_head(request, index, declared_length)
        return None if refusal is None else self._refused(refusal)

    def _absent(self, text: str) -> IntakeAnswer:
        """The answer where the configuration known here has no such route or service: one who has lost the
        controllers, or stood still, cannot know that there is none."""
        if not self._is_current():
            self.figures.refused_unready += 1
            return UNAVAILABLE
        self.figures.no_route += 1
        return IntakeAnswer(404, text.encode())

    async def accept(self, request: IntakeRequest, gone: Callable[[], bool] = _present) -> IntakeAnswer:
        """The answer to a whole request.  `gone` tells whether the caller's connection has ended."""
        target = request.target
        if request.method == "GET":
            if target.startswith(STATE_PREFIX):
                return await self._state_answer(target.removeprefix(STATE_PREFIX))
            if target.startswith(BODY_PREFIX):
                return await self._body_answer(target.removeprefix(BODY_PREFIX))
        index = self._route_index()
        if index is None:
            self.figures.refused_unready += 1
            return UNAVAILABLE
        if self._is_worker_call(request, index):
            return await self._worker_call(request, index, gone)
        admission = admit(request, index)
        if isinstance(admission, Refusal):
            return self._refused(admission)
        return await self._keep(admission)

    def refuse_load(self, client_wait_s: float = 1.0) -> IntakeAnswer:
        """The answer when too much is under way."""
        self.figures.refused_load += 1
        return _retry_later(client_wait_s)

    def drain(self) -> None:
        """The process is about to stop: from now on pull calls are not kept waiting."""
        self._draining = True

    async def settle(self) -> None:
        """Wait for the calls that go on after their answers (jobs given back)."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    # ---- messages

    async def _keep(self, admission: Admission) -> IntakeAnswer:
        wait_s = admission.client_wait_s
        size = len(admission.message.body)
        if not self.gate.enter(size):
            return self.refuse_load(wait_s)
        try:
            now = self._clock()
            candidates = self._candidates_for(admission)
            answer = await self._store.put(
                admission.message,
                candidates,
                deadline=now + max(wait_s - SPARE_S, wait_s / 2),
                refuse_at=now + wait_s * REFUSE_AFTER_SHARE,
            )
        finally:
            self.gate.leave(size)
        if answer.status == "stored":
            self.figures.accepted += 1
            return IntakeAnswer(202, headers=(("X-Message-Ref", answer.reference),))
        if answer.status == "unavailable":
            self.figures.refused_unavailable += 1
            return _retry_later(wait_s * (1 - REFUSE_AFTER_SHARE))
        self.figures.unknown += 1
        return UNCERTAIN

    def _refused(self, refusal: Refusal) -> IntakeAnswer:
        figures = self.figures
        if refusal.reason is Reason.NO_ROUTE:
            return self._absent(refusal.text)
        if refusal.reason is Reason.TOO_LARGE:
            figures.too_large += 1
        elif refusal.reason is Reason.UNREADY:
            figures.refused_unready += 1
        else:
            figures.malformed += 1
        headers = (("Retry-After", "1"),) if refusal.status == 503 else ()
        return IntakeAnswer(refusal.status, refusal.text.encode(), headers=headers)

    def _candidates_for(self, admission: Admission) -> list[int]:
        placement, configuration = self._candidates_of
        if self._state.placement is not placement or self._state.configuration is not configuration:
            self._candidates.clear()
            self._candidates_of = (self._state.placement, self._state.configuration)
        service = admission.message.service
        ranking = self._candidates.get(service)
        if ranking is None:
            ranking = self._homes(service, self._state.partition_numbers())[:MOST_CANDIDATES]
            self._candidates[service] = ranking
        return ranking[:1] if admission.home_only else ranking

    def _route_index(self) -> RouteIndex | None:
        configuration = self._state.configuration
        if configuration is None:
            return None
        index = self._index
        if index is None or index.configuration is not configuration:
            index = self._index = RouteIndex(configuration)
        return index

    # ---- questions about messages

    async def _state_answer(self, reference: str) -> IntakeAnswer:
        answer = await self._store.status(reference, False, self._clock() + STATUS_TIMEOUT_S)
        if answer.state not in ENDED_OR_QUEUED:
            return self._no_state(answer.state)
        self.figures.states_told += 1
        told = {"state": answer.state}
        if answer.state == "completed":
            told["signature"] = answer.signature
        return IntakeAnswer(200, orjson.dumps(told), JSON)

    async def _body_answer(self, reference: str) -> IntakeAnswer:
        answer = await self._store.status(reference, True, self._clock() + STATUS_TIMEOUT_S)
        if answer.state not in ENDED_OR_QUEUED:
            return self._no_state(answer.state)
        if answer.body is None:
            return self._no_state("unknown" if answer.state == "completed" else "unavailable")
        self.figures.states_told += 1
        return IntakeAnswer(200, answer.body, BYTES)

    def _no_state(self, state: str) -> IntakeAnswer:
        if state == "unknown":
            self.figures.states_unknown += 1
            return NOT_FOUND
        self.figures.states_unavailable += 1
        return UNAVAILABLE

    # ---- pull workers

    def _is_worker_call(self, request: IntakeRequest, index: RouteIndex) -> bool:
        """Whether it is a pull worker's call: of its paths, unless a route of its host takes that path."""
        if request.method != "POST" or not request.target.startswith(WORKER_PREFIXES):
            return False
        return index.find(host_name(request.headers.get("Host", "")), request.target) is None

    async def _worker_call(
        self, request: IntakeRequest, index: RouteIndex, gone: Callable[[], bool]
    ) -> IntakeAnswer:
        target = request.target
        if target.startswith(PULL_PREFIX):
            return await self._pull(request, target.removeprefix(PULL_PREFIX), index, gone)
        if target.startswith(EXTEND_PREFIX):
            return await self._extend(request, target.removeprefix(EXTEND_PREFIX))
        return await self._end(request, target.removeprefix(END_PREFIX))

    async def _pull(
        self, request: IntakeRequest, name: str, index: RouteIndex, gone: Callable[[], bool]
    ) -> IntakeAnswer:
        service = index.services.get(name)
        if service is None or not service.pull:
            return self._absent("no such service")
        instance = request.headers.get(INSTANCE_ID, "")
        wait_ms = milliseconds(request.headers.get(WAIT, "0"))
        if not instance or wait_ms is None:
            self.figures.malformed += 1
            return IntakeAnswer(400, b"X-Instance-Id or X-Wait-Ms is missing or malformed")
        if self._pull_desk is None or self._pulls >= self._limits.most_pulls:
            self.figures.pulls_refused += 1
            return UNAVAILABLE
        self._pulls += 1
        try:
            longest_s = DRAINING_PULL_S if self._draining else LONGEST_PULL_S
            job = await self._pull_desk.pull(name, instance, min(wait_ms / 1000, longest_s))
        finally:
            self._pulls -= 1
        if job is None:
            self.figures.pulls_empty += 1
            return NO_JOB
        if gone():
            self.give_back(job)
            return NO_JOB
        self.figures.pulls_served += 1
        return _job_answer(job)

    def give_back(self, job: LeasedJob) -> None:
        """Return a leased job that its worker will not get, unrun."""
        self.figures.jobs_given_back += 1
        request = FinishLease(job.lease, "not_run")
        self._run(self._store.finish(request, self._clock() + LEASE_CALL_TIMEOUT_S))

    async def _extend(self, request: IntakeRequest, message_id: str) -> IntakeAnswer:
        figures = self.figures
        lease = store_lease_id(request.headers.get(LEASE_ID, ""), message_id)
        answer = LeaseUpdateResponse("gone")
        if lease is not None:
            answer = await self._store.extend(ExtendLease(lease), self._clock() + LEASE_CALL_TIMEOUT_S)
        if answer.status == "taken":
            figures.extensions_taken += 1
            return TAKEN
        if answer.status == "gone":
            figures.extensions_gone += 1
            return GONE
        figures.extensions_unavailable += 1
        return UNAVAILABLE

    async def _end(self, request: IntakeRequest, message_id: str) -> IntakeAnswer:
        figures = self.figures
        headers = request.headers
        signature = headers.get(SIGNATURE, "")
        result = finish_result(headers.get(JOB_RESULT, ""), signature)
        lease = store_lease_id(headers.get(LEASE_ID, ""), message_id)
        answer = LeaseUpdateResponse("gone")
        if lease is not None:
            finish = FinishLease(lease, result, signature if result == "success" else "")
            answer = await self._store.finish(finish, self._clock() + LEASE_CALL_TIMEOUT_S)
        if answer.status == "taken":
            figures.ends_taken += 1
            return TAKEN
        if answer.status == "gone":
            figures.ends_gone += 1
            return GONE
        figures.ends_unavailable += 1
        return UNAVAILABLE

    def _run(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _retry_later(client_wait_s: float) -> IntakeAnswer:
    seconds = "1" if client_wait_s >= SHORT_WAIT_S else "0"
    return IntakeAnswer(503, b"not available", headers=(("Retry-After", seconds),))


def _job_answer(job: LeasedJob) -> IntakeAnswer:
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
    return IntakeAnswer(200, message.body, message.content_type or BYTES, tuple(headers))
