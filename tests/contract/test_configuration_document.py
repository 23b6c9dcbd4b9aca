"""The operator's configuration document: its keys, how it is read, and why it is refused."""

from __future__ import annotations

import copy
from typing import Any

import orjson
import pytest
from syrupy.assertion import SnapshotAssertion

from tests.contract import names
from tests.contract.keys import key_rows, positions

ROUTE = {
    "name": "r-1",
    "hostname": "a.example",
    "pathPrefix": "/a/",
    "upstream": "s-1",
    "type": "async",
    "timeoutMs": 1001,
    "targetLatencyMs": 1002,
    "targetStartMs": 1003,
    "priority": 4,
    "maxAttempts": 5,
    "ordered": True,
    "retentionS": 6.5,
    "callbackUrl": True,
}
SERVICE = {
    "name": "s-1",
    "healthCheck": "/h",
    "maxConnections": 21,
    "protocol": "h2",
    "tls": True,
    "ratePerS": 22.5,
    "idempotent": True,
    "pull": True,
    "fixed": "127.0.0.1:23",
}
LIMITS = {"maxHeaderBytes": 31, "maxBodyBytes": 32, "headerTimeoutMs": 33, "idleTimeoutMs": 34}
COMPLETE: dict[str, Any] = {"generation": 7, "routes": [ROUTE], "upstreams": [SERVICE], "limits": LIMITS}
GONE = object()
CHANGES: dict[str, tuple[tuple[Any, ...], Any]] = {  # where, and what stands there instead
    "in order": ((), None),
    "no generation": (("generation",), GONE),
    "generation 0": (("generation",), 0),
    "generation is true": (("generation",), True),
    "generation is a text": (("generation",), "7"),
    "no routes": (("routes",), GONE),
    "no services": (("upstreams",), GONE),
    "routes are an object": (("routes",), {}),
    "a route is a number": (("routes", 0), 1),
    "a service is a number": (("upstreams", 0), 1),
    "a route has no name": (("routes", 0, "name"), GONE),
    "a service has an empty name": (("upstreams", 0, "name"), ""),
    "no limits": (("limits",), GONE),
    "limits are a list": (("limits",), []),
    "hostname is empty": (("routes", 0, "hostname"), ""),
    "prefix without slash": (("routes", 0, "pathPrefix"), "a"),
    "no timeout": (("routes", 0, "timeoutMs"), GONE),
    "timeout 0": (("routes", 0, "timeoutMs"), 0),
    "no attempts": (("routes", 0, "maxAttempts"), 0),
    "fixed is no address": (("upstreams", 0, "fixed"), "here"),
    "fixed has a wrong port": (("upstreams", 0, "fixed"), "here:65536"),
    "fixed is null": (("upstreams", 0, "fixed"), None),
    "upstream unknown": (("routes", 0, "upstream"), "s-2"),
    "an unknown key": (("routes", 0, "colour"), "red"),
    "two routes of one name": (("routes",), [ROUTE, ROUTE]),
    "two services of one name": (("upstreams",), [SERVICE, SERVICE]),
    "two routes of one prefix": (("routes",), [ROUTE, ROUTE | {"name": "r-2", "hostname": "A.example"}]),
}
for _section, _place, _values in (
    ("routes", 0, ROUTE),
    ("upstreams", 0, SERVICE),
    ("limits", None, LIMITS),
):
    for _key, _value in _values.items():
        _path = (_section, _key) if _place is None else (_section, _place, _key)
        _wrong = -1 if isinstance(_value, int | float) and not isinstance(_value, bool) else 1
        CHANGES[f"{_section} {_key} of a wrong type"] = (_path, _wrong)
        CHANGES[f"{_section} without {_key}"] = (_path, GONE)


def changed(path: tuple[Any, ...], value: Any) -> dict[str, Any]:
    """The whole document with one place changed."""
    document = copy.deepcopy(COMPLETE)
    place: Any = document
    for step in path[:-1]:
        place = place[step]
    if path and value is GONE:
        del place[path[-1]]
    elif path:
        place[path[-1]] = value
    return document


def test_keys(snapshot: SnapshotAssertion) -> None:
    assert key_rows(names.Configuration) == snapshot


def test_a_complete_document_is_read(snapshot: SnapshotAssertion) -> None:
    assert positions(names.read_document(orjson.dumps(COMPLETE))) == snapshot


def test_the_least_document_is_read(snapshot: SnapshotAssertion) -> None:
    routes = [{"name": "r", "hostname": "h", "pathPrefix": "/", "upstream": "s"}]
    least = {"generation": 1, "routes": routes, "upstreams": [{"name": "s"}], "limits": {}}
    assert positions(names.read_document(orjson.dumps(least))) == snapshot


@pytest.mark.parametrize("which", CHANGES)
def test_refusals(which: str, snapshot: SnapshotAssertion) -> None:
    assert names.check_result(changed(*CHANGES[which])) == snapshot
