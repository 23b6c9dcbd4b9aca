"""What a played day was worth, from what its actors observed.  Pure: observations in, figures out.

A message earns its worth if its 202 came in time and a successful run began in time, a smaller one if that
run began late, and nothing otherwise.  Messages that fail by lot are owed like all others: every variant
meets the same ones.
"""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from hollowusher.simulation.experiment.scenario import MessageClass
from hollowusher.simulation.observations import Observations, SentMessage, WorkerRun

WINDOW_S = 2.0
UNCERTAIN_STATUS = 504
WORST_WINDOWS = 2
MOST_NINES = 3.0
DAY_WEIGHT, NINES_WEIGHT, WINDOWS_WEIGHT, CLASS_WEIGHT = 0.4, 0.35, 0.15, 0.1


@attrs.frozen
class Figures:
    """The figures of one day."""

    worth: float  # the parts below, weighted
    whole_day: float  # share of the worth owed that was earned
    worst_windows: float
    worst_class: float
    nines: float  # of the share served, 1 for three nines
    served: float  # share of the messages that were accepted and run
    uncertain: float  # share of the requests whose last answer was 504
    unanswered_s: float  # the longest time without an accepted message
    bytes_between_zones: float  # a message
    internal_messages: float  # a message
    runs_again: float  # a message: runs after its first success


@attrs.define
class _Earned:
    """Worth earned and owed by a group of requests."""

    earned: float = 0.0
    owed: float = 0.0

    def add(self, earned: float, owed: float) -> None:
        """Add a request."""
        self.earned += earned
        self.owed += owed

    @property
    def share(self) -> float:
        """The share of the worth owed that was earned."""
        return self.earned / self.owed if self.owed else 1.0


@attrs.frozen
class _Request:
    """One request of a client with its tries."""

    tries: Sequence[SentMessage]

    @property
    def sent_at(self) -> float:
        """When its first try was sent."""
        first = self.tries[0].request
        return first.sent_at if first is not None else self.tries[0].sent_at

    @property
    def is_uncertain(self) -> bool:
        """Whether its client cannot know if it was taken."""
        return self.tries[-1].status == UNCERTAIN_STATUS

    def accepted(self) -> SentMessage | None:
        """Return the try that was accepted."""
        return next((each for each in self.tries if each.accepted), None)


def judge(
    observations: Observations, classes: Iterable[MessageClass], network: Mapping[str, float]
) -> Figures:
    """Return the figures of a day; `network` has what the network counted, by name."""
    by_route = {each.route: each for each in classes}
    started, runs_again = _successful_starts(observations.runs)
    day = _Earned()
    windows: defaultdict[int, _Earned] = defaultdict(_Earned)
    groups: defaultdict[str, _Earned] = defaultdict(_Earned)
    served = 0
    accepted_at: list[float] = []
    requests = _requests(observations, by_route)
    begin = min((request.sent_at for request in requests), default=0.0)
    for request in requests:
        message_class = by_route[request.tries[0].route]
        accepted = request.accepted()
        starts_at = None if accepted is None else started.get(accepted.id)
        served += starts_at is not None
        if accepted is not None and accepted.answered_at is not None:
            accepted_at.append(accepted.answered_at)
        earned = _earned(request, message_class, starts_at)
        window = int((request.sent_at - begin) / WINDOW_S)
        for group in (day, windows[window], groups[message_class.route]):
            group.add(earned, message_class.worth)
    count = max(1, len(requests))
    worst_windows = _mean(sorted(window.share for window in windows.values())[:WORST_WINDOWS])
    worst_class = min((group.share for group in groups.values()), default=1.0)
    served_nines = nines(served / count)
    return Figures(
        worth=DAY_WEIGHT * day.share
        + NINES_WEIGHT * served_nines
        + WINDOWS_WEIGHT * worst_windows
        + CLASS_WEIGHT * worst_class,
        whole_day=day.share,
        worst_windows=worst_windows,
        worst_class=worst_class,
        nines=served_nines,
        served=served / count,
        uncertain=sum(request.is_uncertain for request in requests) / count,
        unanswered_s=_longest_gap(accepted_at),
        bytes_between_zones=network["bytes_between_zones"] / count,
        internal_messages=network["messages"] / count,
        runs_again=runs_again / count,
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 1.0


def _requests(observations: Observations, routes: Mapping[str, MessageClass]) -> list[_Request]:
    tries: defaultdict[int, list[SentMessage]] = defaultdict(list)
    for message in observations.messages.values():
        if message.request is not None and message.route in routes:
            tries[message.request.number].append(message)
    return [_Request(those) for _, those in sorted(tries.items())]


def _successful_starts(runs: Iterable[WorkerRun]) -> tuple[dict[str, float], int]:
    """Return when the first successful run of each message began, and how many successes came after it."""
    started: dict[str, float] = {}
    again = 0
    for run in sorted(runs, key=lambda each: each.started_at):
        if run.result != "success":
            continue
        again += run.id in started
        started.setdefault(run.id, run.started_at)
    return started, again


def _earned(request: _Request, message_class: MessageClass, starts_at: float | None) -> float:
    accepted = request.accepted()
    if accepted is None or starts_at is None or accepted.answered_at is None:
        return 0.0
    if accepted.answered_at - accepted.sent_at > message_class.accept_within_s:
        return 0.0
    waited_s = starts_at - request.sent_at - accepted.delay_s
    if waited_s <= message_class.start_within_s:
        return message_class.worth
    return message_class.late_worth if waited_s <= message_class.late_within_s else 0.0


def _longest_gap(times: Iterable[float]) -> float:
    ordered = sorted(times)
    return max((later - earlier for earlier, later in itertools.pairwise(ordered)), default=0.0)


def nines(served: float) -> float:
    """Return the nines of a share: 0 for nothing, 1 for `MOST_NINES` and more."""
    unserved = max(1.0 - served, 10.0**-MOST_NINES)
    return min(1.0, -math.log10(unserved) / MOST_NINES)
