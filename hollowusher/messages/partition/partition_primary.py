"""The primary of one partition: takes messages, hands out leases, takes their ends.

A pure state machine: the clocks (steady seconds, wall milliseconds) and randomness are passed in.  Every
change is a `Proposal` in `outbox`; the owner replicates it and calls `commit` once a quorum has it.

Its parts: `lifecycle` (messages until they end), `leases`, `callback_jobs`, `deadlines`, `routing` (the
configuration), `adoption` (records learnt from elsewhere) and `record_writer` (versions and proposals).
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from functools import partial

from hollowusher.configuration.model import Configuration
from hollowusher.messages import records
from hollowusher.messages.partition.active_messages import (
    PUBLIC_STATES,
    CallbackJob,
    LeaseGrant,
)
from hollowusher.messages.partition.callback_jobs import CallbackJobs
from hollowusher.messages.partition.message_deadlines import MessageDeadlines
from hollowusher.messages.partition.message_leases import MessageLeases
from hollowusher.messages.partition.message_lifecycle import MessageLifecycle
from hollowusher.messages.partition.message_queue import MessageQueue
from hollowusher.messages.partition.message_restorer import MessageRestorer
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.partition.record_writer import RecordWriter
from hollowusher.messages.partition.service_routing import ServiceRouting
from hollowusher.messages.records import AcceptedMessage, LeaseId, MessageKey, MessageStatus
from hollowusher.protocol.leases import FinishLease, LeaseRequest, LeaseUpdateResponse
from hollowusher.protocol.messages import CALLBACK_PREFIX, MessageStatusResponse, NewMessage, PutResponse


class PartitionPrimary:
    """The queue and the leases of one partition, for one epoch or several in a row."""

    def __init__(
        self,
        table: PartitionTable,
        epoch: int,
        configuration: Configuration | None,
        visibility_ms: int,
        random_source: Callable[[], float],
        now: float,
        wall_ms: int,
    ) -> None:
        self.table = table
        self.partition = table.partition
        self.queue = MessageQueue()
        numbers = itertools.count(1)
        writer = RecordWriter(table, epoch, wall_ms)
        deadlines = MessageDeadlines(numbers)
        routing = ServiceRouting()
        callbacks = CallbackJobs(table, writer, self.queue, deadlines, numbers)
        lifecycle = MessageLifecycle(table, writer, self.queue, deadlines, routing, callbacks)
        leases = MessageLeases(
            table, writer, self.queue, deadlines, routing, lifecycle, visibility_ms, random_source
        )
        self._writer = writer
        self._deadlines = deadlines
        self._routing = routing
        self._callbacks = callbacks
        self._lifecycle = lifecycle
        self._leases = leases
        self._restorer = MessageRestorer(table, writer, lifecycle, leases, callbacks)
        if configuration is not None:
            self.configure(configuration, now, wall_ms)
        for key in sorted(table.entries):
            self.restore(key, now, wall_ms)

    # Records and their commit

    @property
    def epoch(self) -> int:
        """The epoch that new records carry."""
        return self._writer.epoch

    @epoch.setter
    def epoch(self, epoch: int) -> None:
        self._writer.epoch = epoch

    @property
    def outbox(self) -> list[Proposal]:
        """Proposals to replicate, in the order they were made; the owner takes them out."""
        return self._writer.outbox

    @outbox.setter
    def outbox(self, proposals: list[Proposal]) -> None:
        self._writer.outbox = proposals

    def commit(self, proposal: Proposal, now: float, wall_ms: int) -> None:
        """A quorum has the record."""
        self._writer.commit(proposal, now, wall_ms)

    def propose_confirmation(self, now: float) -> Proposal:
        """A proposal without a record: its commit shows that a quorum still follows this primary."""
        return self._writer.propose_confirmation(now)

    def uncommitted_proposal(self, key: MessageKey) -> Proposal | None:
        """The newest record of a message, where no quorum has it yet."""
        return self._writer.pending.get(key)

    def restore(self, key: MessageKey, now: float, wall_ms: int) -> None:
        """Take up a message whose records were learnt from another replica or from the log."""
        self._restorer.restore(key, now, wall_ms)

    def forget(self, keys: list[MessageKey]) -> None:
        """The table has dropped these messages."""
        self._callbacks.forget(keys)
        self._lifecycle.forget(keys)

    # Putting

    def put(self, message: NewMessage, now: float, wall_ms: int) -> Proposal | PutResponse:
        """Keep a message; the same id once.  A proposal is returned while it is not committed."""
        known = self._lifecycle.keys_by_id.get(message.id)
        if known is not None:
            waiting = self._writer.pending.get(known)
            return waiting or PutResponse("stored", records.format_reference(self.partition, known))
        key = self._writer.next_version()
        generation = message.generation or self._routing.generation
        put = AcceptedMessage(wall_ms, wall_ms + message.delay_ms, generation, message)
        proposal = self._writer.propose_put(key, put, now, wall_ms)
        active = self._lifecycle.activate(key, put, now + message.retention_ms / 1000)
        ready_at = now + message.delay_ms / 1000
        proposal.on_commit = partial(self._lifecycle.release, active, ready_at)
        return proposal

    # Leasing

    def lease(self, request: LeaseRequest, most: int, now: float, wall_ms: int) -> list[LeaseGrant]:
        """Up to `most` ready jobs of the service."""
        self.queue.advance(now)
        if request.service.startswith(CALLBACK_PREFIX):
            return self._callbacks.lease(request, most, now)
        return self._leases.lease(request, most, now, wall_ms)

    def has_ready(self, service: str, now: float) -> bool:
        """Whether a job of the service could be leased now."""
        if self.queue.peek(service) is None:
            return False
        bucket = self._routing.bucket(service)
        return bucket is None or bucket.available(now) >= 1

    def next_token_time(self, service: str, now: float) -> float | None:
        """When the ceiling lets the next ready job of the service go, None where it holds none back."""
        bucket = self._routing.bucket(service)
        if bucket is None or self.queue.peek(service) is None or bucket.available(now) >= 1:
            return None
        return bucket.next_token_at(now)

    def finish(
        self, lease: LeaseId, finish: FinishLease, now: float, wall_ms: int
    ) -> Proposal | LeaseUpdateResponse:
        """The end of a lease.  A proposal means: `taken` once it is committed."""
        if lease.is_callback:
            return self._callbacks.finish(lease, finish, now, wall_ms)
        return self._leases.finish(lease, finish, now, wall_ms)

    def is_grant_valid(self, grant: LeaseGrant) -> bool:
        """Whether a grant still stands: its lease may have run out before it was committed."""
        return self._leases.is_grant_valid(grant)

    def cancel_grant(self, grant: LeaseGrant, now: float, wall_ms: int) -> None:
        """A lease that never reached its dispatcher."""
        self._leases.cancel_grant(grant, now, wall_ms)

    def extend(self, lease: LeaseId, now: float, wall_ms: int) -> Proposal | LeaseUpdateResponse:
        """A pull worker needs longer."""
        return self._leases.extend(lease, now, wall_ms)

    # Time

    def next_event_time(self) -> float | None:
        """When `advance` has something to do next."""
        times = [self._deadlines.next_event_time(), self.queue.next_event_time()]
        return min((time for time in times if time is not None), default=None)

    def advance(self, now: float, wall_ms: int) -> None:
        """Let time pass: messages fall due, leases and retentions run out."""
        for message in self._deadlines.expire_leases(now):
            if isinstance(message, CallbackJob):
                self._callbacks.requeue(message, 0.0, now)
            else:
                self._leases.run_out(message, now, wall_ms)
        self._lifecycle.end_expired(now, wall_ms)
        self.queue.advance(now)

    def postpone_leases(self, seconds: float) -> None:
        """This process did not run for a while: words of lease holders may lie unread."""
        self._leases.postpone(seconds)
        self._callbacks.postpone_leases(seconds)

    def release_dispatchers(self, alive: Callable[[str, int], bool], now: float, wall_ms: int) -> None:
        """Requeue the push leases of dispatchers that are gone."""
        self._leases.release_dispatchers(alive, now, wall_ms)
        self._callbacks.release_dispatchers(alive, now)

    def configure(self, configuration: Configuration, now: float, wall_ms: int) -> None:
        """A newer configuration: ceilings, dropped routes, routes that go to another service."""
        self._routing.configure(configuration, now)
        self._lifecycle.apply_routing(now, wall_ms)

    # Reading

    def status(self, key: MessageKey, want_body: bool) -> MessageStatusResponse:
        """Where a message stands, with its body if wanted and if it has not been completed."""
        entry = self.table.entries.get(key)
        if entry is None:
            return MessageStatusResponse("unknown")
        body = None
        if want_body and entry.status is not MessageStatus.COMPLETED:
            put = self.table.read_accepted(entry)
            body = None if put is None else put.message.body
        signature = entry.state.signature if entry.state is not None else ""
        return MessageStatusResponse(PUBLIC_STATES[entry.status], signature, body)

    def waiting_services(self) -> list[str]:
        """The services with ready jobs, ceilings aside."""
        return self.queue.ready_services()
