"""The primary of one partition: takes messages, hands out leases, takes their ends.

A pure state machine: the clocks (steady seconds, wall milliseconds) and randomness are passed in.  Every
change is a `Proposal` in `outbox`; the owner replicates it and calls `commit` once a quorum has it.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import NamedTuple
from urllib.parse import urlsplit

import attrs

from hollowusher.configuration.model import Configuration
from hollowusher.messages import records
from hollowusher.messages.proposal import NO_KEY, Proposal
from hollowusher.messages.queue import NO_AIM, MessageQueue, QueuedMessage, Stage, TokenBucket
from hollowusher.messages.records import Key, LeaseId, Put, State, Status
from hollowusher.messages.table import Entry, PartitionTable
from hollowusher.protocol.store import (
    CALLBACK_PREFIX,
    Finish,
    Job,
    LeaseAnswer,
    LeaseRequest,
    NewMessage,
    PutAnswer,
    StatusAnswer,
)
from hollowusher.storage.interface import StorageError

START_WITHIN_MS = 500
PULL_GRACE_S = 0.3
PUSH_GRACE_S = 4.0 + START_WITHIN_MS / 1000
CALLBACK_LEASE_S = 12.0
RETENTION_MARGIN_S = 5.0  # wall clocks of machines differ: never too early after a takeover
FAILED_FIRST_S, FAILED_MOST_S = 0.1, 2.0
NOT_RUN_FIRST_S, NOT_RUN_MOST_S = 0.05, 1.0
UNKNOWN_S = 0.2
STORAGE_RETRY_S = 1.0  # when the disk took no record
CALLBACK_FIRST_S, CALLBACK_MOST_S = 0.3, 3.0
MOST_DOUBLINGS = 16

TAKEN = LeaseAnswer("taken")
GONE = LeaseAnswer("gone")
RESULT_WEIGHT = {"not_run": 0, "unknown": 0, "failed": 1, "refused": 2, "success": 2}
STATE_NAMES = {
    Status.QUEUED: "queued",
    Status.LEASED: "queued",
    Status.COMPLETED: "completed",
    Status.DEAD_LETTER: "dead_letter",
}


@attrs.define(slots=True, eq=False, kw_only=True)
class Leasable(QueuedMessage):
    """What the queue hands out."""

    lease: int = 0  # number of the current lease, 0: none
    expires_at: float = 0.0  # steady clock


@attrs.define(slots=True, eq=False, kw_only=True)
class ActiveMessage(Leasable):
    """A message that has not ended, at its primary."""

    id: str
    route: str
    generation: int
    max_attempts: int
    timeout_ms: int
    callback_url: str
    retained_until: float  # steady clock
    not_run: int = 0  # times in a row that it was given back unrun
    ending: bool = False


@attrs.define(slots=True, eq=False, kw_only=True)
class CallbackJob(Leasable):
    """A call-back that is owed."""

    id: str
    callback_url: str
    status: Status
    signature: str
    dispatcher: str = ""
    incarnation: int = 0
    failures: int = 0


class Grant(NamedTuple):
    """One leased job; it may be handed out once its proposal (None: at once) has been committed."""

    job: Job
    proposal: Proposal | None


class LeaseEnd(NamedTuple):
    """What the holder of a lease reported."""

    lease: int
    result: str
    signature: str

    def is_repeat(self, state: State) -> bool:
        """Whether the message's state holds this end already, or one of the same lease that says more."""
        if state.last_lease != self.lease:
            return False
        says_less = not state.status.ended and RESULT_WEIGHT[self.result] < RESULT_WEIGHT[state.last_result]
        return state.last_result == self.result or says_less

    def enter(self, state: State) -> None:
        """Write the end into the message's state."""
        state.last_lease = self.lease
        state.last_result = self.result
        state.attempts += self.result == "failed"
        if state.status is Status.COMPLETED:
            state.signature = self.signature


class _Expiry(NamedTuple):
    expires_at: float
    number: int
    message: ActiveMessage | CallbackJob
    lease: int


class _Retention(NamedTuple):
    until: float
    number: int
    message: ActiveMessage


def last_lease_of(entry: Entry) -> int:
    """The number of the lease that finished last, 0: none has."""
    return entry.state.last_lease if entry.state is not None else 0


def _start_aim_s(message: NewMessage) -> float:
    """How soon a message is to begin, without end where its route does not say."""
    return message.target_start_ms / 1000 if message.target_start_ms > 0 else NO_AIM


def callback_service(url: str) -> str:
    """The pseudo service of a call-back address, empty where the URL has no host."""
    try:
        parts = urlsplit(url)
        port = parts.port or 80
    except ValueError:
        return ""
    return f"{CALLBACK_PREFIX}{parts.hostname}:{port}" if parts.hostname else ""


class PartitionPrimary:
    """The queue and the leases of one partition, for one epoch or several in a row."""

    def __init__(
        self,
        table: PartitionTable,
        epoch: int,
        configuration: Configuration | None,
        visibility_ms: int,
        chance: Callable[[], float],
        now: float,
        wall_ms: int,
    ) -> None:
        self.table = table
        self.partition = table.partition
        self.epoch = epoch
        self.outbox: list[Proposal] = []
        self.pending: dict[Key, Proposal] = {}  # the newest uncommitted proposal of each message
        self.queue = MessageQueue()
        self._configuration: Configuration | None = None
        self._routes: frozenset[str] = frozenset()
        self._upstreams: dict[str, str] = {}
        self._services: frozenset[str] = frozenset()
        self._buckets: dict[str, TokenBucket] = {}
        self._visibility_ms = visibility_ms
        self._chance = chance
        self._sequence = max(table.greatest_sequence, wall_ms * 1000)
        self._numbers = itertools.count(1)
        self._active: dict[Key, ActiveMessage] = {}
        self._leased: dict[Key, ActiveMessage] = {}
        self._callbacks: dict[Key, CallbackJob] = {}
        self._ids: dict[str, Key] = {}
        self._expiries: list[_Expiry] = []
        self._retentions: list[_Retention] = []
        if configuration is not None:
            self.configure(configuration, now, wall_ms)
        for key in sorted(table.entries):
            self.adopt(key, now, wall_ms)

    # Putting

    def put(self, message: NewMessage, now: float, wall_ms: int) -> Proposal | PutAnswer:
        """Keep a message; the same id once.  A proposal is returned while it is not committed."""
        known = self._ids.get(message.id)
        if known is not None:
            waiting = self.pending.get(known)
            return waiting or PutAnswer("stored", records.reference_of(self.partition, known))
        key = self._next_version()
        generation = message.generation or (self._configuration.generation if self._configuration else 0)
        put = Put(wall_ms, wall_ms + message.delay_ms, generation, message)
        record = records.pack_put(self.partition, key, put)
        self.table.apply(record, wall_ms)
        active = self._activate(key, put, now + message.retention_ms / 1000)
        ready_at = now + message.delay_ms / 1000
        return self._propose(key, record, True, now, partial(self._release, active, ready_at))

    # Leasing

    def lease(self, request: LeaseRequest, most: int, now: float, wall_ms: int) -> list[Grant]:
        """Up to `most` ready jobs of the service."""
        service = request.service
        self.queue.advance(now)
        if service.startswith(CALLBACK_PREFIX):
            return self._lease_callbacks(request, most, now)
        bucket = self._buckets.get(service)
        if bucket is not None:
            most = min(most, bucket.available(now))
        grants: list[Grant] = []
        while len(grants) < most:
            message = self.queue.take(service)
            if message is None:
                break
            assert isinstance(message, ActiveMessage)
            try:
                grant = self._grant(message, request, now, wall_ms)
            except StorageError:
                self.queue.release(message, now + STORAGE_RETRY_S, now)
                break
            if grant is None:
                continue
            if bucket is not None:
                bucket.take()
            grants.append(grant)
        return grants

    def has_ready(self, service: str, now: float) -> bool:
        """Whether a job of the service could be leased now."""
        if self.queue.first(service) is None:
            return False
        bucket = self._buckets.get(service)
        return bucket is None or bucket.available(now) >= 1

    def next_token_time(self, service: str, now: float) -> float | None:
        """When the ceiling lets the next ready job of the service go, None where it holds none back."""
        bucket = self._buckets.get(service)
        if bucket is None or self.queue.first(service) is None or bucket.available(now) >= 1:
            return None
        return bucket.next_time(now)

    def finish(self, lease: LeaseId, finish: Finish, now: float, wall_ms: int) -> Proposal | LeaseAnswer:
        """The end of a lease.  A proposal means: `taken` once it is committed."""
        if lease.callback:
            return self._finish_callback(lease, finish, now, wall_ms)
        entry = self.table.entries.get(lease.key)
        if entry is None or finish.result not in RESULT_WEIGHT:
            return GONE
        end = LeaseEnd(lease.number, finish.result, finish.signature)
        if entry.state is not None and end.is_repeat(entry.state):
            return self.pending.get(lease.key) or TAKEN
        active = self._active.get(lease.key)
        if active is None or active.ending or not self._may_end(active, entry, lease.number):
            return GONE
        return self._take_result(active, entry, end, finish.retry_ms / 1000, now, wall_ms)

    def holds(self, grant: Grant) -> bool:
        """Whether a grant still stands: its lease may have run out before it was committed."""
        lease = records.parse_lease_id(grant.job.lease)
        if lease is None or lease.callback:
            return True
        active = self._leased.get(lease.key)
        return active is not None and active.lease == lease.number

    def give_back(self, grant: Grant, now: float, wall_ms: int) -> None:
        """A lease that never reached its dispatcher."""
        lease = records.parse_lease_id(grant.job.lease)
        active = self._leased.get(lease.key) if lease is not None else None
        if active is not None and lease is not None and active.lease == lease.number:
            with suppress(StorageError):  # then the lease runs out
                self._requeue(active, now, now, wall_ms)

    def extend(self, lease: LeaseId, now: float, wall_ms: int) -> Proposal | LeaseAnswer:
        """A pull worker needs longer."""
        active = self._active.get(lease.key)
        entry = self.table.entries.get(lease.key)
        if lease.callback or active is None or entry is None or active.ending:
            return GONE
        if active.lease == lease.number:
            visibility_ms = entry.state.visibility_ms if entry.state is not None else 0
            active.expires_at = now + (visibility_ms or self._visibility_ms) / 1000 + PULL_GRACE_S
            return TAKEN
        if lease.number == last_lease_of(entry) or not self._may_end(active, entry, lease.number):
            return GONE
        return self._adopt_lease(active, entry, lease.number, now, wall_ms)

    # Time

    def next_time(self) -> float | None:
        """When `advance` has something to do next."""
        times = [heap[0][0] for heap in (self._expiries, self._retentions) if heap]
        due = self.queue.next_time()
        if due is not None:
            times.append(due)
        return min(times, default=None)

    def advance(self, now: float, wall_ms: int) -> None:
        """Let time pass: messages fall due, leases and retentions run out."""
        while self._expiries and self._expiries[0].expires_at <= now:
            self._expire(heapq.heappop(self._expiries), now, wall_ms)
        while self._retentions and self._retentions[0].until <= now:
            message = heapq.heappop(self._retentions).message
            if message.stage in (Stage.WAITING, Stage.READY):
                self._end_unless_full(message, now, wall_ms)
        self.queue.advance(now)

    def postpone_leases(self, seconds: float) -> None:
        """This process did not run for a while: words of lease holders may lie unread."""
        leasables: list[Leasable] = [*self._leased.values(), *self._callbacks.values()]
        for leased in leasables:
            if leased.lease:
                leased.expires_at += seconds

    def release_dispatchers(self, alive: Callable[[str, int], bool], now: float, wall_ms: int) -> None:
        """Requeue the push leases of dispatchers that are gone."""
        for active in list(self._leased.values()):
            state = self.table.entries[active.key].state
            if state is not None and not state.pull and not alive(state.dispatcher, state.incarnation):
                with suppress(StorageError):  # then the lease runs out
                    self._requeue(active, now, now, wall_ms)
        for callback in self._callbacks.values():
            if callback.lease and not alive(callback.dispatcher, callback.incarnation):
                self._requeue_callback(callback, 0.0, now)

    def configure(self, configuration: Configuration, now: float, wall_ms: int) -> None:
        """A newer configuration: ceilings, dropped routes, routes that go to another service."""
        self._configuration = configuration
        self._routes = frozenset(route.name for route in configuration.routes)
        self._upstreams = {route.name: route.upstream for route in configuration.routes}
        self._services = frozenset(service.name for service in configuration.upstreams)
        rates = {
            service.name: service.rate_per_s for service in configuration.upstreams if service.rate_per_s > 0
        }
        for service in [name for name in self._buckets if name not in rates]:
            del self._buckets[service]
        for service, rate in rates.items():
            bucket = self._buckets.get(service)
            if bucket is None:
                self._buckets[service] = TokenBucket(rate, now)
            elif bucket.rate != rate * TokenBucket.RATE_SHARE:
                bucket.change_rate(rate, now)
        for active in list(self._active.values()):
            if active.stage not in (Stage.WAITING, Stage.READY):
                continue
            if self._dropped(active):
                self._end_unless_full(active, now, wall_ms)
            elif self._service_for(active.route, active.service) != active.service:
                self._change_service(active, active.ready_at, now)

    # Commit and adoption

    def commit(self, proposal: Proposal, now: float, wall_ms: int) -> None:
        """A quorum has the record."""
        proposal.committed = True
        if self.pending.get(proposal.key) is proposal:
            del self.pending[proposal.key]
        if proposal.on_commit is not None:
            proposal.on_commit(now, wall_ms)
        proposal.answer(True)

    def confirmation(self, now: float) -> Proposal:
        """A proposal without a record: its commit shows that a quorum still follows this primary."""
        proposal = Proposal(NO_KEY, b"", False, now)
        self.outbox.append(proposal)
        return proposal

    def adopt(self, key: Key, now: float, wall_ms: int) -> None:
        """Take up a message whose records were learnt from another replica or from the log."""
        entry = self.table.entries.get(key)
        if entry is None:
            return
        if entry.status.ended:
            self._adopt_ended(entry, now)
            return
        put = self.table.put(entry) if key not in self._active else None
        if put is not None:
            if self._is_duplicate(key, put.message.id, now, wall_ms):
                return
            left_s = (put.accepted_ms + put.message.retention_ms - wall_ms) / 1000
            self._activate(key, put, now + left_s + RETENTION_MARGIN_S)
        active = self._active.get(key)
        if active is None:
            return
        if entry.status is Status.LEASED:
            self._adopt_leased(active, entry, now)
        elif active.stage in (Stage.HELD, Stage.LEASED) and not active.ending:
            self._clear_lease(active)
            self._release(active, now + max(0, active.due_ms - wall_ms) / 1000, now, wall_ms)

    def forgotten(self, keys: list[Key]) -> None:
        """The table has dropped these messages."""
        dropped = set(keys)
        for key in keys:
            callback = self._callbacks.pop(key, None)
            if callback is not None:
                self.queue.remove(callback, 0.0)
        self._ids = {known: key for known, key in self._ids.items() if key not in dropped}

    # Reading

    def status(self, key: Key, want_body: bool) -> StatusAnswer:
        """Where a message stands, with its body if wanted and if it has not been completed."""
        entry = self.table.entries.get(key)
        if entry is None:
            return StatusAnswer("unknown")
        body = None
        if want_body and entry.status is not Status.COMPLETED:
            put = self.table.put(entry)
            body = None if put is None else put.message.body
        signature = entry.state.signature if entry.state is not None else ""
        return StatusAnswer(STATE_NAMES[entry.status], signature, body)

    def waiting_services(self) -> list[str]:
        """The services with ready jobs, ceilings aside."""
        return self.queue.ready_services()

    # Steps of a message

    def _next_version(self) -> records.Version:
        self._sequence += 1
        return self.epoch, self._sequence

    def _propose(
        self,
        key: Key,
        record: bytes,
        durable: bool,
        now: float,
        on_commit: Callable[[float, int], None] | None = None,
    ) -> Proposal:
        proposal = Proposal(key, record, durable, now, on_commit)
        self.pending[key] = proposal
        self.outbox.append(proposal)
        return proposal

    def _propose_state(
        self,
        key: Key,
        state: State,
        durable: bool,
        now: float,
        wall_ms: int,
        on_commit: Callable[[float, int], None] | None = None,
    ) -> Proposal:
        record = records.pack_state(self.partition, key, state)
        self.table.apply(record, wall_ms)
        return self._propose(key, record, durable, now, on_commit)

    def _changed_state(self, key: Key) -> State:
        """A copy of a message's state with a new version, without a lease."""
        state = self.table.entries[key].state
        version = self._next_version()
        if state is None:
            return State(version)
        return attrs.evolve(
            state,
            version=version,
            status=Status.QUEUED,
            lease=0,
            dispatcher="",
            incarnation=0,
            pull=False,
            visibility_ms=0,
        )

    def _activate(self, key: Key, put: Put, retained_until: float) -> ActiveMessage:
        message = put.message
        active = ActiveMessage(
            key=key,
            service=self._service_for(message.route, message.service),
            priority=message.priority,
            due_ms=put.due_ms,
            ordering_key=message.ordering_key,
            start_aim_s=_start_aim_s(message),
            id=message.id,
            route=message.route,
            generation=put.generation,
            max_attempts=message.max_attempts,
            timeout_ms=message.timeout_ms,
            callback_url=message.callback_url,
            retained_until=retained_until,
        )
        self._active[key] = active
        self._ids[message.id] = key
        self.queue.add(active)
        if message.retention_ms > 0:
            heapq.heappush(self._retentions, _Retention(retained_until, next(self._numbers), active))
        else:
            active.retained_until = float("inf")
        return active

    def _release(self, active: ActiveMessage, ready_at: float, now: float, wall_ms: int) -> None:
        """Let a message leave from `ready_at` on, unless it has ended meanwhile."""
        if active.stage not in (Stage.HELD, Stage.LEASED) or active.ending:
            return
        if active.retained_until <= now or self._dropped(active):
            self._end_unless_full(active, now, wall_ms)
        elif self._service_for(active.route, active.service) != active.service:
            self._change_service(active, ready_at, now)
        else:
            self.queue.release(active, ready_at, now)

    def _grant(self, active: ActiveMessage, request: LeaseRequest, now: float, wall_ms: int) -> Grant | None:
        put = self.table.put(self.table.entries[active.key])
        if put is None:  # cannot be: an active message has its PUT record
            self.queue.hold(active)
            return None
        state = self._changed_state(active.key)
        state.status = Status.LEASED
        state.lease = state.version[1]
        state.dispatcher, state.incarnation = request.dispatcher, request.incarnation
        state.pull, state.visibility_ms = request.pull, request.visibility_ms
        lasts_s = self._lease_seconds(active, state)
        proposal = self._propose_state(
            active.key, state, False, now, wall_ms, partial(self._granted, active, state.lease, lasts_s)
        )
        active.lease = state.lease
        self._leased[active.key] = active
        self._start_expiry(active, now + lasts_s)
        lease = records.lease_id_of(self.partition, active.key, state.lease)
        return Grant(Job(lease, put.message, state.attempts, START_WITHIN_MS), proposal)

    @staticmethod
    def _granted(active: ActiveMessage, lease: int, lasts_s: float, now: float, wall_ms: int) -> None:
        """A lease is committed and goes out now: it counts from here."""
        if active.lease == lease:
            active.expires_at = max(active.expires_at, now + lasts_s)

    def _lease_seconds(self, active: ActiveMessage, state: State) -> float:
        if state.pull:
            return (state.visibility_ms or self._visibility_ms) / 1000 + PULL_GRACE_S
        return active.timeout_ms / 1000 + PUSH_GRACE_S

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
            return self._end(active, Status.COMPLETED, now, wall_ms, end)
        if end.result == "refused":
            return self._end(active, Status.DEAD_LETTER, now, wall_ms, end)
        attempts = entry.state.attempts if entry.state is not None else 0
        if end.result == "failed":
            attempts += 1
            if attempts >= active.max_attempts:
                return self._end(active, Status.DEAD_LETTER, now, wall_ms, end)
        wait_s = max(self._backoff(active, end.result, attempts), least_wait_s)
        return self._requeue(active, now + wait_s, now, wall_ms, end)

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

    def _requeue(
        self, active: ActiveMessage, ready_at: float, now: float, wall_ms: int, end: LeaseEnd | None = None
    ) -> Proposal:
        state = self._changed_state(active.key)
        if end is not None:
            end.enter(state)
        proposal = self._propose_state(active.key, state, False, now, wall_ms)
        self._clear_lease(active)
        if active.stage is not Stage.LEASED:
            self.queue.hold(active)
        self._release(active, ready_at, now, wall_ms)
        return self.pending.get(active.key, proposal)

    def _end(
        self, active: ActiveMessage, status: Status, now: float, wall_ms: int, end: LeaseEnd | None = None
    ) -> Proposal:
        state = self._changed_state(active.key)
        state.status = status
        if end is not None:
            end.enter(state)
        state.ended_ms = wall_ms
        state.id = active.id
        state.callback_owed = bool(callback_service(active.callback_url)) if active.callback_url else False
        state.callback_url = active.callback_url if state.callback_owed else ""
        proposal = self._propose_state(active.key, state, True, now, wall_ms, partial(self._ended, active))
        self._clear_lease(active)
        active.ending = True
        if active.stage is not Stage.LEASED:
            self.queue.hold(active)
        return proposal

    def _end_unless_full(self, active: ActiveMessage, now: float, wall_ms: int) -> None:
        """End a message whose time is up or whose route is gone; later, where the disk takes nothing now."""
        try:
            self._end(active, Status.DEAD_LETTER, now, wall_ms)
        except StorageError:
            self.queue.hold(active)
            retry = _Retention(now + STORAGE_RETRY_S, next(self._numbers), active)
            active.retained_until = now
            heapq.heappush(self._retentions, retry)
            self.queue.release(active, now + 2 * STORAGE_RETRY_S, now)

    def _ended(self, active: ActiveMessage, now: float, wall_ms: int) -> None:
        """The end of a message is committed."""
        self._active.pop(active.key, None)
        self.queue.remove(active, now)
        entry = self.table.entries.get(active.key)
        if entry is not None and entry.state is not None and entry.state.callback_owed:
            self._add_callback(entry.key, entry.state, now)

    def _clear_lease(self, active: ActiveMessage) -> None:
        active.lease = 0
        active.expires_at = 0.0
        self._leased.pop(active.key, None)

    def _start_expiry(self, message: ActiveMessage | CallbackJob, expires_at: float) -> None:
        """Watch a new lease.  It keeps one heap entry; a later time is found when that one fires."""
        message.expires_at = expires_at
        heapq.heappush(self._expiries, _Expiry(expires_at, next(self._numbers), message, message.lease))

    def _expire(self, expiry: _Expiry, now: float, wall_ms: int) -> None:
        message = expiry.message
        if message.lease != expiry.lease:
            return
        if message.expires_at > now:
            later = _Expiry(message.expires_at, next(self._numbers), message, message.lease)
            heapq.heappush(self._expiries, later)
        elif isinstance(message, CallbackJob):
            self._requeue_callback(message, 0.0, now)
        else:
            try:
                self._requeue(message, now, now, wall_ms)
            except StorageError:
                message.expires_at = now + STORAGE_RETRY_S
                self._start_expiry(message, message.expires_at)

    def _dropped(self, active: ActiveMessage) -> bool:
        """Whether a configuration newer than the one that accepted the message has no such route."""
        configuration = self._configuration
        return (
            configuration is not None
            and configuration.generation > active.generation
            and active.route not in self._routes
        )

    def _service_for(self, route: str, service: str) -> str:
        """The service of a message: as accepted, or the route's present one where that is gone."""
        return service if service in self._services else self._upstreams.get(route, service)

    def _change_service(self, active: ActiveMessage, ready_at: float, now: float) -> None:
        self.queue.remove(active, now)
        active.service = self._service_for(active.route, active.service)
        active.stage = Stage.HELD
        self.queue.add(active)
        self.queue.release(active, ready_at, now)

    # Learning from records

    def _adopt_ended(self, entry: Entry, now: float) -> None:
        state = entry.state
        assert state is not None
        if state.id:
            self._ids.setdefault(state.id, entry.key)
        active = self._active.get(entry.key)
        if active is not None and not active.ending:
            del self._active[entry.key]
            self._clear_lease(active)
            self.queue.remove(active, now)
        if state.callback_owed and (active is None or not active.ending):
            self._add_callback(entry.key, state, now)

    def _adopt_leased(self, active: ActiveMessage, entry: Entry, now: float) -> None:
        state = entry.state
        assert state is not None
        if active.ending or active.lease == state.lease:
            return
        self.queue.lease(active)
        active.lease = state.lease
        self._leased[active.key] = active
        self._start_expiry(active, now + self._lease_seconds(active, state))

    def _adopt_lease(
        self, active: ActiveMessage, entry: Entry, number: int, now: float, wall_ms: int
    ) -> Proposal:
        """Believe a pull worker that holds a lease whose record was lost."""
        state = self._changed_state(active.key)
        state.status = Status.LEASED
        state.lease = number
        state.pull = True
        state.visibility_ms = self._visibility_ms
        proposal = self._propose_state(active.key, state, False, now, wall_ms)
        self._adopt_leased(active, entry, now)
        return proposal

    def _is_duplicate(self, key: Key, message_id: str, now: float, wall_ms: int) -> bool:
        """Whether the message was also put under a later key: then nobody was ever told of this one."""
        known = self._ids.get(message_id)
        if known is None or known == key:
            return False
        older = min(known, key)
        if older == key:
            state = self._changed_state(key)
            state.status, state.ended_ms = Status.COMPLETED, wall_ms
            self._propose_state(key, state, True, now, wall_ms)
            return True
        active = self._active.get(older)
        if active is not None and not active.ending:
            active.callback_url = ""
            active.id = ""
            self._end(active, Status.COMPLETED, now, wall_ms)
        return False

    # Call-backs

    def _add_callback(self, key: Key, state: State, now: float) -> None:
        service = callback_service(state.callback_url)
        if key in self._callbacks or not service:
            return
        callback = CallbackJob(
            key=key,
            service=service,
            priority=0,
            due_ms=state.ended_ms,
            id=state.id,
            callback_url=state.callback_url,
            status=state.status,
            signature=state.signature,
        )
        self._callbacks[key] = callback
        self.queue.add(callback)
        self.queue.release(callback, now, now)

    def _lease_callbacks(self, request: LeaseRequest, most: int, now: float) -> list[Grant]:
        grants: list[Grant] = []
        while len(grants) < most:
            callback = self.queue.take(request.service)
            if callback is None:
                break
            assert isinstance(callback, CallbackJob)
            callback.lease = next(self._numbers)
            callback.dispatcher, callback.incarnation = request.dispatcher, request.incarnation
            self._start_expiry(callback, now + CALLBACK_LEASE_S)
            grants.append(Grant(self._callback_job(callback), None))
        return grants

    def _callback_job(self, callback: CallbackJob) -> Job:
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
        lease = records.lease_id_of(self.partition, callback.key, callback.lease, callback=True)
        return Job(
            lease,
            message,
            callback.failures,
            START_WITHIN_MS,
            STATE_NAMES[callback.status],
            callback.signature,
        )

    def _finish_callback(
        self, lease: LeaseId, finish: Finish, now: float, wall_ms: int
    ) -> Proposal | LeaseAnswer:
        entry = self.table.entries.get(lease.key)
        if entry is None or entry.state is None or not entry.state.callback_owed:
            return self.pending.get(lease.key) or TAKEN
        callback = self._callbacks.get(lease.key)
        if finish.result == "success":
            if callback is not None:
                callback.lease = 0
                self.queue.remove(callback, now)
                del self._callbacks[lease.key]
            state = attrs.evolve(
                entry.state, version=self._next_version(), callback_owed=False, callback_url=""
            )
            return self._propose_state(lease.key, state, False, now, wall_ms)
        if callback is None or callback.lease != lease.number:
            return GONE
        if finish.result != "not_run":
            callback.failures += 1
        doublings = min(max(callback.failures - 1, 0), MOST_DOUBLINGS)
        wait_s = min(CALLBACK_MOST_S, CALLBACK_FIRST_S * 2.0**doublings)
        self._requeue_callback(callback, max(wait_s, finish.retry_ms / 1000), now)
        return TAKEN

    def _requeue_callback(self, callback: CallbackJob, wait_s: float, now: float) -> None:
        callback.lease = 0
        callback.expires_at = 0.0
        self.queue.release(callback, now + wait_s, now)
