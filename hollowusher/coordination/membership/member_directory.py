"""The members of the system as a controller knows them, and the judgement of deaths.  No I/O, no clock.

A member's version is [incarnation, status]: a new life of a process replaces the old one at once, and within
one life an even status means alive and an odd one dead or leaving.  A process that is alive and finds itself
called dead registers with the next even status.

Deaths are judged from the suspicions of a member's monitors.  A suspicion counts for `SUSPICION_VALIDITY_S`;
most of the monitors have to agree.  Where some suspect a member and a majority does not come together (the
other monitors may have failed with it), the head tries to reach the member itself, and its failure to do so
counts as a vote.

A dead member's last item stays in the feed as a tombstone of some hundred bytes; nothing more is published
of it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from hollowusher.coordination.membership.failure_detector import choose_monitors
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Leaving, Member, Suspicion

SUSPICION_VALIDITY_S = 1.5  # three times the interval at which a monitor repeats a suspicion
HEALTH_CHECK_AFTER_S = (
    1.0  # a suspicion has to stand this long without a majority before the head tries the member
)
EDGE = "edge"
STORE = "store"


def member_version(member: Member) -> list[int]:
    """The version of a member's item."""
    return [member.incarnation, member.status]


@attrs.define
class _SuspicionRecord:
    """Who suspects one life of a member: reporter -> when last said."""

    incarnation: int
    first_reported_at: float
    reporters: dict[str, float] = attrs.Factory(dict)


@attrs.frozen
class StoreCondition:
    """A store's newest registration (None: never seen here), and for how long it has been in that state."""

    member: Member | None
    state_age_s: float

    @property
    def is_alive(self) -> bool:
        """Whether its process is there."""
        return self.member is not None and self.member.alive

    @property
    def store_id(self) -> str:
        """Name and disk of the newest life; empty where it was never seen."""
        return "" if self.member is None else self.member.store_id


class MemberDirectory:
    """All members known to one controller.  Times are those of the caller's steady clock."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.change_count = 0  # grows with each change, so that others need not compare
        self.members: dict[str, Member] = {}
        self._since: dict[str, float] = {}
        self._suspicions: dict[str, _SuspicionRecord] = {}

    def update(self, member: Member, now: float) -> bool:
        """Learn of a member's state; False if it is not newer than the known one."""
        known = self.members.get(member.name)
        if known is not None and member_version(member) <= member_version(known):
            return False
        self.members[member.name] = member
        self._since[member.name] = now
        self._suspicions.pop(member.name, None)
        self.change_count += 1
        return True

    def leaving_state(self, leaving: Leaving) -> Member | None:
        """The state to publish for a member that stops; None if that life is no longer present."""
        dead = self._dead_state(leaving.name, leaving.incarnation)
        return None if dead is None else evolve(dead, leaving=True)

    def record_suspicion(self, suspicion: Suspicion, now: float) -> None:
        """Note that a monitor has not heard of a member."""
        member = self.members.get(suspicion.name)
        if member is None or not member.alive or member.incarnation != suspicion.incarnation:
            return
        record = self._suspicions.get(suspicion.name)
        if (
            record is None
            or record.incarnation != suspicion.incarnation
            or not self._current_reporters(record, now)
        ):
            record = self._suspicions[suspicion.name] = _SuspicionRecord(suspicion.incarnation, now)
        record.reporters[suspicion.reporter] = now

    def clear_suspicions(self) -> None:
        """What the monitors said is old: they say it again while it stands."""
        self._suspicions.clear()

    def confirmed_dead(self, now: float) -> list[Member]:
        """The states to publish for the members that most of their monitors suspect."""
        verdicts = []
        for name, record in list(self._suspicions.items()):
            reporters = self._current_reporters(record, now)
            if not reporters:
                del self._suspicions[name]
                continue
            monitors = self._monitors_of(name)
            agreeing = sum(monitor in reporters for monitor in monitors)
            dead = self._dead_state(name, record.incarnation)
            if dead is not None and 2 * agreeing > len(monitors):
                verdicts.append(dead)
        return verdicts

    def unconfirmed_suspects(self, now: float) -> list[Member]:
        """The members that a monitor has suspected for a while without a majority."""
        return [
            self.members[name] for name, record in self._suspicions.items() if self._is_check_due(record, now)
        ]

    def unreachable_state(self, member: Member, now: float) -> Member | None:
        """The state to publish for a doubtful member that this controller could not reach either; None if
        it is no longer doubtful."""
        record = self._suspicions.get(member.name)
        if record is None or record.incarnation != member.incarnation:
            return None
        if not self._is_check_due(record, now):
            return None
        return self._dead_state(member.name, member.incarnation)

    def clear_suspicion(self, member: Member) -> None:
        """This controller has had an answer of a doubtful member: doubt starts anew."""
        self._suspicions.pop(member.name, None)

    def live_members(self, role: str) -> list[Member]:
        """The members of a role that are there, by name."""
        return [member for _, member in sorted(self.members.items()) if member.alive and member.role == role]

    def state_since(self, name: str) -> float:
        """When the member's present state was learnt; for a member never seen, when this directory began."""
        return self._since.get(name, self.started_at)

    def store_conditions(self, named: Iterable[str], now: float) -> Mapping[str, StoreCondition]:
        """The condition of all stores, and of those `named` elsewhere though never seen here."""
        names = {name for name, member in self.members.items() if member.role == STORE}
        names.update(named)
        return {
            name: StoreCondition(self.members.get(name), now - self.state_since(name))
            for name in sorted(names)
        }

    def _dead_state(self, name: str, incarnation: int) -> Member | None:
        member = self.members.get(name)
        if member is None or member.incarnation != incarnation or not member.alive:
            return None
        return evolve(member, status=member.status + 1)

    def _monitors_of(self, name: str) -> list[str]:
        return choose_monitors(name, (member.name for member in self.live_members(EDGE)))

    def _is_check_due(self, record: _SuspicionRecord, now: float) -> bool:
        return (
            bool(self._current_reporters(record, now))
            and now - record.first_reported_at >= HEALTH_CHECK_AFTER_S
        )

    @staticmethod
    def _current_reporters(record: _SuspicionRecord, now: float) -> set[str]:
        return {name for name, said in record.reporters.items() if now - said <= SUSPICION_VALIDITY_S}
