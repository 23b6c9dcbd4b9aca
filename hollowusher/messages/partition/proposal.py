"""A record that its primary has made and that waits for a quorum of replicas."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.messages.records import MessageKey

NO_KEY: MessageKey = (0, 0)


@attrs.define(slots=True, eq=False)
class Proposal:
    """One record that waits for the acknowledgements of a quorum.

    A replica acknowledges a proposal that `needs_sync` once it is on the replica's disk, any other once it is
    in the replica's memory.  An empty record only confirms that the replicas still follow the primary.
    """

    key: MessageKey
    record: bytes
    needs_sync: bool
    created_at: float  # monotonic clock, seconds
    on_commit: Callable[[float, int], None] | None = None  # called with (now, wall_ms)
    is_put: bool = False  # the record has a message's body
    is_delayed_put: bool = False  # replicas have to know when its message was accepted
    completes_message: bool = False  # with this record a replica needs the body no more
    is_committed: bool = False
    acknowledged_by: list[str] = attrs.Factory(list)  # store ids
    waiters: list[Callable[[bool], None]] = attrs.Factory(list)

    def add_waiter(self, waiter: Callable[[bool], None]) -> None:
        """Register a callable for the outcome: True at the commit, False once it is given up or too late."""
        if self.is_committed:
            waiter(self.is_committed)
        else:
            self.waiters.append(waiter)

    def resolve_waiters(self, *, committed: bool) -> None:
        """Call all waiters with the outcome."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(committed)
