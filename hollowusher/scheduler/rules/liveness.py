"""Liveness check of an HTTP/2 connection, and a limit on the control frames that its peer may send."""

from __future__ import annotations

from enum import Enum

NS_PER_S = 1_000_000_000
FRAMES_PER_STREAM = 16  # control frames allowed per stream: WINDOW_UPDATE, RST_STREAM, interim responses
FRAMES_PER_S = 50  # control frames allowed per second, with or without streams


class LivenessStep(Enum):
    """What the caller must do with a connection after a liveness check."""

    NOTHING = "nothing"
    SEND_PING = "ask"  # send a PING and start no stream until the peer sends a frame
    BROKEN = "broken"  # the PING timed out: close the connection


class LivenessCheck:
    """Decides when to send a PING (RFC 9113, section 6.7) and when to give up on a connection.

    A PING is due when responses are outstanding and the peer has sent nothing for `after_ns`.  The connection
    is broken when the peer sends nothing for another `wait_ns` after the PING.
    """

    def __init__(self, now: int, after_ns: int, wait_ns: int) -> None:
        self._ping_after, self._ping_timeout = after_ns, wait_ns
        self._last_received = now
        self._ping_sent: int | None = None

    def expect_answer(self, now: int) -> None:
        """Restart the silence timer for the first request; the idle time before it does not count."""
        self._last_received = now

    def frame_received(self, now: int) -> bool:
        """Record that the peer sent something; return whether a PING was outstanding."""
        self._last_received, ping_sent = now, self._ping_sent
        self._ping_sent = None
        return ping_sent is not None

    def check(self, now: int, busy: bool) -> LivenessStep:
        """Return the step that is due at `now`.

        `busy` means that responses are outstanding.  An idle connection may stay silent forever.
        """
        if not busy and self._ping_sent is None:
            return LivenessStep.NOTHING
        if self._ping_sent is not None:
            return (
                LivenessStep.BROKEN if now - self._ping_sent >= self._ping_timeout else LivenessStep.NOTHING
            )
        if now - self._last_received >= self._ping_after:
            self._ping_sent = now
            return LivenessStep.SEND_PING
        return LivenessStep.NOTHING


class FrameBudget:
    """Token bucket for the control frames of one connection, which protects against frame floods.

    Frames that carry no part of a response (SETTINGS, PING, RST_STREAM, WINDOW_UPDATE, PRIORITY, interim
    responses and empty frames) cost the scheduler CPU time and replies.  The bucket holds `most` frames;
    each new stream adds FRAMES_PER_STREAM frames and each second adds FRAMES_PER_S, up to `most`.
    """

    def __init__(self, now: int, most: int) -> None:
        self._capacity, self._tokens, self._refilled_at = float(most), float(most), now

    def stream_opened(self) -> None:
        """Add the frames that one new stream allows."""
        self._tokens = min(self._capacity, self._tokens + FRAMES_PER_STREAM)

    def spend(self, now: int) -> bool:
        """Count one control frame; return False when it exceeds the budget."""
        self._tokens = min(self._capacity, self._tokens + (now - self._refilled_at) / NS_PER_S * FRAMES_PER_S)
        self._refilled_at = now
        self._tokens -= 1.0
        return self._tokens >= 0.0
