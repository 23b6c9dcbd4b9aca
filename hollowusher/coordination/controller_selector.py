"""Selection of the controller from which a process pulls updates.  No I/O, no clock.

Healthy controllers rank first, and among them the controllers of the process's own zone.  Rendezvous hashing
spreads the processes over equally ranked controllers.

All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from hollowusher.coordination.rendezvous import rank
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import Voter

FAILURE_BACKOFF_S = (
    3.0  # a controller ranks last for this long after a failed call; doubles with each failure
)
MAX_FAILURE_BACKOFF_S = 12.0  # upper bound of the doubled backoff
MAX_DOUBLINGS = 8


@attrs.define
class ControllerHealth:
    """Recent results of this process's calls to one controller."""

    avoid_until: float = -math.inf  # end of the backoff after a call without a response
    lagging_until: float = -math.inf  # end of the backoff after a response without contact with a majority
    failures: int = 0  # calls without a response since the last successful pull

    def record_failure(self, now: float) -> None:
        """Record a call to which the controller did not respond."""
        backoff_s = FAILURE_BACKOFF_S * 2 ** min(self.failures, MAX_DOUBLINGS)
        self.avoid_until = now + min(MAX_FAILURE_BACKOFF_S, backoff_s)
        self.failures += 1

    def record_pull(self, now: float, *, connected: bool) -> None:
        """Record the response to a pull.

        `connected` is whether the controller can reach a majority of the voters.
        """
        self.failures = 0
        self.avoid_until = -math.inf
        self.lagging_until = -math.inf if connected else now + FAILURE_BACKOFF_S

    def record_answer(self) -> None:
        """Record the response to a call other than a pull."""
        self.avoid_until = -math.inf

    def is_avoided(self, now: float) -> bool:
        """Return whether the controller is in backoff because it did not respond."""
        return now < self.avoid_until

    def sort_key(self, now: float) -> tuple[bool, float, bool]:
        """Return a sort key that puts healthier controllers first.

        Controllers that respond sort before controllers in backoff, and among them those that can reach a
        majority sort first.  Controllers in backoff sort by the end of their backoff.
        """
        is_avoided = self.is_avoided(now)
        return (is_avoided, self.avoid_until if is_avoided else 0.0, now < self.lagging_until)


class ControllerSelector:
    """Ranks the controllers for one process by its own record of their health."""

    def __init__(self, name: str, zone: str) -> None:
        self._name = name
        self._zone = zone
        self._health: dict[str, ControllerHealth] = {}  # address -> health

    def health(self, address: str) -> ControllerHealth:
        """Return the health of the controller at an address."""
        return self._health.setdefault(address, ControllerHealth())

    def rank_controllers(
        self, voters: Iterable[Voter], members: Mapping[str, Member], now: float
    ) -> list[Voter]:
        """Return the voters, best first.

        The order is by health, then by membership (not known to be dead), then by zone (the process's own).
        """
        by_name = {voter.name: voter for voter in voters}

        def sort_key(name: str) -> tuple[tuple[bool, float, bool], bool, bool]:
            member = members.get(name)
            is_dead = member is not None and not member.alive
            is_in_zone = member is not None and member.zone == self._zone
            return self.health(by_name[name].address).sort_key(now), is_dead, not is_in_zone

        ranked = rank(f"controller/{self._name}", by_name)
        return [by_name[name] for name in sorted(ranked, key=sort_key)]
