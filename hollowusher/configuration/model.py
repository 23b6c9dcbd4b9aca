"""The operator's configuration as the program uses it, read by mashumaro from its JSON document.

The wire's names are kept as aliases; units are those of the document (milliseconds, seconds, per second).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import orjson
from mashumaro import DataClassDictMixin, field_options
from mashumaro.config import BaseConfig


class _Section(DataClassDictMixin):
    class Config(BaseConfig):
        serialize_by_alias = True
        allow_deserialization_not_by_alias = False
        lazy_compilation = True  # else both directions are compiled at import: 40 ms of each start


@dataclass(frozen=True, slots=True)
class Route(_Section):
    """Which requests go to which service, and how."""

    name: str
    hostname: str
    path_prefix: str = field(metadata=field_options(alias="pathPrefix"))
    upstream: str
    type: str = "async"
    timeout_ms: int = field(default=1000, metadata=field_options(alias="timeoutMs"))
    target_latency_ms: int = field(default=0, metadata=field_options(alias="targetLatencyMs"))
    target_start_ms: int = field(default=0, metadata=field_options(alias="targetStartMs"))
    priority: int = 0
    max_attempts: int = field(default=1, metadata=field_options(alias="maxAttempts"))
    ordered: bool = False
    retention_s: float = field(default=60.0, metadata=field_options(alias="retentionS"))
    callback_url: bool = field(default=False, metadata=field_options(alias="callbackUrl"))


@dataclass(frozen=True, slots=True)
class Service(_Section):
    """One upstream: listed workers, a fixed endpoint, or workers that pull."""

    name: str
    health_check: str = field(default="/healthz", metadata=field_options(alias="healthCheck"))
    max_connections: int = field(default=64, metadata=field_options(alias="maxConnections"))
    protocol: str = "h1"
    tls: bool = False
    rate_per_s: float = field(default=0.0, metadata=field_options(alias="ratePerS"))
    idempotent: bool = False
    pull: bool = False
    fixed: str | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits(_Section):
    """Bounds on what a client may send."""

    max_header_bytes: int = field(default=16_384, metadata=field_options(alias="maxHeaderBytes"))
    max_body_bytes: int = field(default=262_144, metadata=field_options(alias="maxBodyBytes"))
    header_timeout_ms: int = field(default=3_000, metadata=field_options(alias="headerTimeoutMs"))
    idle_timeout_ms: int = field(default=15_000, metadata=field_options(alias="idleTimeoutMs"))


@dataclass(frozen=True, slots=True)
class Configuration(_Section):
    """A whole configuration."""

    generation: int
    routes: list[Route] = field(default_factory=list)
    upstreams: list[Service] = field(default_factory=list)
    limits: RequestLimits = field(default_factory=RequestLimits)

    def route_for(self, hostname: str, path: str) -> Route | None:
        """The route of this host with the longest prefix that the path starts with."""
        best: Route | None = None
        for route in self.routes:
            longer = best is None or len(route.path_prefix) > len(best.path_prefix)
            if route.hostname == hostname and path.startswith(route.path_prefix) and longer:
                best = route
        return best

    def route(self, name: str) -> Route | None:
        """The route of this name."""
        return next((route for route in self.routes if route.name == name), None)

    def service(self, name: str) -> Service | None:
        """The service of this name."""
        return next((service for service in self.upstreams if service.name == name), None)


def read_document(document: bytes) -> Configuration:
    """The configuration of a JSON document that has been checked before."""
    return Configuration.from_dict(orjson.loads(document))
