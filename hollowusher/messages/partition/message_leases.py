"""Grants, extensions, results and expiry of the leases on the messages of one partition.

Leases follow Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism" (SOSP 1989): a holder may act
until its lease expires, and a new primary honours the leases that it finds in the records.  The number of a
lease is the sequence number of its record, so a later lease of a message has a greater number, and the number
serves as the fencing token of the lease.  There is no I/O; callers pass the clock readings in.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import attrs

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
from hollowusher.messages.partition.lease_metrics import LeaseMetrics
from hollowusher.messages.partition.message_lifecycle import STORAGE_RETRY_S, MessageLifecycle
from hollowusher.messages.partition.message_queue import QueueStage
from hollowusher.messages.partition.partition_context import PartitionContext
from hollowusher.messages.partition.partition_table import MessageEntry
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import LeaseId, MessageState, MessageStatus
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.leases import FinishLease, LeasedJob, LeaseRequest, LeaseUpdateResponse
from hollowusher.protocol.messages import NewMessage
from hollowusher.storage.interface import StorageError

PULL_GRACE_S = 0.3  # added to the visibility timeout: transit time of the worker's last request to the store
# Added to PULL_GRACE_S for a new lease: a job may reach its worker up to one second after it was leased.
PULL_DELIVERY_ALLOWANCE_S = 0.7
PUSH_GRACE_S = 4.0 + START_WITHIN_MS / 1000  # added to the timeout of the delivery
FAILED_BACKOFF_MIN_S, FAILED_BACKOFF_MAX_S, FAILED_BACKOFF_FACTOR = 0.1, 2.0, 2.0
NOT_RUN_BACKOFF_MIN_S, NOT_RUN_BACKOFF_MAX_S, NOT_RUN_BACKOFF_FACTOR = 0.05, 1.0, 1.5
UNKNOWN_BACKOFF_S = 0.2
MAX_BACKOFF_STEPS = 16  # bounds the exponent; the backoff reaches its maximum after fewer steps
JITTER_MIN, JITTER_SPREAD = 0.75, 0.5


@attrs.frozen
class LeaseOptions:
    """Default visibility timeout of pull leases, the source of backoff jitter, and the metrics to update."""

    visibility_ms: int
    random_source: Callable[[], float]  # returns uniform numbers in [0, 1)
    metrics: LeaseMetrics = attrs.Factory(LeaseMetrics)


class MessageLeases:
    """The leases of one partition's messages."""

    def __init__(self, context: PartitionContext, lifecycle: MessageLifecycle, options: LeaseOptions) -> None:
        self._table = context.table
        self._writer = context.writer
        self._queue = context.queue
        self._deadlines = context.deadlines
        self._routing = context.routing
        self._lifecycle = lifecycle
        self._visibility_ms = options.visibility_ms
        self._random_source = options.random_source
        self._metrics = options.metrics

    # Granting

    def lease(
        self, request: LeaseRequest, max_jobs: int, now: float, wall_ms: int, borrowed_tokens: int = 0
    ) -> list[LeaseGrant]:
        """Grant leases on up to `max_jobs` ready jobs of the service, within its rate limit.

        If another primary enforces the rate limit, each lease needs one of the `borrowed_tokens`.  There are
        no leases for a service that the configuration does not contain, because its rate limit is not known.
        """
        if not self._routing.is_known(request.service):
            return []
        if self._routing.must_borrow_tokens(request.service):
            max_jobs = min(max_jobs, borrowed_tokens)
        bucket = self._routing.bucket(request.service)
        if bucket is not None:
            max_jobs = min(max_jobs, bucket.available(now))
        grants: list[LeaseGrant] = []
        while len(grants) < max_jobs:
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
            self._metrics.granted += 1
            grants.append(grant)
        return grants

    def is_grant_valid(self, grant: LeaseGrant) -> bool:
        """Return whether the lease of a grant is still current; it may expire before its record commits."""
        lease = records.parse_lease_id(grant.job.lease)
        if lease is None or lease.is_callback:
            return True
        return self._leased_message(lease) is not None

    def cancel_grant(self, grant: LeaseGrant, now: float, wall_ms: int) -> None:
        """Requeue the message of a lease that was not sent to its dispatcher."""
        lease = records.parse_lease_id(grant.job.lease)
        active = self._leased_message(lease) if lease is not None else None
        if active is not None:
            self._try_requeue(active, now, wall_ms)

    def restore(self, active: ActiveMessage, entry: MessageEntry, now: float) -> None:
        """Honour a lease that was restored from its record; its full duration starts now."""
        state = entry.state
        assert state is not None
        if active.is_ending or active.lease == state.lease:
            return
        self._queue.mark_leased(active)
        self._lifecycle.mark_leased(active, state.lease, now + self.lease_duration_s(active, state))

    def lease_duration_s(self, active: ActiveMessage, state: MessageState) -> float:
        """Return the duration of a lease in seconds."""
        if state.pull:
            visible_s = (state.holder_timeout_ms or self._visibility_ms) / 1000
            return visible_s + PULL_GRACE_S + PULL_DELIVERY_ALLOWANCE_S
        timeout_ms = state.holder_timeout_ms or self._longest_timeout_ms(active)
        return timeout_ms / 1000 + PUSH_GRACE_S

    def _longest_timeout_ms(self, active: ActiveMessage) -> int:
        """Return the longest timeout by which the holder of an older version's lease may deliver."""
        return max(active.timeout_ms, self._routing.delivery_timeout_ms(active))

    # Requests of lease holders

    def finish(
        self, lease: LeaseId, finish: FinishLease, now: float, wall_ms: int
    ) -> Proposal | LeaseUpdateResponse:
        """Finish a lease with the result that its holder reports.

        Returns
        -------
        The response, or a proposal; once the proposal is committed, the response is `taken`.
        """
        answer = self._finish(lease, finish, now, wall_ms)
        self._metrics.late_results += answer is GONE
        return answer

    def _finish(
        self, lease: LeaseId, finish: FinishLease, now: float, wall_ms: int
    ) -> Proposal | LeaseUpdateResponse:
        entry = self._table.entries.get(lease.key)
        if entry is None or finish.result not in RESULT_PRECEDENCE:
            return GONE
        outcome = LeaseOutcome(lease.number, finish.result, finish.signature, finish.retry_ms / 1000)
        if entry.state is not None and outcome.is_repeat(entry.state):
            return self._writer.pending.get(lease.key) or TAKEN
        active = self._lifecycle.active.get(lease.key)
        if active is None or active.is_ending or not self._may_update(active, entry, lease.number):
            return GONE
        return self._apply_outcome(active, entry, outcome, now, wall_ms)

    def extend(self, lease: LeaseId, now: float, wall_ms: int) -> Proposal | LeaseUpdateResponse:
        """Extend a pull lease.

        Returns
        -------
        The response, or a proposal; once the proposal is committed, the response is `taken`.
        """
        active = self._lifecycle.active.get(lease.key)
        entry = self._table.entries.get(lease.key)
        if lease.is_callback or active is None or entry is None or active.is_ending:
            return GONE
        if active.lease == lease.number:
            visibility_ms = entry.state.holder_timeout_ms if entry.state is not None else 0
            active.expires_at = now + (visibility_ms or self._visibility_ms) / 1000 + PULL_GRACE_S
            return TAKEN
        if lease.number == last_finished_lease(entry) or not self._may_update(active, entry, lease.number):
            return GONE
        return self._reinstate(active, entry, lease.number, now, wall_ms)

    # Expiry and lost holders

    def expire(self, active: ActiveMessage, now: float, wall_ms: int) -> None:
        """Requeue a message whose lease has expired; after a disk error, try again later."""
        try:
            self._lifecycle.requeue(active, now, now, wall_ms)
            self._metrics.expired += 1
        except StorageError:
            self._deadlines.schedule_lease_expiry(active, now + STORAGE_RETRY_S)

    def postpone(self, seconds: float) -> None:
        """Extend all leases by this many seconds."""
        for active in self._lifecycle.leased.values():
            if active.lease:
                active.expires_at += seconds

    def release_dispatchers(self, alive: Callable[[str, int], bool], now: float, wall_ms: int) -> None:
        """Requeue the messages whose push leases belong to dispatchers that are not alive."""
        for active in list(self._lifecycle.leased.values()):
            state = self._table.entries[active.key].state
            if state is not None and not state.pull and not alive(state.dispatcher, state.incarnation):
                self._metrics.reclaimed += self._try_requeue(active, now, wall_ms)

    # Transitions

    def _leased_message(self, lease: LeaseId) -> ActiveMessage | None:
        """Return the message that currently has this lease, or None if the lease is not current."""
        active = self._lifecycle.leased.get(lease.key)
        return active if active is not None and active.lease == lease.number else None

    def _grant(
        self, active: ActiveMessage, request: LeaseRequest, now: float, wall_ms: int
    ) -> LeaseGrant | None:
        accepted = self._table.read_accepted(self._table.entries[active.key])
        if accepted is None:  # unreachable: each active message has its PUT record in the table
            self._queue.suspend(active)
            return None
        state = self._writer.copy_without_lease(active.key)
        state.status = MessageStatus.LEASED
        state.lease = state.version[1]
        state.dispatcher, state.incarnation = request.dispatcher, request.incarnation
        state.pull = request.pull
        message = accepted.message
        if request.pull:
            state.holder_timeout_ms = request.visibility_ms
        else:
            state.holder_timeout_ms = self._routing.delivery_timeout_ms(active)
            message = with_delivery_timeout(message, state.holder_timeout_ms)
        duration_s = self.lease_duration_s(active, state)
        on_commit = partial(self._on_grant_committed, active, state.lease, duration_s)
        proposal = self._writer.propose_state(active.key, state, now, wall_ms, on_commit)
        self._lifecycle.mark_leased(active, state.lease, now + duration_s)
        lease = records.format_lease_id(self._table.partition, active.key, state.lease)
        return LeaseGrant(LeasedJob(lease, message, state.attempts, START_WITHIN_MS), proposal)

    @staticmethod
    def _on_grant_committed(
        active: ActiveMessage, lease: int, duration_s: float, now: float, _wall_ms: int
    ) -> None:
        """Restart the duration of a lease at its commit, because the store sends the lease only then."""
        if active.lease == lease:
            active.expires_at = max(active.expires_at, now + duration_s)

    @staticmethod
    def _may_update(active: ActiveMessage, entry: MessageEntry, number: int) -> bool:
        """Return whether the holder of lease `number` may still finish or extend it.

        It may if the lease is current, or if the message has no lease and no later lease has finished.  In
        the second case the record of this lease was lost, the lease has expired, or it was returned by
        mistake.
        """
        if active.lease:
            return active.lease == number
        return number >= last_finished_lease(entry) and active.stage in (QueueStage.WAITING, QueueStage.READY)

    def _apply_outcome(
        self, active: ActiveMessage, entry: MessageEntry, outcome: LeaseOutcome, now: float, wall_ms: int
    ) -> Proposal:
        """End or requeue the message, depending on the outcome of its lease."""
        result = outcome.result
        if result == "success":
            return self._lifecycle.end(active, MessageStatus.COMPLETED, now, wall_ms, outcome)
        if result == "refused":
            return self._lifecycle.end(active, MessageStatus.DEAD_LETTER, now, wall_ms, outcome)
        attempts = entry.state.attempts if entry.state is not None else 0
        if result == "failed":
            attempts += 1
            if attempts >= active.max_attempts:
                return self._lifecycle.end(active, MessageStatus.DEAD_LETTER, now, wall_ms, outcome)
        delay_s = max(self._backoff_s(active, result, attempts), outcome.min_retry_delay_s)
        return self._lifecycle.requeue(active, now + delay_s, now, wall_ms, outcome)

    def _backoff_s(self, active: ActiveMessage, result: str, attempts: int) -> float:
        """Return the backoff in seconds before the message may be leased again, with jitter."""
        jitter = JITTER_MIN + JITTER_SPREAD * self._random_source()
        if result == "not_run":
            active.consecutive_not_run += 1
            steps = min(active.consecutive_not_run - 1, MAX_BACKOFF_STEPS)
            delay_s = NOT_RUN_BACKOFF_MIN_S * NOT_RUN_BACKOFF_FACTOR**steps
            return min(NOT_RUN_BACKOFF_MAX_S, delay_s) * jitter
        active.consecutive_not_run = 0
        if result == "failed":
            steps = min(attempts - 1, MAX_BACKOFF_STEPS)
            delay_s = FAILED_BACKOFF_MIN_S * FAILED_BACKOFF_FACTOR**steps
            return min(FAILED_BACKOFF_MAX_S, delay_s) * jitter
        return UNKNOWN_BACKOFF_S * jitter

    def _reinstate(
        self, active: ActiveMessage, entry: MessageEntry, number: int, now: float, wall_ms: int
    ) -> Proposal:
        """Accept the lease of a pull worker although the record of the lease was lost."""
        state = self._writer.copy_without_lease(active.key)
        state.status = MessageStatus.LEASED
        state.lease = number
        state.pull = True
        state.holder_timeout_ms = self._visibility_ms
        proposal = self._writer.propose_state(active.key, state, now, wall_ms)
        self.restore(active, entry, now)
        return proposal

    def _try_requeue(self, active: ActiveMessage, now: float, wall_ms: int) -> bool:
        """Requeue a message and return True; after a disk error the message stays leased until its expiry."""
        try:
            self._lifecycle.requeue(active, now, now, wall_ms)
        except StorageError:
            return False
        return True


def with_delivery_timeout(message: NewMessage, timeout_ms: int) -> NewMessage:
    """Return the message with the timeout of its next delivery in place of the one at its acceptance."""
    return message if message.timeout_ms == timeout_ms else evolve(message, timeout_ms=timeout_ms)
