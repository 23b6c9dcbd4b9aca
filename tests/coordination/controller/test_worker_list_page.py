"""Tests of the parser for worker list pages, which rejects a malformed page as a whole."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.coordination.controller.errors import MalformedPageError
from hollowusher.coordination.controller.worker_list_page import parse_page
from hollowusher.protocol.worker_list import PlatformWorker
from tests.support.worker_list_pages import ENTRY, entry, page

REQUIRED_FIELDS = ("id", "upstream", "address", "state")
INVALID_TEXTS: tuple[Any, ...] = (None, "", 7, [], {})
INVALID_NUMBERS: tuple[Any, ...] = ("12", None, True, [], {}, 1e300)
INVALID_ADDRESSES = (
    "host",
    ":80",
    "host:",
    "host:0",
    "host:65536",
    "host:x",
    "host:-1",
    "host:８０",
    "host:" + "9" * 5000,
)


def test_page_from_the_interface_specification() -> None:
    read = parse_page(page(ENTRY, token="p-50"))
    assert read.next_token == "p-50"
    assert read.workers == [
        PlatformWorker("i-7f3a91c2", "huvo11a", "10.128.0.9:8080", "rabat-a", 12, "ready", 0, "v1")
    ]


def test_unknown_fields_are_ignored_and_missing_optional_fields_get_defaults() -> None:
    short = {key: ENTRY[key] for key in ("id", "upstream", "address", "state")}
    [read] = parse_page(page({**short, "more": [1]})).workers
    assert (read.zone, read.capacity, read.warm_in_ms, read.generation) == ("", 1, 0, "")
    assert parse_page(b'{"instances":[]}').next_token is None


def test_an_unknown_worker_state_counts_as_draining() -> None:
    assert [
        read.state
        for read in parse_page(
            page(entry(state="ready"), entry(state="draining"), entry(state="leaving"))
        ).workers
    ] == ["ready", "draining", "draining"]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"[]",
        b"{",
        b"{}",
        b'"instances"',
        b'{"instances":null}',
        b'{"instances":{}}',
        b"\xff\xfe",
        page(7),
        page(None),
        page([]),
        page(ENTRY, token=5),
        page(ENTRY, token=""),
        page(ENTRY, token=["p"]),
        page(ENTRY)[:-1],
        b"<html>busy</html>",
        b"[" * 100_000,
        *(page(entry(**{key: bad})) for key in REQUIRED_FIELDS for bad in INVALID_TEXTS),
        *(page({key: value for key, value in ENTRY.items() if key != gone}) for gone in REQUIRED_FIELDS),
        *(page(entry(address=bad)) for bad in INVALID_ADDRESSES),
        *(page(entry(capacity=bad)) for bad in INVALID_NUMBERS),
        *(page(entry(warmupLeftMs=bad)) for bad in INVALID_NUMBERS),
        page(entry(zone=3)),
        page(entry(generation=1)),
    ],
)
def test_bad_pages_are_rejected_entirely(body: bytes) -> None:
    with pytest.raises(MalformedPageError):
        parse_page(body)


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ENTRY, "instances", "nextPageToken", "x"]), inner, max_size=5)
    ),
    max_leaves=6,
)


@settings(max_examples=120, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=60),
        json_values.map(orjson.dumps),
        st.lists(json_values, max_size=3).map(lambda entries: orjson.dumps({"instances": entries})),
    )
)
def test_arbitrary_bytes_are_parsed_or_rejected(body: bytes) -> None:
    try:
        read = parse_page(body)
    except MalformedPageError:
        return
    assert all(
        found.id and found.service and ":" in found.address and found.capacity >= 1 for found in read.workers
    )
