"""A record that a primary proposes to the replicas of its partition."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.messages.records import MessageKey

NO_KEY: MessageKey = (0, 0)


@attrs.define(slots=True, eq=False)
class Proposal:
    """One record and the acknowledgements of the replicas that have it.

    With `needs_sync` a replica acknowledges the record once it is on the replica's disk, otherwise once it is
    in the replica's memory.  The acknowledgement of an empty record only confirms that the replica still
    follows the primary.
    """

    key: MessageKey
    record: bytes
    needs_sync: bool
    created_at: float  # monotonic time in seconds
    on_commit: Callable[[float, int], None] | None = None  # called with (now, wall_ms)
    is_put: bool = False  # the record is a PUT record, which contains the body of its message
    is_delayed_put: bool = False  # the message has a delay, so replicas need the age of its acceptance
    completes_message: bool = False  # a replica that has this record does not need the PUT record any more
    is_committed: bool = False
    acknowledged_by: list[str] = attrs.Factory(list)  # store ids
    waiters: list[Callable[[bool], None]] = attrs.Factory(list)

    def add_waiter(self, waiter: Callable[[bool], None]) -> None:
        """Register a function to call with the outcome.

        The argument is True when the proposal commits, and False when the wait times out or the primary
        resigns; then the outcome is unknown.
        """
        if self.is_committed:
            waiter(self.is_committed)
        else:
            self.waiters.append(waiter)

    def resolve_waiters(self, *, committed: bool) -> None:
        """Call all waiters with the outcome."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(committed)
