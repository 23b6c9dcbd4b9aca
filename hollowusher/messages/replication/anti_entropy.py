"""Comparing one partition with one peer until both hold the same, and answering such comparisons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator

from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.records import MessageKey
from hollowusher.protocol.replication import (
    RecordBatch,
    ReplicaDifference,
    ReplicaSummary,
    ReplicateRequest,
    ReplicateResponse,
)
from hollowusher.storage.interface import Log
from hollowusher.transport.interface import PeerError, Transport

ANSWER_TIMEOUT_S = 1.5
BUCKETS_PER_REQUEST = 8
CHUNK_BYTES = 256 * 1024
PACED_BYTES_PER_S = 3 * 1024 * 1024  # of one partition with one peer


class StaleEpochError(Exception):
    """The peer has promised a newer epoch."""

    def __init__(self, partition: int, epoch: int) -> None:
        super().__init__(f"partition {partition}: epoch {epoch} is promised")
        self.partition = partition
        self.epoch = epoch


class AntiEntropySession:
    """One comparison: fetches what the peer knows better and sends it what it lacks."""

    def __init__(
        self,
        table: PartitionTable,
        epoch: int,
        me: str,
        address: str,
        transport: Transport,
        log: Log,
        wall_ms: Callable[[], int],
        paced: bool,
    ) -> None:
        self.changed_keys: list[MessageKey] = []  # messages about which the peer knew better
        self._table = table
        self._epoch = epoch
        self._me = me
        self._address = address
        self._transport = transport
        self._log = log
        self._wall_ms = wall_ms
        self._paced = paced

    async def run(self) -> None:
        """Compare everything once; `PeerError` or `StaleEpochError` where that fails."""
        table = self._table
        answer = await self._request_difference(
            ReplicaSummary(table.partition, self._epoch, self._me, table.bucket_digests(), fence=True)
        )
        buckets = answer.buckets
        for start in range(0, len(buckets), BUCKETS_PER_REQUEST):
            await self._reconcile(buckets[start : start + BUCKETS_PER_REQUEST])

    async def _reconcile(self, buckets: list[int]) -> None:
        while True:
            versions = self._table.bucket_versions(buckets)
            partition = self._table.partition
            answer = await self._request_difference(
                ReplicaSummary(partition, self._epoch, self._me, [], versions, fence=True)
            )
            learnt = self._merge(answer.records)
            if learnt:
                await self._log.sync()
            more, incomplete = answer.extra
            await self._push(self._table.requested_records(answer.wanted, incomplete))
            if self._paced:
                await self._pause(sum(map(len, answer.records)))
            if not more or not learnt:
                return

    def _merge(self, found: Iterable[bytes]) -> bool:
        learnt = False
        for record in found:
            key = self._table.apply(record, self._wall_ms())
            if key is not None:
                self.changed_keys.append(key)
                learnt = True
        return learnt

    async def _push(self, found: Iterator[bytes]) -> None:
        for chunk in _chunks(found):
            batch = RecordBatch(self._table.partition, self._epoch, chunk)
            answer = await self._transport.call(
                self._address, ReplicateRequest(self._me, [batch], True), ANSWER_TIMEOUT_S
            )
            if not isinstance(answer, ReplicateResponse):
                raise PeerError("ReplicateRequest", self._address, f"answered {type(answer).__name__}")
            if answer.refused:
                raise StaleEpochError(self._table.partition, max(answer.refused.values()))
            if self._paced:
                await self._pause(sum(map(len, chunk)))

    async def _request_difference(self, summary: ReplicaSummary) -> ReplicaDifference:
        answer = await self._transport.call(self._address, summary, ANSWER_TIMEOUT_S)
        if not isinstance(answer, ReplicaDifference):
            raise PeerError("ReplicaSummary", self._address, f"answered {type(answer).__name__}")
        if answer.status == "stale":
            raise StaleEpochError(self._table.partition, answer.epoch)
        return answer

    @staticmethod
    async def _pause(size: int) -> None:
        await asyncio.sleep(size / PACED_BYTES_PER_S)


def compare_with_summary(table: PartitionTable, summary: ReplicaSummary) -> ReplicaDifference:
    """What a replica answers to a comparison."""
    if summary.buckets:
        return ReplicaDifference("ok", table.minimum_epoch, table.differing_buckets(summary.buckets))
    found, more = table.records_newer_than(summary.versions)
    wanted, incomplete = table.references_older_than(summary.versions)
    return ReplicaDifference("ok", table.minimum_epoch, [], found, wanted, [more, incomplete])


def _chunks(found: Iterator[bytes]) -> Iterator[list[bytes]]:
    chunk: list[bytes] = []
    size = 0
    for record in found:
        chunk.append(record)
        size += len(record)
        if size >= CHUNK_BYTES:
            yield chunk
            chunk, size = [], 0
    if chunk:
        yield chunk
