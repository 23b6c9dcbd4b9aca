"""Computation of the next placement from the conditions of the stores.

The module performs no I/O and reads no clock.

A partition has min(stores, 2f+1) replicas, and one of them is its primary.  A record is committed once f+1
replicas, including the primary, have stored it.  A new primary reads from all but f of the replicas.  These
two quorums always intersect, so the new primary finds every committed record.

Each change of the primary or the replicas of a partition starts a new, greater epoch.  The removal of a
learner does the same, so that a report of the primary about that learner is invalid even if it arrives later.

Sources: Lamport, Malkhi, Zhou, "Vertical Paxos and primary-backup replication" (2009), in which a separate
service decides on the configurations.  docs/control-safety/stores.md has the safety argument and the tables.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import attrs

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.placement_draft import PlacementDraft
from hollowusher.coordination.placement.primary_planner import PrimaryPlanner
from hollowusher.coordination.placement.replica_planner import ReplicaPlanner
from hollowusher.coordination.placement.replica_states import ReplicaStates
from hollowusher.coordination.placement.zone_policy import ZonePolicy
from hollowusher.protocol.placement import Placement


@attrs.frozen
class PlanningInput:
    """The input of the planner besides the current placement.

    `stores` maps the name of each store in the member directory or in the placement to its condition.
    `tolerance` is the number of simultaneous machine losses that the deployment tolerates (f).  `retiring`
    holds the names of the stores being retired.  `ready_learners` and `lost_learners` are the valid reports
    of primaries.  If `allow_moves` is set, the planner may move one primary for balance or off a retiring
    store, and start one replica move for balance.  `policy` selects how replicas are distributed over zones.
    """

    stores: Mapping[str, StoreCondition]
    tolerance: int
    retiring: Collection[str] = ()
    ready_learners: Collection[LearnerReport] = ()
    lost_learners: Collection[LearnerReport] = ()
    allow_moves: bool = False
    policy: ZonePolicy = ZonePolicy.SPREAD


def plan_placement(placement: Placement, planning_input: PlanningInput) -> Placement | None:
    """Return the next placement; None if the current one needs no change."""
    states = ReplicaStates(planning_input.stores, planning_input.retiring, placement)
    draft = PlacementDraft(placement, states, planning_input.tolerance, planning_input.policy)
    replicas = ReplicaPlanner(draft)
    primaries = PrimaryPlanner(draft)
    for partition in list(draft.entries):
        replicas.promote_learners(partition, planning_input.ready_learners)
        primaries.replace_primary(partition)
        replicas.update_learners(partition, planning_input.lost_learners)
    if planning_input.allow_moves:
        primaries.move_one_primary()
        replicas.start_balancing_move()
    entries = list(draft.entries.values())
    if entries == placement.partitions:
        return None
    return Placement(placement.version + 1, entries)
