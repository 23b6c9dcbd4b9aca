"""Requests to workers: none is sent twice unless it may be, and no answer is taken for another request's."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from hollowusher.delivery.outcome import DeliveryOutcome
from hollowusher.delivery.worker_client import Endpoint, HttpWorkerClient
from hollowusher.protocol.leases import LeasedJob
from tests.delivery.test_delivery import Exchange, answer, serving
from tests.support.calls import message

TIMEOUT_S = 5.0  # only a test that hangs takes this long


async def deliver(client: HttpWorkerClient, endpoint: Endpoint, identifier: str) -> DeliveryOutcome:
    return await client.deliver(endpoint, LeasedJob("0-1-1-2", message(identifier), 0, 5_000), TIMEOUT_S)


@pytest.mark.parametrize("most_connections", [64, 1])
def test_a_second_answer_to_a_failed_run_is_not_taken_for_the_next_runs(most_connections: int) -> None:
    """The worker repeats its 500 when the message comes again: on that connection it would count twice."""

    async def behaviour(exchange: Exchange) -> None:
        if exchange.request == 1 and exchange.connection == 1:
            exchange.send(answer("m", 500))
        elif exchange.connection == 1:
            exchange.send(answer("m", 500) + answer(exchange.id))
        else:
            exchange.send(answer(exchange.id))

    async def scene() -> None:
        async with serving(behaviour) as (server, client, endpoint):
            endpoint = attrs.evolve(endpoint, max_connections=most_connections)
            assert (await deliver(client, endpoint, "m")).result == "failed"
            assert (await deliver(client, endpoint, "m")).result == "success"
            assert [exchange.connection for exchange in server.exchanges] == [1, 2]
            assert (await deliver(client, endpoint, "other")).result == "success"

    asyncio.run(scene())


@pytest.mark.parametrize("refusal", ["X-Not-Executed: full", ""])
def test_a_refusal_of_a_repeat_says_nothing_of_the_first_time(refusal: str) -> None:
    """An idempotent endpoint: the first request met the end of its connection, the repeat is refused."""

    async def behaviour(exchange: Exchange) -> None:
        if exchange.connection == 1 and exchange.request == 2:
            exchange.writer.close()  # it may have run
        elif exchange.connection == 2:
            exchange.send(answer("m", 503 if refusal else 409, extra=refusal))
        else:
            exchange.send(answer(exchange.id))

    async def scene() -> None:
        async with serving(behaviour) as (server, client, endpoint):
            endpoint = attrs.evolve(endpoint, instance_id="", idempotent=True)
            assert (await deliver(client, endpoint, "before")).result == "success"
            assert (await deliver(client, endpoint, "m")).result == "unknown"
            assert len(server.exchanges) == 3

    asyncio.run(scene())


@pytest.mark.parametrize("sent", ["nothing", "a first byte", "a head", "half a body"])
@pytest.mark.parametrize("reset", [True, False], ids=["reset", "closed"])
def test_a_request_that_may_not_run_twice_is_sent_once_whatever_its_connection_does(
    sent: str, reset: bool
) -> None:
    complete = answer("m", body=b"0123456789")
    part = {
        "nothing": 0,
        "a first byte": 1,
        "a head": complete.index(b"0123"),
        "half a body": len(complete) - 5,
    }[sent]

    async def behaviour(exchange: Exchange) -> None:
        if exchange.id == "before":
            exchange.send(answer("before"))
            return
        exchange.send(complete[:part])
        await exchange.writer.drain()
        if reset:
            exchange.writer.transport.abort()
        exchange.writer.close()

    async def scene() -> None:
        async with serving(behaviour) as (server, client, endpoint):
            assert (await deliver(client, endpoint, "before")).result == "success"
            assert (await deliver(client, endpoint, "m")).result == "unknown"
            assert [exchange.id for exchange in server.exchanges] == ["before", "m"]

    asyncio.run(scene())


def test_an_answer_that_comes_before_the_request_ends_the_connection() -> None:
    """An early answer, with the very id that is asked next, is nobody's."""

    async def behaviour(exchange: Exchange) -> None:
        exchange.send(answer(exchange.id))
        if exchange.connection == 1:
            exchange.send(answer("next"))
            await exchange.writer.drain()

    async def scene() -> None:
        async with serving(behaviour) as (server, client, endpoint):
            assert (await deliver(client, endpoint, "first")).result == "success"
            while server.closed.is_set() is False:
                await asyncio.sleep(0)
            assert (await deliver(client, endpoint, "next")).result == "success"
            assert [(each.id, each.connection) for each in server.exchanges] == [("first", 1), ("next", 2)]

    asyncio.run(scene())


@pytest.mark.parametrize("told", ["another", ""])
def test_a_success_with_a_wrong_or_no_id_is_never_a_success(told: str) -> None:
    async def behaviour(exchange: Exchange) -> None:
        exchange.send(answer(told))
        if exchange.id == "m":
            exchange.writer.close()

    async def scene() -> None:
        async with serving(behaviour) as (_, client, endpoint):
            assert (await deliver(client, endpoint, "m")).result == "unknown"

    asyncio.run(scene())
