"""Data types for the unfinished messages and pending call-backs of a primary, and for leases on them."""

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

# A dispatcher that cannot start a job within this time after it received the lease returns the lease.
START_WITHIN_MS = 500
TAKEN = LeaseUpdateResponse("taken")
GONE = LeaseUpdateResponse("gone")
RESULT_PRECEDENCE = {"not_run": 0, "unknown": 0, "failed": 1, "refused": 2, "success": 2}
MAX_EARLIER_RESULTS = 4  # per message; a lease holder repeats its report only for a limited time
PUBLIC_STATES = {
    MessageStatus.QUEUED: "queued",
    MessageStatus.LEASED: "queued",
    MessageStatus.COMPLETED: "completed",
    MessageStatus.DEAD_LETTER: "dead_letter",
}


@attrs.define(slots=True, eq=False, kw_only=True)
class LeasableJob(QueuedMessage):
    """A message or call-back that can be leased."""

    lease: int = 0  # number of the current lease; 0 if there is none
    expires_at: float = 0.0  # monotonic time when the lease expires


@attrs.define(slots=True, eq=False, kw_only=True)
class ActiveMessage(LeasableJob):
    """An unfinished message in the memory of its primary."""

    id: str
    route: str
    generation: int
    max_attempts: int
    timeout_ms: int
    callback_url: str
    retained_until: float  # monotonic time when the retention ends
    consecutive_not_run: int = 0  # number of leases in a row that were returned unused
    is_ending: bool = False  # the record of the end is proposed, but not committed yet


@attrs.define(slots=True, eq=False, kw_only=True)
class CallbackJob(LeasableJob):
    """A pending call-back of a message that has ended."""

    id: str
    callback_url: str
    status: MessageStatus
    signature: str
    dispatcher: str = ""
    incarnation: int = 0
    failures: int = 0


class LeaseGrant(NamedTuple):
    """One leased job.

    The store may send the job to the dispatcher once `proposal` is committed, or at once if it is None.
    """

    job: LeasedJob
    proposal: Proposal | None


class LeaseOutcome(NamedTuple):
    """The outcome of a lease that its holder has reported."""

    lease: int
    result: str
    signature: str
    min_retry_delay_s: float = 0.0  # requested by the worker

    def is_repeat(self, state: MessageState) -> bool:
        """Return whether the state already contains this outcome.

        It does also if it contains an outcome of the same lease that takes precedence over this one.
        """
        if state.last_lease != self.lease:
            return [self.lease, self.result] in state.earlier_results
        is_superseded = (
            not state.status.has_ended
            and RESULT_PRECEDENCE[self.result] < RESULT_PRECEDENCE[state.last_result]
        )
        return state.last_result == self.result or is_superseded

    def record_in(self, state: MessageState) -> None:
        """Update the state of the message with this outcome."""
        if state.last_lease and state.last_lease != self.lease:
            results = [*state.earlier_results, [state.last_lease, state.last_result]]
            state.earlier_results = results[-MAX_EARLIER_RESULTS:]
        state.last_lease = self.lease
        state.last_result = self.result
        state.attempts += self.result == "failed"
        if state.status is MessageStatus.COMPLETED:
            state.signature = self.signature


def last_finished_lease(entry: MessageEntry) -> int:
    """Return the number of the lease that finished last, or 0 if no lease has finished."""
    return entry.state.last_lease if entry.state is not None else 0


def callback_service_name(url: str) -> str:
    """Return the name of the pseudo service for a call-back URL, or "" if the URL has no valid host."""
    try:
        parts = urlsplit(url)
        port = parts.port or 80
    except ValueError:
        return ""
    return f"{CALLBACK_PREFIX}{parts.hostname}:{port}" if parts.hostname else ""
