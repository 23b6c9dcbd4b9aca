"""A route node's answer to a job, whatever carried it: the lines, and the ending that each of them tells."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.dispatch.model import AttemptProgress, AttemptStarted, Dispatch, DispatchEvent
from hollowusher.scheduler.fronts.common import AttemptEnding, read_load

MOST_LINE = 512 * 1024  # a result of 64 KiB in JSON, each byte escaped


class LineSplitter:
    """Sets whole lines apart, however their bytes were cut; what is not whole yet is `rest`."""

    __slots__ = ("lines", "rest")

    def __init__(self) -> None:
        self.lines: deque[bytes] = deque()
        self.rest = bytearray()

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        *lines, rest = data.split(b"\n")
        if lines:
            self.lines.append(bytes(self.rest) + lines[0])
            self.lines.extend(lines[1:])
            self.rest.clear()
        self.rest += rest

    def finish(self) -> None:
        """No more comes; a last line may lack its end."""
        if self.rest:
            self.lines.append(bytes(self.rest))
            self.rest.clear()


def ending_of_head(
    status: int, headers: Mapping[str, str], meanings: Mapping[str, str]
) -> AttemptEnding | None:
    """The ending that an answer's head alone tells; None where the lines will tell."""
    if status == 200:
        return None
    reading = read_load(headers.get("x-load-report"), meanings)
    rejected = status in (503, 504) and headers.get("x-rejected") == "1"
    return AttemptEnding(Outcome.FULL if rejected else Outcome.ERROR, reading)


def read_line(
    line: bytes, order: Dispatch, meanings: Mapping[str, str], post: Callable[[DispatchEvent], None]
) -> AttemptEnding | None:
    """One line of the answer: the ending, if it is one, and else the desk is told of it.

    ConnectionError where it is not about this job: its result must not reach this client."""
    if not line.strip():
        return None
    try:
        reported: Any = json.loads(line)
        state = reported["state"]
    except (ValueError, KeyError, TypeError):
        raise ConnectionError("a line that cannot be read") from None
    if reported.get("id") != order.job.job_id:
        raise ConnectionError("a line about another job")
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
