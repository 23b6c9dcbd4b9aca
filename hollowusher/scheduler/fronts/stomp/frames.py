"""STOMP 1.2 frames: parsing however the bytes are cut, and writing, with the escapes of the specification."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

MOST_HEAD = 8 * 1024
MOST_HEADERS = 64
MOST_BODY = 64 * 1024
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
_BARE = frozenset(("CONNECT", "CONNECTED"))  # not escaped, for the sake of 1.0 peers
_WITH_BODY = frozenset(("SEND", "MESSAGE", "ERROR"))
_ESCAPES = {"\\": "\\\\", "\r": "\\r", "\n": "\\n", ":": "\\c"}
_MEANT = {"\\": "\\", "r": "\r", "n": "\n", "c": ":"}


class FrameError(Exception):
    """What came is no frame, or a frame that asks for what cannot be; the text goes back in an ERROR."""

    def __init__(self, why: str, receipt: str = "") -> None:
        super().__init__(why)
        self.why, self.receipt = why, receipt


@dataclass(slots=True)
class Frame:
    """A command, its headers, its body."""

    command: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    def need(self, header: str) -> str:
        """A header that must be there."""
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
            meant = _MEANT.get(next(characters, ""))
            if meant is None:  # the specification makes any other escape fatal
                raise FrameError("an escape that is not defined")
            c = meant
        out.append(c)
    return "".join(out)


def encode(frame: Frame) -> bytes:
    """The frame's head, up to where its body begins; the body and a NUL follow."""
    plain = frame.command in _BARE
    lines = [frame.command]
    for name, value in frame.headers.items():
        if plain and ("\n" in value or "\r" in value):
            raise ValueError("a header of this frame cannot hold a line end")
        lines.append(f"{name}:{value}" if plain else f"{_escape(name)}:{_escape(value)}")
    if frame.command in _WITH_BODY:
        lines.append(f"content-length:{len(frame.body)}")
    return ("\n".join(lines) + "\n\n").encode()


class FrameReader:
    """Takes bytes as they come; whole frames stand in `ready`.  Line ends between frames are heart-beats."""

    def __init__(self, commands: Collection[str]) -> None:
        self.ready: deque[Frame] = deque()
        self._commands = commands
        self._held = bytearray()  # of the frame that is coming in, never more than a head and a body
        self._head: Frame | None = None
        self._length: int | None = None

    @property
    def begun(self) -> bool:
        """Whether a frame has come in part."""
        return self._head is not None or bool(self._held)

    def feed(self, data: memoryview | bytes) -> None:
        """Take bytes; FrameError where they break the specification or a limit."""
        self._held += data
        while self._read_head() and self._read_body():
            pass

    def _read_head(self) -> bool:
        """Whether the frame under way has its head."""
        if self._head is not None:
            return True
        held, start = self._held, 0
        while held[start : start + 1] == b"\n" or held[start : start + 2] == b"\r\n":
            start += 1 if held[start] == 0x0A else 2
        del held[:start]
        if not held:
            return False
        ends = [(at, at + len(mark)) for mark in (b"\n\n", b"\n\r\n") if (at := held.find(mark)) >= 0]
        end, after = min(ends, default=(len(held), 0))
        if held.find(0, 0, end) >= 0:
            raise FrameError("a frame ended inside its head")
        if end > MOST_HEAD:
            raise FrameError("the head of a frame is too large")
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
            raise FrameError("a head that is not UTF-8") from None
        command, headers = lines[0], dict[str, str]()
        if command not in self._commands:
            raise FrameError("a command that is not known here")
        if len(lines) > MOST_HEADERS:
            raise FrameError("too many headers")
        for line in lines[1:]:
            name, sep, value = line.partition(":")
            if not sep or not name or "\r" in line:
                raise FrameError("a header line that cannot be read")
            if command not in _BARE:
                name, value = _unescape(name), _unescape(value)
            headers.setdefault(name, value)  # where a header is repeated, the first one counts
        return Frame(command, headers)

    def _read_length(self, head: Frame) -> int | None:
        text = head.headers.get("content-length")
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise FrameError("content-length is not a number", head.headers.get("receipt", ""))
        if len(text) > 9 or int(text) > MOST_BODY:
            raise FrameError("a body holds no more than 64 KiB", head.headers.get("receipt", ""))
        return int(text)

    def _read_body(self) -> bool:
        """Whether the frame under way has become whole."""
        head, held, length = self._head, self._held, self._length
        assert head is not None
        receipt = head.headers.get("receipt", "")
        if length is None:
            length = held.find(0)
            if max(length, len(held) if length < 0 else 0) > MOST_BODY:
                raise FrameError("a body holds no more than 64 KiB", receipt)
            if length < 0:
                return False
        elif len(held) <= length:
            return False
        if held[length] != 0:
            raise FrameError("a body does not end where its content-length says", receipt)
        head.body = bytes(held[:length])
        if head.body and head.command not in _WITH_BODY:
            raise FrameError(f"{head.command} has no body", receipt)
        del held[: length + 1]
        self._head = None
        self.ready.append(head)
        return True
