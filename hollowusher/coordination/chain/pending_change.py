"""One change that a head has started and whose outcome is still unknown.  No I/O, no clock.

A change is identified by the state that the head saved for it, not by the state that the member holds later.
A head may be deposed while its write is in progress, rejoin the chain and hold a committed state of another
head.  The caller that requested the change must not mistake that commit for its own.

Source: van Renesse and Schneider, "Chain replication for supporting high throughput and availability" (2004):
the reply to an update is generated for that update, by its position in the chain's history.
"""

from __future__ import annotations

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.protocol.control_chain import ChainWrite, ControlState


class PendingChange:
    """The change that one caller requested.

    Invariant: once set, `saved_state` never changes.
    """

    def __init__(self) -> None:
        self.saved_state: ControlState | None = None  # None: the head has not saved the change

    def on_saved(self, write: ChainWrite) -> None:
        """Record that the head has saved the state of this change."""
        self.saved_state = write.state

    def on_answer(self, member: ChainMember) -> None:
        """Handle the response of the chain to the write, or its timeout; neither has any effect.

        `is_committed` depends only on the saved state.
        """

    def is_in_progress(self, member: ChainMember) -> bool:
        """Return whether the member still holds the state of this change, so that it can be committed."""
        return self.saved_state is not None and member.state == self.saved_state

    def is_committed(self, member: ChainMember) -> bool:
        """Return whether the change is committed in the epoch of the member's view."""
        return self.is_in_progress(member) and member.is_committed
