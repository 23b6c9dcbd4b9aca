"""What the calls to one store tell of it: whether it should be avoided for now.  No clock, no I/O.

A store is suspected after a failed call until it answers again, and while a call has been waiting longer
than `SUSPECT_AFTER_S` without any answer having come since.  A suspected store is probed, at most once in
`HEALTH_CHECK_INTERVAL_S`.
"""

from __future__ import annotations

SUSPECT_AFTER_S = 0.25
HEALTH_CHECK_INTERVAL_S = 0.3


class PeerHealth:
    """The calls under way to one address and the last outcome.  Times are those of one steady clock."""

    __slots__ = ("_failed", "_last_answer", "_next_health_check", "_next_number", "_started")

    def __init__(self) -> None:
        self._started: dict[int, float] = {}  # call number -> start; the oldest comes first
        self._next_number = 0
        self._last_answer = float("-inf")
        self._failed = False
        self._next_health_check = float("-inf")

    def call_started(self, now: float) -> int:
        """A call starts; its number."""
        number = self._next_number
        self._next_number = number + 1
        self._started[number] = now
        return number

    def call_answered(self, number: int, now: float) -> None:
        """The call was answered: the store is well."""
        self._started.pop(number, None)
        self._last_answer = now
        self._failed = False

    def call_failed(self, number: int, now: float) -> None:
        """The call got no answer."""
        self._started.pop(number, None)
        if not self._failed:
            self._failed = True
            self._next_health_check = now + HEALTH_CHECK_INTERVAL_S

    def call_abandoned(self, number: int) -> None:
        """The caller stopped waiting; nothing was learned."""
        self._started.pop(number, None)

    def reset(self) -> None:
        """News from elsewhere (a new placement, a restart) make earlier failures meaningless."""
        self._failed = False
        self._started.clear()

    def is_suspect(self, now: float) -> bool:
        """Whether the store should be avoided at present."""
        if self._failed:
            return True
        if not self._started:
            return False
        oldest = next(iter(self._started.values()))
        return now - max(oldest, self._last_answer) > SUSPECT_AFTER_S

    def is_health_check_due(self, now: float) -> bool:
        """Whether to probe a suspected store now; True at most once in `HEALTH_CHECK_INTERVAL_S`."""
        if now < self._next_health_check:
            return False
        self._next_health_check = now + HEALTH_CHECK_INTERVAL_S
        return True
