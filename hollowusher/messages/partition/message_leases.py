"""Leases of messages at their primary: granted, extended, ended by their holder, run out."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from functools import partial

from hollowusher.messages import records
from hollowusher.messages.partition.active_messages import (
    GONE,
    RESULT_PRECEDENCE,
    START_WITHIN_MS,
    TAKEN,
    ActiveMessage,
    LeaseGrant,
    LeaseOutcome,
    last_finished_lease,
)
from hollowusher.messages.partition.message_deadlines import MessageDeadlines
from hollowusher.messages.partition.message_lifecycle import STORAGE_RETRY_S, MessageLifecycle
from hollowusher.messages.partition.message_queue import MessageQueue, QueueStage
from hollowusher.messages.partition.partition_table import MessageEntry, PartitionTable
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.partition.record_writer import RecordWriter
from hollowusher.messages.partition.service_routing import ServiceRouting
from hollowusher.messages.records import LeaseId, MessageState, MessageStatus
from hollowusher.protocol.leases import FinishLease, LeasedJob, LeaseRequest, LeaseUpdateResponse
from hollowusher.storage.interface import StorageError

PULL_GRACE_S = 0.3
PULL_DELIVERY_ALLOWANCE_S = 0.7  # beyond it: a job may reach its worker up to a second after it was leased
PUSH_GRACE_S = 4.0 + START_WITHIN_MS / 1000
FAILED_BACKOFF_MIN_S, FAILED_BACKOFF_MAX_S = 0.1, 2.0
NOT_RUN_BACKOFF_MIN_S, NOT_RUN_BACKOFF_MAX_S = 0.05, 1.0
UNKNOWN_BACKOFF_S = 0.2
MAX_DOUBLINGS = 16


class MessageLeases:
    """The leases of one partition's messages."""

    def __init__(
        self,
        table: PartitionTable,
        writer: RecordWriter,
        queue: MessageQueue,
        deadlines: MessageDeadlines,
        routing: ServiceRouting,
        lifecycle: MessageLifecycle,
        visibility_ms: int,
        random_source: Callable[[], float],
    ) -> None:
        self._table = table
        self._writer = writer
        self._queue = queue
        self._deadlines = deadlines
        self._routing = routing
        self._lifecycle = lifecycle
        self._visibility_ms = visibility_ms
        self._random_source = random_source

    # Granting

    def lease(self, request: LeaseRequest, most: int, now: float, wall_ms: int) -> list[LeaseGrant]:
        """Up to `most` ready jobs of the service, as far as its ceiling goes."""
        bucket = self._routing.bucket(request.service)
        if bucket is not None:
            most = min(most, bucket.available(now))
        grants: list[LeaseGrant] = []
        while len(grants) < most:
            message = self._queue.lease_next(request.service)
            if message is None:
                break
            assert isinstance(message, ActiveMessage)
            try:
                grant = self._grant(message, request, now, wall_ms)
            except StorageError:
                self._queue.release(message, now + STORAGE_RETRY_S, now)
                break
            if grant is None:
                continue
            if bucket is not None:
                bucket.consume()
            grants.append(grant)
        return grants

    def is_grant_valid(self, grant: LeaseGrant) -> bool:
        """Whether a grant still stands: its lease may have run out before it was committed."""
        lease = records.parse_lease_id(grant.job.lease)
        if lease is None or lease.is_callback:
            return True
        return self._leased_message(lease) is not None

    def cancel_grant(self, grant: LeaseGrant, now: float, wall_ms: int) -> None:
        """A lease that never reached its dispatcher."""
        lease = records.parse_lease_id(grant.job.lease)
        active = self._leased_message(lease) if lease is not None else None
        if active is not None:
            self._try_requeue(active, now, wall_ms)

    def restore(self, active: ActiveMessage, entry: MessageEntry, now: float) -> None:
        """Honour a lease that is known from its record alone."""
        state = entry.state
        assert state is not None
        if active.is_ending or active.lease == state.lease:
            return
        self._queue.mark_leased(active)
        self._lifecycle.mark_leased(active, state.lease, now + self.lease_duration_s(active, state))

    def lease_duration_s(self, active: ActiveMessage, state: MessageState) -> float:
        """How long a lease lasts."""
        if state.pull:
            visible_s = (state.visibility_ms or self._visibility_ms) / 1000
            return visible_s + PULL_GRACE_S + PULL_DELIVERY_ALLOWANCE_S
        return active.timeout_ms / 1000 + PUSH_GRACE_S

    # Words of their holders

    def finish(
        self, lease: LeaseId, finish: FinishLease, now: float, wall_ms: int
    ) -> Proposal | LeaseUpdateResponse:
        """The end of a lease.  A proposal means: `taken` once it is committed."""
        entry = self._table.entries.get(lease.key)
        if entry is None or finish.result not in RESULT_PRECEDENCE:
            return GONE
        end = LeaseOutcome(lease.number, finish.result, finish.signature)
        if entry.state is not None and end.is_repeat(entry.state):
            return self._writer.pending.get(lease.key) or TAKEN
        active = self._lifecycle.active.get(lease.key)
        if active is None or active.is_ending or not self._can_end_with(active, entry, lease.number):
            return GONE
        return self._apply_result(active, entry, end, finish.retry_ms / 1000, now, wall_ms)

    def extend(self, lease: LeaseId, now: float, wall_ms: int) -> Proposal | LeaseUpdateResponse:
        """A pull worker needs longer."""
        active = self._lifecycle.active.get(lease.key)
        entry = self._table.entries.get(lease.key)
        if lease.is_callback or active is None or entry is None or active.is_ending:
            return GONE
        if active.lease == lease.number:
            visibility_ms = entry.state.visibility_ms if entry.state is not None else 0
            active.expires_at = now + (visibility_ms or self._visibility_ms) / 1000 + PULL_GRACE_S
            return TAKEN
        if lease.number == last_finished_lease(entry) or not self._can_end_with(active, entry, lease.number):
            return GONE
        return self._reinstate(active, entry, lease.number, now, wall_ms)

    # Time and lost holders

    def run_out(self, active: ActiveMessage, now: float, wall_ms: int) -> None:
        """A message's lease has run out."""
        try:
            self._lifecycle.requeue(active, now, now, wall_ms)
        except StorageError:
            self._deadlines.schedule_lease_expiry(active, now + STORAGE_RETRY_S)

    def postpone(self, seconds: float) -> None:
        """Let all leases run for longer."""
        for active in self._lifecycle.leased.values():
            if active.lease:
                active.expires_at += seconds

    def release_dispatchers(self, alive: Callable[[str, int], bool], now: float, wall_ms: int) -> None:
        """Requeue the push leases of dispatchers that are gone."""
        for active in list(self._lifecycle.leased.values()):
            state = self._table.entries[active.key].state
            if state is not None and not state.pull and not alive(state.dispatcher, state.incarnation):
                self._try_requeue(active, now, wall_ms)

    # Steps

    def _leased_message(self, lease: LeaseId) -> ActiveMessage | None:
        """The message whose current lease this is."""
        active = self._lifecycle.leased.get(lease.key)
        return active if active is not None and active.lease == lease.number else None

    def _grant(
        self, active: ActiveMessage, request: LeaseRequest, now: float, wall_ms: int
    ) -> LeaseGrant | None:
        put = self._table.read_accepted(self._table.entries[active.key])
        if put is None:  # cannot be: an active message has its PUT record
            self._queue.suspend(active)
            return None
        state = self._writer.copy_without_lease(active.key)
        state.status = MessageStatus.LEASED
        state.lease = state.version[1]
        state.dispatcher, state.incarnation = request.dispatcher, request.incarnation
        state.pull, state.visibility_ms = request.pull, request.visibility_ms
        lasts_s = self.lease_duration_s(active, state)
        on_commit = partial(self._on_grant_committed, active, state.lease, lasts_s)
        proposal = self._writer.propose_state(active.key, state, False, now, wall_ms, on_commit)
        self._lifecycle.mark_leased(active, state.lease, now + lasts_s)
        lease = records.format_lease_id(self._table.partition, active.key, state.lease)
        return LeaseGrant(LeasedJob(lease, put.message, state.attempts, START_WITHIN_MS), proposal)

    @staticmethod
    def _on_grant_committed(
        active: ActiveMessage, lease: int, lasts_s: float, now: float, wall_ms: int
    ) -> None:
        """A lease is committed and goes out now: it counts from here."""
        if active.lease == lease:
            active.expires_at = max(active.expires_at, now + lasts_s)

    @staticmethod
    def _can_end_with(active: ActiveMessage, entry: MessageEntry, number: int) -> bool:
        """Whether this lease is the current one, or may stand for it: nobody has the message, and no later
        lease has ended.  Its record was lost, it ran out, or it was given back by mistake."""
        if active.lease:
            return active.lease == number
        return number >= last_finished_lease(entry) and active.stage in (QueueStage.WAITING, QueueStage.READY)

    def _apply_result(
        self,
        active: ActiveMessage,
        entry: MessageEntry,
        end: LeaseOutcome,
        least_wait_s: float,
        now: float,
        wall_ms: int,
    ) -> Proposal:
        if end.result == "success":
            return self._lifecycle.end(active, MessageStatus.COMPLETED, now, wall_ms, end)
        if end.result == "refused":
            return self._lifecycle.end(active, MessageStatus.DEAD_LETTER, now, wall_ms, end)
        attempts = entry.state.attempts if entry.state is not None else 0
        if end.result == "failed":
            attempts += 1
            if attempts >= active.max_attempts:
                return self._lifecycle.end(active, MessageStatus.DEAD_LETTER, now, wall_ms, end)
        wait_s = max(self._backoff_s(active, end.result, attempts), least_wait_s)
        return self._lifecycle.requeue(active, now + wait_s, now, wall_ms, end)

    def _backoff_s(self, active: ActiveMessage, result: str, attempts: int) -> float:
        jitter = 0.75 + 0.5 * self._random_source()
        if result == "not_run":
            active.consecutive_not_run += 1
            grown_s = NOT_RUN_BACKOFF_MIN_S * 1.5 ** min(active.consecutive_not_run - 1, MAX_DOUBLINGS)
            return min(NOT_RUN_BACKOFF_MAX_S, grown_s) * jitter
        active.consecutive_not_run = 0
        if result == "failed":
            return (
                min(FAILED_BACKOFF_MAX_S, FAILED_BACKOFF_MIN_S * 2.0 ** min(attempts - 1, MAX_DOUBLINGS))
                * jitter
            )
        return UNKNOWN_BACKOFF_S * jitter

    def _reinstate(
        self, active: ActiveMessage, entry: MessageEntry, number: int, now: float, wall_ms: int
    ) -> Proposal:
        """Believe a pull worker that holds a lease whose record was lost."""
        state = self._writer.copy_without_lease(active.key)
        state.status = MessageStatus.LEASED
        state.lease = number
        state.pull = True
        state.visibility_ms = self._visibility_ms
        proposal = self._writer.propose_state(active.key, state, False, now, wall_ms)
        self.restore(active, entry, now)
        return proposal

    def _try_requeue(self, active: ActiveMessage, now: float, wall_ms: int) -> None:
        """Give a message back; where the disk takes nothing now, its lease runs out."""
        with suppress(StorageError):
            self._lifecycle.requeue(active, now, now, wall_ms)
