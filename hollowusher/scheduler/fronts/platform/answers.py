"""Parsing of a route node's response to a job: status, headers and lines, for HTTP/1.1 and HTTP/2."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.dispatch.model import AttemptProgress, AttemptStarted, Dispatch, DispatchEvent
from hollowusher.scheduler.fronts.common import AttemptEnding, read_load

MAX_LINE = 512 * 1024  # large enough for a result of 64 KiB in JSON with every byte escaped


class LineSplitter:
    """Splits a byte stream into `lines`; `rest` holds the incomplete last line."""

    __slots__ = ("lines", "rest")

    def __init__(self) -> None:
        self.lines: deque[bytes] = deque()
        self.rest = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes and move the complete lines to `lines`."""
        *lines, rest = data.split(b"\n")
        if lines:
            self.lines.append(bytes(self.rest) + lines[0])
            self.lines.extend(lines[1:])
            self.rest.clear()
        self.rest += rest

    def finish(self) -> None:
        """End the stream; a last line without a line end counts as complete."""
        if self.rest:
            self.lines.append(bytes(self.rest))
            self.rest.clear()


def ending_of_head(
    status: int, headers: Mapping[str, str], meanings: Mapping[str, str]
) -> AttemptEnding | None:
    """Return the attempt's result if status and headers determine it, or None if the body must be read."""
    if status == 200:
        return None
    reading = read_load(headers.get("x-load-report"), meanings)
    rejected = status in (503, 504) and headers.get("x-rejected") == "1"
    return AttemptEnding(Outcome.FULL if rejected else Outcome.ERROR, reading)


def read_line(
    line: bytes, order: Dispatch, meanings: Mapping[str, str], post: Callable[[DispatchEvent], None]
) -> AttemptEnding | None:
    """Parse one line of the response body.

    Returns the attempt's result if the line is final.  Otherwise it returns None and posts the reported start
    or progress to the dispatcher.

    Raises ConnectionError if the line cannot be parsed or names another job, whose result must not reach this
    client."""
    if not line.strip():
        return None
    try:
        reported: Any = json.loads(line)
        state = reported["state"]
    except (ValueError, KeyError, TypeError):
        raise ConnectionError("malformed line in the response") from None
    if reported.get("id") != order.job.job_id:
        raise ConnectionError("response line for another job")
    reading = read_load(reported.get("load"), meanings)
    match state:
        case "started":
            post(AttemptStarted(order.attempt))
        case "running":
            share = reported.get("share")
            post(AttemptProgress(order.attempt, share if isinstance(share, float) else 0.0))
        case "done":
            result = reported.get("result", "")
            text = result if isinstance(result, str) else json.dumps(result, separators=(",", ":"))
            return AttemptEnding(Outcome.OK, reading, text.encode("utf-8", "replace"))
        case "failed":
            return AttemptEnding(Outcome.ERROR, reading)
        case "returned":
            return AttemptEnding(Outcome.FULL, reading)
        case "lost":
            return AttemptEnding(Outcome.RESET, reading)
    return None
