"""Restoring of active messages from records, at a takeover and when a peer supplies newer records."""

from __future__ import annotations

from hollowusher.messages.partition.callback_jobs import CallbackJobs
from hollowusher.messages.partition.message_leases import MessageLeases
from hollowusher.messages.partition.message_lifecycle import STORAGE_RETRY_S, MessageLifecycle
from hollowusher.messages.partition.message_queue import QueueStage
from hollowusher.messages.partition.partition_context import PartitionContext
from hollowusher.messages.partition.partition_table import MessageEntry
from hollowusher.messages.records import AcceptedMessage, MessageKey, MessageStatus
from hollowusher.storage.interface import StorageError

# Wall clocks of machines differ; the margin keeps a new primary from ending a message before its retention.
RETENTION_MARGIN_S = 5.0


class MessageRestorer:
    """Restores the queue, leases and call-backs of one partition from its records."""

    def __init__(
        self,
        context: PartitionContext,
        lifecycle: MessageLifecycle,
        leases: MessageLeases,
        callbacks: CallbackJobs,
    ) -> None:
        self._table = context.table
        self._writer = context.writer
        self._lifecycle = lifecycle
        self._leases = leases
        self._callbacks = callbacks
        self._failed_keys: set[MessageKey] = set()  # messages whose restoring failed with a disk error
        self.retry_at: float | None = None  # monotonic time when `retry_failed` tries those messages again

    def restore(self, key: MessageKey, now: float, wall_ms: int) -> None:
        """Update the state of one message in memory from its records; after a disk error, try again later."""
        try:
            self._restore(key, now, wall_ms)
        except StorageError:
            self._failed_keys.add(key)
            self.retry_at = now + STORAGE_RETRY_S

    def retry_failed(self, now: float, wall_ms: int) -> None:
        """Try again to restore the messages that failed with a disk error, once `retry_at` has passed."""
        if self.retry_at is None or self.retry_at > now:
            return
        failed_keys, self._failed_keys = self._failed_keys, set()
        self.retry_at = None
        for key in sorted(failed_keys):
            self.restore(key, now, wall_ms)

    def _restore(self, key: MessageKey, now: float, wall_ms: int) -> None:
        entry = self._table.entries.get(key)
        if entry is None:
            return
        if entry.status.has_ended:
            self.restore_ended(entry, now, wall_ms)
            return
        accepted = self._table.read_accepted(entry) if key not in self._lifecycle.active else None
        if accepted is not None:
            if self._is_duplicate(key, accepted.message.id, now, wall_ms):
                return
            self._lifecycle.activate(key, accepted, now + _retention_left_s(accepted, wall_ms))
        active = self._lifecycle.active.get(key)
        if active is None:
            return
        if entry.status is MessageStatus.LEASED:
            self._leases.restore(active, entry, now)
        elif active.stage in (QueueStage.SUSPENDED, QueueStage.LEASED) and not active.is_ending:
            self._lifecycle.clear_lease(active)
            ready_at = now + self._delay_left_s(entry, wall_ms)
            self._lifecycle.release(active, ready_at, now, wall_ms)

    def restore_ended(self, entry: MessageEntry, now: float, wall_ms: int) -> None:
        """Restore a message that has ended: register its id, and queue its call-back if it is pending."""
        state = entry.state
        assert state is not None
        if state.id:
            self._end_earlier_put(entry.key, state.id, now, wall_ms)
            self._lifecycle.keys_by_id.setdefault(state.id, entry.key)
        active = self._lifecycle.active.get(entry.key)
        if active is not None and not active.is_ending:
            self._lifecycle.discard(active, now)
        if state.callback_pending and (active is None or not active.is_ending):
            self._callbacks.add(entry.key, state, now)

    def _delay_left_s(self, entry: MessageEntry, wall_ms: int) -> float:
        """Return the remaining delay of the message in seconds."""
        due_at_ms = self._table.due_at_ms(entry)
        return 0.0 if due_at_ms is None else max(0, due_at_ms - wall_ms) / 1000

    def _is_duplicate(self, key: MessageKey, message_id: str, now: float, wall_ms: int) -> bool:
        """Return whether the same message is stored under a later key, and end the earlier of the two puts.

        The earlier put was never acknowledged, because otherwise the message would not have been put again.
        """
        existing_key = self._lifecycle.keys_by_id.get(message_id)
        if existing_key is None or existing_key == key:
            return False
        if key < existing_key:
            state = self._writer.copy_without_lease(key)
            state.status, state.ended_wall_ms = MessageStatus.COMPLETED, wall_ms
            self._writer.propose_durable_state(key, state, now, wall_ms)
            return True
        self._end_earlier_put(key, message_id, now, wall_ms)
        return False

    def _end_earlier_put(self, key: MessageKey, message_id: str, now: float, wall_ms: int) -> None:
        """End the put of the same message under an earlier key; that put was never acknowledged."""
        existing_key = self._lifecycle.keys_by_id.get(message_id)
        active = (
            self._lifecycle.active.get(existing_key)
            if existing_key is not None and existing_key < key
            else None
        )
        if active is None or active.is_ending:
            return
        active.callback_url = ""
        active.id = ""
        self._lifecycle.end(active, MessageStatus.COMPLETED, now, wall_ms)
        self._lifecycle.keys_by_id[message_id] = key


def _retention_left_s(accepted: AcceptedMessage, wall_ms: int) -> float:
    return (accepted.accepted_wall_ms + accepted.message.retention_ms - wall_ms) / 1000 + RETENTION_MARGIN_S
