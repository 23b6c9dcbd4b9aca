"""The roles as programs of the simulated world: the real parts, joined by simulated seams."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import aiohttp
import attrs
from multidict import CIMultiDict

from hollowusher.configuration.orders import Refusal
from hollowusher.coordination.client import ClusterClient
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.controller import Controller
from hollowusher.coordination.directory import Directory
from hollowusher.coordination.duties import HeadDuties
from hollowusher.coordination.operator_api import CHANGE_TIMEOUT_S, QUESTION_TIMEOUT_S, _read_if_match
from hollowusher.coordination.placement import homes
from hollowusher.coordination.platform_list import PlatformError, PlatformReader
from hollowusher.coordination.updates import Feed
from hollowusher.delivery.connection import Answer
from hollowusher.delivery.outcome import DeliveryOutcome, Ending
from hollowusher.delivery.worker_client import LATE_ANSWER_S, Endpoint, belongs, judge, request_bytes
from hollowusher.dispatch.dispatcher import Dispatcher
from hollowusher.intake.admission import IntakeRequest
from hollowusher.intake.intake import Intake
from hollowusher.intake.store_client import StoreClient
from hollowusher.messages.service import StoreService
from hollowusher.protocol.control import (
    ChangeConfiguration,
    ControlState,
    Member,
    OperatorAnswer,
    ReadConfiguration,
    View,
)
from hollowusher.protocol.store import Job, JobsWaiting
from hollowusher.simulation.http import Exchange, HttpAnswer, HttpFailure, HttpNetwork, HttpRequest
from hollowusher.simulation.world import Disk, Program, Seams
from hollowusher.transport.interface import PeerError

CALLBACK_TIMEOUT_S = 3.0
STOP_GRACE_S = 4.5
LIST_TIMEOUT_S = 1.0
FORWARD_TIMEOUT_S = 2.8


class SimulatedWorkerClient:
    """Delivers jobs over the simulated HTTP network; answers are judged as over real connections."""

    def __init__(self, http: HttpNetwork, host: str) -> None:
        self._http = http
        self._host = host
        self._free: dict[str, asyncio.Semaphore] = {}

    async def deliver(self, endpoint: Endpoint, job: Job, timeout_s: float) -> DeliveryOutcome:
        """Hand a job over and wait for its end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        request = parse_request(request_bytes(job.message, endpoint, timeout_s))
        try:
            answer = await self._http.exchange(self._host, endpoint.address, request,
                                               timeout_s + LATE_ANSWER_S)
        except HttpFailure as failure:
            took = loop.time() - began
            if failure.sent:
                return DeliveryOutcome("unknown", Ending.LOST, started=began, took=took, reason=str(failure))
            return DeliveryOutcome("not_run", Ending.UNREACHABLE, took=took, reason=str(failure))
        seen = Answer(answer.status, CIMultiDict(answer.headers))
        if not belongs(seen, job.message.id):
            return DeliveryOutcome("unknown", Ending.LOST, started=began, reason="another message's answer")
        return attrs.evolve(judge(seen), started=began, took=loop.time() - began)

    def forget(self, endpoint: Endpoint) -> None:
        """There are no idle connections."""

    async def close(self) -> None:
        """There are no connections."""


class SimulatedCallbackClient:
    """Sends call-backs over the simulated HTTP network."""

    def __init__(self, http: HttpNetwork, host: str, address: str) -> None:
        self._http = http
        self._host = host
        self._address = address

    async def post(self, job: Job) -> str:
        """Tell the end; only a 200 means that it was heard."""
        from hollowusher.delivery.callbacks import callback_request

        request = parse_request(callback_request(job))
        try:
            answer = await self._http.exchange(self._host, self._address, request, CALLBACK_TIMEOUT_S)
        except HttpFailure:
            return "unknown"
        return "success" if answer.status == 200 else "failed"

    def close(self) -> None:
        """There are no connections."""


class SimulatedPlatformReader(PlatformReader):
    """Reads the worker list over the simulated HTTP network."""

    def __init__(self, http: HttpNetwork, host: str, address: str, rate_per_s: float) -> None:
        super().__init__(address, rate_per_s)
        self._http = http
        self._host = host

    async def _get(self, token: str | None) -> bytes:
        query = "" if token is None else f"?pageToken={token}"
        request = HttpRequest("GET", f"/instances{query}")
        try:
            answer = await self._http.exchange(self._host, self.address, request, LIST_TIMEOUT_S)
        except HttpFailure as failure:
            raise aiohttp.ClientError(str(failure)) from None
        if answer.status != 200:
            raise PlatformError("read the list", self.address, f"status {answer.status}")
        return answer.body


def parse_request(sent: bytes) -> HttpRequest:
    """The request in the bytes that a client would send."""
    head, _, body = sent.partition(b"\r\n\r\n")
    first, *lines = head.decode("utf-8", "surrogateescape").split("\r\n")
    method, target, _ = first.split(" ")
    headers = dict(line.split(": ", 1) for line in lines)
    return HttpRequest(method, target, headers, body)


async def disk_id(disk: Disk, chance: random.Random) -> str:
    """The id of a disk; a new one is written to an empty disk."""
    slot = disk.slot("disk_id")
    held = slot.load()
    if held is None:
        held = f"{chance.getrandbits(64):016x}".encode()
        await slot.save(held)
    return held.decode()


class EdgeProgram:
    """An edge process, with a disk also a controller."""

    def __init__(self, seams: Seams) -> None:
        self._seams = seams
        self._state = ClusterState()
        self._intake: Intake | None = None
        self._dispatcher: Dispatcher | None = None
        self._controller: Controller | None = None
        self._duties: HeadDuties | None = None
        self._client: ClusterClient | None = None
        self._stopping = False
        self._confirmed = False
        self._duty_task: asyncio.Task[None] | None = None
        self._client_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Join the cluster, then serve clients."""
        seams = self._seams
        settings = seams.settings
        own_disk = await disk_id(seams.disk, seams.chance) if seams.disk is not None else ""
        me = Member(settings.node_name, "edge", settings.internal_address, settings.zone, settings.region,
                    seams.wall_ms(), own_disk, settings.counts_for_quorum, seams.disk is not None,
                    settings.bind.admin)
        loop = asyncio.get_running_loop()
        feed = Feed(f"{me.name}/{me.incarnation}") if seams.disk is not None else None
        if seams.disk is not None and feed is not None:
            directory = Directory(loop.time())
            self._controller = Controller(
                me, seams.transport, settings, seams.disk.slot("view"), seams.disk.slot("state"),
                seams.chance, self._on_view, self._on_state)
            reader = SimulatedPlatformReader(seams.http, seams.host, settings.cloud_api.address,
                                             settings.cloud_api.rate_per_s)
            self._duties = HeadDuties(me, self._controller, feed, directory, settings, reader,
                                      seams.transport, loop.time)
        self._client = ClusterClient(me, seams.transport, settings, self._state, feed, seams.chance)
        stores = StoreClient(seams.transport, self._state, loop.time)
        worker_client = SimulatedWorkerClient(seams.http, seams.host)
        self._dispatcher = Dispatcher(me, seams.transport, self._state, stores, settings, worker_client,
                                      seams.chance)
        self._dispatcher._callbacks._client_of = (  # no seam of its own yet
            lambda address: SimulatedCallbackClient(seams.http, seams.host, address))
        self._intake = Intake(self._state, stores, self._dispatcher.pull_desk, homes, loop.time)
        await seams.transport.start(self._handle)
        if self._controller is not None and self._duties is not None:
            await self._controller.start()
            self._duty_task = loop.create_task(self._duties.run())
        self._client_task = loop.create_task(self._client.run())
        await self._client.confirmed_start()
        self._dispatcher.start()
        self._confirmed = True

    def _on_view(self, view: View) -> None:
        if self._duties is not None:
            self._duties.publish_view(view)

    def _on_state(self, state: ControlState) -> None:
        if self._duties is not None:
            self._duties.publish_state(state)

    async def stop(self) -> None:
        """End in order."""
        self._stopping = True
        if self._client is not None:
            await self._client.leave()
        if self._dispatcher is not None:
            await self._dispatcher.stop(STOP_GRACE_S)
        if self._intake is not None:
            await self._intake.settle()
        if self._controller is not None:
            await self._controller.stop()
        if self._duty_task is not None:
            self._duty_task.cancel()
        if self._client_task is not None:
            self._client_task.cancel()
        await self._seams.transport.close()

    def ready(self) -> bool:
        """Whether it takes clients."""
        return self._confirmed and not self._stopping and self._state.configuration is not None

    def generation(self) -> int:
        """The configuration in force here."""
        configuration = self._state.configuration
        return 0 if configuration is None else configuration.generation

    async def _handle(self, message: Any) -> Any:
        if isinstance(message, JobsWaiting):
            if self._dispatcher is not None:
                self._dispatcher.handle(message)
            return None
        if self._duties is not None and isinstance(message, HeadDuties.MESSAGES):
            return await self._duties.handle(message)
        if self._controller is not None and self._client is not None:
            if isinstance(message, ClusterClient.MESSAGES) and type(message).__name__ != "ReadView":
                return await self._client.handle(message)
            return await self._controller.handle(message)
        return await self._client.handle(message) if self._client is not None else None

    async def frontend(self, exchange: Exchange) -> HttpAnswer | None:
        """Answer a client or pull worker."""
        if self._intake is None:
            return None
        request = exchange.request
        asked = IntakeRequest(request.method, request.target, CIMultiDict(request.headers), request.body)
        answer = await self._intake.accept(asked, exchange.closed.is_set)
        headers = dict(answer.headers)
        headers["Content-Type"] = answer.content_type
        return HttpAnswer(answer.status, headers, answer.body)

    async def admin(self, exchange: Exchange) -> HttpAnswer | None:
        """Answer the operator, as `OperatorApi` does."""
        request = exchange.request
        message: Any = ReadConfiguration()
        timeout = QUESTION_TIMEOUT_S
        if request.method in ("PUT", "PATCH"):
            if_match = _read_if_match(request.header("If-Match"))
            if isinstance(if_match, Refusal):
                return _operator_answer(if_match.answer())
            message, timeout = ChangeConfiguration(request.method, if_match, request.body), CHANGE_TIMEOUT_S
        work = asyncio.get_running_loop().create_task(self._forward(message))
        done, _ = await asyncio.wait({work}, timeout=timeout)
        if not done:
            return HttpAnswer(503)
        try:
            return _operator_answer(work.result())
        except PeerError:
            return HttpAnswer(503)

    async def _forward(self, message: Any) -> OperatorAnswer:
        if self._controller is not None:
            told: OperatorAnswer = await self._controller.handle(message)
            return told
        view = self._state.view
        if view is None:
            return OperatorAnswer(503)
        wanted = view.head if isinstance(message, ChangeConfiguration) else view.tail
        voter = next(voter for voter in view.voters if voter.name == wanted)
        answer = await self._seams.transport.call(voter.address, message, FORWARD_TIMEOUT_S)
        return answer if isinstance(answer, OperatorAnswer) else OperatorAnswer(503)


def _operator_answer(answer: OperatorAnswer) -> HttpAnswer:
    return HttpAnswer(answer.status, {"Content-Type": "application/json"}, answer.body)


class StoreProgram:
    """A storage process."""

    def __init__(self, seams: Seams) -> None:
        self._seams = seams
        self._state = ClusterState()
        self._client: ClusterClient | None = None
        self._service: StoreService | None = None
        self._client_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Join the cluster and keep messages."""
        seams = self._seams
        settings = seams.settings
        assert seams.disk is not None
        own_disk = await disk_id(seams.disk, seams.chance)
        me = Member(settings.node_name, "store", settings.internal_address, settings.zone, settings.region,
                    seams.wall_ms(), own_disk, settings.counts_for_quorum)
        self._client = ClusterClient(me, seams.transport, settings, self._state, None, seams.chance)
        self._service = StoreService(me, me.store_id, seams.transport, seams.disk.log(), self._state,
                                     settings, seams.chance.random, seams.wall_ms)
        await seams.transport.start(self._handle)
        self._client_task = asyncio.get_running_loop().create_task(self._client.run())
        await self._service.start()

    async def stop(self) -> None:
        """End in order."""
        if self._client is not None:
            await self._client.leave()
        if self._service is not None:
            await self._service.stop()
        if self._client_task is not None:
            self._client_task.cancel()
        await self._seams.transport.close()

    def ready(self) -> bool:
        """Stores take no clients."""
        return False

    def generation(self) -> int:
        """The configuration in force here."""
        return 0

    async def _handle(self, message: Any) -> Any:
        if isinstance(message, ClusterClient.MESSAGES) and self._client is not None:
            return await self._client.handle(message)
        return await self._service.handle(message) if self._service is not None else None

    async def frontend(self, exchange: Exchange) -> HttpAnswer | None:
        """Stores take no clients."""
        return None

    async def admin(self, exchange: Exchange) -> HttpAnswer | None:
        """Stores take no orders."""
        return None


def build_program(seams: Seams) -> Program:
    """The program of a machine's role."""
    return StoreProgram(seams) if seams.settings.serves == ["storage"] else EdgeProgram(seams)
