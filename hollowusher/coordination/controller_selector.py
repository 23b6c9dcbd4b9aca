"""The choice of the controller that a process pulls updates from.  No I/O, no clock.

Healthy controllers go first, among them those of the own zone; rendezvous hashing spreads the processes over
equal ones.

All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from hollowusher.coordination.rendezvous import rank
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import Voter

FAILURE_BACKOFF_S = 3.0  # after a failure another controller goes first for this long, if there is one ...
MAX_FAILURE_BACKOFF_S = 12.0  # ... and twice as long after each further failure, up to this
MAX_DOUBLINGS = 8


@attrs.define
class ControllerHealth:
    """How one controller has answered lately."""

    avoid_until: float = -math.inf  # it did not answer
    lagging_until: float = -math.inf  # it answered that it does not hear a majority
    failures: int = 0  # calls without an answer since its last answer to a pull

    def record_failure(self, now: float) -> None:
        """Record a call without an answer."""
        backoff_s = FAILURE_BACKOFF_S * 2 ** min(self.failures, MAX_DOUBLINGS)
        self.avoid_until = now + min(MAX_FAILURE_BACKOFF_S, backoff_s)
        self.failures += 1

    def record_pull(self, now: float, *, connected: bool) -> None:
        """Record the answer to a pull; `connected` says whether the controller hears a majority."""
        self.failures = 0
        self.avoid_until = -math.inf
        self.lagging_until = -math.inf if connected else now + FAILURE_BACKOFF_S

    def record_answer(self) -> None:
        """Record the answer to any other call."""
        self.avoid_until = -math.inf

    def is_avoided(self, now: float) -> bool:
        """Return whether others go first because this one did not answer."""
        return now < self.avoid_until

    def sort_key(self, now: float) -> tuple[bool, float, bool]:
        """Return a key by which healthier controllers sort first.

        Those that answer go first, among them those that hear a majority.  The others follow in the order
        in which their backoff ends.
        """
        is_avoided = self.is_avoided(now)
        return (is_avoided, self.avoid_until if is_avoided else 0.0, now < self.lagging_until)


class ControllerSelector:
    """The order in which one process tries the controllers; it owns their health as seen from here."""

    def __init__(self, name: str, zone: str) -> None:
        self._name = name
        self._zone = zone
        self._health: dict[str, ControllerHealth] = {}  # by address

    def health(self, address: str) -> ControllerHealth:
        """Return the health of the controller at an address."""
        return self._health.setdefault(address, ControllerHealth())

    def rank_controllers(
        self, voters: Iterable[Voter], members: Mapping[str, Member], now: float
    ) -> list[Voter]:
        """Return the voters, best first: healthy, then not known to be dead, then in the own zone."""
        by_name = {voter.name: voter for voter in voters}

        def sort_key(name: str) -> tuple[tuple[bool, float, bool], bool, bool]:
            member = members.get(name)
            is_dead = member is not None and not member.alive
            is_in_zone = member is not None and member.zone == self._zone
            return self.health(by_name[name].address).sort_key(now), is_dead, not is_in_zone

        ranked = rank(f"controller/{self._name}", by_name)
        return [by_name[name] for name in sorted(ranked, key=sort_key)]
