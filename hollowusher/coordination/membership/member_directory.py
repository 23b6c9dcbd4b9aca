"""The members of the cluster as one controller knows them, and the confirmation of deaths.  No I/O, no clock.

Incarnation numbers and suspicion follow SWIM (Das, Gupta, Motivala: "SWIM: scalable weakly-consistent
infection-style process group membership protocol", 2002).  A member's version is [incarnation, status]: a
new incarnation of a process replaces the former one at once.  Within one incarnation an even status means
alive, an odd one dead or leaving.  A live process that finds itself called dead refutes it: it registers
with the next even status.

A death is confirmed when a majority of the member's monitors suspects it.  Where some suspect a member
without a majority (the other monitors may have failed together with it), the head of the control chain
checks the member itself; if it gets no answer, that confirms the death.

A dead member's last item stays in the feed as a tombstone of some hundred bytes; nothing more is published
about it.

All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hollowusher.coordination.member_role import MemberRole
from hollowusher.coordination.membership.monitor_assignment import choose_monitors
from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.membership.suspicion_table import SuspicionTable
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Member, MemberDeparting, MemberSuspected

HEALTH_CHECK_AFTER_S = 1.0  # a suspicion without a majority is this old before the head checks the member


def member_version(member: Member) -> list[int]:
    """Return the version of a member's item."""
    return [member.incarnation, member.status]


class MemberDirectory:
    """All members known to one controller, with the suspicions about them.

    It changes only by `update`: the methods that confirm a death return the state that is to be published,
    which comes back through the feed.

    Invariants: a member's version never decreases; a suspicion is about the present incarnation of a live
    member.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.change_count = 0  # grows with each change, so that readers need not compare
        self.members: dict[str, Member] = {}
        self._changed_at: dict[str, float] = {}
        self._suspicions = SuspicionTable()

    # ---- members

    def update(self, member: Member, now: float) -> bool:
        """Store a member's state; return False if it is not newer than the known one."""
        known = self.members.get(member.name)
        if known is not None and member_version(member) <= member_version(known):
            return False
        self.members[member.name] = member
        self._changed_at[member.name] = now
        self._suspicions.remove(member.name)
        self.change_count += 1
        return True

    def live_members(self, role: str) -> list[Member]:
        """Return the live members of a role, sorted by name."""
        return [member for _, member in sorted(self.members.items()) if member.alive and member.role == role]

    def state_since(self, name: str) -> float:
        """Return when the member's present state was learnt.

        For a member that has never registered here this is the time at which the directory was created.
        """
        return self._changed_at.get(name, self.started_at)

    def store_conditions(self, placed: Iterable[str], now: float) -> Mapping[str, StoreCondition]:
        """Return the conditions by name of all known stores and of the stores that are `placed`."""
        names = {name for name, member in self.members.items() if member.role == MemberRole.STORE}
        names.update(placed)
        return {
            name: StoreCondition(self.members.get(name), now - self.state_since(name))
            for name in sorted(names)
        }

    def leaving_state(self, leaving: MemberDeparting) -> Member | None:
        """Return the state to publish for a member that stops; None if that incarnation is not alive."""
        dead = self._dead_state(leaving.name, leaving.incarnation)
        return None if dead is None else evolve(dead, leaving=True)

    # ---- suspicions

    def record_suspicion(self, suspicion: MemberSuspected, now: float) -> None:
        """Record a monitor's report; one about a dead or former incarnation changes nothing."""
        member = self.members.get(suspicion.name)
        if member is not None and member.alive and member.incarnation == suspicion.incarnation:
            self._suspicions.record(suspicion, now)

    def clear_suspicion(self, member: Member) -> None:
        """Drop the suspicions about a member that has answered this controller."""
        self._suspicions.remove(member.name)

    def clear_suspicions(self) -> None:
        """Drop all suspicions; monitors repeat those that still stand."""
        self._suspicions.clear()

    def confirmed_dead(self, now: float) -> list[Member]:
        """Return the states to publish for the members that a majority of their monitors suspects."""
        self._suspicions.remove_expired(now)
        dead = (
            self._dead_state(name, self._suspicions.incarnation(name)) for name in self._suspicions.suspects()
        )
        return [
            member
            for member in dead
            if member is not None and self._is_suspected_by_majority(member.name, now)
        ]

    def unconfirmed_suspects(self, now: float) -> list[Member]:
        """Return the members that have been suspected for `HEALTH_CHECK_AFTER_S`: the head checks them."""
        return [
            self.members[name] for name in self._suspicions.suspects() if self._is_health_check_due(name, now)
        ]

    def unreachable_state(self, member: Member, now: float) -> Member | None:
        """Return the state to publish for a suspect that did not answer this controller's health check.

        None if that incarnation is no longer suspected.
        """
        if self._suspicions.incarnation(member.name) != member.incarnation:
            return None
        if not self._is_health_check_due(member.name, now):
            return None
        return self._dead_state(member.name, member.incarnation)

    def _dead_state(self, name: str, incarnation: int | None) -> Member | None:
        member = self.members.get(name)
        if member is None or member.incarnation != incarnation or not member.alive:
            return None
        return evolve(member, status=member.status + 1)

    def _is_suspected_by_majority(self, name: str, now: float) -> bool:
        edges = (member.name for member in self.live_members(MemberRole.EDGE))
        monitors = choose_monitors(name, edges)
        reporters = self._suspicions.reporters(name, now)
        return 2 * sum(monitor in reporters for monitor in monitors) > len(monitors)

    def _is_health_check_due(self, name: str, now: float) -> bool:
        return self._suspicions.is_suspected_for(name, HEALTH_CHECK_AFTER_S, now)
