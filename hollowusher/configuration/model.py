"""The data model of the operator's configuration, which is a JSON document.

The controller that accepts a document validates it with mashumaro (`checks`); all other processes read the
validated document with `read_document`.

The keys of the JSON document are the aliases of the fields.  Suffixes give the units: `_ms`, `_s`, `_per_s`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from hollowusher.configuration.section_reader import key, read_section


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests by host and path prefix to a service, with the delivery options of their messages."""

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
    """An upstream service: workers from the platform's list, a fixed endpoint, or workers that pull jobs."""

    name: str
    health_check: str = field(default="/healthz", metadata=key("healthCheck"))
    max_connections: int = field(default=64, metadata=key("maxConnections"))
    protocol: str = "h1"
    tls: bool = False
    rate_per_s: float = field(default=0.0, metadata=key("ratePerS"))
    idempotent: bool = False
    pull: bool = False
    fixed: str | None = None

    @property
    def fixed_destination_key(self) -> str | None:
        """The key by which an edge process is chosen as the owner of the fixed endpoint; None without one."""
        return None if self.fixed is None else f"{self.name}/{self.fixed}"


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size and the duration of a client's request."""

    max_header_bytes: int = field(default=16_384, metadata=key("maxHeaderBytes"))
    max_body_bytes: int = field(default=262_144, metadata=key("maxBodyBytes"))
    header_timeout_ms: int = field(default=3_000, metadata=key("headerTimeoutMs"))
    idle_timeout_ms: int = field(default=15_000, metadata=key("idleTimeoutMs"))


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration."""

    generation: int
    routes: list[Route] = field(default_factory=list)
    upstreams: list[Service] = field(default_factory=list)
    limits: RequestLimits = field(default_factory=RequestLimits)

    def route(self, name: str) -> Route | None:
        """Return the route with this name."""
        return next((route for route in self.routes if route.name == name), None)

    def routes_to(self, service: str) -> list[Route]:
        """Return the routes whose messages go to a service."""
        return [route for route in self.routes if route.upstream == service]

    def service(self, name: str) -> Service | None:
        """Return the service with this name."""
        return next((service for service in self.upstreams if service.name == name), None)


_SECTIONS: dict[str, type[Any]] = {
    "list[Route]": Route,
    "list[Service]": Service,
    "RequestLimits": RequestLimits,
}


def read_document(document: bytes) -> Configuration:
    """Decode a JSON document that a controller has already validated."""
    return read_section(Configuration, orjson.loads(document), _SECTIONS)
