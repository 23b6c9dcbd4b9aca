"""Parser for one page of the platform's worker list.  The module performs no I/O."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import orjson

from hollowusher.coordination.controller.errors import MalformedPageError
from hollowusher.protocol.worker_list import PlatformWorker

READY = "ready"
DRAINING = "draining"
MAX_PORT = 65_535
MAX_NUMBER = 1e12


@attrs.frozen
class WorkerListPage:
    """One page of the worker list.

    `next_token` is the token with which to request the next page; it is None on the last page.
    """

    workers: list[PlatformWorker]
    next_token: str | None


def parse_page(body: bytes) -> WorkerListPage:
    """Parse the body of an HTTP response into a page.

    Raises
    ------
    MalformedPageError
        If the body is not JSON, or any part of it violates the schema of the platform's interface.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedPageError(f"the answer is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise MalformedPageError("the answer is not an object")
    instances = document.get("instances")
    if not isinstance(instances, list):
        raise MalformedPageError("instances: not a list")
    token = document.get("nextPageToken")
    if token is not None and not (isinstance(token, str) and token):
        raise MalformedPageError("nextPageToken: neither a non-empty string nor null")
    return WorkerListPage([_parse_worker(entry) for entry in instances], token)


def _parse_worker(entry: object) -> PlatformWorker:
    if not isinstance(entry, dict):
        raise MalformedPageError("instances: an entry is not an object")
    state = _read_text(entry, "state")
    return PlatformWorker(
        id=_read_text(entry, "id"),
        service=_read_text(entry, "upstream"),
        address=_read_address(entry),
        zone=_read_text(entry, "zone", default=""),
        capacity=max(1, int(_read_number(entry, "capacity", 1))),
        state=state if state == READY else DRAINING,  # a worker in an unknown state must get no new jobs
        warm_in_ms=max(0, int(_read_number(entry, "warmupLeftMs", 0))),
        generation=_read_text(entry, "generation", default=""),
    )


def _read_text(entry: Mapping[str, object], key: str, default: str | None = None) -> str:
    value = entry.get(key, default)
    if not isinstance(value, str) or (not value and default is None):
        raise MalformedPageError(f"instances: {key} is not a valid string")
    return value


def _read_address(entry: Mapping[str, object]) -> str:
    address = _read_text(entry, "address")
    host, _, port = address.rpartition(":")
    if not host or not _is_port(port):
        raise MalformedPageError("instances: address is not host:port")
    return address


def _is_port(text: str) -> bool:
    digits = text.lstrip("0")  # the length is checked first because int() rejects thousands of digits
    return text.isascii() and text.isdigit() and len(digits) <= 5 and 0 < int(digits or "0") <= MAX_PORT


def _read_number(entry: Mapping[str, object], key: str, default: float) -> float:
    value = entry.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < MAX_NUMBER:
        raise MalformedPageError(f"instances: {key} is not a number")
    return value
