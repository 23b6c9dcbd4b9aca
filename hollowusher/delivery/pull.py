"""Jobs for the calls of pull workers that wait at this process."""

from __future__ import annotations

import asyncio
import math
from collections import deque

import attrs

from hollowusher.coordination.cluster_state import MEMBER_PREFIX, PLACEMENT
from hollowusher.delivery.leasing import Demand, LeaseGroup, LeaseNetwork
from hollowusher.delivery.reports import EndReporter
from hollowusher.protocol.leases import JobsWaiting, LeasedJob

SOURCE_KEPT_S = 3.0
SPARE_KEPT_S = 0.15  # a job whose call has ended is offered to the next call for so long


@attrs.define(eq=False)
class _Spare:
    """A leased job that no call waits for."""

    job: LeasedJob
    until: float
    timer: asyncio.TimerHandle


@attrs.define(eq=False)
class _ServiceDesk:
    """The calls of one service that wait, in order of arrival, and the jobs nobody waits for."""

    leases: LeaseGroup
    calls: deque[asyncio.Future[LeasedJob | None]] = attrs.Factory(deque)
    spare: deque[_Spare] = attrs.Factory(deque)


class LeasingPullDesk:
    """A `PullDesk` that leases as many jobs as calls wait."""

    def __init__(self, network: LeaseNetwork, reporter: EndReporter, visibility_ms: int) -> None:
        self._network = network
        self._reporter = reporter
        self._visibility_ms = visibility_ms
        self._desks: dict[str, _ServiceDesk] = {}
        self._given: dict[str, float] = {}  # lease of a job given to a call -> until when it may go out
        self._stopping = False
        network.state.add_listener(self._changed)

    async def pull(self, service: str, instance: str, wait_s: float) -> LeasedJob | None:
        """A leased job for one free slot of a worker, None where none came within `wait_s` seconds."""
        if self._stopping:
            return None
        desk = self._desk(service)
        job = self._take_spare(desk)
        if job is not None or wait_s <= 0:
            return job
        loop = asyncio.get_running_loop()
        call: asyncio.Future[LeasedJob | None] = loop.create_future()
        desk.calls.append(call)
        timer = loop.call_later(wait_s, _end_without_job, call)
        desk.leases.refresh()
        try:
            return self._accept(await call)
        except asyncio.CancelledError:
            self._return_job(desk, call)
            raise
        finally:
            timer.cancel()
            if call in desk.calls:
                desk.calls.remove(call)

    def _accept(self, job: LeasedJob | None) -> LeasedJob | None:
        """The job that a call was given, unless this process stood still meanwhile: then its lease is old."""
        if job is None:
            return None
        until = self._given.pop(job.lease, math.inf)
        if asyncio.get_running_loop().time() <= until:
            return job
        self._network.figures.pulled -= 1
        self._give_back([job])
        return None

    def handle(self, waiting: JobsWaiting) -> None:
        """A store says that jobs of a service wait there; only calls of this process can use them."""
        desk = self._desks.get(waiting.service)
        if desk is not None and desk.calls and not self._stopping:
            desk.leases.add(waiting.store)

    def stop(self) -> list[asyncio.Task[None]]:
        """End all calls without a job and give back what nobody waits for; the lease requests still out."""
        self._stopping = True
        requests: list[asyncio.Task[None]] = []
        for desk in self._desks.values():
            requests += desk.leases.stop()
            for call in desk.calls:
                _end_without_job(call)
            while desk.spare:
                self._spare_lapsed(desk)
        return requests

    def _desk(self, service: str) -> _ServiceDesk:
        desk = self._desks.get(service)
        if desk is None:
            demand = Demand(
                lambda: self._wanted(service),
                lambda jobs: self._take(service, jobs),
                self._give_back,
                lambda: None,
            )
            leases = LeaseGroup(
                service, self._network, demand, keep_empty_s=SOURCE_KEPT_S, visibility_ms=self._visibility_ms
            )
            desk = self._desks[service] = _ServiceDesk(leases)
        return desk

    def _wanted(self, service: str) -> int:
        desk = self._desks[service]
        return sum(not call.done() for call in desk.calls) - len(desk.spare)

    def _take(self, service: str, jobs: list[LeasedJob]) -> None:
        desk = self._desks[service]
        for job in jobs:
            self._offer(desk, job)

    def _offer(self, desk: _ServiceDesk, job: LeasedJob) -> None:
        """Give a job to the call that has waited longest; with none, keep it for a moment."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SPARE_KEPT_S
        while desk.calls:
            call = desk.calls.popleft()
            if not call.done():
                call.set_result(job)
                self._given[job.lease] = until
                self._network.figures.pulled += 1
                return
        if self._stopping:
            self._give_back([job])
            return
        timer = loop.call_at(until, self._spare_lapsed, desk)
        desk.spare.append(_Spare(job, until, timer))

    def _take_spare(self, desk: _ServiceDesk) -> LeasedJob | None:
        while desk.spare and desk.spare[0].until < asyncio.get_running_loop().time():
            self._spare_lapsed(desk)
        if not desk.spare:
            return None
        spare = desk.spare.popleft()
        spare.timer.cancel()
        self._network.figures.pulled += 1
        return spare.job

    def _return_job(self, desk: _ServiceDesk, call: asyncio.Future[LeasedJob | None]) -> None:
        """The call was cancelled; a job that it had just got goes to the next one."""
        if call.done() and not call.cancelled():
            job = call.result()
            if job is not None:
                self._given.pop(job.lease, None)
                self._network.figures.pulled -= 1
                self._offer(desk, job)

    def _spare_lapsed(self, desk: _ServiceDesk) -> None:
        """The oldest spare job has been kept long enough: spare jobs lapse in the order they came."""
        spare = desk.spare.popleft()
        spare.timer.cancel()
        self._give_back([spare.job])

    def _give_back(self, jobs: list[LeasedJob]) -> None:
        for job in jobs:
            self._reporter.give_back(job.lease)

    def _changed(self, key: str) -> None:
        if key == PLACEMENT or key.startswith(MEMBER_PREFIX):
            for desk in self._desks.values():
                if desk.calls:
                    desk.leases.refresh()


def _end_without_job(call: asyncio.Future[LeasedJob | None]) -> None:
    if not call.done():
        call.set_result(None)
