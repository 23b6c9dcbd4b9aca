"""Assembles the operational features of one process: live replacement, manual worker detachment, metrics.

Features that the configuration does not enable are not imported.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from hollowusher.balancing.learned_state import LearnedState
from hollowusher.scheduler.component import Component
from hollowusher.scheduler.config import SchedulerConfig
from hollowusher.scheduler.dispatch.metrics import SchedulerMetrics
from hollowusher.scheduler.dispatch.model import LearnedStateReceived
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.effects import EffectExecutor
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.fronts.platform.clients import PlatformClients
from hollowusher.scheduler.fronts.platform.discovery import NodeListWatch
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import bind
from hollowusher.scheduler.net.owner import DispatcherOwner
from hollowusher.scheduler.net.pool import Pool

if TYPE_CHECKING:
    from hollowusher.scheduler.operators.detached import DetachedWorkers
    from hollowusher.scheduler.replacement.directory import SharedDirectory
    from hollowusher.scheduler.replacement.process import Replacement

SPARE_SOCKETS = 72  # for the log, the worker list, operators, the listeners and the event loop
NODE_SHARE = 0.45  # share of the remaining sockets that is used for connections to nodes
LEAST_SOCKETS = 16
LIST_NEWS_S = 1.0  # how long a replacement process waits for the worker list before it accepts clients


class Operations:
    """Connects live replacement and the operators' HTTP interface to the rest of the process."""

    def __init__(
        self,
        config: SchedulerConfig,
        registry: WorkerRegistry,
        ids: JobIds,
        owner: DispatcherOwner,
        watch: NodeListWatch,
        executor: EffectExecutor,
        figures: SchedulerMetrics,
        log: LogWriter,
    ) -> None:
        self._config, self._registry, self._ids, self._owner = config, registry, ids, owner
        self._watch, self._executor, self._figures, self._log = watch, executor, figures, log
        self._accepting = False
        self._memory: LearnedState | None = None
        self._directory: SharedDirectory | None = None
        self.replacement: Replacement | None = None
        self._detached: DetachedWorkers | None = None
        if config.shared_directory is not None:
            from hollowusher.scheduler.replacement.directory import SharedDirectory
            from hollowusher.scheduler.replacement.process import Replacement

            directory = SharedDirectory(config.shared_directory, config.listen)
            try:
                directory.enter()
            except OSError as wrong:  # the process runs without the directory, but cannot be replaced live
                log.error("shared-directory", str(wrong))
                return
            self._directory = directory
            self.replacement = Replacement(
                directory, registry, ids, owner.post, lambda: watch.version, owner.remember, log
            )

    def listener(self) -> socket.socket:
        """Return the listening socket for clients.

        Only processes of this scheduler may share the address (SO_REUSEPORT); if no other process of this
        scheduler runs, the address must be free, and OSError is raised if it is in use."""
        address = self._config.listen
        if self._directory is None:
            return bind(address)
        if not self._directory.others():
            bind(address).close()
        return bind(address, shared=True)

    @property
    def parts(self) -> list[Component]:
        """The components that start and stop with the process."""
        return [self.replacement] if self.replacement is not None else []

    def wire(self, clients: PlatformClients, pool: Pool, sockets: int) -> None:
        """Connect live replacement to the client server and the connection pool.

        While two processes run, each uses half of the sockets of one.
        `Replacement.replaced` is set while a newer process serves clients."""
        self._clients = clients
        if self.replacement is None:
            return

        def share(shared: bool) -> None:
            complete = max(LEAST_SOCKETS, (sockets - SPARE_SOCKETS) // 2) if shared else sockets
            to_nodes = int(complete * NODE_SHARE)
            pool.limit(to_nodes)
            clients.limit(complete - to_nodes)

        clients.replaced = self.replacement.replaced
        self.replacement.shared = share

    def server(self, parts: Iterable[Component]) -> Iterator[Component]:
        """Yield the operators' HTTP server if the configuration has an address for it."""
        if self._config.operators is None:
            return
        from hollowusher.scheduler.operators.detached import DetachedWorkers
        from hollowusher.scheduler.operators.figures import lines
        from hollowusher.scheduler.operators.server import OperatorsServer

        self._detached = DetachedWorkers(
            self._registry, self._directory, self._owner.post, self._executor.leaving, self._log
        )
        server = OperatorsServer(
            self._config.operators,
            lambda: lines(self._figures, self._known, self._excluded),
            self._detached,
            parts,
        )
        server.ready = lambda: self._accepting and self._clients.last_answer_ns is None
        yield server

    def _known(self) -> int:
        return len(self._registry.in_list())

    def _excluded(self) -> int:
        avoided = self._owner.avoided
        return sum(
            worker.name in self._registry.detached or worker.entry.worker in avoided
            for worker in self._registry.in_list()
        )

    async def receive_handover(self) -> None:
        """Load the state that an older process of this scheduler hands over, if one runs."""
        if self.replacement is None:
            return
        from hollowusher.scheduler.replacement.workers import from_records

        handover = await self.replacement.receive_handover()
        if handover is not None:
            try:
                self._watch.hand(handover.list_version, from_records(handover.workers, self._registry))
                self._memory = handover.memory
            except ValueError as wrong:
                self._log.warning("handover-unreadable", str(wrong))
        if self._detached is not None:
            self._detached.refresh()
            self.replacement.after_poll.append(self._detached.refresh)

    def post_learned_state(self) -> None:
        """Send the handed-over learned state to the dispatcher, which already has the worker list."""
        if self._memory is not None:
            self._owner.post(LearnedStateReceived(self._memory))

    async def wait_for_list(self) -> None:
        """In a replacement process, wait for the worker list, for LIST_NEWS_S seconds at most."""
        if self.replacement is not None and self.replacement.has_others:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LIST_NEWS_S):
                    await self._watch.heard.wait()

    def mark_serving(self) -> None:
        """Record that this process accepts clients from now on."""
        self._accepting = True
        if self.replacement is not None:
            self.replacement.mark_serving()

    def mark_draining(self) -> None:
        """Record that this process is draining."""
        if self.replacement is not None:
            self.replacement.mark_draining()
