"""What the head's tasks need of the control chain."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.view import View

StateUpdate = Callable[[ControlState], ControlState | None]


class ControlChain(Protocol):
    """The control chain as its head sees it; it owns the control state."""

    @property
    def is_head(self) -> bool:
        """Whether this process is the chain's head and may write."""

    @property
    def view(self) -> View | None:
        """The newest decided view."""

    @property
    def state(self) -> ControlState | None:
        """The newest committed state."""

    async def change(self, update: StateUpdate) -> bool:
        """Commit what `update` returns for the newest state, None to leave it as it is.

        `update` is called once at most.  Return True once the result is committed, False where that is not
        known or this process is not the head.
        """
