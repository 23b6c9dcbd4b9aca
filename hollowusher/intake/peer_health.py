"""Passive failure detection for one store, based on the outcomes of the calls to it.  No clock, no I/O.

A store is suspect after a failed call until it responds again.  It is also suspect while a call has waited
longer than `SUSPECT_AFTER_S` and the store has responded to no other call in that time.  The caller probes a
suspect store at most once per `HEALTH_CHECK_INTERVAL_S`.
"""

from __future__ import annotations

SUSPECT_AFTER_S = 0.25
HEALTH_CHECK_INTERVAL_S = 0.3


class PeerHealth:
    """The calls in progress to one address and the latest outcome.

    All times are seconds of one monotonic clock."""

    __slots__ = ("_failed", "_last_answer", "_next_health_check", "_next_number", "_started")

    def __init__(self) -> None:
        self._started: dict[int, float] = {}  # call number -> start; the oldest comes first
        self._next_number = 0
        self._last_answer = float("-inf")
        self._failed = False
        self._next_health_check = float("-inf")

    def call_started(self, now: float) -> int:
        """Record the start of a call and return the call's number."""
        number = self._next_number
        self._next_number = number + 1
        self._started[number] = now
        return number

    def call_answered(self, number: int, now: float) -> None:
        """Record a response to the call: the store is no longer suspect."""
        self._started.pop(number, None)
        self._last_answer = now
        self._failed = False

    def call_failed(self, number: int, now: float) -> None:
        """Record that the call failed without a response."""
        self._started.pop(number, None)
        if not self._failed:
            self._failed = True
            self._next_health_check = now + HEALTH_CHECK_INTERVAL_S

    def call_abandoned(self, number: int) -> None:
        """Record that the caller stopped waiting, which says nothing about the store's health."""
        self._started.pop(number, None)

    def reset(self) -> None:
        """Discard earlier failures, which are irrelevant after a new placement or a restart of the store."""
        self._failed = False
        self._started.clear()

    def is_suspect(self, now: float) -> bool:
        """Return whether callers should avoid the store now."""
        if self._failed:
            return True
        if not self._started:
            return False
        oldest = next(iter(self._started.values()))
        return now - max(oldest, self._last_answer) > SUSPECT_AFTER_S

    def is_health_check_due(self, now: float) -> bool:
        """Return whether to probe a suspect store now: True at most once per `HEALTH_CHECK_INTERVAL_S`."""
        if now < self._next_health_check:
            return False
        self._next_health_check = now + HEALTH_CHECK_INTERVAL_S
        return True
