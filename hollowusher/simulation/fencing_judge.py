"""Judges all along whether a deposed process stops, on all calls between processes.

A process whose request was rejected because a peer follows a higher epoch on its matter must not send a
request with the same epoch on that matter later than `STEP_DOWN_S` after that answer reached it.
"""

from __future__ import annotations

from dataclasses import dataclass

from hollowusher.protocol.fencing import Matter, fencing_tokens, rejecting_tokens

STEP_DOWN_S = 0.5


@dataclass(frozen=True)
class CallAfterFencing:
    """A request that should not have been sent any more."""

    caller: str
    matter: Matter
    epoch: int
    request: str
    rejected_at: float
    sent_at: float


class FencingJudge:
    """Watches requests and answers of all processes; a caller is one life of a process."""

    def __init__(self) -> None:
        self.found: list[CallAfterFencing] = []
        self.rejections = 0  # answers that named a higher epoch
        self._rejected_at: dict[tuple[str, Matter, int], float] = {}

    def on_request(self, caller: str, message: object, now: float) -> None:
        """Judge a request that a process sends."""
        for token in fencing_tokens(message):
            rejected_at = self._rejected_at.get((caller, token.matter, token.epoch))
            if rejected_at is not None and now > rejected_at + STEP_DOWN_S:
                name = type(message).__name__
                self.found.append(CallAfterFencing(caller, token.matter, token.epoch, name, rejected_at, now))

    def on_answer(self, caller: str, message: object, answer: object, now: float) -> None:
        """Record an answer that has reached its caller."""
        rejected = {token.matter for token in rejecting_tokens(message, answer)}
        self.rejections += bool(rejected)
        for token in fencing_tokens(message):
            if token.matter in rejected:
                self._rejected_at.setdefault((caller, token.matter, token.epoch), now)
