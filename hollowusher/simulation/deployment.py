"""What is deployed in a simulated day: services, their routes, the first configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.clients import MAX_BODY_BYTES

PUSH, PULL, FIXED, OTHER = "push", "pull", "fixed", "other"
FIXED_ADDRESS = "172.20.0.3:8066"
SECOND_FIXED = "fixed-second"  # is configured only while a route that was moved uses it
SECOND_FIXED_ADDRESS = "172.20.0.4:8066"
FIXED_RATE = 12.0
RECEIVERS = ("10.20.0.4:8080", "10.20.0.5:8080")
CLIENT_HOST, OPERATOR_HOST = "192.168.0.1", "192.168.0.2"
VISIBILITY_S = 3.0
LIST_LAG_S = 0.8


@dataclass(frozen=True, kw_only=True)
class RouteTemplate:
    """What distinguishes one route from the others."""

    name: str
    prefix: str
    service: str
    max_attempts: int
    retention_s: float = 300.0
    ordered: bool = False
    callback: bool = False

    def document(self) -> dict[str, Any]:
        """Return the route as it stands in the configuration."""
        return {
            "name": self.name,
            "hostname": "client.example",
            "pathPrefix": self.prefix,
            "type": "async",
            "timeoutMs": 2000,
            "targetLatencyMs": 150,
            "priority": 1,
            "upstream": self.service,
            "maxAttempts": self.max_attempts,
            "ordered": self.ordered,
            "retentionS": self.retention_s,
            "callbackUrl": self.callback,
            "targetStartMs": 1200,
        }


ROUTES = (
    RouteTemplate(name="push", prefix="/push/", service=PUSH, max_attempts=3, callback=True),
    RouteTemplate(name="line", prefix="/line/", service=PUSH, max_attempts=4, ordered=True),
    RouteTemplate(name="other", prefix="/other/", service=OTHER, max_attempts=3),
    RouteTemplate(
        name="short", prefix="/short/", service=PUSH, max_attempts=2, retention_s=3.0, callback=True
    ),
    RouteTemplate(name="pull", prefix="/pulled/", service=PULL, max_attempts=6, callback=True),
    RouteTemplate(
        name="ordered", prefix="/ordered/", service=FIXED, max_attempts=4, ordered=True, callback=True
    ),
)


def _service(
    name: str, *, rate: float = 0.0, idempotent: bool = False, pull: bool = False, fixed: str | None = None
) -> dict[str, Any]:
    return {
        "name": name,
        "healthCheck": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "ratePerS": rate,
        "idempotent": idempotent,
        "pull": pull,
        "fixed": fixed,
    }


def second_fixed_service() -> dict[str, Any]:
    """Return the second service with a fixed endpoint as it stands in a configuration."""
    return _service(SECOND_FIXED, rate=FIXED_RATE, idempotent=True, fixed=SECOND_FIXED_ADDRESS)


def first_configuration() -> dict[str, Any]:
    """Return the configuration that the operator sends before traffic starts."""
    return {
        "generation": 1,
        "routes": [route.document() for route in ROUTES],
        "upstreams": [
            _service(PUSH),
            _service(OTHER),
            _service(PULL, pull=True),
            _service(FIXED, rate=FIXED_RATE, idempotent=True, fixed=FIXED_ADDRESS),
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def route_rules(document: dict[str, Any]) -> dict[str, model.RouteRules]:
    """Return what the rules need to know of each route of a configuration."""
    return {
        route["name"]: model.RouteRules(
            route["name"],
            route["upstream"],
            route["maxAttempts"],
            route["retentionS"],
            route["timeoutMs"] / 1000,
            route["ordered"],
        )
        for route in document["routes"]
    }
