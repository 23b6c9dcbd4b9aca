"""The stream of records from this store to one other replica, for all partitions whose primary is here.

Records that need the peer's disk and records that only need its memory travel in two lanes, each with at most
two batches under way; versions make the order between them irrelevant.  A peer that does not answer in time
has lost its place: the queue is dropped, and the owner lets it catch up by comparing.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hollowusher.messages.proposal import Proposal
from hollowusher.protocol.replication import Records, Replicate, Replicated
from hollowusher.transport.interface import PeerError, Transport

ANSWER_TIMEOUT_S = 1.0
MOST_IN_FLIGHT = 2
MOST_BATCH_BYTES = 1024 * 1024
MOST_QUEUED_BYTES = 8 * 1024 * 1024
GATHER_S = 0.002  # records that somebody waits for are gathered for so long
LINGER_S = {True: 0.03, False: 0.25}  # those for replicas beyond the quorum longer, by lane: fewer batches
SLOW_S = 0.025  # a batch under way for longer: the peer is not the quickest any more


class Outgoing(NamedTuple):
    """One record on its way."""

    partition: int
    proposal: Proposal


class StreamOwner:
    """What a stream tells its owner, and asks of it."""

    def address_of(self, store_id: str) -> str | None:
        """The peer's internal address, None while it is not known."""
        raise NotImplementedError

    def epoch_of(self, partition: int) -> int:
        """The epoch for which this store is the primary, 0 where it is not."""
        raise NotImplementedError

    def acknowledged(self, store_id: str, sent: Iterable[Outgoing], sent_at: float) -> None:
        """The peer has these records."""
        raise NotImplementedError

    def refused(self, store_id: str, partition: int, epoch: int) -> None:
        """The peer has promised a newer epoch and did not take the records."""
        raise NotImplementedError

    def lost(self, store_id: str) -> None:
        """The peer did not answer: records have been dropped."""
        raise NotImplementedError


class _Lane:
    def __init__(self, durable: bool) -> None:
        self.durable = durable
        self.queue: list[Outgoing] = []
        self.in_flight: dict[int, float] = {}  # batch number -> when it was sent
        self.timer: asyncio.Handle | None = None
        self.timer_at = 0.0
        self.lingers = False  # nobody waits for what is queued


class ReplicationStream:
    """Batches to one peer."""

    def __init__(
        self, me: str, peer: str, owner: StreamOwner, transport: Transport, run: Callable[..., None]
    ) -> None:
        self.peer = peer
        self.latency_s = 0.0  # smoothed
        self._me = me
        self._owner = owner
        self._transport = transport
        self._run = run
        self._lanes = {durable: _Lane(durable) for durable in (True, False)}
        self._queued_bytes = 0
        self._numbers = itertools.count()

    def enqueue(self, outgoing: Outgoing, linger: bool) -> None:
        """Send a record with the next batch; `linger` lets it wait a little for others."""
        lane = self._lanes[outgoing.proposal.durable]
        lane.queue.append(outgoing)
        self._queued_bytes += len(outgoing.proposal.record)
        if self._queued_bytes > MOST_QUEUED_BYTES:
            self._lose()
        elif len(lane.in_flight) < MOST_IN_FLIGHT:
            self._schedule(lane, LINGER_S[lane.durable] if linger else GATHER_S)

    def expected_s(self, now: float) -> float:
        """How long the peer is expected to take: the usual time, or more where it is late already."""
        waited_s = 0.0
        for lane in self._lanes.values():
            for sent_at in lane.in_flight.values():
                waited_s = max(waited_s, now - sent_at)
        return waited_s if waited_s > SLOW_S else self.latency_s

    def close(self) -> None:
        """Send nothing more."""
        self._clear()

    def _schedule(self, lane: _Lane, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + delay_s
        if lane.timer is not None:
            if lane.timer_at <= due:
                return
            lane.timer.cancel()
        lane.timer_at = due
        lane.lingers = delay_s != GATHER_S
        lane.timer = loop.call_later(delay_s, self._flush, lane)

    def _flush(self, lane: _Lane) -> None:
        if lane.timer is not None:
            lane.timer.cancel()
            lane.timer = None
        if lane.durable:
            self._take_along(lane)
        while lane.queue and len(lane.in_flight) < MOST_IN_FLIGHT:
            number = next(self._numbers)
            lane.in_flight[number] = asyncio.get_running_loop().time()
            self._run(self._send(lane, number, self._next_batch(lane)))

    def _take_along(self, durable: _Lane) -> None:
        """Records that only wait for company travel with the durable ones."""
        memory = self._lanes[False]
        if memory.queue and memory.lingers and memory.timer is not None:
            durable.queue += memory.queue
            memory.queue = []
            memory.timer.cancel()
            memory.timer = None

    def _next_batch(self, lane: _Lane) -> list[Outgoing]:
        size = count = 0
        for outgoing in lane.queue:
            if count and size > MOST_BATCH_BYTES:
                break
            size += len(outgoing.proposal.record)
            count += 1
        batch, lane.queue = lane.queue[:count], lane.queue[count:]
        self._queued_bytes -= size
        return batch

    async def _send(self, lane: _Lane, number: int, batch: list[Outgoing]) -> None:
        sent_at = lane.in_flight[number]
        epochs = {partition: self._owner.epoch_of(partition) for partition, _ in batch}
        current = [outgoing for outgoing in batch if epochs[outgoing.partition]]
        try:
            answer = await self._call(lane.durable, current, epochs)
        except PeerError:
            self._lose()
            return
        finally:
            del lane.in_flight[number]
        self._measure(asyncio.get_running_loop().time() - sent_at)
        for partition, epoch in answer.refused.items():
            self._owner.refused(self.peer, partition, epoch)
        taken = [sent for sent in current if sent.partition not in answer.refused]
        self._owner.acknowledged(self.peer, taken, sent_at)
        if lane.queue and lane.timer is None:
            self._flush(lane)

    async def _call(self, durable: bool, batch: list[Outgoing], epochs: dict[int, int]) -> Replicated:
        address = self._owner.address_of(self.peer)
        if address is None:
            raise PeerError("Replicate", self.peer, "no address", sent=False)
        by_partition: dict[int, list[bytes]] = {}
        for partition, proposal in batch:
            records = by_partition.setdefault(partition, [])
            if proposal.record:
                records.append(proposal.record)
        batches = [
            Records(partition, epochs[partition], records) for partition, records in by_partition.items()
        ]
        answer = await self._transport.call(address, Replicate(self._me, batches, durable), ANSWER_TIMEOUT_S)
        if not isinstance(answer, Replicated):
            raise PeerError("Replicate", address, f"answered {type(answer).__name__}")
        return answer

    def _measure(self, took_s: float) -> None:
        self.latency_s += 0.2 * (took_s - self.latency_s)

    def _lose(self) -> None:
        self._clear()
        self._owner.lost(self.peer)

    def _clear(self) -> None:
        for lane in self._lanes.values():
            lane.queue.clear()
            if lane.timer is not None:
                lane.timer.cancel()
                lane.timer = None
        self._queued_bytes = 0
