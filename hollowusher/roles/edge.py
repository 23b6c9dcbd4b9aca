"""The role `edge`: one process on each edge machine.

It takes messages from clients, dispatches them to workers, and serves the operator.  With a disk it is a
controller too.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

import attrs
from aiohttp import web

from hollowusher.configuration.boot import BootSettings
from hollowusher.configuration.orders import MOST_BODY_BYTES
from hollowusher.console.status_api import StatusApi
from hollowusher.coordination.bootstrap import SeedService
from hollowusher.coordination.client import ClusterClient
from hollowusher.coordination.cluster_state import VIEW
from hollowusher.coordination.controller import Controller
from hollowusher.coordination.directory import Directory
from hollowusher.coordination.duties import HeadDuties
from hollowusher.coordination.operator_api import OperatorApi
from hollowusher.coordination.platform_list import PlatformReader
from hollowusher.coordination.updates import Feed
from hollowusher.coordination.zone_homes import ZoneHomes
from hollowusher.delivery.worker_client import HttpWorkerClient
from hollowusher.dispatch.dispatcher import Dispatcher
from hollowusher.intake.intake import Intake
from hollowusher.intake.server import EdgeFrontend
from hollowusher.intake.store_client import StoreClient
from hollowusher.protocol.control import (
    ControlState, Member, OperatorAnswer, ReadConfiguration, View, Voter,
)
from hollowusher.protocol.store import JobsWaiting
from hollowusher.roles.change_log import ChangeLog
from hollowusher.roles.logs import log
from hollowusher.roles.process import Process, describe
from hollowusher.storage.slots import SlotFile
from hollowusher.transport.interface import PeerError
from hollowusher.transport.tcp import split_address

VIEW_SLOT = "view"
STATE_SLOT = "control-state"
CONTROL_PLANE = "control_plane"
NOT_READY_BEFORE_STOP_S = 2.3  # after SIGTERM the platform still sends connections until it has asked twice
STOP_MARGIN_S = 0.8  # kept of the grace for the end of the process itself
FORWARD_TIMEOUT_S = 2.8
QUESTION_TIMEOUT_S = 0.8
UNAVAILABLE = OperatorAnswer(503)


class EdgeProcess:
    """The parts of one edge process."""

    def __init__(self, process: Process, me: Member) -> None:
        loop = asyncio.get_running_loop()
        settings, transport, state = process.settings, process.transport, process.state
        self.process = process
        self.me = me
        self.controller: Controller | None = None
        self.duties: HeadDuties | None = None
        self.reader: PlatformReader | None = None
        feed: Feed | None = None
        if me.controller and process.folder is not None:
            feed = Feed(f"{me.name}/{me.incarnation}")
            view_slot = SlotFile(process.folder / VIEW_SLOT)
            state_slot = SlotFile(process.folder / STATE_SLOT)
            self.controller = Controller(
                me, transport, settings, view_slot, state_slot, process.chance,
                self._publish_view, self._publish_state)
            self.reader = PlatformReader(settings.cloud_api.address, settings.cloud_api.rate_per_s)
            directory = Directory(loop.time())
            self.duties = HeadDuties(
                me, self.controller, feed, directory, settings, self.reader, transport, loop.time)
        self.seed: SeedService | None = None
        if self.controller is None:
            self.seed = SeedService(settings, transport)
        self.client = ClusterClient(me, transport, settings, state, feed, process.chance)
        self.store_client = StoreClient(transport, state, loop.time)
        homes = ZoneHomes(state, settings.zone)
        self.dispatcher = Dispatcher(
            me, transport, state, self.store_client, settings, HttpWorkerClient(), process.chance,
            homes=homes)
        self.intake = Intake(state, self.store_client, self.dispatcher.pull_desk, homes, loop.time)
        self.frontend = EdgeFrontend(
            self.intake, settings.bind.frontend, settings.bind.readiness, self.ready, self._report)
        self.confirmed = False
        if self.controller is not None:
            ChangeLog(state, "", self._is_head)

    def _is_head(self) -> bool:
        return self.controller is not None and self.controller.is_head

    def ready(self) -> bool:
        """Whether this process can serve clients."""
        state = self.process.state
        return self.confirmed and state.configuration is not None and state.placement is not None

    async def run(self) -> None:
        """Serve until the process is told to stop, then end in order."""
        process = self.process
        await process.transport.start(self.handle)
        process.listen_for_signals()
        if self.controller is not None and self.duties is not None:
            await self.controller.start()
            process.spawn(self.duties.run())
        elif self.seed is not None:
            await self.seed.start()
        process.state.listen(self._view_known)
        process.spawn(self.client.run())
        operator_site = await self._serve_operator()
        await self.frontend.readiness.start()
        serving = process.spawn(self._serve())
        await process.stopping.wait()
        log("stopping")
        serving.cancel()
        with suppress(TimeoutError):
            async with asyncio.timeout(process.settings.bounds.grace_s - STOP_MARGIN_S / 2):
                await self._stop()
        await operator_site.cleanup()
        await process.close()
        log("stopped")

    async def handle(self, message: Any) -> Any:
        """Answer a message from another process."""
        if isinstance(message, JobsWaiting):
            self.dispatcher.handle(message)
            return None
        if self.duties is not None and isinstance(message, HeadDuties.MESSAGES):
            return await self.duties.handle(message)
        if self.controller is not None and isinstance(message, Controller.MESSAGES):
            return await self.controller.handle(message)
        if self.seed is not None and isinstance(message, SeedService.MESSAGES):
            return await self.seed.handle(message)
        return await self.client.handle(message)

    async def _serve(self) -> None:
        await self.client.confirmed_start()
        self.dispatcher.start()
        await self.frontend.frontend.start()
        self.confirmed = True
        log("serving", incarnation=self.me.incarnation, controller=self.me.controller)

    async def _stop(self) -> None:
        """Be unready until no new connection comes, hand duties over, end what is under way."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        grace = self.process.settings.bounds.grace_s - STOP_MARGIN_S
        self.frontend.drain()
        await self.client.leave()
        stopping = [loop.create_task(self.dispatcher.stop(grace - 0.5))]
        if self.controller is not None:
            stopping.append(loop.create_task(self.controller.stop()))
        await asyncio.sleep(NOT_READY_BEFORE_STOP_S)
        await self.frontend.stop(max(0.3, grace - (loop.time() - started) - 0.5))
        await self.intake.settle()
        await asyncio.gather(*stopping, return_exceptions=True)
        if self.reader is not None:
            await self.reader.close()

    # ---- the operator

    async def _serve_operator(self) -> web.AppRunner:
        application = web.Application(client_max_size=MOST_BODY_BYTES + 1)
        OperatorApi(self._forward).add_routes(application)
        self._status_api().add_routes(application)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        host, port = split_address(self.process.settings.bind.admin)
        await web.TCPSite(runner, host, port).start()
        return runner

    def _status_api(self) -> StatusApi:
        clock = asyncio.get_running_loop().time
        return StatusApi(lambda: self.client.me, self.process.state, self.store_client, self.ready,
                         self._figures, clock)

    def _figures(self) -> dict[str, dict[str, int]]:
        """What the parts of this process have counted since it started."""
        transport = self.process.transport
        return {
            "intake": attrs.asdict(self.intake.figures),
            "delivery": attrs.asdict(self.dispatcher.figures),
            "transport": {"connections_accepted": len(transport.accepted),
                          "failed_handlers": transport.failed_handlers},
            "settings": {"refused": self.process.watch.refused},
            "platform_list": {"calls": 0 if self.reader is None else self.reader.calls},
        }

    async def _forward(self, message: Any) -> OperatorAnswer:
        """Bring an operator's order to the chain's head, a question to its tail."""
        view = self.process.state.view
        if view is None:
            return UNAVAILABLE
        question = isinstance(message, ReadConfiguration)
        wanted = _voter(view, view.tail if question else view.head)
        if wanted is None:
            return UNAVAILABLE
        if wanted.name == self.me.name:
            answer = await self.handle(message)
        else:
            timeout = QUESTION_TIMEOUT_S if question else FORWARD_TIMEOUT_S
            answer = await self.process.transport.call(wanted.address, message, timeout)
        if not isinstance(answer, OperatorAnswer):
            raise PeerError(type(message).__name__, wanted.address, "no answer for an operator")
        return answer

    def _view_known(self, key: str) -> None:
        """A newer view was heard of: one that seeks it, or is asked for it, learns it too."""
        view = self.process.state.view
        if key != VIEW or view is None:
            return
        if self.controller is not None:
            self.process.spawn(self.controller.learn(view))
        elif self.seed is not None:
            self.seed.learn(view)

    # ---- publishing

    def _publish_view(self, view: View) -> None:
        if self.duties is not None:
            self.duties.publish_view(view)

    def _publish_state(self, state: ControlState) -> None:
        if self.duties is not None:
            self.duties.publish_state(state)

    def _report(self, error: Exception) -> None:
        log("request_failed", error=describe(error))


def _voter(view: View, name: str) -> Voter | None:
    return next((voter for voter in view.voters if voter.name == name), None)


async def serve_edge(settings: BootSettings, path: str) -> int:
    """Run an edge process until it is stopped; the exit code."""
    process = Process(settings, path, "edge")
    controller = bool(
        process.folder is not None and settings.counts_for_quorum and CONTROL_PLANE in settings.serves)
    me = await process.identify(controller)
    await EdgeProcess(process, me).run()
    return 0
