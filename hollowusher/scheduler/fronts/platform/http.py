"""HTTP/1.1 messages, parsed by httptools under limits of our own."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import httptools

from hollowusher.scheduler.fronts.platform.answers import LineSplitter

MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024
MOST_PIPELINED = 16
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
# Headers that decide what a request means: two of one kind, and two readers could each take another.
ONCE = frozenset(
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
    """What came cannot be a request; the status says how it is answered."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


@dataclass(slots=True)
class HttpRequest:
    """One request that has come whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    came_ns: int = 0  # when its first byte came


@dataclass(slots=True)
class _Parts:
    """What has come of a message."""

    target: bytearray = field(default_factory=bytearray)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    head_bytes: int = 0
    head_done: bool = False
    came_ns: int = 0


class RequestReader:
    """Feeds bytes to the parser, however they are cut; whole requests stand in `ready`.

    With `read_job` this is the one strict check: what passes both means the same to every route node.  The
    parser itself refuses lengths that are no numbers, two lengths, and a length beside Transfer-Encoding,
    which could hide a second request in the body.  httptools wraps what its callbacks raise, so they note the
    fault and `feed` raises it.
    """

    def __init__(self) -> None:
        self.ready: deque[HttpRequest] = deque()
        self.begun = False  # whether a request has come in part
        self.expects = False  # whether its sender waits for leave to send the body
        self._parts = _Parts()
        self._bad: BadInput | None = None
        self._now_ns = 0
        self._parser = httptools.HttpRequestParser(self)

    @property
    def begun_ns(self) -> int:
        """When the first byte of the request under way came."""
        return self._parts.came_ns

    def feed(self, data: memoryview, now_ns: int = 0) -> None:
        """Take bytes that came just now; BadInput where they break HTTP or a limit."""
        self._now_ns = now_ns
        if not self.begun:
            self._parts.came_ns = now_ns
        if not self._parts.head_done:
            self.begun = True
            self._parts.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadInput(400, "upgrades are not supported") from None
        except httptools.HttpParserError:
            raise self._bad or BadInput(400, "not an HTTP/1.1 request") from None
        if not self._parts.head_done and self._parts.head_bytes > MOST_HEAD:
            raise BadInput(431, "the request's head is too large")
        if self._bad is not None:
            raise self._bad
        if len(self.ready) > MOST_PIPELINED:
            raise BadInput(400, "too many requests at a time")

    def on_message_begin(self) -> None:
        """A request begins."""
        # What has been counted of this head stays: a head without an end must not pass piece by piece.
        self.begun, self._parts = True, _Parts(head_bytes=self._parts.head_bytes, came_ns=self._now_ns)

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._parts.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A whole header.  One that follows the body is none of ours: it must not change what was checked."""
        if self._parts.head_done:
            return
        key = name.decode("latin-1").lower()
        if key in ONCE and key in self._parts.headers:
            self._bad = BadInput(400, f"more than one {key}")
        self._parts.headers[key] = value.decode("latin-1").strip(" \t")

    def on_headers_complete(self) -> None:
        """The head has come: a length that is over the limit is refused before the body."""
        self._parts.head_done = True
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._bad = BadInput(505, "only HTTP/1.1 is spoken here")
        if not self._parts.target.startswith(b"/") or b"#" in self._parts.target:
            self._bad = BadInput(400, "the target must be a path")
        self.expects = self._parts.headers.get("expect", "").lower() == "100-continue"
        length = self._parts.headers.get("content-length", "0")
        if length.isdigit() and int(length) > MOST_BODY:
            self._bad = BadInput(413, "a body holds no more than 64 KiB")

    def on_body(self, data: bytes) -> None:
        """A piece of the body, which may come in chunks of no stated length."""
        if len(self._parts.body) + len(data) > MOST_BODY:
            self._bad = BadInput(413, "a body holds no more than 64 KiB")
        else:
            self._parts.body += data

    def on_message_complete(self) -> None:
        """A request is whole."""
        parts, self._parts, self.begun, self.expects = self._parts, _Parts(), False, False
        self.ready.append(
            HttpRequest(
                self._parser.get_method().decode("latin-1"),
                parts.target.decode("latin-1"),
                parts.headers,
                bytes(parts.body),
                self._parser.should_keep_alive(),
                parts.came_ns,
            )
        )


class AnswerReader:
    """The answer of a route node or of the node list's service, line by line as it comes.

    What it holds is bounded: its head, each line, and, with `most_body`, the whole body, which else may go on
    for as long as its connection."""

    def __init__(self, most_line: int, most_body: int | None = None) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.head_done = self.complete = False
        self._kept_alive, self.spoilt = False, False  # spoilt: its connection is out of step for good
        self._body = LineSplitter()
        self.lines = self._body.lines
        self._most_line, self._most_body = most_line, most_body
        self._parser = httptools.HttpResponseParser(self)
        self._head_bytes = self._body_bytes = 0
        self._wrong = ""

    @property
    def reusable(self) -> bool:
        """Whether its connection may carry another request."""
        return self.complete and self._kept_alive and not self.spoilt

    def feed(self, data: memoryview) -> None:
        """Take bytes; ConnectionError where they cannot be an answer, or come after one that is whole."""
        if self.complete:
            self._wrong = "more than one answer"
        elif not self.head_done:
            self._head_bytes += len(data)
        try:
            if not self._wrong:
                self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as wrong:
            if not self.complete:
                self._wrong = self._wrong or f"not an HTTP answer: {wrong}"
            self.spoilt = True  # what follows a whole answer is of no use to anybody
        if not self.head_done and self._head_bytes > MOST_HEAD:
            self._wrong = "the head of the answer is too large"
        if self._wrong:
            self.spoilt = True
            raise ConnectionError(self._wrong)

    def end_within(self, most: int) -> None:
        """All that counts has come: so much of the body may follow, and is dropped."""
        self._most_body, self._most_line = self._body_bytes + most, most
        self.lines.clear()

    def on_message_begin(self) -> None:
        """An answer begins; a second one shows that the connection is not in step."""
        if self.complete:
            self.spoilt = True
            raise ValueError  # which ends the parsing: nothing of it must be taken for the first one's

    def on_header(self, name: bytes, value: bytes) -> None:
        """A whole header; none counts that follows the body."""
        if not self.head_done:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """The head has come."""
        self.status, self.head_done = self._parser.get_status_code(), True

    def on_body(self, data: bytes) -> None:
        """A piece of the body; whole lines are set apart."""
        self._body_bytes += len(data)
        if self._most_body is not None and self._body_bytes > self._most_body:
            self._wrong = "the answer is too long"
            return
        self._body.feed(data)
        if len(self._body.rest) > self._most_line:
            self._wrong = "a line of the answer is too long"

    def on_message_complete(self) -> None:
        """The answer is whole; a last line may lack its end.  An interim one (1xx) is none yet."""
        if 100 <= self.status < 200:
            self.head_done = False
            self.headers.clear()
            return
        self.complete, self._kept_alive = True, self._parser.should_keep_alive()
        self._body.finish()


def answer_head(status: int, length: int, close: bool, extra: str = "") -> bytes:
    """The head of an answer of ours."""
    connection = "Connection: close\r\n" if close else ""
    return (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {length}\r\n{extra}{connection}\r\n"
    ).encode("latin-1")
