"""Replication of all partitions of one store: quorums, streams to the peers, epochs, placements.

As a primary's owner it sends what the primary proposes and commits what a quorum has; as a replica it takes
records from other primaries and refuses those of older epochs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.messages import records
from hollowusher.messages.comparing import answer_summary
from hollowusher.messages.hosting import PartitionHost, PeerLink
from hollowusher.messages.proposal import Proposal
from hollowusher.messages.replication import GATHER_S, Outgoing, ReplicationStream, StreamOwner
from hollowusher.messages.table import PartitionTable, RecordCache
from hollowusher.protocol.placement import PartitionPlacement
from hollowusher.protocol.replication import Difference, Replicate, Replicated, Summary
from hollowusher.storage.interface import Log, Position, StorageError
from hollowusher.transport.interface import Transport

DROP_AFTER_S = 30.0  # a partition that has moved away is kept as long, for takeovers
CACHE_BYTES = 48 * 1024 * 1024


class Replicator(StreamOwner):
    """The partitions of one store and their replication.  The owner sets `stepped` (called after a primary
    has changed), `took_over` (a primary is to be made) and `recover` (peers lack records)."""

    def __init__(
        self,
        store_id: str,
        transport: Transport,
        log: Log,
        state: ClusterState,
        tolerated: int,
        status_ms: int,
        wall_ms: Callable[[], int],
        incarnation: int = 0,
    ) -> None:
        self.store_id = store_id
        self.transport = transport
        self.log = log
        self.state = state
        self.hosts: dict[int, PartitionHost] = {}
        self.storage_error: StorageError | None = None  # set once the disk has failed
        self.stepped: Callable[[PartitionHost], None] = lambda host: None
        self.took_over: Callable[[PartitionHost], None] = lambda host: None
        self.recover: Callable[[], None] = lambda: None
        self.clock: Callable[[], float] = lambda: asyncio.get_running_loop().time()
        self.wall_ms = wall_ms
        self._incarnation = incarnation
        self._tolerated = tolerated
        self._status_ms = status_ms
        self._cache = RecordCache(CACHE_BYTES)
        self._streams: dict[str, ReplicationStream] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._unsynced: list[Outgoing] = []
        self._syncing = False

    # Life

    def replay(self) -> None:
        """Read the log."""
        self.clock = asyncio.get_running_loop().time
        self.log.set_move(self._move)
        wall_ms = self.wall_ms()
        for position, record in self.log.replay():
            header = records.header_of(record)
            self.host(header.partition).table.replayed(record, header, position, wall_ms)
        for host in self.hosts.values():
            host.table.drop_outdated(wall_ms)

    def close(self) -> None:
        """Stop everything at once."""
        for host in self.hosts.values():
            host.resign()
        for stream in self._streams.values():
            stream.close()
        for task in list(self._tasks):
            task.cancel()

    def run(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine, holding on to its task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def now(self) -> float:
        """The steady clock."""
        return self.clock()

    def host(self, partition: int) -> PartitionHost:
        """The host of a partition, made where there is none yet."""
        host = self.hosts.get(partition)
        if host is None:
            table = PartitionTable(partition, self.log, self._cache, self._status_ms)
            host = self.hosts[partition] = PartitionHost(self.store_id, table)
        return host

    def serving(self) -> list[PartitionHost]:
        """The partitions that have a primary here."""
        return [host for host in self.hosts.values() if host.primary is not None]

    def drop_moved(self, now: float) -> None:
        """Drop the partitions that moved away a while ago."""
        for host in list(self.hosts.values()):
            if host.drop_at and now >= host.drop_at and not host.epoch:
                host.table.drop()
                del self.hosts[host.partition]

    def _move(self, position: Position, record: bytes) -> None:
        self.host(records.header_of(record).partition).table.moved(position, record)

    # Proposing and committing

    def propose(self, host: PartitionHost, proposal: Proposal) -> None:
        """Send a proposal to the replicas of its partition; it is in this store's log already."""
        host.outstanding[proposal] = None
        outgoing = Outgoing(host.partition, proposal)
        joined = host.joined()
        first = self._first_receivers(host, joined)
        for peer in joined:
            self.stream(peer).enqueue(outgoing, linger=peer not in first)
        if proposal.durable:
            self._unsynced.append(outgoing)
            if not self._syncing:
                self._syncing = True
                self.run(self._sync())
        elif host.acknowledge(proposal, self.store_id):
            self._commit(host, proposal)

    def _first_receivers(self, host: PartitionHost, joined: list[str]) -> list[str]:
        """The peers whose acknowledgements are waited for: the quickest ones that make a quorum."""
        needed = host.commit_quorum - 1
        counting = [peer for peer in joined if peer in host.replicas]
        if len(counting) > needed:
            now = self.now()
            counting.sort(key=lambda peer: (not host.links[peer].complete, self.stream(peer).expected_s(now)))
        return [*counting[:needed], *host.required]

    def _commit(self, host: PartitionHost, proposal: Proposal) -> None:
        if host.primary is not None:
            host.primary.commit(proposal, self.now(), self.wall_ms())
            self.stepped(host)

    async def _sync(self) -> None:
        try:
            while self._unsynced:
                await asyncio.sleep(GATHER_S)
                synced, self._unsynced = self._unsynced, []
                await self.log.sync()
                self._acknowledge(self.store_id, synced)
        except StorageError as error:
            self.storage_error = error
        finally:
            self._syncing = False

    def _acknowledge(self, store_id: str, taken: Iterable[Outgoing]) -> None:
        for partition, proposal in taken:
            host = self.hosts.get(partition)
            if host is not None and host.acknowledge(proposal, store_id):
                self._commit(host, proposal)

    def settle(self, host: PartitionHost) -> None:
        """Commit what needs fewer acknowledgements than before."""
        for proposal in host.settled():
            self._commit(host, proposal)

    def give_up_waiting(self, now: float, durable_s: float, memory_s: float) -> None:
        """Answer those who wait too long; their records may still be committed later."""
        for host in self.hosts.values():
            for proposal in list(host.outstanding):
                allowed_s = durable_s if proposal.durable else memory_s
                if proposal.waiters and now - proposal.created_at > allowed_s:
                    proposal.answer(False)

    # Streams

    def stream(self, peer: str) -> ReplicationStream:
        """The stream to another store."""
        stream = self._streams.get(peer)
        if stream is None:
            stream = ReplicationStream(self.store_id, peer, self, self.transport, self.run)
            self._streams[peer] = stream
        return stream

    def address_of(self, store_id: str) -> str | None:
        """The internal address of another store."""
        return self.state.store_address(store_id)

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
        self._acknowledge(store_id, sent)

    def refused(self, store_id: str, partition: int, epoch: int) -> None:
        """A replica has promised a newer epoch: this store is the primary no longer, or the records were
        sent for an epoch before this store's present one and have to be sent again."""
        host = self.hosts.get(partition)
        if host is None or not host.epoch:
            return
        if host.epoch < epoch:
            host.resign()
        elif store_id in host.links:
            host.links[store_id].joined = host.links[store_id].complete = False
            self.recover()

    def lost(self, store_id: str) -> None:
        """A peer did not answer: it has to catch up."""
        for host in self.hosts.values():
            link = host.links.get(store_id)
            if link is not None and link.joined:
                link.joined = link.complete = False
                link.lost_at = self.now()

    def _link(self, partition: int, store_id: str) -> PeerLink | None:
        host = self.hosts.get(partition)
        return host.links.get(store_id) if host is not None else None

    # Answering other primaries

    async def replicate(self, replicate: Replicate) -> Replicated:
        """Take records; answered once they are durable or in memory, as asked for."""
        refused: dict[int, int] = {}
        durable = replicate.durable
        wall_ms = self.wall_ms()
        for batch in replicate.batches:
            host = self.host(batch.partition)
            if batch.epoch < host.table.promised_epoch:
                refused[batch.partition] = host.table.promised_epoch
                continue
            if batch.epoch > host.table.promised_epoch:
                self._promise(host, batch.epoch)
                durable = True
            for record in batch.records:
                host.table.apply(record, wall_ms)
        if durable:
            await self.log.sync()
        return Replicated(refused)

    async def summary(self, summary: Summary) -> Difference:
        """Answer a comparison; a newer epoch is promised durably first."""
        host = self.host(summary.partition)
        if summary.fence and summary.epoch > host.table.promised_epoch:
            self._promise(host, summary.epoch)
            await self.log.sync()
        if summary.epoch < host.table.promised_epoch:
            return Difference("stale", host.table.promised_epoch)
        return answer_summary(host.table, summary)

    @staticmethod
    def _promise(host: PartitionHost, epoch: int) -> None:
        host.table.promise(epoch)
        if 0 < host.epoch < epoch:
            host.resign()

    # Placement

    def place(self) -> None:
        """Take up what the newest placement says."""
        placement = self.state.placement
        if placement is None:
            return
        for entry in placement.partitions:
            involved = self.store_id in entry.replicas or self.store_id in entry.learners
            host = self.host(entry.partition) if involved else self.hosts.get(entry.partition)
            if host is not None:
                self._place(host, entry, involved)
        self.recover()

    def _place(self, host: PartitionHost, entry: PartitionPlacement, involved: bool) -> None:
        if not host.is_news(entry):
            return
        host.drop_at = 0.0 if involved else host.drop_at or self.now() + DROP_AFTER_S
        if host.follow(entry, self._tolerated, self._incarnation, self.now()):
            self.run(self._take_over(host, entry.epoch))
        elif host.primary is not None:
            self.settle(host)

    async def _take_over(self, host: PartitionHost, epoch: int) -> None:
        """Promise the new epoch durably here before any other replica is asked."""
        host.table.promise(epoch)
        try:
            await self.log.sync()
        except StorageError as error:
            self.storage_error = error
            return
        if host.epoch == epoch:
            host.promised = True
            self.serve_if_complete(host)
            self.recover()

    def serve_if_complete(self, host: PartitionHost) -> None:
        """Begin to serve once enough replicas have been compared."""
        if host.primary is None and host.epoch:
            host.former_replicas = [replica for replica in host.former_replicas if self._lives(replica)]
            if host.may_serve(self.now()):
                self.took_over(host)

    def _lives(self, store_id: str) -> bool:
        """Whether a store is there with this disk, as far as is known here."""
        member = self.state.members.get(store_id.partition("/")[0])
        return member is not None and member.alive and member.store_id == store_id
