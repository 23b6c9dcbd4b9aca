"""The store's service: partitions, their replication and takeovers, and the calls of the edge processes.

This is the asyncio shell around `PartitionPrimary`: it replicates what the primaries propose, counts quorums,
wakes waiting dispatchers and reacts to placements.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from contextlib import suppress
from functools import partial
from typing import Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination import rendezvous
from hollowusher.coordination.cluster_state import CONFIGURATION, MEMBER_PREFIX, PLACEMENT, ClusterState
from hollowusher.messages import records
from hollowusher.messages.comparing import Comparison, StaleEpoch, answer_summary
from hollowusher.messages.hosting import PartitionHost, PeerLink
from hollowusher.messages.primary import Grant, PartitionPrimary
from hollowusher.messages.proposal import Proposal
from hollowusher.messages.replication import Outgoing, ReplicationStream, StreamOwner
from hollowusher.messages.table import PartitionTable, RecordCache
from hollowusher.protocol.control import Member, PartitionPlacement
from hollowusher.protocol.store import (
    CALLBACK_PREFIX,
    Difference,
    Extend,
    Finish,
    JobsWaiting,
    LeaseAnswer,
    Leased,
    LeaseRequest,
    Put,
    PutAnswer,
    Records,
    Replicate,
    Replicated,
    StatusAnswer,
    StatusRequest,
    Summary,
)
from hollowusher.storage.interface import Log, StorageError
from hollowusher.transport.interface import PeerError, Transport

TICK_S = 0.25
PAUSE_S = 1.0  # a longer gap between ticks: this process did not run
COMMIT_TIMEOUT_S = 3.0
LEASE_COMMIT_TIMEOUT_S = 1.0
SERVING_WAIT_S = 1.0  # how long a call waits for a takeover to finish
RECOVER_EVERY_S = 0.5
PROBE_TIMEOUT_S = 1.0
FORGET_EVERY_S = 5.0
SCRUB_EVERY_S = 20.0
DROP_AFTER_S = 30.0  # a partition that has moved away is kept as long, for takeovers
LEARNER_TOLD_EVERY_S = 2.0
CONFIRMED_WITHIN_S = 0.5
NOTIFY_AFTER_S, NOTIFY_EVERY_S = 0.06, 0.3
STOP_TIMEOUT_S = 4.0
STOP_POLL_S = 0.05
CACHE_BYTES = 48 * 1024 * 1024
LOG_RESERVE_BYTES = 4 * 1024 * 1024  # new messages are refused before states lack room

NOT_PRIMARY = LeaseAnswer("not_primary")
UNAVAILABLE = LeaseAnswer("unavailable")


class StoreService(StreamOwner):
    """All partitions of one store."""

    def __init__(self, me: Member, store_id: str, transport: Transport, log: Log, state: ClusterState,
                 settings: BootSettings, chance: Callable[[], float], wall_ms: Callable[[], int]) -> None:
        self.me = me
        self.store_id = store_id
        self.hosts: dict[int, PartitionHost] = {}
        self.storage_error: StorageError | None = None  # set once the disk has failed
        self._transport = transport
        self._log = log
        self._state = state
        self._tolerated = settings.fault_tolerance.machines
        self._visibility_ms = settings.bounds.visibility_ms
        self._status_ms = int(settings.bounds.status_s * 1000)
        self._chance = chance
        self._wall_ms = wall_ms
        self._cache = RecordCache(CACHE_BYTES)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._streams: dict[str, ReplicationStream] = {}
        self._recovering: set[str] = set()
        self._unsynced: list[Outgoing] = []
        self._syncing = False
        self._waiters: dict[str, deque[asyncio.Future[None]]] = {}
        self._asked_at: dict[str, float] = {}
        self._notifying: set[str] = set()
        self._serving_changed = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._started = False
        self._last_tick = 0.0
        self._next_forget = self._next_scrub = self._next_recover = 0.0
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {
            Put: self._put, LeaseRequest: self._lease, Finish: self._finish, Extend: self._extend,
            StatusRequest: self._status, Replicate: self._replicate, Summary: self._summary,
        }

    # Life

    async def start(self) -> None:
        """Read the log, and take up what the placement says."""
        self._log.set_move(self._move)
        wall_ms = self._wall_ms()
        for position, record in self._log.replay():
            header = records.header_of(record)
            self._host(header.partition).table.replayed(record, header, position, wall_ms)
        now = self._now()
        self._last_tick = now
        self._next_forget, self._next_scrub = now + FORGET_EVERY_S, now + SCRUB_EVERY_S
        self._started = True
        self._state.listen(self._changed)
        self._place()
        self._run(self._tick())

    async def handle(self, message: Any) -> Any:
        """Answer one message; KeyError for a type that is not for stores."""
        return await self._handlers[type(message)](message)

    def handles(self, message: Any) -> bool:
        """Whether a message is for this service."""
        return type(message) in self._handlers

    async def stop(self) -> None:
        """Planned end: serve until the placement has moved all partitions away, at most a few seconds."""
        deadline = self._now() + STOP_TIMEOUT_S
        while self._now() < deadline and any(host.is_placed_here for host in self.hosts.values()):
            await asyncio.sleep(STOP_POLL_S)
        with suppress(StorageError, TimeoutError):
            async with asyncio.timeout(max(0.2, deadline - self._now())):
                await self._log.sync()
        self._started = False
        for host in self.hosts.values():
            host.resign()
        for stream in self._streams.values():
            stream.close()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()

    # Calls of edge processes

    async def _put(self, put: Put) -> PutAnswer:
        host = await self._serving(put.partition)
        if host is None or host.primary is None:
            return PutAnswer("not_primary" if not self._is_placed(put.partition) else "unavailable")
        if self.storage_error is not None or self._log.free_bytes() < LOG_RESERVE_BYTES:
            return PutAnswer("unavailable")
        try:
            kept = host.primary.put(put.message, self._now(), self._wall_ms())
        except StorageError:
            return PutAnswer("unavailable")
        self._after(host)
        if isinstance(kept, PutAnswer):
            return kept
        if not await self._committed(kept):
            return PutAnswer("unknown")
        return PutAnswer("stored", records.reference_of(host.partition, kept.key))

    async def _finish(self, finish: Finish) -> LeaseAnswer:
        lease = records.parse_lease_id(finish.lease)
        if lease is None:
            return LeaseAnswer("gone")
        host = await self._serving(lease.partition)
        if host is None or host.primary is None:
            return self._not_serving(lease.partition)
        taken = host.primary.finish(lease, finish, self._now(), self._wall_ms())
        self._after(host)
        return await self._lease_answer(taken)

    async def _extend(self, extend: Extend) -> LeaseAnswer:
        lease = records.parse_lease_id(extend.lease)
        if lease is None:
            return LeaseAnswer("gone")
        host = await self._serving(lease.partition)
        if host is None or host.primary is None:
            return self._not_serving(lease.partition)
        taken = host.primary.extend(lease, self._now(), self._wall_ms())
        confirmed = host.confirmed_since(self._now(), CONFIRMED_WITHIN_S)
        confirmation = None if confirmed else host.primary.confirmation(self._now())
        self._after(host)
        if confirmation is not None and not await self._committed(confirmation):
            return UNAVAILABLE
        return await self._lease_answer(taken)

    async def _lease_answer(self, taken: Proposal | LeaseAnswer) -> LeaseAnswer:
        if isinstance(taken, LeaseAnswer):
            return taken
        return LeaseAnswer("taken") if await self._committed(taken) else UNAVAILABLE

    async def _status(self, request: StatusRequest) -> StatusAnswer:
        parsed = records.parse_reference(request.reference)
        if parsed is None:
            return StatusAnswer("unknown")
        partition, key = parsed
        host = await self._serving(partition)
        if host is None or host.primary is None:
            return StatusAnswer("not_primary" if not self._is_placed(partition) else "unavailable")
        return host.primary.status(key, request.want_body)

    async def _lease(self, request: LeaseRequest) -> Leased:
        service = request.service
        deadline = self._now() + request.wait_ms / 1000
        self._asked_at[service] = self._now()
        while True:
            grants = self._take(request)
            if grants:
                jobs = await self._confirmed_jobs(grants)
                if jobs:
                    return Leased(jobs)
            now = self._now()
            if now >= deadline or not self._started:
                return Leased([], self._next_job_ms(service, now))
            token_at = self._next_token_time(service, now)
            until = deadline if token_at is None else min(deadline, token_at)
            await self._wait_for_jobs(service, until)
            self._asked_at[service] = self._now()

    def _take(self, request: LeaseRequest) -> list[tuple[PartitionHost, Grant]]:
        """Lease ready jobs from the partitions served here."""
        now, wall_ms = self._now(), self._wall_ms()
        grants: list[tuple[PartitionHost, Grant]] = []
        for host in self.hosts.values():
            primary = host.primary
            if primary is None or len(grants) >= request.most or primary.queue.first(request.service) is None:
                continue
            found = primary.lease(request, request.most - len(grants), now, wall_ms)
            grants += [(host, grant) for grant in found]
            self._after(host)
        self._wake(request.service)
        return grants

    async def _confirmed_jobs(self, grants: list[tuple[PartitionHost, Grant]]) -> list[Any]:
        """The jobs whose leases a quorum knows; the others are given back."""
        jobs = []
        for host, grant in grants:
            if grant.proposal is None or await self._committed(grant.proposal):
                jobs.append(grant.job)
            elif host.primary is not None:
                lease = records.parse_lease_id(grant.job.lease)
                assert lease is not None
                host.primary.give_back(lease, self._now(), self._wall_ms())
                self._after(host)
        return jobs

    async def _wait_for_jobs(self, service: str, until: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = self._waiters.setdefault(service, deque())
        waiting.append(waiter)
        try:
            async with asyncio.timeout_at(until):
                await waiter
        except TimeoutError:
            pass
        finally:
            with suppress(ValueError):
                waiting.remove(waiter)
            if not waiting and self._waiters.get(service) is waiting:
                del self._waiters[service]

    def _wake(self, service: str) -> None:
        """Let one waiting dispatcher look for jobs; it wakes the next where some are left."""
        now = self._now()
        if not any(host.primary.has_ready(service, now) for host in self.hosts.values() if host.primary):
            return
        for waiter in self._waiters.get(service, ()):
            if not waiter.done():
                waiter.set_result(None)
                return
        self._notify_later(service, NOTIFY_AFTER_S)

    def _next_token_time(self, service: str, now: float) -> float | None:
        times = [host.primary.next_token_time(service, now) for host in self.hosts.values() if host.primary]
        return min((time for time in times if time is not None), default=None)

    def _next_job_ms(self, service: str, now: float) -> int:
        token_at = self._next_token_time(service, now)
        return 0 if token_at is None else max(1, round((token_at - now) * 1000))

    # Telling dispatchers that jobs wait

    def _notify_later(self, service: str, delay_s: float) -> None:
        if service not in self._notifying and self._started:
            self._notifying.add(service)
            asyncio.get_running_loop().call_later(delay_s, self._notify, service)

    def _notify(self, service: str) -> None:
        self._notifying.discard(service)
        if service in self._waiters or not self._has_queued(service):
            return
        asked_s = self._now() - self._asked_at.get(service, -1e9)
        if asked_s < NOTIFY_AFTER_S:
            self._notify_later(service, NOTIFY_AFTER_S - asked_s + 0.001)
            return
        for address in self._dispatchers(service):
            self._transport.send(address, JobsWaiting(service, self.store_id))
        self._notify_later(service, NOTIFY_EVERY_S)

    def _has_queued(self, service: str) -> bool:
        return any(host.primary.queue.first(service) for host in self.hosts.values() if host.primary)

    def _dispatchers(self, service: str) -> list[str]:
        edges = {member.name: member.address for member in self._state.alive("edge")}
        if not service.startswith(CALLBACK_PREFIX):
            return list(edges.values())
        owner = rendezvous.choose(service, edges)
        return [edges[owner]] if owner is not None else []

    # Replication from here

    def _after(self, host: PartitionHost) -> None:
        """After any step of a primary: send what it proposed, wake who waits, watch the clock."""
        primary = host.primary
        if primary is None:
            return
        if primary.outbox:
            proposals, primary.outbox = primary.outbox, []
            for proposal in proposals:
                self._propose(host, proposal)
        if primary.queue.gained:
            gained = primary.queue.gained
            primary.queue.gained = set()
            for service in gained:
                self._wake(service)
        self._arm(primary.next_time())

    def _propose(self, host: PartitionHost, proposal: Proposal) -> None:
        host.outstanding[proposal] = None
        outgoing = Outgoing(host.partition, proposal)
        joined = host.joined()
        first = self._quickest(host, joined)
        for peer in joined:
            self._stream(peer).enqueue(outgoing, linger=peer not in first)
        if proposal.durable:
            self._unsynced.append(outgoing)
            self._sync_soon()
        elif host.acknowledge(proposal, self.store_id):
            self._commit(host, proposal)

    def _quickest(self, host: PartitionHost, joined: list[str]) -> list[str]:
        """The peers whose acknowledgement is waited for: as many as the quorum needs."""
        needed = host.commit_quorum - 1
        counting = [peer for peer in joined if peer in host.replicas]
        if len(counting) <= needed:
            return counting
        counting.sort(key=lambda peer: (not host.links[peer].complete, self._stream(peer).latency_s))
        return counting[:needed]

    def _commit(self, host: PartitionHost, proposal: Proposal) -> None:
        if host.primary is not None:
            host.primary.commit(proposal, self._now(), self._wall_ms())
            self._after(host)

    def _sync_soon(self) -> None:
        if not self._syncing:
            self._syncing = True
            self._run(self._sync())

    async def _sync(self) -> None:
        try:
            while self._unsynced:
                synced, self._unsynced = self._unsynced, []
                await self._log.sync()
                self._acknowledge_all(self.store_id, synced)
        except StorageError as error:
            self.storage_error = error
        finally:
            self._syncing = False

    def _acknowledge_all(self, store_id: str, taken: Iterable[Outgoing]) -> None:
        for partition, proposal in taken:
            host = self.hosts.get(partition)
            if host is not None and host.acknowledge(proposal, store_id):
                self._commit(host, proposal)

    async def _committed(self, proposal: Proposal) -> bool:
        """Wait until a quorum has the record; False where that is not known in time."""
        if proposal.committed:
            return True
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        proposal.wait(partial(_resolve, future))
        return await future

    def _stream(self, peer: str) -> ReplicationStream:
        stream = self._streams.get(peer)
        if stream is None:
            stream = ReplicationStream(self.store_id, peer, self, self._transport, self._run)
            self._streams[peer] = stream
        return stream

    def address_of(self, store_id: str) -> str | None:
        """The internal address of another store."""
        return self._state.store_address(store_id)

    def epoch_of(self, partition: int) -> int:
        """The epoch for which this store is the primary, 0 where it is not."""
        host = self.hosts.get(partition)
        return host.epoch if host is not None else 0

    def acknowledged(self, store_id: str, sent: Iterable[Outgoing], sent_at: float) -> None:
        """A peer has these records."""
        sent = list(sent)
        for partition in {outgoing.partition for outgoing in sent}:
            link = self._link(partition, store_id)
            if link is not None:
                link.confirmed_at = max(link.confirmed_at, sent_at)
        self._acknowledge_all(store_id, sent)

    def refused(self, partition: int, epoch: int) -> None:
        """A replica has promised a newer epoch: this store is the primary no longer."""
        host = self.hosts.get(partition)
        if host is not None and 0 < host.epoch < epoch:
            host.resign()

    def lost(self, store_id: str) -> None:
        """A peer did not answer: it has to catch up."""
        for host in self.hosts.values():
            link = host.links.get(store_id)
            if link is not None:
                link.joined = link.complete = False

    def _link(self, partition: int, store_id: str) -> PeerLink | None:
        host = self.hosts.get(partition)
        return host.links.get(store_id) if host is not None else None

    # Catching up

    def _recover_all(self) -> None:
        """Start to bring in the peers that lack records."""
        peers = {peer for host in self.hosts.values() if host.promised and host.epoch
                 for peer, link in host.links.items() if not link.complete}
        for peer in peers - self._recovering:
            self._recovering.add(peer)
            self._run(self._recover(peer))

    async def _recover(self, peer: str) -> None:
        try:
            address = self.address_of(peer)
            if address is not None and await self._probe(peer, address):
                for host in list(self.hosts.values()):
                    link = host.links.get(peer)
                    if link is not None and host.epoch and not link.complete:
                        await self._catch_up(host, peer, link, address)
        except PeerError:
            self.lost(peer)
        finally:
            self._recovering.discard(peer)

    async def _probe(self, peer: str, address: str) -> bool:
        """Ask with an empty batch whether the peer is there; it learns the epochs by that."""
        batches = [Records(host.partition, host.epoch, []) for host in self.hosts.values()
                   if host.epoch and host.promised and peer in host.links]
        answer = await self._transport.call(address, Replicate(self.store_id, batches, True), PROBE_TIMEOUT_S)
        if not isinstance(answer, Replicated):
            return False
        for partition, epoch in answer.refused.items():
            self.refused(partition, epoch)
        return True

    async def _catch_up(self, host: PartitionHost, peer: str, link: PeerLink, address: str) -> None:
        epoch = host.epoch
        if not link.joined:
            link.joined = True
            for proposal in list(host.outstanding):
                self._stream(peer).enqueue(Outgoing(host.partition, proposal), linger=False)
        counts = peer in host.replicas
        if not await self._compare(host, address, paced=not counts or host.primary is not None):
            return
        if host.epoch == epoch and host.links.get(peer) is link and link.joined:
            link.complete = True
            self._serve_if_complete(host)
            await self._tell_learner(host, peer)

    async def _compare(self, host: PartitionHost, address: str, paced: bool) -> bool:
        """Exchange all differences with a peer; whether this store is still the primary."""
        epoch = host.epoch
        comparison = Comparison(
            host.table, epoch, self.store_id, address, self._transport, self._wall_ms, paced)
        try:
            await comparison.run()
        except StaleEpoch as stale:
            self.refused(stale.partition, stale.epoch)
            return False
        finally:
            if host.primary is not None:
                for key in comparison.changed:
                    host.primary.adopt(key, self._now(), self._wall_ms())
                self._after(host)
        if comparison.changed:
            await self._log.sync()
        return host.epoch == epoch

    async def _scrub(self) -> None:
        """Compare one partition with one of its replicas."""
        pairs = [(host, peer) for host in self.hosts.values() if host.primary is not None
                 for peer, link in host.links.items() if link.complete]
        if not pairs:
            return
        host, peer = pairs[int(self._chance() * len(pairs)) % len(pairs)]
        address = self.address_of(peer)
        if address is not None:
            with suppress(PeerError):
                await self._compare(host, address, paced=True)

    async def _tell_learner(self, host: PartitionHost, peer: str) -> None:
        """Report to the head that a learner has caught up."""
        placement, view = host.placement, self._state.view
        if placement is None or view is None or peer not in placement.learners:
            return
        from hollowusher.protocol.control import LearnerReady

        host.learners_told_at[peer] = self._now()
        head = next((voter.address for voter in view.voters if voter.name == view.head), None)
        if head is not None:
            with suppress(PeerError):
                await self._transport.call(
                    head, LearnerReady(host.partition, placement.epoch, peer), PROBE_TIMEOUT_S)

    def _tell_learners_again(self, now: float) -> None:
        for host in self.hosts.values():
            for peer, told_at in list(host.learners_told_at.items()):
                link = host.links.get(peer)
                if host.placement is None or peer not in host.placement.learners or link is None:
                    del host.learners_told_at[peer]
                elif link.complete and now - told_at > LEARNER_TOLD_EVERY_S:
                    self._run(self._tell_learner(host, peer))

    # Answering other replicas

    async def _replicate(self, replicate: Replicate) -> Replicated:
        refused: dict[int, int] = {}
        durable = replicate.durable
        wall_ms = self._wall_ms()
        for batch in replicate.batches:
            host = self._host(batch.partition)
            if batch.epoch < host.table.promised_epoch:
                refused[batch.partition] = host.table.promised_epoch
                continue
            if batch.epoch > host.table.promised_epoch:
                self._promise(host, batch.epoch)
                durable = True
            for record in batch.records:
                host.table.apply(record, wall_ms)
        if durable:
            await self._log.sync()
        return Replicated(refused)

    async def _summary(self, summary: Summary) -> Difference:
        host = self._host(summary.partition)
        if summary.epoch < host.table.promised_epoch:
            return Difference("stale", host.table.promised_epoch)
        if summary.fence and summary.epoch > host.table.promised_epoch:
            self._promise(host, summary.epoch)
            await self._log.sync()
            if summary.epoch < host.table.promised_epoch:
                return Difference("stale", host.table.promised_epoch)
        return answer_summary(host.table, summary)

    def _promise(self, host: PartitionHost, epoch: int) -> None:
        host.table.promise(epoch)
        if 0 < host.epoch < epoch:
            host.resign()

    # Placement

    def _changed(self, key: str) -> None:
        if not self._started:
            return
        now, wall_ms = self._now(), self._wall_ms()
        if key == PLACEMENT:
            self._place()
        elif key == CONFIGURATION and self._state.configuration is not None:
            for host in self.hosts.values():
                if host.primary is not None:
                    host.primary.configure(self._state.configuration, now, wall_ms)
                    self._after(host)
        elif key.startswith(MEMBER_PREFIX):
            self._release_dispatchers(now, wall_ms)

    def _release_dispatchers(self, now: float, wall_ms: int) -> None:
        for host in self.hosts.values():
            if host.primary is not None:
                host.primary.release_dispatchers(self._dispatcher_lives, now, wall_ms)
                self._after(host)

    def _dispatcher_lives(self, name: str, incarnation: int) -> bool:
        """False only where it is known to be gone; one that is leaving still ends its deliveries."""
        member = self._state.members.get(name)
        if member is None or member.incarnation < incarnation:
            return True
        return member.incarnation == incarnation and member.alive

    def _place(self) -> None:
        placement = self._state.placement
        if placement is None:
            return
        for entry in placement.partitions:
            involved = self.store_id in entry.replicas or self.store_id in entry.learners
            host = self._host(entry.partition) if involved else self.hosts.get(entry.partition)
            if host is not None:
                self._place_one(host, entry, involved)
        self._recover_all()

    def _place_one(self, host: PartitionHost, entry: PartitionPlacement, involved: bool) -> None:
        known = host.placement
        if known is not None and entry.epoch < known.epoch:
            return
        continues = known is not None and host.epoch == known.epoch and entry.epoch <= known.epoch + 1
        host.place(entry, self._tolerated)
        host.drop_at = 0.0 if involved else host.drop_at or self._now() + DROP_AFTER_S
        if entry.primary != self.store_id:
            if host.epoch and host.epoch < entry.epoch:
                host.resign()
        elif entry.epoch < host.table.promised_epoch:
            host.resign()
        elif host.epoch and continues:
            host.lead_on(entry.epoch)
            host.table.promise(entry.epoch)
        elif host.epoch != entry.epoch:
            host.lead(entry.epoch)
            self._run(self._promise_self(host, entry.epoch))

    async def _promise_self(self, host: PartitionHost, epoch: int) -> None:
        """The new primary refuses older ones durably before it asks anybody."""
        host.table.promise(epoch)
        try:
            await self._log.sync()
        except StorageError as error:
            self.storage_error = error
            return
        if host.epoch == epoch:
            host.promised = True
            self._serve_if_complete(host)
            self._recover_all()

    def _serve_if_complete(self, host: PartitionHost) -> None:
        if host.primary is not None or not host.epoch or not host.may_serve():
            return
        host.primary = PartitionPrimary(
            host.table, host.epoch, self._state.configuration, self._visibility_ms, self._chance, self._now(),
            self._wall_ms())
        host.primary.release_dispatchers(self._dispatcher_lives, self._now(), self._wall_ms())
        self._after(host)
        self._serving_changed.set()
        self._serving_changed = asyncio.Event()

    async def _serving(self, partition: int) -> PartitionHost | None:
        """The partition's host once it serves as the primary; it waits a little for a takeover."""
        host = self.hosts.get(partition)
        if host is not None and host.primary is not None:
            return host
        deadline = self._now() + SERVING_WAIT_S
        while self._is_placed(partition):
            host = self.hosts[partition]
            if host.primary is not None:
                return host
            try:
                async with asyncio.timeout_at(deadline):
                    await self._serving_changed.wait()
            except TimeoutError:
                return None
        return None

    def _is_placed(self, partition: int) -> bool:
        host = self.hosts.get(partition)
        return host is not None and host.is_placed_here and host.epoch > 0

    def _not_serving(self, partition: int) -> LeaseAnswer:
        return UNAVAILABLE if self._is_placed(partition) else NOT_PRIMARY

    # Time

    async def _tick(self) -> None:
        while self._started:
            await asyncio.sleep(TICK_S)
            now = self._now()
            gap = now - self._last_tick - TICK_S
            self._last_tick = now
            if gap > PAUSE_S:
                self._postpone(gap)
            self._give_up_waiting(now)
            self._tell_learners_again(now)
            if now >= self._next_recover:
                self._next_recover = now + RECOVER_EVERY_S
                self._recover_all()
            if now >= self._next_forget:
                self._next_forget = now + FORGET_EVERY_S
                self._forget(now)
            if now >= self._next_scrub:
                self._next_scrub = now + SCRUB_EVERY_S
                self._run(self._scrub())

    def _postpone(self, gap: float) -> None:
        for host in self.hosts.values():
            if host.primary is not None:
                host.primary.postpone_leases(gap)

    def _give_up_waiting(self, now: float) -> None:
        """Answer those who wait too long; their records may still be committed later."""
        for host in self.hosts.values():
            for proposal in list(host.outstanding):
                allowed_s = COMMIT_TIMEOUT_S if proposal.durable else LEASE_COMMIT_TIMEOUT_S
                if proposal.waiters and now - proposal.created_at > allowed_s:
                    proposal.answer(False)

    def _forget(self, now: float) -> None:
        wall_ms = self._wall_ms()
        for host in list(self.hosts.values()):
            forgotten = host.table.forget_expired(wall_ms)
            if host.primary is not None and forgotten:
                host.primary.forgotten(forgotten)
            if host.drop_at and now >= host.drop_at and not host.epoch:
                host.table.drop()
                del self.hosts[host.partition]

    def _arm(self, due: float | None) -> None:
        """Have time pass at the primaries when the next thing falls due."""
        if due is None or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = asyncio.get_running_loop().call_at(due, self._advance)

    def _advance(self) -> None:
        self._timer = None
        now, wall_ms = self._now(), self._wall_ms()
        if now - self._last_tick - TICK_S > PAUSE_S:
            self._postpone(now - self._last_tick - TICK_S)
            self._last_tick = now
        for host in self.hosts.values():
            if host.primary is not None:
                host.primary.advance(now, wall_ms)
                self._after(host)

    # Small things

    def _host(self, partition: int) -> PartitionHost:
        host = self.hosts.get(partition)
        if host is None:
            table = PartitionTable(partition, self._log, self._cache, self._status_ms)
            host = self.hosts[partition] = PartitionHost(self.store_id, table)
        return host

    def _move(self, position: Any, record: bytes) -> None:
        self._host(records.header_of(record).partition).table.moved(position, record)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _run(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _resolve(future: asyncio.Future[bool], committed: bool) -> None:
    if not future.done():
        future.set_result(committed)
