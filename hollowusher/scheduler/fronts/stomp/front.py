"""Sets up the STOMP front for clients and route nodes; imported only if the settings enable it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from hollowusher.balancing.interface import JobClass, Listed
from hollowusher.scheduler.config import SchedulerConfig
from hollowusher.scheduler.dispatch.model import DispatchEvent
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.effects import EffectExecutor
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.fronts.stomp.clients import StompClients
from hollowusher.scheduler.fronts.stomp.nodes import StompNodes
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import listen


class StompFront:
    """The component that runs the STOMP front: the server for clients and the connections to route nodes."""

    name = "stomp"

    def __init__(
        self,
        config: SchedulerConfig,
        registry: WorkerRegistry,
        executor: EffectExecutor,
        ids: JobIds,
        post: Callable[[DispatchEvent], None],
        log: LogWriter,
    ) -> None:
        stomp = config.stomp
        self._listed = []
        for n in stomp.nodes:
            entry = Listed(registry.number(n.name), n.zone, n.kind, n.cell, size=n.size)
            self._listed.append(RouteNode(n.name, n.address, entry, front="stomp"))
            registry.add_static(self._listed[-1])
        self.nodes = StompNodes(
            registry, config.meanings, post, log, config.name, stomp.heart_beat_ms, config.connect_timeout_s
        )
        executor.nodes["stomp"] = self.nodes
        classes = {c.name: c for c in config.settings.classes}
        limits = config.settings.limits
        max_wait_ns = limits.max_retry_after_ns if limits.retry_after else 0
        self.clients = StompClients(listen(stomp.listen), classes, stomp, max_wait_ns, ids, post, log)

    def follow(self, classes: Mapping[str, JobClass]) -> None:
        """Replace the job classes for new jobs; open jobs keep their class."""
        self.clients.classes = classes

    async def start(self) -> None:
        """Connect to the nodes and accept clients."""
        self.nodes.start(self._listed)
        self._accepting = asyncio.create_task(self.clients.accept())

    async def drain(self) -> None:
        """Accept frames for a short time more; return when every accepted job is answered."""
        await self.clients.drain(self._accepting)

    async def stop(self) -> None:
        """Close the connections to the nodes."""
        await self.nodes.close()

    def report(self) -> Mapping[str, object]:
        """Return the names of the STOMP route nodes."""
        return {"nodes": [node.name for node in self._listed]}
