"""Host names of routes and of Host headers are compared in one form.

A route whose host name had a capital letter was accepted, and its messages got 404 (review/8).
"""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from hollowusher.configuration.checks import check_document
from hollowusher.configuration.host_names import normalized_host
from hollowusher.configuration.model import read_document
from hollowusher.configuration.orders import apply_order, read_order
from hollowusher.coordination.chain.chain_member import EMPTY_STATE
from hollowusher.intake.admission import RouteIndex

SAME_HOST = [
    "pickup.example",
    "Pickup.example",
    "PICKUP.EXAMPLE",
    "pickup.example.",
    "Pickup.Example.:8069",
    "pickup.example:8069",
    " pickup.example ",
]


def document(*hosts: str) -> dict[str, Any]:
    """Return a configuration with one route for each host, all with the same prefix."""
    routes = [
        {"name": f"r-{number}", "hostname": host, "pathPrefix": "/a/", "timeoutMs": 1000, "upstream": "s"}
        for number, host in enumerate(hosts)
    ]
    return {"generation": 1, "routes": routes, "upstreams": [{"name": "s"}], "limits": {}}


def find(written: str, sent: str) -> str:
    """Return the name of the route that a request with a Host header gets, empty for none."""
    index = RouteIndex(read_document(orjson.dumps(document(written))))
    found = index.find_route(sent, "/a/1")
    return "" if found is None else found.name


@pytest.mark.parametrize("written", SAME_HOST)
@pytest.mark.parametrize("sent", SAME_HOST)
def test_a_route_is_found_however_its_host_is_written_and_sent(written: str, sent: str) -> None:
    assert find(written, sent) == "r-0"


@pytest.mark.parametrize("first", SAME_HOST)
@pytest.mark.parametrize("second", SAME_HOST)
def test_two_routes_of_one_host_and_prefix_are_refused_however_they_are_written(
    first: str, second: str
) -> None:
    checked = check_document(document(first, second))
    assert checked.is_error()
    assert checked.error.reason == "has the host and prefix of r-0"


@pytest.mark.parametrize("written", ["", " ", ".", ":80", " :80"])
def test_a_host_name_without_a_name_is_refused(written: str) -> None:
    checked = check_document(document(written))
    assert checked.is_error()
    assert checked.error.reason == "hostname is empty"


@pytest.mark.parametrize(("text", "host"), [("[::1]:80", "[::1]"), ("[FE80::1]", "[fe80::1]"), ("a..", "a.")])
def test_normalized_hosts(text: str, host: str) -> None:
    assert normalized_host(text) == host


@pytest.mark.parametrize("host", SAME_HOST)
def test_the_operator_reads_back_the_host_name_as_it_was_written(host: str) -> None:
    order = read_order("PUT", 0, orjson.dumps(document(host)))
    state = apply_order(EMPTY_STATE, order.ok).state
    assert state is not None
    assert orjson.loads(state.document)["routes"][0]["hostname"] == host
    more = {"name": "r-1", "hostname": host, "pathPrefix": "/b/", "timeoutMs": 1000, "upstream": "s"}
    patch = {"generation": 2, "upsert": {"routes": [more]}, "delete": {"routes": ["r-0"]}}
    changed = apply_order(state, read_order("PATCH", 1, orjson.dumps(patch)).ok).state
    assert changed is not None
    assert [route["hostname"] for route in orjson.loads(changed.document)["routes"]] == [host]


@given(st.text(min_size=1, max_size=20))
def test_any_host_name_that_is_accepted_is_found_by_the_same_text(host: str) -> None:
    assume(check_document(document(host)).is_ok())
    assert find(host, host) == "r-0"
