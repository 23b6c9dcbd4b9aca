"""The messages of one partition at one replica.

The table merges records by version, so a replica may receive them in any order and repeatedly.  It stores the
position of each record in the log.  PUT records of unfinished messages are cached while the cache of the
process has capacity; other PUT records are read from the log.

Invariant: each position in the table is live in the log; the table releases a position exactly when no entry
refers to it any more.
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
    TransientRecordKind,
)
from hollowusher.storage.interface import Log, Position

BUCKET_COUNT = 64
CLOCK_SKEW_MARGIN_MS = 200  # another machine's wall clock may end a delay this much earlier
CLOCK_MARGIN_MS = 15_000  # added to the retention of ended messages, because wall clocks may be stepped
PENDING_CALLBACK_RETENTION_MS = (
    3_600_000  # retention of an ended message whose call-back the receiver has not accepted
)
MAX_DIFFERENCE_BYTES = 512 * 1024  # approximate limit for the records in one response


class RecordCache:
    """Byte count of the PUT records that the tables of one process cache, and its limit."""

    def __init__(self, max_bytes: int) -> None:
        self.capacity_bytes = max_bytes
        self.used_bytes = 0


@attrs.define(slots=True, eq=False)
class MessageEntry:
    """One message at this replica: its state and the positions of its records."""

    key: MessageKey
    put_position: Position | None = None
    cached_put_record: bytes | None = None
    # Wall time of this process when the message was accepted.  None if the message was replayed from the log,
    # where only the accepting machine's wall time is stored.
    accepted_at_ms: int | None = None
    state: MessageState | None = None
    state_position: Position | None = None

    @property
    def version(self) -> RecordVersion:
        """The version of the newest record of the message."""
        return self.state.version if self.state is not None else self.key

    @property
    def status(self) -> MessageStatus:
        """The status of the message."""
        return self.state.status if self.state is not None else MessageStatus.QUEUED

    @property
    def is_complete(self) -> bool:
        """Whether this replica has all records of the message; a completed message needs no PUT record."""
        return self.put_position is not None or self.status is MessageStatus.COMPLETED

    def version_summary(self) -> list[int]:
        """Return the [epoch, sequence, completeness] that replicas compare in anti-entropy."""
        return [*self.version, int(self.is_complete)]


class PartitionTable:
    """All messages of one partition at one replica.

    `status_ms` is the retention in milliseconds of messages that have ended.
    """

    def __init__(self, partition: int, log: Log, cache: RecordCache, status_ms: int) -> None:
        self.partition = partition
        self.minimum_epoch = 0
        self.entries: dict[MessageKey, MessageEntry] = {}
        self.greatest_sequence = 0
        self.put_bytes = 0  # total size of the PUT records
        self._log = log
        self._cache = cache
        self._ended_retention_ms = status_ms + CLOCK_MARGIN_MS
        self._epoch_position: Position | None = None
        self._announced_ages_ms: dict[MessageKey, int] = {}  # of messages whose PUT record comes next

    # Merging

    def apply(self, record: bytes, wall_ms: int) -> MessageKey | None:
        """Merge a record, and append it to the log if it is new.

        Returns
        -------
        The key of the changed message, or None if the record changed no message.
        """
        header = records.unpack_header(record)
        if header.kind == RecordKind.PUT:
            return self._merge_put(record, header.version, wall_ms, None)
        if header.kind == RecordKind.STATE:
            return self._merge_state(record, header.version, wall_ms, None)
        if header.kind == RecordKind.EPOCH:
            self.fence_older_epochs(header.epoch)
        elif header.kind == TransientRecordKind.ACCEPTANCE_AGE:
            self._announced_ages_ms[header.version] = records.unpack_acceptance_age(record)
        return None

    def replay(self, record: bytes, header: records.RecordHeader, position: Position, wall_ms: int) -> None:
        """Merge a record that was read from the log at the start of the process, or release its position."""
        is_merged = False
        if header.kind == RecordKind.PUT:
            is_merged = self._merge_put(record, header.version, wall_ms, position) is not None
        elif header.kind == RecordKind.STATE:
            is_merged = self._merge_state(record, header.version, wall_ms, position) is not None
        elif header.kind == RecordKind.EPOCH:
            is_merged = self._merge_epoch(header.epoch, position)
        if not is_merged:
            self._log.release(position)

    def drop_outdated_messages(self, wall_ms: int) -> None:
        """Drop messages that are so old that they must have ended and been dropped before the replay.

        The log may still contain the PUT record of such a message, because it may have been relocated to a
        position after the record of the message's end.
        """
        for entry in [entry for entry in self.entries.values() if entry.state is None]:
            put = self.read_accepted(entry)
            if put is None or put.message.retention_ms <= 0:
                continue
            if put.accepted_wall_ms + put.message.retention_ms + self._ended_retention_ms < wall_ms:
                self._forget(entry.key)

    def fence_older_epochs(self, epoch: int) -> None:
        """Raise the minimum epoch, below which this replica rejects records; durable after the next sync."""
        if epoch > self.minimum_epoch:
            self._merge_epoch(epoch, self._log.append(records.pack_epoch(self.partition, epoch)))

    def relocate(self, position: Position, record: bytes) -> None:
        """Append a live record to the log again, because the log is about to reuse the record's segment."""
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
        age_ms = self._announced_ages_ms.pop(key, 0)
        entry = self.entries.get(key)
        if entry is not None and (entry.put_position is not None or entry.status is MessageStatus.COMPLETED):
            return None
        accepted_at_ms = wall_ms - age_ms if position is None else None
        if position is None:
            position = self._log.append(record)
        if entry is None:
            entry = self.entries[key] = MessageEntry(key)
        entry.put_position = position
        self.put_bytes += position.length
        entry.accepted_at_ms = accepted_at_ms
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
        """Return the PUT record of a message, or None if this replica does not have it."""
        if entry.cached_put_record is not None:
            return entry.cached_put_record
        return None if entry.put_position is None else self._log.read(entry.put_position)

    def read_accepted(self, entry: MessageEntry) -> AcceptedMessage | None:
        """Return the content of a message's PUT record, or None if this replica does not have it."""
        record = self.read_put_record(entry)
        return None if record is None else records.unpack_put(record)

    # Delays

    def due_at_ms(self, entry: MessageEntry) -> int | None:
        """Return the wall time of this process at which the delay of a message ends, or None without a delay.

        Wall clocks differ between machines.  If only the wall time of the accepting machine is available,
        because the message was replayed from the log, `CLOCK_SKEW_MARGIN_MS` is added.
        """
        accepted = self.read_accepted(entry)
        if accepted is None or accepted.due_wall_ms <= accepted.accepted_wall_ms:
            return None
        delay_ms = accepted.due_wall_ms - accepted.accepted_wall_ms
        return self._accepted_at_ms(entry, accepted) + delay_ms

    def acceptance_age_ms(self, key: MessageKey, wall_ms: int) -> int | None:
        """Return the milliseconds since a delayed message was accepted.

        The result is None if the message is unknown, has no delay, has ended, or has no PUT record here.
        """
        entry = self.entries.get(key)
        if entry is None or entry.status.has_ended:
            return None
        accepted = self.read_accepted(entry)
        if accepted is None or accepted.due_wall_ms <= accepted.accepted_wall_ms:
            return None
        return max(0, wall_ms - self._accepted_at_ms(entry, accepted))

    @staticmethod
    def _accepted_at_ms(entry: MessageEntry, accepted: AcceptedMessage) -> int:
        if entry.accepted_at_ms is not None:
            return entry.accepted_at_ms
        return accepted.accepted_wall_ms + CLOCK_SKEW_MARGIN_MS

    # Forgetting

    def forget_expired(self, wall_ms: int) -> list[MessageKey]:
        """Drop the ended messages whose retention is over, and return their keys."""
        expired = [
            entry.key
            for entry in self.entries.values()
            if entry.state is not None and self._expired(entry.state, wall_ms)
        ]
        for key in expired:
            self._forget(key)
        return expired

    def release_all(self) -> None:
        """Release all records in the log, after this store has ceased to be a replica of the partition."""
        for key in list(self.entries):
            self._forget(key)
        if self._epoch_position is not None:
            self._log.release(self._epoch_position)
            self._epoch_position = None

    def _expired(self, state: MessageState, wall_ms: int) -> bool:
        if not state.status.has_ended:
            return False
        retention_ms = PENDING_CALLBACK_RETENTION_MS if state.callback_pending else self._ended_retention_ms
        return state.ended_wall_ms + retention_ms < wall_ms

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
            self.put_bytes -= entry.put_position.length
            entry.put_position = None

    def _cache_record(self, entry: MessageEntry, record: bytes) -> None:
        if self._cache.used_bytes + len(record) <= self._cache.capacity_bytes:
            entry.cached_put_record = record
            self._cache.used_bytes += len(record)

    def _drop_cached(self, entry: MessageEntry) -> None:
        if entry.cached_put_record is not None:
            self._cache.used_bytes -= len(entry.cached_put_record)
            entry.cached_put_record = None

    # Comparing with other replicas

    def bucket_digests(self) -> list[int]:
        """Return one digest per bucket; two replicas with equal digests have the same records."""
        totals = [0] * BUCKET_COUNT
        for entry in self.entries.values():
            text = b"%d %d %d %d %d" % (*entry.key, *entry.version, entry.is_complete)
            totals[entry.key[1] % BUCKET_COUNT] ^= xxhash.xxh64_intdigest(text)
        return totals

    def differing_buckets(self, digests: list[int]) -> list[int]:
        """Return the buckets whose digests differ from these digests of another replica."""
        return [
            bucket
            for bucket, (mine, other) in enumerate(zip(self.bucket_digests(), digests, strict=True))
            if mine != other
        ]

    def bucket_versions(self, buckets: Iterable[int]) -> dict[int, dict[str, list[int]]]:
        """Return the version summaries of all messages in some buckets, by bucket and reference."""
        contents: dict[int, dict[str, list[int]]] = {bucket: {} for bucket in buckets}
        for entry in self.entries.values():
            bucket = entry.key[1] % BUCKET_COUNT
            if bucket in contents:
                contents[bucket][records.format_reference(self.partition, entry.key)] = (
                    entry.version_summary()
                )
        return contents

    def records_newer_than(self, versions: dict[int, dict[str, list[int]]]) -> tuple[list[bytes], bool]:
        """Return the records that a replica with these versions lacks, and whether more remain.

        The result is cut off after about `MAX_DIFFERENCE_BYTES`.
        """
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
        """Compare these versions of another replica with the table.

        Returns
        -------
        The references of messages for which the table lacks a record or has an older one, and those among
        them whose PUT record the table lacks.
        """
        wanted, incomplete = [], []
        for bucket in versions.values():
            for reference, (epoch, sequence, complete) in bucket.items():
                parsed = records.parse_reference(reference)
                entry = None if parsed is None else self.entries.get(parsed[1])
                lacks_put = bool(complete) and (entry is None or not entry.is_complete)
                if lacks_put:
                    incomplete.append(reference)
                if lacks_put or entry is None or entry.version < (epoch, sequence):
                    wanted.append(reference)
        return wanted, incomplete

    def requested_records(self, wanted: Iterable[str], incomplete: Iterable[str]) -> Iterator[bytes]:
        """Yield the records that another replica requests.

        `wanted` and `incomplete` are the results of `references_older_than` at that replica.
        """
        without_put = set(incomplete)
        for reference in wanted:
            parsed = records.parse_reference(reference)
            entry = None if parsed is None else self.entries.get(parsed[1])
            if entry is not None:
                yield from self.missing_records(entry, None if reference in without_put else [0, 0, 1])

    def missing_records(self, entry: MessageEntry, other: list[int] | None) -> list[bytes]:
        """Return the records of a message that another replica lacks.

        `other` is the version summary of the message at that replica, or None if it has no record of it.
        """
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
