"""A record that its primary has made and that waits for a quorum of replicas."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.messages.records import MessageKey

NO_KEY: MessageKey = (0, 0)


@attrs.define(slots=True, eq=False)
class Proposal:
    """One record on its way to a quorum.  `durable` ones count at a replica once it has synced them, others
    once it holds them in memory.  An empty record only confirms that the replicas follow the primary."""

    key: MessageKey
    record: bytes
    durable: bool
    created_at: float  # steady clock
    on_commit: Callable[[float, int], None] | None = None  # called with steady and wall clock
    is_committed: bool = False
    acknowledged_by: list[str] = attrs.Factory(list)  # store ids
    waiters: list[Callable[[bool], None]] = attrs.Factory(list)

    def add_waiter(self, waiter: Callable[[bool], None]) -> None:
        """Have `waiter` called once: with True at the commit, with False when it is given up."""
        if self.is_committed:
            waiter(True)
        else:
            self.waiters.append(waiter)

    def resolve_waiters(self, committed: bool) -> None:
        """Tell all who wait."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(committed)
