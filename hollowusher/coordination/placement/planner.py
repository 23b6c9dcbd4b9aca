"""The next placement, as the conditions of the stores require it.  No I/O, no clock.

A partition has min(stores, 2f+1) replicas; one of them is its primary.  A record is committed on f+1
replicas, the primary among them, and a new primary reads replicas - f of them, so the two always intersect.

Each change of a partition's primary or replicas starts a greater epoch, and so does the removal of a learner:
what its primary reported about it no longer counts, whenever that report arrives.

Sources: Lamport, Malkhi, Zhou, "Vertical Paxos and primary-backup replication" (2009): configurations that a
separate service decides; docs/control-safety/stores.md has the argument and the tables.
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
    """What the next placement depends on besides the present one.

    `stores` has the condition by name of every store that is known or placed; `tolerance` is the number of
    losses that the deployment tolerates (f); `retiring` has the names of the machines being retired.  Where
    `allow_moves` is set, one primary may be moved for balance or away from a retiring machine, and one
    replica may be moved for balance.  `policy` says where among the zones the replicas belong.
    """

    stores: Mapping[str, StoreCondition]
    tolerance: int
    retiring: Collection[str] = ()
    ready_learners: Collection[LearnerReport] = ()
    lost_learners: Collection[LearnerReport] = ()
    allow_moves: bool = False
    policy: ZonePolicy = ZonePolicy.SPREAD


def plan_placement(placement: Placement, planning_input: PlanningInput) -> Placement | None:
    """Return the next placement, None where the present one is right."""
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
