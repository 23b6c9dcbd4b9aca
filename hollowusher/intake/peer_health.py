"""What the calls to one store tell of it: whether it should be avoided for now.  No clock, no I/O.

A store is suspected after a failed call until it answers again, and while a call has been waiting longer
than `SILENCE_S` without any answer having come since.  A suspected store is probed, at most once in
`PROBE_PAUSE_S`.
"""

from __future__ import annotations

SILENCE_S = 0.25
PROBE_PAUSE_S = 0.3


class PeerHealth:
    """The calls under way to one address and the last outcome.  Times are those of one steady clock."""

    __slots__ = ("_failed", "_last_answer", "_next_number", "_next_probe", "_started")

    def __init__(self) -> None:
        self._started: dict[int, float] = {}  # call number -> start; the oldest comes first
        self._next_number = 0
        self._last_answer = float("-inf")
        self._failed = False
        self._next_probe = float("-inf")

    def begin(self, now: float) -> int:
        """A call starts; its number."""
        number = self._next_number
        self._next_number = number + 1
        self._started[number] = now
        return number

    def answered(self, number: int, now: float) -> None:
        """The call was answered: the store is well."""
        self._started.pop(number, None)
        self._last_answer = now
        self._failed = False

    def failed(self, number: int, now: float) -> None:
        """The call got no answer."""
        self._started.pop(number, None)
        if not self._failed:
            self._failed = True
            self._next_probe = now + PROBE_PAUSE_S

    def abandoned(self, number: int) -> None:
        """The caller stopped waiting; nothing was learned."""
        self._started.pop(number, None)

    def forgive(self) -> None:
        """News from elsewhere (a new placement, a restart) make earlier failures meaningless."""
        self._failed = False
        self._started.clear()

    def suspect(self, now: float) -> bool:
        """Whether the store should be avoided at present."""
        if self._failed:
            return True
        if not self._started:
            return False
        oldest = next(iter(self._started.values()))
        return now - max(oldest, self._last_answer) > SILENCE_S

    def probe_due(self, now: float) -> bool:
        """Whether to probe a suspected store now; True at most once in `PROBE_PAUSE_S`."""
        if now < self._next_probe:
            return False
        self._next_probe = now + PROBE_PAUSE_S
        return True
