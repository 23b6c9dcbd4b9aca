"""What takes the place of sockets, files, signals and clocks under the real roles."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import PurePosixPath
from types import SimpleNamespace
from typing import Any

import aiohttp
import attrs
from multidict import CIMultiDict

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.controller.errors import WorkerListReadError
from hollowusher.coordination.controller.operator_api import OperatorApi
from hollowusher.coordination.controller.worker_list_reader import READ_STEP, WorkerListReader
from hollowusher.coordination.controller.worker_list_timing import WorkerListTiming
from hollowusher.delivery.callback_delivery import encode_callback_request
from hollowusher.delivery.http_connection import DeliveryResponse
from hollowusher.delivery.outcome import DeliveryOutcome, WorkerFeedback
from hollowusher.delivery.worker_client import (
    LATE_RESPONSE_S,
    Endpoint,
    encode_request,
    interpret_response,
    matches_message,
)
from hollowusher.intake.admission import ClientRequest
from hollowusher.intake.intake_service import IntakeService
from hollowusher.protocol.leases import LeasedJob
from hollowusher.protocol.membership import Member
from hollowusher.simulation.http_network import (
    HttpExchange,
    HttpExchangeError,
    HttpNetwork,
    HttpRequest,
    HttpResponse,
)
from hollowusher.simulation.machine import ProcessEnvironment
from hollowusher.storage.identity import claim_incarnation, next_incarnation

CALLBACK_TIMEOUT_S = 3.0
STOP_POLL_S = 0.02
DISK_ID_SLOT = "disk-id"
INCARNATION_SLOT = "life"


def parse_request(sent: bytes) -> HttpRequest:
    """Parse the request in the bytes that a client would send."""
    head, _, body = sent.partition(b"\r\n\r\n")
    first, *lines = head.decode("utf-8", "surrogateescape").split("\r\n")
    method, target, _ = first.split(" ")
    headers = dict(line.split(": ", 1) for line in lines)
    return HttpRequest(method, target, headers, body)


class SimulatedWorkerClient:
    """Delivers jobs over the simulated HTTP network; answers are judged as over real connections."""

    def __init__(self, http: HttpNetwork, host: str) -> None:
        self._http = http
        self._host = host

    async def deliver(self, endpoint: Endpoint, job: LeasedJob, timeout_s: float) -> DeliveryOutcome:
        """Deliver a job and wait for its end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        request = parse_request(encode_request(job.message, endpoint, timeout_s))
        try:
            answer = await self._http.exchange(
                self._host, endpoint.address, request, timeout_s + LATE_RESPONSE_S
            )
        except HttpExchangeError as failure:
            elapsed_s = loop.time() - began
            if failure.sent:
                return DeliveryOutcome(
                    "unknown", WorkerFeedback.LOST, started=began, elapsed_s=elapsed_s, reason=str(failure)
                )
            return DeliveryOutcome(
                "not_run", WorkerFeedback.UNREACHABLE, elapsed_s=elapsed_s, reason=str(failure)
            )
        seen = DeliveryResponse(answer.status, CIMultiDict(answer.headers))
        if not matches_message(seen, job.message.id):
            return DeliveryOutcome(
                "unknown", WorkerFeedback.LOST, started=began, reason="another message's answer"
            )
        return attrs.evolve(interpret_response(seen), started=began, elapsed_s=loop.time() - began)

    def retire(self, endpoint: Endpoint) -> None:
        """There are no idle connections."""

    async def close(self) -> None:
        """There are no connections."""


class SimulatedCallbackClient:
    """Sends call-backs over the simulated HTTP network."""

    def __init__(self, http: HttpNetwork, host: str, address: str) -> None:
        self._http = http
        self._host = host
        self._address = address

    async def post(self, job: LeasedJob) -> str:
        """Tell the end; only a 200 means that it was heard."""
        request = parse_request(encode_callback_request(job))
        try:
            answer = await self._http.exchange(self._host, self._address, request, CALLBACK_TIMEOUT_S)
        except HttpExchangeError:
            return "unknown"
        return "success" if answer.status == 200 else "failed"

    def close(self) -> None:
        """There are no connections."""


class SimulatedWorkerListReader(WorkerListReader):
    """Reads the worker list over the simulated HTTP network."""

    def __init__(self, http: HttpNetwork, host: str, address: str, timing: WorkerListTiming) -> None:
        super().__init__(address, timing)
        self._http = http
        self._host = host

    async def _get_body(self, token: str | None) -> bytes:
        query = "" if token is None else f"?pageToken={token}"
        request = HttpRequest("GET", f"/instances{query}")
        try:
            answer = await self._http.exchange(self._host, self.address, request, self._timing.call_timeout_s)
        except HttpExchangeError as failure:
            raise aiohttp.ClientError(str(failure)) from None
        if answer.status != 200:
            raise WorkerListReadError(READ_STEP, self.address, f"status {answer.status}")
        return answer.body


class _Listener:
    """An HTTP server of a process, while it listens."""

    def __init__(
        self,
        environment: ProcessEnvironment,
        address: str,
        answer: Callable[[HttpExchange], Coroutine[Any, Any, HttpResponse | None]],
    ) -> None:
        self.process = environment.transport.process
        self.busy = 0
        self._http = environment.http
        self._address = address
        self._answer = answer

    async def start(self) -> None:
        """Listen."""
        self._http.listen(self._address, self)

    async def serve(self, exchange: HttpExchange) -> HttpResponse | None:
        """Answer a request."""
        self.busy += 1
        try:
            return await self._answer(exchange)
        finally:
            self.busy -= 1

    async def stop(self, grace_s: float) -> None:
        """Listen no more, and wait for the requests under way."""
        self._http.stop_listening(self._address)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_s
        while self.busy and loop.time() < deadline:
            await asyncio.sleep(STOP_POLL_S)


class SimulatedFrontend:
    """The servers for clients and for `/readyz` of an edge process."""

    def __init__(
        self,
        environment: ProcessEnvironment,
        intake: IntakeService,
        address: str,
        readiness: str,
        ready: Callable[[], bool],
    ) -> None:
        self.frontend = _Listener(environment, address, self._serve)
        self.readiness = _Listener(environment, readiness, self._readyz)
        self._intake = intake
        self._ready = ready
        self._draining = False

    def drain(self) -> None:
        """Be unready from now on; go on serving what comes."""
        self._draining = True
        self._intake.drain()

    async def stop(self, grace_s: float) -> None:
        """Stop within `grace_s`, after the requests under way."""
        self.drain()
        await self.frontend.stop(grace_s)
        await self.readiness.stop(0.0)

    async def _serve(self, exchange: HttpExchange) -> HttpResponse | None:
        request = exchange.request
        asked = ClientRequest(request.method, request.target, CIMultiDict(request.headers), request.body)
        answer = await self._intake.handle(asked, exchange.closed.is_set)
        headers = {"Content-Type": answer.content_type, **dict(answer.headers)}
        return HttpResponse(answer.status, headers, answer.body)

    async def _readyz(self, exchange: HttpExchange) -> HttpResponse | None:
        return HttpResponse(200 if self._ready() and not self._draining else 503)


class SimulatedOperatorSite:
    """The operator's HTTP interface of an edge process."""

    def __init__(self, environment: ProcessEnvironment, api: OperatorApi) -> None:
        self._api = api
        self._listener = _Listener(environment, environment.settings.bind.admin, self._serve)

    async def start(self) -> None:
        """Listen."""
        await self._listener.start()

    async def stop(self) -> None:
        """Listen no more."""
        await self._listener.stop(0.0)

    async def _serve(self, exchange: HttpExchange) -> HttpResponse | None:
        asked: Any = _OperatorRequest(exchange.request)
        read = exchange.request.method == "GET"
        if asked.match_info["node"]:
            handler = self._api._read_retirement if read else self._api._start_retirement
        else:
            handler = self._api._read_configuration if read else self._api._change_configuration
        response = await handler(asked)
        body = response.body if isinstance(response.body, bytes) else b""
        return HttpResponse(response.status, dict(response.headers), body)


class _OperatorRequest:
    """The part of `aiohttp.web.Request` that the operator's handlers use."""

    def __init__(self, request: HttpRequest) -> None:
        self.method = request.method
        self.headers = CIMultiDict(request.headers)
        self.content_length = len(request.body)
        self.match_info = {"node": request.target.partition("/retire/")[2]}
        self._body = request.body

    async def read(self) -> bytes:
        """Return the body."""
        return self._body


class SimulatedRoleProcess:
    """In place of `hollowusher.roles.process.Process`: identity, transport and an orderly end."""

    def __init__(self, environment: ProcessEnvironment, settings: BootSettings, role: str) -> None:
        self.settings = settings
        self.role = role
        self.random_source = environment.random_source
        self.stopping = asyncio.Event()
        self.transport = environment.transport
        self.state = ClusterState()
        self.data_dir = PurePosixPath(settings.data_dir) if settings.data_dir else None
        self.settings_watcher = SimpleNamespace(rejected_count=0)
        self._environment = environment
        self._tasks: set[asyncio.Task[Any]] = set()
        environment.role_process = self

    async def claim_membership(self, controller: bool) -> Member:
        """Describe the process as the others will know it."""
        environment, settings = self._environment, self.settings
        disk_id = ""
        if environment.disk is not None:
            disk_id = await self._disk_id()
            incarnation_slot = environment.disk.slot(INCARNATION_SLOT)
            incarnation = await claim_incarnation(incarnation_slot, environment.wall_ms(), self.random_source)
        else:
            incarnation = next_incarnation(environment.wall_ms(), None, self.random_source)
        return Member(
            settings.node_name,
            self.role,
            settings.internal_address,
            settings.zone,
            settings.region,
            incarnation,
            disk_id,
            settings.counts_for_quorum,
            controller,
            settings.bind.admin,
        )

    async def _disk_id(self) -> str:
        assert self._environment.disk is not None
        slot = self._environment.disk.slot(DISK_ID_SLOT)
        held = slot.load()
        if held is None:
            held = f"{self.random_source.getrandbits(64):016x}".encode()
            await slot.save(held)
        return held.decode()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a part beside the others; its failure is noted and ends the process."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def listen_for_signals(self) -> None:
        """Do nothing: the cluster sets `stopping` itself."""

    async def serve_metrics(self, read_figures: Callable[[], object]) -> None:
        """Serve no figures: nobody reads them in a simulation."""

    async def close(self) -> None:
        """End what still runs."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.transport.close()

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self.stopping.is_set():
            return
        error = task.exception()
        if error is not None:
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        """Note the failure of a task and end the process."""
        if not self.stopping.is_set():
            self._environment.report_failure(f"a part failed: {error!r}")
            self.stopping.set()
