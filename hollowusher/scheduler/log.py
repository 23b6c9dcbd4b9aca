"""Writes rate-limited RFC 5424 log messages with structured data to standard error.

`docs/oncall.md` lists every message id.
"""

from __future__ import annotations

import contextlib
import os
import socket
import time
from collections.abc import Callable
from datetime import UTC, datetime

from hollowusher.scheduler.logs.outlet import Later, Outlet

_FACILITY = 16  # local0
_ERROR, _WARNING, _NOTICE, _INFO = 3, 4, 5, 6
_SD_ID = "job@32473"  # 32473 is the enterprise number that RFC 5612 reserves for documentation
_MOST_TEXT = 1024
STANDARD_ERROR = 2
LAST_LINES_S = 0.5  # how long a stalled reader of the log may delay the exit of the process


def escape(value: str) -> str:
    """Encode an RFC 5424 PARAM-VALUE: escapes backslashes, quotes and brackets, replaces control characters
    by spaces."""
    plain = "".join(c if c >= " " and c != "\x7f" else " " for c in value)[:_MOST_TEXT]
    return plain.replace("\\", "\\\\").replace('"', '\\"').replace("]", "\\]")


def token(value: str, most: int) -> str:
    """Encode an RFC 5424 header field of at most `most` characters: printable ASCII without spaces, or the
    nil value `-`."""
    return "".join(c for c in value if "!" <= c <= "~")[:most] or "-"


def message(severity: int, when: datetime, host: str, msg_id: str, text: str, fields: dict[str, str]) -> str:
    """Format one RFC 5424 message."""
    stamp = when.astimezone(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    params = "".join(f' {_param_name(k)}="{escape(v)}"' for k, v in fields.items())
    data = f"[{_SD_ID}{params}]" if fields else "-"
    body = " ".join(text.split())[:_MOST_TEXT]
    head = f"<{_FACILITY * 8 + severity}>1 {stamp} {token(host, 255)} hollowusher {os.getpid()}"
    return f"{head} {token(msg_id, 32)} {data} {body}"


def _param_name(key: str) -> str:
    """Encode an RFC 5424 SD-NAME: a header field of at most 32 characters without `=`, `]` and `"`."""
    return token("".join(c for c in key if c not in '="]'), 32)


class LogWriter:
    """Writes log lines with a rate limit for each message id.

    A line that follows suppressed lines of its message id carries their number as `left-out`.
    Lines pass through a queue and non-blocking writes, so a slow reader of the log never delays a job."""

    def __init__(
        self,
        host: str,
        per_s: float = 5.0,
        burst: float = 20.0,
        forward: tuple[str, int] | None = None,
        clock: Callable[[], float] = time.monotonic,
        outlet: Outlet | None = None,
    ) -> None:
        self._host, self._per_s, self._burst, self._clock = host, per_s, burst, clock
        self._outlet = outlet or Outlet(STANDARD_ERROR, self._format_dropped)
        # message id -> tokens, time of the last refill, suppressed lines
        self._buckets: dict[str, tuple[float, float, int]] = {}
        self._forward: socket.socket | None = None
        if forward is not None:
            self._forward = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._forward.setblocking(False)
            self._forward.connect(forward)

    def attach(self, later: Later) -> None:
        """Use `later` of an event loop to retry writing the lines that a stalled reader left in the queue."""
        self._outlet.later = later

    def error(self, msg_id: str, text: str, **fields: object) -> None:
        """Log a fault of this process or its files."""
        self._write(_ERROR, msg_id, text, fields)

    def warning(self, msg_id: str, text: str, **fields: object) -> None:
        """Log a fault outside this process, for example of a node or the network."""
        self._write(_WARNING, msg_id, text, fields)

    def notice(self, msg_id: str, text: str, **fields: object) -> None:
        """Log a state change that matters to on-call engineers."""
        self._write(_NOTICE, msg_id, text, fields)

    def info(self, msg_id: str, text: str, **fields: object) -> None:
        """Log a routine event."""
        self._write(_INFO, msg_id, text, fields)

    def close(self) -> None:
        """Flush the queued lines for up to LAST_LINES_S seconds, then close the syslog forwarding."""
        self._outlet.close(LAST_LINES_S)
        if self._forward is not None:
            self._forward.close()
            self._forward = None

    def _write(self, severity: int, msg_id: str, text: str, fields: dict[str, object]) -> None:
        now = self._clock()
        tokens, then, left_out = self._buckets.get(msg_id, (self._burst, now, 0))
        tokens = min(self._burst, tokens + (now - then) * self._per_s)
        if tokens < 1.0:
            self._buckets[msg_id] = (tokens, now, left_out + 1)
            return
        self._buckets[msg_id] = (tokens - 1.0, now, 0)
        shown = {k: str(v) for k, v in fields.items()}
        if left_out:
            shown["left-out"] = str(left_out)
        line = message(severity, datetime.now(UTC), self._host, msg_id, text, shown)
        self._outlet.put(line)
        if self._forward is not None:
            # The syslog receiver may be unreachable; standard error has the line anyway.
            with contextlib.suppress(OSError):
                self._forward.send(line.encode())

    def _format_dropped(self, count: int) -> str:
        return message(
            _WARNING,
            datetime.now(UTC),
            self._host,
            "log-dropped",
            "log lines were dropped because the reader of the log stalled",
            {"lines": str(count)},
        )
