"""Checks of the configuration: changes, rejections, reads, and which generation is in force."""

from __future__ import annotations

from collections.abc import Iterator

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.checks.rules import CONFIG_APPLY_S, CONTACT_S, DeploymentRules, RuleViolation
from hollowusher.simulation.observations import ConfigurationOrder, Observations


def check_configuration_writes(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """CONFIG: two changes on one version, invalid ones, refusals of what was acknowledged."""
    taken: dict[int, ConfigurationOrder] = {}
    for order in observations.orders:
        if order.acknowledged_at is None:
            continue
        if not order.valid:
            yield RuleViolation(
                "CONFIG",
                f"order {order.number}",
                "an invalid configuration was acknowledged",
                order.acknowledged_at,
            )
        other = taken.setdefault(order.if_match, order)
        if other is not order and model.canonical(other.document) != model.canonical(order.document):
            text = f"acknowledged on version {order.if_match}, as was order {other.number}"
            yield RuleViolation("CONFIG", f"order {order.number}", text, order.acknowledged_at)
        if order.rejected_at is not None:
            yield from _refused_after_all(observations, order.number)


def _refused_after_all(observations: Observations, number: int) -> Iterator[RuleViolation]:
    order = next(order for order in observations.orders if order.number == number)
    assert order.acknowledged_at is not None
    assert order.rejected_at is not None
    others = [other for other in observations.orders if other.number != number and other.first_sent_at > 0]
    first_answer = min(order.acknowledged_at, order.rejected_at)
    between = [other for other in others if first_answer < other.first_sent_at < order.rejected_at]
    if not between:
        yield RuleViolation(
            "CONFIG",
            f"order {number}",
            "acknowledged and refused, nothing sent in between",
            order.rejected_at,
        )


def check_wrong_rejections(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """CONFIG: a valid order on the newest version is refused though no other change may be in force."""
    for order in observations.orders:
        if not order.valid or order.rejected_at is None:
            continue
        others = [
            other
            for other in observations.orders
            if other is not order
            and model.may_be_in_force(other)
            and other.generation > order.if_match
            and 0 < other.first_sent_at < order.rejected_at
        ]
        if not others:
            text = f"refused on version {order.if_match}, which nothing has replaced"
            yield RuleViolation("CONFIG", f"order {order.number}", text, order.rejected_at)


def check_configuration_reads(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """CONFIG and LOST: what is read back is the newest acknowledged version or a later one that was sent."""
    finals = [read for read in observations.reads if read.final]
    if observations.orders and not finals:
        yield RuleViolation("CONFIG", "read back", "the configuration does not come", observations.ended_at)
    for read in observations.reads:
        generation = read.document["generation"]
        sent = [
            order
            for order in observations.orders
            if order.generation == generation and order.first_sent_at > 0
        ]
        same = [order for order in sent if model.canonical(order.document) == model.canonical(read.document)]
        if not same and generation:
            yield RuleViolation("CONFIG", f"version {generation}", "differs from what was sent", read.at)
        elif same and all(order.rejected_at is not None and order.acknowledged_at is None for order in same):
            yield RuleViolation(
                "CONFIG", f"version {generation}", "is in force though it was refused", read.at
            )
    for read in observations.reads:
        known = max(
            (
                order.generation
                for order in observations.orders
                if order.acknowledged_at is not None and order.acknowledged_at < read.asked_at
            ),
            default=0,
        )
        if read.document["generation"] < known:
            text = f"version {read.document['generation']} was read, {known} had been acknowledged before"
            yield RuleViolation("CONFIG", "read", text, read.at)
    for read in finals:
        newest = max(
            (order.generation for order in observations.orders if order.acknowledged_at is not None),
            default=0,
        )
        if read.document["generation"] < newest:
            text = f"version {read.document['generation']} came, {newest} was acknowledged"
            yield RuleViolation("LOST", "configuration", text, read.at)


def check_configuration_order(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """CONFIG: an incarnation never goes back, and acknowledged versions reach it in time."""
    newest: dict[tuple[str, int], int] = {}
    for view in sorted(observations.generations, key=lambda view: view.at):
        key = (view.edge, view.incarnation)
        if view.generation < newest.get(key, 0):
            yield RuleViolation(
                "CONFIG",
                f"{view.edge}#{view.incarnation}",
                f"went back from {newest[key]} to {view.generation}",
                view.at,
            )
        newest[key] = max(view.generation, newest.get(key, 0))
    for view in observations.generations:
        due = max(
            (
                order.generation
                for order in observations.orders
                if order.acknowledged_at is not None and order.acknowledged_at + CONFIG_APPLY_S < view.at
            ),
            default=0,
        )
        calm = not model.has_fault(observations, view.at, view.at, CONTACT_S + CONFIG_APPLY_S)
        if calm and view.generation < due:
            yield RuleViolation(
                "CONFIG",
                f"{view.edge}#{view.incarnation}",
                f"works with {view.generation}, {due} was acknowledged long ago",
                view.at,
            )
