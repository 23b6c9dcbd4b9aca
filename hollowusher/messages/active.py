"""Messages and call-backs as the primary of their partition holds them, and the leases it grants on them."""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import urlsplit

import attrs

from hollowusher.messages.proposal import Proposal
from hollowusher.messages.queue import QueuedMessage
from hollowusher.messages.records import State, Status
from hollowusher.messages.table import Entry
from hollowusher.protocol.leases import Job, LeaseAnswer
from hollowusher.protocol.messages import CALLBACK_PREFIX

START_WITHIN_MS = 500
TAKEN = LeaseAnswer("taken")
GONE = LeaseAnswer("gone")
RESULT_WEIGHT = {"not_run": 0, "unknown": 0, "failed": 1, "refused": 2, "success": 2}
MOST_EARLIER_ENDS = 4  # kept of each message: the holder of a lease repeats its end for a while only
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
            return [self.lease, self.result] in state.earlier_ends
        says_less = not state.status.ended and RESULT_WEIGHT[self.result] < RESULT_WEIGHT[state.last_result]
        return state.last_result == self.result or says_less

    def enter(self, state: State) -> None:
        """Write the end into the message's state."""
        if state.last_lease and state.last_lease != self.lease:
            ends = [*state.earlier_ends, [state.last_lease, state.last_result]]
            state.earlier_ends = ends[-MOST_EARLIER_ENDS:]
        state.last_lease = self.lease
        state.last_result = self.result
        state.attempts += self.result == "failed"
        if state.status is Status.COMPLETED:
            state.signature = self.signature


def last_lease_of(entry: Entry) -> int:
    """The number of the lease that finished last, 0: none has."""
    return entry.state.last_lease if entry.state is not None else 0


def callback_service(url: str) -> str:
    """The pseudo service of a call-back address, empty where the URL has no host."""
    try:
        parts = urlsplit(url)
        port = parts.port or 80
    except ValueError:
        return ""
    return f"{CALLBACK_PREFIX}{parts.hostname}:{port}" if parts.hostname else ""
