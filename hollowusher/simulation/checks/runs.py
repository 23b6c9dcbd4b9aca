"""Checks of what ran: order, repeats, rejections, routes, rates, delays, attempts and retention."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.checks.rules import CONFIG_APPLY_S, CONTACT_S, DeploymentRules, RuleViolation
from hollowusher.simulation.observations import ConfigurationOrder, Observations, SentMessage, WorkerRun

EARLY_S = 0.1
DRAIN_S = 3.0  # `drainMs`
RATE_WINDOW_S = 5.0
RATE_OVERSHOOT = 1.1
RATE_EXTRA_ARRIVALS = 5
READ_MARGIN_S = 0.05
EARLY_START_S = EARLY_S + 0.2
BUDGET_FACTOR = 3
MAX_REJECTIONS = 3
EXPIRY_MARGIN_S = 6.0
FREEZE = "freeze"  # the kind of fault that stops a process and lets it go on


def check_unknown_runs(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """UNASKED: a run of something that nobody sent, or that was changed on its way."""
    for run in observations.runs:
        message = observations.messages.get(run.id)
        if message is None:
            yield RuleViolation("UNASKED", run.id, "nobody sent this", run.started_at)
        elif run.body != message.body:
            yield RuleViolation("UNASKED", run.id, "the body was changed", run.started_at)
        elif run.ordering_key is not None and run.ordering_key != message.ordering_key:
            text = f"the ordering key was {message.ordering_key!r} and became {run.ordering_key!r}"
            yield RuleViolation("UNASKED", run.id, text, run.started_at)


def check_route(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """ROUTE: a service runs a request that no configuration sends there."""
    services = {name: model.services_of(observations, route) for name, route in rules.routes.items()}
    for run in observations.runs:
        message = observations.messages.get(run.id)
        if message is not None and run.service not in services[message.route]:
            yield RuleViolation("ROUTE", run.id, f"of {message.route} ran at {run.service}", run.started_at)


def check_former_service(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """CONFIG: a request sent long after a change that moved its route is run by the former service."""
    for name, route in rules.routes.items():
        if len(model.services_of(observations, route)) == 1:
            continue
        orders = [order for order in observations.orders if name in model.route_names(order)]
        for run in observations.runs:
            message = observations.messages.get(run.id)
            if message is None or message.route != name:
                continue
            if run.service in _allowed_services(orders, name, message.sent_at):
                continue
            begin = message.sent_at - CONTACT_S - CONFIG_APPLY_S
            if not model.has_fault(observations, begin, run.started_at, CONTACT_S):
                text = f"of {name}, sent at {message.sent_at:.3f}, ran at its former service {run.service}"
                yield RuleViolation("CONFIG", run.id, text, run.started_at)


def _allowed_services(orders: list[ConfigurationOrder], route: str, sent_at: float) -> set[str]:
    """Return the services of a route by the versions that may handle a request sent at this time."""
    newest = max(
        (
            order.generation
            for order in orders
            if order.acknowledged_at is not None and order.acknowledged_at + CONFIG_APPLY_S < sent_at
        ),
        default=0,
    )
    return {
        model.service_of_order(order, route)
        for order in orders
        if order.generation >= newest and model.may_be_in_force(order)
    }


def check_drained_workers(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """DRAIN: a message reaches a worker too long after the platform's list shows it as draining."""
    shown_at = {drain.worker: drain.shown_at for drain in observations.drains}
    for run in observations.runs:
        shown = shown_at.get(run.worker, float("inf"))
        late_s = run.arrived_at - shown - DRAIN_S
        if late_s > 0 and not _had_fault(observations, shown - CONTACT_S, run.arrived_at):
            text = f"reached {run.worker} {late_s:.3f} s too late after it was shown as draining"
            yield RuleViolation("DRAIN", run.id, text, run.arrived_at)


def _had_fault(observations: Observations, begin: float, end: float) -> bool:
    return any(
        not fault.planned and fault.begun_at <= end and (fault.ended_at is None or fault.ended_at >= begin)
        for fault in observations.faults
    )


def check_run_after_rejection(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """REFUSED: a promise that it never runs was given, and it ran."""
    for message in observations.messages.values():
        if message.status in (408, 421, 429, 503):
            for run in model.runs_of(observations, message.id):
                yield RuleViolation(
                    "REFUSED",
                    message.id,
                    f"answered {message.status}, yet ran at {run.worker}",
                    run.started_at,
                )


def check_order(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """ORDER: a message starts before an earlier accepted one with its key has ended."""
    by_key: dict[tuple[str, str], list[SentMessage]] = defaultdict(list)
    for message in observations.messages.values():
        if rules.routes[message.route].ordered and message.ordering_key:
            by_key[message.route, message.ordering_key].append(message)
    for family in by_key.values():
        ends = {each.id: model.ended_at(observations, each, rules.routes[each.route]) for each in family}
        for later in family:
            for run in model.runs_of(observations, later.id):
                yield from _overtaken(family, ends, later, run)


def _overtaken(
    family: list[SentMessage], ends: dict[str, float], later: SentMessage, run: WorkerRun
) -> Iterator[RuleViolation]:
    for earlier in family:
        accepted_before = (
            earlier.accepted and earlier.answered_at is not None and earlier.answered_at < later.sent_at
        )
        if accepted_before and ends[earlier.id] > run.started_at:
            yield RuleViolation(
                "ORDER",
                later.id,
                f"started before {earlier.id} (key {later.ordering_key}) ended",
                run.started_at,
            )


def check_run_twice(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """TWICE: run again after a success that was read in calm time; or two lease ends taken."""
    for run in observations.runs:
        message = observations.messages.get(run.id)
        if message is None or run.result != "success" or run.read_at is None or run.ended_at is None:
            continue
        limit = rules.routes[message.route].timeout_s - READ_MARGIN_S
        if run.ended_at - run.started_at > limit:
            continue
        for again in model.runs_of(observations, run.id):
            after = again.started_at > run.read_at
            if after and not model.has_unplanned_fault(
                observations, run.started_at, again.started_at, CONTACT_S
            ):
                yield RuleViolation(
                    "TWICE",
                    run.id,
                    f"ran again at {again.worker} after its success was read",
                    again.started_at,
                )
    leases: dict[str, set[str]] = defaultdict(set)
    for end in observations.lease_ends:
        if end.result not in (200, 422):
            continue  # not an end of the message
        leases[end.id].add(end.lease)
        if len(leases[end.id]) > 1:
            yield RuleViolation(
                "TWICE", end.id, f"ends of two leases taken: {sorted(leases[end.id])}", end.at
            )


def check_rate_limit(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """CEILING: more arrivals in some window than the service's rate allows."""
    for service, rate in rules.rates.items():
        most = rate * RATE_WINDOW_S * RATE_OVERSHOOT + RATE_EXTRA_ARRIVALS
        times = sorted(arrival.at for arrival in observations.arrivals if arrival.service == service)
        for number, begin in enumerate(times):
            inside = sum(1 for at in times[number:] if at < begin + RATE_WINDOW_S)
            if inside > most:
                text = f"{inside} arrivals in {RATE_WINDOW_S} s, {most:.1f} allowed"
                yield RuleViolation("CEILING", service, text, begin)
                break


def check_early(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """EARLY: a run before the message's delay was over.

    After a takeover the end of the delay is known by the wall clock only, so the difference of two clocks is
    allowed.
    """
    allowed = EARLY_S + 2 * rules.clock_skew_s
    for run in observations.runs:
        message = observations.messages.get(run.id)
        if message is not None and run.started_at < message.sent_at + message.delay_s - allowed:
            early = message.sent_at + message.delay_s - run.started_at
            yield RuleViolation(
                "EARLY", run.id, f"ran {early:.3f} s before its delay was over", run.started_at
            )


def check_started_early(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """ORDER: a message begins at a worker more than `earlyMs` + 200 ms before its delay is over."""
    for run in observations.runs:
        message = observations.messages.get(run.id)
        if message is not None and run.started_at < message.sent_at + message.delay_s - EARLY_START_S:
            early = message.sent_at + message.delay_s - run.started_at
            yield RuleViolation(
                "ORDER", run.id, f"began {early:.3f} s before its delay was over", run.started_at
            )


def check_budget(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """BUDGET: a run after three times the allowed failures, or after three refusals for good."""
    for message in observations.messages.values():
        most = BUDGET_FACTOR * rules.routes[message.route].max_attempts
        runs = model.runs_of(observations, message.id)
        for run in runs:
            before = [each for each in runs if each.ended_at is not None and each.ended_at < run.started_at]
            failed = sum(each.result == "failed" for each in before)
            refused = sum(each.result == "refused" for each in before)
            if failed >= most or refused >= MAX_REJECTIONS:
                text = f"ran again after {failed} failures and {refused} refusals"
                yield RuleViolation("BUDGET", message.id, text, run.started_at)
                break


def check_expired(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """EXPIRED (not forbidden): a run long after the message's retention.

    After a takeover the program allows for wall clocks that differ.  A message that was sent to a frozen edge
    process lies unread until it runs again, and counts from then: nothing tells when it was sent.
    """
    for run in observations.runs:
        message = observations.messages.get(run.id)
        if message is None:
            continue
        read_at = _read_at(observations, message)
        last = read_at + rules.routes[message.route].retention_s + EXPIRY_MARGIN_S
        if run.started_at > last:
            text = f"ran {run.started_at - last:.3f} s after the margin beyond its retention"
            yield RuleViolation("EXPIRED", run.id, text, run.started_at)


def _read_at(observations: Observations, message: SentMessage) -> float:
    """Return when the edge process could read a message first: at its sending or the end of a freeze."""
    freezes = [
        fault.ended_at or model.NEVER
        for fault in observations.faults
        if fault.kind == FREEZE
        and fault.host == message.edge
        and fault.begun_at <= message.sent_at <= (fault.ended_at or model.NEVER)
    ]
    return max(freezes, default=message.sent_at)
