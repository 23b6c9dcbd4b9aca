"""Leases of messages at their primary: granted, extended, ended by their holder, run out."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from functools import partial

from hollowusher.messages import records
from hollowusher.messages.active import (
    GONE,
    RESULT_WEIGHT,
    START_WITHIN_MS,
    TAKEN,
    ActiveMessage,
    Grant,
    LeaseEnd,
    last_lease_of,
)
from hollowusher.messages.deadlines import Deadlines
from hollowusher.messages.lifecycle import STORAGE_RETRY_S, MessageLifecycle
from hollowusher.messages.proposal import Proposal
from hollowusher.messages.queue import MessageQueue, Stage
from hollowusher.messages.record_writer import RecordWriter
from hollowusher.messages.records import LeaseId, State, Status
from hollowusher.messages.routing import Routing
from hollowusher.messages.table import Entry, PartitionTable
from hollowusher.protocol.leases import Finish, Job, LeaseAnswer, LeaseRequest
from hollowusher.storage.interface import StorageError

PULL_GRACE_S = 0.3
PULL_HAND_OUT_S = 0.7  # beyond it: a job may reach its worker up to a second after it was leased
PUSH_GRACE_S = 4.0 + START_WITHIN_MS / 1000
FAILED_FIRST_S, FAILED_MOST_S = 0.1, 2.0
NOT_RUN_FIRST_S, NOT_RUN_MOST_S = 0.05, 1.0
UNKNOWN_S = 0.2
MOST_DOUBLINGS = 16


class MessageLeases:
    """The leases of one partition's messages."""

    def __init__(
        self,
        table: PartitionTable,
        writer: RecordWriter,
        queue: MessageQueue,
        deadlines: Deadlines,
        routing: Routing,
        lifecycle: MessageLifecycle,
        visibility_ms: int,
        chance: Callable[[], float],
    ) -> None:
        self._table = table
        self._writer = writer
        self._queue = queue
        self._deadlines = deadlines
        self._routing = routing
        self._lifecycle = lifecycle
        self._visibility_ms = visibility_ms
        self._chance = chance

    # Granting

    def lease(self, request: LeaseRequest, most: int, now: float, wall_ms: int) -> list[Grant]:
        """Up to `most` ready jobs of the service, as far as its ceiling goes."""
        bucket = self._routing.bucket(request.service)
        if bucket is not None:
            most = min(most, bucket.available(now))
        grants: list[Grant] = []
        while len(grants) < most:
            message = self._queue.take(request.service)
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
                bucket.take()
            grants.append(grant)
        return grants

    def holds(self, grant: Grant) -> bool:
        """Whether a grant still stands: its lease may have run out before it was committed."""
        lease = records.parse_lease_id(grant.job.lease)
        if lease is None or lease.callback:
            return True
        return self._holder(lease) is not None

    def give_back(self, grant: Grant, now: float, wall_ms: int) -> None:
        """A lease that never reached its dispatcher."""
        lease = records.parse_lease_id(grant.job.lease)
        active = self._holder(lease) if lease is not None else None
        if active is not None:
            self._requeue_unless_full(active, now, wall_ms)

    def adopt(self, active: ActiveMessage, entry: Entry, now: float) -> None:
        """Honour a lease that is known from its record alone."""
        state = entry.state
        assert state is not None
        if active.ending or active.lease == state.lease:
            return
        self._queue.lease(active)
        self._lifecycle.mark_leased(active, state.lease, now + self.lease_seconds(active, state))

    def lease_seconds(self, active: ActiveMessage, state: State) -> float:
        """How long a lease lasts."""
        if state.pull:
            visible_s = (state.visibility_ms or self._visibility_ms) / 1000
            return visible_s + PULL_GRACE_S + PULL_HAND_OUT_S
        return active.timeout_ms / 1000 + PUSH_GRACE_S

    # Words of their holders

    def finish(self, lease: LeaseId, finish: Finish, now: float, wall_ms: int) -> Proposal | LeaseAnswer:
        """The end of a lease.  A proposal means: `taken` once it is committed."""
        entry = self._table.entries.get(lease.key)
        if entry is None or finish.result not in RESULT_WEIGHT:
            return GONE
        end = LeaseEnd(lease.number, finish.result, finish.signature)
        if entry.state is not None and end.is_repeat(entry.state):
            return self._writer.pending.get(lease.key) or TAKEN
        active = self._lifecycle.active.get(lease.key)
        if active is None or active.ending or not self._may_end(active, entry, lease.number):
            return GONE
        return self._take_result(active, entry, end, finish.retry_ms / 1000, now, wall_ms)

    def extend(self, lease: LeaseId, now: float, wall_ms: int) -> Proposal | LeaseAnswer:
        """A pull worker needs longer."""
        active = self._lifecycle.active.get(lease.key)
        entry = self._table.entries.get(lease.key)
        if lease.callback or active is None or entry is None or active.ending:
            return GONE
        if active.lease == lease.number:
            visibility_ms = entry.state.visibility_ms if entry.state is not None else 0
            active.expires_at = now + (visibility_ms or self._visibility_ms) / 1000 + PULL_GRACE_S
            return TAKEN
        if lease.number == last_lease_of(entry) or not self._may_end(active, entry, lease.number):
            return GONE
        return self._restore(active, entry, lease.number, now, wall_ms)

    # Time and lost holders

    def run_out(self, active: ActiveMessage, now: float, wall_ms: int) -> None:
        """A message's lease has run out."""
        try:
            self._lifecycle.requeue(active, now, now, wall_ms)
        except StorageError:
            self._deadlines.watch_lease(active, now + STORAGE_RETRY_S)

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
                self._requeue_unless_full(active, now, wall_ms)

    # Steps

    def _holder(self, lease: LeaseId) -> ActiveMessage | None:
        """The message whose current lease this is."""
        active = self._lifecycle.leased.get(lease.key)
        return active if active is not None and active.lease == lease.number else None

    def _grant(self, active: ActiveMessage, request: LeaseRequest, now: float, wall_ms: int) -> Grant | None:
        put = self._table.put(self._table.entries[active.key])
        if put is None:  # cannot be: an active message has its PUT record
            self._queue.hold(active)
            return None
        state = self._writer.changed_state(active.key)
        state.status = Status.LEASED
        state.lease = state.version[1]
        state.dispatcher, state.incarnation = request.dispatcher, request.incarnation
        state.pull, state.visibility_ms = request.pull, request.visibility_ms
        lasts_s = self.lease_seconds(active, state)
        on_commit = partial(self._granted, active, state.lease, lasts_s)
        proposal = self._writer.propose_state(active.key, state, False, now, wall_ms, on_commit)
        self._lifecycle.mark_leased(active, state.lease, now + lasts_s)
        lease = records.lease_id_of(self._table.partition, active.key, state.lease)
        return Grant(Job(lease, put.message, state.attempts, START_WITHIN_MS), proposal)

    @staticmethod
    def _granted(active: ActiveMessage, lease: int, lasts_s: float, now: float, wall_ms: int) -> None:
        """A lease is committed and goes out now: it counts from here."""
        if active.lease == lease:
            active.expires_at = max(active.expires_at, now + lasts_s)

    @staticmethod
    def _may_end(active: ActiveMessage, entry: Entry, number: int) -> bool:
        """Whether this lease is the current one, or may stand for it: nobody has the message, and no later
        lease has ended.  Its record was lost, it ran out, or it was given back by mistake."""
        if active.lease:
            return active.lease == number
        return number >= last_lease_of(entry) and active.stage in (Stage.WAITING, Stage.READY)

    def _take_result(
        self,
        active: ActiveMessage,
        entry: Entry,
        end: LeaseEnd,
        least_wait_s: float,
        now: float,
        wall_ms: int,
    ) -> Proposal:
        if end.result == "success":
            return self._lifecycle.end(active, Status.COMPLETED, now, wall_ms, end)
        if end.result == "refused":
            return self._lifecycle.end(active, Status.DEAD_LETTER, now, wall_ms, end)
        attempts = entry.state.attempts if entry.state is not None else 0
        if end.result == "failed":
            attempts += 1
            if attempts >= active.max_attempts:
                return self._lifecycle.end(active, Status.DEAD_LETTER, now, wall_ms, end)
        wait_s = max(self._backoff(active, end.result, attempts), least_wait_s)
        return self._lifecycle.requeue(active, now + wait_s, now, wall_ms, end)

    def _backoff(self, active: ActiveMessage, result: str, attempts: int) -> float:
        jitter = 0.75 + 0.5 * self._chance()
        if result == "not_run":
            active.not_run += 1
            grown_s = NOT_RUN_FIRST_S * 1.5 ** min(active.not_run - 1, MOST_DOUBLINGS)
            return min(NOT_RUN_MOST_S, grown_s) * jitter
        active.not_run = 0
        if result == "failed":
            return min(FAILED_MOST_S, FAILED_FIRST_S * 2.0 ** min(attempts - 1, MOST_DOUBLINGS)) * jitter
        return UNKNOWN_S * jitter

    def _restore(
        self, active: ActiveMessage, entry: Entry, number: int, now: float, wall_ms: int
    ) -> Proposal:
        """Believe a pull worker that holds a lease whose record was lost."""
        state = self._writer.changed_state(active.key)
        state.status = Status.LEASED
        state.lease = number
        state.pull = True
        state.visibility_ms = self._visibility_ms
        proposal = self._writer.propose_state(active.key, state, False, now, wall_ms)
        self.adopt(active, entry, now)
        return proposal

    def _requeue_unless_full(self, active: ActiveMessage, now: float, wall_ms: int) -> None:
        """Give a message back; where the disk takes nothing now, its lease runs out."""
        with suppress(StorageError):
            self._lifecycle.requeue(active, now, now, wall_ms)
