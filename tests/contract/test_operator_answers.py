"""The operator's HTTP interface: paths, statuses, headers and bodies of each success and refusal."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

import orjson
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from syrupy.assertion import SnapshotAssertion

from tests.contract import names
from tests.contract.examples import type_of_tag
from tests.contract.test_configuration_document import COMPLETE, ROUTE, SERVICE

MEMBER_TAG, PLACED_TAG, PLACEMENT_TAG, STATE_TAG, ANSWER_TAG = 1, 20, 21, 22, 27
HEADERS = ("Content-Type", "Retry-After", "Allow")
GOOD_RETIREMENT = b'{"durationS":30}'
GOOD_RECOVERY = b'{"acceptLossOf":["store-1/d"]}'
Request = tuple[str, str, dict[str, str], bytes]  # method, path, headers, body
REQUESTS: dict[str, Request] = {
    "put": ("PUT", "/config", {"If-Match": "7"}, b"{}"),
    "put with quotes": ("PUT", "/config", {"If-Match": '"7"'}, b"{}"),
    "put without version": ("PUT", "/config", {}, b"{}"),
    "patch": ("PATCH", "/config", {"If-Match": "7"}, b"{}"),
    "get": ("GET", "/config", {}, b""),
    "retire": ("POST", "/retire/store-1", {}, GOOD_RETIREMENT),
    "retirement": ("GET", "/retire/store-1", {}, b""),
    "recover": ("POST", "/recover-partition/3", {}, GOOD_RECOVERY),
    "version is a word": ("PUT", "/config", {"If-Match": "x"}, b"{}"),
    "version is negative": ("PUT", "/config", {"If-Match": "-1"}, b"{}"),
    "version is empty": ("PATCH", "/config", {"If-Match": ""}, b"{}"),
    "version too long": ("PUT", "/config", {"If-Match": "1" * 19}, b"{}"),
    "body too long": ("PUT", "/config", {}, b"x" * (8 * 1024 * 1024 + 1)),
    "config by post": ("POST", "/config", {}, b"{}"),
    "no such path": ("GET", "/nosuch", {}, b""),
    "retire without body": ("POST", "/retire/store-1", {}, b""),
    "retire without duration": ("POST", "/retire/store-1", {}, b"{}"),
    "retire with a list": ("POST", "/retire/store-1", {}, b"[]"),
    "retire for a text": ("POST", "/retire/store-1", {}, b'{"durationS":"1"}'),
    "retire for true": ("POST", "/retire/store-1", {}, b'{"durationS":true}'),
    "retire for less than nothing": ("POST", "/retire/store-1", {}, b'{"durationS":-1}'),
    "recover a word": ("POST", "/recover-partition/x", {}, GOOD_RECOVERY),
    "recover a long number": ("POST", "/recover-partition/1234567890", {}, GOOD_RECOVERY),
    "recover without body": ("POST", "/recover-partition/3", {}, b""),
    "recover without names": ("POST", "/recover-partition/3", {}, b"{}"),
    "recover with no name": ("POST", "/recover-partition/3", {}, b'{"acceptLossOf":[]}'),
    "recover with a text": ("POST", "/recover-partition/3", {}, b'{"acceptLossOf":"a"}'),
    "recover with a number": ("POST", "/recover-partition/3", {}, b'{"acceptLossOf":[1]}'),
}


def asked(application: web.Application, *requests: Request) -> list[Any]:
    """The answers to some requests: status, headers that matter, body."""

    async def ask() -> list[Any]:
        answers = []
        async with TestClient(TestServer(application)) as client:
            for method, path, headers, body in requests:
                async with client.request(method, path, headers=headers, data=body) as answer:
                    kept = {name: answer.headers[name] for name in HEADERS if name in answer.headers}
                    answers.append([answer.status, kept, (await answer.read()).decode()])
        return answers

    return asyncio.run(ask())


def answered_with(answer: Any, *requests: Request) -> tuple[list[Any], list[str]]:
    """The answers where the deciders give this one, and the bytes of the messages that came to them."""
    messages: list[str] = []

    async def forward(message: Any) -> Any:
        messages.append(names.encode(message).hex())
        if isinstance(answer, Exception):
            raise answer
        return answer

    return asked(names.operator_application(forward), *requests), messages


@pytest.mark.parametrize("which", REQUESTS)
def test_requests(which: str, snapshot: SnapshotAssertion) -> None:
    taken = type_of_tag(ANSWER_TAG)(200, b'{"generation":8}')
    assert answered_with(taken, REQUESTS[which]) == snapshot


@pytest.mark.parametrize("status", [200, 400, 404, 405, 409, 412, 413, 503])
def test_answers_of_the_deciders_pass_through(status: int, snapshot: SnapshotAssertion) -> None:
    answers, _ = answered_with(type_of_tag(ANSWER_TAG)(status, b'{"error":"why"}'), REQUESTS["put"])
    assert answers == snapshot


def test_no_answer_of_the_deciders(snapshot: SnapshotAssertion) -> None:
    empty, _ = answered_with(type_of_tag(ANSWER_TAG)(503), REQUESTS["put"], REQUESTS["get"])
    gone, _ = answered_with(names.unreachable(), REQUESTS["put"], REQUESTS["get"], REQUESTS["retirement"])
    assert [empty, gone] == snapshot


def test_a_question_that_nobody_answers_is_given_up_in_time(snapshot: SnapshotAssertion) -> None:
    async def forward(message: Any) -> Any:
        await asyncio.Event().wait()

    assert asked(names.operator_application(forward), REQUESTS["get"]) == snapshot


def test_refusals_without_a_majority_or_a_configuration(snapshot: SnapshotAssertion) -> None:
    assert [(answer.status, answer.body) for answer in names.REFUSALS_OF_THE_HEAD] == snapshot


def test_longest_body() -> None:
    assert names.ORDER_LIMIT_BYTES == 8 * 1024 * 1024


# ---- orders to change the configuration


def state_of(document: dict[str, Any] | None, generation: int) -> Any:
    """A control state with this configuration in force."""
    body = orjson.dumps(document) if document is not None else b""
    return type_of_tag(STATE_TAG)(4, generation, body, [])


ROUTE_2 = ROUTE | {"name": "r-2", "pathPrefix": "/b/"}
SERVICE_2 = SERVICE | {"name": "s-2"}
ORDERS: dict[str, tuple[str, int | None, Any]] = {
    "put": ("PUT", 7, COMPLETE | {"generation": 8}),
    "put again": ("PUT", 7, COMPLETE | {"generation": 9}),
    "patch": ("PATCH", 7, {"generation": 8, "upsert": {"routes": [ROUTE_2], "upstreams": [SERVICE_2]}}),
    "patch that alters": ("PATCH", 7, {"generation": 8, "upsert": {"routes": [ROUTE | {"priority": 9}]}}),
    "patch that deletes": (
        "PATCH",
        7,
        {"generation": 8, "delete": {"routes": ["r-1"], "upstreams": ["s-1"]}},
    ),
    "patch that deletes what is used": ("PATCH", 7, {"generation": 8, "delete": {"upstreams": ["s-1"]}}),
    "not JSON": ("PUT", 7, b"{"),
    "a list": ("PUT", 7, []),
    "by post": ("POST", 7, {}),
    "on an older version": ("PUT", 6, COMPLETE | {"generation": 8}),
    "on no version": ("PUT", None, COMPLETE | {"generation": 8}),
    "the generation in force": ("PUT", 7, COMPLETE | {"generation": 7}),
    "an older generation": ("PATCH", 7, {"generation": 6}),
    "no generation": ("PATCH", 7, {}),
    "an invalid document": ("PUT", 7, COMPLETE | {"generation": 8, "routes": 1}),
    "upsert is a list": ("PATCH", 7, {"generation": 8, "upsert": []}),
    "delete is a list": ("PATCH", 7, {"generation": 8, "delete": []}),
    "upsert of limits": ("PATCH", 7, {"generation": 8, "upsert": {"limits": []}}),
    "delete of limits": ("PATCH", 7, {"generation": 8, "delete": {"limits": []}}),
    "upsert of a nameless item": ("PATCH", 7, {"generation": 8, "upsert": {"routes": [{}]}}),
    "delete of numbers": ("PATCH", 7, {"generation": 8, "delete": {"routes": [1]}}),
    "too long": ("PUT", 7, b" " * (8 * 1024 * 1024 + 1)),
}


@pytest.mark.parametrize("which", ORDERS)
def test_orders(which: str, snapshot: SnapshotAssertion) -> None:
    method, if_match, content = ORDERS[which]
    body = content if isinstance(content, bytes) else orjson.dumps(content)
    status, answer, state = names.order_answer(state_of(COMPLETE, 7), method, if_match, body)
    assert [status, answer, None if state is None else names.encode(state).hex()] == snapshot


def test_the_same_order_gets_the_same_answer_again() -> None:
    body = orjson.dumps(COMPLETE | {"generation": 8}, option=orjson.OPT_INDENT_2)
    state = names.order_answer(state_of(COMPLETE, 7), "PUT", 7, body)[2]
    again = orjson.dumps(dict(reversed((COMPLETE | {"generation": 8}).items())))
    assert names.order_answer(state, "PUT", 7, again) == (200, b'{"generation":8}', None)


def test_what_an_order_is_known_by(snapshot: SnapshotAssertion) -> None:
    """Digests are stored: another one would let an order that was taken count twice."""
    digests = [names.order_digest("PUT", 7, copy.deepcopy(COMPLETE)), names.order_digest("PATCH", None, {})]
    assert [digest.hex() for digest in digests] == snapshot


# ---- orders about stores


def test_questions_about_machines_that_are_emptied(snapshot: SnapshotAssertion) -> None:
    running = {"store-1": "running", "store-2": "completed"}
    state = type_of_tag(STATE_TAG)(4, 0, b"", [], None, running)
    assert [names.retirement_answer(state, f"store-{number}") for number in (1, 2, 3)] == snapshot


def store(number: int, alive: bool) -> Any:
    """A store as a member."""
    name = f"store-{number}"
    facts = (name, "store", f"10.0.0.{number}:1", "z", "r", 5, "d", True, False, "", int(not alive))
    return type_of_tag(MEMBER_TAG)(*facts)


RECOVERIES: dict[str, tuple[int, list[str], set[int]]] = {  # partition, given up, stores that live
    "one is left": (0, ["store-1/d", "store-2/d"], {3, 4}),
    "no such partition": (9, ["store-1/d"], {3, 4}),
    "enough live": (0, ["store-1/d"], {2, 3, 4}),
    "not a replica": (0, ["store-1/d", "store-2/d", "store-9/d"], {3, 4}),
    "one named lives": (0, ["store-1/d", "store-2/d", "store-3/d"], {3, 4}),
    "one is not named": (0, ["store-1/d"], {3, 4}),
    "none is left": (0, ["store-1/d", "store-2/d", "store-3/d"], {4}),
}


@pytest.mark.parametrize("which", RECOVERIES)
def test_recoveries(which: str, snapshot: SnapshotAssertion) -> None:
    partition, given_up, living = RECOVERIES[which]
    replicas = ["store-1/d", "store-2/d", "store-3/d"]
    placed = type_of_tag(PLACED_TAG)(0, 4, "store-1/d", replicas, [], 1)
    members = [store(number, number in living) for number in range(1, 5)]
    found = names.recovery_answer(type_of_tag(PLACEMENT_TAG)(7, [placed]), members, 1, partition, given_up)
    assert (found if isinstance(found, tuple) else names.encode(found).hex()) == snapshot
