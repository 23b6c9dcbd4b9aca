"""Heaps of lease expiries and retention ends, earliest first.  Callers pass the time in."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from hollowusher.messages.partition.active_messages import ActiveMessage, CallbackJob


class _LeaseExpiry(NamedTuple):
    expires_at: float
    number: int
    message: ActiveMessage | CallbackJob
    lease: int


class _RetentionEnd(NamedTuple):
    until: float
    number: int
    message: ActiveMessage


class MessageDeadlines:
    """The expiry times of one partition's leases and the ends of its messages' retentions."""

    def __init__(self, numbers: Iterator[int]) -> None:
        self._numbers = numbers  # tie-breaker for entries with the same time
        self._lease_expiries: list[_LeaseExpiry] = []
        self._retention_ends: list[_RetentionEnd] = []

    def schedule_lease_expiry(self, message: ActiveMessage | CallbackJob, expires_at: float) -> None:
        """Schedule the expiry of a new lease.

        Each lease has one heap item.  An extension of the lease leaves the item in place; when the item
        becomes due, `expire_leases` pushes it again with the extended expiry time.
        """
        message.expires_at = expires_at
        self._push_expiry(message)

    def schedule_retention_end(self, message: ActiveMessage, until: float) -> None:
        """Schedule the end of a message's retention."""
        heapq.heappush(self._retention_ends, _RetentionEnd(until, next(self._numbers), message))

    def next_event_time(self) -> float | None:
        """Return when the next item is due, or None if there is none."""
        times = [heap[0][0] for heap in (self._lease_expiries, self._retention_ends) if heap]
        return min(times, default=None)

    def expire_leases(self, now: float) -> Iterator[ActiveMessage | CallbackJob]:
        """Yield the messages whose current lease has expired; callers may schedule leases while iterating."""
        while self._lease_expiries and self._lease_expiries[0].expires_at <= now:
            expiry = heapq.heappop(self._lease_expiries)
            message = expiry.message
            if message.lease != expiry.lease:
                continue
            if message.expires_at > now:
                self._push_expiry(message)
            else:
                yield message

    def expired_retentions(self, now: float) -> Iterator[ActiveMessage]:
        """Yield the messages whose retention has ended."""
        while self._retention_ends and self._retention_ends[0].until <= now:
            yield heapq.heappop(self._retention_ends).message

    def _push_expiry(self, message: ActiveMessage | CallbackJob) -> None:
        expiry = _LeaseExpiry(message.expires_at, next(self._numbers), message, message.lease)
        heapq.heappush(self._lease_expiries, expiry)
