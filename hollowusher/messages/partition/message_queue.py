"""The queue of one partition, which determines the order of leases.  Callers pass the time in.

Ready messages of a service are leased by priority, then by due time, then in the order of acceptance.
Messages that can still start within their latency target are leased before those that are late.  So new
messages are served in time right after an outage, and the backlog gets the remaining leases, but at least one
in `LATE_LEASE_INTERVAL`.  Of the messages of an ordering group, whatever their services, only the oldest may
be leased until it has ended, even while it waits for a delay or a backoff.
"""

from __future__ import annotations

import heapq
import itertools
from bisect import insort
from enum import Enum
from typing import NamedTuple

import attrs

from hollowusher.messages.records import MessageKey

LATE_LEASE_INTERVAL = 5  # at least one in this many leases goes to a late message, if there is one
DISPATCH_ALLOWANCE_S = 0.1  # time from the lease to the start at the worker; subtracted from the start target
NO_START_TARGET = float("inf")


class QueueStage(Enum):
    """State of a message within the queue."""

    SUSPENDED = 1  # the put or the end of the message is not committed yet
    WAITING = 2  # the message waits until `ready_at`, or for earlier messages of its ordering group
    READY = 3
    LEASED = 4
    REMOVED = 5


@attrs.define(slots=True, eq=False)
class QueuedMessage:
    """The properties of a message or call-back that the queue uses."""

    key: MessageKey
    service: str
    priority: int
    due_wall_ms: int  # wall clock; used for the order only
    ordering_group: str = ""  # shared by the messages that are ordered among each other; empty: not ordered
    start_target_s: float = NO_START_TARGET  # counted from `first_ready_at`
    first_ready_at: float | None = None  # `ready_at` of the first release; None before it
    stage: QueueStage = QueueStage.SUSPENDED
    ready_at: float = 0.0  # monotonic time
    revision: int = 0  # incremented by each change of the stage; heap items with an older revision are void

    @property
    def sort_key(self) -> tuple[int, int, MessageKey]:
        """The sort key among the ready messages of the same service."""
        return self.priority, self.due_wall_ms, self.key


class Urgency(NamedTuple):
    """The order of the first ready jobs of several partitions; the least is leased first."""

    is_late: bool
    priority: int
    due_wall_ms: int


class _ReadyItem(NamedTuple):
    sort_key: tuple[int, int, MessageKey]
    revision: int
    message: QueuedMessage


class _ReadyHeap:
    """Heap of ready messages; an item whose message has changed its stage is dropped when it comes first."""

    def __init__(self) -> None:
        self._items: list[_ReadyItem] = []

    def push(self, message: QueuedMessage) -> None:
        """Add a message that has just become ready."""
        heapq.heappush(self._items, _ReadyItem(message.sort_key, message.revision, message))

    def first(self) -> QueuedMessage | None:
        """Return the first message, or None if the heap is empty."""
        while self._items:
            item = self._items[0]
            if item.revision == item.message.revision:
                return item.message
            heapq.heappop(self._items)
        return None

    def pop(self) -> None:
        """Remove the first message."""
        heapq.heappop(self._items)


class _ReadyService:
    """The ready messages of one service, split into those in time and those that are late."""

    def __init__(self) -> None:
        self.in_time = _ReadyHeap()
        self.late = _ReadyHeap()
        self.count = 0  # number of ready messages in both heaps
        self.leases_since_late = 0  # number of leases of messages in time since the last lease of a late one

    def next_heap(self, now: float) -> _ReadyHeap | None:
        """Return the heap whose first message is to be leased next, or None if both heaps are empty."""
        while (message := self.in_time.first()) is not None and _is_late(message, now):
            self.in_time.pop()
            self.late.push(message)
        if self.late.first() is not None and (
            message is None or self.leases_since_late >= LATE_LEASE_INTERVAL - 1
        ):
            return self.late
        return None if message is None else self.in_time


def _is_late(message: QueuedMessage, now: float) -> bool:
    if message.first_ready_at is None:
        return False
    return now >= message.first_ready_at + max(0.0, message.start_target_s - DISPATCH_ALLOWANCE_S)


class _ReadyTimer(NamedTuple):
    ready_at: float
    number: int
    revision: int
    message: QueuedMessage


class MessageQueue:
    """The queue of the unfinished messages and pending call-backs of one partition."""

    def __init__(self) -> None:
        self.newly_ready_services: set[str] = set()  # services with newly ready messages; the owner clears it
        self._ready: dict[str, _ReadyService] = {}
        self._now = 0.0  # time passed to the last call of `release` or `advance`
        self._timers: list[_ReadyTimer] = []
        self._numbers = itertools.count()
        self._ordering_groups: dict[str, list[QueuedMessage]] = {}  # oldest message first

    def add(self, message: QueuedMessage) -> None:
        """Add a suspended message and reserve its place in its ordering group."""
        if not message.ordering_group:
            return
        group = self._ordering_groups.setdefault(message.ordering_group, [])
        if group and group[-1].key > message.key:
            insort(group, message, key=lambda other: other.key)
            if group[0] is message and group[1].stage in (QueueStage.WAITING, QueueStage.READY):
                self._move(group[1], QueueStage.WAITING)  # also voids its timer
        else:
            group.append(message)

    def release(self, message: QueuedMessage, ready_at: float, now: float) -> None:
        """Allow leases of a message from `ready_at` on, after its put has committed or a lease has ended."""
        if message.stage is QueueStage.REMOVED:
            return
        self._now = now
        self._move(message, QueueStage.WAITING)
        message.ready_at = ready_at
        if message.first_ready_at is None:
            message.first_ready_at = ready_at
        if self._is_first(message):
            self._schedule(message, now)

    def lease_next(self, service: str) -> QueuedMessage | None:
        """Mark the first ready message of a service as leased and return it, or None if there is none."""
        ready = self._ready.get(service)
        heap = None if ready is None else ready.next_heap(self._now)
        message = None if heap is None else heap.first()
        if ready is None or heap is None or message is None:
            self._ready.pop(service, None)
            return None
        heap.pop()
        ready.leases_since_late = 0 if heap is ready.late else ready.leases_since_late + 1
        self._move(message, QueueStage.LEASED)
        return message

    def peek(self, service: str) -> QueuedMessage | None:
        """Return the first ready message of a service, or None if there is none."""
        ready = self._ready.get(service)
        heap = None if ready is None else ready.next_heap(self._now)
        if heap is None:
            self._ready.pop(service, None)
            return None
        return heap.first()

    def urgency(self, service: str) -> Urgency | None:
        """Return the urgency of the message that `peek` returns, or None if there is none."""
        first = self.peek(service)
        if first is None:
            return None
        return Urgency(_is_late(first, self._now), first.priority, first.due_wall_ms)

    def ready_count(self, service: str) -> int:
        """Return the number of ready messages of a service."""
        ready = self._ready.get(service)
        return 0 if ready is None else ready.count

    def change_service(self, message: QueuedMessage, service: str, now: float) -> None:
        """Assign an unfinished message to another service; it keeps its place in its ordering group."""
        was_ready = message.stage is QueueStage.READY
        if was_ready:
            self._move(message, QueueStage.WAITING)
        message.service = service
        if was_ready:
            self._schedule(message, now)

    def mark_leased(self, message: QueuedMessage) -> None:
        """Mark a message as leased after its lease was restored from its record."""
        self._move(message, QueueStage.LEASED)

    def suspend(self, message: QueuedMessage) -> None:
        """Suspend a message, for example until its end commits; it keeps its place in its ordering group."""
        self._move(message, QueueStage.SUSPENDED)

    def remove(self, message: QueuedMessage, now: float) -> None:
        """Remove a message that has ended, and release the next message of its ordering group."""
        if message.stage is QueueStage.REMOVED:
            return
        was_first = self._is_first(message)
        self._move(message, QueueStage.REMOVED)
        if not message.ordering_group:
            return
        group = self._ordering_groups[message.ordering_group]
        group.remove(message)
        if not group:
            del self._ordering_groups[message.ordering_group]
        elif was_first and group[0].stage is QueueStage.WAITING:
            self._schedule(group[0], now)

    def advance(self, now: float) -> None:
        """Make all messages ready whose `ready_at` has come."""
        self._now = now
        while self._timers and self._timers[0].ready_at <= now:
            timer = heapq.heappop(self._timers)
            if timer.revision == timer.message.revision:
                self._make_ready(timer.message)

    def next_event_time(self) -> float | None:
        """Return when `advance` must be called next, or None if no message is waiting."""
        while self._timers and self._timers[0].revision != self._timers[0].message.revision:
            heapq.heappop(self._timers)
        return self._timers[0].ready_at if self._timers else None

    def ready_services(self) -> list[str]:
        """Return the services with ready messages."""
        return [service for service in list(self._ready) if self.peek(service) is not None]

    def is_behind_key(self, message: QueuedMessage) -> bool:
        """Return whether a message waits for the end of an earlier message of its ordering key."""
        return message.stage is QueueStage.WAITING and not self._is_first(message)

    def _is_first(self, message: QueuedMessage) -> bool:
        if not message.ordering_group:
            return True
        group = self._ordering_groups.get(message.ordering_group)
        return group is not None and group[0] is message

    def _schedule(self, message: QueuedMessage, now: float) -> None:
        if message.ready_at <= now:
            self._make_ready(message)
        else:
            timer = _ReadyTimer(message.ready_at, next(self._numbers), message.revision, message)
            heapq.heappush(self._timers, timer)

    def _make_ready(self, message: QueuedMessage) -> None:
        self._move(message, QueueStage.READY)
        ready = self._ready.setdefault(message.service, _ReadyService())
        ready.count += 1
        ready.in_time.push(message)
        self.newly_ready_services.add(message.service)

    def _move(self, message: QueuedMessage, stage: QueueStage) -> None:
        if message.stage is QueueStage.READY:
            self._ready[message.service].count -= 1
        message.stage = stage
        message.revision += 1
