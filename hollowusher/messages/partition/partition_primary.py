"""The primary of one partition, which accepts messages, grants leases and accepts their results.

The primary is a state machine without I/O; callers pass clock readings and randomness in.  `now` is the
monotonic clock in seconds, `wall_ms` the wall clock in milliseconds.  Each change of a message is a
`Proposal` in `outbox`; the owner replicates it and calls `commit` once a quorum has acknowledged it
(primary-backup replication, as in Oki and Liskov, "Viewstamped Replication", PODC 1988).

The primary delegates to `MessageLifecycle` (messages that have not ended), `MessageLeases`, `CallbackJobs`,
`MessageRestorer` (records from the log or from other replicas) and `RecordWriter` (versions and proposals).
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from functools import partial

import attrs

from hollowusher.configuration.model import Configuration
from hollowusher.messages import records
from hollowusher.messages.partition.active_messages import (
    PUBLIC_STATES,
    CallbackJob,
    LeaseGrant,
)
from hollowusher.messages.partition.callback_jobs import CallbackJobs
from hollowusher.messages.partition.message_deadlines import MessageDeadlines
from hollowusher.messages.partition.message_leases import LeaseOptions, MessageLeases
from hollowusher.messages.partition.message_lifecycle import MessageLifecycle
from hollowusher.messages.partition.message_queue import MessageQueue, Urgency
from hollowusher.messages.partition.message_restorer import MessageRestorer
from hollowusher.messages.partition.partition_context import PartitionContext
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.partition.queue_summary import QueueSummary, summarize_queue
from hollowusher.messages.partition.record_writer import RecordWriter
from hollowusher.messages.partition.service_routing import HomePartition, ServiceRouting
from hollowusher.messages.records import AcceptedMessage, LeaseId, MessageKey, MessageStatus
from hollowusher.protocol.leases import FinishLease, LeaseRequest, LeaseUpdateResponse
from hollowusher.protocol.messages import CALLBACK_PREFIX, MessageStatusResponse, NewMessage, PutResponse


@attrs.frozen
class PrimaryOptions:
    """Options of a new primary: the configuration, or None before this store has one, and lease settings.

    `home_partition` returns the partition whose primary enforces the rate limit of a service.
    """

    configuration: Configuration | None
    leases: LeaseOptions
    home_partition: HomePartition = lambda _service: None


class PartitionPrimary:
    """The queue and the leases of one partition during one or several consecutive epochs.

    Callers may read `queue` and `table`.  The owner empties `outbox` and `queue.newly_ready_services`.
    """

    def __init__(
        self, table: PartitionTable, epoch: int, options: PrimaryOptions, now: float, wall_ms: int
    ) -> None:
        self.table = table
        self.partition = table.partition
        self.queue = MessageQueue()
        numbers = itertools.count(1)
        writer = RecordWriter(table, epoch, wall_ms)
        deadlines = MessageDeadlines(numbers)
        routing = ServiceRouting(table.partition, options.home_partition)
        context = PartitionContext(table, writer, self.queue, deadlines, routing)
        callbacks = CallbackJobs(context, numbers)
        lifecycle = MessageLifecycle(context, callbacks)
        leases = MessageLeases(context, lifecycle, options.leases)
        self._writer = writer
        self._deadlines = deadlines
        self._routing = routing
        self._callbacks = callbacks
        self._lifecycle = lifecycle
        self._leases = leases
        self._restorer = MessageRestorer(context, lifecycle, leases, callbacks)
        if options.configuration is not None:
            self.configure(options.configuration, now, wall_ms)
        for key in sorted(table.entries):
            self.restore(key, now, wall_ms)

    # Records and their commit

    @property
    def epoch(self) -> int:
        """The epoch in the versions of new records."""
        return self._writer.epoch

    @epoch.setter
    def epoch(self, epoch: int) -> None:
        self._writer.epoch = epoch

    @property
    def outbox(self) -> list[Proposal]:
        """The proposals to replicate, oldest first; the owner removes them."""
        return self._writer.outbox

    @outbox.setter
    def outbox(self, proposals: list[Proposal]) -> None:
        self._writer.outbox = proposals

    def commit(self, proposal: Proposal, now: float, wall_ms: int) -> None:
        """Commit a proposal that a quorum has acknowledged."""
        self._writer.commit(proposal, now, wall_ms)

    def propose_confirmation(self, now: float) -> Proposal:
        """Propose an empty record, whose commit confirms that a quorum still follows this primary."""
        return self._writer.propose_confirmation(now)

    def uncommitted_proposal(self, key: MessageKey) -> Proposal | None:
        """Return the newest proposal of a message, or None if all its proposals are committed."""
        return self._writer.pending.get(key)

    def restore(self, key: MessageKey, now: float, wall_ms: int) -> None:
        """Restore a message after the table has received its records from the log or from another replica."""
        self._restorer.restore(key, now, wall_ms)

    def forget(self, keys: list[MessageKey]) -> None:
        """Remove messages that the table has dropped."""
        self._callbacks.forget(keys)
        self._lifecycle.forget(keys)

    # Accepting messages

    def put(self, message: NewMessage, now: float, wall_ms: int) -> Proposal | PutResponse:
        """Accept a message, unless a message with the same id is already stored.

        Returns
        -------
        The response, or a proposal; once the proposal is committed, the response is `stored`.
        """
        existing_key = self._lifecycle.keys_by_id.get(message.id)
        if existing_key is not None:
            uncommitted = self._writer.pending.get(existing_key)
            return uncommitted or PutResponse(
                "stored", records.format_reference(self.partition, existing_key)
            )
        key = self._writer.next_version()
        generation = message.generation or self._routing.generation
        accepted = AcceptedMessage(wall_ms, wall_ms + message.delay_ms, generation, message)
        proposal = self._writer.propose_put(key, accepted, now, wall_ms)
        active = self._lifecycle.activate(key, accepted, now + message.retention_ms / 1000)
        ready_at = now + message.delay_ms / 1000
        proposal.on_commit = partial(self._lifecycle.release, active, ready_at)
        return proposal

    # Leasing

    def lease(
        self, request: LeaseRequest, max_jobs: int, now: float, wall_ms: int, borrowed_tokens: int = 0
    ) -> list[LeaseGrant]:
        """Grant leases on up to `max_jobs` ready jobs of the service.

        `borrowed_tokens` permit that many leases where the primary of another partition enforces the rate
        limit of the service.
        """
        self.queue.advance(now)
        if request.service.startswith(CALLBACK_PREFIX):
            return self._callbacks.lease(request, max_jobs, now)
        return self._leases.lease(request, max_jobs, now, wall_ms, borrowed_tokens)

    def urgency(self, service: str) -> Urgency | None:
        """Return the urgency of the first ready job of a service, or None if there is none."""
        return self.queue.urgency(service)

    def must_borrow(self, service: str) -> bool:
        """Return whether leases of the service need tokens from the primary of another partition."""
        return self._routing.must_borrow_tokens(service)

    def jobs_without_tokens(self, service: str) -> int:
        """Return the number of ready jobs that need tokens from the primary of another partition."""
        return self.queue.ready_count(service) if self.must_borrow(service) else 0

    def take_tokens(self, service: str, most: int, now: float) -> int:
        """Remove up to `most` tokens from the rate limit of a service, for jobs of other partitions."""
        bucket = self._routing.bucket(service)
        if bucket is None:
            return 0
        taken = min(most, bucket.available(now))
        for _ in range(taken):
            bucket.consume()
        return taken

    def has_ready(self, service: str, now: float) -> bool:
        """Return whether a job of the service can be leased now."""
        if self.queue.peek(service) is None or not self._may_lease(service):
            return False
        bucket = self._routing.bucket(service)
        return bucket is None or bucket.available(now) >= 1

    def next_token_time(self, service: str, now: float) -> float | None:
        """Return when the rate limit allows the next lease, or None if the limit delays no ready job."""
        return None if self.queue.peek(service) is None else self.next_token_at(service, now)

    def next_token_at(self, service: str, now: float) -> float | None:
        """Return when the rate limit has the next token, or None if it has one now or there is no limit."""
        bucket = self._routing.bucket(service)
        if bucket is None or bucket.available(now) >= 1:
            return None
        return bucket.next_token_at(now)

    def finish(
        self, lease: LeaseId, finish: FinishLease, now: float, wall_ms: int
    ) -> Proposal | LeaseUpdateResponse:
        """Finish a lease with the result that its holder reports.

        Returns
        -------
        The response, or a proposal; once the proposal is committed, the response is `taken`.
        """
        if lease.is_callback:
            return self._callbacks.finish(lease, finish, now, wall_ms)
        return self._leases.finish(lease, finish, now, wall_ms)

    def is_grant_valid(self, grant: LeaseGrant) -> bool:
        """Return whether the lease of a grant is still current; it may expire before its record commits."""
        return self._leases.is_grant_valid(grant)

    def cancel_grant(self, grant: LeaseGrant, now: float, wall_ms: int) -> None:
        """Requeue the message of a lease that was not sent to its dispatcher."""
        self._leases.cancel_grant(grant, now, wall_ms)

    def extend(self, lease: LeaseId, now: float, wall_ms: int) -> Proposal | LeaseUpdateResponse:
        """Extend a pull lease.

        Returns
        -------
        The response, or a proposal; once the proposal is committed, the response is `taken`.
        """
        return self._leases.extend(lease, now, wall_ms)

    # Time

    def next_event_time(self) -> float | None:
        """Return when `advance` must be called next, or None if nothing is scheduled."""
        times = [
            self._deadlines.next_event_time(),
            self.queue.next_event_time(),
            self._restorer.retry_at,
        ]
        return min((time for time in times if time is not None), default=None)

    def advance(self, now: float, wall_ms: int) -> None:
        """Process all timers that are due: messages become ready, leases and retentions expire."""
        for message in self._deadlines.expire_leases(now):
            if isinstance(message, CallbackJob):
                self._callbacks.requeue(message, 0.0, now)
            else:
                self._leases.expire(message, now, wall_ms)
        self._restorer.retry_failed(now, wall_ms)
        self._lifecycle.end_expired(now, wall_ms)
        self.queue.advance(now)

    def postpone_leases(self, seconds: float) -> None:
        """Postpone the expiry of all leases by this many seconds after a pause of this process.

        Requests that lease holders sent during the pause may still be unread.
        """
        self._leases.postpone(seconds)
        self._callbacks.postpone_leases(seconds)

    def release_dispatchers(self, alive: Callable[[str, int], bool], now: float, wall_ms: int) -> None:
        """Requeue the jobs that are leased to dispatchers that are not alive, except those of pull leases."""
        self._leases.release_dispatchers(alive, now, wall_ms)
        self._callbacks.release_dispatchers(alive, now)

    def configure(self, configuration: Configuration, now: float, wall_ms: int) -> None:
        """Apply the rate limits, removed routes and changed services of a newer configuration."""
        self._routing.configure(configuration, now)
        self._lifecycle.apply_routing(now, wall_ms)
        self.queue.newly_ready_services.update(self.queue.ready_services())

    def _may_lease(self, service: str) -> bool:
        return service.startswith(CALLBACK_PREFIX) or self._routing.is_known(service)

    # Reading

    def queue_summary(self, now: float) -> QueueSummary:
        """Return the number of unfinished messages by stage."""
        active = self._lifecycle.active
        without_put = sum(
            entry.put_position is None and not entry.status.has_ended and key not in active
            for key, entry in self.table.entries.items()
        )
        return summarize_queue(self.queue, active.values(), without_put, now)

    def status(self, key: MessageKey, *, want_body: bool) -> MessageStatusResponse:
        """Return the state of a message; with `want_body` also the body, unless the message is completed."""
        entry = self.table.entries.get(key)
        if entry is None:
            return MessageStatusResponse("unknown")
        body = None
        if want_body and entry.status is not MessageStatus.COMPLETED:
            accepted = self.table.read_accepted(entry)
            body = None if accepted is None else accepted.message.body
        signature = entry.state.signature if entry.state is not None else ""
        return MessageStatusResponse(PUBLIC_STATES[entry.status], signature, body)
