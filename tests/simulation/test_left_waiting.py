"""LOST: a message that is left waiting in calm is found wherever in the day that is, and nothing else is."""

from __future__ import annotations

import pytest

from hollowusher.simulation.checks.rules import DeploymentRules
from hollowusher.simulation.checks.waiting import LEFT_S, MIN_OVERTAKERS, Span, calm_spans, check_left_waiting
from hollowusher.simulation.observations import InjectedFault, MessageStateResponse, SentMessage, WorkerOutage
from tests.simulation.test_simulated_invariants import History

DUE = 10.0


def history(late_start: float, overtakers: int = MIN_OVERTAKERS) -> tuple[History, SentMessage]:
    """One message due at 10 s that starts at `late_start`, and later ones that run at once meanwhile."""
    made = History()
    waiting = made.sent("waiting", at=1.0, delay_s=DUE - 1.0)
    made.ran("waiting", late_start)
    for number in range(overtakers):
        made.sent(f"later-{number}", at=DUE + 1.0 + number)
        made.ran(f"later-{number}", DUE + 1.0 + number)
    return made, waiting


def found(made: History) -> list[str]:
    rules = DeploymentRules(made.ROUTES, {})
    return [violation.subject for violation in check_left_waiting(made.observations, rules)]


def test_a_message_that_others_overtake_in_calm_is_found() -> None:
    assert found(history(DUE + LEFT_S + 0.1)[0]) == ["waiting"]


@pytest.mark.parametrize(
    ("late_start", "overtakers"),
    [(DUE + LEFT_S - 0.1, MIN_OVERTAKERS), (DUE + LEFT_S + 0.1, MIN_OVERTAKERS - 1)],
    ids=["not long enough", "no capacity shown"],
)
def test_less_than_that_is_allowed(late_start: float, overtakers: int) -> None:
    assert found(history(late_start, overtakers)[0]) == []


def test_a_message_that_never_runs_is_found() -> None:
    made, _ = history(DUE + 30.0)
    made.observations.runs = [run for run in made.observations.runs if run.id != "waiting"]
    assert found(made) == ["waiting"]


def test_the_time_of_a_fault_does_not_count() -> None:
    made, _ = history(DUE + 8.0)
    made.observations.faults.append(InjectedFault("kill", "store-1", 5.0, 9.0))  # calm from 13 s on
    assert found(made) == []


@pytest.mark.parametrize(("of_its_service", "subjects"), [(True, []), (False, ["waiting"])])
def test_the_time_without_any_worker_of_its_service_does_not_count(
    of_its_service: bool, subjects: list[str]
) -> None:
    made, waiting = history(DUE + 8.0)
    service = waiting.service if of_its_service else "another"
    made.observations.worker_outages.append(WorkerOutage(frozenset({service}), DUE, DUE + 7.5))
    assert found(made) == subjects


def test_a_message_left_waiting_after_an_outage_of_its_workers_is_found() -> None:
    made, waiting = history(DUE + 8.0 + LEFT_S)
    made.observations.worker_outages.append(WorkerOutage(frozenset({waiting.service}), DUE - 5.0, DUE + 0.5))
    assert found(made) == ["waiting"]


def test_an_ordered_message_may_wait_for_its_predecessors() -> None:
    made, waiting = history(DUE + 20.0)
    waiting.ordering_key = "k"
    assert found(made) == []


def test_a_message_in_a_worker_s_hands_is_not_left_waiting() -> None:
    made, _ = history(DUE + 20.0)
    first = made.ran("waiting", DUE + 1.0, "failed")
    first.ended_at = DUE + 19.0
    assert found(made) == []


def test_a_message_whose_retention_has_ended_is_not_left_waiting() -> None:
    made, waiting = history(DUE + 20.0)
    waiting.sent_at -= made.ROUTES["r"].retention_s - 5.0
    waiting.delay_s = 0.0
    assert found(made) == []


def test_calm_begins_some_seconds_after_a_fault_and_overlapping_ones_count_as_one() -> None:
    made = History()
    made.observations.faults += [
        InjectedFault("kill", "a", 10.0, 20.0),
        InjectedFault("cut", "b", 12.0, 14.0),
        InjectedFault("stop", "c", 25.0, 26.0),
    ]
    assert calm_spans(made.observations) == [Span(0.0, 10.0), Span(30.0, 50.0)]


def test_an_ended_message_is_known_for_a_time_and_need_not_be_longer() -> None:
    made = History()
    made.sent("a", at=1.0)
    made.ran("a", 1.2)  # ends at 1.4 s
    made.observations.ended_at = 200.0
    status_s = DeploymentRules(made.ROUTES, {}).status_s
    made.observations.states.append(MessageStateResponse("a", 1.4 + status_s - 0.1, 404))
    assert made.violated_rules() == ["LOST"]
    made.observations.states[0].at = 1.4 + status_s + 0.1
    assert made.violated_rules() == []


def test_the_retention_of_a_message_sent_to_a_frozen_edge_counts_from_the_thaw() -> None:
    made = History()
    made.sent("a", at=5.0, status=None)
    retention_s = made.ROUTES["r"].retention_s
    made.observations.ended_at = 2 * retention_s
    made.ran("a", 5.0 + retention_s + 8.0)
    assert made.violated_rules() == ["EXPIRED"]
    made.observations.faults.append(InjectedFault("freeze", "edge-2", 4.0, 9.0))
    assert made.violated_rules() == ["EXPIRED"]
    made.observations.faults.append(InjectedFault("freeze", "edge-1", 4.0, 9.0))
    assert made.violated_rules() == []
    made.observations.faults[-1].begun_at = 5.5
    assert made.violated_rules() == ["EXPIRED"]
