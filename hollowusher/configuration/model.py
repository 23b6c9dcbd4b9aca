"""The operator's configuration as the program uses it, read from its JSON document.

The controller that takes a document checks it with mashumaro (`checks`); all others read what was checked.

The wire's names are kept as aliases; units are those of the document (milliseconds, seconds, per second).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from hollowusher.configuration.section_reader import key, read_section


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and how."""

    name: str
    hostname: str
    path_prefix: str = field(metadata=key("pathPrefix"))
    upstream: str
    type: str = "async"
    timeout_ms: int = field(default=1000, metadata=key("timeoutMs"))
    target_latency_ms: int = field(default=0, metadata=key("targetLatencyMs"))
    target_start_ms: int = field(default=0, metadata=key("targetStartMs"))
    priority: int = 0
    max_attempts: int = field(default=1, metadata=key("maxAttempts"))
    ordered: bool = False
    retention_s: float = field(default=60.0, metadata=key("retentionS"))
    callback_url: bool = field(default=False, metadata=key("callbackUrl"))


@dataclass(frozen=True, slots=True)
class Service:
    """One upstream: listed workers, a fixed endpoint, or workers that pull."""

    name: str
    health_check: str = field(default="/healthz", metadata=key("healthCheck"))
    max_connections: int = field(default=64, metadata=key("maxConnections"))
    protocol: str = "h1"
    tls: bool = False
    rate_per_s: float = field(default=0.0, metadata=key("ratePerS"))
    idempotent: bool = False
    pull: bool = False
    fixed: str | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on what a client may send."""

    max_header_bytes: int = field(default=16_384, metadata=key("maxHeaderBytes"))
    max_body_bytes: int = field(default=262_144, metadata=key("maxBodyBytes"))
    header_timeout_ms: int = field(default=3_000, metadata=key("headerTimeoutMs"))
    idle_timeout_ms: int = field(default=15_000, metadata=key("idleTimeoutMs"))


@dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration."""

    generation: int
    routes: list[Route] = field(default_factory=list)
    upstreams: list[Service] = field(default_factory=list)
    limits: RequestLimits = field(default_factory=RequestLimits)

    def route_for(self, hostname: str, path: str) -> Route | None:
        """Return the route of this host with the longest prefix that the path starts with."""
        best: Route | None = None
        for route in self.routes:
            longer = best is None or len(route.path_prefix) > len(best.path_prefix)
            if route.hostname == hostname and path.startswith(route.path_prefix) and longer:
                best = route
        return best

    def route(self, name: str) -> Route | None:
        """Return the route of this name."""
        return next((route for route in self.routes if route.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service of this name."""
        return next((service for service in self.upstreams if service.name == name), None)


_SECTIONS: dict[str, type[Any]] = {
    "list[Route]": Route,
    "list[Service]": Service,
    "RequestLimits": RequestLimits,
}


def read_document(document: bytes) -> Configuration:
    """Return the configuration of a JSON document that has been checked before."""
    return read_section(Configuration, orjson.loads(document), _SECTIONS)
