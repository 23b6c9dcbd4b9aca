"""Readers for HTTP/1.1 requests and responses: httptools parses, this module adds limits and checks."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import httptools

from hollowusher.scheduler.fronts.platform.answers import LineSplitter

MAX_BODY = 64 * 1024  # maximum size of a request body
MAX_HEAD = 16 * 1024  # maximum size of the start line and headers of a message
MAX_PIPELINED = 16  # maximum number of complete requests that wait to be processed
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
# Headers that may occur only once: with a repeated one, the scheduler and a node could use different values.
UNIQUE_HEADERS = frozenset(
    (
        "host",
        "content-length",
        "transfer-encoding",
        "expect",
        "x-call-id",
        "x-call-class",
        "x-budget",
        "x-again",
        "x-call-info",
        "idempotency-key",
    )
)


class BadInput(Exception):
    """The received data is no valid request; `status` is the HTTP status of the error response."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


@dataclass(slots=True)
class HttpRequest:
    """One complete request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    arrived_ns: int = 0  # monotonic time at which the first byte arrived, in nanoseconds


@dataclass(slots=True)
class _Parts:
    """The received parts of an incomplete message."""

    target: bytearray = field(default_factory=bytearray)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    head_bytes: int = 0
    trailer_bytes: int = 0  # since the last byte of the body
    head_done: bool = False
    arrived_ns: int = 0


class RequestReader:
    """Incremental request parser; `ready` holds the complete requests.

    This class and `read_job` are the only strict validation: every route node interprets a request that
    passes both in the same way.  httptools itself rejects malformed and repeated lengths, and a length
    together with Transfer-Encoding, which would allow request smuggling.  httptools wraps exceptions from its
    callbacks, so the callbacks store the error and `feed` raises it.
    """

    def __init__(self) -> None:
        self.ready: deque[HttpRequest] = deque()
        self.begun = False  # whether a request has arrived in part
        self.expects = False  # whether the client waits for "100 Continue" before it sends the body
        self._parts = _Parts()
        self._bad_input: BadInput | None = None
        self._now_ns = 0
        self._parser = httptools.HttpRequestParser(self)

    @property
    def begun_ns(self) -> int:
        """Arrival time of the first byte of the incomplete request."""
        return self._parts.arrived_ns

    def feed(self, data: memoryview, now_ns: int = 0) -> None:
        """Parse data that arrived at the monotonic time `now_ns`.

        Raises BadInput if the data violates HTTP or a limit."""
        self._now_ns = now_ns
        if not self.begun:
            self._parts.arrived_ns = now_ns
        if not self._parts.head_done:
            self.begun = True
            self._parts.head_bytes += len(data)
        parts, body_bytes = self._parts, len(self._parts.body)
        was_in_body = parts.head_done
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadInput(400, "upgrades are not supported") from None
        except httptools.HttpParserError:
            raise self._bad_input or BadInput(400, "not an HTTP/1.1 request") from None
        if not self._parts.head_done and self._parts.head_bytes > MAX_HEAD:
            raise BadInput(431, "the request header section is too large")
        if self._bad_input is not None:
            raise self._bad_input
        if was_in_body and self._parts is parts:
            self._count_trailers(len(data), len(parts.body) > body_bytes)
        if len(self.ready) > MAX_PIPELINED:
            raise BadInput(400, "too many pipelined requests")

    def _count_trailers(self, size: int, has_body: bool) -> None:
        """Limit what follows the last byte of a body; the parser keeps an incomplete trailer."""
        self._parts.trailer_bytes = 0 if has_body else self._parts.trailer_bytes + size
        if self._parts.trailer_bytes > MAX_HEAD:
            raise BadInput(431, "the trailer section is too large")

    def on_message_begin(self) -> None:
        """Start a new request (httptools callback)."""
        # The byte count of the header section is kept, so that a header section without an end cannot pass
        # the limit in many small pieces.
        self.begun, self._parts = True, _Parts(head_bytes=self._parts.head_bytes, arrived_ns=self._now_ns)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (httptools callback)."""
        self._parts.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a complete header (httptools callback).

        Trailers are ignored, because they must not change headers that were already checked."""
        if self._parts.head_done:
            return
        key = name.decode("latin-1").lower()
        if key in UNIQUE_HEADERS and key in self._parts.headers:
            self._bad_input = BadInput(400, f"more than one {key} header")
        self._parts.headers[key] = value.decode("latin-1").strip(" \t")

    def on_headers_complete(self) -> None:
        """Check the complete header section (httptools callback).

        A length above the limit is rejected before the body arrives."""
        self._parts.head_done = True
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._bad_input = BadInput(505, "only HTTP/1.0 and HTTP/1.1 are supported")
        if not self._parts.target.startswith(b"/") or b"#" in self._parts.target:
            self._bad_input = BadInput(400, "the request target must be a path")
        self.expects = self._parts.headers.get("expect", "").lower() == "100-continue"
        length = self._parts.headers.get("content-length", "0")
        if length.isdigit() and int(length) > MAX_BODY:
            self._bad_input = BadInput(413, "the body is larger than 64 KiB")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body (httptools callback); the limit also holds for chunked bodies."""
        if len(self._parts.body) + len(data) > MAX_BODY:
            self._bad_input = BadInput(413, "the body is larger than 64 KiB")
        else:
            self._parts.body += data

    def on_message_complete(self) -> None:
        """Add the complete request to `ready` (httptools callback)."""
        parts, self._parts, self.begun, self.expects = self._parts, _Parts(), False, False
        self.ready.append(
            HttpRequest(
                self._parser.get_method().decode("latin-1"),
                parts.target.decode("latin-1"),
                parts.headers,
                bytes(parts.body),
                self._parser.should_keep_alive(),
                parts.arrived_ns,
            )
        )


class AnswerReader:
    """Incremental parser of responses from route nodes and the discovery service; splits the body into lines.

    The sizes of the header section and of each line are limited, and with `max_body` also the size of the
    whole body.  Without `max_body` the body may last as long as its connection."""

    def __init__(self, max_line: int, max_body: int | None = None) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.head_done = self.complete = False
        self._kept_alive, self.out_of_sync = False, False  # an out-of-sync connection is never reused
        self._body = LineSplitter()
        self.lines = self._body.lines
        self._max_line, self._max_body = max_line, max_body
        self._parser = httptools.HttpResponseParser(self)
        self._head_bytes = self._body_bytes = 0
        self._error = ""

    @property
    def reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        return self.complete and self._kept_alive and not self.out_of_sync

    def feed(self, data: memoryview) -> None:
        """Parse received data.

        Raises ConnectionError if the data is no valid response or follows a complete response."""
        if self.complete:
            self._error = "more than one response"
        elif not self.head_done:
            self._head_bytes += len(data)
        try:
            if not self._error:
                self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as wrong:
            if not self.complete:
                self._error = self._error or f"not an HTTP response: {wrong}"
            self.out_of_sync = True  # data after a complete response belongs to no request
        if not self.head_done and self._head_bytes > MAX_HEAD:
            self._error = "the response header section is too large"
        if self._error:
            self.out_of_sync = True
            raise ConnectionError(self._error)

    def limit_rest(self, most: int) -> None:
        """Discard the rest of the body and limit it to `most` more bytes."""
        self._max_body, self._max_line = self._body_bytes + most, most
        self.lines.clear()

    def on_message_begin(self) -> None:
        """Start a response (httptools callback); a second one means that the connection is out of sync."""
        if self.complete:
            self.out_of_sync = True
            raise ValueError  # stops the parser: the second response must not be merged into the first

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a complete header (httptools callback); trailers are ignored."""
        if not self.head_done:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store the status of the complete header section (httptools callback)."""
        self.status, self.head_done = self._parser.get_status_code(), True

    def on_body(self, data: bytes) -> None:
        """Split a part of the body into lines (httptools callback)."""
        self._body_bytes += len(data)
        if self._max_body is not None and self._body_bytes > self._max_body:
            self._error = "the response body is too long"
            return
        self._body.feed(data)
        if len(self._body.rest) > self._max_line:
            self._error = "a line of the response is too long"

    def on_message_complete(self) -> None:
        """Finish the response (httptools callback); ignore an interim response (1xx)."""
        if 100 <= self.status < 200:
            self.head_done = False
            self.headers.clear()
            return
        self.complete, self._kept_alive = True, self._parser.should_keep_alive()
        self._body.finish()


def answer_head(status: int, length: int, close: bool, extra: str = "") -> bytes:
    """Return status line and headers of a response; `extra` holds further header lines, each with CRLF."""
    connection = "Connection: close\r\n" if close else ""
    return (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {length}\r\n{extra}{connection}\r\n"
    ).encode("latin-1")
