"""Admission control: decides, by the current configuration, whether a client's request is a valid message.

This module does no I/O and keeps no state.
"""

from __future__ import annotations

import enum
import math
import re
from collections.abc import Mapping

import attrs

from hollowusher.configuration.host_names import normalized_host
from hollowusher.configuration.model import Configuration, Route, Service
from hollowusher.configuration.paths import normalized_path
from hollowusher.coordination.placement.partitioner import has_single_home
from hollowusher.protocol.messages import NewMessage

ATTEMPT_ID = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
DELAY = "X-Delay-Ms"
ORDERING_KEY = "X-Ordering-Key"
CALLBACK_URL = "X-Callback-Url"

DEFAULT_DEADLINE_MS = 1000.0
MAX_MILLISECONDS = 1e10
MAX_FAST_PATH_DIGITS = 9
MAX_ID_LENGTH = 256
MAX_ORDERING_KEY_LENGTH = 1024
ASYNC_ROUTE = "async"
_CALLBACK = re.compile(r"http://(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})/[!-~]*", re.ASCII)
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?", re.ASCII)
_VISIBLE = re.compile(r"[!-~]+")


class RejectionReason(enum.Enum):
    """The reason for the rejection of a request."""

    NO_ROUTE = "no route"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    NOT_READY = "not ready"
    OVERLOADED = "too much under way"


@attrs.frozen
class Rejection:
    """The status, reason and response text for a rejected request."""

    status: int
    reason: RejectionReason
    text: str


@attrs.frozen
class ClientRequest:
    """A complete HTTP request.  `headers` is a mapping with case-insensitive names."""

    method: str
    target: str  # path and query as sent by the client
    headers: Mapping[str, str]
    body: bytes = b""
    waited_s: float = 0.0  # time since the request head arrived


@attrs.frozen
class Admission:
    """A valid message that is ready to be stored."""

    message: NewMessage
    requires_home: bool  # only the home partition of the service may store the message
    remaining_client_wait_s: float  # seconds until the client's deadline


class RouteIndex:
    """An index of one configuration for looking up the route and the service of a request."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services: dict[str, Service] = {service.name: service for service in configuration.upstreams}
        self._routes: dict[str, list[tuple[str, Route]]] = {}  # host -> normalized prefixes, longest first
        for route in configuration.routes:
            routes_of_host = self._routes.setdefault(normalized_host(route.hostname), [])
            routes_of_host.append((normalized_path(route.path_prefix), route))
        for routes_of_host in self._routes.values():
            routes_of_host.sort(key=lambda prefix_and_route: len(prefix_and_route[0]), reverse=True)
        self.generation = configuration.generation
        self.requires_home = {
            service.name
            for service in configuration.upstreams
            if has_single_home(service.name, configuration)
        }

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        `host` is the value of a Host header.
        """
        path = normalized_path(target)
        for prefix, route in self._routes.get(normalized_host(host), ()):
            if path.startswith(prefix):
                return route
        return None


def parse_milliseconds(text: str) -> float | None:
    """Return the milliseconds that a header value gives, or None if it is invalid."""
    text = text.strip()
    if len(text) <= MAX_FAST_PATH_DIGITS and text.isascii() and text.isdigit():
        return float(text)
    if _NUMBER.fullmatch(text) is None:
        return None
    number = float(text)
    return number if number <= MAX_MILLISECONDS else None


def remaining_client_wait_s(request: ClientRequest) -> float | None:
    """Return the seconds until the client's deadline, or None if its deadline header is invalid."""
    text = request.headers.get(DEADLINE)
    wait_ms = DEFAULT_DEADLINE_MS if text is None else parse_milliseconds(text)
    return None if wait_ms is None else max(0.0, wait_ms / 1000 - request.waited_s)


def is_valid_callback_url(url: str) -> bool:
    """Return whether a callback URL has the form http://IP:PORT/path."""
    match = _CALLBACK.fullmatch(url)
    if match is None:
        return False
    *octets, port = (int(part) for part in match.groups())
    return max(octets) <= 255 and 0 < port < 65_536


def admit(request: ClientRequest, index: RouteIndex) -> Admission | Rejection:
    """Return the message that a request contains, or the reason for its rejection."""
    headers = request.headers
    sent_host = headers.get("Host", "")
    host = normalized_host(sent_host)
    if not host or not request.target.isascii() or not request.target.startswith("/"):
        return Rejection(400, RejectionReason.MALFORMED, "Host or path is missing or malformed")
    route = index.find_route(sent_host, request.target)
    if route is None:
        return Rejection(404, RejectionReason.NO_ROUTE, "no route")
    service = index.services.get(route.upstream)
    if service is None or route.type != ASYNC_ROUTE:
        return Rejection(503, RejectionReason.NOT_READY, "the route cannot be served")
    if len(request.body) > index.configuration.limits.max_body_bytes:
        return Rejection(413, RejectionReason.TOO_LARGE, "body too large")
    attempt_id = headers.get(ATTEMPT_ID, "")
    if len(attempt_id) > MAX_ID_LENGTH or _VISIBLE.fullmatch(attempt_id) is None:
        return _malformed(ATTEMPT_ID)
    wait_s = remaining_client_wait_s(request)
    if wait_s is None:
        return _malformed(DEADLINE)
    delay = headers.get(DELAY)
    delay_ms = 0.0 if delay is None else parse_milliseconds(delay)
    if delay_ms is None:
        return _malformed(DELAY)
    ordering_key = headers.get(ORDERING_KEY, "")
    if len(ordering_key) > MAX_ORDERING_KEY_LENGTH or not _is_text(ordering_key):
        return _malformed(ORDERING_KEY)
    callback_url = headers.get(CALLBACK_URL, "") if route.callback_url else ""
    if callback_url and not is_valid_callback_url(callback_url):
        return _malformed(CALLBACK_URL)
    content_type = headers.get("Content-Type", "")
    if not content_type.isascii():
        return _malformed("Content-Type")
    message = NewMessage(
        id=attempt_id,
        route=route.name,
        service=service.name,
        method=request.method,
        path=request.target,
        host=host,
        body=request.body,
        content_type=content_type,
        ordering_key=ordering_key if route.ordered else "",
        delay_ms=math.ceil(delay_ms),
        callback_url=callback_url,
        max_attempts=route.max_attempts,
        retention_ms=math.ceil(route.retention_s * 1000),
        timeout_ms=route.timeout_ms,
        priority=route.priority,
        target_start_ms=route.target_start_ms,
        headers=[[ORDERING_KEY, ordering_key]] if ordering_key and not route.ordered else [],
        generation=index.generation,
    )
    return Admission(message, service.name in index.requires_home, wait_s)


def reject_head(request: ClientRequest, index: RouteIndex, declared_length: int | None) -> Rejection | None:
    """Return the rejection of a request by its head alone, or None if the body must be read.

    `declared_length` is the value of Content-Length, or None if the request has none."""
    admission = admit(request, index)
    if isinstance(admission, Rejection):
        return admission
    if declared_length is not None and declared_length > index.configuration.limits.max_body_bytes:
        return Rejection(413, RejectionReason.TOO_LARGE, "body too large")
    return None


def _is_text(value: str) -> bool:
    """Return whether a header value is valid UTF-8; invalid bytes are decoded to lone surrogates."""
    return value.isascii() or not any("\ud800" <= character <= "\udfff" for character in value)


def _malformed(header: str) -> Rejection:
    return Rejection(400, RejectionReason.MALFORMED, f"{header} is missing or malformed")
