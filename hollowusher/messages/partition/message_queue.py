"""The order in which the messages of one partition may be leased.  No clock of its own: times are passed in.

Ready messages of a service leave by priority, then by the time they are due, then in the order of acceptance.
Those that can still begin within their aim leave before those that are late already: after an outage what
comes in is in time at once, and the backlog takes what is left, at least one lease in `LATE_LEASE_INTERVAL`.
Of the messages with one ordering key only the oldest may leave until it has ended, whatever it waits for.
"""

from __future__ import annotations

import heapq
import itertools
from bisect import insort
from enum import Enum
from typing import NamedTuple

import attrs

from hollowusher.messages.records import MessageKey

OrderingGroup = tuple[str, str]  # service and ordering key
LATE_LEASE_INTERVAL = 5  # one lease in so many goes to a late message if there is one
DISPATCH_ALLOWANCE_S = 0.1  # before its aim ends, for the way from the lease to the worker
NO_START_TARGET = float("inf")


class QueueStage(Enum):
    """Where a message is within the queue."""

    SUSPENDED = 1  # not committed yet
    WAITING = 2  # until a time, or for earlier messages of its ordering key
    READY = 3
    LEASED = 4
    REMOVED = 5


@attrs.define(slots=True, eq=False)
class QueuedMessage:
    """What the queue needs to know of a message that has not ended."""

    key: MessageKey
    service: str
    priority: int
    due_wall_ms: int  # wall clock, for the order only
    ordering_key: str = ""
    start_target_s: float = (
        NO_START_TARGET  # in time if it begins so soon after it is ready for the first time
    )
    late_at: float | None = None  # steady clock; known from its first release on
    stage: QueueStage = QueueStage.SUSPENDED
    ready_at: float = 0.0  # steady clock
    revision: int = 0  # counts its moves; heap entries with an older ticket are void

    @property
    def sort_key(self) -> tuple[int, int, MessageKey]:
        """Its place among the ready messages of its service."""
        return self.priority, self.due_wall_ms, self.key


class _ReadyItem(NamedTuple):
    sort_key: tuple[int, int, MessageKey]
    revision: int
    message: QueuedMessage


class _ReadyHeap:
    """Ready messages by rank; entries of messages that have moved on are dropped when they come first."""

    def __init__(self) -> None:
        self._items: list[_ReadyItem] = []

    def push(self, message: QueuedMessage) -> None:
        """Add a message that has just become ready."""
        heapq.heappush(self._items, _ReadyItem(message.sort_key, message.revision, message))

    def first(self) -> QueuedMessage | None:
        """The message that leaves first."""
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
    """The ready messages of one service: those in time, and those that are late."""

    def __init__(self) -> None:
        self.in_time = _ReadyHeap()
        self.late = _ReadyHeap()
        self.turn = 0  # leases since the last late message

    def next_heap(self, now: float) -> _ReadyHeap | None:
        """The heap whose first message leaves next, None where there is none."""
        while (message := self.in_time.first()) is not None and _is_late(message, now):
            self.in_time.pop()
            self.late.push(message)
        if self.late.first() is not None and (message is None or self.turn >= LATE_LEASE_INTERVAL - 1):
            return self.late
        return None if message is None else self.in_time


def _is_late(message: QueuedMessage, now: float) -> bool:
    return message.late_at is not None and now >= message.late_at


class _Timer(NamedTuple):
    ready_at: float
    number: int
    revision: int
    message: QueuedMessage


class MessageQueue:
    """The messages of one partition that have not ended."""

    def __init__(self) -> None:
        self.newly_ready_services: set[str] = set()  # services with newly ready messages; the owner clears it
        self._ready: dict[str, _ReadyService] = {}
        self._now = 0.0  # as last told
        self._timers: list[_Timer] = []
        self._numbers = itertools.count()
        self._ordering_groups: dict[OrderingGroup, list[QueuedMessage]] = {}

    def add(self, message: QueuedMessage) -> None:
        """Take a message in: it has its place among its ordering key from now on, and waits for `release`."""
        if not message.ordering_key:
            return
        lane = self._ordering_groups.setdefault((message.service, message.ordering_key), [])
        if lane and lane[-1].key > message.key:
            insort(lane, message, key=lambda other: other.key)
            if lane[0] is message and lane[1].stage is QueueStage.READY:
                self._move(lane[1], QueueStage.WAITING)
        else:
            lane.append(message)

    def release(self, message: QueuedMessage, ready_at: float, now: float) -> None:
        """The message may leave from `ready_at` on: after its commit, or given back after a lease."""
        if message.stage is QueueStage.REMOVED:
            return
        self._now = now
        self._move(message, QueueStage.WAITING)
        message.ready_at = ready_at
        if message.late_at is None:
            message.late_at = ready_at + max(0.0, message.start_target_s - DISPATCH_ALLOWANCE_S)
        if self._is_first(message):
            self._schedule(message, now)

    def lease_next(self, service: str) -> QueuedMessage | None:
        """Remove the first ready message of a service for a lease."""
        ready = self._ready.get(service)
        heap = None if ready is None else ready.next_heap(self._now)
        message = None if heap is None else heap.first()
        if ready is None or heap is None or message is None:
            self._ready.pop(service, None)
            return None
        heap.pop()
        ready.turn = 0 if heap is ready.late else ready.turn + 1
        self._move(message, QueueStage.LEASED)
        return message

    def peek(self, service: str) -> QueuedMessage | None:
        """The first ready message of a service."""
        ready = self._ready.get(service)
        heap = None if ready is None else ready.next_heap(self._now)
        if heap is None:
            self._ready.pop(service, None)
            return None
        return heap.first()

    def mark_leased(self, message: QueuedMessage) -> None:
        """Mark a message as leased without `take`: a lease learnt of at a takeover."""
        self._move(message, QueueStage.LEASED)

    def suspend(self, message: QueuedMessage) -> None:
        """Let a message not leave, while its end is being committed; it keeps its place."""
        self._move(message, QueueStage.SUSPENDED)

    def remove(self, message: QueuedMessage, now: float) -> None:
        """The message has ended: the next one of its ordering key may leave."""
        if message.stage is QueueStage.REMOVED:
            return
        was_first = self._is_first(message)
        self._move(message, QueueStage.REMOVED)
        if not message.ordering_key:
            return
        name = (message.service, message.ordering_key)
        lane = self._ordering_groups[name]
        lane.remove(message)
        if not lane:
            del self._ordering_groups[name]
        elif was_first and lane[0].stage is QueueStage.WAITING:
            self._schedule(lane[0], now)

    def advance(self, now: float) -> None:
        """Make due messages ready."""
        self._now = now
        while self._timers and self._timers[0].ready_at <= now:
            timer = heapq.heappop(self._timers)
            if timer.revision == timer.message.revision:
                self._make_ready(timer.message)

    def next_event_time(self) -> float | None:
        """When `advance` has something to do next."""
        while self._timers and self._timers[0].revision != self._timers[0].message.revision:
            heapq.heappop(self._timers)
        return self._timers[0].ready_at if self._timers else None

    def ready_services(self) -> list[str]:
        """The services with ready messages."""
        return [service for service in list(self._ready) if self.peek(service) is not None]

    def _is_first(self, message: QueuedMessage) -> bool:
        if not message.ordering_key:
            return True
        lane = self._ordering_groups.get((message.service, message.ordering_key))
        return lane is not None and lane[0] is message

    def _schedule(self, message: QueuedMessage, now: float) -> None:
        if message.ready_at <= now:
            self._make_ready(message)
        else:
            timer = _Timer(message.ready_at, next(self._numbers), message.revision, message)
            heapq.heappush(self._timers, timer)

    def _make_ready(self, message: QueuedMessage) -> None:
        self._move(message, QueueStage.READY)
        self._ready.setdefault(message.service, _ReadyService()).in_time.push(message)
        self.newly_ready_services.add(message.service)

    @staticmethod
    def _move(message: QueuedMessage, stage: QueueStage) -> None:
        message.stage = stage
        message.revision += 1


class TokenBucket:
    """Grants of a service with a ceiling: a little under its rate, with a short burst.  Starts empty."""

    RATE_FRACTION = 0.97
    BURST_S = 0.15

    def __init__(self, rate_per_s: float, now: float) -> None:
        self.rate = rate_per_s * self.RATE_FRACTION
        self.burst = max(1.0, rate_per_s * self.BURST_S)
        self._tokens = 0.0
        self._filled_at = now

    def change_rate(self, rate_per_s: float, now: float) -> None:
        """Use another rate from now on."""
        self._fill(now)
        self.rate = rate_per_s * self.RATE_FRACTION
        self.burst = max(1.0, rate_per_s * self.BURST_S)

    def available(self, now: float) -> int:
        """How many may be taken now."""
        self._fill(now)
        return int(self._tokens + 1e-9)

    def consume(self) -> None:
        """Use up one."""
        self._tokens -= 1.0

    def next_token_at(self, now: float) -> float:
        """When the next one is there."""
        self._fill(now)
        return now + max(0.0, 1.0 - self._tokens) / self.rate

    def _fill(self, now: float) -> None:
        self._tokens = min(self.burst, self._tokens + max(0.0, now - self._filled_at) * self.rate)
        self._filled_at = now
