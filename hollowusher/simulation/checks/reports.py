"""Checks of what clients and receivers of call-backs were told: states, ends, bodies, losses."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.checks.rules import CONTACT_S, DeploymentRules, RuleViolation, accepted_messages
from hollowusher.simulation.observations import Observations, SentMessage

KNOWN_AFTER_S = 2.0
STEADY_S = 6.0
SILENT_S = 3.0
DONE_BEFORE_S = 10.0
MAX_MISSING_CALLBACKS = 3


@dataclass(frozen=True)
class ReportedEnd:
    """A state of a message as the system has reported it, and where."""

    message: SentMessage
    state: str
    signature: str
    at: float
    source: str  # "state" or "call-back"


def check_reported_states(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """MIXED: a state, stamp or body that nothing bears out."""
    for answer in observations.states:
        message = observations.messages[answer.id]
        if answer.body is not None and answer.body != message.body:
            yield RuleViolation("MIXED", answer.id, "another body came back", answer.at)
        reported = ReportedEnd(message, answer.state, answer.signature, answer.at, "state")
        yield from _check_reported_end(observations, rules, reported)
    for call in observations.callbacks:
        known = observations.messages.get(call.id)
        if known is None:
            yield RuleViolation("MIXED", call.id, "call-back of a message that nobody sent", call.at)
            continue
        if call.state not in ("completed", "dead_letter"):
            yield RuleViolation("MIXED", call.id, f"call-back tells {call.state!r}", call.at)
        if known.callback_url != call.url:
            yield RuleViolation("MIXED", call.id, f"call-back came to {call.url}", call.at)
        reported = ReportedEnd(known, call.state, call.signature, call.at, "call-back")
        yield from _check_reported_end(observations, rules, reported)


def _check_reported_end(
    observations: Observations, rules: DeploymentRules, reported: ReportedEnd
) -> Iterator[RuleViolation]:
    message, source = reported.message, reported.source
    if reported.state == "completed" and reported.signature not in model.signatures_of(
        observations, message.id
    ):
        text = f"{source}: completed with stamp {reported.signature!r}"
        yield RuleViolation("MIXED", message.id, text, reported.at)
    if reported.state == "dead_letter" and not model.may_be_dead_letter(
        observations, message, rules.routes[message.route], reported.at
    ):
        yield RuleViolation("MIXED", message.id, f"{source}: dead_letter before its end", reported.at)


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


def check_repeated_ends(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """MIXED: a job's end was taken with 200, came again at once, and was refused by a machine in touch."""
    for end in observations.repeated_ends:
        refused = end.status is not None and end.status != 200
        if refused and not model.has_fault(observations, end.at, end.at, CONTACT_S):
            yield RuleViolation("MIXED", end.id, f"the repeated end got {end.status}", end.at)


def check_lost(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LOST: accepted, not ended, and at the end its body is gone or it is reported as ended."""
    for message in accepted_messages(observations):
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


def check_unknown_accepted(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LOST: 404 or 410 for the state of a message that was accepted over 2 s before, in calm times.

    The state of a message that has ended need not be known for longer than `statusS` after its end.
    """
    for answer in observations.states:
        message = observations.messages[answer.id]
        if answer.status not in (404, 410) or not message.accepted or message.answered_at is None:
            continue
        ended = model.ended_at(observations, message, rules.routes[message.route])
        if answer.at > ended + rules.status_s:
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
        for message in accepted_messages(observations)
        if message.callback_url
        and message.id not in called
        and model.ended_at(observations, message, rules.routes[message.route])
        < observations.ended_at - DONE_BEFORE_S
    ]
    if len(missing) >= MAX_MISSING_CALLBACKS:
        yield RuleViolation(
            "LOST", missing[0], f"{len(missing)} call-backs never came", observations.ended_at
        )


def check_unserved(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """UNSERVED (priced, not forbidden): accepted and still not ended after the calm time at the end."""
    if not rules.serve_everything:
        return
    for message in accepted_messages(observations):
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
    for message in accepted_messages(observations):
        if not message.callback_url or message.id in reported:
            continue
        end = model.ended_at(observations, message, rules.routes[message.route])
        if end < observations.calm_since:
            yield RuleViolation(
                "UNTOLD", message.id, f"ended at {end:.3f}, no call-back accepted", observations.ended_at
            )
