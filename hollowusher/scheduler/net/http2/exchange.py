"""One request on a connection, from its wait for a stream to the end of its response."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.rules.streams import RejectReason

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)
MOST_INTERIM = 8  # interim responses (1xx) accepted for one request; none of them affects the result
Headers = Iterable[tuple[bytes, bytes]]


class ResponseParser(Protocol[T_co]):
    """Parses a response incrementally; each method returns the result as soon as it is known."""

    @property
    def held(self) -> int:
        """Bytes of the response that the parser buffers."""

    def head(self, headers: Headers) -> T_co | None:
        """Process the headers of the final response."""

    def piece(self, data: bytes) -> T_co | None:
        """Process a chunk of the body; raises ConnectionError if it is no valid response to this request."""

    def end(self, trailers: Headers) -> T_co | None:
        """Process the end of the stream; returns None if the response is incomplete."""


class StreamExchange(Generic[T]):
    """A request, its response parser and its progress on a connection.

    The first call of `finish` sets the result: the result of the response, the outcome of a stream that ended
    early, or the reason why the request was not sent.  Later calls have no effect.
    """

    __slots__ = (
        "answer",
        "answered",
        "begun_ns",
        "body",
        "connection",
        "end_at",
        "ended",
        "ended_ns",
        "headers",
        "interim",
        "may_begin",
        "result",
        "sent",
        "stream",
        "tell",
        "unread",
        "until_ns",
        "urgent",
    )

    def __init__(
        self,
        headers: Callable[[], list[tuple[bytes, bytes]]],
        body: bytes,
        answer: ResponseParser[T],
        until_ns: int,
        may_begin: Callable[[], bool],
        urgent: bool = False,
    ) -> None:
        self.headers, self.body, self.answer = headers, body, answer
        self.until_ns, self.may_begin, self.urgent = until_ns, may_begin, urgent
        self.tell: Callable[[], None] = lambda: None  # called once, when the result is set
        self.ended = False
        self.result: T | Outcome | RejectReason | None = None
        self.connection = self.stream = 0  # 0: none yet
        self.sent = 0  # bytes of the body passed to the connection
        # Output offset of the connection after the frame with END_STREAM; None: frame not produced yet.
        self.end_at: int | None = None
        self.begun_ns = 0
        self.answered = False  # whether any part of a response has arrived
        self.interim = 0
        self.unread = 0  # received bytes not yet returned to the stream's flow-control window
        self.ended_ns = 0  # when the result was found set while the stream was still open

    def finish(self, how: T | Outcome | RejectReason) -> None:
        """Set the result and call `tell`; only the first call has an effect."""
        if not self.ended:
            self.ended, self.result = True, how
            self.tell()
