"""What a day was worth, from observations, and what a difference between variants is worth."""

from __future__ import annotations

import pytest

from hollowusher.simulation.experiment.scenario import MessageClass
from hollowusher.simulation.experiment.statistics import paired_difference
from hollowusher.simulation.experiment.worth import Figures, judge, nines
from hollowusher.simulation.observations import ClientRequest, Observations, SentMessage, WorkerRun

NETWORK = {"bytes_between_zones": 1000.0, "messages": 20.0}
CLASSES = [MessageClass("push", 1.0, worth=2.0, late_worth=0.5)]


class Day:
    """A day's observations, message by message."""

    def __init__(self) -> None:
        self.observations = Observations()

    def send(
        self,
        number: int,
        at: float,
        *,
        answered_after: float | None = 0.05,
        started_after: float | None = 0.1,
        tries: int = 1,
        delay_s: float = 0.0,
        result: str = "success",
    ) -> None:
        request = ClientRequest(number, at)
        for count in range(tries):
            name = f"m{number}-{count}"
            message = SentMessage(name, "push", "push", b"", "", delay_s, "", "edge-1", 1, at + 0.2 * count)
            message.request = request
            self.observations.messages[name] = message
        message.status = 503 if answered_after is None else 202
        message.answered_at = None if answered_after is None else message.sent_at + answered_after
        if started_after is not None:
            run = WorkerRun(name, "push", "w", at + started_after, b"", at + started_after, result)
            self.observations.runs.append(run)

    def figures(self) -> Figures:
        return judge(self.observations, CLASSES, NETWORK)


def test_all_in_time_earn_everything() -> None:
    day = Day()
    for number in range(20):
        day.send(number, number * 1.0)
    figures = day.figures()
    assert figures.whole_day == figures.worst_windows == figures.worst_class == figures.served == 1.0
    assert figures.worth == pytest.approx(1.0)
    assert figures.bytes_between_zones == 50.0
    assert figures.internal_messages == 1.0
    assert figures.unanswered_s == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("sent", "share"),
    [
        ({"started_after": 5.0}, 0.25),  # late
        ({"started_after": 16.0}, 0.0),  # too late
        ({"started_after": None}, 0.0),  # never
        ({"answered_after": None, "started_after": None}, 0.0),  # refused
        ({"answered_after": 0.3}, 0.0),  # the 202 came late
        ({"result": "failed"}, 0.0),
        ({"tries": 3}, 1.0),  # accepted at the third try
        ({"delay_s": 4.0, "started_after": 4.5}, 1.0),
    ],
)
def test_one_message_earns(sent: dict[str, float], share: float) -> None:
    day = Day()
    day.send(1, 0.0, **sent)  # type: ignore[arg-type]
    assert day.figures().whole_day == pytest.approx(share)


def test_runs_after_the_first_success_are_counted() -> None:
    day = Day()
    day.send(1, 0.0)
    day.observations.runs.append(WorkerRun("m1-0", "push", "w", 3.0, b"", 3.1, "success"))
    assert day.figures().runs_again == 1.0


def test_worst_windows_are_those_of_two_seconds() -> None:
    day = Day()
    for number in range(10):
        day.send(number, 2.0 * number, started_after=None if number in (3, 4) else 0.1)
    assert day.figures().worst_windows == 0.0
    assert day.figures().whole_day == pytest.approx(0.8)


def test_nines_are_bounded() -> None:
    assert nines(1.0) == 1.0
    assert nines(0.9) == pytest.approx(1 / 3)
    assert nines(0.0) == 0.0


def test_difference_is_clear_only_where_the_interval_excludes_none() -> None:
    assert paired_difference([0.1, 0.12, 0.09, 0.11]).is_clear
    unclear = paired_difference([0.1, -0.12, 0.09, -0.11])
    assert not unclear.is_clear
    assert unclear.low < unclear.mean < unclear.high
    assert not paired_difference([0.1]).is_clear
    assert not paired_difference([0.1, 0.11]).is_clear  # too few
