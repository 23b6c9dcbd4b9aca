"""The queue of pending call-backs of one partition.

Each receiver (host and port) has a pseudo service, and its call-backs are jobs of that service.  A dispatcher
leases a call-back until the receiver has answered.  The leases of call-backs are not replicated, so after a
takeover the new primary sends the pending call-backs again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import attrs

from hollowusher.messages import records
from hollowusher.messages.partition.active_messages import (
    GONE,
    PUBLIC_STATES,
    START_WITHIN_MS,
    TAKEN,
    CallbackJob,
    LeaseGrant,
    callback_service_name,
)
from hollowusher.messages.partition.partition_context import PartitionContext
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import LeaseId, MessageKey, MessageState
from hollowusher.protocol.leases import FinishLease, LeasedJob, LeaseRequest, LeaseUpdateResponse
from hollowusher.protocol.messages import NewMessage

CALLBACK_LEASE_S = 12.0
CALLBACK_BACKOFF_MIN_S, CALLBACK_BACKOFF_MAX_S = 0.3, 3.0
MAX_BACKOFF_DOUBLINGS = 16


class CallbackJobs:
    """The pending call-backs of one partition and their leases, which only the primary stores."""

    def __init__(self, context: PartitionContext, lease_numbers: Iterator[int]) -> None:
        self._table = context.table
        self._writer = context.writer
        self._queue = context.queue
        self._deadlines = context.deadlines
        self._lease_numbers = lease_numbers
        self._jobs: dict[MessageKey, CallbackJob] = {}

    def add(self, key: MessageKey, state: MessageState, now: float) -> None:
        """Queue the call-back of a message that has ended, unless it is queued or its URL is invalid."""
        service = callback_service_name(state.callback_url)
        if key in self._jobs or not service:
            return
        callback = CallbackJob(
            key=key,
            service=service,
            priority=0,
            due_wall_ms=state.ended_wall_ms,
            id=state.id,
            callback_url=state.callback_url,
            status=state.status,
            signature=state.signature,
        )
        self._jobs[key] = callback
        self._queue.add(callback)
        self._queue.release(callback, now, now)

    def lease(self, request: LeaseRequest, max_jobs: int, now: float) -> list[LeaseGrant]:
        """Grant leases on up to `max_jobs` call-backs of the receiver."""
        grants: list[LeaseGrant] = []
        while len(grants) < max_jobs:
            callback = self._queue.lease_next(request.service)
            if callback is None:
                break
            assert isinstance(callback, CallbackJob)
            callback.lease = next(self._lease_numbers)
            callback.dispatcher, callback.incarnation = request.dispatcher, request.incarnation
            self._deadlines.schedule_lease_expiry(callback, now + CALLBACK_LEASE_S)
            grants.append(LeaseGrant(self._job(callback), None))
        return grants

    def finish(
        self, lease: LeaseId, finish: FinishLease, now: float, wall_ms: int
    ) -> Proposal | LeaseUpdateResponse:
        """Finish the lease of a call-back.

        Returns
        -------
        The response, or a proposal; once the proposal is committed, the response is `taken`.
        """
        entry = self._table.entries.get(lease.key)
        if entry is None or entry.state is None or not entry.state.callback_pending:
            return self._writer.pending.get(lease.key) or TAKEN
        if finish.result == "success":
            self._remove(lease.key, now)
            return self._record_delivered(lease.key, entry.state, now, wall_ms)
        callback = self._jobs.get(lease.key)
        if callback is None or callback.lease != lease.number:
            return GONE
        if finish.result != "not_run":
            callback.failures += 1
        doublings = min(max(callback.failures - 1, 0), MAX_BACKOFF_DOUBLINGS)
        wait_s = min(CALLBACK_BACKOFF_MAX_S, CALLBACK_BACKOFF_MIN_S * 2.0**doublings)
        self.requeue(callback, max(wait_s, finish.retry_ms / 1000), now)
        return TAKEN

    def requeue(self, callback: CallbackJob, wait_s: float, now: float) -> None:
        """Clear the lease of a call-back and make it ready again after `wait_s` seconds."""
        callback.lease = 0
        callback.expires_at = 0.0
        self._queue.release(callback, now + wait_s, now)

    def postpone_leases(self, seconds: float) -> None:
        """Extend all leases by this many seconds."""
        for callback in self._jobs.values():
            if callback.lease:
                callback.expires_at += seconds

    def release_dispatchers(self, alive: Callable[[str, int], bool], now: float) -> None:
        """Requeue the call-backs leased to dispatchers that are not alive."""
        for callback in self._jobs.values():
            if callback.lease and not alive(callback.dispatcher, callback.incarnation):
                self.requeue(callback, 0.0, now)

    def forget(self, keys: Iterable[MessageKey]) -> None:
        """Remove the call-backs of messages that the table has dropped."""
        for key in keys:
            callback = self._jobs.pop(key, None)
            if callback is not None:
                self._queue.remove(callback, 0.0)

    def _remove(self, key: MessageKey, now: float) -> None:
        callback = self._jobs.pop(key, None)
        if callback is not None:
            callback.lease = 0
            self._queue.remove(callback, now)

    def _record_delivered(self, key: MessageKey, state: MessageState, now: float, wall_ms: int) -> Proposal:
        version = self._writer.next_version()
        delivered = attrs.evolve(state, version=version, callback_pending=False, callback_url="")
        return self._writer.propose_state(key, delivered, now, wall_ms)

    def _job(self, callback: CallbackJob) -> LeasedJob:
        message = NewMessage(
            id=callback.id,
            route="",
            service=callback.service,
            method="POST",
            path="",
            host="",
            body=b"",
            callback_url=callback.callback_url,
        )
        lease = records.format_lease_id(self._table.partition, callback.key, callback.lease, is_callback=True)
        state_name = PUBLIC_STATES[callback.status]
        return LeasedJob(lease, message, callback.failures, START_WITHIN_MS, state_name, callback.signature)
