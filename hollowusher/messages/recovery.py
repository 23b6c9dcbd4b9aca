"""Bringing peers up to date: replicas that were away, learners, all of them at a takeover; and the scrub.

A peer first gets the new records (it joins), then everything is compared once; after that it lacks nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from hollowusher.messages.comparing import Comparison, StaleEpoch
from hollowusher.messages.hosting import PartitionHost, PeerLink
from hollowusher.messages.replication import Outgoing
from hollowusher.messages.replicator import Replicator
from hollowusher.protocol.control import LearnerReady
from hollowusher.protocol.store import Records, Replicate, Replicated
from hollowusher.storage.interface import StorageError
from hollowusher.transport.interface import PeerError

PROBE_TIMEOUT_S = 1.0
TELL_AGAIN_S = 2.0
LEARNER_PATIENCE_S = 3.0  # a lost learner that was reported ready still holds commits back for so long


class Recovery:
    """The catching up of one store's peers."""

    def __init__(self, replicator: Replicator, chance: Callable[[], float]) -> None:
        self._replicator = replicator
        self._chance = chance
        self._recovering: set[str] = set()
        self._told_at: dict[tuple[int, str], float] = {}

    def recover_all(self) -> None:
        """Start on each peer that lacks records and is not being worked on."""
        peers = {peer for host in self._replicator.hosts.values() if host.epoch and host.promised
                 for peer, link in host.links.items() if not link.complete}
        for peer in sorted(peers - self._recovering):
            self._recovering.add(peer)
            self._replicator.run(self._recover(peer))

    async def _recover(self, peer: str) -> None:
        try:
            address = self._replicator.address_of(peer)
            if address is not None and await self._probe(peer, address):
                for host in list(self._replicator.hosts.values()):
                    link = host.links.get(peer)
                    if link is not None and host.epoch and host.promised and not link.complete:
                        await self._catch_up(host, peer, link, address)
        except PeerError:
            self._replicator.lost(peer)
        except StorageError as error:
            self._replicator.storage_error = error
        finally:
            self._recovering.discard(peer)

    async def _probe(self, peer: str, address: str) -> bool:
        """Ask with empty batches whether the peer is there; it learns the epochs by that."""
        replicator = self._replicator
        batches = [Records(host.partition, host.epoch, []) for host in replicator.hosts.values()
                   if host.epoch and host.promised and peer in host.links]
        message = Replicate(replicator.store_id, batches, True)
        answer = await replicator.transport.call(address, message, PROBE_TIMEOUT_S)
        if not isinstance(answer, Replicated):
            return False
        for partition, epoch in answer.refused.items():
            replicator.refused(partition, epoch)
        return True

    async def _catch_up(self, host: PartitionHost, peer: str, link: PeerLink, address: str) -> None:
        epoch = host.epoch
        if not link.joined:
            link.joined = True
            for proposal in list(host.outstanding):
                self._replicator.stream(peer).enqueue(Outgoing(host.partition, proposal), linger=False)
        paced = peer not in host.replicas or host.primary is not None
        if not await self._compare(host, address, paced):
            return
        if host.epoch == epoch and host.links.get(peer) is link and link.joined:
            link.complete = True
            self._replicator.serve_if_complete(host)

    async def _compare(self, host: PartitionHost, address: str, paced: bool) -> bool:
        """Exchange all differences with a peer; whether this store is still the primary."""
        replicator = self._replicator
        epoch = host.epoch
        comparison = Comparison(
            host.table, epoch, replicator.store_id, address, replicator.transport, replicator.log,
            replicator.wall_ms, paced)
        try:
            await comparison.run()
        except StaleEpoch as stale:
            replicator.refused(stale.partition, stale.epoch)
            return False
        finally:
            if host.primary is not None and comparison.changed:
                for key in comparison.changed:
                    host.primary.adopt(key, replicator.now(), replicator.wall_ms())
                replicator.stepped(host)
        return host.epoch == epoch

    async def scrub(self) -> None:
        """Compare one partition with one of its replicas."""
        replicator = self._replicator
        pairs = [(host, peer) for host in replicator.serving()
                 for peer, link in host.links.items() if link.complete]
        if not pairs:
            return
        host, peer = pairs[int(self._chance() * len(pairs)) % len(pairs)]
        address = replicator.address_of(peer)
        if address is not None:
            with suppress(PeerError, StorageError):
                await self._compare(host, address, paced=True)

    # Learners

    def look_after_learners(self, now: float) -> None:
        """Report learners that have caught up; let go of those that were lost since."""
        for host in self._replicator.serving():
            assert host.placement is not None
            for peer in host.placement.learners:
                link = host.links.get(peer)
                if link is not None and link.complete:
                    if now - self._told_at.get((host.partition, peer), -1e9) >= TELL_AGAIN_S:
                        self._told_at[host.partition, peer] = now
                        self._replicator.run(self._report(host, peer))
                elif peer in host.required and now - link_lost_at(link) > LEARNER_PATIENCE_S:
                    del host.required[peer]
                    self._replicator.settle(host)

    async def _report(self, host: PartitionHost, peer: str) -> None:
        """From now on each commit needs this learner, too; what was committed before is compared once more,
        so that the head may count on it."""
        replicator = self._replicator
        placement, address = host.placement, replicator.address_of(peer)
        view = replicator.state.view
        if placement is None or address is None or view is None or host.primary is None:
            return
        head = next((voter.address for voter in view.voters if voter.name == view.head), None)
        if head is None:
            return
        try:
            if peer not in host.required:
                host.required[peer] = replicator.now()
                if not await self._compare(host, address, paced=True):
                    return
            ready = LearnerReady(host.partition, placement.epoch, peer)
            await replicator.transport.call(head, ready, PROBE_TIMEOUT_S)
        except (PeerError, StorageError):
            return


def link_lost_at(link: PeerLink | None) -> float:
    """When a peer stopped answering; long ago for one that is not known."""
    return link.lost_at if link is not None else 0.0
