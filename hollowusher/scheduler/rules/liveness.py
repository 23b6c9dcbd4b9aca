"""Whether the other side of a connection is still there, and whether it sends more than its work explains."""

from __future__ import annotations

from enum import Enum

NS_PER_S = 1_000_000_000
EARNED_BY_STREAM = 16  # control frames that one stream may bring: windows, resets, interim answers
REFILL_PER_S = 50


class LivenessStep(Enum):
    """What to do about a connection just now."""

    NOTHING = "nothing"
    SEND_PING = "ask"  # send a PING; nothing new goes on it until something comes
    BROKEN = "broken"  # nothing came for too long


class LivenessCheck:
    """Silence with work open is asked about, and unanswered silence ends the connection (RFC 9113, 6.7)."""

    def __init__(self, now: int, after_ns: int, wait_ns: int) -> None:
        self._after, self._wait = after_ns, wait_ns
        self._heard = now
        self._asked: int | None = None

    def expect_answer(self, now: int) -> None:
        """The first answer is due from now on: the silence before it was nobody's."""
        self._heard = now

    def frame_received(self, now: int) -> bool:
        """Something came; whether it had been asked for."""
        self._heard, asked = now, self._asked
        self._asked = None
        return asked is not None

    def check(self, now: int, busy: bool) -> LivenessStep:
        """What to do now; `busy` says that answers are due.  An idle connection may be silent for ever."""
        if not busy and self._asked is None:
            return LivenessStep.NOTHING
        if self._asked is not None:
            return LivenessStep.BROKEN if now - self._asked >= self._wait else LivenessStep.NOTHING
        if now - self._heard >= self._after:
            self._asked = now
            return LivenessStep.SEND_PING
        return LivenessStep.NOTHING


class FrameBudget:
    """Frames without work in them (SETTINGS, PING, RST_STREAM, WINDOW_UPDATE, PRIORITY, interim and empty
    ones) cost us processor time and answers.  A node may send a burst of them, some for each stream that it
    serves, and a slow trickle; one that sends more is not doing our work."""

    def __init__(self, now: int, most: int) -> None:
        self._most, self._left, self._at = float(most), float(most), now

    def stream_opened(self) -> None:
        """A stream was begun."""
        self._left = min(self._most, self._left + EARNED_BY_STREAM)

    def spend(self, now: int) -> bool:
        """One such frame came; False where it is one too many."""
        self._left = min(self._most, self._left + (now - self._at) / NS_PER_S * REFILL_PER_S)
        self._at = now
        self._left -= 1.0
        return self._left >= 0.0
