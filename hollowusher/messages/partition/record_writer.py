"""Creation of new records at the primary of a partition: versions, the local table and proposals."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.messages import records
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.partition.proposal import NO_KEY, Proposal
from hollowusher.messages.records import AcceptedMessage, MessageKey, MessageState, MessageStatus

OnCommit = Callable[[float, int], None]  # called with (now, wall_ms)


class RecordWriter:
    """Writes the records of one partition, and keeps the uncommitted proposals.

    Sequence numbers only increase.  The first one is greater than all sequence numbers in the table and than
    the wall clock in microseconds, so that a new primary never reuses a version of a former primary.
    """

    def __init__(self, table: PartitionTable, epoch: int, wall_ms: int) -> None:
        self.epoch = epoch
        self.outbox: list[
            Proposal
        ] = []  # oldest first; the owner replicates the proposals and clears the list
        self.pending: dict[MessageKey, Proposal] = {}  # the newest uncommitted proposal of each message
        self._table = table
        self._sequence = max(table.greatest_sequence, wall_ms * 1000)

    def next_version(self) -> records.RecordVersion:
        """Return a new version, greater than all earlier ones of this writer."""
        self._sequence += 1
        return self.epoch, self._sequence

    def propose_put(self, key: MessageKey, put: AcceptedMessage, now: float, wall_ms: int) -> Proposal:
        """Store a new message in the local table and propose its PUT record."""
        record = records.pack_put(self._table.partition, key, put)
        self._table.apply(record, wall_ms)
        is_delayed = put.due_wall_ms > put.accepted_wall_ms
        proposal = Proposal(
            key, record, needs_sync=True, created_at=now, is_put=True, is_delayed_put=is_delayed
        )
        return self._propose(proposal)

    def propose_state(
        self,
        key: MessageKey,
        state: MessageState,
        now: float,
        wall_ms: int,
        on_commit: OnCommit | None = None,
    ) -> Proposal:
        """Propose a new state of a message; replicas acknowledge it once it is in their memory."""
        proposal = self._state_proposal(key, state, now, wall_ms)
        proposal.on_commit = on_commit
        return self._propose(proposal)

    def propose_durable_state(
        self,
        key: MessageKey,
        state: MessageState,
        now: float,
        wall_ms: int,
        on_commit: OnCommit | None = None,
    ) -> Proposal:
        """Propose a new state of a message; replicas acknowledge it once it is on their disk."""
        proposal = self._state_proposal(key, state, now, wall_ms)
        proposal.on_commit = on_commit
        proposal.needs_sync = True
        return self._propose(proposal)

    def copy_without_lease(self, key: MessageKey) -> MessageState:
        """Return a copy of a message's state with a new version, status QUEUED and no lease."""
        state = self._table.entries[key].state
        version = self.next_version()
        if state is None:
            return MessageState(version)
        return attrs.evolve(
            state,
            version=version,
            status=MessageStatus.QUEUED,
            lease=0,
            dispatcher="",
            incarnation=0,
            pull=False,
            holder_timeout_ms=0,
        )

    def propose_confirmation(self, now: float) -> Proposal:
        """Propose an empty record, whose commit confirms that a quorum still follows this primary."""
        proposal = Proposal(NO_KEY, b"", needs_sync=False, created_at=now)
        self.outbox.append(proposal)
        return proposal

    def commit(self, proposal: Proposal, now: float, wall_ms: int) -> None:
        """Commit a proposal that a quorum has acknowledged."""
        proposal.is_committed = True
        if self.pending.get(proposal.key) is proposal:
            del self.pending[proposal.key]
        if proposal.on_commit is not None:
            proposal.on_commit(now, wall_ms)
        proposal.resolve_waiters(committed=True)

    def _state_proposal(self, key: MessageKey, state: MessageState, now: float, wall_ms: int) -> Proposal:
        """Store a new state of a message in the local table and return the proposal of its STATE record."""
        record = records.pack_state(self._table.partition, key, state)
        self._table.apply(record, wall_ms)
        completes_message = state.status is MessageStatus.COMPLETED
        return Proposal(key, record, needs_sync=False, created_at=now, completes_message=completes_message)

    def _propose(self, proposal: Proposal) -> Proposal:
        self.pending[proposal.key] = proposal
        self.outbox.append(proposal)
        return proposal
