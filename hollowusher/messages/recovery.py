"""Bringing peers up to date: replicas that were away, learners, all of them at a takeover; and the scrub.

A peer first gets the new records (it joins), then everything is compared once; after that it lacks nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import suppress

from hollowusher.messages.comparing import Comparison, StaleEpoch
from hollowusher.messages.hosting import PartitionHost, PeerLink
from hollowusher.messages.records import Key
from hollowusher.messages.replication import Outgoing
from hollowusher.messages.replicator import Replicator
from hollowusher.protocol.placement import LearnerLost, LearnerReady
from hollowusher.protocol.replication import Records, Replicate, Replicated
from hollowusher.storage.interface import StorageError
from hollowusher.transport.interface import PeerError

PROBE_TIMEOUT_S = 1.0
TELL_AGAIN_S = 2.0
LEARNER_PATIENCE_S = 1.0  # a learner that was reported ready and is lost so long is to be let go by the head
PARTITIONS_AT_ONCE = 4  # compared at one time with one peer
_LearnerKey = tuple[int, int, str]  # partition, epoch, the learner's store id


class Recovery:
    """The catching up of one store's peers."""

    def __init__(self, replicator: Replicator, chance: Callable[[], float]) -> None:
        self._replicator = replicator
        self._chance = chance
        self._lost_since: dict[_LearnerKey, float] = {}  # of learners that were reported: when noticed
        self._recovering: set[str] = set()
        self._told_at: dict[_LearnerKey, float] = {}

    def recover_all(self) -> None:
        """Start on each peer that lacks records and is not being worked on."""
        peers = {
            peer
            for host in self._replicator.hosts.values()
            if host.epoch and host.promised
            for peer, link in host.links.items()
            if not link.complete
        }
        for peer in sorted(peers - self._recovering):
            self._recovering.add(peer)
            self._replicator.run(self._recover(peer))

    async def _recover(self, peer: str) -> None:
        try:
            address = self._replicator.address_of(peer)
            if address is not None and await self._probe(peer, address):
                hosts = iter(list(self._replicator.hosts.values()))
                async with asyncio.TaskGroup() as tasks:
                    for _ in range(PARTITIONS_AT_ONCE):
                        tasks.create_task(self._catch_up_each(hosts, peer, address))
        except* PeerError:
            self._replicator.lost(peer)
        except* StorageError as errors:
            self._replicator.storage_error = _first_storage_error(errors)
        finally:
            self._recovering.discard(peer)

    async def _catch_up_each(self, hosts: Iterator[PartitionHost], peer: str, address: str) -> None:
        for host in hosts:
            link = host.links.get(peer)
            while link is not None and host.links.get(peer) is link and not link.complete:
                if not (host.promised and await self._catch_up(host, peer, link, address)):
                    break

    async def _probe(self, peer: str, address: str) -> bool:
        """Ask with empty batches whether the peer is there; it learns the epochs by that."""
        replicator = self._replicator
        batches = [
            Records(host.partition, host.epoch, [])
            for host in replicator.hosts.values()
            if host.epoch and host.promised and peer in host.links
        ]
        message = Replicate(replicator.store_id, batches, True)
        answer = await replicator.transport.call(address, message, PROBE_TIMEOUT_S)
        if not isinstance(answer, Replicated):
            return False
        for partition, epoch in answer.refused.items():
            replicator.refused(peer, partition, epoch)
        return True

    async def _catch_up(self, host: PartitionHost, peer: str, link: PeerLink, address: str) -> bool:
        """Have a peer lack nothing; False where this store is the primary no longer or lost the peer.  The
        link stays incomplete where another peer knew something newer meanwhile."""
        if not link.joined:
            link.joined = True
            for proposal in list(host.outstanding):
                self._replicator.stream(peer).enqueue(Outgoing(host.partition, proposal), linger=False)
        paced = peer not in host.replicas or host.primary is not None
        link.stale = False
        if not await self._compare(host, peer, address, paced) or not link.joined:
            return False
        link.complete = not link.stale
        self._replicator.serve_if_complete(host)
        return True

    async def _compare(self, host: PartitionHost, peer: str, address: str, paced: bool) -> bool:
        """Exchange all differences with a peer; whether this store is still the primary."""
        replicator = self._replicator
        epoch = host.epoch
        comparison = Comparison(
            host.table,
            epoch,
            replicator.store_id,
            address,
            replicator.transport,
            replicator.log,
            replicator.wall_ms,
            paced,
        )
        failure: BaseException | None = None
        try:
            await comparison.run()
        except (StaleEpoch, PeerError, StorageError, asyncio.CancelledError) as error:
            failure = error  # what was learnt before counts all the same
        if comparison.changed:
            self._adopt(host, peer, comparison.changed)
        if isinstance(failure, StaleEpoch):
            replicator.refused(peer, failure.partition, failure.epoch)
            return False
        if failure is not None:
            raise failure
        return host.epoch == epoch

    def _adopt(self, host: PartitionHost, source: str, changed: list[Key]) -> None:
        """A peer knew something newer: the other peers lack it, too."""
        for peer, link in host.links.items():
            if peer != source:
                link.complete = False
                link.stale = True
        if host.primary is not None:
            for key in changed:
                host.primary.adopt(key, self._replicator.now(), self._replicator.wall_ms())
            self._replicator.stepped(host)
        self.recover_all()

    async def scrub(self) -> None:
        """Compare one partition with one of its replicas."""
        replicator = self._replicator
        pairs = [
            (host, peer)
            for host in replicator.serving()
            for peer, link in host.links.items()
            if link.complete
        ]
        if not pairs:
            return
        host, peer = pairs[int(self._chance() * len(pairs)) % len(pairs)]
        address = replicator.address_of(peer)
        if address is not None:
            with suppress(PeerError, StorageError):
                await self._compare(host, peer, address, paced=True)

    # Learners

    def look_after_learners(self, now: float) -> None:
        """Report to the head which learners have caught up, and which of those have been lost since.  Commits
        wait for a reported learner until a newer placement is in force: its report may count until then."""
        lost_since: dict[_LearnerKey, float] = {}
        for host in self._replicator.serving():
            assert host.placement is not None
            for peer in host.placement.learners:
                link = host.links.get(peer)
                if link is not None and link.complete:
                    if self._is_due(host, peer, now):
                        self._replicator.run(self._report(host, peer))
                elif peer in host.required:
                    key = (host.partition, host.epoch, peer)
                    lost_since[key] = self._lost_since.get(key, now)
                    if now - lost_since[key] >= LEARNER_PATIENCE_S and self._is_due(host, peer, now):
                        self._replicator.run(self._tell_head(LearnerLost(host.partition, host.epoch, peer)))
        self._lost_since = lost_since

    def _is_due(self, host: PartitionHost, peer: str, now: float) -> bool:
        """Whether the head is to be told again about a learner."""
        key = (host.partition, host.epoch, peer)
        if now - self._told_at.get(key, -TELL_AGAIN_S) < TELL_AGAIN_S:
            return False
        self._told_at = {told: at for told, at in self._told_at.items() if now - at < TELL_AGAIN_S}
        self._told_at[key] = now
        return True

    async def _report(self, host: PartitionHost, peer: str) -> None:
        """From now on each commit needs this learner, too; what was committed before is compared once more,
        so that the head may count on it."""
        replicator = self._replicator
        placement, address = host.placement, replicator.address_of(peer)
        if placement is None or address is None or host.primary is None:
            return
        epoch = host.epoch
        try:
            if peer not in host.required:
                host.required.add(peer)
                if not await self._compare(host, peer, address, paced=True):
                    self._told_at.pop((host.partition, epoch, peer), None)
                    return
        except (PeerError, StorageError):
            return
        if host.epoch == epoch and peer in host.required:
            await self._tell_head(LearnerReady(host.partition, epoch, peer))

    async def _tell_head(self, report: LearnerReady | LearnerLost) -> None:
        replicator = self._replicator
        view = replicator.state.view
        voters = view.voters if view is not None else []
        head = next((voter.address for voter in voters if view and voter.name == view.head), None)
        if head is not None:
            with suppress(PeerError):
                await replicator.transport.call(head, report, PROBE_TIMEOUT_S)


def _first_storage_error(errors: ExceptionGroup[StorageError]) -> StorageError:
    first: BaseException = errors
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    assert isinstance(first, StorageError)
    return first
