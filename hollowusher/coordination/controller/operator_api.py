"""The operator's HTTP interface for configuration changes, store retirement and partition recovery.

The API converts each request to a message and passes it to `forward`, which delivers it to the responsible
process.  Clients abort a read that takes a second, so the API answers a read with 503 before that.  A change
may take longer, so that its response can report the definite outcome.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import orjson
from aiohttp import web

from hollowusher.configuration.refusal import MAX_BODY_BYTES, Refusal
from hollowusher.protocol.operator_orders import (
    ChangeConfiguration,
    OperatorResponse,
    ReadConfiguration,
    RecoverPartition,
    RetireStore,
)
from hollowusher.transport.interface import PeerError

READ_TIMEOUT_S = 0.9
CHANGE_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1

OperatorRequest = ChangeConfiguration | ReadConfiguration | RecoverPartition | RetireStore
ForwardRequest = Callable[[OperatorRequest], Awaitable[OperatorResponse]]


class OperatorApi:
    """The HTTP handlers of one process.

    `forward` delivers a message to the responsible process and returns the response of that process.
    """

    def __init__(self, forward: ForwardRequest) -> None:
        self._forward = forward
        self._tasks: set[asyncio.Future[OperatorResponse]] = set()

    def add_routes(self, application: web.Application) -> None:
        """Register the operator's routes with an application.

        The `client_max_size` of the application has to be at least `MAX_BODY_BYTES`.
        """
        application.router.add_put("/config", self._change_configuration)
        application.router.add_patch("/config", self._change_configuration)
        application.router.add_get("/config", self._read_configuration)
        application.router.add_post("/retire/{node}", self._start_retirement)
        application.router.add_get("/retire/{node}", self._read_retirement)
        application.router.add_post("/recover-partition/{partition}", self._recover_partition)

    async def _change_configuration(self, request: web.Request) -> web.Response:
        if_match = _parse_if_match(request.headers.get("If-Match"))
        if isinstance(if_match, Refusal):
            return _http_response(if_match.answer())
        body = await _read_body(request)
        if isinstance(body, Refusal):
            return _http_response(body.answer())
        return await self._forward_request(
            ChangeConfiguration(request.method, if_match, body), CHANGE_TIMEOUT_S
        )

    async def _read_configuration(self, request: web.Request) -> web.Response:  # noqa: ARG002 - handler
        return await self._forward_request(ReadConfiguration(), READ_TIMEOUT_S)

    async def _start_retirement(self, request: web.Request) -> web.Response:
        body = await _read_body(request)
        if isinstance(body, Refusal):
            return _http_response(body.answer())
        duration = _parse_duration(body)
        if isinstance(duration, Refusal):
            return _http_response(duration.answer())
        return await self._forward_request(
            RetireStore(request.match_info["node"], duration), CHANGE_TIMEOUT_S
        )

    async def _read_retirement(self, request: web.Request) -> web.Response:
        return await self._forward_request(RetireStore(request.match_info["node"], None), READ_TIMEOUT_S)

    async def _recover_partition(self, request: web.Request) -> web.Response:
        body = await _read_body(request)
        if isinstance(body, Refusal):
            return _http_response(body.answer())
        order = _parse_recovery(request.match_info["partition"], body)
        if isinstance(order, Refusal):
            return _http_response(order.answer())
        return await self._forward_request(order, CHANGE_TIMEOUT_S)

    async def _forward_request(self, message: OperatorRequest, timeout_s: float) -> web.Response:
        """Return the response to a message, or a 503 response if there is none before the timeout.

        The timeout does not cancel the request, so a change may still be committed afterwards.
        """
        task = asyncio.ensure_future(self._forward(message))
        self._tasks.add(task)
        task.add_done_callback(self._discard)
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if not done:
            return _unavailable_response("no answer in time")
        try:
            return _http_response(task.result())
        except PeerError as error:
            return _unavailable_response(str(error))

    def _discard(self, task: asyncio.Future[OperatorResponse]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # mark the exception as retrieved, or asyncio logs it although no caller is left


def _parse_if_match(value: str | None) -> int | Refusal | None:
    if value is None:
        return None
    text = value.strip().strip('"')
    if text.isascii() and text.isdigit() and len(text) < 19:
        return int(text)
    return Refusal(400, "If-Match", "is not a version number")


async def _read_body(request: web.Request) -> bytes | Refusal:
    too_long = Refusal(413, "body", f"is longer than {MAX_BODY_BYTES} bytes")
    if (request.content_length or 0) > MAX_BODY_BYTES:
        return too_long
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        return too_long


def _parse_duration(body: bytes) -> float | Refusal:
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Refusal(400, "body", f"is not JSON: {error}")
    duration = content.get("durationS") if isinstance(content, dict) else None
    if isinstance(duration, bool) or not isinstance(duration, int | float) or duration < 0:
        return Refusal(400, "durationS", "is missing or not a number")
    return float(duration)


def _parse_recovery(partition: str, body: bytes) -> RecoverPartition | Refusal:
    """Return the order to recover a partition from its remaining replicas.

    The body has to name every store whose replica the operator gives up, in `acceptLossOf`.
    """
    if not (partition.isascii() and partition.isdigit() and len(partition) < 10):
        return Refusal(400, "partition", "is not a number")
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Refusal(400, "body", f"is not JSON: {error}")
    named = content.get("acceptLossOf") if isinstance(content, dict) else None
    if not isinstance(named, list) or not named or not all(isinstance(each, str) for each in named):
        return Refusal(400, "acceptLossOf", "is missing or not a list of store ids")
    return RecoverPartition(int(partition), named)


def _http_response(answer: OperatorResponse) -> web.Response:
    if answer.status == 503:
        return _unavailable_response("", answer.body)
    return web.Response(status=answer.status, body=answer.body, content_type="application/json")


def _unavailable_response(reason: str, body: bytes = b"") -> web.Response:
    return web.Response(
        status=503,
        body=body or orjson.dumps({"error": reason}),
        content_type="application/json",
        headers={"Retry-After": str(RETRY_AFTER_S)},
    )
