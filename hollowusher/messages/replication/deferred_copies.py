"""The records that a replica beyond the commit quorum is not sent yet.  No I/O, no clock.

A record is committed once f+1 replicas have it, so the copies of the others are made for later losses alone.
Most messages end within a fraction of a second: a copy that waits that long is then one small record of the
end, because newer records of a message replace older ones and a completed message needs no body.  A copy
waits for `MAX_DEFERRAL_S` at most, well within the time between two losses that a deployment tolerates.

A record that is not committed soon is sent at once: a replica of the quorum may be slow or lost.

All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

import attrs

from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import MessageKey
from hollowusher.messages.replication.outgoing_record import OutgoingRecord

# A committed copy waits so long.  Without faults 98% of the messages without a delay end sooner.
MAX_DEFERRAL_S = 1.0
# A copy waits so long for its commit: the time that usual commits take, with a slow sync or lease in them.
MAX_COMMIT_WAIT_S = {True: 0.03, False: 0.25}  # by whether the record has to be synced

_MessageId = tuple[int, MessageKey]  # partition, key


@attrs.define(slots=True, eq=False)
class _DeferredRecord:
    """One record and since when it waits."""

    outgoing: OutgoingRecord
    since: float

    @property
    def is_committed(self) -> bool:
        """Whether a quorum has the record."""
        return self.outgoing.proposal.is_committed

    def is_overdue(self, now: float) -> bool:
        """Return whether the record should have been committed by now."""
        return not self.is_committed and now - self.since >= self.commit_wait_s

    @property
    def commit_wait_s(self) -> float:
        """How long the record waits for its commit."""
        return MAX_COMMIT_WAIT_S[self.outgoing.proposal.needs_sync]


@attrs.define(slots=True, eq=False)
class _DeferredMessage:
    """The records of one message that wait, oldest first."""

    since: float
    newest: Proposal  # waiting or sent
    records: list[_DeferredRecord] = attrs.Factory(list)

    def drop_replaced(self) -> None:
        """Drop the committed records that the newest one makes needless."""
        self.records = [
            record for record in self.records if not record.is_committed or self._is_needed(record)
        ]

    def _is_needed(self, record: _DeferredRecord) -> bool:
        """Return whether the replica still needs a committed record.

        The newest record has the complete state of its message.  Beside it only the body counts, unless the
        message is completed.  An empty record has done its work with its commit.
        """
        proposal = record.outgoing.proposal
        if proposal.is_put:
            return not (self.newest.completes_message and self.newest.is_committed)
        return proposal is self.newest and bool(proposal.record)

    def take_due(self, now: float) -> list[OutgoingRecord]:
        """Take the records that are to be sent now."""
        if now - self.since >= MAX_DEFERRAL_S:
            due, self.records = self.records, []
        else:
            due = [record for record in self.records if record.is_overdue(now)]
            self.records = [record for record in self.records if record not in due]
        return [record.outgoing for record in due]

    def next_due_at(self) -> float:
        """Return when `take_due` has something to do next."""
        times = [record.since + record.commit_wait_s for record in self.records if not record.is_committed]
        return min([self.since + MAX_DEFERRAL_S, *times])


class DeferredCopies:
    """The records that wait for one replica.

    Invariant: for each message the waiting records and those already sent have, together, its newest state,
    and its body unless it is completed.
    """

    def __init__(self) -> None:
        self._messages: dict[_MessageId, _DeferredMessage] = {}  # in the order in which they began to wait

    def __len__(self) -> int:
        return sum(len(message.records) for message in self._messages.values())

    def add(self, outgoing: OutgoingRecord, now: float) -> float:
        """Let a record wait, and return when to look at it; older ones may become needless by it."""
        identifier = (outgoing.partition, outgoing.proposal.key)
        message = self._messages.get(identifier)
        if message is None:
            message = self._messages[identifier] = _DeferredMessage(now, outgoing.proposal)
        message.newest = outgoing.proposal
        record = _DeferredRecord(outgoing, now)
        message.records.append(record)
        return now + record.commit_wait_s

    def note_sent(self, outgoing: OutgoingRecord) -> None:
        """Note that a record goes to the replica at once; waiting ones may become needless by it."""
        message = self._messages.get((outgoing.partition, outgoing.proposal.key))
        if message is not None:
            message.newest = outgoing.proposal

    def take_due(self, now: float) -> list[OutgoingRecord]:
        """Take the records that are to be sent now, in the order in which they were made."""
        due: list[OutgoingRecord] = []
        for identifier, message in list(self._messages.items()):
            message.drop_replaced()
            due += message.take_due(now)
            if not message.records:
                del self._messages[identifier]
        return due

    def next_due_at(self) -> float | None:
        """Return when `take_due` has something to do next, None for never."""
        return min((message.next_due_at() for message in self._messages.values()), default=None)

    def clear(self) -> None:
        """Forget all: the replica will be compared instead."""
        self._messages.clear()
