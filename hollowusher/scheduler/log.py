"""Log lines: RFC 5424 messages with structured data, printed to standard error and rate-limited.

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
_SD_ID = "job@32473"  # the number that RFC 5612 sets aside for documentation
_MOST_TEXT = 1024
STANDARD_ERROR = 2
LAST_LINES_S = 0.5  # how long a stalled reader of the last lines may hold up the end of the program


def escape(value: str) -> str:
    """A PARAM-VALUE: backslash, quote and bracket escaped, control characters shown as spaces."""
    plain = "".join(c if c >= " " and c != "\x7f" else " " for c in value)[:_MOST_TEXT]
    return plain.replace("\\", "\\\\").replace('"', '\\"').replace("]", "\\]")


def token(value: str, most: int) -> str:
    """A header field: printable ASCII without spaces, or the nil value."""
    return "".join(c for c in value if "!" <= c <= "~")[:most] or "-"


def message(severity: int, when: datetime, host: str, msg_id: str, text: str, fields: dict[str, str]) -> str:
    """One RFC 5424 message."""
    stamp = when.astimezone(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    params = "".join(f' {_name(k)}="{escape(v)}"' for k, v in fields.items())
    data = f"[{_SD_ID}{params}]" if fields else "-"
    body = " ".join(text.split())[:_MOST_TEXT]
    head = f"<{_FACILITY * 8 + severity}>1 {stamp} {token(host, 255)} hollowusher {os.getpid()}"
    return f"{head} {token(msg_id, 32)} {data} {body}"


def _name(key: str) -> str:
    """An SD-NAME: as a header field, without the characters that end a name."""
    return token("".join(c for c in key if c not in '="]'), 32)


class LogWriter:
    """Prints lines, each message id at most so often; says how many were left out.

    Lines leave by a queue and writes that do not block: no reader, however slow, holds up a job."""

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
        self._outlet = outlet or Outlet(STANDARD_ERROR, self._dropped)
        self._spare: dict[str, tuple[float, float, int]] = {}  # id: tokens, when counted, left out
        self._forward: socket.socket | None = None
        if forward is not None:
            self._forward = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._forward.setblocking(False)
            self._forward.connect(forward)

    def attach(self, later: Later) -> None:
        """From now on an event loop tries again what a stalled reader has left waiting."""
        self._outlet.later = later

    def error(self, msg_id: str, text: str, **fields: object) -> None:
        """Something is wrong with this program or its files."""
        self._write(_ERROR, msg_id, text, fields)

    def warning(self, msg_id: str, text: str, **fields: object) -> None:
        """Something outside is wrong."""
        self._write(_WARNING, msg_id, text, fields)

    def notice(self, msg_id: str, text: str, **fields: object) -> None:
        """A change that people on call look for."""
        self._write(_NOTICE, msg_id, text, fields)

    def info(self, msg_id: str, text: str, **fields: object) -> None:
        """An ordinary remark."""
        self._write(_INFO, msg_id, text, fields)

    def close(self) -> None:
        """End the forwarding, and give the reader of the last lines a moment."""
        self._outlet.close(LAST_LINES_S)
        if self._forward is not None:
            self._forward.close()
            self._forward = None

    def _write(self, severity: int, msg_id: str, text: str, fields: dict[str, object]) -> None:
        now = self._clock()
        tokens, then, left_out = self._spare.get(msg_id, (self._burst, now, 0))
        tokens = min(self._burst, tokens + (now - then) * self._per_s)
        if tokens < 1.0:
            self._spare[msg_id] = (tokens, now, left_out + 1)
            return
        self._spare[msg_id] = (tokens - 1.0, now, 0)
        shown = {k: str(v) for k, v in fields.items()}
        if left_out:
            shown["left-out"] = str(left_out)
        line = message(severity, datetime.now(UTC), self._host, msg_id, text, shown)
        self._outlet.put(line)
        if self._forward is not None:
            with contextlib.suppress(OSError):  # the receiver is away; the line stands on standard error
                self._forward.send(line.encode())

    def _dropped(self, count: int) -> str:
        return message(
            _WARNING,
            datetime.now(UTC),
            self._host,
            "log-dropped",
            "the reader of this log stalled; lines were dropped",
            {"lines": str(count)},
        )
