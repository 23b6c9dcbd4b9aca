"""Long polling of stores for leases of one service's jobs, with one request in flight per store."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

import attrs

from hollowusher.configuration.model import Configuration
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.rendezvous import ordering_partition
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.protocol.leases import LeasedJob, LeaseRequest, LeaseResponse
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import Placement
from hollowusher.transport.interface import PeerError, Transport

LONG_POLL_S = 1.0  # how long a store may hold a request until jobs arrive
ANSWER_MARGIN_S = 1.0  # time added to the long poll for the call's timeout
LOST_NOTICE_TIMEOUT_S = 0.5  # timeout of a request that reports a lost response
MAX_JOBS_PER_REQUEST = 64
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
MIN_LONG_POLL_S = 0.1  # an empty response earlier than this was no long poll: back off as after a failure
MIN_REQUEST_INTERVAL_S = 0.01  # minimum interval of requests to a store, so that responses batch jobs
MAX_LEASE_AGE_S = 0.8  # an older lease was delayed by a frozen process, so its job is released

PartitionRanking = Callable[[str, Iterable[int]], list[int]]  # service, partitions -> partitions, best first


@attrs.frozen
class LeasingContext:
    """Dependencies that all lease requests of a process share."""

    me: Member
    transport: Transport
    state: ClusterState
    rank_partitions: PartitionRanking
    metrics: DeliveryMetrics
    numbers: Iterator[int] = attrs.Factory(lambda: itertools.count(1))  # sequence numbers of lease requests

    def home_stores(self, service: str) -> set[str]:
        """Return the ids of the stores that usually hold the jobs of a service, as far as they are known.

        These are the primaries of the ordering partitions of its ordered routes, and that of its home
        partition if it has other routes or none.
        """
        partitions = self.state.partition_numbers()
        configuration = self.state.configuration
        routes = [] if configuration is None else configuration.routes_to(service)
        numbers = {ordering_partition(route.name, partitions) for route in routes if route.ordered}
        if not routes or any(not route.ordered for route in routes):
            numbers.update(self.rank_partitions(service, partitions)[:1])
        entries = [self.state.partition_placement(number) for number in numbers if number is not None]
        return {entry.primary for entry in entries if entry is not None}

    def address(self, store: str) -> str | None:
        """Return the address of a store, given by its store id or its name, or None if it is unknown."""
        if "/" in store:
            return self.state.store_address(store)
        member = self.state.members.get(store)
        return member.address if member is not None else None


@attrs.frozen
class JobDemand:
    """The callbacks of a consumer of jobs: its demand, and the handlers of leased jobs."""

    wanted_jobs: Callable[[], int]  # jobs that the consumer can use now
    accept: Callable[[list[LeasedJob]], None]
    release: Callable[[list[LeasedJob]], None]  # called instead of `accept` for jobs whose leases are too old
    recheck_s: Callable[[], float | None]  # seconds until `wanted_jobs` may grow by time alone; None: never


class LeasePoller:
    """Leases one service's jobs from its home stores and from the stores that reported waiting jobs.

    A store that is not a home store is polled until it has granted no jobs for `idle_source_ttl_s` seconds.
    With `has_home` false, there are no home stores.  A `visibility_ms` above 0 requests leases for pull
    workers, which last this long after the worker's last call."""

    def __init__(
        self,
        service: str,
        context: LeasingContext,
        demand: JobDemand,
        *,
        idle_source_ttl_s: float,
        has_home: bool = True,
        visibility_ms: int = 0,
    ) -> None:
        self.service = service
        self._context = context
        self._demand = demand
        self._idle_source_ttl_s = idle_source_ttl_s
        self._has_home = has_home
        self._visibility_ms = visibility_ms
        self._homes: set[str] = set()
        # The placement and the configuration from which `_homes` was computed.
        self._home_inputs: tuple[Placement | None, Configuration | None] = (
            None,
            None,
        )
        self._sources: dict[str, asyncio.Task[None]] = {}
        self._stopping = False
        self._woken = asyncio.Event()

    @property
    def is_active(self) -> bool:
        """Whether any store is being polled."""
        return bool(self._sources)

    def refresh(self) -> None:
        """Recompute the home stores if the placement or the configuration changed, and poll them."""
        if not self._has_home or self._stopping:
            return
        state = self._context.state
        placement, configuration = self._home_inputs
        changed = state.placement is not placement or state.configuration is not configuration
        if changed or not self._homes:
            self._home_inputs = (state.placement, state.configuration)
            self._homes = self._context.home_stores(self.service)
        for store in sorted(self._homes):
            self._start_polling(store)
        self.wake()

    def drop_homes(self) -> None:
        """Treat the home stores like any other until the next `refresh`: their polling ends when idle."""
        self._homes = set()

    def add_store(self, store: str) -> None:
        """Poll a store that reported waiting jobs."""
        if not self._stopping:
            self._start_polling(store)

    def wake(self) -> None:
        """Check the demand again, because it may have grown."""
        self._woken.set()

    def stop(self) -> list[asyncio.Task[None]]:
        """Stop polling; return the tasks that still wait for a response."""
        self._stopping = True
        self.wake()
        return list(self._sources.values())

    def _start_polling(self, store: str) -> None:
        if store not in self._sources:
            task = asyncio.get_running_loop().create_task(self._poll_repeatedly(store))
            self._sources[store] = task
            task.add_done_callback(lambda done: self._on_polling_ended(store, done))

    def _on_polling_ended(self, store: str, task: asyncio.Task[None]) -> None:
        if self._sources.get(store) is task:
            del self._sources[store]

    async def _poll_repeatedly(self, store: str) -> None:
        loop = asyncio.get_running_loop()
        last_jobs = loop.time()
        pause = FIRST_BACKOFF_S
        lost = 0  # number of the request whose response was lost; 0 if there is none to report
        while not self._stopping:
            if store not in self._homes and loop.time() - last_jobs > self._idle_source_ttl_s:
                return
            wanted = 0 if lost else min(MAX_JOBS_PER_REQUEST, self._demand.wanted_jobs())
            if wanted <= 0 and not lost:
                await self._wait_for_demand()
                continue
            requested_at = loop.time()
            request = self._request(wanted, lost)
            leased, may_have_granted = await self._send_request(store, request)
            elapsed_s = loop.time() - requested_at
            if lost:  # report first that no job of the lost response was started, then request new jobs
                lost = lost if leased is None else 0
                if leased is not None:
                    continue
            elif may_have_granted:
                lost = request.number
            if leased is not None and leased.jobs:
                last_jobs = loop.time()
                self._receive(leased.jobs, elapsed_s - leased.leased_after_ms / 1000)
            elif leased is None or elapsed_s < MIN_LONG_POLL_S:
                await asyncio.sleep(pause)
                pause = min(MAX_BACKOFF_S, 2 * pause)
                continue
            pause = FIRST_BACKOFF_S
            if elapsed_s < MIN_REQUEST_INTERVAL_S:
                await asyncio.sleep(MIN_REQUEST_INTERVAL_S - elapsed_s)

    def _receive(self, jobs: list[LeasedJob], age_s: float) -> None:
        """Accept jobs whose leases are at most `age_s` seconds old, or release them if that is too old.

        `age_s` is the time since the request, less the time that the store waited before the grant.  Each of
        the two is measured by one process on its own monotonic clock."""
        self._context.metrics.leased += len(jobs)
        if self._stopping or age_s > MAX_LEASE_AGE_S:
            self._demand.release(jobs)
        else:
            self._demand.accept(jobs)

    async def _wait_for_demand(self) -> None:
        self._woken.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(self._demand.recheck_s()):
                await self._woken.wait()

    def _request(self, most: int, lost: int) -> LeaseRequest:
        """Return a request for up to `most` jobs.

        With `lost`, the request only reports that the response to request number `lost` did not arrive."""
        me = self._context.me
        return LeaseRequest(
            me.name,
            me.incarnation,
            self.service,
            most,
            0 if lost else round(LONG_POLL_S * 1000),
            pull=self._visibility_ms > 0,
            visibility_ms=self._visibility_ms,
            number=next(self._context.numbers),
            lost=lost,
        )

    async def _send_request(self, store: str, request: LeaseRequest) -> tuple[LeaseResponse | None, bool]:
        """Send a request; return the response or None, and whether a lost response may have granted jobs."""
        address = self._context.address(store)
        if address is None:
            return None, False
        timeout_s = LOST_NOTICE_TIMEOUT_S if request.lost else LONG_POLL_S + ANSWER_MARGIN_S
        try:
            response = await self._context.transport.call(address, request, timeout_s)
        except PeerError as error:
            self._context.metrics.lease_failures += 1
            return None, error.sent
        return (response, False) if isinstance(response, LeaseResponse) else (None, True)
