"""The rules as checks on what the outside saw; each returns the breaks it found."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.observations import ConfigurationOrder, Observations, SentMessage, WorkerRun

CONTACT_S = 4.0
EARLY_S = 0.1
RATE_WINDOW_S = 5.0
RATE_OVERSHOOT = 1.1
RATE_EXTRA_ARRIVALS = 5
READ_MARGIN_S = 0.05
EARLY_START_S = EARLY_S + 0.2
KNOWN_AFTER_S = 2.0
BUDGET_FACTOR = 3
MAX_REJECTIONS = 3
STEADY_S = 6.0
SILENT_S = 3.0
DONE_BEFORE_S = 10.0
MAX_MISSING_CALLBACKS = 3
CONFIG_APPLY_S = 3.0
EXPIRY_MARGIN_S = 6.0
MAX_SKEW_S = 12.0


@dataclass(frozen=True)
class RuleViolation:
    """One break of a rule."""

    rule: str
    subject: str
    text: str
    at: float

    def __str__(self) -> str:
        return f"{self.rule} {self.subject} at {self.at:.3f}: {self.text}"


@dataclass(frozen=True)
class DeploymentRules:
    """The figures of the deployment that the checks need."""

    routes: dict[str, model.RouteRules]
    rates: dict[str, float]  # service -> messages a second
    clock_skew_s: float = 0.0  # of each machine, either way
    serve_everything: bool = True  # also check that all was done by the calm end (priced, not forbidden)


Check = Callable[[Observations, DeploymentRules], Iterator[RuleViolation]]


def check_lost(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LOST: accepted, not ended, and at the end its body is gone or it is reported as ended."""
    for message in _accepted(observations):
        if model.ended_at(observations, message, rules.routes[message.route]) <= observations.ended_at:
            continue
        finals = [answer for answer in observations.states if answer.id == message.id and answer.final]
        for answer in finals:
            if answer.state in ("completed", "dead_letter"):
                yield RuleViolation("LOST", message.id, f"reported {answer.state} without an end", answer.at)
        if not any(answer.body == message.body for answer in finals):
            said = ", ".join(f"{answer.status} {answer.state}" for answer in finals) or "nothing"
            yield RuleViolation(
                "LOST",
                message.id,
                f"accepted, not ended, body not back; last answers: {said}",
                observations.ended_at,
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
    for run in observations.runs:
        message = observations.messages.get(run.id)
        if message is not None and rules.routes[message.route].service != run.service:
            yield RuleViolation("ROUTE", run.id, f"of {message.route} ran at {run.service}", run.started_at)


def check_reported_states(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """MIXED: a state, stamp or body that nothing bears out."""
    for answer in observations.states:
        message = observations.messages[answer.id]
        if answer.body is not None and answer.body != message.body:
            yield RuleViolation("MIXED", answer.id, "another body came back", answer.at)
        yield from _check_reported_end(
            observations, rules, message, answer.state, answer.signature, answer.at, "state"
        )
    for call in observations.callbacks:
        known = observations.messages.get(call.id)
        if known is None:
            yield RuleViolation("MIXED", call.id, "call-back of a message that nobody sent", call.at)
            continue
        if call.state not in ("completed", "dead_letter"):
            yield RuleViolation("MIXED", call.id, f"call-back tells {call.state!r}", call.at)
        if known.callback_url != call.url:
            yield RuleViolation("MIXED", call.id, f"call-back came to {call.url}", call.at)
        yield from _check_reported_end(
            observations, rules, known, call.state, call.signature, call.at, "call-back"
        )


def _check_reported_end(
    observations: Observations,
    rules: DeploymentRules,
    message: SentMessage,
    state: str,
    signature: str,
    at: float,
    where: str,
) -> Iterator[RuleViolation]:
    if state == "completed" and signature not in model.signatures_of(observations, message.id):
        yield RuleViolation("MIXED", message.id, f"{where}: completed with stamp {signature!r}", at)
    if state == "dead_letter" and not model.may_be_dead_letter(
        observations, message, rules.routes[message.route], at
    ):
        yield RuleViolation("MIXED", message.id, f"{where}: dead_letter before its end", at)


def check_final_states_stable(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """MIXED: an end, once reported, changes or is taken back."""
    reported: dict[str, tuple[str, str]] = {}
    for answer in sorted(observations.states, key=lambda answer: answer.at):
        said = (answer.state, answer.signature)
        before = reported.get(answer.id)
        if before is not None and answer.state and said != before:
            yield RuleViolation("MIXED", answer.id, f"told as {before}, later as {said}", answer.at)
        if answer.state in ("completed", "dead_letter") and before is None:
            reported[answer.id] = said


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
    """EARLY: a run before the message's delay was over.  A takeover knows the delay's end by the time of day
    only, so the difference of two clocks is allowed."""
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


def check_unknown_accepted(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LOST: 404 or 410 for the state of a message that was accepted over 2 s before, in calm times."""
    for answer in observations.states:
        message = observations.messages[answer.id]
        if answer.status not in (404, 410) or not message.accepted or message.answered_at is None:
            continue
        late = answer.at > message.answered_at + KNOWN_AFTER_S
        if late and not model.has_fault(observations, answer.at - KNOWN_AFTER_S, answer.at, CONTACT_S):
            yield RuleViolation("LOST", answer.id, f"answered {answer.status} though accepted", answer.at)


def check_left_queued(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LOST: queued at the end though its time has come, in steady state, while nothing is done at all."""
    last_success = max(
        (run.ended_at or 0.0 for run in observations.runs if run.result == "success"), default=0.0
    )
    steady = (
        observations.ended_at - observations.calm_since >= STEADY_S
        and last_success < observations.ended_at - SILENT_S
    )
    if not steady:
        return
    for answer in observations.states:
        message = observations.messages[answer.id]
        if not answer.final or answer.state != "queued" or answer.at < observations.ended_at - SILENT_S:
            continue
        due = message.sent_at + message.delay_s < answer.at - STEADY_S
        ended = model.ended_at(observations, message, rules.routes[message.route]) <= answer.at
        had = any(run.started_at >= answer.at - STEADY_S for run in model.runs_of(observations, message.id))
        if due and not ended and not had:
            yield RuleViolation("LOST", message.id, "queued at the end though its time has come", answer.at)


def check_silent_callbacks(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LOST: in steady state at the end no call-back comes, and three are missing that are long owed."""
    last = max((call.at for call in observations.callbacks), default=0.0)
    if observations.ended_at - observations.calm_since < STEADY_S or last > observations.ended_at - SILENT_S:
        return
    called = {call.id for call in observations.callbacks}
    missing = [
        message.id
        for message in _accepted(observations)
        if message.callback_url
        and message.id not in called
        and model.ended_at(observations, message, rules.routes[message.route])
        < observations.ended_at - DONE_BEFORE_S
    ]
    if len(missing) >= MAX_MISSING_CALLBACKS:
        yield RuleViolation(
            "LOST", missing[0], f"{len(missing)} call-backs never came", observations.ended_at
        )


def check_repeated_ends(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """MIXED: a job's end was taken with 200, came again at once, and was refused by a machine in touch."""
    for end in observations.repeated_ends:
        refused = end.status is not None and end.status != 200
        if refused and not model.has_fault(observations, end.at, end.at, CONTACT_S):
            yield RuleViolation("MIXED", end.id, f"the repeated end got {end.status}", end.at)


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


def check_liveness(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LIVENESS: some seconds after all is calm, members have caught up and an order is taken."""
    for found in observations.liveness_failures:
        yield RuleViolation("LIVENESS", found.subject, found.text, found.at)


def check_expired(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """EXPIRED (not forbidden): a run long after the message's time had passed.  After a takeover the program
    allows for wall clocks that differ."""
    for run in observations.runs:
        message = observations.messages.get(run.id)
        if message is None:
            continue
        last = message.sent_at + rules.routes[message.route].retention_s + EXPIRY_MARGIN_S
        if run.started_at > last:
            text = f"ran {run.started_at - last:.3f} s after the margin beyond its retention"
            yield RuleViolation("EXPIRED", run.id, text, run.started_at)


def check_unserved(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """UNSERVED (priced, not forbidden): accepted and still not ended after the calm time at the end."""
    if not rules.serve_everything:
        return
    for message in _accepted(observations):
        route = rules.routes[message.route]
        if model.ended_at(observations, message, route) > observations.ended_at:
            yield RuleViolation(
                "UNSERVED",
                message.id,
                f"{message.route}: accepted, not ended by the calm end",
                message.sent_at,
            )


def check_stale(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """STALE (priced): ended well before the calm time's end, and still reported as queued."""
    if not rules.serve_everything:
        return
    for answer in observations.states:
        message = observations.messages[answer.id]
        if answer.final and answer.state == "queued":
            end = model.ended_at(observations, message, rules.routes[message.route])
            if end < observations.calm_since:
                yield RuleViolation("STALE", answer.id, f"ended at {end:.3f}, told as queued", answer.at)


def check_missing_callbacks(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """UNTOLD (priced): an end whose call-back was never accepted although all was calm."""
    if not rules.serve_everything:
        return
    reported = {call.id for call in observations.callbacks if call.status == 200}
    for message in _accepted(observations):
        if not message.callback_url or message.id in reported:
            continue
        end = model.ended_at(observations, message, rules.routes[message.route])
        if end < observations.calm_since:
            yield RuleViolation(
                "UNTOLD", message.id, f"ended at {end:.3f}, no call-back accepted", observations.ended_at
            )


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
    assert order.acknowledged_at is not None and order.rejected_at is not None
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


def _accepted(observations: Observations) -> list[SentMessage]:
    return [message for message in observations.messages.values() if message.accepted]


CHECKS: tuple[Check, ...] = (
    check_unknown_runs,
    check_route,
    check_run_after_rejection,
    check_order,
    check_run_twice,
    check_reported_states,
    check_final_states_stable,
    check_rate_limit,
    check_early,
    check_started_early,
    check_budget,
    check_unknown_accepted,
    check_left_queued,
    check_silent_callbacks,
    check_repeated_ends,
    check_drain,
    check_retirements,
    check_liveness,
    check_wrong_rejections,
    check_configuration_writes,
    check_configuration_reads,
    check_configuration_order,
    check_lost,
    check_expired,
    check_unserved,
    check_stale,
    check_missing_callbacks,
)


def find_violations(observations: Observations, rules: DeploymentRules) -> list[RuleViolation]:
    """All breaks, by time."""
    found = [break_ for check in CHECKS for break_ in check(observations, rules)]
    return sorted(found, key=lambda break_: break_.at)
