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
from hollowusher.http_server.limits import RequestBounds
from hollowusher.http_server.listener import BoundedListener
from hollowusher.protocol.operator_orders import OperatorResponse, ReadConfiguration
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.interface import PeerError, Transport

FORWARD_TIMEOUT_S = 2.8
READ_TIMEOUT_S = 0.8
UNAVAILABLE = OperatorResponse(503)
BOUNDS = RequestBounds(max_head_bytes=32 * 1024, head_timeout_s=5.0, body_timeout_s=30.0)
IDLE_TIMEOUT_S = 75.0
LINGERING_TIME_S = 1.0  # how long the rest of a rejected body is read and discarded


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


class OperatorServer:
    """The running HTTP server on the admin address."""

    def __init__(self, listener: BoundedListener, runner: web.AppRunner) -> None:
        self._listener = listener
        self._runner = runner

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._listener.stop()
        await self._runner.cleanup()


async def start_operator_server(
    listener: BoundedListener, forward: OperatorForwarder, status: StatusApi
) -> OperatorServer:
    """Start the HTTP server on the address of `listener`; the caller must call `stop` on the result."""
    application = web.Application(client_max_size=MAX_BODY_BYTES + 1)
    OperatorApi(forward).add_routes(application)
    status.add_routes(application)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    server = runner.server
    assert server is not None  # `setup` has created it
    options = {"keepalive_timeout": IDLE_TIMEOUT_S, "lingering_time": LINGERING_TIME_S}
    await listener.start(lambda: listener.new_handler(server, BOUNDS, options))
    return OperatorServer(listener, runner)
