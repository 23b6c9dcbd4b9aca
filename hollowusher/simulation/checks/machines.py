"""Checks of the machines: readiness after SIGTERM, retirements, liveness."""

from __future__ import annotations

from collections.abc import Iterator

from hollowusher.simulation.checks.rules import DeploymentRules, RuleViolation
from hollowusher.simulation.observations import Observations


def check_drain(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """DRAIN: a machine that was asked to stop still counts as ready seconds later."""
    for stop in observations.shutdowns:
        if stop.still_ready:
            yield RuleViolation("DRAIN", stop.edge, "is still ready 4 s after SIGTERM", stop.requested_at)


def check_retirements(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """RETIRE (a duty): a store that was to be emptied is emptied in time."""
    for order in observations.retirements:
        took = order.ended_at - order.asked_at
        if not order.completed or took > order.duration_s:
            said = f"emptied after {took:.1f} s" if order.completed else f"not emptied within {took:.1f} s"
            yield RuleViolation(
                "RETIRE", order.store, f"{said}, {order.duration_s:g} s given", order.ended_at
            )


def check_calls_after_fencing(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """FENCED (a duty): a deposed process calls again with the epoch that was rejected."""
    for call in observations.calls_after_fencing:
        matter = f"{call.matter.domain.name} {call.matter.partition}"
        waited_s = call.sent_at - call.rejected_at
        text = f"{call.request}, epoch {call.epoch} of {matter}, {waited_s:.2f} s after its rejection"
        yield RuleViolation("FENCED", call.caller, text, call.sent_at)


def check_liveness(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LIVENESS: some seconds after all is calm, members have caught up and an order is taken."""
    for found in observations.liveness_failures:
        yield RuleViolation("LIVENESS", found.subject, found.text, found.at)
