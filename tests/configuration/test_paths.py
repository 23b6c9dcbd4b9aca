"""Prefixes of routes and request targets are compared in one form.

A prefix with letters beyond ASCII, or with escapes in small letters, was accepted and never matched, because
a request target is ASCII and the prefix was compared as the operator had written it.
"""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowusher.configuration.checks import check_document
from hollowusher.configuration.model import read_document
from hollowusher.configuration.orders import apply_order, read_order
from hollowusher.configuration.paths import normalized_path
from hollowusher.coordination.chain.chain_member import EMPTY_STATE
from hollowusher.intake.admission import RouteIndex

SAME_PREFIX = ["/caf\u00e9 ~1/", "/caf%C3%A9%20~1/", "/caf%c3%a9%20%7E1/", "/%63af\u00e9%20%7e1/"]
SENT = [prefix for prefix in SAME_PREFIX if prefix.isascii()]


def document(*prefixes: str) -> dict[str, Any]:
    """Return a configuration with one route for each prefix, all with the same host."""
    routes = [
        {"name": f"r-{number}", "hostname": "h", "pathPrefix": prefix, "timeoutMs": 1000, "upstream": "s"}
        for number, prefix in enumerate(prefixes)
    ]
    return {"generation": 1, "routes": routes, "upstreams": [{"name": "s"}], "limits": {}}


def find(target: str, *prefixes: str) -> str:
    """Return the name of the route that a request gets, empty for none."""
    found = RouteIndex(read_document(orjson.dumps(document(*prefixes)))).find_route("h", target)
    return "" if found is None else found.name


@pytest.mark.parametrize("written", SAME_PREFIX)
@pytest.mark.parametrize("sent", SENT)
def test_a_route_is_found_however_its_prefix_is_written_and_sent(written: str, sent: str) -> None:
    assert find(sent + "orders?at=%20", written) == "r-0"


@pytest.mark.parametrize("first", SAME_PREFIX)
@pytest.mark.parametrize("second", SAME_PREFIX)
def test_two_routes_of_one_prefix_are_refused_however_they_are_written(first: str, second: str) -> None:
    checked = check_document(document(first, second))
    assert checked.is_error()
    assert checked.error.reason == "has the host and prefix of r-0"


@pytest.mark.parametrize("prefix", SAME_PREFIX)
def test_the_operator_reads_back_the_prefix_as_it_was_written(prefix: str) -> None:
    order = read_order("PUT", 0, orjson.dumps(document(prefix)))
    state = apply_order(EMPTY_STATE, order.ok).state
    assert state is not None
    assert read_document(state.document).routes[0].path_prefix == prefix


@pytest.mark.parametrize(
    ("target", "found"),
    [
        ("/a%2Fb/1", "r-1"),
        ("/a%2fb/1", "r-1"),
        ("/a/b/1", "r-0"),
        ("/a/%62c", ""),
        ("/a%2/b", ""),
        ("/A/b/", ""),
    ],
)
def test_different_paths_stay_different(target: str, found: str) -> None:
    """An escaped slash is no separator, and the case of a path counts."""
    assert find(target, "/a/b/", "/a%2Fb/") == found


def test_the_longest_prefix_counts_in_the_form_that_is_compared() -> None:
    assert find("/ab/1", "/%61", "/ab/") == "r-1"


@given(st.text(st.characters(codec="utf-8")))
def test_a_normalized_path_is_ascii_and_stays_as_it_is(text: str) -> None:
    path = normalized_path(text)
    assert path.isascii()
    assert normalized_path(path) == path


def test_a_target_of_raw_bytes_is_compared_as_its_escapes() -> None:
    """The server passes on bytes beyond ASCII that are no UTF-8 as lone surrogates."""
    assert find(b"/caf\xe9/1".decode("utf-8", "surrogateescape"), "/caf%E9/") == "r-0"
