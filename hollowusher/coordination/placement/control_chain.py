"""The interface through which placement tasks at the head use the control chain."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.view import View

StateUpdate = Callable[[ControlState], ControlState | None]


class ControlChain(Protocol):
    """The control chain as seen by its head.  The chain owns the control state."""

    @property
    def is_head(self) -> bool:
        """Whether this process is the head of the chain and may therefore write."""

    @property
    def view(self) -> View | None:
        """The newest view on which the voters agreed; None if this process has received none."""

    @property
    def state(self) -> ControlState | None:
        """The newest committed control state; None if this process has received none."""

    async def change(self, update: StateUpdate) -> bool:
        """Call `update` with the newest state and commit the state that it returns.

        If `update` returns None, the state stays unchanged.  `update` is called at most once.  Return True
        once the result is committed.  Return False if this process is not the head or if the chain has not
        confirmed the commit; the change may then still be committed.
        """
