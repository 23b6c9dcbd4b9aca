"""The store's service: the calls of the edge processes, answered from the primaries of this store.

It is the asyncio shell around `PartitionPrimary`: it lets time pass there, waits for commits, and holds lease
requests until jobs are ready.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from typing import Any, NamedTuple

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import (
    CONFIGURATION,
    MEMBER_PREFIX,
    PLACEMENT,
    ClusterState,
)
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.messages import records
from hollowusher.messages.hosting import PartitionHost
from hollowusher.messages.open_grants import OpenGrants
from hollowusher.messages.primary import Grant, PartitionPrimary
from hollowusher.messages.proposal import Proposal
from hollowusher.messages.recovery import Recovery
from hollowusher.messages.replicator import Replicator
from hollowusher.messages.time_of_day import TimeOfDay
from hollowusher.messages.waiting import JobWaiters
from hollowusher.protocol.leases import Extend, Finish, Job, LeaseAnswer, Leased, LeaseRequest
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import Put, PutAnswer, StatusAnswer, StatusRequest
from hollowusher.protocol.replication import Replicate, Summary
from hollowusher.storage.interface import Log, StorageError
from hollowusher.transport.interface import Transport

TICK_S = 0.25
LONGEST_STEP_S = TICK_S + 0.15  # a longer one: this process did not run
COMMIT_TIMEOUT_S = 3.0
LEASE_COMMIT_TIMEOUT_S = 1.0
SERVING_WAIT_S = 1.0  # how long a call waits for a takeover to finish
RECOVER_EVERY_S = 0.5
FORGET_EVERY_S = 5.0
SCRUB_EVERY_S = 20.0
CONFIRMED_WITHIN_S = 0.5  # a lease is extended, a state told, only if a quorum has followed within so long
REFUSED_PAUSE_S = 0.3  # a dispatcher that may lease nothing is answered so much later
STOP_TIMEOUT_S = 4.0
STOP_POLL_S = 0.05
LOG_RESERVE_BYTES = 4 * 1024 * 1024  # new messages are refused before states lack room

UNAVAILABLE = LeaseAnswer("unavailable")
GONE = LeaseAnswer("gone")
ENDED_STATES = ("completed", "dead_letter")


class LeasedHere(NamedTuple):
    """A grant and the partition that made it."""

    host: PartitionHost
    grant: Grant


class StoreService:
    """All partitions of one store, as the other processes see them."""

    def __init__(
        self,
        me: Member,
        store_id: str,
        transport: Transport,
        log: Log,
        state: ClusterState,
        settings: BootSettings,
        chance: Callable[[], float],
        wall_ms: Callable[[], int],
    ) -> None:
        self.me = me
        self.store_id = store_id
        self._log = log
        self._state = state
        self._visibility_ms = settings.bounds.visibility_ms
        self._chance = chance
        self._wall_ms = time_of_day = TimeOfDay(wall_ms, self._now)
        self._log_reserve = min(LOG_RESERVE_BYTES, log.free_bytes() // 8)
        status_ms = int(settings.bounds.status_s * 1000)
        self._replicator = Replicator(
            store_id,
            transport,
            log,
            state,
            settings.fault_tolerance.machines,
            status_ms,
            time_of_day,
            me.incarnation,
        )
        self._recovery = Recovery(self._replicator, chance)
        self._replicator.stepped = self._after
        self._replicator.took_over = self._begin
        self._replicator.recover = self._recovery.recover_all
        self._grants = OpenGrants()
        self._waiters = JobWaiters(store_id, transport, state, self._has_ready)
        self._serving_changed = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._started = False
        self._pauses = PauseDetector(LONGEST_STEP_S)
        self._running_since = 0.0  # steady clock; the end of the last pause
        self._next_recover = self._next_forget = self._next_scrub = 0.0
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {
            Put: self._put,
            LeaseRequest: self._lease,
            Finish: self._finish,
            Extend: self._extend,
            StatusRequest: self._status,
            Replicate: self._replicator.replicate,
            Summary: self._replicator.summary,
        }

    # Life

    async def start(self) -> None:
        """Read the log, and take up what the placement says."""
        self._replicator.replay()
        now = self._now()
        self._pauses.tick(now)
        self._running_since = now
        self._next_forget, self._next_scrub = now + FORGET_EVERY_S, now + SCRUB_EVERY_S
        self._started = True
        self._state.add_listener(self._changed)
        self._replicator.place()
        self._replicator.run(self._tick())

    def handles(self, message: Any) -> bool:
        """Whether a message is for this service."""
        return type(message) in self._handlers

    async def handle(self, message: Any) -> Any:
        """Answer one message; KeyError for a type that is not for stores."""
        self._notice_pause(self._now())
        return await self._handlers[type(message)](message)

    async def stop(self) -> None:
        """Planned end: serve until the placement has moved all primaries away, and every replica that another
        store is copying; at most a few seconds."""
        deadline = self._now() + STOP_TIMEOUT_S
        while self._now() < deadline and any(host.is_needed_here for host in self._hosts.values()):
            await asyncio.sleep(STOP_POLL_S)
        with suppress(StorageError, TimeoutError):
            async with asyncio.timeout(max(0.2, deadline - self._now())):
                await self._log.sync()
        self._started = False
        self._waiters.close()
        if self._timer is not None:
            self._timer.cancel()
        self._replicator.close()

    def hosts(self) -> list[PartitionHost]:
        """The partitions kept here, by number."""
        return [host for _, host in sorted(self._hosts.items())]

    @property
    def storage_error(self) -> StorageError | None:
        """Why the disk has failed, None while it works."""
        return self._replicator.storage_error

    @property
    def _hosts(self) -> dict[int, PartitionHost]:
        return self._replicator.hosts

    # Calls of edge processes

    async def _put(self, put: Put) -> PutAnswer:
        primary = await self._primary(put.partition)
        if primary is None:
            return PutAnswer(self._why_not(put.partition))
        if self.storage_error is not None or self._log.free_bytes() < self._log_reserve:
            return PutAnswer("unavailable")
        try:
            kept = primary.put(put.message, self._now(), self._wall_ms())
        except StorageError:
            return PutAnswer("unavailable")
        self._after(self._hosts[put.partition])
        if isinstance(kept, PutAnswer):
            return kept
        if not await self._committed(kept):
            return PutAnswer("unknown")
        return PutAnswer("stored", records.reference_of(put.partition, kept.key))

    async def _finish(self, finish: Finish) -> LeaseAnswer:
        lease = records.parse_lease_id(finish.lease)
        if lease is None:
            return GONE
        primary = await self._primary(lease.partition)
        if primary is None:
            return LeaseAnswer(self._why_not(lease.partition))
        host = self._hosts[lease.partition]
        try:
            taken = primary.finish(lease, finish, self._now(), self._wall_ms())
        except StorageError:
            return UNAVAILABLE
        self._after(host)
        return await self._lease_answer(host, primary, taken)

    async def _extend(self, extend: Extend) -> LeaseAnswer:
        lease = records.parse_lease_id(extend.lease)
        if lease is None:
            return GONE
        primary = await self._primary(lease.partition)
        if primary is None:
            return LeaseAnswer(self._why_not(lease.partition))
        host = self._hosts[lease.partition]
        try:
            taken = primary.extend(lease, self._now(), self._wall_ms())
        except StorageError:
            return UNAVAILABLE
        self._after(host)
        if not await self._is_followed(host, primary):
            return UNAVAILABLE
        return await self._lease_answer(host, primary, taken)

    async def _lease_answer(
        self, host: PartitionHost, primary: PartitionPrimary, taken: Proposal | LeaseAnswer
    ) -> LeaseAnswer:
        """The answer once it is certain: what was proposed is committed, and a lease is gone only if this
        was the primary still when it was asked about it."""
        if isinstance(taken, Proposal):
            return LeaseAnswer("taken") if await self._committed(taken) else UNAVAILABLE
        if taken.status == GONE.status and not await self._is_followed(host, primary, from_now=True):
            return UNAVAILABLE
        return taken

    async def _status(self, request: StatusRequest) -> StatusAnswer:
        parsed = records.parse_reference(request.reference)
        if parsed is None:
            return StatusAnswer("unknown")
        partition, key = parsed
        primary = await self._primary(partition)
        if primary is None:
            return StatusAnswer(self._why_not(partition))
        answer = primary.status(key, request.want_body)
        if await self._is_certain(answer, partition, key, primary):
            return answer
        return StatusAnswer("unavailable")

    async def _is_certain(
        self, answer: StatusAnswer, partition: int, key: records.Key, primary: PartitionPrimary
    ) -> bool:
        """Whether an answer about a message may be given.  The bytes of a message never change, a committed
        end stands for ever; that a message has not ended needs a quorum that followed lately, that there is
        none one that follows now."""
        if answer.body is not None:
            return True
        host = self._hosts[partition]
        if answer.state in ENDED_STATES:
            ending = primary.uncommitted(key)
            return ending is None or await self._committed(ending)
        return await self._is_followed(host, primary, from_now=answer.state == "unknown")

    async def _is_followed(
        self, host: PartitionHost, primary: PartitionPrimary, *, from_now: bool = False
    ) -> bool:
        """Whether a quorum has followed this primary within `CONFIRMED_WITHIN_S` and since the last pause of
        this process; `from_now`: whether it does so after this call."""
        now = self._now()
        within_s = min(CONFIRMED_WITHIN_S, now - self._running_since)
        if not from_now and host.confirmed_since(now, within_s):
            return True
        confirmation = primary.confirmation(now)
        self._after(host)
        return await self._committed(confirmation)

    async def _lease(self, request: LeaseRequest) -> Leased:
        service = request.service
        asked_at = self._now()
        deadline = asked_at + request.wait_ms / 1000
        if request.lost:
            self._give_back_lost(request)
        while request.most > 0 and not self._grants.is_lost(request):
            self._waiters.asked(service)
            leased_after_ms = round((self._now() - asked_at) * 1000)
            jobs = await self._confirmed_jobs(self._take(request))
            if self._grants.is_lost(request):
                self._give_back_unrun([job.lease for job in jobs])
                break
            now = self._now()
            token_at = self._next_token_time(service, now)
            if jobs or now >= deadline or not self._started:
                next_ms = 0 if token_at is None else max(1, round((token_at - now) * 1000))
                self._grants.note(request, jobs)
                return Leased(jobs, next_ms, leased_after_ms)
            if not self._may_lease(request):
                await asyncio.sleep(min(REFUSED_PAUSE_S, deadline - now))
                return Leased([])
            await self._waiters.wait(service, deadline if token_at is None else min(deadline, token_at))
        self._waiters.wake(service)  # what woke this one may be for another
        return Leased([])

    def _give_back_lost(self, request: LeaseRequest) -> None:
        """The answer to an earlier request never came to its dispatcher, which begins nothing of it."""
        self._give_back_unrun(self._grants.lost(request))
        self._waiters.wake_all(request.service)

    def _give_back_unrun(self, leases: list[str]) -> None:
        now, wall_ms = self._now(), self._wall_ms()
        for name in leases:
            lease = records.parse_lease_id(name)
            host = None if lease is None else self._hosts.get(lease.partition)
            if lease is None or host is None or host.primary is None:
                continue
            with suppress(StorageError):  # then the lease runs out
                host.primary.finish(lease, Finish(name, "not_run"), now, wall_ms)
            self._after(host)

    def _may_lease(self, request: LeaseRequest) -> bool:
        """Whether a dispatcher gets leases: those of one that is judged dead would be dealt out again at the
        next change of any member.  Pull leases outlive their dispatcher."""
        return request.pull or self._may_live(request.dispatcher, request.incarnation)

    def _take(self, request: LeaseRequest) -> list[LeasedHere]:
        """Lease ready jobs from the partitions served here."""
        now, wall_ms = self._now(), self._wall_ms()
        taken: list[LeasedHere] = []
        if not self._may_lease(request):
            return taken
        for host in self._replicator.serving():
            primary = host.primary
            if primary is None or len(taken) >= request.most or primary.queue.first(request.service) is None:
                continue
            with suppress(StorageError):
                grants = primary.lease(request, request.most - len(taken), now, wall_ms)
                taken += [LeasedHere(host, grant) for grant in grants]
            self._after(host)
        self._waiters.wake(request.service)
        return taken

    async def _confirmed_jobs(self, taken: list[LeasedHere]) -> list[Job]:
        """The jobs whose leases a quorum knows; the others are given back."""
        jobs = []
        for host, grant in taken:
            committed = await self._is_committed(host, grant)
            if host.primary is None:
                continue
            if committed and host.primary.holds(grant):
                jobs.append(grant.job)
            else:
                self._take_back(host, host.primary, grant)
        return jobs

    def _take_back(self, host: PartitionHost, primary: PartitionPrimary, grant: Grant) -> None:
        """A grant that does not go out; a call-back is offered again after a pause."""
        now, wall_ms = self._now(), self._wall_ms()
        lease = records.parse_lease_id(grant.job.lease)
        if lease is not None and lease.callback:
            primary.finish(lease, Finish(grant.job.lease, "not_run"), now, wall_ms)
        else:
            primary.give_back(grant, now, wall_ms)
        self._after(host)

    async def _is_committed(self, host: PartitionHost, grant: Grant) -> bool:
        """Whether a quorum knows a lease; for one without a record (a call-back's), follows its primary."""
        if grant.proposal is not None:
            return await self._committed(grant.proposal)
        return host.primary is not None and await self._is_followed(host, host.primary)

    def _has_ready(self, service: str) -> bool:
        now = self._now()
        return any(host.primary.has_ready(service, now) for host in self._hosts.values() if host.primary)

    def _next_token_time(self, service: str, now: float) -> float | None:
        times = [host.primary.next_token_time(service, now) for host in self._hosts.values() if host.primary]
        return min((time for time in times if time is not None), default=None)

    async def _committed(self, proposal: Proposal) -> bool:
        """Wait until a quorum has the record; False where that is not known in time."""
        if proposal.committed:
            return True
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        proposal.wait(partial(_resolve, future))
        return await future

    async def _primary(self, partition: int) -> PartitionPrimary | None:
        """The primary of a partition; a call waits a little for a takeover to finish."""
        host = self._hosts.get(partition)
        if host is not None and host.primary is not None:
            return host.primary
        deadline = self._now() + SERVING_WAIT_S
        while host is not None and host.is_placed_here and host.epoch:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._serving_changed.wait()
            except TimeoutError:
                return None
            if host.primary is not None:
                return host.primary
        return None

    def _why_not(self, partition: int) -> str:
        """The status to answer with where no primary serves here."""
        host = self._hosts.get(partition)
        taking_over = host is not None and host.is_placed_here and host.epoch > 0
        return "unavailable" if taking_over else "not_primary"

    # Steps of the primaries

    def _begin(self, host: PartitionHost) -> None:
        """Enough replicas have been compared: serve."""
        now, wall_ms = self._now(), self._wall_ms()
        host.primary = PartitionPrimary(
            host.table, host.epoch, self._state.configuration, self._visibility_ms, self._chance, now, wall_ms
        )
        host.primary.release_dispatchers(self._may_live, now, wall_ms)
        self._after(host)
        self._serving_changed.set()
        self._serving_changed = asyncio.Event()

    def _after(self, host: PartitionHost) -> None:
        """After any step of a primary: send what it proposed, wake who waits, watch the clock."""
        primary = host.primary
        if primary is None:
            return
        if primary.outbox:
            proposals, primary.outbox = primary.outbox, []
            for proposal in proposals:
                self._replicator.propose(host, proposal)
        if primary.queue.gained:
            gained, primary.queue.gained = primary.queue.gained, set()
            for service in gained:
                self._waiters.wake(service)
        self._arm(primary.next_time())

    def _changed(self, key: str) -> None:
        """The cluster's state has changed."""
        if not self._started:
            return
        now, wall_ms = self._now(), self._wall_ms()
        if key == PLACEMENT:
            self._replicator.place()
        elif key == CONFIGURATION and self._state.configuration is not None:
            for host in self._replicator.serving():
                if host.primary is not None:
                    host.primary.configure(self._state.configuration, now, wall_ms)
                    self._after(host)
        elif key.startswith(MEMBER_PREFIX):
            for host in self._replicator.serving():
                if host.primary is not None:
                    host.primary.release_dispatchers(self._may_live, now, wall_ms)
                    self._after(host)

    def _may_live(self, name: str, incarnation: int) -> bool:
        """Whether a dispatcher may still end its leases: not after a later life has begun, nor once it was
        judged dead.  One that leaves ends its deliveries itself."""
        member = self._state.members.get(name)
        if member is None or member.incarnation < incarnation:
            return True
        return member.incarnation == incarnation and (member.alive or member.leaving)

    # Time

    async def _tick(self) -> None:
        while self._started:
            await asyncio.sleep(TICK_S)
            now = self._now()
            self._notice_pause(now)
            self._replicator.give_up_waiting(now, COMMIT_TIMEOUT_S, LEASE_COMMIT_TIMEOUT_S)
            self._recovery.look_after_learners(now)
            for host in self._hosts.values():
                self._replicator.serve_if_complete(host)
            if now >= self._next_recover:
                self._next_recover = now + RECOVER_EVERY_S
                self._recovery.recover_all()
            if now >= self._next_forget:
                self._next_forget = now + FORGET_EVERY_S
                self._forget(now)
            if now >= self._next_scrub:
                self._next_scrub = now + SCRUB_EVERY_S
                self._replicator.run(self._recovery.scrub())

    def _notice_pause(self, now: float) -> None:
        """While this process did not run, words of lease holders may have come that are still unread, and
        another primary may have begun."""
        pause_s = self._pauses.tick(now)
        if not pause_s:
            return
        self._running_since = now
        for host in self._replicator.serving():
            if host.primary is not None:
                host.primary.postpone_leases(pause_s)

    def _forget(self, now: float) -> None:
        for host in self._hosts.values():
            forgotten = host.table.forget_expired(self._wall_ms())
            if host.primary is not None and forgotten:
                host.primary.forgotten(forgotten)
        self._replicator.drop_moved(now)

    def _arm(self, due: float | None) -> None:
        """Let time pass at the primaries when the next thing falls due."""
        if due is None or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = asyncio.get_running_loop().call_at(due, self._advance)

    def _advance(self) -> None:
        self._timer = None
        now, wall_ms = self._now(), self._wall_ms()
        self._notice_pause(now)
        for host in self._replicator.serving():
            if host.primary is not None:
                host.primary.advance(now, wall_ms)
                self._after(host)

    def _now(self) -> float:
        return self._replicator.clock()


def _resolve(future: asyncio.Future[bool], committed: bool) -> None:
    if not future.done():
        future.set_result(committed)
