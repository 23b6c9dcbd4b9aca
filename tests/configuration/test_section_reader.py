"""`read_document` and mashumaro's decoder return the same configuration for a valid document."""

from __future__ import annotations

import random
from typing import Any

import orjson
import pytest
from mashumaro.codecs.basic import BasicDecoder

from hollowusher.configuration.model import Configuration, RequestLimits, Route, read_document
from hollowusher.configuration.section_reader import SectionError, read_section

ROUTE_KEYS: dict[str, list[Any]] = {
    "type": ["async", "sync"],
    "timeoutMs": [1, 2500, 700.0],
    "targetLatencyMs": [0, 150],
    "targetStartMs": [0, 1200],
    "priority": [0, 3],
    "maxAttempts": [1, 6],
    "ordered": [True, False],
    "retentionS": [90, 90.5],
    "callbackUrl": [True, False],
    "unknown": [1, "x", None],
}
SERVICE_KEYS: dict[str, list[Any]] = {
    "healthCheck": ["/h"],
    "maxConnections": [1, 500],
    "protocol": ["h1"],
    "tls": [False],
    "ratePerS": [0, 19.5],
    "idempotent": [True, False],
    "pull": [True, False],
    "fixed": [None, "10.0.0.1:80"],
}
LIMIT_KEYS: dict[str, list[Any]] = {
    "maxHeaderBytes": [1],
    "maxBodyBytes": [262144],
    "idleTimeoutMs": [5, 6.0],
}
ROUTE = {"name": "r", "hostname": "h", "pathPrefix": "/", "upstream": "s"}


def random_fields(random_source: random.Random, keys: dict[str, list[Any]], **fixed: Any) -> dict[str, Any]:
    chosen = {
        name: random_source.choice(values) for name, values in keys.items() if random_source.random() < 0.6
    }
    return {**fixed, **chosen}


def random_document(seed: int) -> dict[str, Any]:
    random_source = random.Random(seed)
    document: dict[str, Any] = {"generation": seed + 1}
    if random_source.random() < 0.9:
        document["routes"] = [
            random_fields(
                random_source, ROUTE_KEYS, name=f"r{number}", hostname="h", pathPrefix="/", upstream="s"
            )
            for number in range(random_source.randrange(4))
        ]
    if random_source.random() < 0.9:
        document["upstreams"] = [
            random_fields(random_source, SERVICE_KEYS, name=f"s{number}")
            for number in range(random_source.randrange(4))
        ]
    if random_source.random() < 0.7:
        document["limits"] = random_fields(random_source, LIMIT_KEYS)
    return document


def test_both_decoders_return_the_same_configuration() -> None:
    decoder = BasicDecoder(Configuration)
    for seed in range(300):
        document = random_document(seed)
        assert read_document(orjson.dumps(document)) == decoder.decode(document)


@pytest.mark.parametrize(
    ("values", "text"),
    [
        ({"name": "r"}, "hostname is missing"),
        ({"name": 3}, "name: 3 is not str"),
        (
            {**ROUTE, "ordered": 1},
            "ordered: 1 is not bool",
        ),
        (
            {**ROUTE, "timeoutMs": True},
            "timeoutMs: True",
        ),
    ],
)
def test_fault_names_the_key(values: dict[str, Any], text: str) -> None:
    with pytest.raises(SectionError, match=text):
        read_section(Route, values, {})


def test_a_fault_in_a_nested_section_names_the_full_key() -> None:
    sections = {"list[Route]": Route, "RequestLimits": RequestLimits}
    document = {"generation": 1, "limits": {"maxBodyBytes": "many"}}
    with pytest.raises(SectionError, match=r"limits\.maxBodyBytes: 'many' is not int"):
        read_section(Configuration, document, sections)
    with pytest.raises(SectionError, match=r"routes\[0\]\.name is missing"):
        read_section(Configuration, {"generation": 1, "routes": [{}]}, sections)
