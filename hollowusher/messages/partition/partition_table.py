"""The messages of one partition at one replica.

The table merges records by version and knows where each stands in the log.  It keeps the bytes of PUT records
of messages that have not ended in memory while the process's cache has room, and reads them from the log
otherwise.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs
import xxhash

from hollowusher.messages import records
from hollowusher.messages.records import (
    AcceptedMessage,
    MessageKey,
    MessageState,
    MessageStatus,
    RecordKind,
    RecordVersion,
)
from hollowusher.storage.interface import Log, Position

BUCKET_COUNT = 64
CLOCK_MARGIN_MS = 15_000  # wall clocks may be stepped: nothing is forgotten too early
PENDING_CALLBACK_RETENTION_MS = 3_600_000  # an end whose call-back was never taken is forgotten after this
MAX_DIFFERENCE_BYTES = 512 * 1024  # most bytes of records in one answer


class RecordCache:
    """How many bytes of PUT records one process holds in memory."""

    def __init__(self, most_bytes: int) -> None:
        self.capacity_bytes = most_bytes
        self.used_bytes = 0


@attrs.define(slots=True, eq=False)
class MessageEntry:
    """One message as this replica knows it."""

    key: MessageKey
    put_position: Position | None = None
    read_put_record: bytes | None = None  # cached
    arrived_wall_ms: int | None = (
        None  # when the message came here, by this machine's wall clock; None: replayed
    )
    state: MessageState | None = None
    state_position: Position | None = None

    @property
    def version(self) -> RecordVersion:
        """The version of what is known."""
        return self.state.version if self.state is not None else self.key

    @property
    def status(self) -> MessageStatus:
        """Where the message stands."""
        return self.state.status if self.state is not None else MessageStatus.QUEUED

    @property
    def is_complete(self) -> bool:
        """Whether nothing is missing: the message itself, unless it has been completed."""
        return self.put_position is not None or self.status is MessageStatus.COMPLETED

    def version_summary(self) -> list[int]:
        """What replicas compare."""
        return [*self.version, int(self.is_complete)]


class PartitionTable:
    """All messages of one partition."""

    def __init__(self, partition: int, log: Log, cache: RecordCache, status_ms: int) -> None:
        self.partition = partition
        self.minimum_epoch = 0
        self.entries: dict[MessageKey, MessageEntry] = {}
        self.greatest_sequence = 0
        self._log = log
        self._cache = cache
        self._ended_retention_ms = status_ms + CLOCK_MARGIN_MS
        self._epoch_position: Position | None = None

    # Merging

    def apply(self, record: bytes, wall_ms: int) -> MessageKey | None:
        """Merge a record and append it to the log if it is news; the message that changed."""
        header = records.unpack_header(record)
        if header.kind == RecordKind.PUT:
            return self._merge_put(record, header.version, wall_ms, None)
        if header.kind == RecordKind.STATE:
            return self._merge_state(record, header.version, wall_ms, None)
        if header.kind == RecordKind.EPOCH:
            self.fence_older_epochs(header.epoch)
        return None

    def replay(self, record: bytes, header: records.RecordHeader, position: Position, wall_ms: int) -> None:
        """Take a record that was read back from the log at the start."""
        taken = False
        if header.kind == RecordKind.PUT:
            taken = self._merge_put(record, header.version, wall_ms, position) is not None
        elif header.kind == RecordKind.STATE:
            taken = self._merge_state(record, header.version, wall_ms, position) is not None
        elif header.kind == RecordKind.EPOCH:
            taken = self._merge_epoch(header.epoch, position)
        if not taken:
            self._log.release(position)

    def drop_outdated_messages(self, wall_ms: int) -> None:
        """After a replay: drop messages so old that they must have ended and been forgotten.  Of a message
        that was forgotten the log may still hold the PUT record, moved to a place after its end."""
        for entry in [entry for entry in self.entries.values() if entry.state is None]:
            put = self.read_accepted(entry)
            if put is None or put.message.retention_ms <= 0:
                continue
            if put.accepted_wall_ms + put.message.retention_ms + self._ended_retention_ms < wall_ms:
                self._forget(entry.key)

    def fence_older_epochs(self, epoch: int) -> None:
        """Never again take records from a primary of an older epoch (durable after the next sync)."""
        if epoch > self.minimum_epoch:
            self._merge_epoch(epoch, self._log.append(records.pack_epoch(self.partition, epoch)))

    def relocate(self, position: Position, record: bytes) -> None:
        """Append a live record anew, because the log is about to use its place again."""
        header = records.unpack_header(record)
        if header.kind == RecordKind.EPOCH:
            if self._epoch_position == position:
                self._epoch_position = self._log.append(record)
            return
        key = header.version
        if header.kind == RecordKind.STATE:
            key, _ = records.unpack_state(record, header.version)
        entry = self.entries.get(key)
        if entry is None:
            return
        if entry.put_position == position:
            entry.put_position = self._log.append(record)
        elif entry.state_position == position:
            entry.state_position = self._log.append(record)

    def _merge_put(
        self, record: bytes, key: MessageKey, wall_ms: int, position: Position | None
    ) -> MessageKey | None:
        entry = self.entries.get(key)
        if entry is not None and (entry.put_position is not None or entry.status is MessageStatus.COMPLETED):
            return None
        arrived_ms = wall_ms if position is None else None
        if position is None:
            position = self._log.append(record)
        if entry is None:
            entry = self.entries[key] = MessageEntry(key)
        entry.put_position = position
        entry.arrived_wall_ms = arrived_ms
        self.greatest_sequence = max(self.greatest_sequence, key[1])
        if not entry.status.has_ended:
            self._cache_record(entry, record)
        return key

    def _merge_state(
        self, record: bytes, version: RecordVersion, wall_ms: int, position: Position | None
    ) -> MessageKey | None:
        key, state = records.unpack_state(record, version)
        entry = self.entries.get(key)
        if entry is None:
            if self._expired(state, wall_ms):
                return None
        elif entry.version >= version:
            return None
        if position is None:
            position = self._log.append(record)
        if entry is None:
            entry = self.entries[key] = MessageEntry(key)
        if entry.state_position is not None:
            self._log.release(entry.state_position)
        entry.state = state
        entry.state_position = position
        self.greatest_sequence = max(self.greatest_sequence, version[1])
        if state.status.has_ended:
            self._drop_cached(entry)
        if state.status is MessageStatus.COMPLETED:
            self._release_put(entry)
        return key

    def _merge_epoch(self, epoch: int, position: Position) -> bool:
        if epoch <= self.minimum_epoch:
            return False
        if self._epoch_position is not None:
            self._log.release(self._epoch_position)
        self._epoch_position = position
        self.minimum_epoch = epoch
        return True

    # Reading

    def read_put_record(self, entry: MessageEntry) -> bytes | None:
        """The PUT record of a message, None where it is not here."""
        if entry.read_put_record is not None:
            return entry.read_put_record
        return None if entry.put_position is None else self._log.read(entry.put_position)

    def read_accepted(self, entry: MessageEntry) -> AcceptedMessage | None:
        """The message itself."""
        record = self.read_put_record(entry)
        return None if record is None else records.unpack_put(record)

    # Forgetting

    def forget_expired(self, wall_ms: int) -> list[MessageKey]:
        """Drop the messages that ended long enough ago; their keys."""
        expired = [
            entry.key
            for entry in self.entries.values()
            if entry.state is not None and self._expired(entry.state, wall_ms)
        ]
        for key in expired:
            self._forget(key)
        return expired

    def release_all(self) -> None:
        """Release everything: this store keeps the partition no longer."""
        for key in list(self.entries):
            self._forget(key)
        if self._epoch_position is not None:
            self._log.release(self._epoch_position)
            self._epoch_position = None

    def _expired(self, state: MessageState, wall_ms: int) -> bool:
        if not state.status.has_ended:
            return False
        kept_ms = PENDING_CALLBACK_RETENTION_MS if state.callback_pending else self._ended_retention_ms
        return state.ended_wall_ms + kept_ms < wall_ms

    def _forget(self, key: MessageKey) -> None:
        entry = self.entries.pop(key)
        self._drop_cached(entry)
        self._release_put(entry)
        if entry.state_position is not None:
            self._log.release(entry.state_position)
            entry.state_position = None

    def _release_put(self, entry: MessageEntry) -> None:
        if entry.put_position is not None:
            self._log.release(entry.put_position)
            entry.put_position = None

    def _cache_record(self, entry: MessageEntry, record: bytes) -> None:
        if self._cache.used_bytes + len(record) <= self._cache.capacity_bytes:
            entry.read_put_record = record
            self._cache.used_bytes += len(record)

    def _drop_cached(self, entry: MessageEntry) -> None:
        if entry.read_put_record is not None:
            self._cache.used_bytes -= len(entry.read_put_record)
            entry.read_put_record = None

    # Comparing with other replicas

    def bucket_digests(self) -> list[int]:
        """One digest for each bucket; equal digests mean equal content."""
        totals = [0] * BUCKET_COUNT
        for entry in self.entries.values():
            text = b"%d %d %d %d %d" % (*entry.key, *entry.version, entry.is_complete)
            totals[entry.key[1] % BUCKET_COUNT] ^= xxhash.xxh64_intdigest(text)
        return totals

    def differing_buckets(self, digests: list[int]) -> list[int]:
        """The buckets whose content is not that of the digests."""
        return [
            bucket
            for bucket, (mine, other) in enumerate(zip(self.bucket_digests(), digests, strict=True))
            if mine != other
        ]

    def bucket_versions(self, buckets: Iterable[int]) -> dict[int, dict[str, list[int]]]:
        """What is held in some buckets: bucket -> reference -> summary."""
        held: dict[int, dict[str, list[int]]] = {bucket: {} for bucket in buckets}
        for entry in self.entries.values():
            bucket = entry.key[1] % BUCKET_COUNT
            if bucket in held:
                held[bucket][records.format_reference(self.partition, entry.key)] = entry.version_summary()
        return held

    def records_newer_than(self, versions: dict[int, dict[str, list[int]]]) -> tuple[list[bytes], bool]:
        """The records that the holder of these versions lacks or has older, and whether there are more."""
        found: list[bytes] = []
        size = 0
        for entry in self._in_buckets(versions):
            other = versions[entry.key[1] % BUCKET_COUNT].get(
                records.format_reference(self.partition, entry.key)
            )
            missing = self.missing_records(entry, other)
            if not missing:
                continue
            if found and size > MAX_DIFFERENCE_BYTES:
                return found, True
            found += missing
            size += sum(map(len, missing))
        return found, False

    def references_older_than(self, versions: dict[int, dict[str, list[int]]]) -> tuple[list[str], list[str]]:
        """The references that this table lacks or has older than these versions, and those of which it lacks
        the message itself."""
        wanted, incomplete = [], []
        for bucket in versions.values():
            for reference, (epoch, sequence, complete) in bucket.items():
                parsed = records.parse_reference(reference)
                entry = None if parsed is None else self.entries.get(parsed[1])
                lacking = bool(complete) and (entry is None or not entry.is_complete)
                if lacking:
                    incomplete.append(reference)
                if lacking or entry is None or entry.version < (epoch, sequence):
                    wanted.append(reference)
        return wanted, incomplete

    def requested_records(self, wanted: Iterable[str], incomplete: Iterable[str]) -> Iterator[bytes]:
        """The records that another replica asked for by `references_older_than`."""
        whole = set(incomplete)
        for reference in wanted:
            parsed = records.parse_reference(reference)
            entry = None if parsed is None else self.entries.get(parsed[1])
            if entry is not None:
                yield from self.missing_records(entry, None if reference in whole else [0, 0, 1])

    def missing_records(self, entry: MessageEntry, other: list[int] | None) -> list[bytes]:
        """The records of a message that a replica with this summary (None: nothing) lacks."""
        missing = []
        if (other is None or not other[2]) and entry.put_position is not None:
            record = self.read_put_record(entry)
            if record is not None:
                missing.append(record)
        if entry.state is not None and (other is None or entry.version > (other[0], other[1])):
            missing.append(records.pack_state(self.partition, entry.key, entry.state))
        return missing

    def _in_buckets(self, buckets: Iterable[int]) -> Iterator[MessageEntry]:
        wanted = set(buckets)
        return (entry for entry in self.entries.values() if entry.key[1] % BUCKET_COUNT in wanted)
