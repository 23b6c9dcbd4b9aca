"""What is deployed in a simulated day: services, their routes, the first configuration."""

from __future__ import annotations

from typing import Any

from hollowusher.simulation import reference_model as model

PUSH, PULL, FIXED, OTHER = "push", "pull", "fixed", "other"
FIXED_ADDRESS = "172.20.0.3:8066"
FIXED_RATE = 12.0
RECEIVERS = ("10.20.0.4:8080", "10.20.0.5:8080")
CLIENT_HOST, OPERATOR_HOST = "192.168.0.1", "192.168.0.2"
VISIBILITY_S = 3.0
LIST_LAG_S = 0.8


def _route(
    name: str,
    prefix: str,
    service: str,
    attempts: int,
    retention_s: float,
    ordered: bool,
    callback: bool,
    timeout_ms: int = 2000,
) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": "client.example",
        "pathPrefix": prefix,
        "type": "async",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 150,
        "priority": 1,
        "upstream": service,
        "maxAttempts": attempts,
        "ordered": ordered,
        "retentionS": retention_s,
        "callbackUrl": callback,
        "targetStartMs": 1200,
    }


def _service(
    name: str, rate: float = 0.0, idempotent: bool = False, pull: bool = False, fixed: str | None = None
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


def first_configuration() -> dict[str, Any]:
    """What the operator sends before traffic starts."""
    return {
        "generation": 1,
        "routes": [
            _route("push", "/push/", PUSH, 3, 300.0, ordered=False, callback=True),
            _route("line", "/line/", PUSH, 4, 300.0, ordered=True, callback=False),
            _route("other", "/other/", OTHER, 3, 300.0, ordered=False, callback=False),
            _route("short", "/short/", PUSH, 2, 3.0, ordered=False, callback=True),
            _route("pull", "/pulled/", PULL, 6, 300.0, ordered=False, callback=True),
            _route("ordered", "/ordered/", FIXED, 4, 300.0, ordered=True, callback=True),
        ],
        "upstreams": [
            _service(PUSH),
            _service(OTHER),
            _service(PULL, pull=True),
            _service(FIXED, rate=FIXED_RATE, idempotent=True, fixed=FIXED_ADDRESS),
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def route_rules(document: dict[str, Any]) -> dict[str, model.RouteRules]:
    """The rules' figures of each route of a configuration."""
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
