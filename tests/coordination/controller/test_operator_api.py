"""Tests of the operator's HTTP interface, with a fake for the processes that handle the messages."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from hollowusher.configuration.refusal import MAX_BODY_BYTES
from hollowusher.coordination.controller import operator_api
from hollowusher.coordination.controller.operator_api import OperatorApi
from hollowusher.protocol.operator_orders import (
    ChangeConfiguration,
    OperatorResponse,
    ReadConfiguration,
    RetireStore,
)
from hollowusher.transport.interface import PeerError

Client = TestClient[web.Request, web.Application]


class FakeForwarder:
    """Records forwarded messages and returns a preset response, raises a preset error or never returns."""

    def __init__(self, answer: OperatorResponse | Exception | None) -> None:
        self.answer = answer
        self.messages: list[Any] = []
        self.finished = 0

    async def forward(self, message: Any) -> OperatorResponse:
        self.messages.append(message)
        if isinstance(self.answer, Exception):
            raise self.answer
        if self.answer is None:
            await asyncio.Event().wait()
        self.finished += 1
        assert self.answer is not None
        return self.answer


def run_client(forwarder: FakeForwarder, requests: Callable[[Client], Awaitable[None]]) -> None:
    async def run() -> None:
        application = web.Application(client_max_size=MAX_BODY_BYTES + 1)
        OperatorApi(forwarder.forward).add_routes(application)
        async with TestClient(TestServer(application)) as client:
            await requests(client)

    asyncio.run(run())


def test_requests_are_forwarded_as_messages_and_responses_returned() -> None:
    forwarder = FakeForwarder(OperatorResponse(200, b'{"generation":7}'))

    async def requests(client: Client) -> None:
        put = await client.put("/config", data=b"{}", headers={"If-Match": "5"})
        assert put.status == 200
        assert await put.json() == {"generation": 7}
        await client.patch("/config", data=b"[]", headers={"If-Match": '"6"'})
        await client.put("/config", data=b"{}")
        await client.get("/config")
        await client.post("/retire/storage-a-1", json={"durationS": 10})
        await client.get("/retire/storage-a-1")

    run_client(forwarder, requests)
    assert forwarder.messages == [
        ChangeConfiguration("PUT", 5, b"{}"),
        ChangeConfiguration("PATCH", 6, b"[]"),
        ChangeConfiguration("PUT", None, b"{}"),
        ReadConfiguration(),
        RetireStore("storage-a-1", 10.0),
        RetireStore("storage-a-1", None),
    ]


@pytest.mark.parametrize("status", [400, 404, 409, 412])
def test_rejections_are_returned_unchanged(status: int) -> None:
    async def requests(client: Client) -> None:
        answer = await client.post("/retire/n", json={"durationS": 0})
        assert answer.status == status
        assert await answer.json() == {"error": "why"}

    run_client(FakeForwarder(OperatorResponse(status, b'{"error":"why"}')), requests)


@pytest.mark.parametrize(
    "answer",
    [
        OperatorResponse(503),
        OperatorResponse(503, b'{"error":"no majority"}'),
        PeerError("call", "10.0.0.1:1", "gone"),
    ],
)
def test_unavailability_is_a_503_with_retry_after(answer: OperatorResponse | Exception) -> None:
    async def requests(client: Client) -> None:
        for method, path in (("PUT", "/config"), ("GET", "/config"), ("GET", "/retire/n")):
            response = await client.request(method, path, data=b"{}")
            assert response.status == 503
            assert response.headers["Retry-After"] == "1"
            assert "error" in orjson.loads(await response.read())

    run_client(FakeForwarder(answer), requests)


def test_requests_time_out_with_503(monkeypatch: pytest.MonkeyPatch) -> None:
    assert operator_api.READ_TIMEOUT_S < 1.0
    assert operator_api.CHANGE_TIMEOUT_S <= 3.0
    monkeypatch.setattr(operator_api, "READ_TIMEOUT_S", 0.01)
    monkeypatch.setattr(operator_api, "CHANGE_TIMEOUT_S", 0.02)

    async def requests(client: Client) -> None:
        assert (await client.get("/config")).status == 503
        assert (await client.put("/config", data=b"{}")).status == 503

    run_client(FakeForwarder(None), requests)


def test_a_change_goes_on_after_its_caller_was_reported_503(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "CHANGE_TIMEOUT_S", 0.0)
    forwarder = FakeForwarder(OperatorResponse(200, b"{}"))

    async def requests(client: Client) -> None:
        await client.put("/config", data=b"{}")
        for _ in range(5):
            await asyncio.sleep(0)
        assert forwarder.finished == 1

    run_client(forwarder, requests)


def test_malformed_requests_are_rejected_without_forwarding() -> None:
    forwarder = FakeForwarder(OperatorResponse(200))

    async def requests(client: Client) -> None:
        for wrong in ("x", "-1", "5.0", "", "9" * 40):
            assert (await client.put("/config", data=b"{}", headers={"If-Match": wrong})).status == 400
        for wrong_body in (
            b"",
            b"{}",
            b'{"durationS":"10"}',
            b'{"durationS":-1}',
            b'{"durationS":true}',
            b"[",
        ):
            assert (await client.post("/retire/n", data=wrong_body)).status == 400
        assert (await client.post("/config", data=b"{}")).status == 405
        large = await client.put("/config", data=b"x" * (MAX_BODY_BYTES + 1))
        assert large.status == 413

    run_client(forwarder, requests)
    assert forwarder.messages == []
