"""The role `edge`: one process on each edge machine.

An edge process accepts messages from clients, dispatches them to workers and serves the operator's admin
address.  An edge process with a disk can also be a controller.  Modules that are not needed to serve clients
are imported after the start: after a power failure of all machines, the start time adds to the outage.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import attrs

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import VIEW
from hollowusher.coordination.consensus.seed_service import SeedService
from hollowusher.coordination.distribution.cluster_client import ClientResources, ClusterClient
from hollowusher.coordination.distribution.peer_identities import track_peer_identities
from hollowusher.coordination.placement.partitioner import ZonePartitioner
from hollowusher.delivery.worker_client import HttpWorkerClient
from hollowusher.dispatch.dispatcher import Dispatcher
from hollowusher.intake.intake_service import IntakeLimits, IntakeService
from hollowusher.intake.server import EdgeFrontend
from hollowusher.intake.store_client import StoreClient
from hollowusher.log_events import EdgeStarted, RequestFailed, ShutdownCompleted, ShutdownStarted
from hollowusher.protocol.leases import JobsWaiting
from hollowusher.protocol.membership import Member
from hollowusher.roles.edge_listeners import EdgeListeners
from hollowusher.roles.logs import describe_error, log
from hollowusher.roles.process import Process

if TYPE_CHECKING:
    from hollowusher.roles.control_plane import ControlPlane
    from hollowusher.roles.operator_server import OperatorServer

CONTROL_PLANE = "control_plane"
# The configuration counts as current if the last contact with a majority of the controllers is not older than
# this fraction of configApplyMs.
MAX_CONFIRMATION_AGE_SHARE = 0.95
# After SIGTERM, the platform opens new connections until two of its readiness checks have failed.
UNREADY_BEFORE_STOP_S = 2.3
STOP_MARGIN_S = 0.8  # part of graceS reserved for the exit of the process itself
# The admin server starts after the frontend, but waits for the frontend at most this long.
OPERATOR_START_TIMEOUT_S = 1.0


class EdgeProcess:
    """Creates, starts and stops the components of one edge process."""

    def __init__(self, process: Process, me: Member) -> None:
        loop = asyncio.get_running_loop()
        settings, transport, state = process.settings, process.transport, process.state
        self.process = process
        self.me = me
        self.control: ControlPlane | None = None
        self.seed: SeedService | None = None
        if me.controller and process.data_dir is not None:
            from hollowusher.roles.control_plane import ControlPlane

            self.control = ControlPlane(process, me, process.data_dir)
        else:
            self.seed = SeedService(
                settings, transport, process.random_source, lambda view: self.client.learn_view(view)
            )
        feed = None if self.control is None else self.control.feed
        self.client = ClusterClient(
            me,
            settings,
            ClientResources(transport, state, feed, process.random_source),
            lambda: process.settings.seed_addresses(),
        )
        self.store_client = StoreClient(transport, state, loop.time)
        zone_partitioner = ZonePartitioner(state, settings.zone)
        self.dispatcher = Dispatcher(
            me,
            transport,
            state,
            self.store_client,
            settings,
            HttpWorkerClient(),
            process.random_source,
            rank_partitions=zone_partitioner,
        )
        apply_s = settings.bounds.config_apply_ms / 1000
        self.listeners = EdgeListeners(settings, self._log_failed_request)
        self.intake = IntakeService(
            state,
            self.store_client,
            self.dispatcher.pull_dispatcher,
            zone_partitioner,
            loop.time,
            IntakeLimits.of_process(settings.limits.memory_mb, self.listeners.max_clients),
            is_current=lambda: (
                self.client.seconds_since_majority(loop.time()) <= MAX_CONFIRMATION_AGE_SHARE * apply_s
            ),
        )
        self.frontend = EdgeFrontend(
            self.intake, self.listeners.frontend, self.listeners.readiness, self.ready
        )
        self.serving = asyncio.Event()
        self._operator_server: OperatorServer | None = None

    def ready(self) -> bool:
        """Return whether this process can serve clients."""
        state = self.process.state
        return self.serving.is_set() and state.configuration is not None and state.placement is not None

    async def run(self) -> None:
        """Serve until the process receives a stop signal or a task fails, then shut down."""
        process = self.process
        await process.transport.start(self.handle)
        process.listen_for_signals()
        if self.control is not None:
            await self.control.start()
        elif self.seed is not None:
            await self.seed.start()
        process.state.add_listener(self._learn_view)
        process.spawn(self.client.run())
        process.spawn(process.serve_metrics(self._read_metrics))
        await self.frontend.readiness.start()
        start_tasks = [process.spawn(self._start_serving()), process.spawn(self._start_operator_server())]
        await process.stopping.wait()
        log(ShutdownStarted())
        for task in start_tasks:
            task.cancel()
        with suppress(TimeoutError):
            async with asyncio.timeout(process.settings.bounds.grace_s - STOP_MARGIN_S / 2):
                await self._stop()
        if self._operator_server is not None:
            await self._operator_server.stop()
        await process.close()
        log(ShutdownCompleted())

    async def handle(self, message: Any) -> Any:
        """Dispatch a message from another process to its component and return the response."""
        if isinstance(message, JobsWaiting):
            self.dispatcher.handle(message)
            return None
        if self.control is not None and self.control.handles(message):
            return await self.control.handle(message)
        if self.seed is not None and isinstance(message, SeedService.MESSAGES):
            return await self.seed.handle(message)
        return await self.client.handle(message)

    async def _start_serving(self) -> None:
        await self.client.wait_for_committed_state()
        self.dispatcher.start()
        await self.frontend.frontend.start()
        self.serving.set()
        log(EdgeStarted(incarnation=self.me.incarnation, controller=self.me.controller))

    async def _stop(self) -> None:
        """Fail the readiness checks until no new connections arrive, hand over, and finish open requests."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        grace = self.process.settings.bounds.grace_s - STOP_MARGIN_S
        self.frontend.drain()
        await self.client.leave()
        stopping = [loop.create_task(self.dispatcher.stop(grace - 0.5))]
        if self.control is not None:
            stopping.append(loop.create_task(self.control.stop()))
        await asyncio.sleep(UNREADY_BEFORE_STOP_S)
        await self.frontend.stop(max(0.3, grace - (loop.time() - started) - 0.5))
        await self.intake.wait_for_background_calls()
        await asyncio.gather(*stopping, return_exceptions=True)

    async def _start_operator_server(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(OPERATOR_START_TIMEOUT_S):
                await self.serving.wait()
        from hollowusher.console.status_api import StatusApi
        from hollowusher.roles.control_status_query import ControlStatusQuery
        from hollowusher.roles.operator_server import OperatorForwarder, start_operator_server

        process = self.process
        forward = OperatorForwarder(self.me.name, process.state, process.transport, self.handle)
        clock = asyncio.get_running_loop().time
        control = ControlStatusQuery(self.me.name, process.state, process.transport, self.handle)
        status = StatusApi(
            lambda: self.client.me,
            process.state,
            self.store_client,
            self.ready,
            self._read_metrics,
            clock,
            control,
        )
        self._operator_server = await start_operator_server(self.listeners.admin, forward, status)

    def _read_metrics(self) -> dict[str, dict[str, int]]:
        """Return the counters of this process since its start, by component."""
        transport = self.process.transport
        return {
            "intake": attrs.asdict(self.intake.metrics),
            "closed": attrs.asdict(self.listeners.metrics),
            "closed_peers": attrs.asdict(transport.inbound.metrics),
            "delivery": attrs.asdict(self.dispatcher.metrics),
            "transport": {
                "connections_accepted": len(transport.accepted),
                "failed_handlers": transport.failed_handlers,
                **attrs.asdict(transport.peers.figures),
            },
            "settings": {"refused": self.process.settings_watcher.rejected_count},
            "platform_list": {"calls": 0 if self.control is None else self.control.reader.calls},
        }

    def _learn_view(self, key: str) -> None:
        """Pass a newer view from the cluster state to the controller or the seed service."""
        view = self.process.state.view
        if key != VIEW or view is None:
            return
        if self.control is not None:
            self.control.learn(view)
        elif self.seed is not None:
            self.seed.learn(view)

    def _log_failed_request(self, error: Exception) -> None:
        log(RequestFailed(reason=describe_error(error)))


async def serve_edge(settings: BootSettings, path: str) -> int:
    """Run an edge process until it stops, and return the exit code."""
    process = Process(settings, path, "edge")
    controller = bool(
        process.data_dir is not None and settings.counts_for_quorum and CONTROL_PLANE in settings.serves
    )
    me = await process.claim_membership(controller)
    track_peer_identities(process.transport.peers, me, process.state)
    await EdgeProcess(process, me).run()
    return 0
