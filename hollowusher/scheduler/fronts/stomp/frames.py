"""STOMP 1.2 frames: incremental parsing, encoding, and the header escapes of the specification."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

MAX_HEAD = 8 * 1024  # maximum size of the command line and headers of a frame
MAX_HEADERS = 64
MAX_BODY = 64 * 1024
FROM_CLIENT = frozenset(
    (
        "CONNECT",
        "STOMP",
        "SEND",
        "SUBSCRIBE",
        "UNSUBSCRIBE",
        "ACK",
        "NACK",
        "BEGIN",
        "COMMIT",
        "ABORT",
        "DISCONNECT",
    )
)
FROM_SERVER = frozenset(("CONNECTED", "MESSAGE", "RECEIPT", "ERROR"))
_LINE_ENDS = re.compile(rb"(?:\r?\n)+")
_UNESCAPED = frozenset(("CONNECT", "CONNECTED"))  # headers are not escaped, for compatibility with STOMP 1.0
_WITH_BODY = frozenset(("SEND", "MESSAGE", "ERROR"))
_ESCAPES = {"\\": "\\\\", "\r": "\\r", "\n": "\\n", ":": "\\c"}
_UNESCAPES = {"\\": "\\", "r": "\r", "n": "\n", "c": ":"}


class FrameError(Exception):
    """The peer sent an invalid frame or an invalid request; the text is sent back in an ERROR frame.

    `receipt` is the receipt header of the frame, if it has one."""

    def __init__(self, why: str, receipt: str = "") -> None:
        super().__init__(why)
        self.why, self.receipt = why, receipt


@dataclass(slots=True)
class Frame:
    """A STOMP frame."""

    command: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    def need(self, header: str) -> str:
        """Return a required header.  Raises FrameError if it is missing or empty."""
        value = self.headers.get(header, "")
        if not value:
            raise FrameError(f"{self.command} lacks the header {header}", self.headers.get("receipt", ""))
        return value


def _escape(text: str) -> str:
    return "".join(_ESCAPES.get(c, c) for c in text)


def _unescape(text: str) -> str:
    if "\\" not in text:
        return text
    out, characters = [], iter(text)
    for c in characters:
        if c == "\\":
            meant = _UNESCAPES.get(next(characters, ""))
            if meant is None:  # the specification requires a fatal error for any other escape
                raise FrameError("undefined escape sequence in a header")
            c = meant
        out.append(c)
    return "".join(out)


def encode(frame: Frame) -> bytes:
    """Return the encoded command and headers of a frame, including the blank line before the body."""
    plain = frame.command in _UNESCAPED
    lines = [frame.command]
    for name, value in frame.headers.items():
        if plain and ("\n" in value or "\r" in value):
            raise ValueError("a header of a CONNECT or CONNECTED frame contains a line end")
        lines.append(f"{name}:{value}" if plain else f"{_escape(name)}:{_escape(value)}")
    if frame.command in _WITH_BODY:
        lines.append(f"content-length:{len(frame.body)}")
    return ("\n".join(lines) + "\n\n").encode()


class FrameReader:
    """Incremental frame parser; `ready` holds the complete frames.

    Line ends between frames are heart-beats and are skipped."""

    def __init__(self, commands: Collection[str]) -> None:
        self.ready: deque[Frame] = deque()
        self._commands = commands
        self._held = bytearray()  # unparsed data; the limits of header section and body bound its size
        self._head: Frame | None = None
        self._length: int | None = None

    @property
    def begun(self) -> bool:
        """Whether a frame has arrived in part."""
        return self._head is not None or bool(self._held)

    def feed(self, data: memoryview | bytes) -> None:
        """Parse received data.  Raises FrameError if it violates the specification or a limit."""
        self._held += data
        while self._read_head() and self._read_body():
            pass

    def _read_head(self) -> bool:
        """Parse the header section of the next frame; return whether it is complete."""
        if self._head is not None:
            return True
        held = self._held
        heartbeats = _LINE_ENDS.match(held)
        if heartbeats is not None:
            del held[: heartbeats.end()]
        if not held:
            return False
        ends = [(at, at + len(mark)) for mark in (b"\n\n", b"\n\r\n") if (at := held.find(mark)) >= 0]
        end, after = min(ends, default=(len(held), 0))
        if held.find(0, 0, end) >= 0:
            raise FrameError("a frame ended before its header section was complete")
        if end > MAX_HEAD:
            raise FrameError("the header section of a frame is too large")
        if not ends:
            return False
        self._head = self._parse_head(bytes(held[:end]))
        self._length = self._read_length(self._head)
        del held[:after]
        return True

    def _parse_head(self, head: bytes) -> Frame:
        try:
            lines = [line.removesuffix("\r") for line in head.decode().split("\n")]
        except UnicodeDecodeError:
            raise FrameError("the header section is not valid UTF-8") from None
        command, headers = lines[0], dict[str, str]()
        if command not in self._commands:
            raise FrameError("unknown command")
        if len(lines) > MAX_HEADERS:
            raise FrameError("too many headers")
        for line in lines[1:]:
            name, sep, value = line.partition(":")
            if not sep or not name or "\r" in line:
                raise FrameError("malformed header line")
            if command not in _UNESCAPED:
                name, value = _unescape(name), _unescape(value)
            headers.setdefault(name, value)  # the first of repeated headers applies, by the specification
        return Frame(command, headers)

    def _read_length(self, head: Frame) -> int | None:
        text = head.headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise FrameError("content-length is not a number", head.headers.get("receipt", ""))
        if len(text) > 9 or int(text) > MAX_BODY:
            raise FrameError("the body is larger than 64 KiB", head.headers.get("receipt", ""))
        return int(text)

    def _read_body(self) -> bool:
        """Read the body of the current frame; return whether the frame is complete."""
        head, held, length = self._head, self._held, self._length
        assert head is not None
        receipt = head.headers.get("receipt", "")
        if length is None:
            length = held.find(0)
            if max(length, len(held) if length < 0 else 0) > MAX_BODY:
                raise FrameError("the body is larger than 64 KiB", receipt)
            if length < 0:
                return False
        elif len(held) <= length:
            return False
        if held[length] != 0:
            raise FrameError("the body does not end at its content-length", receipt)
        head.body = bytes(held[:length])
        if head.body and head.command not in _WITH_BODY:
            raise FrameError(f"{head.command} must not have a body", receipt)
        del held[: length + 1]
        self._head = None
        self.ready.append(head)
        return True
