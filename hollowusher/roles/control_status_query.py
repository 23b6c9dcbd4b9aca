"""Asking the controllers how control stands, for the operator's address of any edge process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.protocol.control_status import ControlStatus, ReadControlStatus
from hollowusher.transport.interface import PeerError, Transport

HEAD_TIMEOUT_S = 0.8
OTHER_CONTROLLERS_TIMEOUT_S = 0.8

LocalHandler = Callable[[Any], Awaitable[Any]]


class ControlStatusQuery:
    """Asks the chain's head, which knows most; where it gives no answer, all other controllers at once.
    `handle_locally` answers messages in this process, which has the name `name`."""

    def __init__(
        self, name: str, state: ClusterState, transport: Transport, handle_locally: LocalHandler
    ) -> None:
        self._name = name
        self._state = state
        self._transport = transport
        self._handle_locally = handle_locally

    async def __call__(self) -> ControlStatus | None:
        """The status of the controller that knows most, None where none answers."""
        controllers = self._controllers()
        head = self._head()
        first = await self._ask(head, controllers.pop(head, ""), HEAD_TIMEOUT_S)
        if first is not None and first.leads:
            return first
        asked = [
            self._ask(name, address, OTHER_CONTROLLERS_TIMEOUT_S) for name, address in controllers.items()
        ]
        answers = [first, *await asyncio.gather(*asked)]
        statuses = [status for status in answers if status is not None]
        return max(statuses, key=_freshness, default=None)

    def _head(self) -> str:
        view = self._state.view
        return view.head if view is not None else ""

    def _controllers(self) -> dict[str, str]:
        """The addresses of all controllers known here, by name; the view's go before a member's word."""
        members = self._state.members.values()
        addresses = {member.name: member.address for member in members if member.alive and member.controller}
        view = self._state.view
        if view is not None:
            addresses |= {voter.name: voter.address for voter in view.voters}
        return addresses

    async def _ask(self, name: str, address: str, timeout_s: float) -> ControlStatus | None:
        if not address:
            return None
        try:
            if name == self._name:
                answer = await self._handle_locally(ReadControlStatus())
            else:
                answer = await self._transport.call(address, ReadControlStatus(), timeout_s)
        except PeerError:
            return None
        return answer if isinstance(answer, ControlStatus) else None


def _freshness(status: ControlStatus) -> tuple[bool, int, int]:
    """By what the best of several answers is chosen."""
    return status.leads, status.epoch, sum(voter.heard for voter in status.voters)
