"""The [http2] section of the settings file."""

from __future__ import annotations

from dataclasses import dataclass
from fnmatch import fnmatchcase

from hollowusher.scheduler.settings.model import Directive, Section, count, size, span, switch, words
from hollowusher.scheduler.settings.reader import Sheet


@dataclass(frozen=True, slots=True)
class Http2Config:
    """Which route nodes use HTTP/2, and the limits of their connections.  Time spans are in seconds."""

    enabled: bool = False
    nodes: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    connections: int = 2
    streams: int = 100
    waiting: int = 512
    stream_wait_s: float = 1.0
    body_wait_s: float = 1.0
    settings_wait_s: float = 0.5
    ping_after_s: float = 1.0
    ping_wait_s: float = 2.0
    max_lifetime_streams: int = 1_000_000
    held_bytes: int = 2 * 1024 * 1024
    control_frames: int = 500
    fall_back: bool = False
    fall_back_for_s: float = 60.0
    report_s: float = 60.0

    def speaks(self, name: str, kind: str) -> bool:
        """Whether the settings list the node with this name and machine kind as an HTTP/2 node."""
        if not self.enabled:
            return False
        return kind in self.kinds or any(fnmatchcase(name, pattern) for pattern in self.nodes)


_BASE = Http2Config()
HTTP2 = Section(
    "http2",
    "HTTP/2 connections to route nodes (docs/http2.md). Off on the platform.",
    (
        Directive("enabled", switch(), _BASE.enabled, "whether HTTP/2 is used for the listed nodes"),
        Directive(
            "nodes", words(), _BASE.nodes, "names of nodes that offer HTTP/2; `*` and `?` as in a shell"
        ),
        Directive("kinds", words(), _BASE.kinds, "machine kinds that offer HTTP/2"),
        Directive("connections", count(1, 16), _BASE.connections, "most connections to one node"),
        Directive(
            "streams",
            count(1, 10_000),
            _BASE.streams,
            "most streams open on one connection, even where the node allows more",
        ),
        Directive(
            "waiting",
            count(1, 100_000),
            _BASE.waiting,
            "most jobs that wait for a stream at one node; further ones are returned unsent at once",
        ),
        Directive(
            "stream-wait",
            span(0.01, 60),
            _BASE.stream_wait_s,
            "longest wait for a stream; then the job is returned unsent",
        ),
        Directive(
            "body-wait",
            span(0.05, 60),
            _BASE.body_wait_s,
            "longest time that flow control may block a request's body; then it is cancelled as never run",
        ),
        Directive(
            "settings-wait",
            span(0.05, 10),
            _BASE.settings_wait_s,
            "how long a new connection may take to show that it speaks HTTP/2",
        ),
        Directive(
            "ping-after",
            span(0.1, 60),
            _BASE.ping_after_s,
            "time without a received frame, with streams open, after which a PING is sent",
        ),
        Directive(
            "ping-wait",
            span(0.1, 60),
            _BASE.ping_wait_s,
            "time limit for any frame after the PING; then the connection counts as broken",
        ),
        Directive(
            "used-most",
            count(10, 1_000_000_000),
            _BASE.max_lifetime_streams,
            "number of streams after which a connection is replaced by a new one",
        ),
        Directive(
            "held-bytes",
            size(128 << 10, 64 << 20),
            _BASE.held_bytes,
            "most bytes of incomplete response lines that are buffered for one connection",
        ),
        Directive(
            "control-frames",
            count(50, 100_000),
            _BASE.control_frames,
            "control frames that a node may send in a burst; more close the connection",
        ),
        Directive(
            "fall-back",
            switch(),
            _BASE.fall_back,
            "whether HTTP/1.1 is used for a listed node that does not speak HTTP/2",
        ),
        Directive(
            "fall-back-for",
            span(1, 3600),
            _BASE.fall_back_for_s,
            "time until HTTP/2 is tried again at such a node",
        ),
        Directive(
            "report",
            span(1, 3600),
            _BASE.report_s,
            "interval between log lines with the figures of each node",
        ),
    ),
)


def read_http2(sheet: Sheet) -> Http2Config:
    """Read the section; raises ConfigError if it is enabled without `nodes` and `kinds`."""
    own = sheet.one(HTTP2)
    if own["enabled"] and not own["nodes"] and not own["kinds"]:
        raise own.fault("enabled", "names no node: set `nodes` or `kinds` as well")
    return Http2Config(
        own["enabled"],
        own["nodes"],
        own["kinds"],
        own["connections"],
        own["streams"],
        own["waiting"],
        own["stream-wait"],
        own["body-wait"],
        own["settings-wait"],
        own["ping-after"],
        own["ping-wait"],
        own["used-most"],
        own["held-bytes"],
        own["control-frames"],
        own["fall-back"],
        own["fall-back-for"],
        own["report"],
    )
