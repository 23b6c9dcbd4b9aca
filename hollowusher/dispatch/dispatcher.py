"""The dispatcher of an edge process: determines the destinations that the process owns, and runs one
`ServiceDispatcher` for each service."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Sequence

from hollowusher.configuration.boot import BootSettings
from hollowusher.configuration.model import Configuration, Route, Service
from hollowusher.coordination.cluster_state import (
    CONFIGURATION,
    MEMBER_PREFIX,
    PLACEMENT,
    WORKERS,
    ClusterState,
)
from hollowusher.coordination.rendezvous import rank_partitions
from hollowusher.delivery.callback_delivery import CallbackDelivery, max_callback_connections
from hollowusher.delivery.lease_end_reporter import FinishClient, LeaseEndReporter
from hollowusher.delivery.lease_poller import LeasingContext, PartitionRanking
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.delivery.pull_dispatcher import LeasingPullDispatcher
from hollowusher.delivery.worker_client import Endpoint, WorkerClient
from hollowusher.dispatch.ownership import (
    Destination,
    assign_owners,
    fixed_destination,
    preferred_owner,
    worker_destination,
)
from hollowusher.dispatch.service_dispatcher import DispatchContext, OwnedDestination, ServiceDispatcher
from hollowusher.protocol.leases import JobsWaiting
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import CALLBACK_PREFIX
from hollowusher.protocol.worker_list import PlatformWorker
from hollowusher.transport.interface import Transport

READY_STATE = "ready"
STOP_MARGIN_S = 0.3  # the last part of the grace period, reserved for the final lease end reports
EDGE_ROLE = "edge"


class Dispatcher:
    """Delivers jobs to the pushed workers, and callbacks to the receivers, that this process owns.

    `pull_dispatcher` leases jobs for the pull workers that call this process.  `me` is the membership record
    of this process.  `chance` is the random source for the phases and the jitter of flow control.
    """

    def __init__(
        self,
        me: Member,
        transport: Transport,
        state: ClusterState,
        store_client: FinishClient,
        settings: BootSettings,
        worker_client: WorkerClient,
        chance: random.Random,
        *,
        rank_partitions: PartitionRanking = rank_partitions,
        metrics: DeliveryMetrics | None = None,
    ) -> None:
        self.metrics = metrics or DeliveryMetrics()
        self._me = me
        self._state = state
        self._client = worker_client
        self._reporter = LeaseEndReporter(store_client, self.metrics)
        self._leasing_context = LeasingContext(me, transport, state, rank_partitions, self.metrics)
        self._context = DispatchContext(
            self._leasing_context, worker_client, self._reporter, self.metrics, chance, self._route
        )
        self._callbacks = CallbackDelivery(
            self._leasing_context,
            self._reporter,
            self._owns_receiver,
            max_connections=max_callback_connections(settings.limits.max_fds),
        )
        self.pull_dispatcher = LeasingPullDispatcher(
            self._leasing_context, self._reporter, settings.bounds.visibility_ms
        )
        self._services: dict[str, ServiceDispatcher] = {}
        self._routes: dict[str, Route] = {}
        self._configuration: Configuration | None = None
        self._refresh_due = False
        self._listed_at = 0.0  # event loop time at which the latest worker list arrived
        self._started = self._stopping = False

    def start(self) -> None:
        """Start leasing and delivering jobs, and subscribe to changes of the cluster state."""
        self._started = True
        self._listed_at = asyncio.get_running_loop().time()
        self._state.add_listener(self._on_state_change)
        self._refresh()

    async def stop(self, grace_s: float) -> None:
        """Stop leasing, release the jobs that have not started, and wait for the deliveries in progress.

        Deliveries and lease requests that still run `STOP_MARGIN_S` before the end of `grace_s` (seconds) are
        cancelled."""
        loop = asyncio.get_running_loop()
        self._stopping = True
        deadline = loop.time() + grace_s
        waiting = [task for service in self._services.values() for task in service.stop()]
        waiting += self._callbacks.stop()
        waiting += [task for service in self._services.values() for task in service.deliveries]
        waiting += self.pull_dispatcher.stop()
        if waiting:
            _, left = await asyncio.wait(waiting, timeout=max(0.0, grace_s - STOP_MARGIN_S))
            for task in left:
                task.cancel()
        await self._reporter.flush(deadline)
        await self._callbacks.close()
        await self._client.close()

    def handle(self, waiting: JobsWaiting) -> None:
        """Handle a store's notice that it holds jobs of a service for which it has no lease request."""
        if not self._started or self._stopping:
            return
        if waiting.service.startswith(CALLBACK_PREFIX):
            self._callbacks.handle(waiting)
            return
        self.pull_dispatcher.handle(waiting)
        dispatch = self._services.get(waiting.service)
        if dispatch is not None and not dispatch.is_idle:
            dispatch.leases.add_store(waiting.store)

    def owned(self) -> dict[str, list[str]]:
        """Return the keys of the destinations that this process owns, by service name."""
        return {name: [spec.key for spec in specs] for name, specs in self._owned_destinations().items()}

    def _route(self, name: str) -> Route | None:
        return self._routes.get(name)

    def _owns_receiver(self, service: str) -> bool:
        return preferred_owner(Destination(service), self._state.live_members(EDGE_ROLE)) == self._me.name

    def _on_state_change(self, key: str) -> None:
        if key == WORKERS:
            self._listed_at = asyncio.get_running_loop().time()
        relevant = key in (CONFIGURATION, WORKERS, PLACEMENT) or key.startswith(MEMBER_PREFIX)
        if relevant and not self._refresh_due and not self._stopping:
            self._refresh_due = True
            asyncio.get_running_loop().call_soon(self._refresh)

    def _refresh(self) -> None:
        """Recompute the owned destinations and update the dispatcher of each service."""
        self._refresh_due = False
        if self._stopping:
            return
        configuration = self._state.configuration
        if configuration is None:
            return
        if configuration is not self._configuration:
            self._configuration = configuration
            self._routes = {route.name: route for route in configuration.routes}
        owned = self._owned_destinations()
        services = {service.name: service for service in configuration.upstreams}
        for name in set(self._services) | set(owned):
            self._update_service(name, services.get(name), owned.get(name, []))

    def _update_service(self, name: str, service: Service | None, specs: list[OwnedDestination]) -> None:
        dispatch = self._services.get(name)
        if dispatch is None:
            if service is None or not specs:
                return
            dispatch = self._services[name] = ServiceDispatcher(service, self._context)
        dispatch.update(service or dispatch.service, specs)
        if not specs and dispatch.is_idle:
            del self._services[name]

    def _owned_destinations(self) -> dict[str, list[OwnedDestination]]:
        configuration = self._state.configuration
        if configuration is None:
            return {}
        pushed = {service.name: service for service in configuration.upstreams if not service.pull}
        workers = self._listed_workers(pushed)
        members = self._state.live_members(EDGE_ROLE)
        owners = assign_owners(_all_destinations(pushed.values(), workers), members)
        owned: dict[str, list[OwnedDestination]] = {}
        for service in pushed.values():
            key = service.fixed_destination_key
            if service.fixed is not None and key is not None and owners.get(key) == self._me.name:
                owned[service.name] = [_endpoint_spec(service, service.fixed, key)]
        for worker in workers:
            key = _destination(worker).key
            if worker.state == READY_STATE and owners.get(key) == self._me.name:
                owned.setdefault(worker.service, []).append(self._worker_spec(pushed[worker.service], worker))
        return owned

    def _listed_workers(self, pushed: dict[str, Service]) -> Sequence[PlatformWorker]:
        workers = self._state.workers
        listed = workers.workers if workers is not None else []
        return [
            worker for worker in listed if worker.service in pushed and pushed[worker.service].fixed is None
        ]

    def _worker_spec(self, service: Service, worker: PlatformWorker) -> OwnedDestination:
        endpoint = Endpoint(worker.address, worker.id, service.max_connections, service.idempotent)
        slow_start_until = self._listed_at + worker.warm_in_ms / 1000 if worker.warm_in_ms > 0 else 0.0
        return OwnedDestination(_destination(worker).key, endpoint, worker.capacity, slow_start_until)


def _destination(worker: PlatformWorker) -> Destination:
    return worker_destination(worker.service, worker.id, worker.zone)


def _all_destinations(services: Iterable[Service], workers: Iterable[PlatformWorker]) -> list[Destination]:
    """Return all fixed endpoints and all listed workers as destinations.

    Draining workers are included: every process then assigns owners from the same list of destinations and
    gets the same owners."""
    fixed = [fixed_destination(service) for service in services]
    return [each for each in fixed if each is not None] + [_destination(worker) for worker in workers]


def _endpoint_spec(service: Service, address: str, key: str) -> OwnedDestination:
    return OwnedDestination(key, Endpoint(address, "", service.max_connections, service.idempotent))
