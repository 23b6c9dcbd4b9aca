"""The HTTP/2 section of the settings file."""

from __future__ import annotations

from dataclasses import dataclass
from fnmatch import fnmatchcase

from hollowusher.scheduler.settings.model import Directive, Section, count, size, span, switch, words
from hollowusher.scheduler.settings.reader import Sheet


@dataclass(frozen=True, slots=True)
class Http2Config:
    """Which route nodes are reached by HTTP/2, and the limits of those connections.  Spans are seconds."""

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
        """Whether the node with this name and machine kind is listed as one that offers HTTP/2."""
        if not self.enabled:
            return False
        return kind in self.kinds or any(fnmatchcase(name, pattern) for pattern in self.nodes)


_BASE = Http2Config()
HTTP2 = Section(
    "http2",
    "HTTP/2 towards route nodes (docs/http2.md). Off on the platform.",
    (
        Directive("enabled", switch(), _BASE.enabled, "whether any node is reached by HTTP/2"),
        Directive("nodes", words(), _BASE.nodes, "names of nodes that offer it; `*` and `?` as in a shell"),
        Directive("kinds", words(), _BASE.kinds, "machine kinds that offer it"),
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
            "most jobs that wait for a stream at one node; further ones go back unsent at once",
        ),
        Directive(
            "stream-wait",
            span(0.01, 60),
            _BASE.stream_wait_s,
            "the longest wait for a stream; then the job goes back unsent",
        ),
        Directive(
            "body-wait",
            span(0.05, 60),
            _BASE.body_wait_s,
            "the longest that the node may hold up a request's body; then it is taken back as never run",
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
            "silence, with streams open, after which the node is asked for a sign of life",
        ),
        Directive(
            "ping-wait",
            span(0.1, 60),
            _BASE.ping_wait_s,
            "how long it may take to give one; then the connection counts as broken",
        ),
        Directive(
            "used-most",
            count(10, 1_000_000_000),
            _BASE.max_lifetime_streams,
            "streams after which a connection makes room for a new one",
        ),
        Directive(
            "held-bytes",
            size(128 << 10, 64 << 20),
            _BASE.held_bytes,
            "most bytes of unfinished lines that one connection may make us hold",
        ),
        Directive(
            "control-frames",
            count(50, 100_000),
            _BASE.control_frames,
            "frames without work that a node may send in a burst; more close its connection",
        ),
        Directive(
            "fall-back",
            switch(),
            _BASE.fall_back,
            "whether a listed node that does not speak HTTP/2 is tried by HTTP/1.1",
        ),
        Directive(
            "fall-back-for",
            span(1, 3600),
            _BASE.fall_back_for_s,
            "for how long, before HTTP/2 is tried again",
        ),
        Directive("report", span(1, 3600), _BASE.report_s, "how often the figures of each node are logged"),
    ),
)


def read_http2(sheet: Sheet) -> Http2Config:
    """The section's values; SettingsError where it is enabled for no node."""
    own = sheet.one(HTTP2)
    if own["enabled"] and not own["nodes"] and not own["kinds"]:
        raise own.fault("enabled", "names no node: give `nodes` or `kinds` as well")
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
