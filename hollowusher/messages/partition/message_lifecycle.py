"""The lifecycle of a message at its primary: activated, released, leased, requeued, ended.

`MessageLifecycle` owns the active messages of one partition, which are those that have not ended.  There is
no I/O; callers pass the clock readings in.
"""

from __future__ import annotations

from functools import partial

from hollowusher.messages.partition.active_messages import ActiveMessage, LeaseOutcome, callback_service_name
from hollowusher.messages.partition.callback_jobs import CallbackJobs
from hollowusher.messages.partition.message_queue import NO_START_TARGET, QueueStage
from hollowusher.messages.partition.partition_context import PartitionContext
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import AcceptedMessage, MessageKey, MessageStatus
from hollowusher.protocol.messages import NewMessage
from hollowusher.storage.interface import StorageError

STORAGE_RETRY_S = 1.0  # delay before a transition is tried again after the disk rejected its record


def _start_target_s(message: NewMessage) -> float:
    """Return the start target of a message in seconds, or infinity if its route has no latency target."""
    return message.target_start_ms / 1000 if message.target_start_ms > 0 else NO_START_TARGET


def _ordering_group(message: NewMessage) -> str:
    """Return the name of the messages that are ordered among each other: those of one key on one route."""
    return f"{message.route}/{message.ordering_key}" if message.ordering_key else ""


class MessageLifecycle:
    """The messages of one partition that have not ended."""

    def __init__(self, context: PartitionContext, callbacks: CallbackJobs) -> None:
        self.active: dict[MessageKey, ActiveMessage] = {}
        self.leased: dict[MessageKey, ActiveMessage] = {}
        self.keys_by_id: dict[str, MessageKey] = {}  # includes ended messages until the table drops them
        self._table = context.table
        self._writer = context.writer
        self._queue = context.queue
        self._deadlines = context.deadlines
        self._routing = context.routing
        self._callbacks = callbacks

    def activate(self, key: MessageKey, accepted: AcceptedMessage, retained_until: float) -> ActiveMessage:
        """Create the active message of a PUT record; it stays suspended until `release` is called."""
        message = accepted.message
        active = ActiveMessage(
            key=key,
            service=self._routing.service_for(message.route, message.service, accepted.generation),
            priority=message.priority,
            due_wall_ms=accepted.due_wall_ms,
            ordering_group=_ordering_group(message),
            start_target_s=_start_target_s(message),
            id=message.id,
            route=message.route,
            generation=accepted.generation,
            max_attempts=message.max_attempts,
            timeout_ms=message.timeout_ms,
            callback_url=message.callback_url,
            retained_until=retained_until,
        )
        self.active[key] = active
        self.keys_by_id[message.id] = key
        self._queue.add(active)
        if message.retention_ms > 0:
            self._deadlines.schedule_retention_end(active, retained_until)
        else:
            active.retained_until = float("inf")
        return active

    def release(self, active: ActiveMessage, ready_at: float, now: float, wall_ms: int) -> None:
        """Allow leases of a message from `ready_at` on, unless it is ending.

        A message whose retention is over or whose route was removed is ended as a dead letter instead.
        """
        if active.stage not in (QueueStage.SUSPENDED, QueueStage.LEASED) or active.is_ending:
            return
        if active.retained_until <= now or self._routing.is_route_removed(active):
            self.end_or_retry(active, now, wall_ms)
        else:
            self._follow_route(active, now)
            self._queue.release(active, ready_at, now)

    def requeue(
        self,
        active: ActiveMessage,
        ready_at: float,
        now: float,
        wall_ms: int,
        outcome: LeaseOutcome | None = None,
    ) -> Proposal:
        """Clear the lease of a message and allow the next lease from `ready_at` on; return the proposal."""
        state = self._writer.copy_without_lease(active.key)
        if outcome is not None:
            outcome.record_in(state)
        proposal = self._writer.propose_state(active.key, state, now, wall_ms)
        self.clear_lease(active)
        if active.stage is not QueueStage.LEASED:
            self._queue.suspend(active)
        self.release(active, ready_at, now, wall_ms)
        return self._writer.pending.get(active.key, proposal)

    def end(
        self,
        active: ActiveMessage,
        status: MessageStatus,
        now: float,
        wall_ms: int,
        outcome: LeaseOutcome | None = None,
    ) -> Proposal:
        """Propose the end of a message; the message leaves the queue once the proposal is committed."""
        state = self._writer.copy_without_lease(active.key)
        state.status = status
        if outcome is not None:
            outcome.record_in(state)
        state.ended_wall_ms = wall_ms
        state.id = active.id
        state.callback_pending = (
            bool(callback_service_name(active.callback_url)) if active.callback_url else False
        )
        state.callback_url = active.callback_url if state.callback_pending else ""
        on_commit = partial(self._on_end_committed, active)
        proposal = self._writer.propose_durable_state(active.key, state, now, wall_ms, on_commit)
        self.clear_lease(active)
        active.is_ending = True
        if active.stage is not QueueStage.LEASED:
            self._queue.suspend(active)
        return proposal

    def end_or_retry(self, active: ActiveMessage, now: float, wall_ms: int) -> None:
        """End a message as a dead letter; after a disk error, try again later."""
        try:
            self.end(active, MessageStatus.DEAD_LETTER, now, wall_ms)
        except StorageError:
            self._queue.suspend(active)
            active.retained_until = now
            self._deadlines.schedule_retention_end(active, now + STORAGE_RETRY_S)
            self._queue.release(active, now + 2 * STORAGE_RETRY_S, now)

    def end_expired(self, now: float, wall_ms: int) -> None:
        """End the messages whose retention has expired, except those that are leased."""
        for message in self._deadlines.expired_retentions(now):
            if message.stage in (QueueStage.WAITING, QueueStage.READY):
                self.end_or_retry(message, now, wall_ms)

    def apply_routing(self, now: float, wall_ms: int) -> None:
        """Apply a new configuration.

        Messages of removed routes end as dead letters; messages whose service was removed move to the queue
        of their route's new service.
        """
        for active in list(self.active.values()):
            if active.stage not in (QueueStage.WAITING, QueueStage.READY):
                continue
            if self._routing.is_route_removed(active):
                self.end_or_retry(active, now, wall_ms)
            else:
                self._follow_route(active, now)

    def mark_leased(self, active: ActiveMessage, number: int, expires_at: float) -> None:
        """Record a new lease of a message."""
        active.lease = number
        self.leased[active.key] = active
        self._deadlines.schedule_lease_expiry(active, expires_at)

    def clear_lease(self, active: ActiveMessage) -> None:
        """Record that a message has no lease any more."""
        active.lease = 0
        active.expires_at = 0.0
        self.leased.pop(active.key, None)

    def discard(self, active: ActiveMessage, now: float) -> None:
        """Drop an active message that another primary has ended."""
        del self.active[active.key]
        self.clear_lease(active)
        self._queue.remove(active, now)

    def forget(self, keys: list[MessageKey]) -> None:
        """Remove the ids of messages that the table has dropped."""
        dropped = set(keys)
        self.keys_by_id = {
            message_id: key for message_id, key in self.keys_by_id.items() if key not in dropped
        }

    def _on_end_committed(self, active: ActiveMessage, now: float, _wall_ms: int) -> None:
        """Remove a message whose end is committed, and queue its call-back if it has one."""
        self.active.pop(active.key, None)
        self._queue.remove(active, now)
        entry = self._table.entries.get(active.key)
        if entry is not None and entry.state is not None and entry.state.callback_pending:
            self._callbacks.add(entry.key, entry.state, now)

    def _follow_route(self, active: ActiveMessage, now: float) -> None:
        """Assign a message to the service of its route if its own service was removed."""
        service = self._routing.service_for(active.route, active.service, active.generation)
        if service != active.service:
            self._queue.change_service(active, service, now)
