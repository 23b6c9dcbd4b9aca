"""The cluster members known to one controller, and the confirmation that a suspected member is dead.

The module performs no I/O and reads no clock: callers pass the time as `now`, in seconds of their monotonic
clock.

Incarnation numbers and suspicions follow SWIM (Das, Gupta, Motivala: "SWIM: scalable weakly-consistent
infection-style process group membership protocol", 2002).  The version of a member is [incarnation, status].
A new incarnation of a process replaces the previous one immediately.  Within one incarnation an even status
means that the process is alive, and an odd status that it is dead or leaving.  A live process that was
declared dead by mistake refutes this by registering with the next even status.

A death is confirmed when a majority of the member's monitors suspects the member.  If fewer monitors suspect
it (the others may have failed together with the member), the head of the control chain sends a health check
to the member.  If the member does not answer, its death is confirmed.

The last item of a dead member stays in the feed as a tombstone of a few hundred bytes.  No further items are
published for that member until it registers again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hollowusher.coordination.member_role import MemberRole
from hollowusher.coordination.membership.monitor_assignment import choose_monitors
from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.membership.suspicion_table import SuspicionTable
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Member, MemberDeparting, MemberSuspected

HEALTH_CHECK_AFTER_S = 1.0  # minimum age of a suspicion without a majority before a health check


def member_version(member: Member) -> list[int]:
    """Return the version of a member's feed item: [incarnation, status]."""
    return [member.incarnation, member.status]


class MemberDirectory:
    """All members known to one controller, and the suspicions reported about them.

    Only `update` changes the members.  The methods that confirm a death return the state to publish; once
    published, the state reaches `update` through the feed.

    Invariants: the version of a member never decreases; every suspicion refers to the current incarnation of
    a live member.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.change_count = 0  # incremented by each change, so that readers can detect changes
        self.members: dict[str, Member] = {}
        self._changed_at: dict[str, float] = {}
        self._suspicions = SuspicionTable()

    # ---- members

    def update(self, member: Member, now: float) -> bool:
        """Store the state of a member; return False if the stored state is as new or newer."""
        stored = self.members.get(member.name)
        if stored is not None and member_version(member) <= member_version(stored):
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
        """Return the time at which the directory received the member's current state.

        For a member that is not in the directory, return the time at which the directory was created.
        """
        return self._changed_at.get(name, self.started_at)

    def store_conditions(self, placed: Iterable[str], now: float) -> Mapping[str, StoreCondition]:
        """Return the condition of each known store and each store named in `placed`, by store name."""
        names = {name for name, member in self.members.items() if member.role == MemberRole.STORE}
        names.update(placed)
        return {
            name: StoreCondition(self.members.get(name), now - self.state_since(name))
            for name in sorted(names)
        }

    def leaving_state(self, leaving: MemberDeparting) -> Member | None:
        """Return the state to publish for a departing member; None if that incarnation is not alive."""
        dead = self._dead_state(leaving.name, leaving.incarnation)
        return None if dead is None else evolve(dead, leaving=True)

    # ---- suspicions

    def record_suspicion(self, suspicion: MemberSuspected, now: float) -> None:
        """Record a monitor's report; ignore it if that incarnation is dead or has been replaced."""
        member = self.members.get(suspicion.name)
        if member is not None and member.alive and member.incarnation == suspicion.incarnation:
            self._suspicions.record(suspicion, now)

    def clear_suspicion(self, member: Member) -> None:
        """Drop the suspicions about a member that answered this controller's health check."""
        self._suspicions.remove(member.name)

    def clear_suspicions(self) -> None:
        """Drop all suspicions; the monitors report again those that are still valid."""
        self._suspicions.clear()

    def confirmed_dead(self, now: float) -> list[Member]:
        """Return the state to publish for each member that a majority of its monitors suspects."""
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
        """Return the members suspected for at least `HEALTH_CHECK_AFTER_S`, which the head has to check."""
        return [
            self.members[name] for name in self._suspicions.suspects() if self._is_health_check_due(name, now)
        ]

    def unreachable_state(self, member: Member, now: float) -> Member | None:
        """Return the state to publish for a suspect that did not answer this controller's health check.

        Return None if that incarnation is no longer suspected.
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
