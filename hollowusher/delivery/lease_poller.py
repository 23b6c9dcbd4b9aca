"""Lease requests for one service: one outstanding at each store that has jobs of it."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

import attrs

from hollowusher.configuration.model import Configuration
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.protocol.leases import LeasedJob, LeaseRequest, LeaseResponse
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import Placement
from hollowusher.transport.interface import PeerError, Transport

LONG_POLL_S = 1.0  # how long a store may wait for jobs to come
ANSWER_MARGIN_S = 1.0  # beyond it, until the call is given up
LOST_NOTICE_TIMEOUT_S = 0.5  # of the word that an answer never came
MAX_JOBS_PER_REQUEST = 64
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
MIN_LONG_POLL_S = 0.1  # an answer without jobs that came sooner was no long poll: pause, as after a failure
MIN_REQUEST_INTERVAL_S = (
    0.01  # at least between two requests to a store, so that a few jobs come with each answer
)
MAX_LEASE_AGE_S = (
    0.8  # jobs leased longer ago than this have lain somewhere that stood still: they are given back
)

PartitionRanking = Callable[
    [str, Iterable[int]], list[int]
]  # a service's partitions, in the order of preference


@attrs.frozen
class LeasingContext:
    """What all lease requests of a process need."""

    me: Member
    transport: Transport
    state: ClusterState
    rank_partitions: PartitionRanking
    metrics: DeliveryMetrics
    numbers: Iterator[int] = attrs.Factory(lambda: itertools.count(1))  # of lease requests

    def home_store(self, service: str) -> str | None:
        """The store that is the primary of the service's home partition."""
        ranking = self.rank_partitions(service, self.state.partition_numbers())
        entry = self.state.partition_placement(ranking[0]) if ranking else None
        return entry.primary if entry is not None else None

    def address(self, store: str) -> str | None:
        """The address of a store, given by its store id or its name."""
        if "/" in store:
            return self.state.store_address(store)
        member = self.state.members.get(store)
        return member.address if member is not None else None


@attrs.frozen
class JobDemand:
    """How many jobs a consumer wants, and what becomes of those that arrive."""

    wanted_jobs: Callable[[], int]  # jobs that the consumer can use now
    accept: Callable[[list[LeasedJob]], None]
    release: Callable[[list[LeasedJob]], None]  # called instead of `accept` for jobs whose leases are too old
    recheck_s: Callable[[], float | None]  # until `wanted_jobs` may grow by time alone; None: never


class LeasePoller:
    """The sources of one service's jobs: its home store, and stores that said that jobs wait there."""

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
        self._keep_empty_s = idle_source_ttl_s
        self._has_home = has_home
        self._visibility_ms = visibility_ms  # above 0: leases for pull workers
        self._home: str | None = None
        self._home_inputs: tuple[Placement | None, Configuration | None] = (
            None,
            None,
        )  # what it follows from
        self._sources: dict[str, asyncio.Task[None]] = {}
        self._stopping = False
        self._woken = asyncio.Event()

    @property
    def is_active(self) -> bool:
        """Whether any store is being asked."""
        return bool(self._sources)

    def refresh(self) -> None:
        """Follow the placement: ask the home store of now."""
        if not self._has_home or self._stopping:
            return
        state = self._context.state
        placement, configuration = self._home_inputs
        changed = state.placement is not placement or state.configuration is not configuration
        if changed or self._home is None:
            self._home_inputs = (state.placement, state.configuration)
            self._home = self._context.home_store(self.service)
        if self._home is not None:
            self._start_polling(self._home)
        self.wake()

    def drop_home(self) -> None:
        """Ask the home store no more once the requests under way have ended, until the next `refresh`."""
        self._home = None

    def add_store(self, store: str) -> None:
        """Jobs wait at this store."""
        if not self._stopping:
            self._start_polling(store)

    def wake(self) -> None:
        """Demand may have grown."""
        self._woken.set()

    def stop(self) -> list[asyncio.Task[None]]:
        """Ask for nothing more; the tasks that still await an answer."""
        self._stopping = True
        self.wake()
        return list(self._sources.values())

    def _start_polling(self, store: str) -> None:
        if store not in self._sources:
            task = asyncio.get_running_loop().create_task(self._poll_repeatedly(store))
            self._sources[store] = task
            task.add_done_callback(lambda done: self._polling_ended(store, done))

    def _polling_ended(self, store: str, task: asyncio.Task[None]) -> None:
        if self._sources.get(store) is task:
            del self._sources[store]

    async def _poll_repeatedly(self, store: str) -> None:
        loop = asyncio.get_running_loop()
        last_jobs = loop.time()
        pause = FIRST_BACKOFF_S
        lost = 0  # the number of a request whose answer never came
        while not self._stopping:
            if store != self._home and loop.time() - last_jobs > self._keep_empty_s:
                return
            wanted = 0 if lost else min(MAX_JOBS_PER_REQUEST, self._demand.wanted_jobs())
            if wanted <= 0 and not lost:
                await self._wait_for_demand()
                continue
            asked = loop.time()
            request = self._request(wanted, lost)
            leased, is_unclear = await self._send_request(store, request)
            elapsed_s = loop.time() - asked
            if lost:  # first the store is told that nothing of that answer was begun
                lost = lost if leased is None else 0
                if leased is not None:
                    continue
            elif is_unclear:
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
        """Take jobs whose leases are `age_s` old at most: the time since the request less the time that the
        store waited before it leased them, each by the steady clock of the one who measured it."""
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
        """A request for jobs; with `lost` only the word that the answer to an earlier one never came."""
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
        """The answer of a store, None where there is none; and whether it may have granted something."""
        address = self._context.address(store)
        if address is None:
            return None, False
        timeout_s = LOST_NOTICE_TIMEOUT_S if request.lost else LONG_POLL_S + ANSWER_MARGIN_S
        try:
            answer = await self._context.transport.call(address, request, timeout_s)
        except PeerError as error:
            self._context.metrics.lease_failures += 1
            return None, error.sent
        return (answer, False) if isinstance(answer, LeaseResponse) else (None, True)
