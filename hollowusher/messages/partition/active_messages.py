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

START_WITHIN_MS = 500  # after a dispatcher has received a lease; later it returns the lease
TAKEN = LeaseUpdateResponse("taken")
GONE = LeaseUpdateResponse("gone")
RESULT_PRECEDENCE = {"not_run": 0, "unknown": 0, "failed": 1, "refused": 2, "success": 2}
MAX_EARLIER_RESULTS = 4  # kept of each message: a holder repeats the outcome of its lease only for a while
PUBLIC_STATES = {
    MessageStatus.QUEUED: "queued",
    MessageStatus.LEASED: "queued",
    MessageStatus.COMPLETED: "completed",
    MessageStatus.DEAD_LETTER: "dead_letter",
}


@attrs.define(slots=True, eq=False, kw_only=True)
class LeasableJob(QueuedMessage):
    """A queued item that can be leased."""

    lease: int = 0  # number of the current lease, 0: none
    expires_at: float = 0.0  # monotonic clock


@attrs.define(slots=True, eq=False, kw_only=True)
class ActiveMessage(LeasableJob):
    """A message that has not ended, at its primary."""

    id: str
    route: str
    generation: int
    max_attempts: int
    timeout_ms: int
    callback_url: str
    retained_until: float  # monotonic clock
    consecutive_not_run: int = 0  # times in a row that its lease was returned unused
    is_ending: bool = False


@attrs.define(slots=True, eq=False, kw_only=True)
class CallbackJob(LeasableJob):
    """A pending call-back."""

    id: str
    callback_url: str
    status: MessageStatus
    signature: str
    dispatcher: str = ""
    incarnation: int = 0
    failures: int = 0


class LeaseGrant(NamedTuple):
    """One leased job; it may be sent to the dispatcher once its proposal (None: at once) is committed."""

    job: LeasedJob
    proposal: Proposal | None


class LeaseOutcome(NamedTuple):
    """The outcome of a lease, as its holder reported it."""

    lease: int
    result: str
    signature: str
    min_retry_delay_s: float = 0.0  # asked for by the worker

    def is_repeat(self, state: MessageState) -> bool:
        """Return whether the state has this outcome, or one of the same lease that takes precedence."""
        if state.last_lease != self.lease:
            return [self.lease, self.result] in state.earlier_results
        is_superseded = (
            not state.status.has_ended
            and RESULT_PRECEDENCE[self.result] < RESULT_PRECEDENCE[state.last_result]
        )
        return state.last_result == self.result or is_superseded

    def record_in(self, state: MessageState) -> None:
        """Write the outcome into the message's state."""
        if state.last_lease and state.last_lease != self.lease:
            results = [*state.earlier_results, [state.last_lease, state.last_result]]
            state.earlier_results = results[-MAX_EARLIER_RESULTS:]
        state.last_lease = self.lease
        state.last_result = self.result
        state.attempts += self.result == "failed"
        if state.status is MessageStatus.COMPLETED:
            state.signature = self.signature


def last_finished_lease(entry: MessageEntry) -> int:
    """Return the number of the lease that finished last, 0 if none has."""
    return entry.state.last_lease if entry.state is not None else 0


def callback_service_name(url: str) -> str:
    """Return the pseudo service of a call-back address, empty if the URL has no host."""
    try:
        parts = urlsplit(url)
        port = parts.port or 80
    except ValueError:
        return ""
    return f"{CALLBACK_PREFIX}{parts.hostname}:{port}" if parts.hostname else ""
