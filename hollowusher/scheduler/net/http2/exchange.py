"""One request on a connection, from its wait for a stream to the end of its answer."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.rules.streams import RejectReason

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)
MOST_INTERIM = 8  # interim answers (1xx) to one request; more serve nobody
Headers = Iterable[tuple[bytes, bytes]]


class ResponseParser(Protocol[T_co]):
    """Reads an answer piece by piece; each method gives the result once it is known."""

    @property
    def held(self) -> int:
        """Bytes that are kept of what has come."""

    def head(self, headers: Headers) -> T_co | None:
        """The final answer's head."""

    def piece(self, data: bytes) -> T_co | None:
        """Some of the body, cut anywhere; ConnectionError where it cannot be an answer to this request."""

    def end(self, trailers: Headers) -> T_co | None:
        """The stream has ended; None where the answer is not whole."""


class StreamExchange(Generic[T]):
    """What a connection needs of a request, and where it stands on it.

    `finish` is told once how it ended: the answer's result, or the outcome of a stream that ended before, or
    the reason for which the request never went out.  What comes after that is dropped.
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
        self.tell: Callable[[], None] = lambda: None  # called once it is settled
        self.ended = False
        self.result: T | Outcome | RejectReason | None = None
        self.connection = self.stream = 0  # 0: none yet
        self.sent = 0  # bytes of the body that are on their way
        self.end_at: int | None = None  # where in the connection's bytes END_STREAM ends
        self.begun_ns = 0
        self.answered = False  # whether anything of an answer has come
        self.interim = 0
        self.unread = 0  # bytes taken of which the node has not been told yet
        self.ended_ns = 0  # when it was found settled, with the stream still open

    def finish(self, how: T | Outcome | RejectReason) -> None:
        """The first ending counts."""
        if not self.ended:
            self.ended, self.result = True, how
            self.tell()
