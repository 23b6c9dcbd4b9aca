"""Messages and call-backs as the primary of their partition holds them, and the leases it grants on them."""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import urlsplit

import attrs

from hollowusher.messages.partition.message_queue import QueuedMessage
from hollowusher.messages.partition.partition_table import MessageEntry
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import MessageState, MessageStatus
from hollowusher.protocol.leases import LeasedJob, LeaseUpdateResponse
from hollowusher.protocol.messages import CALLBACK_PREFIX

START_WITHIN_MS = 500
TAKEN = LeaseUpdateResponse("taken")
GONE = LeaseUpdateResponse("gone")
RESULT_PRECEDENCE = {"not_run": 0, "unknown": 0, "failed": 1, "refused": 2, "success": 2}
MAX_EARLIER_RESULTS = 4  # kept of each message: the holder of a lease repeats its end for a while only
PUBLIC_STATES = {
    MessageStatus.QUEUED: "queued",
    MessageStatus.LEASED: "queued",
    MessageStatus.COMPLETED: "completed",
    MessageStatus.DEAD_LETTER: "dead_letter",
}


@attrs.define(slots=True, eq=False, kw_only=True)
class LeasableJob(QueuedMessage):
    """What the queue hands out."""

    lease: int = 0  # number of the current lease, 0: none
    expires_at: float = 0.0  # steady clock


@attrs.define(slots=True, eq=False, kw_only=True)
class ActiveMessage(LeasableJob):
    """A message that has not ended, at its primary."""

    id: str
    route: str
    generation: int
    max_attempts: int
    timeout_ms: int
    callback_url: str
    retained_until: float  # steady clock
    consecutive_not_run: int = 0  # times in a row that it was given back unrun
    is_ending: bool = False


@attrs.define(slots=True, eq=False, kw_only=True)
class CallbackJob(LeasableJob):
    """A call-back that is owed."""

    id: str
    callback_url: str
    status: MessageStatus
    signature: str
    dispatcher: str = ""
    incarnation: int = 0
    failures: int = 0


class LeaseGrant(NamedTuple):
    """One leased job; it may be handed out once its proposal (None: at once) has been committed."""

    job: LeasedJob
    proposal: Proposal | None


class LeaseOutcome(NamedTuple):
    """What the holder of a lease reported."""

    lease: int
    result: str
    signature: str

    def is_repeat(self, state: MessageState) -> bool:
        """Whether the message's state holds this end already, or one of the same lease that says more."""
        if state.last_lease != self.lease:
            return [self.lease, self.result] in state.earlier_results
        says_less = (
            not state.status.has_ended
            and RESULT_PRECEDENCE[self.result] < RESULT_PRECEDENCE[state.last_result]
        )
        return state.last_result == self.result or says_less

    def record_in(self, state: MessageState) -> None:
        """Write the end into the message's state."""
        if state.last_lease and state.last_lease != self.lease:
            ends = [*state.earlier_results, [state.last_lease, state.last_result]]
            state.earlier_results = ends[-MAX_EARLIER_RESULTS:]
        state.last_lease = self.lease
        state.last_result = self.result
        state.attempts += self.result == "failed"
        if state.status is MessageStatus.COMPLETED:
            state.signature = self.signature


def last_finished_lease(entry: MessageEntry) -> int:
    """The number of the lease that finished last, 0: none has."""
    return entry.state.last_lease if entry.state is not None else 0


def callback_service_name(url: str) -> str:
    """The pseudo service of a call-back address, empty where the URL has no host."""
    try:
        parts = urlsplit(url)
        port = parts.port or 80
    except ValueError:
        return ""
    return f"{CALLBACK_PREFIX}{parts.hostname}:{port}" if parts.hostname else ""
