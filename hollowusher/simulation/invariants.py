"""The rules as checks on what the outside saw; each returns the breaks it found."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from hollowusher.simulation import plain_model as model
from hollowusher.simulation.observations import ConfigurationOrder, Observations, Run, SentMessage

CONTACT_S = 4.0
EARLY_S = 0.1
CEILING_WINDOW_S = 5.0
CEILING_OVERSHOOT = 1.1
CEILING_EXTRA = 5
READ_MARGIN_S = 0.05
EARLY_START_S = EARLY_S + 0.2
KNOWN_AFTER_S = 2.0
BUDGET_FACTOR = 3
MOST_REFUSALS = 3
STEADY_S = 6.0
SILENT_S = 3.0
DONE_BEFORE_S = 10.0
MOST_UNTOLD = 3
CONFIG_APPLY_S = 3.0
EXPIRY_MARGIN_S = 6.0
MOST_SKEW_S = 12.0


@dataclass(frozen=True)
class Broken:
    """One break of a rule."""

    rule: str
    subject: str
    text: str
    at: float

    def __str__(self) -> str:
        return f"{self.rule} {self.subject} at {self.at:.3f}: {self.text}"


@dataclass(frozen=True)
class Rules:
    """The figures of the deployment that the checks need."""

    routes: dict[str, model.RouteRules]
    rates: dict[str, float]  # service -> messages a second
    clock_skew_s: float = 0.0  # of each machine, either way
    serve_everything: bool = True  # also check that all was done by the calm end (priced, not forbidden)


Check = Callable[[Observations, Rules], Iterator[Broken]]


def check_lost(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """LOST: accepted, not ended, and at the end its body is gone or it is reported as ended."""
    for message in _accepted(seen):
        if model.ended_at(seen, message, rules.routes[message.route]) <= seen.ended_at:
            continue
        finals = [answer for answer in seen.states if answer.id == message.id and answer.final]
        for answer in finals:
            if answer.state in ("completed", "dead_letter"):
                yield Broken("LOST", message.id, f"reported {answer.state} without an end", answer.at)
        if not any(answer.body == message.body for answer in finals):
            said = ", ".join(f"{answer.status} {answer.state}" for answer in finals) or "nothing"
            yield Broken(
                "LOST", message.id, f"accepted, not ended, body not back; last answers: {said}", seen.ended_at
            )


def check_order(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """ORDER: a message starts before an earlier accepted one with its key has ended."""
    by_key: dict[tuple[str, str], list[SentMessage]] = defaultdict(list)
    for message in seen.messages.values():
        if rules.routes[message.route].ordered and message.ordering_key:
            by_key[message.route, message.ordering_key].append(message)
    for family in by_key.values():
        ends = {each.id: model.ended_at(seen, each, rules.routes[each.route]) for each in family}
        for later in family:
            for run in model.runs_of(seen, later.id):
                yield from _overtaken(family, ends, later, run)


def _overtaken(
    family: list[SentMessage], ends: dict[str, float], later: SentMessage, run: Run
) -> Iterator[Broken]:
    for earlier in family:
        accepted_before = (
            earlier.accepted and earlier.answered_at is not None and earlier.answered_at < later.sent_at
        )
        if accepted_before and ends[earlier.id] > run.started_at:
            yield Broken(
                "ORDER",
                later.id,
                f"started before {earlier.id} (key {later.ordering_key}) ended",
                run.started_at,
            )


def check_twice(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """TWICE: run again after a success that was read in calm time; or two lease ends taken."""
    for run in seen.runs:
        message = seen.messages.get(run.id)
        if message is None or run.result != "success" or run.read_at is None or run.ended_at is None:
            continue
        limit = rules.routes[message.route].timeout_s - READ_MARGIN_S
        if run.ended_at - run.started_at > limit:
            continue
        for again in model.runs_of(seen, run.id):
            after = again.started_at > run.read_at
            if after and not model.troubled(seen, run.started_at, again.started_at, CONTACT_S):
                yield Broken(
                    "TWICE",
                    run.id,
                    f"ran again at {again.worker} after its success was read",
                    again.started_at,
                )
    leases: dict[str, set[str]] = defaultdict(set)
    for end in seen.lease_ends:
        if end.result not in (200, 422):
            continue  # not an end of the message
        leases[end.id].add(end.lease)
        if len(leases[end.id]) > 1:
            yield Broken("TWICE", end.id, f"ends of two leases taken: {sorted(leases[end.id])}", end.at)


def check_refused(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """REFUSED: a promise that it never runs was given, and it ran."""
    for message in seen.messages.values():
        if message.status in (408, 421, 429, 503):
            for run in model.runs_of(seen, message.id):
                yield Broken(
                    "REFUSED",
                    message.id,
                    f"answered {message.status}, yet ran at {run.worker}",
                    run.started_at,
                )


def check_unasked(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """UNASKED: a run of something that nobody sent, or that was changed on its way."""
    for run in seen.runs:
        message = seen.messages.get(run.id)
        if message is None:
            yield Broken("UNASKED", run.id, "nobody sent this", run.started_at)
        elif run.body != message.body:
            yield Broken("UNASKED", run.id, "the body was changed", run.started_at)
        elif run.ordering_key is not None and run.ordering_key != message.ordering_key:
            text = f"the ordering key was {message.ordering_key!r} and became {run.ordering_key!r}"
            yield Broken("UNASKED", run.id, text, run.started_at)


def check_route(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """ROUTE: a service runs a request that no configuration sends there."""
    for run in seen.runs:
        message = seen.messages.get(run.id)
        if message is not None and rules.routes[message.route].service != run.service:
            yield Broken("ROUTE", run.id, f"of {message.route} ran at {run.service}", run.started_at)


def check_mixed(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """MIXED: a state, stamp or body that nothing bears out."""
    for answer in seen.states:
        message = seen.messages[answer.id]
        if answer.body is not None and answer.body != message.body:
            yield Broken("MIXED", answer.id, "another body came back", answer.at)
        yield from _told(seen, rules, message, answer.state, answer.signature, answer.at, "state")
    for call in seen.callbacks:
        known = seen.messages.get(call.id)
        if known is None:
            yield Broken("MIXED", call.id, "call-back of a message that nobody sent", call.at)
            continue
        if call.state not in ("completed", "dead_letter"):
            yield Broken("MIXED", call.id, f"call-back tells {call.state!r}", call.at)
        if known.callback_url != call.url:
            yield Broken("MIXED", call.id, f"call-back came to {call.url}", call.at)
        yield from _told(seen, rules, known, call.state, call.signature, call.at, "call-back")


def _told(
    seen: Observations, rules: Rules, message: SentMessage, state: str, signature: str, at: float, where: str
) -> Iterator[Broken]:
    if state == "completed" and signature not in model.stamps(seen, message.id):
        yield Broken("MIXED", message.id, f"{where}: completed with stamp {signature!r}", at)
    if state == "dead_letter" and not model.may_be_dead(seen, message, rules.routes[message.route], at):
        yield Broken("MIXED", message.id, f"{where}: dead_letter before its end", at)


def check_changed_end(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """MIXED: an end, once told, changes or is taken back."""
    told: dict[str, tuple[str, str]] = {}
    for answer in sorted(seen.states, key=lambda answer: answer.at):
        said = (answer.state, answer.signature)
        before = told.get(answer.id)
        if before is not None and answer.state and said != before:
            yield Broken("MIXED", answer.id, f"told as {before}, later as {said}", answer.at)
        if answer.state in ("completed", "dead_letter") and before is None:
            told[answer.id] = said


def check_ceiling(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """CEILING: more arrivals in some window than the service's rate allows."""
    for service, rate in rules.rates.items():
        most = rate * CEILING_WINDOW_S * CEILING_OVERSHOOT + CEILING_EXTRA
        times = sorted(arrival.at for arrival in seen.arrivals if arrival.service == service)
        for number, begin in enumerate(times):
            inside = sum(1 for at in times[number:] if at < begin + CEILING_WINDOW_S)
            if inside > most:
                text = f"{inside} arrivals in {CEILING_WINDOW_S} s, {most:.1f} allowed"
                yield Broken("CEILING", service, text, begin)
                break


def check_early(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """EARLY: a run before the message's delay was over.  A takeover knows the delay's end by the time of day
    only, so the difference of two clocks is allowed."""
    allowed = EARLY_S + 2 * rules.clock_skew_s
    for run in seen.runs:
        message = seen.messages.get(run.id)
        if message is not None and run.started_at < message.sent_at + message.delay_s - allowed:
            early = message.sent_at + message.delay_s - run.started_at
            yield Broken("EARLY", run.id, f"ran {early:.3f} s before its delay was over", run.started_at)


def check_started_early(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """ORDER: a message begins at a worker more than `earlyMs` + 200 ms before its delay is over."""
    for run in seen.runs:
        message = seen.messages.get(run.id)
        if message is not None and run.started_at < message.sent_at + message.delay_s - EARLY_START_S:
            early = message.sent_at + message.delay_s - run.started_at
            yield Broken("ORDER", run.id, f"began {early:.3f} s before its delay was over", run.started_at)


def check_budget(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """BUDGET: a run after three times the allowed failures, or after three refusals for good."""
    for message in seen.messages.values():
        most = BUDGET_FACTOR * rules.routes[message.route].max_attempts
        runs = model.runs_of(seen, message.id)
        for run in runs:
            before = [each for each in runs if each.ended_at is not None and each.ended_at < run.started_at]
            failed = sum(each.result == "failed" for each in before)
            refused = sum(each.result == "refused" for each in before)
            if failed >= most or refused >= MOST_REFUSALS:
                text = f"ran again after {failed} failures and {refused} refusals"
                yield Broken("BUDGET", message.id, text, run.started_at)
                break


def check_forgotten(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """LOST: 404 or 410 for the state of a message that was accepted over 2 s before, in calm times."""
    for answer in seen.states:
        message = seen.messages[answer.id]
        if answer.status not in (404, 410) or not message.accepted or message.answered_at is None:
            continue
        late = answer.at > message.answered_at + KNOWN_AFTER_S
        if late and not model.disturbed(seen, answer.at - KNOWN_AFTER_S, answer.at, CONTACT_S):
            yield Broken("LOST", answer.id, f"answered {answer.status} though accepted", answer.at)


def check_left_queued(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """LOST: queued at the end though its time has come, in steady state, while nothing is done at all."""
    last_success = max((run.ended_at or 0.0 for run in seen.runs if run.result == "success"), default=0.0)
    steady = seen.ended_at - seen.calm_since >= STEADY_S and last_success < seen.ended_at - SILENT_S
    if not steady:
        return
    for answer in seen.states:
        message = seen.messages[answer.id]
        if not answer.final or answer.state != "queued" or answer.at < seen.ended_at - SILENT_S:
            continue
        due = message.sent_at + message.delay_s < answer.at - STEADY_S
        ended = model.ended_at(seen, message, rules.routes[message.route]) <= answer.at
        had = any(run.started_at >= answer.at - STEADY_S for run in model.runs_of(seen, message.id))
        if due and not ended and not had:
            yield Broken("LOST", message.id, "queued at the end though its time has come", answer.at)


def check_silent_callbacks(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """LOST: in steady state at the end no call-back comes, and three are missing that are long owed."""
    last = max((call.at for call in seen.callbacks), default=0.0)
    if seen.ended_at - seen.calm_since < STEADY_S or last > seen.ended_at - SILENT_S:
        return
    called = {call.id for call in seen.callbacks}
    missing = [
        message.id
        for message in _accepted(seen)
        if message.callback_url
        and message.id not in called
        and model.ended_at(seen, message, rules.routes[message.route]) < seen.ended_at - DONE_BEFORE_S
    ]
    if len(missing) >= MOST_UNTOLD:
        yield Broken("LOST", missing[0], f"{len(missing)} call-backs never came", seen.ended_at)


def check_repeated_ends(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """MIXED: a job's end was taken with 200, came again at once, and was refused by a machine in touch."""
    for end in seen.repeated_ends:
        refused = end.status is not None and end.status != 200
        if refused and not model.disturbed(seen, end.at, end.at, CONTACT_S):
            yield Broken("MIXED", end.id, f"the repeated end got {end.status}", end.at)


def check_drain(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """DRAIN: a machine that was told to stop still counts as ready seconds later."""
    for stop in seen.stops:
        if stop.still_ready:
            yield Broken("DRAIN", stop.edge, "is still ready 4 s after SIGTERM", stop.told_at)


def check_emptied(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """RETIRE (a duty): a store that was to be emptied is emptied in time."""
    for order in seen.retirements:
        took = order.ended_at - order.asked_at
        if not order.completed or took > order.duration_s:
            said = f"emptied after {took:.1f} s" if order.completed else f"not emptied within {took:.1f} s"
            yield Broken("RETIRE", order.store, f"{said}, {order.duration_s:g} s given", order.ended_at)


def check_liveness(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """LIVENESS: some seconds after all is calm, members have caught up and an order is taken."""
    for found in seen.unwell:
        yield Broken("LIVENESS", found.subject, found.text, found.at)


def check_expired(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """EXPIRED (not forbidden): a run long after the message's time had passed.  After a takeover the program
    allows for wall clocks that differ."""
    for run in seen.runs:
        message = seen.messages.get(run.id)
        if message is None:
            continue
        last = message.sent_at + rules.routes[message.route].retention_s + EXPIRY_MARGIN_S
        if run.started_at > last:
            text = f"ran {run.started_at - last:.3f} s after the margin beyond its retention"
            yield Broken("EXPIRED", run.id, text, run.started_at)


def check_unserved(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """UNSERVED (priced, not forbidden): accepted and still not ended after the calm time at the end."""
    if not rules.serve_everything:
        return
    for message in _accepted(seen):
        route = rules.routes[message.route]
        if model.ended_at(seen, message, route) > seen.ended_at:
            yield Broken(
                "UNSERVED",
                message.id,
                f"{message.route}: accepted, not ended by the calm end",
                message.sent_at,
            )


def check_stale(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """STALE (priced): ended well before the calm time's end, and still reported as queued."""
    if not rules.serve_everything:
        return
    for answer in seen.states:
        message = seen.messages[answer.id]
        if answer.final and answer.state == "queued":
            end = model.ended_at(seen, message, rules.routes[message.route])
            if end < seen.calm_since:
                yield Broken("STALE", answer.id, f"ended at {end:.3f}, told as queued", answer.at)


def check_untold(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """UNTOLD (priced): an end whose call-back was never accepted although all was calm."""
    if not rules.serve_everything:
        return
    told = {call.id for call in seen.callbacks if call.status == 200}
    for message in _accepted(seen):
        if not message.callback_url or message.id in told:
            continue
        end = model.ended_at(seen, message, rules.routes[message.route])
        if end < seen.calm_since:
            yield Broken("UNTOLD", message.id, f"ended at {end:.3f}, no call-back accepted", seen.ended_at)


def check_configuration_writes(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """CONFIG: two changes on one version, invalid ones, refusals of what was acknowledged."""
    taken: dict[int, ConfigurationOrder] = {}
    for order in seen.orders:
        if order.acknowledged_at is None:
            continue
        if not order.valid:
            yield Broken(
                "CONFIG",
                f"order {order.number}",
                "an invalid configuration was acknowledged",
                order.acknowledged_at,
            )
        other = taken.setdefault(order.if_match, order)
        if other is not order and model.canonical(other.document) != model.canonical(order.document):
            text = f"acknowledged on version {order.if_match}, as was order {other.number}"
            yield Broken("CONFIG", f"order {order.number}", text, order.acknowledged_at)
        if order.refused_at is not None:
            yield from _refused_after_all(seen, order.number)


def _refused_after_all(seen: Observations, number: int) -> Iterator[Broken]:
    order = next(order for order in seen.orders if order.number == number)
    assert order.acknowledged_at is not None and order.refused_at is not None
    others = [other for other in seen.orders if other.number != number and other.first_sent_at > 0]
    first_answer = min(order.acknowledged_at, order.refused_at)
    between = [other for other in others if first_answer < other.first_sent_at < order.refused_at]
    if not between:
        yield Broken(
            "CONFIG", f"order {number}", "acknowledged and refused, nothing sent in between", order.refused_at
        )


def check_wrong_refusals(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """CONFIG: a valid order on the newest version is refused though no other change may be in force."""
    for order in seen.orders:
        if not order.valid or order.refused_at is None:
            continue
        others = [
            other
            for other in seen.orders
            if other is not order
            and model.may_be_in_force(other)
            and other.generation > order.if_match
            and 0 < other.first_sent_at < order.refused_at
        ]
        if not others:
            text = f"refused on version {order.if_match}, which nothing has replaced"
            yield Broken("CONFIG", f"order {order.number}", text, order.refused_at)


def check_configuration_reads(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """CONFIG and LOST: what is read back is the newest acknowledged version or a later one that was sent."""
    finals = [read for read in seen.reads if read.final]
    if seen.orders and not finals:
        yield Broken("CONFIG", "read back", "the configuration does not come", seen.ended_at)
    for read in seen.reads:
        generation = read.document["generation"]
        sent = [order for order in seen.orders if order.generation == generation and order.first_sent_at > 0]
        same = [order for order in sent if model.canonical(order.document) == model.canonical(read.document)]
        if not same and generation:
            yield Broken("CONFIG", f"version {generation}", "differs from what was sent", read.at)
        elif same and all(order.refused_at is not None and order.acknowledged_at is None for order in same):
            yield Broken("CONFIG", f"version {generation}", "is in force though it was refused", read.at)
    for read in seen.reads:
        known = max(
            (
                order.generation
                for order in seen.orders
                if order.acknowledged_at is not None and order.acknowledged_at < read.asked_at
            ),
            default=0,
        )
        if read.document["generation"] < known:
            text = f"version {read.document['generation']} was read, {known} had been acknowledged before"
            yield Broken("CONFIG", "read", text, read.at)
    for read in finals:
        newest = max(
            (order.generation for order in seen.orders if order.acknowledged_at is not None), default=0
        )
        if read.document["generation"] < newest:
            text = f"version {read.document['generation']} came, {newest} was acknowledged"
            yield Broken("LOST", "configuration", text, read.at)


def check_configuration_order(seen: Observations, rules: Rules) -> Iterator[Broken]:
    """CONFIG: within one life a process never goes back, and acknowledged versions reach it in time."""
    newest: dict[tuple[str, int], int] = {}
    for view in sorted(seen.generations, key=lambda view: view.at):
        key = (view.edge, view.life)
        if view.generation < newest.get(key, 0):
            yield Broken(
                "CONFIG",
                f"{view.edge}#{view.life}",
                f"went back from {newest[key]} to {view.generation}",
                view.at,
            )
        newest[key] = max(view.generation, newest.get(key, 0))
    for view in seen.generations:
        due = max(
            (
                order.generation
                for order in seen.orders
                if order.acknowledged_at is not None and order.acknowledged_at + CONFIG_APPLY_S < view.at
            ),
            default=0,
        )
        calm = not model.disturbed(seen, view.at, view.at, CONTACT_S + CONFIG_APPLY_S)
        if calm and view.generation < due:
            yield Broken(
                "CONFIG",
                f"{view.edge}#{view.life}",
                f"works with {view.generation}, {due} was acknowledged long ago",
                view.at,
            )


def _accepted(seen: Observations) -> list[SentMessage]:
    return [message for message in seen.messages.values() if message.accepted]


CHECKS: tuple[Check, ...] = (
    check_unasked,
    check_route,
    check_refused,
    check_order,
    check_twice,
    check_mixed,
    check_changed_end,
    check_ceiling,
    check_early,
    check_started_early,
    check_budget,
    check_forgotten,
    check_left_queued,
    check_silent_callbacks,
    check_repeated_ends,
    check_drain,
    check_emptied,
    check_liveness,
    check_wrong_refusals,
    check_configuration_writes,
    check_configuration_reads,
    check_configuration_order,
    check_lost,
    check_expired,
    check_unserved,
    check_stale,
    check_untold,
)


def broken(seen: Observations, rules: Rules) -> list[Broken]:
    """All breaks, by time."""
    found = [break_ for check in CHECKS for break_ in check(seen, rules)]
    return sorted(found, key=lambda break_: break_.at)
