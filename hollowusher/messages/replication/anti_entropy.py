"""Anti-entropy: comparison of one partition with one peer until both replicas have the same records.

Both sides exchange the digests of buckets, then the versions of the messages in the buckets that differ, then
the missing records (Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.records import MessageKey
from hollowusher.messages.replication.acceptance_age import with_ages
from hollowusher.messages.store_dependencies import StoreDependencies
from hollowusher.protocol.fencing import STALE, FencingToken, partition_matter
from hollowusher.protocol.replication import (
    RecordBatch,
    ReplicaDifference,
    ReplicaSummary,
    ReplicateRequest,
    ReplicateResponse,
)
from hollowusher.transport.fenced_transport import FencedError
from hollowusher.transport.interface import PeerError

ANSWER_TIMEOUT_S = 1.5
BUCKETS_PER_REQUEST = 8
CHUNK_BYTES = 256 * 1024  # of a comparison without a pace


class ComparisonPace(Protocol):
    """The pace of a comparison."""

    chunk_bytes: int  # approximate size of the chunks in which records are sent

    async def pause(self, size: int) -> None:
        """Wait after `size` bytes of records were exchanged."""


class Unpaced(ComparisonPace):
    """The pace of a comparison for which requests wait: as fast as possible."""

    chunk_bytes = CHUNK_BYTES

    async def pause(self, size: int) -> None:
        """Do not wait."""


class AntiEntropySession:
    """One comparison, which fetches newer records from the peer and sends it the records that it lacks."""

    def __init__(
        self,
        store: StoreDependencies,
        table: PartitionTable,
        epoch: int,
        address: str,
        pace: ComparisonPace,
    ) -> None:
        self.changed_keys: list[MessageKey] = []  # messages for which the peer had a newer record
        self._table = table
        self._epoch = epoch
        self._store_id = store.store_id
        self._address = address
        self._transport = store.transport
        self._log = store.log
        self._wall_ms = store.wall_ms
        self._pace = pace

    async def run(self) -> None:
        """Compare all buckets once.

        Raises
        ------
        PeerError
            If the peer does not answer in time, or with a message of another type.
        FencedError
            If the peer follows a newer epoch.
        """
        table = self._table
        answer = await self._request_difference(
            ReplicaSummary(table.partition, self._epoch, self._store_id, table.bucket_digests(), fence=True)
        )
        buckets = answer.buckets
        for start in range(0, len(buckets), BUCKETS_PER_REQUEST):
            await self._reconcile(buckets[start : start + BUCKETS_PER_REQUEST])

    async def _reconcile(self, buckets: list[int]) -> None:
        while True:
            versions = self._table.bucket_versions(buckets)
            partition = self._table.partition
            answer = await self._request_difference(
                ReplicaSummary(partition, self._epoch, self._store_id, [], versions, fence=True)
            )
            has_changes = self._merge(answer.records)
            if has_changes:
                await self._log.sync()
            more, incomplete = answer.extra
            await self._push(self._table.requested_records(answer.wanted, incomplete))
            await self._pace.pause(sum(map(len, answer.records)))
            if not more or not has_changes:
                return

    def _merge(self, packed_records: Iterable[bytes]) -> bool:
        has_changes = False
        for record in packed_records:
            key = self._table.apply(record, self._wall_ms())
            if key is not None:
                self.changed_keys.append(key)
                has_changes = True
        return has_changes

    async def _push(self, packed_records: Iterator[bytes]) -> None:
        aged = with_ages(self._table, packed_records, self._wall_ms)
        for chunk in _chunks(aged, self._pace.chunk_bytes):
            batch = RecordBatch(self._table.partition, self._epoch, chunk)
            answer = await self._transport.call(
                self._address, ReplicateRequest(self._store_id, [batch], durable=True), ANSWER_TIMEOUT_S
            )
            if not isinstance(answer, ReplicateResponse):
                raise PeerError("ReplicateRequest", self._address, f"answered {type(answer).__name__}")
            if answer.refused:
                raise self._fenced("ReplicateRequest", max(answer.refused.values()))
            await self._pace.pause(sum(map(len, chunk)))

    async def _request_difference(self, summary: ReplicaSummary) -> ReplicaDifference:
        answer = await self._transport.call(self._address, summary, ANSWER_TIMEOUT_S)
        if not isinstance(answer, ReplicaDifference):
            raise PeerError("ReplicaSummary", self._address, f"answered {type(answer).__name__}")
        if answer.status == STALE:
            raise self._fenced("ReplicaSummary", answer.epoch)
        return answer

    def _fenced(self, step: str, epoch: int) -> FencedError:
        return FencedError(step, self._address, FencingToken(partition_matter(self._table.partition), epoch))


def compare_with_summary(table: PartitionTable, summary: ReplicaSummary) -> ReplicaDifference:
    """Return the response of a replica to a summary: differing buckets, or missing and wanted records."""
    if summary.buckets:
        return ReplicaDifference("ok", table.minimum_epoch, table.differing_buckets(summary.buckets))
    packed_records, more = table.records_newer_than(summary.versions)
    wanted, incomplete = table.references_older_than(summary.versions)
    return ReplicaDifference("ok", table.minimum_epoch, [], packed_records, wanted, [more, incomplete])


def _chunks(packed_records: Iterator[bytes], chunk_bytes: int) -> Iterator[list[bytes]]:
    chunk: list[bytes] = []
    size = 0
    for record in packed_records:
        chunk.append(record)
        size += len(record)
        if size >= chunk_bytes:
            yield chunk
            chunk, size = [], 0
    if chunk:
        yield chunk
