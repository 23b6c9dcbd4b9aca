"""The check of messages that are left waiting, judged over a whole day and not at its end alone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.checks.rules import CONTACT_S, DeploymentRules, RuleViolation, accepted_messages
from hollowusher.simulation.observations import Observations, SentMessage, WorkerRun

LEFT_S = 6.0  # nobody has had the message for so long, in calm
MIN_OVERTAKERS = 3  # so many later ones of its route succeeded meanwhile: there was capacity


class Span(NamedTuple):
    """A stretch of time in seconds."""

    begin: float
    end: float


def check_left_waiting(observations: Observations, rules: DeploymentRules) -> Iterator[RuleViolation]:
    """LOST: a message whose time has come is not run in calm, while later ones of its route are."""
    calm = calm_spans(observations)
    runs: dict[str, list[WorkerRun]] = defaultdict(list)
    succeeded: dict[str, list[WorkerRun]] = defaultdict(list)
    for run in observations.runs:
        runs[run.id].append(run)
        message = observations.messages.get(run.id)
        if message is not None and run.result == "success":
            succeeded[message.route].append(run)
    for message in accepted_messages(observations):
        if message.ordering_key:
            continue
        end = model.ended_at(observations, message, rules.routes[message.route])
        served = _without_outages(observations, message.service, calm)
        for span in _idle_spans(message, end, runs[message.id], served):
            later = _overtakers(observations, message, succeeded[message.route], span)
            if later >= MIN_OVERTAKERS:
                text = (
                    f"due at {_due_at(message):.3f}, left waiting from {span.begin:.3f} to {span.end:.3f}, "
                    f"{later} later ones done"
                )
                yield RuleViolation("LOST", message.id, text, span.end)


def calm_spans(observations: Observations) -> list[Span]:
    """Return the stretches of `LEFT_S` or more in which no fault was, or had been for `CONTACT_S`."""
    spans = []
    begin = 0.0
    for fault in sorted(observations.faults, key=lambda fault: fault.begun_at):
        if fault.begun_at - begin >= LEFT_S:
            spans.append(Span(begin, fault.begun_at))
        begin = max(begin, (fault.ended_at or observations.ended_at) + CONTACT_S)
    if observations.ended_at - begin >= LEFT_S:
        spans.append(Span(begin, observations.ended_at))
    return spans


def _without_outages(observations: Observations, service: str, calm: list[Span]) -> list[Span]:
    """Return the calm stretches of `LEFT_S` or more in which the service had workers."""
    spans = calm
    for outage in observations.worker_outages:
        if service in outage.services:
            ended_at = outage.ended_at or observations.ended_at
            spans = [
                part
                for span in spans
                for part in (
                    Span(span.begin, min(span.end, outage.begun_at)),
                    Span(max(span.begin, ended_at), span.end),
                )
                if part.end - part.begin >= LEFT_S
            ]
    return spans


def _due_at(message: SentMessage) -> float:
    return message.sent_at + message.delay_s


def _idle_spans(
    message: SentMessage, ended_at: float, runs: list[WorkerRun], calm: list[Span]
) -> Iterator[Span]:
    """Yield the calm stretches of `LEFT_S` or more in which the message is due and no worker has it."""
    for span in calm:
        begin = max(span.begin, _due_at(message))
        end = min(span.end, ended_at)
        for run in sorted(runs, key=lambda run: run.started_at):
            if min(run.started_at, end) - begin >= LEFT_S:
                yield Span(begin, min(run.started_at, end))
            begin = max(begin, model.NEVER if run.ended_at is None else run.ended_at)
        if end - begin >= LEFT_S:
            yield Span(begin, end)


def _overtakers(
    observations: Observations, message: SentMessage, succeeded: list[WorkerRun], span: Span
) -> int:
    """Count the messages of the same route that were due later and began within the stretch."""
    return sum(
        span.begin <= run.started_at <= span.end
        and _due_at(observations.messages[run.id]) > max(_due_at(message), span.begin)
        for run in succeeded
    )
