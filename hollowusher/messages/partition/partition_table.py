"""The messages of one partition at one replica.

The table merges records by version, so that replicas may receive them in any order and repeatedly, and knows
the position of each in the log.  It caches the PUT records of messages that have not ended while the cache
of the process has capacity, and reads them from the log otherwise.

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
CLOCK_SKEW_MARGIN_MS = 200  # how much sooner another machine's wall clock may say that a delay is over
CLOCK_MARGIN_MS = 15_000  # wall clocks may be stepped: no message is forgotten too early
PENDING_CALLBACK_RETENTION_MS = (
    3_600_000  # a message whose call-back was never accepted is forgotten after this
)
MAX_DIFFERENCE_BYTES = 512 * 1024  # of the records in one answer, about


class RecordCache:
    """Accounting of the PUT records that one process caches, in bytes."""

    def __init__(self, most_bytes: int) -> None:
        self.capacity_bytes = most_bytes
        self.used_bytes = 0


@attrs.define(slots=True, eq=False)
class MessageEntry:
    """One message at this replica: its state and the positions of its records."""

    key: MessageKey
    put_position: Position | None = None
    read_put_record: bytes | None = None  # cached
    # When it was accepted, by this process's wall clock; None: known by the accepting machine's clock alone.
    accepted_at_ms: int | None = None
    state: MessageState | None = None
    state_position: Position | None = None

    @property
    def version(self) -> RecordVersion:
        """The version of the newest record."""
        return self.state.version if self.state is not None else self.key

    @property
    def status(self) -> MessageStatus:
        """The state of the message."""
        return self.state.status if self.state is not None else MessageStatus.QUEUED

    @property
    def is_complete(self) -> bool:
        """Whether no record is missing: the PUT record may, once the message is completed."""
        return self.put_position is not None or self.status is MessageStatus.COMPLETED

    def version_summary(self) -> list[int]:
        """Return what replicas compare: epoch, sequence, completeness."""
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
        self._announced_ages_ms: dict[MessageKey, int] = {}  # of messages whose PUT record comes next

    # Merging

    def apply(self, record: bytes, wall_ms: int) -> MessageKey | None:
        """Merge a record and append it to the log if it is newer; return the key of the changed message."""
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
        """Merge a record that was read from the log at the start of the process."""
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
        """Drop messages so old that they must have ended and been forgotten, after a replay.

        The log may still have the PUT record of a forgotten message, relocated to a position after its end.
        """
        for entry in [entry for entry in self.entries.values() if entry.state is None]:
            put = self.read_accepted(entry)
            if put is None or put.message.retention_ms <= 0:
                continue
            if put.accepted_wall_ms + put.message.retention_ms + self._ended_retention_ms < wall_ms:
                self._forget(entry.key)

    def fence_older_epochs(self, epoch: int) -> None:
        """Reject records of primaries of older epochs from now on; durable after the next sync."""
        if epoch > self.minimum_epoch:
            self._merge_epoch(epoch, self._log.append(records.pack_epoch(self.partition, epoch)))

    def relocate(self, position: Position, record: bytes) -> None:
        """Append a live record again, because the log is about to reuse its segment."""
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
        """Return the PUT record of a message, None if it is not stored here."""
        if entry.read_put_record is not None:
            return entry.read_put_record
        return None if entry.put_position is None else self._log.read(entry.put_position)

    def read_accepted(self, entry: MessageEntry) -> AcceptedMessage | None:
        """Return the message as it was accepted, None if its PUT record is not stored here."""
        record = self.read_put_record(entry)
        return None if record is None else records.unpack_put(record)

    # Delays

    def due_at_ms(self, entry: MessageEntry) -> int | None:
        """Return when the delay of a message is over, by this process's wall clock; None if it has none.

        Wall clocks differ between machines.  A message that is known by the clock of the machine that
        accepted it alone, because it was read back from the log, gets a margin for that.
        """
        accepted = self.read_accepted(entry)
        if accepted is None or accepted.due_wall_ms <= accepted.accepted_wall_ms:
            return None
        delay_ms = accepted.due_wall_ms - accepted.accepted_wall_ms
        return self._accepted_at_ms(entry, accepted) + delay_ms

    def acceptance_age_ms(self, key: MessageKey, wall_ms: int) -> int | None:
        """Return how long ago a delayed message was accepted, None if it has no delay or has ended."""
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
        """Drop the messages that ended long enough ago and return their keys."""
        expired = [
            entry.key
            for entry in self.entries.values()
            if entry.state is not None and self._expired(entry.state, wall_ms)
        ]
        for key in expired:
            self._forget(key)
        return expired

    def release_all(self) -> None:
        """Release all records, because this store no longer has the partition."""
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
        """Return one digest for each bucket; equal digests mean equal content."""
        totals = [0] * BUCKET_COUNT
        for entry in self.entries.values():
            text = b"%d %d %d %d %d" % (*entry.key, *entry.version, entry.is_complete)
            totals[entry.key[1] % BUCKET_COUNT] ^= xxhash.xxh64_intdigest(text)
        return totals

    def differing_buckets(self, digests: list[int]) -> list[int]:
        """Return the buckets whose content differs from that of the digests."""
        return [
            bucket
            for bucket, (mine, other) in enumerate(zip(self.bucket_digests(), digests, strict=True))
            if mine != other
        ]

    def bucket_versions(self, buckets: Iterable[int]) -> dict[int, dict[str, list[int]]]:
        """Return the content of some buckets: bucket -> reference -> version summary."""
        contents: dict[int, dict[str, list[int]]] = {bucket: {} for bucket in buckets}
        for entry in self.entries.values():
            bucket = entry.key[1] % BUCKET_COUNT
            if bucket in contents:
                contents[bucket][records.format_reference(self.partition, entry.key)] = (
                    entry.version_summary()
                )
        return contents

    def records_newer_than(self, versions: dict[int, dict[str, list[int]]]) -> tuple[list[bytes], bool]:
        """Return records that a replica with these versions lacks, and whether there are more."""
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
        """Compare these versions with the table.

        Returns
        -------
        The references that the table lacks or has older, and those among them whose PUT record it lacks.
        """
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
        """Yield the records that another replica requested by the results of its `references_older_than`."""
        without_put = set(incomplete)
        for reference in wanted:
            parsed = records.parse_reference(reference)
            entry = None if parsed is None else self.entries.get(parsed[1])
            if entry is not None:
                yield from self.missing_records(entry, None if reference in without_put else [0, 0, 1])

    def missing_records(self, entry: MessageEntry, other: list[int] | None) -> list[bytes]:
        """Return the records of a message that a replica with this summary (None: no record) lacks."""
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
