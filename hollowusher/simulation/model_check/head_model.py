"""The head of the control chain as the model check of a partition sees it: what it knows of the stores, and
the real planner.  A placement that it makes is in force at once; the stores learn of it one by one."""

from __future__ import annotations

import attrs

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.planner import PlanningInput, plan_placement
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import Placement
from hollowusher.simulation.model_check.store_model import TOLERANCE

TICK_S = 0.5
LONG_AGO = -40  # ticks: a store that was there from the beginning is steady
REPORT_TICKS = 5  # a report counts for so long
_PLANNED: dict[object, Placement | None] = {}  # the planner is pure: each state is planned once


@attrs.define(eq=False)
class HeadModel:
    """The state of the head's duties."""

    placement: Placement
    members: dict[str, Member] = attrs.Factory(dict)
    since: dict[str, int] = attrs.Factory(dict)  # member -> tick of its last change
    retiring: set[str] = attrs.Factory(set)
    caught_up: dict[LearnerReport, int] = attrs.Factory(dict)  # report -> tick
    lost_learners: dict[LearnerReport, int] = attrs.Factory(dict)

    def learn(self, member: Member, tick: int) -> None:
        """A store has registered, left or been judged dead."""
        self.members[member.name] = member
        self.since[member.name] = tick

    def living(self, store_id: str) -> bool:
        """Whether a store with this disk is known to be there."""
        member = self.members.get(store_id.partition("/")[0])
        return member is not None and member.alive and member.store_id == store_id

    def plan(self, tick: int) -> Placement | None:
        """What the placement should become; None where it is right."""
        key = (self.key(), tick)
        if key not in _PLANNED:
            _PLANNED[key] = self._plan(tick)
        return _PLANNED[key]

    def _plan(self, tick: int) -> Placement | None:
        conditions = {
            name: StoreCondition(member, (tick - self.since[name]) * TICK_S)
            for name, member in self.members.items()
        }
        given = PlanningInput(
            conditions, TOLERANCE, self.retiring, set(self.caught_up), set(self.lost_learners)
        )
        found = plan_placement(self.placement, given)
        if found is None and self.retiring:
            found = plan_placement(self.placement, attrs.evolve(given, allow_moves=True))
        return found

    def forget_old_reports(self, tick: int) -> None:
        """Reports that were not repeated count no longer."""
        self.caught_up = {key: at for key, at in self.caught_up.items() if tick - at <= REPORT_TICKS}
        self.lost_learners = {key: at for key, at in self.lost_learners.items() if tick - at <= REPORT_TICKS}

    def copy(self) -> HeadModel:
        """One that may be changed."""
        return HeadModel(
            self.placement,
            dict(self.members),
            dict(self.since),
            set(self.retiring),
            dict(self.caught_up),
            dict(self.lost_learners),
        )

    def key(self) -> tuple[object, ...]:
        """All that distinguishes this head from itself in another state."""
        (entry,) = self.placement.partitions
        return (
            self.placement.version,
            entry.epoch,
            entry.primary,
            entry.primary_incarnation,
            tuple(entry.replicas),
            tuple(entry.learners),
            tuple(
                (name, member.incarnation, member.status, member.disk_id, self.since[name])
                for name, member in sorted(self.members.items())
            ),
            tuple(sorted(self.retiring)),
            tuple(sorted(self.caught_up.items())),
            tuple(sorted(self.lost_learners.items())),
        )
