"""Requests the control status from the controllers, for the admin address of any edge process."""

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
    """Requests the control status from the chain's head, which has the most recent information.

    If the head does not respond or does not lead, all other controllers are queried concurrently.  A request
    to this process, which has the name `name`, is passed to `handle_locally`."""

    def __init__(
        self, name: str, state: ClusterState, transport: Transport, handle_locally: LocalHandler
    ) -> None:
        self._name = name
        self._state = state
        self._transport = transport
        self._handle_locally = handle_locally

    async def __call__(self) -> ControlStatus | None:
        """Return the most recent status among the responses, or None if no controller responds."""
        controllers = self._controllers()
        head = self._head()
        head_status = await self._ask(head, controllers.pop(head, ""), HEAD_TIMEOUT_S)
        if head_status is not None and head_status.leads:
            return head_status
        requests = [
            self._ask(name, address, OTHER_CONTROLLERS_TIMEOUT_S) for name, address in controllers.items()
        ]
        responses = [head_status, *await asyncio.gather(*requests)]
        statuses = [status for status in responses if status is not None]
        return max(statuses, key=_freshness, default=None)

    def _head(self) -> str:
        view = self._state.view
        return view.head if view is not None else ""

    def _controllers(self) -> dict[str, str]:
        """Return the addresses of the known controllers by name.

        The view takes precedence over the membership where both contain a controller.
        """
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
    """Return the sort key that ranks responses: leading first, then by epoch, then by voters heard."""
    return status.leads, status.epoch, sum(voter.heard for voter in status.voters)
