"""Asking the controllers how control stands, for the operator's address of any edge process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.protocol.control_status import ControlStatus, ReadControlStatus
from hollowusher.transport.interface import PeerError, Transport

HEAD_TIMEOUT_S = 0.8
OTHERS_TIMEOUT_S = 0.8

Answer = Callable[[Any], Awaitable[Any]]


class ControlQuestion:
    """Asks the chain's head, which knows most; where it gives no answer, all other controllers at once.
    `answer_here` answers messages in this process, which has the name `name`."""

    def __init__(self, name: str, state: ClusterState, transport: Transport, answer_here: Answer) -> None:
        self._name = name
        self._state = state
        self._transport = transport
        self._answer_here = answer_here

    async def __call__(self) -> ControlStatus | None:
        """The status of the controller that knows most, None where none answers."""
        controllers = self._controllers()
        head = self._head()
        first = await self._ask(head, controllers.pop(head, ""), HEAD_TIMEOUT_S)
        if first is not None and first.leads:
            return first
        asked = [self._ask(name, address, OTHERS_TIMEOUT_S) for name, address in controllers.items()]
        answers = [first, *await asyncio.gather(*asked)]
        known = [status for status in answers if status is not None]
        return max(known, key=_knowledge, default=None)

    def _head(self) -> str:
        view = self._state.view
        return view.head if view is not None else ""

    def _controllers(self) -> dict[str, str]:
        """The addresses of all controllers known here, by name; the view's go before a member's word."""
        members = self._state.members.values()
        known = {member.name: member.address for member in members if member.alive and member.controller}
        view = self._state.view
        if view is not None:
            known |= {voter.name: voter.address for voter in view.voters}
        return known

    async def _ask(self, name: str, address: str, timeout_s: float) -> ControlStatus | None:
        if not address:
            return None
        try:
            if name == self._name:
                answer = await self._answer_here(ReadControlStatus())
            else:
                answer = await self._transport.call(address, ReadControlStatus(), timeout_s)
        except PeerError:
            return None
        return answer if isinstance(answer, ControlStatus) else None


def _knowledge(status: ControlStatus) -> tuple[bool, int, int]:
    """By what the best of several answers is chosen."""
    return status.leads, status.epoch, sum(voter.heard for voter in status.voters)
