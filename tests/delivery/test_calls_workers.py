"""Requests to workers: only idempotent requests are resent, and no response is matched to another request."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from hollowusher.delivery.outcome import DeliveryOutcome
from hollowusher.delivery.worker_client import Endpoint, HttpWorkerClient
from hollowusher.protocol.leases import LeasedJob
from tests.delivery.test_delivery import Exchange, http_response, running_server
from tests.support.calls import message

TIMEOUT_S = 5.0  # long enough that only a hanging test reaches it


async def deliver(client: HttpWorkerClient, endpoint: Endpoint, identifier: str) -> DeliveryOutcome:
    return await client.deliver(endpoint, LeasedJob("0-1-1-2", message(identifier), 0, 5_000), TIMEOUT_S)


@pytest.mark.parametrize("most_connections", [64, 1])
def test_a_duplicate_failure_response_does_not_match_the_next_attempt(most_connections: int) -> None:
    """The worker responds 500 and repeats this response when the message is sent again.

    On the same connection, the client would take the repeated response for the one to the second attempt."""

    async def respond(exchange: Exchange) -> None:
        if exchange.request == 1 and exchange.connection == 1:
            exchange.send(http_response("m", 500))
        elif exchange.connection == 1:
            exchange.send(http_response("m", 500) + http_response(exchange.id))
        else:
            exchange.send(http_response(exchange.id))

    async def scenario() -> None:
        async with running_server(respond) as (server, client, endpoint):
            endpoint = attrs.evolve(endpoint, max_connections=most_connections)
            assert (await deliver(client, endpoint, "m")).result == "failed"
            assert (await deliver(client, endpoint, "m")).result == "success"
            assert [exchange.connection for exchange in server.exchanges] == [1, 2]
            assert (await deliver(client, endpoint, "other")).result == "success"

    asyncio.run(scenario())


@pytest.mark.parametrize("refusal", ["X-Not-Executed: full", ""])
def test_a_rejected_resend_leaves_the_outcome_unknown(refusal: str) -> None:
    """The client resends an idempotent request after a lost connection, and the worker rejects the resend.

    The first attempt may have run, so the outcome is "unknown" and not "not_run"."""

    async def respond(exchange: Exchange) -> None:
        if exchange.connection == 1 and exchange.request == 2:
            exchange.writer.close()  # the request may have run
        elif exchange.connection == 2:
            exchange.send(http_response("m", 503 if refusal else 409, extra=refusal))
        else:
            exchange.send(http_response(exchange.id))

    async def scenario() -> None:
        async with running_server(respond) as (server, client, endpoint):
            endpoint = attrs.evolve(endpoint, instance_id="", idempotent=True)
            assert (await deliver(client, endpoint, "before")).result == "success"
            assert (await deliver(client, endpoint, "m")).result == "unknown"
            assert len(server.exchanges) == 3

    asyncio.run(scenario())


@pytest.mark.parametrize("sent", ["nothing", "a first byte", "a head", "half a body"])
@pytest.mark.parametrize("reset", [True, False], ids=["reset", "closed"])
def test_a_non_idempotent_request_is_sent_once_whatever_its_connection_does(sent: str, reset: bool) -> None:
    complete = http_response("m", body=b"0123456789")
    part = {
        "nothing": 0,
        "a first byte": 1,
        "a head": complete.index(b"0123"),
        "half a body": len(complete) - 5,
    }[sent]

    async def respond(exchange: Exchange) -> None:
        if exchange.id == "before":
            exchange.send(http_response("before"))
            return
        exchange.send(complete[:part])
        await exchange.writer.drain()
        if reset:
            exchange.writer.transport.abort()
        exchange.writer.close()

    async def scenario() -> None:
        async with running_server(respond) as (server, client, endpoint):
            assert (await deliver(client, endpoint, "before")).result == "success"
            assert (await deliver(client, endpoint, "m")).result == "unknown"
            assert [exchange.id for exchange in server.exchanges] == ["before", "m"]

    asyncio.run(scenario())


def test_a_response_that_arrives_before_its_request_closes_the_connection() -> None:
    """A response that arrives early must not complete the next request, even if the id matches."""

    async def respond(exchange: Exchange) -> None:
        exchange.send(http_response(exchange.id))
        if exchange.connection == 1:
            exchange.send(http_response("next"))
            await exchange.writer.drain()

    async def scenario() -> None:
        async with running_server(respond) as (server, client, endpoint):
            assert (await deliver(client, endpoint, "first")).result == "success"
            while server.closed.is_set() is False:
                await asyncio.sleep(0)
            assert (await deliver(client, endpoint, "next")).result == "success"
            assert [(each.id, each.connection) for each in server.exchanges] == [("first", 1), ("next", 2)]

    asyncio.run(scenario())


@pytest.mark.parametrize("response_id", ["another", ""])
def test_a_success_response_with_a_wrong_or_no_id_is_not_a_success(response_id: str) -> None:
    async def respond(exchange: Exchange) -> None:
        exchange.send(http_response(response_id))
        if exchange.id == "m":
            exchange.writer.close()

    async def scenario() -> None:
        async with running_server(respond) as (_, client, endpoint):
            assert (await deliver(client, endpoint, "m")).result == "unknown"

    asyncio.run(scenario())
