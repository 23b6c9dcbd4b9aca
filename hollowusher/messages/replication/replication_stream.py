"""The stream of records from this store to one other store, for all partitions that this store leads.

Records that must be on the peer's disk and records that only need to be in its memory have separate lanes,
each with at most two batches in flight.  Records have versions, so the order between the lanes is irrelevant.
If a commit does not need this peer, its record is deferred in `DeferredCopies`.  If the peer does not answer
in time, the stream clears its queue, and the owner lets the peer catch up by anti-entropy.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import Protocol

from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import pack_acceptance_age
from hollowusher.messages.replication.acceptance_age import MIN_AGE_MS
from hollowusher.messages.replication.deferred_copies import DeferredCopies
from hollowusher.messages.replication.outgoing_record import OutgoingRecord
from hollowusher.protocol.replication import RecordBatch, ReplicateRequest, ReplicateResponse
from hollowusher.transport.interface import PeerError, Transport

ANSWER_TIMEOUT_S = 1.0
LATENCY_SMOOTHING = 0.2  # weight of the newest measurement
MAX_BATCHES_IN_FLIGHT = 2
MAX_BATCH_BYTES = 1024 * 1024
MAX_QUEUED_BYTES = 8 * 1024 * 1024
BATCH_DELAY_S = 0.002  # a client may wait for the records; the short delay lets several of them form a batch
MIN_DEFERRAL_CHECK_S = 0.02  # minimum interval between checks of deferred records, so that they form batches
SLOW_PEER_S = 0.025  # a batch in flight for longer than this raises the expected latency of the peer


class StreamOwner(Protocol):
    """The owner of replication streams, which provides addresses and epochs and handles events."""

    def address_of(self, store_id: str) -> str | None:
        """Return the internal address of a peer, or None if it is unknown."""

    def epoch_of(self, partition: int) -> int:
        """Return the epoch of the partition that this store leads, or 0 if it is not the primary."""

    def on_acknowledged(self, store_id: str, sent: Iterable[OutgoingRecord], sent_at: float) -> None:
        """Handle the acknowledgement by a peer of these records, which were sent at `sent_at`."""

    def on_rejected(self, store_id: str, partition: int, epoch: int) -> None:
        """Handle the rejection of a partition's records by a peer that follows `epoch`, a newer one."""

    def on_peer_lost(self, store_id: str) -> None:
        """Handle the loss of a peer that did not answer or was too slow; its queue has been dropped."""


class _StreamLane:
    """Queue and batches in flight of the records with the same durability requirement."""

    def __init__(self, *, durable: bool) -> None:
        self.durable = durable
        self.queue: list[OutgoingRecord] = []
        self.in_flight: dict[int, float] = {}  # batch number -> monotonic send time
        self.timer: asyncio.Handle | None = None


class ReplicationStream:
    """Stream of record batches to one peer."""

    def __init__(
        self, me: str, peer: str, owner: StreamOwner, transport: Transport, run: Callable[..., None]
    ) -> None:
        self.peer = peer
        self.latency_s = 0.0  # exponentially smoothed response time
        self._me = me
        self._owner = owner
        self._transport = transport
        self._run = run
        self._lanes = {durable: _StreamLane(durable=durable) for durable in (True, False)}
        self._deferred = DeferredCopies()
        self._deferral_timer: asyncio.TimerHandle | None = None
        self._queued_bytes = 0
        self._numbers = itertools.count()

    def send_newest(self, outgoing: OutgoingRecord) -> None:
        """Send the newest record of a message with the next batch."""
        self._deferred.note_sent(outgoing)
        self.enqueue(outgoing)

    def enqueue(self, outgoing: OutgoingRecord) -> None:
        """Send a record with the next batch; it need not be the newest one of its message."""
        lane = self._lanes[outgoing.proposal.needs_sync]
        lane.queue.append(outgoing)
        self._queued_bytes += len(outgoing.proposal.record)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._drop_peer()
        elif len(lane.in_flight) < MAX_BATCHES_IN_FLIGHT and lane.timer is None:
            lane.timer = asyncio.get_running_loop().call_later(BATCH_DELAY_S, self._flush, lane)

    def defer(self, outgoing: OutgoingRecord) -> None:
        """Send the newest record of a message later, unless a newer record makes it unnecessary by then."""
        now = asyncio.get_running_loop().time()
        self._schedule_deferred(self._deferred.add(outgoing, now))

    def close(self) -> None:
        """Drop all queued and deferred records and cancel the timers."""
        self._clear()

    def expected_latency_s(self, now: float) -> float:
        """Return the expected response time in seconds.

        This is the smoothed latency, or the age of the oldest batch in flight if that exceeds `SLOW_PEER_S`.
        """
        waited_s = 0.0
        for lane in self._lanes.values():
            for sent_at in lane.in_flight.values():
                waited_s = max(waited_s, now - sent_at)
        return waited_s if waited_s > SLOW_PEER_S else self.latency_s

    def _schedule_deferred(self, due_at: float | None) -> None:
        if due_at is None:
            return
        loop = asyncio.get_running_loop()
        due_at = max(due_at, loop.time() + MIN_DEFERRAL_CHECK_S)
        if self._deferral_timer is not None:
            if self._deferral_timer.when() <= due_at:
                return
            self._deferral_timer.cancel()
        self._deferral_timer = loop.call_at(due_at, self._send_deferred)

    def _send_deferred(self) -> None:
        self._deferral_timer = None
        for outgoing in self._deferred.take_due(asyncio.get_running_loop().time()):
            self.enqueue(outgoing)
        self._schedule_deferred(self._deferred.next_due_at())

    def _flush(self, lane: _StreamLane) -> None:
        if lane.timer is not None:
            lane.timer.cancel()
            lane.timer = None
        while lane.queue and len(lane.in_flight) < MAX_BATCHES_IN_FLIGHT:
            number = next(self._numbers)
            lane.in_flight[number] = asyncio.get_running_loop().time()
            self._run(self._send(lane, number, self._next_batch(lane)))

    def _next_batch(self, lane: _StreamLane) -> list[OutgoingRecord]:
        size = count = 0
        for outgoing in lane.queue:
            if count and size > MAX_BATCH_BYTES:
                break
            size += len(outgoing.proposal.record)
            count += 1
        batch, lane.queue = lane.queue[:count], lane.queue[count:]
        self._queued_bytes -= size
        return batch

    async def _send(self, lane: _StreamLane, number: int, batch: list[OutgoingRecord]) -> None:
        sent_at = lane.in_flight[number]
        epochs = {partition: self._owner.epoch_of(partition) for partition, _ in batch}
        current = [outgoing for outgoing in batch if epochs[outgoing.partition]]
        try:
            answer = await self._call(current, epochs, durable=lane.durable)
        except PeerError:
            self._drop_peer()
            return
        finally:
            del lane.in_flight[number]
        self._update_latency(asyncio.get_running_loop().time() - sent_at)
        for partition, epoch in answer.refused.items():
            self._owner.on_rejected(self.peer, partition, epoch)
        accepted = [sent for sent in current if sent.partition not in answer.refused]
        self._owner.on_acknowledged(self.peer, accepted, sent_at)
        if lane.queue and lane.timer is None:
            self._flush(lane)

    async def _call(
        self, batch: list[OutgoingRecord], epochs: dict[int, int], *, durable: bool
    ) -> ReplicateResponse:
        address = self._owner.address_of(self.peer)
        if address is None:
            raise PeerError("ReplicateRequest", self.peer, "no address", sent=False)
        by_partition: dict[int, list[bytes]] = {}
        for partition, proposal in batch:
            records = by_partition.setdefault(partition, [])
            if proposal.is_delayed_put:
                records += _age_record(partition, proposal)
            if proposal.record:
                records.append(proposal.record)
        batches = [
            RecordBatch(partition, epochs[partition], records) for partition, records in by_partition.items()
        ]
        answer = await self._transport.call(
            address, ReplicateRequest(self._me, batches, durable), ANSWER_TIMEOUT_S
        )
        if not isinstance(answer, ReplicateResponse):
            raise PeerError("ReplicateRequest", address, f"answered {type(answer).__name__}")
        return answer

    def _update_latency(self, took_s: float) -> None:
        self.latency_s += LATENCY_SMOOTHING * (took_s - self.latency_s)

    def _drop_peer(self) -> None:
        self._clear()
        self._owner.on_peer_lost(self.peer)

    def _clear(self) -> None:
        self._deferred.clear()
        if self._deferral_timer is not None:
            self._deferral_timer.cancel()
            self._deferral_timer = None
        for lane in self._lanes.values():
            lane.queue.clear()
            if lane.timer is not None:
                lane.timer.cancel()
                lane.timer = None
        self._queued_bytes = 0


def _age_record(partition: int, proposal: Proposal) -> list[bytes]:
    """Return the age record of a delayed message, or an empty list if the age is below `MIN_AGE_MS`."""
    age_ms = int((asyncio.get_running_loop().time() - proposal.created_at) * 1000)
    return [pack_acceptance_age(partition, proposal.key, age_ms)] if age_ms >= MIN_AGE_MS else []
