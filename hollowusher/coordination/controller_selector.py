"""Which controller a process pulls from: one that answers, in its own zone where possible, picked by
rendezvous.  No I/O, no clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from hollowusher.coordination.rendezvous import rank
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import Voter

FAILURE_BACKOFF_S = (
    3.0  # a controller that has failed is not chosen for this long, if there is another one ...
)
MAX_FAILURE_BACKOFF_S = 12.0  # ... twice as long after each further failure, up to this


@attrs.define
class ControllerHealth:
    """How one controller has answered lately."""

    avoid_until: float = -math.inf  # no answers came
    lagging_until: float = -math.inf  # it answered that it has lost most of the others
    failures: int = 0

    def record_failure(self, now: float) -> None:
        """A call got no answer."""
        self.avoid_until = now + min(MAX_FAILURE_BACKOFF_S, FAILURE_BACKOFF_S * 2 ** min(self.failures, 8))
        self.failures += 1

    def record_pull(self, now: float, connected: bool) -> None:
        """A pull was answered."""
        self.failures = 0
        self.avoid_until = -math.inf
        self.lagging_until = -math.inf if connected else now + FAILURE_BACKOFF_S

    def record_answer(self) -> None:
        """It answered something."""
        self.avoid_until = -math.inf

    def is_avoided(self, now: float) -> bool:
        """Whether others go first because it gave no answer."""
        return now < self.avoid_until

    def sort_key(self, now: float) -> tuple[bool, float, bool]:
        """The smaller, the better: those that answer, else that which failed longest ago; those that hear
        the others."""
        is_avoided = self.is_avoided(now)
        return (is_avoided, self.avoid_until if is_avoided else 0.0, now < self.lagging_until)


class ControllerSelector:
    """The order in which one process tries the controllers."""

    def __init__(self, name: str, zone: str) -> None:
        self._name = name
        self._zone = zone
        self._health: dict[str, ControllerHealth] = {}  # by address

    def health(self, address: str) -> ControllerHealth:
        """How the controller at an address has answered."""
        return self._health.setdefault(address, ControllerHealth())

    def rank_controllers(
        self, voters: Iterable[Voter], members: Mapping[str, Member], now: float
    ) -> list[Voter]:
        """The voters, best first: without trouble lately, then alive, then in the own zone."""
        by_name = {voter.name: voter for voter in voters}

        def sort_key(name: str) -> tuple[tuple[bool, float, bool], bool, bool]:
            member = members.get(name)
            dead = member is not None and not member.alive
            in_zone = member is not None and member.zone == self._zone
            return self.health(by_name[name].address).sort_key(now), dead, not in_zone

        ranked = rank(f"controller/{self._name}", by_name)
        return [by_name[name] for name in sorted(ranked, key=sort_key)]
