"""A slow, plain reading of the rules: what may be said about a message, from what the outside saw.

Every question looks through all observations again; nothing is indexed, so nothing can be indexed wrongly.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hollowusher.simulation.observations import ConfigurationOrder, Observations, SentMessage, WorkerRun

NEVER = float("inf")


@dataclass(frozen=True)
class RouteRules:
    """What the rules need to know of a route; the same in every configuration that has it.

    `service` is that of the first configuration with the route; changes may give it another one.
    """

    name: str
    service: str
    max_attempts: int
    retention_s: float
    timeout_s: float
    ordered: bool


def runs_of(observations: Observations, message: str) -> list[WorkerRun]:
    """Return the runs of a message in the order they started."""
    return sorted((run for run in observations.runs if run.id == message), key=lambda run: run.started_at)


def route_names(order: ConfigurationOrder) -> set[str]:
    """Return the names of the routes of the configuration that an order makes."""
    return {str(route["name"]) for route in order.document["routes"]}


def may_be_in_force(order: ConfigurationOrder) -> bool:
    """Whether a change may have been taken."""
    return order.valid and (order.acknowledged_at is not None or order.rejected_at is None)


def route_dropped_at(observations: Observations, route: str, since: float) -> float:
    """Find the first time, from `since` on, at which a configuration without this route may be in force.

    An edge process may accept a message by an older configuration shortly after that.
    """
    orders = [order for order in observations.orders if may_be_in_force(order) and order.first_sent_at > 0]
    added = min((order.generation for order in orders if route in route_names(order)), default=None)
    if added is None:
        return NEVER
    times = [
        order.first_sent_at
        for order in orders
        if order.generation > added and route not in route_names(order)
    ]
    return max(since, min(times, default=NEVER))


def ended_at(observations: Observations, message: SentMessage, rules: RouteRules) -> float:
    """Find when a message ended by the rules, `NEVER` if no end has been seen.

    It ends by success, a rejection for good, its last attempt, its retention, or when its route is dropped.
    """
    ends = [message.sent_at + rules.retention_s]
    failures = 0
    for run in sorted(runs_of(observations, message.id), key=lambda run: run.ended_at or NEVER):
        if run.ended_at is None:
            continue
        if run.result in ("success", "refused"):
            ends.append(run.ended_at)
        elif run.result == "failed":
            failures += 1
            if failures == rules.max_attempts:
                ends.append(run.ended_at)
    ends.append(route_dropped_at(observations, message.route, message.sent_at))
    return min(ends)


def services_of(observations: Observations, route: RouteRules) -> set[str]:
    """Return the services that a configuration which may have been in force gives to a route."""
    return {route.service} | {
        service_of_order(order, route.name)
        for order in observations.orders
        if may_be_in_force(order) and order.first_sent_at > 0 and route.name in route_names(order)
    }


def service_of_order(order: ConfigurationOrder, route: str) -> str:
    """Return the service that the configuration which an order makes gives to a route."""
    return next(str(each["upstream"]) for each in order.document["routes"] if each["name"] == route)


def signatures_of(observations: Observations, message: str) -> set[str]:
    """Return the signatures of the successful runs of a message."""
    return {run.signature for run in runs_of(observations, message) if run.result == "success"}


def may_be_dead_letter(
    observations: Observations, message: SentMessage, rules: RouteRules, at: float
) -> bool:
    """Whether `dead_letter` may be reported at a time: the message has ended.

    The end is not a success that was read, which would be `completed`.
    """
    return ended_at(observations, message, rules) <= at


def has_unplanned_fault(observations: Observations, begin: float, end: float, contact_s: float) -> bool:
    """Whether unplanned fault touched the span, or the `contact_s` before it."""
    return any(
        not fault.planned
        and fault.begun_at <= end
        and (fault.ended_at is None or fault.ended_at >= begin - contact_s)
        for fault in observations.faults
    )


def has_fault(observations: Observations, begin: float, end: float, contact_s: float) -> bool:
    """Whether any fault, planned or not, touched the span or the `contact_s` before it."""
    return any(
        fault.begun_at <= end and (fault.ended_at is None or fault.ended_at >= begin - contact_s)
        for fault in observations.faults
    )


def effective_document(base: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """Apply a PATCH to a configuration and return the complete one that results."""
    document = {"generation": patch["generation"], "limits": dict(base["limits"])}
    for section in ("routes", "upstreams"):
        dropped = set(patch.get("delete", {}).get(section, []))
        changed = {item["name"]: item for item in patch.get("upsert", {}).get(section, [])}
        kept = [changed.pop(item["name"], item) for item in base[section] if item["name"] not in dropped]
        document[section] = kept + list(changed.values())
    return document


def canonical(document: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration as a value that is equal however its lists are ordered."""
    return {
        "generation": document["generation"],
        "limits": document["limits"],
        "routes": sorted(document["routes"], key=lambda item: str(item["name"])),
        "upstreams": sorted(document["upstreams"], key=lambda item: str(item["name"])),
    }
