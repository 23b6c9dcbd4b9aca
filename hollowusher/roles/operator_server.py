"""The HTTP server on the admin address of an edge process: configuration, retiring of stores, status.

The module is imported after the process serves clients, so that it does not delay the start.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from hollowusher.configuration.refusal import MAX_BODY_BYTES
from hollowusher.console.status_api import StatusApi
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.controller.operator_api import OperatorApi
from hollowusher.protocol.operator_orders import OperatorResponse, ReadConfiguration
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.interface import PeerError, Transport
from hollowusher.transport.tcp import split_address

FORWARD_TIMEOUT_S = 2.8
READ_TIMEOUT_S = 0.8
UNAVAILABLE = OperatorResponse(503)


class OperatorForwarder:
    """Forwards an operator's order to the head of the control chain, and a read to the tail.

    If this process is the target, the message is passed to `handle`.
    """

    def __init__(
        self, name: str, state: ClusterState, transport: Transport, handle: Callable[[Any], Awaitable[Any]]
    ) -> None:
        self._name = name
        self._state = state
        self._transport = transport
        self._handle = handle

    async def __call__(self, message: Any) -> OperatorResponse:
        """Forward the message and return the response; raise `PeerError` if the target does not respond."""
        view = self._state.view
        if view is None:
            return UNAVAILABLE
        is_read = isinstance(message, ReadConfiguration)
        target = _find_voter(view, view.tail if is_read else view.head)
        if target is None:
            return UNAVAILABLE
        if target.name == self._name:
            answer = await self._handle(message)
        else:
            timeout = READ_TIMEOUT_S if is_read else FORWARD_TIMEOUT_S
            answer = await self._transport.call(target.address, message, timeout)
        if not isinstance(answer, OperatorResponse):
            raise PeerError(type(message).__name__, target.address, "the response is not an OperatorResponse")
        return answer


def _find_voter(view: View, name: str) -> Voter | None:
    return next((voter for voter in view.voters if voter.name == name), None)


async def start_operator_server(address: str, forward: OperatorForwarder, status: StatusApi) -> web.AppRunner:
    """Start the HTTP server on the admin address; the caller must call `cleanup` on the result."""
    application = web.Application(client_max_size=MAX_BODY_BYTES + 1)
    OperatorApi(forward).add_routes(application)
    status.add_routes(application)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port).start()
    return runner
