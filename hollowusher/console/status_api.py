"""`GET /status`, `GET /control` and `GET /messages/REFERENCE` on an edge process's admin address.

`/status` is answered from the local cluster state.  The state of a message is requested from the primary of
its partition, and the control status from the controllers.  The report module is imported on the first
request, so that it does not delay the start.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

import orjson
from aiohttp import web

from hollowusher.coordination.cluster_state import WORKERS, ClusterState
from hollowusher.protocol.codec import as_document
from hollowusher.protocol.control_status import ControlStatus
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import MessageStatusResponse

STATUS_PATH = "/status"
MESSAGE_PATH = "/messages/{reference}"
CONTROL_PATH = "/control"
MESSAGE_TIMEOUT_S = 1.8
ReadCounters = Callable[[], Mapping[str, Mapping[str, int]]]
QueryControlStatus = Callable[[], Awaitable[ControlStatus | None]]


class MessageStates(Protocol):
    """The part of the store client that `StatusApi` uses."""

    async def status(self, reference: str, want_body: bool, deadline: float) -> MessageStatusResponse:
        """Read the state of a message before `deadline`, in seconds of the event loop's clock."""


class StatusApi:
    """The HTTP handlers of one edge process.

    `me` returns the process's current member record, `clock` the time of the event loop in seconds.
    """

    def __init__(
        self,
        me: Callable[[], Member],
        state: ClusterState,
        messages: MessageStates,
        ready: Callable[[], bool],
        figures: ReadCounters,
        clock: Callable[[], float],
        control: QueryControlStatus | None = None,
    ) -> None:
        self._me = me
        self._state = state
        self._messages = messages
        self._ready = ready
        self._figures = figures
        self._clock = clock
        self._query_control = control
        self._started = self._workers_changed = clock()
        state.add_listener(self._on_change)

    def add_routes(self, application: web.Application) -> None:
        """Add the handlers to an application."""
        application.router.add_get(STATUS_PATH, self._status)
        application.router.add_get(MESSAGE_PATH, self._message)
        if self._query_control is not None:
            application.router.add_get(CONTROL_PATH, self._control)

    def _on_change(self, key: str) -> None:
        if key == WORKERS:
            self._workers_changed = self._clock()

    async def _status(self, request: web.Request) -> web.Response:
        from hollowusher.console.status_report import ProcessReport, make_status_report

        me, now, configuration = self._me(), self._clock(), self._state.configuration
        process = ProcessReport(
            me.name,
            me.zone,
            me.incarnation,
            me.controller,
            self._ready(),
            0 if configuration is None else configuration.generation,
            round(now - self._started, 1),
        )
        report = make_status_report(
            process, self._state, round(now - self._workers_changed, 1), self._figures()
        )
        return _json(200, report)

    async def _control(self, request: web.Request) -> web.Response:
        assert self._query_control is not None
        status = await self._query_control()
        if status is None:
            return _json(503, {"error": "no controller answers"})
        return _json(200, as_document(status))

    async def _message(self, request: web.Request) -> web.Response:
        reference = request.match_info["reference"]
        answer = await self._messages.status(reference, False, self._clock() + MESSAGE_TIMEOUT_S)
        if answer.state == "unknown":
            return _json(404, {"error": f"{reference}: no such message"})
        if answer.state in ("unavailable", "not_primary"):
            return _json(503, {"error": f"{reference}: its partition gave no answer in time"})
        return _json(
            200,
            {
                "reference": reference,
                "state": answer.state,
                "signature": answer.signature,
                **self._partition_fields(reference),
            },
        )

    def _partition_fields(self, reference: str) -> dict[str, object]:
        """Return the partition, epoch and primary of a message; empty if the partition is not known."""
        number = reference.partition("-")[0]
        entry = (
            self._state.partition_placement(int(number)) if number.isascii() and number.isdigit() else None
        )
        if entry is None:
            return {}
        return {
            "partition": entry.partition,
            "epoch": entry.epoch,
            "primary": entry.primary.partition("/")[0],
        }


def _json(status: int, value: object) -> web.Response:
    return web.Response(status=status, body=orjson.dumps(value), content_type="application/json")
