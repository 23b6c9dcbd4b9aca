"""Deferred sending of records to a replica that the commit quorum does not need.

A record is committed once f+1 replicas have it; copies on further replicas only protect against later
failures.  Most messages end within a fraction of a second.  A newer record of a message replaces the older
ones and a completed message needs no body, so if the copy is deferred that long, one small record of the end
is sufficient.  A copy is deferred for `MAX_DEFERRAL_S` at most, which is well below the time between two
failures that a deployment tolerates.

A record that is not committed soon is sent without further deferral, because a replica of the quorum may be
slow or lost.

There is no I/O; all times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

import attrs

from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import MessageKey
from hollowusher.messages.replication.outgoing_record import OutgoingRecord

# Maximum deferral of a committed record.  Without faults 98% of the messages without a delay end sooner.
MAX_DEFERRAL_S = 1.0
# Maximum deferral of an uncommitted record, by whether it needs a sync: the usual commit time, including a
# slow sync or lease.
MAX_COMMIT_WAIT_S = {True: 0.03, False: 0.25}

_MessageId = tuple[int, MessageKey]  # partition, key


@attrs.define(slots=True, eq=False)
class _DeferredRecord:
    """One deferred record and the time since which it is deferred."""

    outgoing: OutgoingRecord
    since: float

    @property
    def is_committed(self) -> bool:
        """Whether a quorum has the record."""
        return self.outgoing.proposal.is_committed

    def is_overdue(self, now: float) -> bool:
        """Return whether the record is still uncommitted after its commit wait."""
        return not self.is_committed and now - self.since >= self.commit_wait_s

    @property
    def commit_wait_s(self) -> float:
        """The maximum deferral of the record in seconds while it is not committed."""
        return MAX_COMMIT_WAIT_S[self.outgoing.proposal.needs_sync]


@attrs.define(slots=True, eq=False)
class _DeferredMessage:
    """The deferred records of one message, oldest first."""

    since: float
    newest: Proposal  # newest proposal of the message, whether deferred or already sent
    records: list[_DeferredRecord] = attrs.Factory(list)

    def drop_replaced(self) -> None:
        """Drop the committed records that the newest record makes unnecessary."""
        self.records = [
            record for record in self.records if not record.is_committed or self._is_needed(record)
        ]

    def _is_needed(self, record: _DeferredRecord) -> bool:
        """Return whether the replica still needs a committed record.

        The newest record contains the complete state of the message.  The only other record that the replica
        needs is the PUT record with the body, unless the message is completed.  An empty record is not needed
        after its commit.
        """
        proposal = record.outgoing.proposal
        if proposal.is_put:
            return not (self.newest.completes_message and self.newest.is_committed)
        return proposal is self.newest and bool(proposal.record)

    def take_due(self, now: float) -> list[OutgoingRecord]:
        """Remove and return the records that are due."""
        if now - self.since >= MAX_DEFERRAL_S:
            due, self.records = self.records, []
        else:
            due = [record for record in self.records if record.is_overdue(now)]
            self.records = [record for record in self.records if record not in due]
        return [record.outgoing for record in due]

    def next_due_at(self) -> float:
        """Return when the next record is due."""
        times = [record.since + record.commit_wait_s for record in self.records if not record.is_committed]
        return min([self.since + MAX_DEFERRAL_S, *times])


class DeferredCopies:
    """The deferred records for one replica.

    Invariant: for each message, the deferred records and those already sent together contain the newest state
    of the message, and its body unless it is completed.
    """

    def __init__(self) -> None:
        self._messages: dict[_MessageId, _DeferredMessage] = {}  # ordered by the start of the deferral

    def __len__(self) -> int:
        return sum(len(message.records) for message in self._messages.values())

    def add(self, outgoing: OutgoingRecord, now: float) -> float:
        """Defer a record, which may make older records unnecessary; return when to call `take_due`."""
        identifier = (outgoing.partition, outgoing.proposal.key)
        message = self._messages.get(identifier)
        if message is None:
            message = self._messages[identifier] = _DeferredMessage(now, outgoing.proposal)
        message.newest = outgoing.proposal
        record = _DeferredRecord(outgoing, now)
        message.records.append(record)
        return now + record.commit_wait_s

    def note_sent(self, outgoing: OutgoingRecord) -> None:
        """Register a record that is sent at once, which may make deferred records unnecessary."""
        message = self._messages.get((outgoing.partition, outgoing.proposal.key))
        if message is not None:
            message.newest = outgoing.proposal

    def take_due(self, now: float) -> list[OutgoingRecord]:
        """Remove and return the records that are due, in the order in which their messages were deferred."""
        due: list[OutgoingRecord] = []
        for identifier, message in list(self._messages.items()):
            message.drop_replaced()
            due += message.take_due(now)
            if not message.records:
                del self._messages[identifier]
        return due

    def next_due_at(self) -> float | None:
        """Return when `take_due` must be called next, or None if no record is deferred."""
        return min((message.next_due_at() for message in self._messages.values()), default=None)

    def clear(self) -> None:
        """Drop all records; the replica receives them by anti-entropy instead."""
        self._messages.clear()
